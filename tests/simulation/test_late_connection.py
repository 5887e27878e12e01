"""A connection belongs to the process that accepted it: one that comes up late may have met the next one."""

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
    """A connection that is dialled while the balancer's first process is its last."""
    environment = SimpleNamespace(
        incarnation=1, network=SimpleNamespace(connection_number=lambda sock: 1)
    )
    environment.incarnation_of = lambda balancer: environment.incarnation
    owner = SimpleNamespace(environment=environment, loop=Loop(), connections={"b0": {}})
    return environment, BalancerConnection(owner, "b0", sock, opening=True)


@pytest.mark.parametrize(("was_up", "incarnation"), [(True, 1), (False, 2)])
def test_a_connection_that_comes_up_late_is_of_the_process_that_runs_then(was_up, incarnation):
    # what the second process lost was judged as if the first one had it, which may have been killed
    near, far = socket.socketpair()
    with far, near, socket.socket() as alone:
        environment, connection = make_connection(near if was_up else alone)
        environment.incarnation = 2
        connection.opened()
        assert connection.incarnation == incarnation


def test_a_request_is_written_in_the_call_that_dials_where_its_connection_is_up():
    # The test stood still for 410 ms between dial and write, twice on one request, and a balancer
    # that was told to end had let the newcomers go by then: "lost".
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
