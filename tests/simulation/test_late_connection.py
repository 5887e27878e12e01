"""A connection belongs to the process that accepted it, also if it is established late."""

import socket
from types import SimpleNamespace

import pytest

from orchidgap.net.loop import Loop
from orchidgap.simulation.balancer_connection import BalancerConnection
from orchidgap.simulation.clients import Clients
from orchidgap.simulation.loopback_network import LoopbackNetwork
from orchidgap.simulation.observations import ClientAttempt, Operation
from orchidgap.simulation.plan import Plan


def make_connection(sock):
    """Return a connection that is dialled while the balancer's first process runs."""
    environment = SimpleNamespace(
        incarnation=1, network=SimpleNamespace(connection_number=lambda sock: 1)
    )
    environment.incarnation_of = lambda balancer: environment.incarnation
    owner = SimpleNamespace(environment=environment, loop=Loop(), connections={"b0": {}})
    return environment, BalancerConnection(owner, "b0", sock, opening=True)


@pytest.mark.parametrize(("is_established", "incarnation"), [(True, 1), (False, 2)])
def test_a_connection_that_is_established_late_belongs_to_the_process_that_runs_then(
    is_established, incarnation
):
    # A loss of the second process was excused if the first one had been killed.
    near, far = socket.socketpair()
    with far, near, socket.socket() as unconnected:
        environment, connection = make_connection(near if is_established else unconnected)
        environment.incarnation = 2
        connection.on_connected()
        assert connection.incarnation == incarnation


def test_a_request_is_written_in_the_call_that_dials_where_its_connection_is_up():
    # A fault test was stalled for 410 ms between dial and write, twice for one request. A balancer
    # that was shutting down had closed the new connections by then, and the request counted as lost.
    plan = Plan(name="dial")
    loop = Loop()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        environment = SimpleNamespace(
            network=LoopbackNetwork(),
            invariant_checker=SimpleNamespace(on_client_attempt=lambda attempt: None),
            incarnation_of=lambda balancer: 1,
            address_of=lambda balancer: listener.getsockname(),
            ingress=SimpleNamespace(is_closed=lambda balancer: False),
            max_attempts_at=lambda at_us: 4,
        )
        clients = SimpleNamespace(
            environment=environment,
            loop=loop,
            plan=plan,
            idle={"b0": []},
            connections={"b0": {}},
            on_overdue=lambda connection, attempt: None,
            departures=SimpleNamespace(
                draw_patience=lambda attempt: None, draw_close=lambda attempt, connection: None
            ),
        )
        work = plan.request_classes()[0]
        attempt = ClientAttempt(b"q1", Operation(0, work, "", 0, 1, 0), "b0", 1, 0, 0)
        message = (b"GET /read/k1 HTTP/1.1\r\nHost: service\r\n\r\n",)
        Clients.send_attempt(clients, attempt, message, "b0", fresh=True)
        accepted, _ = listener.accept()
        with accepted:
            accepted.setblocking(False)
            assert accepted.recv(1 << 12) == message[0]
            assert attempt.arrived_at_us > 0
        for connection in clients.connections["b0"]:
            connection.conn.close()
