"""The virtual network, the simulated peers on it, and edge cases of a simulation."""

import socket

import pytest

from orchidgap.errors import ScenarioError
from orchidgap.http1.writers import parse_seconds
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection
from orchidgap.net.loop import READ
from orchidgap.net.traffic_counts import ConnectionEnd
from orchidgap.simulation.balancer_connection import BalancerConnection
from orchidgap.simulation.balancer_loop import BalancerLoop
from orchidgap.simulation.baselines import POLICY_NAMES
from orchidgap.simulation.close_records import CloseNote
from orchidgap.simulation.invariant_checker import RULES, InvariantChecker
from orchidgap.simulation.listening_queue import ListeningQueue
from orchidgap.simulation.observations import ClientAttempt, HostAttempt, Operation
from orchidgap.simulation.plan_file import validate_plan
from orchidgap.simulation.request_end import CloseRecord
from orchidgap.simulation.runner import play, simulation_of
from orchidgap.simulation.simulation import Simulation
from orchidgap.simulation.virtual_network import VirtualNetwork, connected_pair

SMALL = {"name": "small", "seconds": 4, "balancers": 2, "caches": 3, "rate": 60}


class Owner:
    def __init__(self):
        self.received_bytes, self.ends = bytearray(), []

    def on_connected(self):
        self.received_bytes += b"^"

    def on_data(self, view):
        self.received_bytes += view

    def on_closed(self, reason):
        self.ends.append(reason)


@pytest.fixture
def network():
    made = VirtualNetwork()
    yield made
    made.loop.selector.close()


def balancer_loop(network):
    return BalancerLoop(network.loop, lambda error: pytest.fail(str(error)))


def test_a_dialled_connection_is_established_a_round_trip_later(network):
    loop, far_ends, owner = balancer_loop(network), [], Owner()
    network.listen(("h", 1), lambda sock, who: far_ends.append((sock, who)))
    conn = Connection(loop, network.dial_from(loop, "b0", ("h", 1)), owner, opening=True)
    start = network.loop.time
    network.loop.run_until(start + 399)
    assert not owner.received_bytes and conn.connecting
    network.loop.run_until(start + 401)
    assert owner.received_bytes == b"^" and far_ends[0][1] == "b0"


@pytest.mark.parametrize(("state", "ends"), [("refused", True), ("silent", False), ("cut", False)])
def test_connections_that_are_not_established(network, state, ends):
    loop, owner = balancer_loop(network), Owner()
    if state != "refused":
        network.listen(("h", 1), lambda sock, who: pytest.fail("accepted"))
    network.silent["h", 1] = state == "silent"
    network.cut["b0", ("h", 1)] = state == "cut"
    conn = Connection(loop, network.dial_from(loop, "b0", ("h", 1)), owner, opening=True)
    network.loop.run_until(network.loop.time + 1_000_000)
    assert bool(owner.ends) is ends and not owner.received_bytes
    conn.close()
    network.loop.run_until(network.loop.time + 1_000_000)


def test_a_full_buffer_blocks_only_its_writer(network):
    near, far = connected_pair()
    writer, reader = Owner(), Owner()
    conn = Connection(network.loop, near, writer)
    conn.send(bytes(1_500_000))
    network.loop.run_until(network.loop.time + 1_000_000)
    assert 0 < len(conn.write_buffer) < 1_500_000
    Connection(network.loop, far, reader)
    network.loop.run_until(network.loop.time + 1)
    assert len(reader.received_bytes) == 1_500_000 and not conn.write_buffer


def test_a_killed_balancer_loop_closes_its_connections_and_runs_no_timers(network):
    loop, ran, far_owner = balancer_loop(network), [], Owner()
    near, far = connected_pair()
    Connection(loop, near, Owner())
    Connection(network.loop, far, far_owner)
    listener = ListeningQueue(network.loop)
    loop.watch(listener, READ, ran.append)
    listener.connect(connected_pair()[0])
    loop.call_later(10, ran.append, 1)
    loop.kill()
    network.loop.run_until(network.loop.time + 100)
    assert not ran and far_owner.ends == ["closed"]


def test_a_paused_balancer_loop_continues_where_it_stopped(network):
    loop, ran, owner = balancer_loop(network), [], Owner()
    near, far = connected_pair()
    Connection(loop, near, owner)
    cancelled = loop.call_later(3_000, ran.append, "cancelled during the pause")
    loop.call_later(2_000, lambda: (ran.append(network.loop.time), cancelled.cancel()))
    start = network.loop.time
    loop.pause(start + 50_000)
    far.send(b"x")
    network.loop.run_until(start + 49_000)
    assert not ran and not owner.received_bytes
    network.loop.run_until(start + 51_000)
    assert ran == [start + 50_000] and owner.received_bytes == b"x"


def test_requests_of_a_killed_balancer_do_not_count_as_lost():
    """Their clients retry them, and the other balancers are not affected."""
    plan = validate_plan(
        SMALL
        | {
            "trouble": [
                {"kind": "stopped-origin", "at-s": 1, "for-s": 3},
                {"kind": "balancer-kill", "at-s": 2, "for-s": 1, "target": "b0"},
            ]
        }
    )
    verdict, simulation = play(plan)
    abandoned = [
        attempt
        for attempt in simulation.invariant_checker.client_attempts.values()
        if attempt.abandoned and not attempt.status
    ]
    assert (
        abandoned and verdict["verdict"] == "kept" and simulation.balancers["b0"].incarnation == 2
    )


@pytest.mark.parametrize("part", [1.0])
def test_all_requests_are_answered_when_no_host_is_left(part):
    plan = validate_plan(
        SMALL
        | {
            "trouble": [
                {"kind": "shrink", "at-s": 0.5, "for-s": 0.5, "part": part},
                {"kind": "stopped-origin", "at-s": 1, "for-s": 60},
            ]
        }
    )
    verdict, _ = play(plan)
    assert verdict["verdict"] == "kept" and verdict["denied"] + verdict["aborted"] > 50


@pytest.mark.parametrize("name", POLICY_NAMES)
def test_every_policy_can_be_simulated(name):
    verdict, _ = play(validate_plan(SMALL), policy=name)
    assert verdict["verdict"] == "kept" and verdict["service"] > 0.9 and not verdict["faults"]


def test_an_unplayable_policy_is_a_scenario_error():
    with pytest.raises(ScenarioError, match="no policy"):
        simulation_of(validate_plan(SMALL), policy="best")
    with pytest.raises(ScenarioError, match="oracle"):
        simulation_of(validate_plan(SMALL), real=True, policy="oracle")


# --- the checks of the invariant checker, case by case


def checker_with_attempt(**class_changes):
    plan_table = {
        "name": "j",
        "work": [
            {"name": "w", "share": 1, "work-ms": 10, "target-ms": 100, "timeout-ms": 1000}
            | class_changes
        ],
    }
    plan = validate_plan(plan_table)
    invariant_checker = InvariantChecker(plan, 0)
    attempt = ClientAttempt(
        b"q1", Operation(0, plan.request_classes()[0], "north", 1, 1, 0), "b0", 1, 0, 1_000_000
    )
    invariant_checker.operations.append(attempt.operation)
    invariant_checker.on_client_attempt(attempt)
    return invariant_checker, attempt


def broken_rules(invariant_checker):
    return [rule for rule in RULES if invariant_checker.breach_counts[rule]]


KEYED_WRITE = {"effect": "uniqued", "write": True, "window-ms": 200}
NON_REPLAYABLE_WRITE = {"effect": "non-replayable", "write": True}


@pytest.mark.parametrize(
    ("class_changes", "outcome", "second", "breaks"),
    [
        ({}, "error", ("o1", "all", 50_000), []),
        (NON_REPLAYABLE_WRITE, "full", ("o1", "all", 50_000), []),
        (NON_REPLAYABLE_WRITE, "error", ("o1", "all", 50_000), ["twice"]),
        (NON_REPLAYABLE_WRITE, "", ("o1", "all", 50_000), ["twice"]),
        (KEYED_WRITE, "error", ("o1", "all", 50_000), []),
        (KEYED_WRITE, "error", ("o1", "all", 250_000), ["twice"]),
        (KEYED_WRITE, "error", ("o1", "other", 50_000), ["twice"]),
        (KEYED_WRITE, "full", ("o1", "other", 900_000), []),
    ],
)
def test_a_second_attempt_is_checked_by_the_outcome_of_the_first(
    class_changes, outcome, second, breaks
):
    invariant_checker, _ = checker_with_attempt(**class_changes)
    first = invariant_checker.on_host_attempt(b"q1", "o0", "all", 10_000, 10_000)
    if outcome:
        invariant_checker.on_attempt_settled(first, outcome, 20_000)
    host, group, at = second
    invariant_checker.on_host_attempt(b"q1", host, group, at, at)
    assert broken_rules(invariant_checker) == breaks


@pytest.mark.parametrize(
    ("class_changes", "outcome", "status", "at", "breaks"),
    [
        ({}, "error", 503, 50_000, []),
        (NON_REPLAYABLE_WRITE, "error", 503, 50_000, ["twice"]),
        (NON_REPLAYABLE_WRITE, "error", 500, 50_000, []),
        (NON_REPLAYABLE_WRITE, "full", 503, 50_000, []),
        (KEYED_WRITE, "error", 503, 50_000, []),
        (KEYED_WRITE | {"group": "cell"}, "error", 503, 50_000, ["twice"]),
        ({}, "error", 503, 990_000, ["late"]),
        ({}, "", 503, 990_000, []),
        ({}, "error", 503, 1_010_000, ["late"]),
        ({}, "error", 200, 50_000, ["lost"]),
    ],
)
def test_a_final_answer_is_checked_by_possibly_executed_attempts_and_by_its_time(
    class_changes, outcome, status, at, breaks
):
    invariant_checker, attempt = checker_with_attempt(**class_changes)
    sent = invariant_checker.on_host_attempt(b"q1", "c0", "all", 10_000, 10_000)
    if outcome:
        invariant_checker.on_attempt_settled(sent, outcome, 20_000)
    invariant_checker.on_answer(attempt, status, b"nobody made this", at)
    assert broken_rules(invariant_checker) == breaks


@pytest.mark.parametrize(
    ("notified", "first_at", "breaks"),
    [
        (("draining", 0), 240_000, []),
        (("draining", 0), 260_000, ["drain"]),
        (("gone", 0), 260_000, ["drain"]),
        (("up", 0), 900_000, []),
    ],
)
def test_an_attempt_begun_after_the_grace_breaks_the_drain(notified, first_at, breaks):
    invariant_checker, _ = checker_with_attempt()
    invariant_checker.on_list_written("b0", "c0", *notified)
    invariant_checker.on_host_attempt(b"q1", "c0", "all", first_at, first_at)
    assert broken_rules(invariant_checker) == breaks


def test_an_attempt_within_the_tolerance_after_the_grace_is_no_breach_on_real_sockets():
    """The peers take the times of both the list and the attempt, which race within the tolerance."""
    plan = validate_plan({"name": "j"})
    invariant_checker = InvariantChecker(plan, 0, tolerance_us=50_000)
    attempt = ClientAttempt(
        b"q1", Operation(0, plan.request_classes()[0], "north", 1, 1, 0), "b0", 1, 0, 1_500_000
    )
    invariant_checker.on_client_attempt(attempt)
    invariant_checker.on_list_written("b0", "c0", "draining", 0)
    assert isinstance(
        invariant_checker.on_host_attempt(b"q1", "c0", "all", 299_000, 299_500), HostAttempt
    ) and not broken_rules(invariant_checker)
    invariant_checker.on_host_attempt(b"q1", "c0", "all", 301_000, 301_000)
    assert broken_rules(invariant_checker) == ["drain"]


@pytest.mark.parametrize(
    ("moment", "record", "breaks"),
    [
        ("before the write", CloseRecord(0, 1, 1, had_unread_bytes=False), []),
        ("before the write", None, ["lost"]),
        ("unread", CloseRecord(0, 1, 1, had_unread_bytes=True), ["lost"]),
        ("read", CloseRecord(0, 2, 1, had_unread_bytes=False), ["lost"]),
    ],
)
def test_a_request_is_resent_if_its_connection_was_closed_before_it_and_else_is_lost(
    moment, record, breaks
):
    """A request that was written before the close must be answered, whether it was read or not."""
    simulation = Simulation(validate_plan(SMALL))
    try:
        name = next(iter(simulation.balancers))
        balancer = simulation.balancers[name]
        balancer.alive, balancer.incarnation = True, 1
        simulation.network.listen(balancer.address, lambda sock, who: accepted.append(sock))
        accepted = []
        near = simulation.network.dial(balancer.address)
        (far,) = accepted
        connection = BalancerConnection(simulation.clients, name, near, False)
        if moment == "before the write":
            far.shutdown(socket.SHUT_WR)
        if record:
            closed = record._replace(closed_at_us=simulation.loop.clock())
            note = CloseNote(ConnectionEnd.SHUTDOWN, closed)
            balancer.close_records.notes[connection.number].append(note)
        attempt = ClientAttempt(
            b"q7",
            Operation(0, simulation.plan.request_classes()[0], "north", 1, 1, 0),
            name,
            1,
            0,
            0,
        )
        connection.request_count = 1
        connection.start(attempt, (b"GET /view/k1 HTTP/1.1\r\n\r\n",))
        if moment == "read":
            far.recv(100)
        far.close()
        simulation.network.loop.run_until(simulation.network.loop.time + 1_000)
        assert broken_rules(simulation.invariant_checker) == breaks
        assert attempt.was_resent is not bool(breaks)
        # a resent request arrives on a second connection
        assert len(accepted) == (1 if breaks else 2)
    finally:
        simulation.close()


def test_a_cache_evicts_keys_beyond_its_capacity_and_a_cold_one_is_slow():
    simulation = Simulation(
        validate_plan(SMALL | {"cache": {"keys": 3, "cold-from": 0.25, "warm-s": 8, "ttl-s": 2}})
    )
    try:
        host = simulation.servers["c00"]
        host.copies.clear()
        for key in (1, 2, 3, 1, 4):
            host.store_copy(key)
        assert list(host.copies) == [3, 1, 4] and host.has_copy(3) and not host.has_copy(2)
        simulation.loop.run_until(simulation.loop.time + 2_100_000)
        assert not host.has_copy(3), "its time to live has expired"
        host.stop()
        host.restart()
        assert host.warm_ratio() == 0.25
        simulation.loop.run_until(simulation.loop.time + 4_000_000)
        assert 0.6 < host.warm_ratio() < 0.65 and not host.copies
    finally:
        simulation.close()


def test_a_watch_answers_on_a_change_or_at_its_timeout():
    simulation = Simulation(validate_plan(SMALL))
    try:
        agent = simulation.discovery.agents["b0"]
        near, owner = simulation.network.dial(simulation.balancers["b0"].discovery_address), Owner()
        assert not isinstance(near, AttemptFailure) and isinstance(near, socket.socket)
        conn = Connection(simulation.loop, near, owner)
        run_until = simulation.loop.run_until
        conn.send(b"GET /discovery/hosts?after=1&wait_ms=500 HTTP/1.1\r\n\r\n")
        run_until(simulation.loop.time + 499_000)
        assert not owner.received_bytes
        run_until(simulation.loop.time + 2_000)
        assert b'"whole":false,"hosts":[]' in owner.received_bytes
        conn.send(b"GET /discovery/hosts?after=1&wait_ms=9000 HTTP/1.1\r\n\r\n")
        run_until(simulation.loop.time + 10_000)
        agent.set_fault(silent=True)
        simulation.discovery.set_health("c01", "Terminating")
        run_until(simulation.loop.time + 10_000)
        assert b"Terminating" not in owner.received_bytes, "discovery is silent"
        agent.set_fault()
        run_until(simulation.loop.time + 10_000)
        assert (
            b"Terminating" in owner.received_bytes
            and simulation.invariant_checker.notified_states["b0", "c01"][0] == "draining"
        )
        assert parse_seconds(b"1") == 1_000_000
    finally:
        simulation.close()


def test_denials_while_hosts_had_capacity_are_counted_separately():
    """A verdict of kept with a third of all requests denied did not show whether hosts were full."""
    view = {
        "name": "view",
        "share": 1,
        "work-ms": 200,
        "target-ms": 300,
        "timeout-ms": 1000,
    }
    full = SMALL | {
        "rate": 120,
        "work": [view],
        "keys": {"count": 4000, "zipf": 0.1},
    }
    verdict, _ = play(validate_plan(full | {"cache": {"keys": 1}, "origin": {"cores": 1}}))
    assert verdict["denied"] > 50 > verdict["denied_with_room"] * 5
    simulation = Simulation(validate_plan(SMALL))
    try:
        assert simulation.hosts_have_capacity()
        simulation.servers["o0"].stop()
        assert not simulation.hosts_have_capacity()
    finally:
        simulation.close()


def test_a_release_of_all_caches_within_their_warm_up_causes_no_denials_beside_idle_hosts():
    """Two denials in five came while cores were idle, as no request was sent while all caches were cold."""
    release = {"kind": "deploy", "at-s": 5, "for-s": 5, "part": 1.0}
    plan = SMALL | {"seconds": 16, "balancers": 5, "caches": 6, "rate": 150, "trouble": [release]}
    verdict, _ = play(validate_plan(plan | {"origin": {"cores": 2}}))
    assert verdict["verdict"] == "kept" and verdict["cold"] == 0
    assert verdict["denied"] > 500 and verdict["denied_with_room"] * 10 < verdict["denied"]
