"""Control processes, in one process on a virtual clock."""

from random import Random

import pytest
from immediate_writer import ImmediateWriter

from orchidgap.control.server import Control
from orchidgap.decisions import policy_rollout
from orchidgap.decisions.policy_rollout import INITIAL_STATE
from orchidgap.net.config import ConfigError
from orchidgap.state.durable_store import DurableStore
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
            control.disk = ImmediateWriter(self.loop, control.files)

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
    assert {control.value.version for control in town.all.values()} == {1}
    # the loser's call comes once more: its caller was told that it holds nowhere
    lost = "y" if won == "x" else "x"
    assert (
        town.ask("k2", "/propose", {"id": lost, "doc": DOC, "again": False, "after": 0})["state"]
        == "unknown"
    )
    assert town.all["k2"].value.proposal is None


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
    assert lost.acceptor and lost.acceptor.state.accepted_ballot in rounds
    assert lost.acceptor.state.value.version == 1


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
    assert town.all["k0"].value.change_id == "y"


def test_who_hears_no_answer_is_waited_for_no_longer_than_its_lease(town):
    town.run(2 * LEASE)
    said = town.lease("k0", "b0")
    assert said["grants"]
    for _ in range(8):  # it goes on asking, and hears nothing
        town.run(LEASE // 2)
        town.lease("k0", "b0")
    assert not town.lease("k0", "b0")["grants"]
    assert all(
        row.lease_expires_at_us < town.loop.now for row in town.all["k0"].leases.holders.values()
    )
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
    value = policy_rollout.decide(policy_rollout.propose(INITIAL_STATE, "x", DOC), 1)
    heard = []
    town.all["k0"].server.acts["/accept"](
        {"ballot": [9, "k1"], "value": policy_rollout.to_wire(value)}, heard.append
    )
    town.run(0)
    town.run(1_000)
    return heard


def test_leases_go_on_beside_a_write_for_those_who_are_ready_for_it(town):
    disk = Slow()
    heard = ready_to_accept(town, disk)
    assert not heard and town.all["k0"].value.version == 0
    assert (
        town.lease("k0", "b0", 1, town.loop.now)["grants"] and not town.lease("k0", "b1")["grants"]
    )
    disk.dones.pop()("")
    assert heard == [{"ok": True}] and town.all["k0"].value.version == 1
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
    assert len(control.value.members_without_quorum) == 199 and [
        one for one in rounds if one > 1
    ] == [200]


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


def test_a_damaged_register_is_set_aside_and_a_lone_process_says_so(tmp_path):
    (tmp_path / "k0").mkdir()
    (tmp_path / "k0" / "register").write_text("torn")
    town = Town(tmp_path, 1)
    with pytest.raises(ConfigError, match="--new"):
        town.all["k0"].begin(new=False)
    assert (tmp_path / "k0" / "register.damaged").read_text() == "torn"
