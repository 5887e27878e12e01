"""On real sockets, rules are checked by the arrival times of bytes, not by when the simulation read them."""

import random
import socket
import time
from types import SimpleNamespace

import pytest

from orchidgap.net.dialing import dial
from orchidgap.net.loop import READ as READ_READY
from orchidgap.net.loop import Loop
from orchidgap.simulation.balancer_connection import BalancerConnection
from orchidgap.simulation.invariant_checker import InvariantChecker
from orchidgap.simulation.loopback_network import LoopbackNetwork
from orchidgap.simulation.observations import ClientAttempt, Operation
from orchidgap.simulation.plan import Plan, RequestClassSpec
from orchidgap.simulation.request_end import ProcessEnd
from orchidgap.simulation.server_connection import ServerConnection
from orchidgap.simulation.simulation import LOOPBACK_TOLERANCE_US, Simulation

DENIED = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
REQUEST = b"GET /read/k1 HTTP/1.1\r\nHost: cache\r\nRequest-Id: q1\r\n\r\n"
READ = RequestClassSpec(
    share=1.0, work_ms=10.0, name="read", latency_objective_ms=1.0, client_timeout_ms=2000.0
)
PAUSE_S = 0.7  # longer than four connects may take


@pytest.fixture
def exchange():
    """A client's request at a balancer's listener, with both ends in this process."""
    loop = Loop()
    plan = Plan(name="pause")
    invariant_checker = InvariantChecker(plan, loop.now, LOOPBACK_TOLERANCE_US)
    environment = SimpleNamespace(
        invariant_checker=invariant_checker,
        network=LoopbackNetwork,
        incarnation_of=lambda name: 1,
        max_attempts_at=lambda now: 4,
        client_one_way_us=lambda: 0,
    )
    clients = SimpleNamespace(
        loop=loop,
        plan=plan,
        rng=random.Random(0),
        environment=environment,
        connections={"b0": {}},
        idle={"b0": []},
        on_overdue=lambda connection, attempt: None,
        on_outcome=lambda attempt, status, pause: None,
    )
    operation = Operation(0, READ, "", 0, 1, loop.now)
    attempt = ClientAttempt(b"q1", operation, "b0", 1, 0, 0)
    with socket.create_server(("127.0.0.1", 0)) as listener:
        connection = BalancerConnection(clients, "b0", dial(listener.getsockname()), True)
        connection.start(attempt, (b"GET /read/k1 HTTP/1.1\r\nHost: service\r\n\r\n",))
        balancer, _ = listener.accept()
        while not attempt.arrived_at_us:
            loop.run_once(10_000)
        balancer.recv(1 << 12)
        with balancer:
            yield SimpleNamespace(
                loop=loop, invariant_checker=invariant_checker, attempt=attempt, balancer=balancer
            )
        connection.conn.close()


def read_answer(exchange):
    while not exchange.attempt.status:
        exchange.loop.run_once(10_000)
    exchange.invariant_checker.lateness.check_all()
    return [text for rule, _, text in exchange.invariant_checker.breaches if rule == "late"]


def test_a_pause_of_the_simulation_does_not_make_an_answer_late(exchange):
    # A fault test beside other load reported a late answer that had been unread for half a second.
    exchange.balancer.sendall(DENIED)
    time.sleep(PAUSE_S)
    assert read_answer(exchange) == []


def test_an_answer_that_the_balancer_held_back_is_late(exchange):
    time.sleep(PAUSE_S)
    exchange.balancer.sendall(DENIED)
    late = read_answer(exchange)
    assert len(late) == 1
    assert "held back" in late[0]


def stall_next_turn(exchange, pause_s, meanwhile):
    """Make the loop's next turn pause after it has polled the sockets."""
    near, far = socket.socketpair()

    def on_ready(mask):
        exchange.loop.unwatch(near)
        meanwhile()
        time.sleep(pause_s)

    with near, far:
        exchange.loop.watch(near, READ_READY, on_ready)
        far.send(b"!")
        exchange.loop.run_once(0)


def never_answered(exchange):
    simulation = SimpleNamespace(
        loop=exchange.loop,
        invariant_checker=exchange.invariant_checker,
        last_pause_end_us=lambda name: 0,
        process_end=lambda name, incarnation: ProcessEnd.RUNNING,
    )
    Simulation.report_unanswered_requests(simulation)
    return [text for rule, _, text in exchange.invariant_checker.breaches if rule == "lost"]


def test_an_answer_that_came_while_the_last_turn_was_stalled_is_not_missing(exchange):
    # The end was checked by a clock that had advanced since the sockets were polled.
    exchange.attempt.deadline_us = exchange.loop.clock()
    stall_next_turn(exchange, PAUSE_S, lambda: exchange.balancer.sendall(DENIED))
    assert never_answered(exchange) == []


def test_an_answer_that_never_came_is_missing_at_the_end(exchange):
    exchange.attempt.deadline_us = exchange.loop.clock()
    stall_next_turn(exchange, PAUSE_S, lambda: None)
    exchange.loop.run_once(0)
    assert len(never_answered(exchange)) == 1


def test_an_end_behind_an_answer_does_not_make_that_late(exchange):
    # The kernel merges a FIN into unread data and stamps both with the FIN's time.
    exchange.balancer.sendall(DENIED)
    time.sleep(PAUSE_S)
    exchange.balancer.shutdown(socket.SHUT_WR)
    assert read_answer(exchange) == []


def test_an_answer_that_was_held_back_is_late_with_an_end_behind_it_too(exchange):
    time.sleep(PAUSE_S)
    exchange.balancer.sendall(DENIED)
    exchange.balancer.shutdown(socket.SHUT_WR)
    late = read_answer(exchange)
    assert len(late) == 1
    assert "held back" in late[0]


@pytest.fixture
def host_attempt():
    """A balancer's connection to a draining host, with both ends in this process."""
    loop = Loop()
    invariant_checker = InvariantChecker(Plan(name="drain"), loop.now, LOOPBACK_TOLERANCE_US)
    operation = Operation(0, READ, "", 0, 1, loop.now)
    attempt = ClientAttempt(b"q1", operation, "b0", 1, loop.now, loop.now + 2_000_000)
    attempt.start_line = b"GET /read/k1"
    invariant_checker.on_client_attempt(attempt)
    environment = SimpleNamespace(
        invariant_checker=invariant_checker, last_pause_end_us=lambda name: 0
    )
    store = SimpleNamespace(
        id="c0",
        loop=loop,
        environment=environment,
        connections={},
        deduplication_group=lambda: "",
        one_way_us=lambda name: 0,
        receive=lambda job: None,
    )
    with (
        socket.create_server(("127.0.0.1", 0)) as listener,
        socket.create_connection(listener.getsockname()) as balancer,
    ):
        host = ServerConnection(store, listener.accept()[0], "b0")
        yield SimpleNamespace(
            loop=loop, invariant_checker=invariant_checker, attempt=attempt, balancer=balancer
        )
        host.conn.close()


def drain_breaches(host_attempt):
    while not host_attempt.attempt.host_attempts:
        host_attempt.loop.run_once(10_000)
    return [text for rule, _, text in host_attempt.invariant_checker.breaches if rule == "drain"]


def test_a_request_that_was_cancelled_unread_was_sent_when_it_was_written(host_attempt):
    # A request that was written 700 ms before this process read it, and cancelled just then, counted as
    # sent at the time of its cancellation.
    host_attempt.invariant_checker.on_list_written(
        "b0", "c0", "draining", host_attempt.loop.clock()
    )
    host_attempt.balancer.sendall(REQUEST)
    time.sleep(PAUSE_S)
    host_attempt.balancer.shutdown(socket.SHUT_WR)
    assert drain_breaches(host_attempt) == []


def test_a_request_to_a_draining_host_breaks_the_rule_with_an_end_behind_it_too(host_attempt):
    host_attempt.invariant_checker.on_list_written(
        "b0", "c0", "draining", host_attempt.loop.clock()
    )
    time.sleep(PAUSE_S)
    host_attempt.balancer.sendall(REQUEST)
    host_attempt.balancer.shutdown(socket.SHUT_WR)
    assert len(drain_breaches(host_attempt)) == 1
