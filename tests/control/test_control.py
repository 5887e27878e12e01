"""A balancer's side of control, in one process on a virtual clock."""

import errno
import os
from random import Random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidgap.control.lease_keeper import Keeper
from orchidgap.control.validation import fit
from orchidgap.decisions import policy_rollout
from orchidgap.decisions.leases import ServingPermission
from orchidgap.decisions.policy_rollout import INITIAL_STATE, MAX_HISTORY
from orchidgap.net import config
from orchidgap.state.background_writer import BackgroundWriter
from orchidgap.state.durable_store import DurableStore
from orchidgap.trial.fabric import World

LEASE = 2_000_000
EMPTY = policy_rollout.to_wire(INITIAL_STATE)
DOC = {"settings": {"rule-sets": [{"name": "a", "effect": "retryable", "client-timeout": 9}]}}


# --- a balancer's side


class Calls:
    """Counts, and answers what it is told to."""

    def __init__(self):
        self.count, self.answer = 0, None
        self.open = {}

    def __call__(self, path, told, heard):
        self.count += 1
        if path == "/lease":
            heard(self.answer and self.answer | {"at": 1})

    def close(self):
        pass


class AtOnce(BackgroundWriter):
    """No child: a virtual clock does not wait for one."""

    def write(self, name, content, on_written):
        try:
            self.store.write(name, content)
        except OSError as trouble:
            return on_written(trouble.strerror)
        on_written("")


def keeper(folder, loop, count=1, alone="leave"):
    station = SimpleNamespace(name="b", control={"at": [("127.0.0.1", 1)] * count, "alone": alone})
    made = Keeper(
        None,
        loop,
        station,
        lambda *told, **named: None,
        DurableStore(folder),
        Random(1),
        lambda: loop.now,
    )
    made.calls, made.disk = [Calls() for _ in range(count)], AtOnce(loop, made.files)
    return made


def answer(value, **more):
    return (
        {
            "ballot": [1, "k"],
            "grants": True,
            "lease": LEASE,
            "again": LEASE // 4,
            "size": 1,
            "next": None,
            "stay": {},
        }
        | {name: value[name] for name in ("n", "id", "try")}
        | more
    )


def test_a_balancer_that_is_not_answered_calls_ever_more_rarely(tmp_path):
    loop = World()
    one = keeper(tmp_path, loop)
    one.begin(lambda: None)
    loop.run_until(loop.now + 20_000_000)
    assert 6 <= one.calls[0].count <= 20 and not one.may()


def test_a_decided_version_is_taken_without_a_moment_without_a_lease(tmp_path):
    loop = World()
    one = keeper(tmp_path, loop)
    one.calls[0].answer = answer(EMPTY)
    one.begin(lambda: None)
    assert one.may() and one.tenure.version == 0
    rights = []
    one.adopt = lambda doc: rights.append("adopted") or ""
    show = one.show
    one.show = lambda: (show(), rights.append(one.may()))
    one.calls[0].answer = answer(EMPTY | {"n": 1, "id": "x", "try": 1}, doc=DOC)
    loop.run_until(loop.now + LEASE)
    assert one.tenure.version == 1 and "adopted" in rights and False not in rights
    assert DurableStore(tmp_path).read("policy")["doc"] == DOC


@pytest.mark.parametrize("fails", ["open_file", "write_some", "sync", "rename"])
def test_a_promise_that_cannot_be_written_is_a_refusal(tmp_path, fails, monkeypatch):
    loop = World()
    one = keeper(tmp_path, loop)
    one.node = SimpleNamespace(config=SimpleNamespace(settings=None))
    one.standing = lambda station: ""
    monkeypatch.setattr(config, "read", lambda *told: None)

    def full(*told):
        raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))

    monkeypatch.setattr(one.files, fails, full)
    one.check({"try": 3, "n": 1, "id": "x", "doc": DOC})
    assert (one.tenure.promised_proposal, one.tenure.refused_proposal) == (
        0,
        3,
    ) and "No space left" in one.tenure.refusal_reason


def test_alone_it_stays_only_without_a_promise(tmp_path):
    loop = World()
    one = keeper(tmp_path, loop, alone="stay")
    one.calls[0].answer = answer(EMPTY, stay={"b": one.life})
    one.begin(lambda: None)
    one.calls[0].answer = None
    loop.run_until(loop.now + 2 * LEASE)
    assert one.tenure.permission(loop.now) is ServingPermission.WITHOUT_QUORUM
    one.tenure.on_write_started(1)
    assert one.tenure.on_promise_durable(1)
    assert one.tenure.permission(loop.now) is ServingPermission.DENIED


# --- files, versions


def test_a_promise_that_took_too_long_binds_nobody(tmp_path):
    loop = World()
    one = keeper(tmp_path, loop)
    one.tenure.on_chosen_state(0, 3, False, 0)
    one.tenure.on_write_started(3)
    one.tenure.on_chosen_state(0, 0, False, 0)
    one.checked({"try": 3, "n": 1, "id": "x"}, "")
    assert (one.tenure.promised_proposal, one.tenure.refused_proposal) == (0, 0)


@pytest.mark.parametrize(
    ("doc", "why"),
    [
        ([], "must be an object"),
        ({"settings": []}, "must be an object"),
        ({"settings": {}, "more": 1}, "no part"),
        ({"settings": {"rule-sets": [{"name": "a"}]}}, "client-timeout is missing"),
        (DOC | {"needs": 2}, "form 2"),
    ],
)
def test_a_version_that_cannot_be_is_told_in_words(doc, why):
    assert why in fit(doc) and not fit(DOC)


@pytest.mark.parametrize(
    ("part", "why"),
    [
        ([], "must be an object"),
        ({"at": ["127.0.0.1:1"]}, "at and dir"),
        ({"at": [], "dir": "x"}, "1, 3 or 5"),
        ({"at": ["there:1"], "dir": "x"}, "not an address"),
        ({"at": ["127.0.0.1:1"], "dir": "x", "alone": "go"}, "leave or stay"),
    ],
)
def test_a_bad_part_control_is_told_in_words(part, why):
    with pytest.raises((LookupError, ValueError), match=why):
        config.controlled(part)


ACTS = {
    "p": lambda state, number: policy_rollout.propose(state, f"c{number}", DOC),
    "d": lambda state, number: policy_rollout.decide(state, state.proposal_count - number),
    "x": lambda state, number: policy_rollout.drop(state, state.proposal_count - number, "no"),
    "j": lambda state, number: policy_rollout.register_member(state, f"b{number}", "1"),
    "s": lambda state, number: policy_rollout.evict_member(state, f"b{number}", "1"),
}


@given(st.lists(st.tuples(st.sampled_from(sorted(ACTS)), st.integers(0, 3)), max_size=120))
def test_versions_only_go_up_and_one_is_proposed_at_a_time(acts):
    state = INITIAL_STATE
    for act, number in acts:
        last, state = state, ACTS[act](state, number)
        assert state.version - last.version in (0, 1)
        assert state.proposal_count >= last.proposal_count
        assert (
            state.version == last.version
            or last.proposal
            and state.change_id == last.proposal.change_id
            and act == "d"
        )
        assert state.proposal is None or state.proposal.version == state.version + 1
        assert len(state.history) <= MAX_HISTORY
        # what is written and read again is the same
        assert policy_rollout.from_wire(policy_rollout.to_wire(state)) == state
