"""The configuration as the program uses it."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

from orchidgap.decisions.settings import ServiceSettings
from orchidgap.net.addresses import Address
from orchidgap.net.config.optional_parts import ControlConfig, GossipConfig
from orchidgap.net.endpoints import HostList


class BalancerConfig(NamedTuple):
    """Where this balancer stands and what it may use."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    descriptors: int  # that all processes of this balancer may hold together
    memory_mb: int
    initial_endpoints: HostList
    settings: ServiceSettings
    connect_timeout_us: int
    idle_timeout_us: int
    resp: Mapping[str, Any] | None = None  # the file's part for RESP, where that is spoken
    admin: Address | None = None  # where operators call, if they may
    shadow_settings: ServiceSettings | None = None  # that are evaluated and not followed
    key_shapes: Mapping[str, str] = {}  # which keys the file had, with the kinds of their values
    control: ControlConfig | None = None  # where control is, if the settings come from there
    gossip: GossipConfig | None = None  # how balancers tell each other counts, if they do


# what a running process cannot change: the field, and the word that the log says
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
    """The new configuration as far as a running process can take it, and names of what waits for
    the next start.
    """
    waiting = [
        word
        for field, word in RESTART_ONLY_FIELDS.items()
        if getattr(new, field) != getattr(running, field)
    ]
    settings = new.settings.keeping_startup_settings(running.settings)
    waiting += [
        name for name in settings._fields if getattr(settings, name) != getattr(new.settings, name)
    ]
    kept = {field: getattr(running, field) for field in RESTART_ONLY_FIELDS}
    return new._replace(settings=settings, **kept), waiting
