"""Creates the parts that a configuration enables: the protocol, a leased node, gossip.

Modules of parts that are not enabled are not imported.
"""

from __future__ import annotations

from typing import Any

from orchidgap.errors import ConfigError
from orchidgap.http1.protocol import Http1
from orchidgap.net.config import BalancerConfig
from orchidgap.net.event_log import EventLog
from orchidgap.net.loop import Loop
from orchidgap.net.node import Node, ProtocolParts
from orchidgap.net.server import Gossip, LeaseHolder


def create_protocol(config: BalancerConfig) -> ProtocolParts:
    """Create the client protocol: RESP if the configuration has a section for it, otherwise HTTP.

    Raises:
        ConfigError: The configuration of RESP is not valid.
    """
    if config.resp is None:
        return Http1()
    from orchidgap.resp import Resp

    try:
        resp = Resp(config.resp, config.name, config.listen)
    except (ValueError, TypeError, OSError) as error:
        raise ConfigError(f"resp: {error}") from None
    if config.control is None:  # otherwise the settings that apply are those of control
        resp.check_settings(config.settings)
    return resp


def make_guarded_node(*arguments: Any, **options: Any) -> tuple[Node, LeaseHolder]:
    """Create a node with settings from control, and its lease holder; see `create_guarded_node`."""
    from orchidgap.control.lease_keeper import create_guarded_node

    return create_guarded_node(*arguments, **options)


def make_gossip(loop: Loop, node: Node, log: EventLog, config: BalancerConfig) -> Gossip:
    """Create the gossip transport, which sends this balancer's counts to other balancers."""
    from orchidgap.peers.gossip_transport import create_gossip

    return create_gossip(loop, node, log, config)
