"""A balancer's side of control, on a virtual clock; control processes are stand-ins."""

import errno
import os
from random import Random
from types import SimpleNamespace

import pytest
from immediate_writer import ImmediateWriter

from orchidgap.control import lease_keeper, validation
from orchidgap.control.lease_keeper import LeaseKeeper
from orchidgap.control.messages import LEASE, ProposalMessage
from orchidgap.decisions.lease_state import ServingPermission
from orchidgap.net.config.optional_parts import ControlConfig
from orchidgap.state.durable_store import DurableStore
from orchidgap.trial.fabric import World

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


class ControlStandIn:
    """Counts calls, and answers heartbeats at once with what it is told to."""

    def __init__(self):
        self.count = 0
        self.answer = None

    def call(self, method, request, on_answer):
        self.count += 1
        if method is LEASE:
            on_answer(self.answer and method.answer_type.from_wire(self.answer))

    def close(self):
        pass


def make_keeper(folder, loop, count=1, alone="leave"):
    control = ControlConfig([("127.0.0.1", 1)] * count, str(folder), alone)
    config = SimpleNamespace(name="b", control=control)
    keeper = LeaseKeeper(
        None,
        loop,
        config,
        lambda *told, **named: None,
        DurableStore(folder),
        Random(1),
        lambda: loop.now,
    )
    keeper.clients = [ControlStandIn() for _ in range(count)]
    keeper.writer = ImmediateWriter(loop, keeper.store)
    return keeper


def test_a_balancer_that_is_not_answered_calls_ever_more_rarely(tmp_path):
    loop = World()
    keeper = make_keeper(tmp_path, loop)
    keeper.begin(lambda: None)
    loop.run_until(loop.now + 20_000_000)
    assert 6 <= keeper.clients[0].count <= 20 and not keeper.may_serve()


def test_a_decided_version_is_taken_without_a_moment_without_a_lease(tmp_path):
    """A balancer holds a lease under version 0. The next answer tells that version 1 is decided. It
    adopts that and holds a lease under it in the same turn, so no request is denied between."""
    loop = World()
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
    keeper = make_keeper(tmp_path, World())
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
    loop = World()
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
    keeper = make_keeper(tmp_path, World())
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
        keeper = make_keeper(tmp_path, World())
        keeper.log = lambda event, **facts: events.append((event, facts))
        keeper.begin(lambda: None)
        (tmp_path / "policy").write_text("torn")
    assert ("stored policy found", {"version": 4}) in events
    assert "stored policy corrupt" in [event for event, _ in events]
    assert (tmp_path / "policy.damaged").read_text() == "torn"
