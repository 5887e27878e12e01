"""Optional parts of the configuration: control, gossip, and settings for shadow evaluation.

The function for each part returns None if the file has no such part, and raises SettingError if the
part is invalid.
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
MIN_REBALANCE_INTERVAL_MS = 5_000  # the shortest time between two assignments of ranges
CONTROL_PROCESS_COUNTS = (1, 3, 5)  # numbers of control processes; odd, as a majority is needed
ON_LOST_QUORUM = ("leave", "stay")


def shadow_settings(
    part: Any, pairs: Mapping[str, str], settings: ServiceSettings
) -> ServiceSettings | None:
    """Return the settings with the shadow part laid over them; they are evaluated, not applied."""
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
    """The control processes, and how this balancer depends on them.

    Attributes:
        addresses: The addresses of all control processes.
        folder: This balancer's own state folder.
        on_lost_quorum: What this balancer does without a lease, one of `ON_LOST_QUORUM`.
    """

    addresses: list[Address]
    folder: str
    on_lost_quorum: str


def control_part(part: Any) -> ControlConfig | None:
    """Read the part for control: its addresses, the state folder and the reaction to a lost quorum.

    >>> control_part({"at": ["127.0.0.1:7500"], "dir": "/var/lib/orchidgap"}).on_lost_quorum
    'leave'
    """
    if part is None:
        return None
    if not isinstance(part, Mapping) or not isinstance(part.get("dir"), str):
        raise SettingError("control must be an object with at and dir")
    addresses = part.get("at")
    if not isinstance(addresses, list) or len(addresses) not in CONTROL_PROCESS_COUNTS:
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
    """How balancers exchange their counts.

    Attributes:
        listen: The address at which this balancer receives gossip.
        peers: The addresses at which the other balancers receive gossip.
        key: The secret that all balancers share; anyone who has it is trusted.
        rebalance_interval_us: The time between two assignments of ranges.
    """

    listen: Address
    peers: list[Address]
    key: str
    rebalance_interval_us: int


def gossip_part(part: Any) -> GossipConfig | None:
    """Read the part for gossip: this balancer's address, its peers, and the shared key.

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
    # Anyone who has the key is trusted, so an address that other machines can reach requires an
    # explicit setting.
    if not IPv4Address(listen[0]).is_loopback and part.get("beyond-loopback") is not True:
        raise SettingError(
            f"pool.listen is {part['listen']}: set pool.beyond-loopback to true for that, as "
            "anyone who has the key is trusted"
        )
    interval_us = rebalance_interval_ms(part) * 1000
    return GossipConfig(listen, peers, part["key"], interval_us)


def rebalance_interval_ms(part: Mapping[str, Any]) -> int:
    """Read the time between two assignments of ranges, in milliseconds."""
    # imported here, so that it is not loaded if gossip is off
    from orchidgap.decisions.gossip_counts import DEFAULT_REBALANCE_INTERVAL_US

    interval_ms = part.get("draw-ms", DEFAULT_REBALANCE_INTERVAL_US // 1000)
    if type(interval_ms) is not int or interval_ms < MIN_REBALANCE_INTERVAL_MS:
        raise SettingError(
            f"pool.draw-ms is {interval_ms!r}, and must be {MIN_REBALANCE_INTERVAL_MS} or more"
        )
    return interval_ms
