"""The configuration as the process uses it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from orchidgap.decisions.settings import ServiceSettings
from orchidgap.net.addresses import Address
from orchidgap.net.config.optional_parts import ControlConfig, GossipConfig
from orchidgap.net.endpoints import HostList


class BalancerConfig(NamedTuple):
    """The addresses, limits and settings of this balancer."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    descriptors: int  # the limit for all processes of this balancer together
    memory_mb: int
    initial_endpoints: HostList
    settings: ServiceSettings
    connect_timeout_us: int
    idle_timeout_us: int
    resp: Mapping[str, Any] | None = None  # the file's part for RESP; None for HTTP
    admin: Address | None = None  # the address for operators' commands, if enabled
    shadow_settings: ServiceSettings | None = None  # settings that are evaluated but not applied
    key_shapes: Mapping[str, str] = {}  # the keys of the file, with the kinds of their values
    control: ControlConfig | None = None  # set if control decides the settings
    gossip: GossipConfig | None = None  # set if balancers exchange counts


# Fields that a running process cannot change, with their names in the log.
RESTART_ONLY_FIELDS = {
    "name": "name",
    "listen": "listen",
    "descriptors": "sockets",
    "memory_mb": "memory_mb",
    "resp": "resp",
    "admin": "admin",
    "shadow_settings": "watched",
    "control": "control",
    "gossip": "pool",
}


def keep_until_restart(
    running: BalancerConfig, new: BalancerConfig
) -> tuple[BalancerConfig, list[str]]:
    """Merge a new configuration into the running one as far as a running process can change.

    Returns:
        The merged configuration, and the names of the changes that need a restart.
    """
    waiting = [
        log_name
        for field, log_name in RESTART_ONLY_FIELDS.items()
        if getattr(new, field) != getattr(running, field)
    ]
    settings = new.settings.keeping_startup_settings(running.settings)
    waiting += [
        name for name in settings._fields if getattr(settings, name) != getattr(new.settings, name)
    ]
    kept = {field: getattr(running, field) for field in RESTART_ONLY_FIELDS}
    return new._replace(settings=settings, **kept), waiting
