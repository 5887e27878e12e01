"""The configuration: one JSON file, named by GW_CONFIG, read at start and on SIGHUP."""

from orchidgap.errors import ConfigError
from orchidgap.net.config.model import BalancerConfig, keep_until_restart
from orchidgap.net.config.optional_parts import ControlConfig, GossipConfig, control_part
from orchidgap.net.config.reading import config_from_document, parse, read
from orchidgap.net.config.settings_tree import flatten

__all__ = [
    "BalancerConfig",
    "ConfigError",
    "ControlConfig",
    "GossipConfig",
    "config_from_document",
    "control_part",
    "flatten",
    "keep_until_restart",
    "parse",
    "read",
]
