"""Reads the configuration file into a `BalancerConfig`.

Only this module, `optional_parts` and the settings know the names of the file's keys.
"""

from __future__ import annotations

import os
import resource
from collections.abc import Mapping
from typing import Any

import orjson

from orchidgap.decisions import config_compatibility
from orchidgap.decisions.settings import ServiceSettings, positive_integer_setting
from orchidgap.errors import ConfigError, SettingError
from orchidgap.net.addresses import Address, parse_address
from orchidgap.net.config.model import BalancerConfig
from orchidgap.net.config.optional_parts import control_part, gossip_part, shadow_settings
from orchidgap.net.config.settings_tree import flatten
from orchidgap.net.endpoints import decode_list

MIN_DESCRIPTORS = 64
DEFAULT_MEMORY_MB = 1024
DEFAULT_CONNECT_TIMEOUT_US = 250_000
DEFAULT_IDLE_TIMEOUT_US = 15_000_000
NO_ENDPOINTS = {"seq": 0, "whole": True, "hosts": []}


def read(
    path: str | None,
    before: BalancerConfig | None = None,
    settings: Mapping[str, Any] | None = None,
) -> BalancerConfig:
    """Read the configuration from a file.

    Args:
        path: The path of the file.
        before: The running configuration, if any; a file that is incompatible with it is rejected.
        settings: Settings that replace those of the file.

    Raises:
        ConfigError: The file cannot be read or is invalid.
    """
    if not path:
        raise ConfigError("GW_CONFIG names no file")
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as error:
        raise ConfigError(f"{path}: {error.strerror}") from None
    return parse(text, path, before, settings)


def parse(
    text: bytes,
    path: str,
    before: BalancerConfig | None = None,
    settings: Mapping[str, Any] | None = None,
) -> BalancerConfig:
    """Parse a configuration. Raises ConfigError; `path` is used in its message only."""
    try:
        document = orjson.loads(text)
        if settings is not None and isinstance(document, dict):
            document["settings"] = settings
    except ValueError as error:
        raise ConfigError(f"{path} is not JSON: {error}") from None
    try:
        return config_from_document(document, before)
    except SettingError as error:
        raise ConfigError(f"{path}: {error}") from None
    except KeyError as error:
        raise ConfigError(f"{path}: {error.args[0]} is missing or unknown") from None
    except (ValueError, TypeError, AttributeError) as error:
        raise ConfigError(f"{path}: {error}") from None


def config_from_document(document: Any, before: BalancerConfig | None = None) -> BalancerConfig:
    """Build the configuration from a JSON document.

    Raises SettingError, KeyError, ValueError, TypeError or AttributeError if it is invalid.
    """
    if not isinstance(document, Mapping):
        raise TypeError("an object was expected")
    key_shapes = checked_key_shapes(document, before)
    pairs = dict(flatten(document["settings"]))
    settings = ServiceSettings.from_pairs(pairs)
    limits = document.get("limits") or {}
    return BalancerConfig(
        name=str(document.get("name", "")),
        descriptors=descriptor_limit(limits),
        initial_endpoints=decode_list(document.get("known") or NO_ENDPOINTS),
        listen=parse_address(document["listen"]),
        discovery=discovery_address(document),
        seed=int(str(document.get("seed") or 0), 16),
        memory_mb=int(limits.get("memory_mb") or DEFAULT_MEMORY_MB),
        settings=settings,
        connect_timeout_us=positive_integer_setting(
            pairs, "ceilings.connect-timeout", DEFAULT_CONNECT_TIMEOUT_US
        ),
        idle_timeout_us=positive_integer_setting(
            pairs, "ceilings.conn-idle", DEFAULT_IDLE_TIMEOUT_US
        ),
        resp=document.get("resp"),
        admin=admin_address(document),
        shadow_settings=shadow_settings(document.get("watch"), pairs, settings),
        key_shapes=key_shapes,
        control=control_part(document.get("control")),
        gossip=gossip_part(document.get("pool")),
    )


def checked_key_shapes(
    document: Mapping[str, Any], before: BalancerConfig | None
) -> Mapping[str, str]:
    """Return the keys of the file, with the kinds of their values.

    Raises SettingError if keys of the running configuration are missing: a partly written file must
    not be taken for a complete one.
    """
    shapes = config_compatibility.shape_of(document)
    if before:
        empty_lists = config_compatibility.empty_lists(document)
        incompatibility = config_compatibility.find_incompatibility(
            before.key_shapes, shapes, empty_lists
        )
        if incompatibility:
            raise SettingError(incompatibility)
    return shapes


def descriptor_limit(limits: Mapping[str, Any]) -> int:
    """Return the lower of the file's and the system's limit. Raises ValueError if it is too low."""
    system_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    descriptors = min(int(limits.get("sockets") or system_limit), system_limit)
    if descriptors < MIN_DESCRIPTORS:
        raise ValueError(f"{descriptors} descriptors are too few")
    return descriptors


def discovery_address(document: Mapping[str, Any]) -> Address:
    """Return the address of discovery, which is optional for RESP."""
    if document.get("discovery") or not document.get("resp"):
        return parse_address(document["discovery"])
    return "", 0


def admin_address(document: Mapping[str, Any]) -> Address | None:
    """Return the address for operators' commands: the file's, or else that of GW_ADMIN_ADDR."""
    text = document.get("admin_addr") or os.environ.get("GW_ADMIN_ADDR")
    return parse_address(text) if text else None
