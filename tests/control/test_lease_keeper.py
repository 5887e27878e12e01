"""The lease keeper of a balancer, with a virtual clock and fake control processes."""

import errno
import os
from random import Random
from types import SimpleNamespace

import pytest
from immediate_writer import ImmediateWriter

from orchidgap.control import lease_keeper, validation
from orchidgap.control.lease_keeper import LeaseKeeper
from orchidgap.control.messages import DEREGISTER, LEASE, REGISTER, SETTLE, ProposalMessage
from orchidgap.control.validation import InvalidPolicyError
from orchidgap.decisions.lease_state import ServingPermission
from orchidgap.decisions.settings import ServiceSettings
from orchidgap.net.config import ConfigError, flatten
from orchidgap.net.config.optional_parts import ControlConfig
from orchidgap.simulation.virtual_clock import VirtualClockLoop
from orchidgap.state.durable_store import DurableStore

LEASE_US = 2_000_000
DOCUMENT = {"settings": {"rule-sets": [{"name": "a", "effect": "retryable", "client-timeout": 9}]}}
NOTHING_DECIDED = {
    "ballot": [1, "k"],
    "grants": True,
    "at": 1,
    "lease": LEASE_US,
    "again": LEASE_US // 4,
    "size": 1,
    "n": 0,
    "id": "",
    "try": 0,
    "stay": {},
    "next": None,
}


class FakeControl:
    """Records calls, and answers heartbeats with `answer`, immediately or when the test requests it."""

    def __init__(self):
        self.calls = []
        self.answer = None
        self.answers_immediately = True
        self.pending = []

    @property
    def count(self):
        return len(self.calls)

    def requests(self, method):
        return [request for called, request in self.calls if called is method]

    def call(self, method, request, on_answer):
        self.calls.append((method, request))
        if method is LEASE and self.answers_immediately:
            on_answer(self.answer and method.answer_type.from_wire(self.answer))
        else:
            self.pending.append(on_answer)

    def answer_oldest_call(self, **changes):
        """Answers the oldest unanswered call."""
        wire = NOTHING_DECIDED | {"size": 3} | changes
        self.pending.pop(0)(LEASE.answer_type.from_wire(wire))

    def close(self):
        pass


def make_keeper(folder, loop, count=1, alone="leave"):
    control = ControlConfig([("127.0.0.1", 1)] * count, str(folder), alone)
    config = SimpleNamespace(name="b", control=control)
    events = []
    keeper = LeaseKeeper(
        None,
        loop,
        config,
        lambda event, **fields: events.append((event, fields)),
        DurableStore(folder),
        Random(1),
        lambda: loop.now,
    )
    keeper.events = events
    keeper.clients = [FakeControl() for _ in range(count)]
    keeper.writer = ImmediateWriter(loop, keeper.store)
    return keeper


def test_a_balancer_without_answers_calls_less_and_less_often(tmp_path):
    loop = VirtualClockLoop()
    keeper = make_keeper(tmp_path, loop)
    keeper.request_permission(lambda: None)
    loop.run_until(loop.now + 20_000_000)
    assert 6 <= keeper.clients[0].count <= 20 and not keeper.may_serve()


def test_a_decided_version_is_adopted_without_an_interruption_of_the_lease(tmp_path):
    """A balancer holds a lease under version 0, and the next answer contains the decided version 1. It adopts
    that version and holds a lease under it in the same turn, so no request is denied in between."""
    loop = VirtualClockLoop()
    keeper = make_keeper(tmp_path, loop)
    keeper.clients[0].answer = NOTHING_DECIDED
    keeper.request_permission(lambda: None)
    assert keeper.may_serve() and keeper.lease.version == 0
    seen = []
    keeper.adopt = lambda document: seen.append("adopted")
    update_permission = keeper.update_permission
    keeper.update_permission = lambda: (update_permission(), seen.append(keeper.may_serve()))
    keeper.clients[0].answer = NOTHING_DECIDED | {"n": 1, "id": "x", "try": 1, "doc": DOCUMENT}
    loop.run_until(loop.now + LEASE_US)
    assert keeper.lease.version == 1 and "adopted" in seen and False not in seen
    assert DurableStore(tmp_path).read("policy") == {"n": 1, "id": "x", "doc": DOCUMENT}


@pytest.mark.parametrize("fails", ["open_file", "write_some", "sync", "rename"])
def test_a_proposal_that_cannot_be_written_is_refused(tmp_path, fails, monkeypatch):
    """A balancer finds a proposal valid, but its disk is full. It does not promise the proposal, and reports
    the reason to control."""
    keeper = make_keeper(tmp_path, VirtualClockLoop())
    keeper.node = SimpleNamespace(config=SimpleNamespace(settings=None))
    monkeypatch.setattr(validation, "read", lambda *arguments: SimpleNamespace(settings=None))
    monkeypatch.setattr(lease_keeper, "check_startup_settings", lambda current, new: None)

    def fail_with_full_disk(*arguments):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    monkeypatch.setattr(keeper.store, fails, fail_with_full_disk)
    keeper.check_proposal(
        ProposalMessage(change_id="x", document=DOCUMENT, proposal_number=3, version=1)
    )
    assert (keeper.lease.promised_proposal, keeper.lease.refused_proposal) == (0, 3)
    assert "No space left" in keeper.lease.refusal_reason


def test_a_balancer_serves_without_a_quorum_only_if_it_has_not_promised(tmp_path):
    """Control becomes unavailable while a registered balancer serves. It continues without a lease, because
    nothing can be decided without it. Once it has promised a proposal, that may be decided, and the balancer
    has to stop."""
    loop = VirtualClockLoop()
    keeper = make_keeper(tmp_path, loop, alone="stay")
    keeper.clients[0].answer = NOTHING_DECIDED | {"stay": {"b": keeper.incarnation}}
    keeper.request_permission(lambda: None)
    keeper.clients[0].answer = None
    loop.run_until(loop.now + 2 * LEASE_US)
    assert keeper.lease.permission(loop.now) is ServingPermission.WITHOUT_QUORUM
    keeper.lease.on_write_started(1)
    assert keeper.lease.on_promise_durable(1)
    assert keeper.lease.permission(loop.now) is ServingPermission.DENIED


def test_a_dropped_proposal_is_neither_promised_nor_refused_after_its_write(tmp_path):
    """A proposal is dropped while the balancer writes it to disk. The end of the write is neither a promise nor
    a refusal."""
    keeper = make_keeper(tmp_path, VirtualClockLoop())
    keeper.lease.on_chosen_state(0, 3, False, 0)
    keeper.lease.on_write_started(3)
    keeper.lease.on_chosen_state(0, 0, False, 0)
    keeper.on_proposal_checked(
        ProposalMessage(change_id="x", document=None, proposal_number=3, version=1), ""
    )
    assert (keeper.lease.promised_proposal, keeper.lease.refused_proposal) == (0, 0)


def test_the_policy_stored_by_the_previous_process_is_logged(tmp_path):
    """A balancer starts and finds the policy that it adopted last, or a truncated file. It uses neither; the
    truncated file is set aside for inspection."""
    events = []
    store = DurableStore(tmp_path)
    store.write("policy", {"n": 4, "id": "x", "doc": DOCUMENT})
    for _ in range(2):
        keeper = make_keeper(tmp_path, VirtualClockLoop())
        keeper.request_permission(lambda: None)
        events += keeper.events
        (tmp_path / "policy").write_text("torn")
    assert ("stored policy found", {"version": 4}) in events
    assert "stored policy corrupt" in [event for event, _ in events]
    assert (tmp_path / "policy.damaged").read_text() == "torn"


def make_keeper_with_pending_heartbeat(folder, loop):
    """A keeper that has sent its first heartbeat to three control processes, which answer when the test
    requests it."""
    keeper = make_keeper(folder, loop, count=3)
    for client in keeper.clients:
        client.answers_immediately = False
    keeper.request_permission(lambda: None)
    return keeper


def events_of(keeper, name):
    return [fields for event, fields in keeper.events if event == name]


def test_grants_of_a_majority_are_a_lease_and_the_third_answer_is_ignored(tmp_path):
    """Two of three processes grant a lease under the same ballot. The third answer arrives later with another
    state and must not be combined with the first two."""
    keeper = make_keeper_with_pending_heartbeat(tmp_path, VirtualClockLoop())
    first, second, third = keeper.clients
    first.answer_oldest_call()
    assert not keeper.may_serve()
    second.answer_oldest_call()
    assert keeper.may_serve()
    update_lease = keeper.lease.on_chosen_state
    keeper.lease.on_chosen_state = pytest.fail
    third.answer_oldest_call(at=77)
    keeper.lease.on_chosen_state = update_lease
    assert keeper.last_answers_at_us == [1, 1, 77]


def test_a_chosen_state_is_reported_again_only_with_a_lease(tmp_path):
    """Two of three processes agree but only one grants a lease: the state is known, and there is no lease. The
    third one grants too, which completes a majority of grants."""
    keeper = make_keeper_with_pending_heartbeat(tmp_path, VirtualClockLoop())
    reported = []
    update_lease = keeper.lease.on_chosen_state
    keeper.lease.on_chosen_state = lambda *arguments: (
        reported.append(arguments[-1]),
        update_lease(*arguments),
    )[1]
    first, second, third = keeper.clients
    first.answer_oldest_call()
    second.answer_oldest_call(grants=False)
    assert reported == [False] and not keeper.may_serve()
    third.answer_oldest_call()
    assert reported == [False, True] and keeper.may_serve()


def test_a_state_without_a_lease_is_reported_once_per_heartbeat(tmp_path):
    keeper = make_keeper_with_pending_heartbeat(tmp_path, VirtualClockLoop())
    reported = []
    update_lease = keeper.lease.on_chosen_state
    keeper.lease.on_chosen_state = lambda *arguments: (
        reported.append(arguments[-1]),
        update_lease(*arguments),
    )[1]
    for client in keeper.clients:
        client.answer_oldest_call(grants=False)
    assert reported == [False]


def test_only_the_time_of_answers_to_an_earlier_heartbeat_is_used(tmp_path):
    """Answers take longer than the interval to the next heartbeat. A lease granted by them would start at a
    time that the acceptors no longer know."""
    loop = VirtualClockLoop()
    keeper = make_keeper_with_pending_heartbeat(tmp_path, loop)
    loop.run_until(loop.now + 700_000)
    assert all(client.count == 2 for client in keeper.clients)
    for client in keeper.clients:
        client.answer_oldest_call(at=5)
    assert not keeper.may_serve() and keeper.last_answers_at_us == [5, 5, 5]
    for client in keeper.clients[:2]:
        client.answer_oldest_call(at=6)
    assert keeper.may_serve()


def test_a_heartbeat_contains_the_time_of_the_last_received_answer(tmp_path):
    loop = VirtualClockLoop()
    keeper = make_keeper_with_pending_heartbeat(tmp_path, loop)
    keeper.clients[0].answer_oldest_call(at=41)
    keeper.clients[1].answer_oldest_call(at=42)
    loop.run_until(loop.now + LEASE_US)
    last = [client.requests(LEASE)[-1].last_answer_at_us for client in keeper.clients]
    assert last == [41, 42, 0]


def test_answers_of_a_cluster_with_another_process_count_are_ignored(tmp_path):
    """A balancer's file lists three control processes, but the cluster has five. Two answers are not a
    majority of it."""
    keeper = make_keeper_with_pending_heartbeat(tmp_path, VirtualClockLoop())
    for client in keeper.clients:
        client.answer_oldest_call(size=5)
    assert not keeper.may_serve() and keeper.lease.version == -1
    fields = events_of(keeper, "control process count differs")
    assert fields == [{"why": "cluster has 5 processes, this file 3"}] * 3


@pytest.mark.parametrize(("answering", "settles"), [(3, 1), (2, 1), (1, 0)])
def test_if_control_processes_differ_one_is_called_to_settle_the_state(
    tmp_path, answering, settles
):
    """Each process has accepted the value under a different ballot, so no value is known to be chosen. Only a
    majority can settle that."""
    keeper = make_keeper_with_pending_heartbeat(tmp_path, VirtualClockLoop())
    for number, client in enumerate(keeper.clients):
        if number < answering:
            client.answer_oldest_call(ballot=[number + 1, "k"])
        else:
            client.pending.pop(0)(None)
    assert sum(len(client.requests(SETTLE)) for client in keeper.clients) == settles
    assert not keeper.may_serve()


def test_an_answer_resets_the_backoff(tmp_path):
    loop = VirtualClockLoop()
    keeper = make_keeper_with_pending_heartbeat(tmp_path, loop)
    loop.run_until(loop.now + 5_000_000)
    assert keeper.schedule.failures > 2
    for client in keeper.clients:
        while client.pending:
            client.answer_oldest_call()
    assert keeper.schedule.failures == 0


@pytest.mark.parametrize(("alone", "registers"), [("leave", False), ("stay", True)])
def test_a_balancer_that_serves_without_a_quorum_calls_register_until_it_is_registered(
    tmp_path, alone, registers
):
    loop = VirtualClockLoop()
    keeper = make_keeper(tmp_path, loop, alone=alone)
    client = keeper.clients[0]
    client.answer = NOTHING_DECIDED | {"stay": {"b": "an earlier process"}}
    keeper.request_permission(lambda: None)
    assert bool(client.requests(REGISTER)) is registers
    assert all(one.incarnation == keeper.incarnation for one in client.requests(REGISTER))
    client.answer = NOTHING_DECIDED | {"stay": {"b": keeper.incarnation}}
    loop.run_until(loop.now + LEASE_US)
    count = len(client.requests(REGISTER))
    loop.run_until(loop.now + 4 * LEASE_US)
    assert len(client.requests(REGISTER)) == count


def test_a_balancer_that_cannot_adopt_the_version_in_force_does_not_register(tmp_path):
    """A balancer configured to serve without a quorum starts with a file that is incompatible with the policy.
    It does not serve, so no change has to wait for it. The reason is logged once."""
    loop = VirtualClockLoop()
    keeper = make_keeper(tmp_path, loop, alone="stay")

    def refuse(document):
        raise InvalidPolicyError("it does not go with this file")

    keeper.adopt = refuse
    keeper.clients[0].answer = NOTHING_DECIDED | {"n": 1, "id": "x", "try": 1, "doc": DOCUMENT}
    keeper.request_permission(lambda: None)
    loop.run_until(loop.now + 4 * LEASE_US)
    assert not keeper.may_serve() and not keeper.clients[0].requests(REGISTER)
    fields = events_of(keeper, "version invalid")
    assert fields == [{"version": 1, "why": "it does not go with this file"}]


def test_a_version_without_its_policy_is_not_adopted(tmp_path):
    keeper = make_keeper(tmp_path, VirtualClockLoop())
    keeper.adopt = pytest.fail
    keeper.clients[0].answer = NOTHING_DECIDED | {"n": 1, "id": "x", "try": 1}
    keeper.request_permission(lambda: None)
    fields = events_of(keeper, "version invalid")
    assert fields == [{"version": 1, "why": "the answer did not contain its policy"}]


class FakeNode:
    """Records the policies put into force."""

    def __init__(self, origin_kind):
        self.config = SimpleNamespace(settings=settings_with(origin_kind))
        self.in_force = []

    def put_policy_into_force(self, settings, config, accepting):
        self.in_force.append((settings, accepting))


def settings_with(origin_kind):
    settings = ServiceSettings.from_pairs(dict(flatten(DOCUMENT["settings"])))
    return settings._replace(origin_kind=origin_kind)


@pytest.fixture
def config_files(monkeypatch):
    """Replaces the reading of the balancer's file; records the configuration to be replaced."""
    previous_configs = []

    def read(path, before, settings):
        previous_configs.append(before)
        return SimpleNamespace(settings=settings_with("new"))

    monkeypatch.setattr(validation, "read", read)
    return previous_configs


def test_a_policy_with_changed_startup_settings_can_be_adopted_only_as_the_first(
    tmp_path, config_files
):
    """A balancer starts, and the policy in force has another kind of origin than its file. Nothing depends on
    that yet. Later such a policy cannot be put into force without a restart."""
    keeper = make_keeper(tmp_path, VirtualClockLoop())
    keeper.node = FakeNode("old")
    keeper.on_first_lease = lambda: None
    keeper.adopt(DOCUMENT)
    assert keeper.node.in_force == [(DOCUMENT["settings"], False)]
    keeper.lease.on_version_adopted(1)
    keeper.on_first_lease = None
    with pytest.raises(InvalidPolicyError, match="origin_kind cannot change while"):
        keeper.adopt(DOCUMENT)
    keeper.node = FakeNode("new")
    keeper.adopt(DOCUMENT)
    assert keeper.node.in_force == [(DOCUMENT["settings"], True)]
    assert config_files == [None, None, None]


def test_a_proposal_that_needs_a_restart_is_refused_and_reported_immediately(
    tmp_path, config_files
):
    loop = VirtualClockLoop()
    keeper = make_keeper(tmp_path, loop)
    keeper.node = FakeNode("old")
    proposal = ProposalMessage(change_id="x", document=DOCUMENT, proposal_number=3, version=1)
    keeper.check_proposal(proposal)
    assert keeper.lease.refused_proposal == 3 and "origin_kind" in keeper.lease.refusal_reason
    assert config_files == [keeper.node.config]
    assert DurableStore(tmp_path).read("promise") is None
    loop.run_until(loop.now + 1_000)
    sent = keeper.clients[0].requests(LEASE)[-1]
    assert (sent.refused_proposal, sent.refusal_reason) == (3, keeper.lease.refusal_reason)


def test_a_proposal_is_promised_once_it_is_durable_and_reported_immediately(tmp_path, config_files):
    loop = VirtualClockLoop()
    keeper = make_keeper(tmp_path, loop)
    keeper.node = FakeNode("new")
    proposal = ProposalMessage(change_id="x", document=DOCUMENT, proposal_number=3, version=1)
    keeper.check_proposal(proposal)
    assert keeper.lease.promised_proposal == 3
    stored = {"id": "x", "doc": DOCUMENT, "try": 3, "n": 1}
    assert DurableStore(tmp_path).read("promise") == stored
    assert events_of(keeper, "proposal promised") == [{"version": 1, "change": "x"}]
    loop.run_until(loop.now + 1_000)
    assert keeper.clients[0].requests(LEASE)[-1].promised_proposal == 3


def test_a_process_that_shuts_down_promises_nothing(tmp_path):
    """A write ends while the process deregisters. A promise would make control wait for a process that ends."""
    keeper = make_keeper(tmp_path, VirtualClockLoop())
    keeper.lease.on_chosen_state(0, 3, False, 0)
    keeper.lease.on_write_started(3)
    keeper.closing = True
    proposal = ProposalMessage(change_id="x", document=None, proposal_number=3, version=1)
    keeper.on_proposal_checked(proposal, "")
    assert not keeper.lease.promised_proposal


def test_a_process_that_shuts_down_deregisters_and_waits_briefly_for_answers(tmp_path):
    """One of three control processes is unavailable. The shutdown must not wait for it without a limit."""
    now_us = [0]

    def run_once(max_wait_us):
        now_us[0] += max_wait_us

    keeper = make_keeper(tmp_path, VirtualClockLoop(), count=3)
    keeper.loop = SimpleNamespace(clock=lambda: now_us[0], run_once=run_once)
    keeper.close()
    assert 300_000 <= now_us[0] <= 320_000
    for client in keeper.clients:
        assert client.requests(DEREGISTER) == [keeper._member()]
    keeper.send_heartbeat()
    assert not any(client.requests(LEASE) for client in keeper.clients)


def test_the_listener_opens_once_and_changes_of_the_permission_are_logged(tmp_path):
    loop = VirtualClockLoop()
    keeper = make_keeper(tmp_path, loop)
    opened = []
    keeper.clients[0].answer = NOTHING_DECIDED
    keeper.request_permission(lambda: opened.append(loop.now))
    loop.run_until(loop.now + 3 * LEASE_US)
    keeper.clients[0].answer = None
    loop.run_until(loop.now + 3 * LEASE_US)
    assert len(opened) == 1
    changes = [
        (fields["before"], fields["now"]) for fields in events_of(keeper, "serving permission")
    ]
    assert changes == [("denied", "lease"), ("lease", "denied")]


def test_a_listener_that_cannot_be_opened_ends_the_process(tmp_path):
    loop = VirtualClockLoop()
    keeper = make_keeper(tmp_path, loop)
    keeper.clients[0].answer = NOTHING_DECIDED

    def fail():
        raise ConfigError("cannot listen on 127.0.0.1:1")

    loop.running = True
    keeper.request_permission(fail)
    assert loop.running is False
    assert events_of(keeper, "ends") == [{"why": "cannot listen on 127.0.0.1:1"}]


def test_answers_received_during_shutdown_are_ignored(tmp_path):
    """A process waits for the answers to its deregistration and receives answers to the last heartbeat. It must
    not accept a lease, register, or start to promise a proposal."""
    keeper = make_keeper_with_pending_heartbeat(tmp_path, VirtualClockLoop())
    keeper.closing = True
    for client in keeper.clients:
        client.answer_oldest_call()
    assert not keeper.may_serve() and keeper.lease.version == -1
