"""The virtual network, the peers on it, and the hard cases of a simulation."""

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
        self.got, self.ends = bytearray(), []

    def opened(self):
        self.got += b"^"

    def received(self, view):
        self.got += view

    def ended(self, what):
        self.ends.append(what)


@pytest.fixture
def network():
    made = VirtualNetwork()
    yield made
    made.loop.selector.close()


def share_of(network):
    return BalancerLoop(network.loop, lambda trouble: pytest.fail(str(trouble)))


def test_a_dialled_connection_comes_up_a_round_trip_later(network):
    share, far_ends, owner = share_of(network), [], Owner()
    network.listen(("h", 1), lambda sock, who: far_ends.append((sock, who)))
    conn = Connection(share, network.dial_from(share, "b0", ("h", 1)), owner, opening=True)
    start = network.loop.time
    network.loop.run_until(start + 399)
    assert not owner.got and conn.connecting
    network.loop.run_until(start + 401)
    assert owner.got == b"^" and far_ends[0][1] == "b0"


@pytest.mark.parametrize(("state", "ends"), [("refused", True), ("silent", False), ("cut", False)])
def test_connections_that_do_not_come_up(network, state, ends):
    share, owner = share_of(network), Owner()
    if state != "refused":
        network.listen(("h", 1), lambda sock, who: pytest.fail("let in"))
    network.silent["h", 1] = state == "silent"
    network.cut["b0", ("h", 1)] = state == "cut"
    conn = Connection(share, network.dial_from(share, "b0", ("h", 1)), owner, opening=True)
    network.loop.run_until(network.loop.time + 1_000_000)
    assert bool(owner.ends) is ends and not owner.got
    conn.close()
    network.loop.run_until(network.loop.time + 1_000_000)


def test_a_buffer_that_fills_holds_up_its_writer_and_nobody_else(network):
    near, far = connected_pair()
    writer, reader = Owner(), Owner()
    conn = Connection(network.loop, near, writer)
    conn.send(bytes(1_500_000))
    network.loop.run_until(network.loop.time + 1_000_000)
    assert 0 < len(conn.write_buffer) < 1_500_000
    Connection(network.loop, far, reader)
    network.loop.run_until(network.loop.time + 1)
    assert len(reader.got) == 1_500_000 and not conn.write_buffer


def test_a_killed_share_closes_all_it_had_and_runs_no_more(network):
    share, ran, far_owner = share_of(network), [], Owner()
    near, far = connected_pair()
    Connection(share, near, Owner())
    Connection(network.loop, far, far_owner)
    door = ListeningQueue(network.loop)
    share.watch(door, READ, ran.append)
    door.connect(connected_pair()[0])
    share.call_later(10, ran.append, 1)
    share.kill()
    network.loop.run_until(network.loop.time + 100)
    assert not ran and far_owner.ends == ["closed"]


def test_a_share_that_stands_still_goes_on_where_it_was(network):
    share, ran, owner = share_of(network), [], Owner()
    near, far = connected_pair()
    Connection(share, near, owner)
    cancelled = share.call_later(3_000, ran.append, "cancelled while it stood")
    share.call_later(2_000, lambda: (ran.append(network.loop.time), cancelled.cancel()))
    start = network.loop.time
    share.pause(start + 50_000)
    far.send(b"x")
    network.loop.run_until(start + 49_000)
    assert not ran and not owner.got
    network.loop.run_until(start + 51_000)
    assert ran == [start + 50_000] and owner.got == b"x"


def test_a_balancer_killed_with_reqs_held_loses_none_of_them():
    """They are its clients' to ask again; what it held does not count as lost, and no other balancer suffers."""
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
    held = [
        ask
        for ask in simulation.invariant_checker.client_attempts.values()
        if ask.abandoned and not ask.status
    ]
    assert held and verdict["verdict"] == "kept" and simulation.balancers["b0"].incarnation == 2


@pytest.mark.parametrize("part", [1.0])
def test_a_plan_that_leaves_no_host_still_answers_everybody(part):
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
def test_every_decider_plays_and_the_oracle_sees_what_the_others_cannot(name):
    verdict, _ = play(validate_plan(SMALL), policy=name)
    assert verdict["verdict"] == "kept" and verdict["service"] > 0.9 and not verdict["faults"]


def test_what_cannot_be_played_is_told_in_a_line():
    with pytest.raises(ScenarioError, match="no policy"):
        simulation_of(validate_plan(SMALL), policy="best")
    with pytest.raises(ScenarioError, match="oracle"):
        simulation_of(validate_plan(SMALL), real=True, policy="oracle")


# --- the invariant checker's own judgement, case by case


def check(**work):
    told = {
        "name": "j",
        "work": [
            {"name": "w", "share": 1, "work-ms": 10, "target-ms": 100, "timeout-ms": 1000} | work
        ],
    }
    plan = validate_plan(told)
    invariant_checker = InvariantChecker(plan, 0)
    ask = ClientAttempt(
        b"q1", Operation(0, plan.request_classes()[0], "north", 1, 1, 0), "b0", 1, 0, 1_000_000
    )
    invariant_checker.operations.append(ask.operation)
    invariant_checker.on_client_attempt(ask)
    return invariant_checker, ask


def broken(invariant_checker):
    return [rule for rule in RULES if invariant_checker.breach_counts[rule]]


UNIQUED = {"effect": "uniqued", "write": True, "window-ms": 200}
ONCE = {"effect": "non-replayable", "write": True}


@pytest.mark.parametrize(
    ("work", "outcome", "second", "breaks"),
    [
        ({}, "error", ("o1", "all", 50_000), []),
        (ONCE, "full", ("o1", "all", 50_000), []),
        (ONCE, "error", ("o1", "all", 50_000), ["twice"]),
        (ONCE, "", ("o1", "all", 50_000), ["twice"]),
        (UNIQUED, "error", ("o1", "all", 50_000), []),
        (UNIQUED, "error", ("o1", "all", 250_000), ["twice"]),
        (UNIQUED, "error", ("o1", "other", 50_000), ["twice"]),
        (UNIQUED, "full", ("o1", "other", 900_000), []),
    ],
)
def test_a_second_dispatch_is_judged_by_what_the_first_came_to(work, outcome, second, breaks):
    invariant_checker, _ = check(**work)
    first = invariant_checker.on_host_attempt(b"q1", "o0", "all", 10_000, 10_000)
    if outcome:
        invariant_checker.on_attempt_settled(first, outcome, 20_000)
    host, group, at = second
    invariant_checker.on_host_attempt(b"q1", host, group, at, at)
    assert broken(invariant_checker) == breaks


@pytest.mark.parametrize(
    ("work", "outcome", "status", "at", "breaks"),
    [
        ({}, "error", 503, 50_000, []),
        (ONCE, "error", 503, 50_000, ["twice"]),
        (ONCE, "error", 500, 50_000, []),
        (ONCE, "full", 503, 50_000, []),
        (UNIQUED, "error", 503, 50_000, []),
        (UNIQUED | {"group": "cell"}, "error", 503, 50_000, ["twice"]),
        ({}, "error", 503, 990_000, ["late"]),
        ({}, "", 503, 990_000, []),
        ({}, "error", 503, 1_010_000, ["late"]),
        ({}, "error", 200, 50_000, ["lost"]),
    ],
)
def test_a_final_answer_is_judged_by_what_may_have_run_and_by_its_time(
    work, outcome, status, at, breaks
):
    invariant_checker, ask = check(**work)
    sent = invariant_checker.on_host_attempt(b"q1", "c0", "all", 10_000, 10_000)
    if outcome:
        invariant_checker.on_attempt_settled(sent, outcome, 20_000)
    invariant_checker.on_answer(ask, status, b"nobody made this", at)
    assert broken(invariant_checker) == breaks


@pytest.mark.parametrize(
    ("told", "first_at", "breaks"),
    [
        (("draining", 0), 240_000, []),
        (("draining", 0), 260_000, ["drain"]),
        (("gone", 0), 260_000, ["drain"]),
        (("up", 0), 900_000, []),
    ],
)
def test_a_dispatch_begun_after_the_grace_breaks_the_drain(told, first_at, breaks):
    invariant_checker, _ = check()
    invariant_checker.on_list_written("b0", "c0", *told)
    invariant_checker.on_host_attempt(b"q1", "c0", "all", first_at, first_at)
    assert broken(invariant_checker) == breaks


def test_what_is_written_before_the_list_was_told_is_no_breach_on_real_sockets():
    """Told and written race there: both times are taken by the peers, and the slack lies between them."""
    plan = validate_plan({"name": "j"})
    invariant_checker = InvariantChecker(plan, 0, slack=50_000)
    ask = ClientAttempt(
        b"q1", Operation(0, plan.request_classes()[0], "north", 1, 1, 0), "b0", 1, 0, 1_500_000
    )
    invariant_checker.on_client_attempt(ask)
    invariant_checker.on_list_written("b0", "c0", "draining", 0)
    assert isinstance(
        invariant_checker.on_host_attempt(b"q1", "c0", "all", 299_000, 299_500), HostAttempt
    ) and not broken(invariant_checker)
    invariant_checker.on_host_attempt(b"q1", "c0", "all", 301_000, 301_000)
    assert broken(invariant_checker) == ["drain"]


@pytest.mark.parametrize(
    ("moment", "noted", "breaks"),
    [
        ("before the write", CloseRecord(0, 1, 1, had_unread_bytes=False), []),
        ("before the write", None, ["lost"]),
        ("unread", CloseRecord(0, 1, 1, had_unread_bytes=True), ["lost"]),
        ("read", CloseRecord(0, 2, 1, had_unread_bytes=False), ["lost"]),
    ],
)
def test_a_connection_closed_between_reqs_is_asked_again_and_one_closed_on_a_req_is_lost(
    moment, noted, breaks
):
    """A request that was written first is owed its answer, read or not."""
    simulation = Simulation(validate_plan(SMALL))
    try:
        post = next(iter(simulation.balancers))
        balancer = simulation.balancers[post]
        balancer.alive, balancer.incarnation = True, 1
        simulation.network.listen(balancer.address, lambda sock, who: accepted.append(sock))
        accepted = []
        near = simulation.network.dial(balancer.address)
        (far,) = accepted
        link = BalancerConnection(simulation.clients, post, near, False)
        if moment == "before the write":
            far.shutdown(socket.SHUT_WR)
        if noted:
            record = noted._replace(closed_at_us=simulation.loop.clock())
            note = CloseNote(ConnectionEnd.SHUTDOWN, record)
            balancer.close_records.notes[link.number].append(note)
        ask = ClientAttempt(
            b"q7",
            Operation(0, simulation.plan.request_classes()[0], "north", 1, 1, 0),
            post,
            1,
            0,
            0,
        )
        link.request_count = 1
        link.start(ask, (b"GET /view/k1 HTTP/1.1\r\n\r\n",))
        if moment == "read":
            far.recv(100)
        far.close()
        simulation.network.loop.run_until(simulation.network.loop.time + 1_000)
        assert broken(simulation.invariant_checker) == breaks
        assert ask.was_resent is not bool(breaks)
        # sent once more, it is at the listener again
        assert len(accepted) == (1 if breaks else 2)
    finally:
        simulation.close()


def test_a_cache_keeps_what_it_has_room_for_and_a_cold_one_is_slow():
    simulation = Simulation(
        validate_plan(SMALL | {"cache": {"keys": 3, "cold-from": 0.25, "warm-s": 8, "ttl-s": 2}})
    )
    try:
        store = simulation.servers["c00"]
        store.copies.clear()
        for key in (1, 2, 3, 1, 4):
            store.store_copy(key)
        assert list(store.copies) == [3, 1, 4] and store.has_copy(3) and not store.has_copy(2)
        simulation.loop.run_until(simulation.loop.time + 2_100_000)
        assert not store.has_copy(3), "its time to live is over"
        store.stop()
        store.restart()
        assert store.warm_ratio() == 0.25
        simulation.loop.run_until(simulation.loop.time + 4_000_000)
        assert 0.6 < store.warm_ratio() < 0.65 and not store.copies
    finally:
        simulation.close()


def test_a_watch_answers_on_a_change_and_otherwise_when_its_time_is_up():
    simulation = Simulation(validate_plan(SMALL))
    try:
        agent = simulation.discovery.agents["b0"]
        near, owner = simulation.network.dial(simulation.balancers["b0"].discovery_address), Owner()
        assert not isinstance(near, AttemptFailure) and isinstance(near, socket.socket)
        conn = Connection(simulation.loop, near, owner)
        wait = simulation.loop.run_until
        conn.send(b"GET /discovery/hosts?after=1&wait_ms=500 HTTP/1.1\r\n\r\n")
        wait(simulation.loop.time + 499_000)
        assert not owner.got
        wait(simulation.loop.time + 2_000)
        assert b'"whole":false,"hosts":[]' in owner.got
        conn.send(b"GET /discovery/hosts?after=1&wait_ms=9000 HTTP/1.1\r\n\r\n")
        wait(simulation.loop.time + 10_000)
        agent.set_fault(silent=True)
        simulation.discovery.set_health("c01", "Terminating")
        wait(simulation.loop.time + 10_000)
        assert b"Terminating" not in owner.got, "it is silent"
        agent.set_fault()
        wait(simulation.loop.time + 10_000)
        assert (
            b"Terminating" in owner.got
            and simulation.invariant_checker.notified_states["b0", "c01"][0] == "draining"
        )
        assert parse_seconds(b"1") == 1_000_000
    finally:
        simulation.close()


def test_denials_are_counted_apart_where_hosts_had_capacity():
    """A verdict of kept with a third of all denied told nothing of whether hosts were full then."""
    work = {"name": "view", "share": 1, "work-ms": 200, "target-ms": 300, "timeout-ms": 1000}
    full = SMALL | {"rate": 120, "work": [work], "keys": {"count": 4000, "zipf": 0.1}}
    verdict, _ = play(validate_plan(full | {"cache": {"keys": 1}, "origin": {"cores": 1}}))
    assert verdict["denied"] > 50 > verdict["denied_with_room"] * 5
    simulation = Simulation(validate_plan(SMALL))
    try:
        assert simulation.hosts_have_capacity()
        simulation.servers["o0"].stop()
        assert not simulation.hosts_have_capacity()
    finally:
        simulation.close()


def test_a_release_of_all_caches_within_their_warm_up_leaves_no_hosts_idle_beside_denials():
    """Two denials in five came with cores to spare: where all caches were cold, none was sent to."""
    release = {"kind": "deploy", "at-s": 5, "for-s": 5, "part": 1.0}
    plan = SMALL | {"seconds": 16, "balancers": 5, "caches": 6, "rate": 150, "trouble": [release]}
    verdict, _ = play(validate_plan(plan | {"origin": {"cores": 2}}))
    assert verdict["verdict"] == "kept" and verdict["cold"] == 0
    assert verdict["denied"] > 500 and verdict["denied_with_room"] * 10 < verdict["denied"]
