"""From when a balancer counts as told of a change of the list."""

import socket
from types import SimpleNamespace

from orchidgap.net.loop import Loop
from orchidgap.simulation.discovery_server import AgentConnection, DiscoveryAgent

STOOD_STILL_US = 247_000


def test_a_change_counts_as_told_when_it_is_written_and_not_from_the_begin_of_the_turn():
    # The test stood still between its turn's clock and the write: the balancer had so much less of
    # the drain's grace, and was not to blame.
    clock = SimpleNamespace(us=0)
    loop = Loop(clock=lambda: clock.us)
    told = []
    entry = {"host": "c0", "health": "Terminating", "born_ms": 0}
    environment = SimpleNamespace(
        invariant_checker=SimpleNamespace(
            on_list_written=lambda *facts: told.append(facts), list_calls=0
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

        def stand_still_and_send(*parts):
            clock.us += STOOD_STILL_US
            send(*parts)

        connection.conn = SimpleNamespace(is_open=True, send=stand_still_and_send)
        loop.run_once(0)
        assert far.recv(1 << 12).startswith(b"HTTP/1.1 200")
    assert told == [("b0", "c0", "draining", STOOD_STILL_US, 0)]
