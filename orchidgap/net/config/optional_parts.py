"""Parts of the configuration that a file may leave out: control, gossip, settings for shadow
evaluation.

Each function gives None where the file has no such part, and raises SettingError where the part is
invalid.
"""

from __future__ import annotations

from collections.abc import Mapping
from ipaddress import IPv4Address
from typing import Any, NamedTuple

from orchidgap.decisions.settings import ServiceSettings
from orchidgap.errors import SettingError
from orchidgap.net.addresses import Address, parse_address
from orchidgap.net.config.settings_tree import flatten

MIN_KEY_LENGTH = 16
MAX_PEERS = 512
MIN_REBALANCE_INTERVAL_MS = 5_000  # ranges are drawn anew no more often
CONTROL_SIZES = (1, 3, 5)  # of processes, as a majority is needed
ON_LOST_QUORUM = ("leave", "stay")


def shadow_settings(
    part: Any, pairs: Mapping[str, str], settings: ServiceSettings
) -> ServiceSettings | None:
    """The settings as they are, with those laid over them that are evaluated and not followed."""
    if part is None:
        return None
    if not isinstance(part, Mapping) or not isinstance(part.get("settings"), Mapping):
        raise SettingError("watch.settings must be an object")
    try:
        shadow = ServiceSettings.from_pairs({**pairs, **dict(flatten(part["settings"]))})
    except SettingError as error:
        raise SettingError(f"watch: {error}") from None
    missing = set(settings.request_classes) - set(shadow.request_classes)
    if missing:
        raise SettingError(f"watch: rule set {min(missing)} is missing")
    return shadow


class ControlConfig(NamedTuple):
    """Where control is, and how this balancer follows it.

    Attributes:
        addresses: Of all control processes.
        folder: This balancer's own.
        on_lost_quorum: What it does without a lease, one of `ON_LOST_QUORUM`.
    """

    addresses: list[Address]
    folder: str
    on_lost_quorum: str


def control_part(part: Any) -> ControlConfig | None:
    """Where control is, this balancer's own folder, and what it does when it has lost the quorum.

    >>> control_part({"at": ["127.0.0.1:7500"], "dir": "/var/lib/orchidgap"}).on_lost_quorum
    'leave'
    """
    if part is None:
        return None
    if not isinstance(part, Mapping) or not isinstance(part.get("dir"), str):
        raise SettingError("control must be an object with at and dir")
    addresses = part.get("at")
    if not isinstance(addresses, list) or len(addresses) not in CONTROL_SIZES:
        raise SettingError("control.at must list 1, 3 or 5 addresses")
    on_lost_quorum = part.get("alone", "leave")
    if on_lost_quorum not in ON_LOST_QUORUM:
        raise SettingError(f"control.alone is {on_lost_quorum!r}, and must be leave or stay")
    return ControlConfig(
        addresses=[parse_address(address) for address in addresses],
        folder=part["dir"],
        on_lost_quorum=on_lost_quorum,
    )


class GossipConfig(NamedTuple):
    """How balancers tell each other their counts.

    Attributes:
        listen: Where this balancer hears others.
        peers: Where the others hear.
        key: What all of them share; whoever has it is believed.
        rebalance_interval_us: The time between two drawings of ranges.
    """

    listen: Address
    peers: list[Address]
    key: str
    rebalance_interval_us: int


def gossip_part(part: Any) -> GossipConfig | None:
    """Where this balancer hears others, where they are, and the key that they share.

    >>> part = {"listen": "127.0.0.1:7400", "peers": ["127.0.0.1:7401"], "key": "k" * 16}
    >>> gossip_part(part).peers, gossip_part(part).rebalance_interval_us
    ([('127.0.0.1', 7401)], 60000000)
    """
    if part is None:
        return None
    if not isinstance(part, Mapping) or not isinstance(part.get("peers"), list):
        raise SettingError("pool must be an object with listen, peers and key")
    if not isinstance(part.get("key"), str) or len(part["key"]) < MIN_KEY_LENGTH:
        raise SettingError(f"pool.key must be a text of {MIN_KEY_LENGTH} letters or more")
    if len(part["peers"]) > MAX_PEERS:
        raise SettingError(f"pool.peers lists {len(part['peers'])}; {MAX_PEERS} can be")
    listen = parse_address(str(part.get("listen")))
    peers = [parse_address(str(peer)) for peer in part["peers"]]
    # whoever has the key is believed, so others' reach is asked for in so many words
    if not IPv4Address(listen[0]).is_loopback and part.get("beyond-loopback") is not True:
        raise SettingError(
            f"pool.listen is {part['listen']}: set pool.beyond-loopback to true for that, as "
            "whoever has the key is believed"
        )
    interval_us = rebalance_interval_ms(part) * 1000
    return GossipConfig(listen, peers, part["key"], interval_us)


def rebalance_interval_ms(part: Mapping[str, Any]) -> int:
    """The time between two drawings of ranges."""
    # imported here, as nothing of it is loaded where gossip is off
    from orchidgap.decisions.gossip_counts import DEFAULT_REBALANCE_INTERVAL_US

    interval_ms = part.get("draw-ms", DEFAULT_REBALANCE_INTERVAL_US // 1000)
    if type(interval_ms) is not int or interval_ms < MIN_REBALANCE_INTERVAL_MS:
        raise SettingError(
            f"pool.draw-ms is {interval_ms!r}, and must be {MIN_REBALANCE_INTERVAL_MS} or more"
        )
    return interval_ms
