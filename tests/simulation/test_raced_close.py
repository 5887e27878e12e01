"""A request written to a connection that was already closed is resent once, with its remaining time."""

import socket
from types import SimpleNamespace

import pytest

from orchidgap.net.loop import Loop
from orchidgap.simulation import balancer_connection
from orchidgap.simulation.balancer_connection import BalancerConnection
from orchidgap.simulation.loopback_network import LoopbackNetwork
from orchidgap.simulation.observations import NO_PROCESS, ClientAttempt, Operation
from orchidgap.simulation.plan_file import validate_plan
from orchidgap.simulation.request_end import CloseRecord, ProcessEnd
from orchidgap.simulation.runner import simulation_of

PLAN = validate_plan({"name": "small", "seconds": 4, "balancers": 2, "caches": 3, "rate": 60})
VIEW = next(spec for spec in PLAN.request_classes() if not spec.write)
TIMEOUT_US = VIEW.client_timeout_ms * 1_000
MESSAGE = (b"GET /view/k1 HTTP/1.1\r\nRequest-Timeout: 9.000\r\n\r\n",)
TURNS = 20


def attempt_at(balancer="b0"):
    return ClientAttempt(b"q1", Operation(0, VIEW, "north", 1, 1, 0), balancer, 1, 0, 0)


class Owner:
    """The clients of one connection whose balancer's end is driven by the test."""

    def __init__(self):
        self.loop = Loop()
        self.plan = PLAN
        self.rng = None
        self.idle = {"b0": []}
        self.connections = {"b0": {}}
        self.record = None
        self.resent = []
        self.lost = []
        self.environment = SimpleNamespace(
            incarnation_of=lambda balancer: 1,
            network=LoopbackNetwork,
            process_end=lambda balancer, incarnation: ProcessEnd.RUNNING,
            close_record=self.close_record,
            max_attempts_at=lambda arrived_at_us: 3,
            client_one_way_us=lambda: 0,
            invariant_checker=SimpleNamespace(
                failed_connections=0,
                on_client_attempt=lambda attempt: None,
                on_connection_lost=lambda attempt, at: self.lost.append(attempt),
                on_answer=lambda attempt, status, body, at: None,
            ),
        )

    def close_record(self, balancer, number, dialled_at_us):
        is_earlier = self.record and self.record.closed_at_us < dialled_at_us
        return None if is_earlier else self.record

    def resend(self, attempt, message, balancer):
        self.resent.append(attempt)

    def on_outcome(self, attempt, status, retry_after_us):
        pass

    def on_overdue(self, connection, attempt):
        pass

    def run(self):
        for _ in range(TURNS):
            self.loop.run_once(5_000)


@pytest.fixture
def connected():
    """A client's connection and the balancer's end of it."""
    owner = Owner()
    with socket.create_server(("127.0.0.1", 0)) as server:
        near = socket.create_connection(server.getsockname())
        far, _ = server.accept()
        connection = BalancerConnection(owner, "b0", near, opening=False)
        yield owner, connection, far
        connection.conn.close()
        far.close()


def closed_now(owner, read=0):
    return CloseRecord(owner.loop.clock(), read, read, had_unread_bytes=False)


def test_a_first_request_on_a_connection_that_was_closed_before_is_resent(connected):
    """A fault test that was stalled between dial and write counted such a request as lost."""
    owner, connection, far = connected
    owner.record = closed_now(owner)
    far.close()
    attempt = attempt_at()
    connection.start(attempt, MESSAGE)
    owner.run()
    assert owner.resent == [attempt] and not owner.lost


def test_a_close_before_the_client_continues_after_its_dial_is_found(connected):
    """The dialling process may be stalled right after its dial, for longer than the idle timeout."""
    owner, _, _ = connected
    with socket.create_server(("127.0.0.1", 0)) as server:
        near = socket.create_connection(server.getsockname())
        late_far, _ = server.accept()
        owner.record = closed_now(owner)
        late_far.close()
        late = BalancerConnection(owner, "b0", near, opening=False)
    attempt = attempt_at()
    late.start(attempt, MESSAGE)
    owner.run()
    assert owner.resent == [attempt] and not owner.lost


def test_a_later_request_on_a_connection_that_was_closed_before_is_resent(connected):
    owner, connection, far = connected
    connection.start(attempt_at(), MESSAGE)
    far.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
    owner.run()
    assert far.recv(1_000) == MESSAGE[0]
    owner.record = closed_now(owner, read=1)
    far.close()
    attempt = attempt_at()
    connection.start(attempt, MESSAGE)
    owner.run()
    assert owner.resent == [attempt] and not owner.lost


def test_a_request_that_was_written_first_and_reset_unread_is_lost(connected):
    """A listener that is closed with a backlog resets requests that the kernel had accepted."""
    owner, connection, far = connected
    attempt = attempt_at()
    connection.start(attempt, MESSAGE)
    owner.record = closed_now(owner)
    far.close()
    owner.run()
    assert owner.lost == [attempt] and not owner.resent


def test_a_request_without_a_record_of_the_close_is_lost(connected):
    owner, connection, far = connected
    far.close()
    attempt = attempt_at()
    connection.start(attempt, MESSAGE)
    owner.run()
    assert owner.lost == [attempt] and not owner.resent


def test_a_request_that_was_read_and_reset_on_purpose_is_lost(connected):
    owner, connection, far = connected
    attempt = attempt_at()
    connection.start(attempt, MESSAGE)
    owner.record = closed_now(owner, read=1)
    assert far.recv(1_000)
    far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
    far.close()
    owner.run()
    assert owner.lost == [attempt] and not owner.resent


def test_a_request_that_races_a_second_close_is_lost(connected):
    owner, connection, far = connected
    owner.record = closed_now(owner)
    far.close()
    attempt = attempt_at()
    attempt.was_resent = True
    connection.start(attempt, MESSAGE)
    owner.run()
    assert owner.lost == [attempt] and not owner.resent


# --- written between the balancer's last read and its shutdown: the client sees an orderly end


def written_before_shutdown(owner, connection, far):
    """Write a request after its balancer's last read and before it shuts the connection down."""
    owner.record = closed_now(owner)
    attempt = attempt_at()
    connection.start(attempt, MESSAGE)
    far.shutdown(socket.SHUT_WR)
    owner.run()
    return attempt


def record_half_closed_unread(owner):
    owner.record = owner.record._replace(half_closed_unread_at_us=owner.loop.clock())


def test_a_request_that_was_found_unread_behind_the_shutdown_is_resent(connected):
    """The client waits for the record, as the balancer's process may be stalled before it writes it."""
    owner, connection, far = connected
    attempt = written_before_shutdown(owner, connection, far)
    assert not owner.lost and not owner.resent
    record_half_closed_unread(owner)
    owner.run()
    assert owner.resent == [attempt] and not owner.lost


def test_a_request_without_a_record_of_unread_bytes_behind_the_shutdown_is_lost(
    connected, monkeypatch
):
    monkeypatch.setattr(balancer_connection, "UNREAD_RECORD_TIMEOUT_US", 40_000)
    owner, connection, far = connected
    attempt = written_before_shutdown(owner, connection, far)
    owner.run()
    assert owner.lost == [attempt] and not owner.resent


def test_neither_a_process_end_nor_a_host_excuses_a_request_that_awaits_a_record(connected):
    owner, connection, far = connected
    attempt = written_before_shutdown(owner, connection, far)
    assert attempt.incarnation == NO_PROCESS
    owner.environment.process_end = lambda balancer, incarnation: ProcessEnd.KILLED
    attempt.host_attempts.append(None)
    record_half_closed_unread(owner)
    owner.run()
    assert owner.lost == [attempt] and not owner.resent


# --- how a request is resent


@pytest.fixture
def simulation():
    created = simulation_of(PLAN)
    for balancer in created.balancers.values():
        balancer.alive, balancer.ready_at = True, 1
    yield created
    created.close()


@pytest.fixture
def sent(simulation, monkeypatch):
    """Records time, balancer and message of each attempt instead of sending it."""
    sent_messages = []

    def send(attempt, message, balancer, fresh=False):
        assert fresh
        sent_messages.append((simulation.loop.clock(), balancer, message))

    monkeypatch.setattr(simulation.clients, "send_attempt", send)
    return sent_messages


def resend_after(simulation, elapsed_us):
    """Resend an attempt whose connection's end is seen `elapsed_us` after its write."""
    attempt = attempt_at()
    attempt.arrived_at_us = simulation.loop.clock()
    attempt.deadline_us = attempt.arrived_at_us + TIMEOUT_US
    simulation.network.loop.run_until(attempt.arrived_at_us + elapsed_us)
    simulation.clients.resend(attempt, MESSAGE, "b0")
    return attempt


def test_it_is_resent_with_the_remaining_time(simulation, sent):
    attempt = resend_after(simulation, 300_000)
    left_s = (TIMEOUT_US - 300_000) / 1e6
    assert sent == [
        (simulation.loop.clock(), "b0", (MESSAGE[0].replace(b"9.000", b"%.3f" % left_s),))
    ]
    assert attempt.was_resent
    assert attempt.deadline_us == attempt.arrived_at_us + TIMEOUT_US


def test_it_goes_to_another_balancer_if_its_own_refuses_connections(simulation, sent):
    attempt = resend_after(simulation, 0)
    simulation.clients.on_refused(attempt, "b0")
    simulation.network.loop.run_until(simulation.loop.clock() + 50_000)
    assert [balancer for _, balancer, _ in sent] == ["b0", "b1"]
    assert attempt.balancer == "b1"


def test_the_end_of_a_process_that_refused_it_excuses_nothing(simulation, sent):
    attempt = resend_after(simulation, 0)
    simulation.invariant_checker.client_attempts[attempt.id] = attempt
    simulation.clients.on_refused(attempt, "b0")
    simulation.invariant_checker.on_balancer_ended("b0", 1, simulation.loop.now, was_killed=True)
    simulation.network.loop.run_until(simulation.loop.clock() + 50_000)
    assert not attempt.abandoned
    assert [balancer for _, balancer, _ in sent] == ["b0", "b1"]


def test_it_is_lost_if_no_balancer_accepts_it_in_time(simulation, sent):
    attempt = resend_after(simulation, 0)
    for balancer in simulation.balancers.values():
        balancer.ready_at = 0
    simulation.clients.on_refused(attempt, "b0")
    simulation.network.loop.run_until(attempt.deadline_us + 100_000)
    assert len(sent) == 1
    assert simulation.invariant_checker.breach_counts["lost"] == 1
