"""The time from which a balancer counts as notified of a change of the host list."""

import socket
from types import SimpleNamespace

from orchidgap.net.loop import Loop
from orchidgap.simulation.discovery_server import AgentConnection, DiscoveryAgent

STALLED_US = 247_000


def test_a_balancer_counts_as_notified_when_a_change_is_written_and_not_when_the_turn_begins():
    # A fault test was stalled between reading its turn's clock and the write. That shortened the drain
    # grace of the balancer, which was not at fault.
    clock = SimpleNamespace(us=0)
    loop = Loop(clock=lambda: clock.us)
    notifications = []
    entry = {"host": "c0", "health": "Terminating", "born_ms": 0}
    environment = SimpleNamespace(
        invariant_checker=SimpleNamespace(
            on_list_written=lambda *facts: notifications.append(facts), list_calls=0
        ),
        network=SimpleNamespace(listen=lambda address, accept: None),
        endpoint_list_for=lambda balancer, document: document,
    )
    server = SimpleNamespace(
        loop=loop,
        environment=environment,
        entries={"c0": entry},
        version=2,
        version_before=lambda lag_us: 2,
        changes_since=lambda after, up_to: (False, [entry]),
    )
    agent = DiscoveryAgent(server, "b0", ("127.0.0.1", 0))
    near, far = socket.socketpair()
    with near, far:
        connection = AgentConnection(agent, near)
        far.send(b"GET /discovery/hosts?after=1&wait_ms=3000 HTTP/1.1\r\nHost: d\r\n\r\n")
        send = connection.conn.send

        def stall_and_send(*parts):
            clock.us += STALLED_US
            send(*parts)

        connection.conn = SimpleNamespace(is_open=True, send=stall_and_send)
        loop.run_once(0)
        assert far.recv(1 << 12).startswith(b"HTTP/1.1 200")
    assert notifications == [("b0", "c0", "draining", STALLED_US, 0)]
