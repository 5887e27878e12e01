"""What the program is told at start: one JSON file, named by GW_CONFIG."""

from __future__ import annotations

import os
import resource
from collections.abc import Iterator, Mapping
from ipaddress import IPv4Address
from typing import Any, NamedTuple

import orjson

from orchidgap.decisions import config_compatibility
from orchidgap.decisions.settings import ServiceSettings
from orchidgap.errors import ConfigError as ConfigError
from orchidgap.errors import SettingError
from orchidgap.net.connection import Address
from orchidgap.net.endpoints import Endpoint, EndpointEntry, decode_list, parse_address

SHORTEST_KEY = 16
MOST_PEERS = 512
SHORTEST_GAP = 5_000  # ms: a redraw waits for as long


class BalancerConfig(NamedTuple):
    """Where this balancer stands and what it may use."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    descriptors: int
    memory_mb: int
    initial_endpoints: tuple[int, bool, list[EndpointEntry], list[Endpoint]]
    settings: ServiceSettings
    connect_timeout_us: int
    idle_timeout_us: int
    resp: Mapping[str, Any] | None = (
        None  # where RESP is spoken in place of HTTP: its part of the file
    )
    admin: Address | None = None  # where operators call, if they may
    shadow_settings: ServiceSettings | None = None  # terms that are to be watched, not gone by
    key_shapes: Mapping[str, str] = {}  # which keys the file had, with the kinds of their values
    control: Mapping[str, Any] | None = (
        None  # where the settings come from control: its part of the file
    )
    gossip: Mapping[str, Any] | None = (
        None  # where balancers tell each other counts: its part of the file
    )


def flatten(tree: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """
    >>> dict(flatten({"a": {"b": 1, "c": True}, "d": [{"e": "x y"}], "f": ["u", "v,w"], "g": None, "h": []}))
    {'a.b': '1', 'a.c': 'true', 'd.count': '1', 'd.0.e': 'x y', 'f': 'u,v_w', 'h': ''}
    """
    if isinstance(tree, Mapping):
        for name, branch in tree.items():
            yield from flatten(branch, f"{path}.{name}" if path else name)
    elif isinstance(tree, list) and any(isinstance(branch, Mapping) for branch in tree):
        yield f"{path}.count", str(len(tree))
        for i, branch in enumerate(tree):
            yield from flatten(branch, f"{path}.{i}")
    elif isinstance(tree, list):
        yield path, ",".join(str(leaf).replace(",", "_") for leaf in tree)
    elif tree is not None:
        yield path, str(tree).lower() if isinstance(tree, bool) else str(tree)


def read(
    path: str | None,
    before: BalancerConfig | None = None,
    settings: Mapping[str, Any] | None = None,
) -> BalancerConfig:
    """Takes the file's path, what it is to follow, if anything, and settings that count in place of its own.
    Raises ConfigError if it cannot be used."""
    if not path:
        raise ConfigError("GW_CONFIG names no file")
    try:
        with open(path, "rb") as file:
            text = file.read()
    except OSError as trouble:
        raise ConfigError(f"{path}: {trouble.strerror}") from None
    return parse(text, path, before, settings)


def parse(
    text: bytes,
    path: str,
    before: BalancerConfig | None = None,
    settings: Mapping[str, Any] | None = None,
) -> BalancerConfig:
    """The same of a file's text; the path only says whose it is."""
    try:
        told = orjson.loads(text)
        if settings is not None and isinstance(told, dict):
            told["settings"] = settings
    except ValueError as trouble:
        raise ConfigError(f"{path} is not JSON: {trouble}") from None
    try:
        return config_from_document(told, before)
    except SettingError as trouble:
        raise ConfigError(f"{path}: {trouble}") from None
    except KeyError as trouble:
        raise ConfigError(f"{path}: {trouble.args[0]} is missing or unknown") from None
    except (ValueError, TypeError, AttributeError) as trouble:
        raise ConfigError(f"{path}: {trouble}") from None


def over_none(part: Mapping[str, str], path: str, default: int) -> int:
    if (value := int(part.get(path, default))) <= 0:
        raise SettingError(f"setting {path} is {value}, and must be over 0")
    return value


def watched_of(
    watch: Any, pairs: Mapping[str, str], terms: ServiceSettings
) -> ServiceSettings | None:
    """The settings as they are, with those that are to be watched laid over them."""
    if watch is None:
        return None
    if not isinstance(watch, Mapping) or not isinstance(watch.get("settings"), Mapping):
        raise SettingError("watch.settings must be an object")
    try:
        watched = ServiceSettings.from_pairs({**pairs, **dict(flatten(watch["settings"]))})
    except SettingError as trouble:
        raise SettingError(f"watch: {trouble}") from None
    if missing := set(terms.request_classes) - set(watched.request_classes):
        raise SettingError(f"watch: rule set {sorted(missing)[0]} is missing")
    return watched


def controlled(part: Any) -> Mapping[str, Any] | None:
    """Where control is, this balancer's own folder, and what it does alone; None where it has no control.

    >>> controlled({"at": ["127.0.0.1:7500"], "dir": "/var/lib/orchidgap"})["alone"]
    'leave'
    """
    if part is None:
        return None
    if not isinstance(part, Mapping) or not isinstance(part.get("dir"), str):
        raise SettingError("control must be an object with at and dir")
    at = part.get("at")
    if not isinstance(at, list) or len(at) not in (1, 3, 5):
        raise SettingError("control.at must list 1, 3 or 5 addresses")
    if (alone := part.get("alone", "leave")) not in ("leave", "stay"):
        raise SettingError(f"control.alone is {alone!r}, and must be leave or stay")
    return {"at": [parse_address(one) for one in at], "dir": part["dir"], "alone": alone}


def pooled(part: Any) -> Mapping[str, Any] | None:
    """Where this balancer hears others, where they are and the key they share; None where it has no part.

    >>> part = pooled({"listen": "127.0.0.1:7400", "peers": ["127.0.0.1:7401"], "key": "k" * 16})
    >>> part["peers"], part["gap"]
    ([('127.0.0.1', 7401)], 60000000)
    """
    if part is None:
        return None
    if not isinstance(part, Mapping) or not isinstance(part.get("peers"), list):
        raise SettingError("pool must be an object with listen, peers and key")
    if not isinstance(part.get("key"), str) or len(part["key"]) < SHORTEST_KEY:
        raise SettingError(f"pool.key must be a text of {SHORTEST_KEY} letters or more")
    if len(part["peers"]) > MOST_PEERS:
        raise SettingError(f"pool.peers lists {len(part['peers'])}; {MOST_PEERS} can be")
    listen, peers = (
        parse_address(str(part.get("listen"))),
        [parse_address(str(peer)) for peer in part["peers"]],
    )
    if not IPv4Address(listen[0]).is_loopback and part.get("beyond-loopback") is not True:
        raise SettingError(
            f"pool.listen is {part['listen']}: set pool.beyond-loopback to true for that, as "
            "whoever has the key is believed"
        )
    from orchidgap.decisions.gossip_counts import (  # not loaded where gossip is off
        DEFAULT_REBALANCE_INTERVAL_US,
    )

    gap = part.get("draw-ms", DEFAULT_REBALANCE_INTERVAL_US // 1000)
    if type(gap) is not int or gap < SHORTEST_GAP:
        raise SettingError(f"pool.draw-ms is {gap!r}, and must be {SHORTEST_GAP} or more")
    return {"listen": listen, "peers": peers, "key": part["key"], "gap": gap * 1000}


def config_from_document(told: Any, before: BalancerConfig | None = None) -> BalancerConfig:
    if not isinstance(told, Mapping):
        raise ValueError("an object was expected")
    shape = config_compatibility.shape_of(told)
    if before and (
        lack := config_compatibility.find_incompatibility(
            before.key_shapes, shape, config_compatibility.empty_lists(told)
        )
    ):
        raise SettingError(lack)
    pairs = dict(flatten(told["settings"]))
    terms = ServiceSettings.from_pairs(pairs)
    limits = told.get("limits") or {}
    most = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    sockets = min(int(limits.get("sockets") or most), most)
    if sockets < 64:
        raise ValueError(f"{sockets} descriptors are too few")
    known = decode_list(told.get("known") or {"seq": 0, "whole": True, "hosts": []})
    return BalancerConfig(
        str(told.get("name", "")),
        parse_address(told["listen"]),
        parse_address(told["discovery"])
        if told.get("discovery") or not told.get("resp")
        else ("", 0),
        int(str(told.get("seed") or 0), 16),
        sockets,
        int(limits.get("memory_mb") or 1024),
        known,
        terms,
        over_none(pairs, "ceilings.connect-timeout", 250_000),
        over_none(pairs, "ceilings.conn-idle", 15_000_000),
        told.get("resp"),
        parse_address(admin)
        if (admin := told.get("admin_addr") or os.environ.get("GW_ADMIN_ADDR"))
        else None,
        watched_of(told.get("watch"), pairs, terms),
        shape,
        controlled(told.get("control")),
        pooled(told.get("pool")),
    )
