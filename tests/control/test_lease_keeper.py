"""A balancer's side of control, on a virtual clock; control processes are stand-ins."""

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
    """Notes calls, and answers heartbeats with what it is told to: at once, or later by hand."""

    def __init__(self):
        self.calls = []
        self.answer = None
        self.answers_immediately = True
        self.waiting = []

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
            self.waiting.append(on_answer)

    def answer_oldest_call(self, **changes):
        """Answer the call that waits for longest."""
        wire = NOTHING_DECIDED | {"size": 3} | changes
        self.waiting.pop(0)(LEASE.answer_type.from_wire(wire))

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


def test_a_balancer_that_is_not_answered_calls_ever_more_rarely(tmp_path):
    loop = VirtualClockLoop()
    keeper = make_keeper(tmp_path, loop)
    keeper.begin(lambda: None)
    loop.run_until(loop.now + 20_000_000)
    assert 6 <= keeper.clients[0].count <= 20 and not keeper.may_serve()


def test_a_decided_version_is_taken_without_a_moment_without_a_lease(tmp_path):
    """A balancer holds a lease under version 0. The next answer tells that version 1 is decided. It
    adopts that and holds a lease under it in the same turn, so no request is denied between."""
    loop = VirtualClockLoop()
    keeper = make_keeper(tmp_path, loop)
    keeper.clients[0].answer = NOTHING_DECIDED
    keeper.begin(lambda: None)
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
def test_a_promise_that_cannot_be_written_is_a_refusal(tmp_path, fails, monkeypatch):
    """A balancer checks a proposal and finds it good, but its disk is full. Control is told why, and
    no promise is given."""
    keeper = make_keeper(tmp_path, VirtualClockLoop())
    keeper.node = SimpleNamespace(config=SimpleNamespace(settings=None))
    monkeypatch.setattr(validation, "read", lambda *told: SimpleNamespace(settings=None))
    monkeypatch.setattr(lease_keeper, "check_startup_settings", lambda current, new: None)

    def full(*told):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    monkeypatch.setattr(keeper.store, fails, full)
    keeper.check_proposal(
        ProposalMessage(change_id="x", document=DOCUMENT, proposal_number=3, version=1)
    )
    assert (keeper.lease.promised_proposal, keeper.lease.refused_proposal) == (0, 3)
    assert "No space left" in keeper.lease.refusal_reason


def test_alone_it_stays_only_without_a_promise(tmp_path):
    """Control goes away while a registered balancer serves. It goes on without a lease, as nothing can
    be decided without it. Once it has promised a proposal, that may be decided, and it has to stop."""
    loop = VirtualClockLoop()
    keeper = make_keeper(tmp_path, loop, alone="stay")
    keeper.clients[0].answer = NOTHING_DECIDED | {"stay": {"b": keeper.incarnation}}
    keeper.begin(lambda: None)
    keeper.clients[0].answer = None
    loop.run_until(loop.now + 2 * LEASE_US)
    assert keeper.lease.permission(loop.now) is ServingPermission.WITHOUT_QUORUM
    keeper.lease.on_write_started(1)
    assert keeper.lease.on_promise_durable(1)
    assert keeper.lease.permission(loop.now) is ServingPermission.DENIED


def test_a_promise_that_took_too_long_binds_nobody(tmp_path):
    """A proposal is on its way to the disk, and is dropped meanwhile. The write ends after that: it is
    neither a promise nor a refusal."""
    keeper = make_keeper(tmp_path, VirtualClockLoop())
    keeper.lease.on_chosen_state(0, 3, False, 0)
    keeper.lease.on_write_started(3)
    keeper.lease.on_chosen_state(0, 0, False, 0)
    keeper.on_proposal_checked(
        ProposalMessage(change_id="x", document=None, proposal_number=3, version=1), ""
    )
    assert (keeper.lease.promised_proposal, keeper.lease.refused_proposal) == (0, 0)


def test_what_the_process_before_left_is_looked_at(tmp_path):
    """A balancer starts and finds the policy that it adopted last, or a file that is torn. Neither is
    used; the torn one is set aside for whoever wants to look at it."""
    events = []
    store = DurableStore(tmp_path)
    store.write("policy", {"n": 4, "id": "x", "doc": DOCUMENT})
    for _ in range(2):
        keeper = make_keeper(tmp_path, VirtualClockLoop())
        keeper.begin(lambda: None)
        events += keeper.events
        (tmp_path / "policy").write_text("torn")
    assert ("stored policy found", {"version": 4}) in events
    assert "stored policy corrupt" in [event for event, _ in events]
    assert (tmp_path / "policy.damaged").read_text() == "torn"


def make_keeper_with_pending_heartbeat(folder, loop):
    """One of three control processes, whose answers come when the test says so; it has sent its first
    heartbeat."""
    keeper = make_keeper(folder, loop, count=3)
    for client in keeper.clients:
        client.answers_immediately = False
    keeper.begin(lambda: None)
    return keeper


def events_of(keeper, name):
    return [fields for event, fields in keeper.events if event == name]


def test_a_majority_s_grants_make_a_lease_and_the_third_answer_adds_nothing(tmp_path):
    """Two of three grant a lease under one ballot. The third answer comes after that and tells of another
    state; it must not count with the two before."""
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


def test_a_state_that_is_chosen_counts_once_until_a_lease_is_granted(tmp_path):
    """Two of three agree and only one grants: the state is known, and there is no lease. The third one
    grants too and makes a majority of grants."""
    keeper = make_keeper_with_pending_heartbeat(tmp_path, VirtualClockLoop())
    told = []
    update_lease = keeper.lease.on_chosen_state
    keeper.lease.on_chosen_state = lambda *fields: (told.append(fields[-1]), update_lease(*fields))[
        1
    ]
    first, second, third = keeper.clients
    first.answer_oldest_call()
    second.answer_oldest_call(grants=False)
    assert told == [False] and not keeper.may_serve()
    third.answer_oldest_call()
    assert told == [False, True] and keeper.may_serve()


def test_a_state_without_a_lease_is_told_once_for_one_heartbeat(tmp_path):
    keeper = make_keeper_with_pending_heartbeat(tmp_path, VirtualClockLoop())
    told = []
    update_lease = keeper.lease.on_chosen_state
    keeper.lease.on_chosen_state = lambda *fields: (told.append(fields[-1]), update_lease(*fields))[
        1
    ]
    for client in keeper.clients:
        client.answer_oldest_call(grants=False)
    assert told == [False]


def test_answers_to_an_earlier_heartbeat_count_for_nothing_but_their_time(tmp_path):
    """Answers take longer than the wait for the next heartbeat. A lease by them would count from a time
    that the acceptors do not know any more."""
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


def test_the_next_heartbeat_tells_which_answer_was_heard_last(tmp_path):
    loop = VirtualClockLoop()
    keeper = make_keeper_with_pending_heartbeat(tmp_path, loop)
    keeper.clients[0].answer_oldest_call(at=41)
    keeper.clients[1].answer_oldest_call(at=42)
    loop.run_until(loop.now + LEASE_US)
    last = [client.requests(LEASE)[-1].last_answer_at_us for client in keeper.clients]
    assert last == [41, 42, 0]


def test_answers_of_a_cluster_of_another_size_count_for_nothing(tmp_path):
    """A balancer's file lists three control processes, and those that it calls are five: two answers are
    no majority."""
    keeper = make_keeper_with_pending_heartbeat(tmp_path, VirtualClockLoop())
    for client in keeper.clients:
        client.answer_oldest_call(size=5)
    assert not keeper.may_serve() and keeper.lease.version == -1
    fields = events_of(keeper, "control process count differs")
    assert fields == [{"why": "cluster has 5 processes, this file 3"}] * 3


@pytest.mark.parametrize(("answering", "settles"), [(3, 1), (2, 1), (1, 0)])
def test_where_control_processes_differ_one_is_asked_to_find_out(tmp_path, answering, settles):
    """Each has accepted the value under another ballot, so no value is certainly chosen. Only a majority
    can find out."""
    keeper = make_keeper_with_pending_heartbeat(tmp_path, VirtualClockLoop())
    for number, client in enumerate(keeper.clients):
        if number < answering:
            client.answer_oldest_call(ballot=[number + 1, "k"])
        else:
            client.waiting.pop(0)(None)
    assert sum(len(client.requests(SETTLE)) for client in keeper.clients) == settles
    assert not keeper.may_serve()


def test_the_back_off_begins_anew_with_an_answer(tmp_path):
    loop = VirtualClockLoop()
    keeper = make_keeper_with_pending_heartbeat(tmp_path, loop)
    loop.run_until(loop.now + 5_000_000)
    assert keeper.schedule.failures > 2
    for client in keeper.clients:
        while client.waiting:
            client.answer_oldest_call()
    assert keeper.schedule.failures == 0


@pytest.mark.parametrize(("alone", "registers"), [("leave", False), ("stay", True)])
def test_who_stays_without_a_quorum_registers_until_control_knows(tmp_path, alone, registers):
    loop = VirtualClockLoop()
    keeper = make_keeper(tmp_path, loop, alone=alone)
    client = keeper.clients[0]
    client.answer = NOTHING_DECIDED | {"stay": {"b": "an earlier process"}}
    keeper.begin(lambda: None)
    assert bool(client.requests(REGISTER)) is registers
    assert all(one.incarnation == keeper.incarnation for one in client.requests(REGISTER))
    client.answer = NOTHING_DECIDED | {"stay": {"b": keeper.incarnation}}
    loop.run_until(loop.now + LEASE_US)
    count = len(client.requests(REGISTER))
    loop.run_until(loop.now + 4 * LEASE_US)
    assert len(client.requests(REGISTER)) == count


def test_who_cannot_adopt_the_version_in_force_does_not_register(tmp_path):
    """A balancer that stays without a quorum starts with a file that the policy does not go with. It does
    not serve, so no change has to wait for it. The reason stands in the log once."""
    loop = VirtualClockLoop()
    keeper = make_keeper(tmp_path, loop, alone="stay")

    def refuse(document):
        raise InvalidPolicyError("it does not go with this file")

    keeper.adopt = refuse
    keeper.clients[0].answer = NOTHING_DECIDED | {"n": 1, "id": "x", "try": 1, "doc": DOCUMENT}
    keeper.begin(lambda: None)
    loop.run_until(loop.now + 4 * LEASE_US)
    assert not keeper.may_serve() and not keeper.clients[0].requests(REGISTER)
    fields = events_of(keeper, "version invalid")
    assert fields == [{"version": 1, "why": "it does not go with this file"}]


def test_a_version_whose_policy_did_not_come_is_not_adopted(tmp_path):
    keeper = make_keeper(tmp_path, VirtualClockLoop())
    keeper.adopt = pytest.fail
    keeper.clients[0].answer = NOTHING_DECIDED | {"n": 1, "id": "x", "try": 1}
    keeper.begin(lambda: None)
    fields = events_of(keeper, "version invalid")
    assert fields == [{"version": 1, "why": "the answer did not contain its policy"}]


class FakeNode:
    """Notes what is put into force."""

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
    """The balancer's file as it is read under a policy; notes what it has to be able to follow."""
    followed = []

    def read(path, before, settings):
        followed.append(before)
        return SimpleNamespace(settings=settings_with("new"))

    monkeypatch.setattr(validation, "read", read)
    return followed


def test_a_policy_that_changes_startup_settings_can_be_adopted_only_before_the_first(
    tmp_path, config_files
):
    """A balancer starts, and the policy in force has another kind of origin than its file: nothing depends
    on that yet. Later such a policy cannot be in force without a restart."""
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


def test_a_proposal_that_needs_a_restart_is_refused_and_control_told_at_once(
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


def test_a_proposal_is_promised_when_it_is_on_the_disk_and_control_told_at_once(
    tmp_path, config_files
):
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


def test_a_process_that_ends_promises_nothing_more(tmp_path):
    """Its write ends while it says good-bye: a promise would make control wait for nobody."""
    keeper = make_keeper(tmp_path, VirtualClockLoop())
    keeper.lease.on_chosen_state(0, 3, False, 0)
    keeper.lease.on_write_started(3)
    keeper.closing = True
    proposal = ProposalMessage(change_id="x", document=None, proposal_number=3, version=1)
    keeper.on_proposal_checked(proposal, "")
    assert not keeper.lease.promised_proposal


def test_a_process_that_ends_deregisters_and_waits_a_moment_for_answers(tmp_path):
    """One control process of three is away: the end must not wait for it without a limit."""
    now_us = [0]

    def run_once(longest_us):
        now_us[0] += longest_us

    keeper = make_keeper(tmp_path, VirtualClockLoop(), count=3)
    keeper.loop = SimpleNamespace(clock=lambda: now_us[0], run_once=run_once)
    keeper.close()
    assert 300_000 <= now_us[0] <= 320_000
    for client in keeper.clients:
        assert client.requests(DEREGISTER) == [keeper._member()]
    keeper.send_heartbeat()
    assert not any(client.requests(LEASE) for client in keeper.clients)


def test_the_listener_opens_once_and_the_permission_is_logged_where_it_changes(tmp_path):
    loop = VirtualClockLoop()
    keeper = make_keeper(tmp_path, loop)
    opened = []
    keeper.clients[0].answer = NOTHING_DECIDED
    keeper.begin(lambda: opened.append(loop.now))
    loop.run_until(loop.now + 3 * LEASE_US)
    keeper.clients[0].answer = None
    loop.run_until(loop.now + 3 * LEASE_US)
    assert len(opened) == 1
    changes = [
        (fields["before"], fields["now"]) for fields in events_of(keeper, "serving permission")
    ]
    assert changes == [("denied", "lease"), ("lease", "denied")]


def test_a_listener_that_cannot_open_ends_the_process(tmp_path):
    loop = VirtualClockLoop()
    keeper = make_keeper(tmp_path, loop)
    keeper.clients[0].answer = NOTHING_DECIDED

    def fail():
        raise ConfigError("cannot listen on 127.0.0.1:1")

    loop.running = True
    keeper.begin(fail)
    assert loop.running is False
    assert events_of(keeper, "ends") == [{"why": "cannot listen on 127.0.0.1:1"}]


def test_answers_that_come_while_a_process_ends_start_nothing(tmp_path):
    """It waits for its good-byes to be heard, and answers to the heartbeat before come in: it must not take
    a lease, register, or begin to promise any more."""
    keeper = make_keeper_with_pending_heartbeat(tmp_path, VirtualClockLoop())
    keeper.closing = True
    for client in keeper.clients:
        client.answer_oldest_call()
    assert not keeper.may_serve() and keeper.lease.version == -1
