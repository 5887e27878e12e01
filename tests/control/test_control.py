"""Control processes and a balancer's side of control, in one process on a virtual clock."""

import errno
import os
from random import Random
from types import SimpleNamespace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from orchidgap.control.lease_keeper import Keeper
from orchidgap.control.server import Control
from orchidgap.control.validation import fit
from orchidgap.decisions import policy_rollout
from orchidgap.decisions.policy_rollout import EMPTY, PAST, Right
from orchidgap.net import config
from orchidgap.net.config import ConfigError
from orchidgap.net.loop import Loop
from orchidgap.state.background_writer import ENDED, BackgroundWriter
from orchidgap.state.durable_store import CorruptFileError, DurableStore
from orchidgap.trial.fabric import World

LEASE = 2_000_000
DOC = {"settings": {"rule-sets": [{"name": "a", "effect": "retryable", "client-timeout": 9}]}}


class Town:
    """Control processes that call each other through the loop, a millisecond each way."""

    def __init__(self, folder, count):
        self.loop, self.cut = World(), set()
        names = [f"k{i}" for i in range(count)]
        self.all = {
            name: Control(
                self.loop,
                name,
                {one: ("127.0.0.1", 1) for one in names},
                LEASE,
                6 * LEASE,
                DurableStore(folder / name),
                lambda *told, **named: None,
                Random(name),
                self.now,
            )
            for name in names
        }
        for name, control in self.all.items():
            control.others = {other: self.way(name, other) for other in names if other != name}
            control.disk = AtOnce(self.loop, control.files)

    def now(self):
        return self.loop.now

    def way(self, who, other):
        def call(path, told, heard):
            if who in self.cut or other in self.cut:
                return self.loop.call_later(500_000, heard, None)
            act = self.all[other].server.acts[path]
            self.loop.call_later(
                1_000, act, told, lambda said: self.loop.call_later(1_000, heard, said)
            )

        return call

    def run(self, microseconds):
        self.loop.run_until(self.loop.now + microseconds)

    def ask(self, name, path, told, within=5_000_000):
        heard = []
        self.all[name].server.acts[path](told, heard.append)
        self.run(within)
        return heard[0] if heard else None

    def lease(self, name, balancer, promised=0, heard=0, runs=0):
        told = {
            "name": balancer,
            "life": "1",
            "alone": "leave",
            "runs": runs,
            "promised": promised,
            "refused": 0,
            "why": "",
            "heard": heard,
        }
        return self.ask(name, "/lease", told, 0)


@pytest.fixture
def town(tmp_path):
    town = Town(tmp_path, 3)
    for control in town.all.values():
        control.begin(new=True)
    return town


def test_two_proposers_at_once_make_one_change_and_one_busy(town):
    heard = {}
    for name, id in (("k0", "x"), ("k1", "y")):
        town.all[name].server.acts["/propose"](
            {"id": id, "doc": DOC, "again": False, "after": 0},
            lambda said, id=id: heard.update({id: said}),
        )
    town.run(4_000_000)
    assert sorted(said["state"] for said in heard.values()) == ["busy", "proposed"]
    won = next(id for id, said in heard.items() if said["state"] == "proposed")
    town.run(3 * LEASE)
    assert town.ask("k2", "/change", {"id": won})["state"] == "decided"
    assert {control.value["n"] for control in town.all.values()} == {1}
    # the loser's call comes once more: its caller was told that it holds nowhere
    lost = "y" if won == "x" else "x"
    assert (
        town.ask("k2", "/propose", {"id": lost, "doc": DOC, "again": False, "after": 0})["state"]
        == "unknown"
    )
    assert town.all["k2"].value["next"] is None


def test_an_acceptor_without_its_disk_comes_back_under_the_ballot_of_its_round(town):
    assert (
        town.ask("k0", "/propose", {"id": "x", "doc": DOC, "again": False, "after": 0})["state"]
        == "proposed"
    )
    town.run(3 * LEASE)
    lost = town.all["k0"]
    lost.acceptor, lost.highest = None, 0
    rounds, begin = [], lost.begin_round
    lost.begin_round = lambda tries: (begin(tries), rounds.append((lost.highest, "k0")))
    over = lost.round_over

    def hears_of_a_higher_one(value, tries, ballot):
        lost.highest += 7  # as another proposer's ballot would have it
        over(value, tries, ballot)

    lost.round_over = hears_of_a_higher_one
    lost.come_back()
    town.run(3_000_000)
    assert lost.acceptor and lost.acceptor.kept.ballot in rounds
    assert lost.acceptor.kept.value["n"] == 1


def test_a_minority_decides_nothing_and_what_was_decided_without_it_reaches_it(town):
    town.cut = {"k0"}
    assert (
        town.ask("k0", "/propose", {"id": "x", "doc": DOC, "again": False, "after": 0}, 20_000_000)
        is None
    )
    assert (
        town.ask("k1", "/propose", {"id": "y", "doc": DOC, "again": False, "after": 0})["state"]
        == "proposed"
    )
    town.run(3 * LEASE)
    town.cut = set()
    assert town.ask("k0", "/change", {"id": "y"})["state"] == "decided"
    assert town.all["k0"].value["id"] == "y"


def test_who_hears_no_answer_is_waited_for_no_longer_than_its_lease(town):
    town.run(2 * LEASE)
    said = town.lease("k0", "b0")
    assert said["grants"]
    for _ in range(8):  # it goes on asking, and hears nothing
        town.run(LEASE // 2)
        town.lease("k0", "b0")
    assert not town.lease("k0", "b0")["grants"]
    assert all(row.until < town.loop.now for row in town.all["k0"].leases.rows.values())
    assert town.lease("k0", "b0", heard=town.loop.now)["grants"]


class Slow:
    """A disk whose writes end when they are told to."""

    def __init__(self):
        self.dones = []

    def __call__(self, name, content, done):
        self.dones.append(done)


def ready_to_accept(town, disk):
    """k0 has a decision on its way to that disk; b0 has promised, and holds a lease."""
    town.run(2 * LEASE)
    assert town.lease("k0", "b0", promised=1)["grants"]
    town.all["k0"].disk = disk
    value = policy_rollout.decided(policy_rollout.proposed(EMPTY, "x", DOC), 1)
    heard = []
    town.all["k0"].server.acts["/accept"]({"ballot": [9, "k1"], "value": value}, heard.append)
    town.run(0)
    town.run(1_000)
    return heard


def test_leases_go_on_beside_a_write_for_those_who_are_ready_for_it(town):
    disk = Slow()
    heard = ready_to_accept(town, disk)
    assert not heard and town.all["k0"].value["n"] == 0
    assert (
        town.lease("k0", "b0", 1, town.loop.now)["grants"] and not town.lease("k0", "b1")["grants"]
    )
    disk.dones.pop()("")
    assert heard == [{"ok": True}] and town.all["k0"].value["n"] == 1
    # it is told of version 1 in the same answer
    assert town.lease("k0", "b1", heard=town.loop.now)["grants"]


def test_a_write_that_failed_may_be_there_all_the_same(town):
    """The next process would find it: until then nobody gets a lease who is not ready for it."""
    disk = Slow()
    heard = ready_to_accept(town, disk)
    disk.dones.pop()("Input/output error")
    assert heard == [None] and town.all["k0"].disk_state == "fails"
    assert (
        not town.lease("k0", "b1")["grants"] and town.lease("k0", "b0", 1, town.loop.now)["grants"]
    )


def test_hundreds_that_register_at_once_share_rounds(town):
    control, heard, rounds = town.all["k1"], [], []
    begin = control.begin_round
    control.begin_round = lambda tries: (begin(tries), rounds.append(control.shared))
    for number in range(200):
        control.server.acts["/join"]({"name": f"b{number}", "life": "1"}, heard.append)
    control.server.acts["/propose"](
        {"id": "x", "doc": DOC, "again": False, "after": 0}, heard.append
    )
    control.server.acts["/strike"]({"name": "b7", "life": "1"}, heard.append)
    town.run(5_000_000)
    assert (
        heard[:200] == [{}] * 200
        and heard[200]["state"] == "proposed"
        and heard[201] == {"struck": True}
    )
    assert len(control.value["stay"]) == 199 and [one for one in rounds if one > 1] == [200]


def test_what_waits_for_a_disk_that_stands_still_is_given_up(town):
    disk, heard = Slow(), []
    ready_to_accept(town, disk)
    for count in range(10, 14):
        town.all["k0"].server.acts["/prepare"]({"ballot": [count, "k1"]}, heard.append)
    town.run(2_000_000)
    assert heard == [None] * 4 and len(disk.dones) == 1 and town.all["k0"].disk_state == "slow"
    # the others decide meanwhile
    assert (
        town.ask("k1", "/propose", {"id": "y", "doc": DOC, "again": False, "after": 0})["state"]
        == "proposed"
    )


def test_a_folder_is_one_process_s_and_its_children_s(tmp_path):
    first, second = DurableStore(tmp_path), DurableStore(tmp_path)
    assert first.hold() and not second.hold()
    beside = BackgroundWriter(Loop(), first)
    gates = [tmp_path / "gate"]
    os.mkfifo(gates[0])
    first.force = lambda fd: gates and gates.pop().read_bytes()  # the child's disk takes its time
    beside("x", 1, lambda why: None)
    beside.loop.run_once(0)
    os.close(first.held)  # its process is gone
    assert not second.hold()
    gates[0].write_bytes(b"")
    while beside.busy:
        beside.loop.run_once(10_000)
    assert second.hold()
    os.close(second.held)


def test_a_damaged_register_is_set_aside_and_a_lone_process_says_so(tmp_path):
    (tmp_path / "k0").mkdir()
    (tmp_path / "k0" / "register").write_text("torn")
    town = Town(tmp_path, 1)
    with pytest.raises(ConfigError, match="--new"):
        town.all["k0"].begin(new=False)
    assert (tmp_path / "k0" / "register.damaged").read_text() == "torn"


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

    def __call__(self, name, content, done):
        try:
            self.files.write(name, content)
        except OSError as trouble:
            return done(trouble.strerror)
        done("")


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
    assert one.may() and one.tenure.runs == 0
    rights = []
    one.adopt = lambda doc: rights.append("adopted") or ""
    show = one.show
    one.show = lambda: (show(), rights.append(one.may()))
    one.calls[0].answer = answer(EMPTY | {"n": 1, "id": "x", "try": 1}, doc=DOC)
    loop.run_until(loop.now + LEASE)
    assert one.tenure.runs == 1 and "adopted" in rights and False not in rights
    assert DurableStore(tmp_path).read("policy")["doc"] == DOC


@pytest.mark.parametrize("fails", ["open", "put", "force", "rename"])
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
    assert (one.tenure.promised, one.tenure.refused) == (0, 3) and "No space left" in one.tenure.why


def test_alone_it_stays_only_without_a_promise(tmp_path):
    loop = World()
    one = keeper(tmp_path, loop, alone="stay")
    one.calls[0].answer = answer(EMPTY, stay={"b": one.life})
    one.begin(lambda: None)
    one.calls[0].answer = None
    loop.run_until(loop.now + 2 * LEASE)
    assert one.tenure.right(loop.now) is Right.STAYS
    one.tenure.writes(1)
    assert one.tenure.promise(1)
    assert one.tenure.right(loop.now) is Right.NONE


# --- files, versions


@pytest.mark.parametrize("fails", ["open", "put", "force", "rename"])
def test_a_write_that_fails_leaves_what_stood(tmp_path, fails, monkeypatch):
    files = DurableStore(tmp_path)
    files.write("x", {"n": 1})

    def broken(*told):
        raise OSError(errno.EIO, os.strerror(errno.EIO))

    with monkeypatch.context() as patch:
        patch.setattr(files, fails, broken)
        with pytest.raises(OSError):
            files.write("x", {"n": 2})
    assert files.read("x") == {"n": 1}
    files.write("x", {"n": 3})
    assert files.read("x") == {"n": 3} and files.read("never") is None


@pytest.mark.parametrize(
    "spoil",
    [
        lambda text: text[:-1],
        lambda text: text[:9],
        lambda text: b"",
        lambda text: text + b"x",
        lambda text: text.replace(b"1}", b"2}"),
    ],
)
def test_a_file_that_is_not_what_was_written_is_told_apart(tmp_path, spoil):
    files = DurableStore(tmp_path)
    files.write("x", {"n": 1})
    path = tmp_path / "x"
    path.write_bytes(spoil(path.read_bytes()))
    with pytest.raises(CorruptFileError):
        files.read("x")


def test_a_real_full_disk_is_told(tmp_path):
    files = DurableStore(tmp_path)
    files.write("x", 1)
    (tmp_path / "x.new").symlink_to("/dev/full")
    with pytest.raises(OSError) as told:
        files.write("x", 2)
    assert told.value.errno == errno.ENOSPC and files.read("x") == 1


def written(beside, *names):
    """What was told of writes that began together, in the order it was."""
    told = []
    for i, name in enumerate(names):
        beside(name, i, lambda why, i=i: told.append((i, why)))
    while beside.busy:
        beside.loop.run_once(10_000)
    return told


def test_of_writes_that_wait_only_the_latest_of_a_name_is_done(tmp_path):
    beside = BackgroundWriter(Loop(), DurableStore(tmp_path))
    assert written(beside, "a", "b", "a", "b", "a") == [(3, ""), (4, "")]
    assert (beside.files.read("a"), beside.files.read("b")) == (4, 3)


def test_a_child_that_cannot_write_says_why_and_one_that_dies_too(tmp_path, monkeypatch):
    beside = BackgroundWriter(Loop(), DurableStore(tmp_path))
    (tmp_path / "a.new").symlink_to("/dev/full")
    assert written(beside, "a") == [(0, "No space left on device")]
    monkeypatch.setattr(beside.files, "force", lambda fd: os._exit(9))
    assert written(beside, "b") == [(0, ENDED)]
    monkeypatch.setattr(os, "fork", lambda: (_ for _ in ()).throw(OSError(errno.EAGAIN, "no more")))
    assert written(beside, "c") == [(0, "no more")]


def test_a_promise_that_took_too_long_binds_nobody(tmp_path):
    loop = World()
    one = keeper(tmp_path, loop)
    one.tenure.told(EMPTY | {"next": {"try": 3}}, False, 0)
    one.tenure.writes(3)
    one.tenure.told(EMPTY, False, 0)
    one.checked({"try": 3, "n": 1, "id": "x"}, "")
    assert (one.tenure.promised, one.tenure.refused) == (0, 0)


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
        config.control_part(part)


ACTS = {
    "p": lambda value, number: policy_rollout.proposed(value, f"c{number}", DOC),
    "d": lambda value, number: policy_rollout.decided(value, value["tries"] - number),
    "x": lambda value, number: policy_rollout.dropped(value, value["tries"] - number, "no"),
    "j": lambda value, number: policy_rollout.joined(value, f"b{number}", "1"),
    "s": lambda value, number: policy_rollout.struck(value, f"b{number}", "1"),
}


@given(st.lists(st.tuples(st.sampled_from(sorted(ACTS)), st.integers(0, 3)), max_size=120))
def test_versions_only_go_up_and_one_is_proposed_at_a_time(acts):
    value = EMPTY
    for act, number in acts:
        last, value = value, ACTS[act](value, number) or value
        assert value["n"] - last["n"] in (0, 1) and value["tries"] >= last["tries"]
        assert (
            value["n"] == last["n"]
            or last["next"]
            and value["id"] == last["next"]["id"]
            and act == "d"
        )
        assert value["next"] is None or value["next"]["n"] == value["n"] + 1
        assert len(value["past"]) <= PAST
