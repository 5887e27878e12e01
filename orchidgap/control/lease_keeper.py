"""A balancer's side of control: its lease, the versions it promises and takes, and a node that asks before
it takes a req whether it may."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from orchidgap.control.rpc import RpcClient
from orchidgap.control.validation import fit
from orchidgap.decisions.cas_register import Ballot, Value, majority
from orchidgap.decisions.policy_rollout import STAY, Right, Tenure, answered
from orchidgap.net import config
from orchidgap.net.body_stream import Upload
from orchidgap.net.event_log import EventLog
from orchidgap.net.loop import Loop, Timer, boot_clock
from orchidgap.net.node import Node
from orchidgap.net.request_handler import Responder
from orchidgap.state.background_writer import BackgroundWriter
from orchidgap.state.durable_store import CorruptFileError, DurableStore

WITHIN = 500_000  # for control to answer a call
FIRST = 100_000  # between calls until control has said how often
LONGEST = 2_000_000  # of the back-off
# told to clients that are denied because there is no lease; half as much more or less by chance
COMEBACK = 1_000_000
PARTING = 300_000  # for control to hear that this process ends


class HeldNode(Node):
    """A node that takes reqs by a right only. It looks at the clock for each: a process that stood still
    for longer than its lease finds out before the first req that it takes."""

    keeper: Keeper

    def is_ready(self) -> bool:
        return self.keeper.may() and super().is_ready()

    def knows_request_class(self, rule_set: str) -> bool:
        # without a right it must not tell by a 404 what its version says, which may count no more
        return not self.keeper.may() or super().knows_request_class(rule_set)

    def handle_request(
        self,
        caller: Responder,
        id: bytes,
        rule_set: str,
        left: int,
        write: bool,
        key: bytes,
        tenant: str,
        head: bytes,
        body: bytes,
        slot: int = -1,
        flow: Upload | None = None,
    ) -> None:
        if not self.keeper.may():
            return caller.answer(503, pause=self.keeper.comeback())
        if (
            rule_set not in self.config.settings.request_classes
        ):  # the right came back between the two questions
            return caller.answer(503, pause=self.keeper.comeback())
        super().handle_request(
            caller, id, rule_set, left, write, key, tenant, head, body, slot, flow
        )


class Keeper:
    """Calls control again and again, and does what its `Tenure` says. Opens the door once it holds a
    lease."""

    def __init__(
        self,
        path: str | None,
        loop: Loop,
        station: config.BalancerConfig,
        log: EventLog,
        files: DurableStore,
        rng: Random,
        clock: Callable[[], int] = boot_clock,
    ) -> None:
        assert station.control
        self.path, self.loop, self.log, self.files, self.rng, self.clock = (
            path,
            loop,
            log,
            files,
            rng,
            clock,
        )
        self.disk = BackgroundWriter(loop, files)
        self.name = station.name
        self.life = f"{rng.getrandbits(64):x}"
        self.calls = [RpcClient(loop, address, WITHIN) for address in station.control["at"]]
        self.tenure = Tenure(station.control["alone"], 0)
        self.node: Node
        self.opens: Callable[[], None] | None = None
        self.turn = 0  # of its calls: an answer to an earlier one is told in none
        self.asked = 0
        self.again = FIRST
        self.timer: Timer | None = None
        self.answers: list[Any] = []
        self.last = [0] * len(
            self.calls
        )  # when each of them gave the last answer heard, by its clock
        self.failures = 0  # calls in a row that taught nothing
        self.learned = False  # what is chosen, by those of this call
        self.shown = Right.NONE
        self.unfit = 0  # the version that it cannot take
        self.ending = False

    def may(self) -> bool:
        return self.tenure.right(self.clock()) is not Right.NONE

    def comeback(self) -> int:
        return self.rng.randrange(COMEBACK // 2, COMEBACK * 3 // 2)

    def begin(self, opens: Callable[[], None]) -> None:
        self.opens = opens
        try:
            if old := self.files.read("policy"):
                # what counts is asked for all the same
                self.log("policy kept", n=old["n"])  # type: ignore[index]
        except CorruptFileError as trouble:
            self.log("policy damaged", why=str(trouble))
            self.files.set_aside("policy")
        self.log("asks control", life=self.life, of=len(self.calls), alone=self.tenure.alone)
        self.call()

    def close(self) -> None:
        """It takes nothing more: control is told, so that no change waits for a lease that nobody uses."""
        self.ending = True
        heard: list[Any] = []
        for calls in self.calls:
            calls("/part", {"name": self.name, "life": self.life}, heard.append)
        until = self.loop.clock() + PARTING
        while len(heard) < len(self.calls) and self.loop.clock() < until:
            self.loop.run_once(10_000)
        for calls in self.calls:
            calls.close()

    # --- calls

    def call(self) -> None:
        if self.ending:
            return
        self.show()
        self.turn += 1
        self.answers, self.learned, self.asked = [], False, self.clock()
        tenure = self.tenure
        told = {
            "name": self.name,
            "life": self.life,
            "alone": tenure.alone,
            "runs": tenure.runs,
            "promised": tenure.promised,
            "refused": tenure.refused,
            "why": tenure.why,
        }
        for i, calls in enumerate(self.calls):
            calls("/lease", told | {"heard": self.last[i]}, partial(self.heard, self.turn, i))
        self.next(self.back_off())  # where no answer comes

    def next(self, delay: int) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(delay, self.call)

    def back_off(self) -> int:
        """After calls that taught nothing: rarer each time and by chance, or hundreds that start together
        would keep control too busy to answer any of them."""
        self.failures += 1
        return round(
            min(LONGEST, WITHIN << min(self.failures - 1, 4)) * self.rng.uniform(0.75, 1.25)
        )

    def next_in_turn(self) -> None:
        spent = self.clock() - self.asked
        self.next(max(0, round(self.again * self.rng.uniform(0.8, 1.0)) - spent))

    def heard(self, turn: int, i: int, said: Any) -> None:
        if said:
            self.last[i] = said["at"]
        if turn != self.turn or self.ending:
            return
        if said and said["size"] != len(self.calls):
            self.log(
                "control unlike",
                why=f"it has {said['size']} processes, this file {len(self.calls)}",
            )
            said = None
        self.answers.append(said)
        told = [(self.ballot(one), one, one["grants"]) for one in self.answers if one]
        value, granted = answered(len(self.calls), told)
        if value is not None and (granted or not self.learned):
            self.learned, self.failures = True, 0
            if granted:
                self.next_in_turn()
            else:
                self.next(FIRST)
            self.learn(value, granted)
        if granted:
            self.turn += 1  # what others say of the same call adds nothing
        elif len(self.answers) == len(self.calls) and not self.learned:
            if len(told) >= majority(len(self.calls)):
                self.one("/settle", {})  # they differ: one of them has to find out what is chosen
                self.failures = 0
            self.next(FIRST << min(self.failures, 4))
        self.show()

    @staticmethod
    def ballot(said: Any) -> Ballot:
        return int(said["ballot"][0]), str(said["ballot"][1])

    def one(self, path: str, told: Any) -> None:
        """A call to any one control process."""
        self.rng.choice(self.calls)(path, told, lambda said: None)

    # --- what is chosen

    def learn(self, value: Value, granted: bool) -> None:
        tenure = self.tenure
        tenure.lease = int(value["lease"])
        self.again = min(one["again"] for one in self.answers if one)
        registered = value["stay"].get(self.name) == self.life
        what = tenure.told(value, registered, self.asked, granted)
        if what == "take" and self.take(value):
            what = tenure.told(value, registered, self.asked, granted)
            self.next(0)
        if what == "check":
            self.check(value["next"])
        if tenure.alone == STAY and not registered and tenure.runs >= 0:
            self.one("/join", {"name": self.name, "life": self.life})

    def take(self, value: Value) -> bool:
        """A decided version: reqs that come from now on are under it."""
        n, doc = int(value["n"]), value.get("doc")
        why = self.adopt(doc) if doc else "it did not come with the answer"
        if why:
            if self.unfit != n:
                self.unfit = n
                self.log("version unfit", n=n, why=why)
            return False
        self.unfit = 0
        self.tenure.takes(n)
        self.log("version runs", n=n, id=value["id"])
        # it stands in the register: nothing is lost where this fails
        self.disk(
            "policy",
            {"n": n, "id": value["id"], "doc": doc},
            lambda why: self.log("disk fails", why=why) if why else None,
        )
        return True

    def adopt(self, doc: Any) -> str:
        """Why it cannot be taken; empty where it has been."""
        if why := fit(doc):
            return why
        try:
            station = config.read(self.path, None, doc["settings"])
        except config.ConfigError as trouble:
            return str(trouble)
        if self.tenure.runs >= 0 and (why := self.standing(station)):
            return why
        self.node.settings = doc["settings"]
        if self.opens:  # nothing has begun under other terms yet
            self.node.config = station
            self.node.pools.set_timeouts(station.connect_timeout_us, station.idle_timeout_us)
            self.node.call_decisions(self.node.balancer.on_settings, station.settings)
        else:
            self.node.apply_config(station)
        return ""

    def standing(self, station: config.BalancerConfig) -> str:
        """What of it would have to wait for a restart, so that it cannot hold everywhere."""
        old = self.node.config.settings
        kept = station.settings.keeping_startup_settings(old)
        for name in kept._fields:
            if getattr(kept, name) != getattr(station.settings, name):
                return f"{name} cannot change while a balancer runs"
        return ""

    def check(self, new: Value) -> None:
        """What is proposed: promised only once it is on the disk."""
        number, why = int(new["try"]), fit(new["doc"])
        if not why:
            try:
                why = self.standing(
                    config.read(self.path, self.node.config, new["doc"]["settings"])
                )
            except config.ConfigError as trouble:
                why = str(trouble)
        self.tenure.writes(number)
        if why:
            self.checked(new, why)
        else:
            self.disk("promise", new, lambda why: self.checked(new, why and f"disk: {why}"))

    def checked(self, new: Value, why: str) -> None:
        if self.tenure.writing != new["try"] or self.ending:
            return  # it took so long that something else is proposed, or nothing
        if why:
            self.tenure.refuse(new["try"], why)
            self.log("version refused", n=new["n"], id=new["id"], why=why)
        else:
            self.tenure.promise(new["try"])
            self.log("version promised", n=new["n"], id=new["id"])
        self.next(0)

    # --- its right

    def show(self) -> None:
        """One line where it has changed, and the door where it is the first."""
        right = self.tenure.right(self.clock())
        if right is Right.SERVES and self.opens:
            opens, self.opens = self.opens, None
            try:
                opens()
            except config.ConfigError as trouble:
                self.log("ends", why=str(trouble))
                self.loop.running = False
        if right is not self.shown:
            was, self.shown = self.shown, right
            self.log("right", now=right.value, before=was.value, n=self.tenure.runs)


def held(
    path: str | None,
    loop: Loop,
    station: config.BalancerConfig,
    log: EventLog,
    *more: Any,
    make_files: Callable[[Path], DurableStore] = DurableStore,
    **named: Any,
) -> tuple[Node, Keeper]:
    """A node that control holds, and what holds it. Raises ConfigError."""
    assert station.control
    try:
        files = make_files(Path(station.control["dir"]))
    except OSError as trouble:
        raise config.ConfigError(f"{station.control['dir']}: {trouble.strerror}") from None
    keeper = Keeper(path, loop, station, log, files, Random())
    node = HeldNode(loop, station, log, *more, **named)
    node.keeper, keeper.node = keeper, node
    return node, keeper
