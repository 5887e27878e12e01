"""Which protocol a configuration asks for, whether control holds it, and whether it talks to others."""

from __future__ import annotations

from typing import Any

from orchidgap.http1 import Http1
from orchidgap.net import config
from orchidgap.net.node import Node, ProtocolParts
from orchidgap.net.server import LeaseHolder


def protocol_for(station: config.BalancerConfig) -> ProtocolParts:
    """What the program speaks: RESP where the configuration has a part for it, else HTTP. Raises ConfigError."""
    if station.resp is None:
        return Http1()
    from orchidgap.resp import Resp

    try:
        return Resp(station.resp, station.name, station.listen)
    except (ValueError, TypeError, OSError) as trouble:
        raise config.ConfigError(f"resp: {trouble}") from None


def make_guarded_node(*told: Any, **named: Any) -> tuple[Node, LeaseHolder]:
    """A node whose settings come from control; loaded only where a configuration has a part for it."""
    from orchidgap.control.lease_keeper import create_guarded_node

    return create_guarded_node(*told, **named)


def make_gossip(*told: Any) -> Any:
    """What balancers tell each other; loaded only where a configuration has a part for it."""
    from orchidgap.peers.gossip_transport import create_gossip

    return create_gossip(*told)
