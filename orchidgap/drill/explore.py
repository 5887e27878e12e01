"""Looks at every state that the pure modules of a change can come to, within bounds: python -m
orchidgap.drill.explore

Two models, each over the modules themselves. `Rounds`: acceptors and proposers of the register, every
message lost, doubled, late or out of order, a proposer that starts again under a ballot that it had used, an
acceptor that loses its disk and comes back. `Fleet`: three acceptors that grant leases, balancers that
promise, refuse, take, stop, start again and are cut off, a driver that decides whenever it likes, clocks that
go on between any two steps. What the driver does in one phase happens at once there, and its acceptances
arrive wherever and whenever.
"""

from __future__ import annotations

import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from itertools import combinations, pairwise
from random import Random
from typing import Any, NamedTuple

import orjson

from orchidgap.decisions import change
from orchidgap.decisions.change import Leases, Right, Row, Tenure, answered
from orchidgap.decisions.register import NONE, Acceptor, Ballot, Kept, Round, Value

TICK, LEASE = 100, 300
DEPTH = 120
MOST = 1_500_000  # states that are kept
LABELS = "ab"


class Broken(Exception):
    """A state that must not be, in one line."""


class Store:
    """Values by number, so that states are small."""

    def __init__(self) -> None:
        self.numbers: dict[bytes, int] = {}
        self.values: list[Value] = []

    def number(self, value: Value) -> int:
        key = orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
        if key not in self.numbers:
            self.numbers[key] = len(self.values)
            self.values.append(value)
        return self.numbers[key]


def explore(first: Any, after: Callable[[Any], Iterator[Any]], most: int) -> tuple[int, bool]:
    """How many states were seen, and whether that is all of them. Raises Broken."""
    seen, todo = {first}, deque([first])
    while todo:
        for state in after(todo.popleft()):
            if state not in seen:
                seen.add(state)
                todo.append(state)
        if len(seen) >= most:
            return len(seen), False
    return len(seen), True


def walk(first: Any, after: Callable[[Any], Iterator[Any]], walks: int, rng: Random) -> int:
    """How many steps were gone, by chance and far, where all states are too many. Raises Broken."""
    count = 0
    for _ in range(walks):
        state: Any = first
        for _ in range(DEPTH):
            found = list(after(state))
            if not found:
                break
            state = rng.choice(found)
            count += 1
    return count


# --- the register


class Job(NamedTuple):
    """One round as its proposer has it."""

    ballot: Ballot
    label: str
    but: int                                  # an acceptor that does not count, -1 for none
    heard: tuple[tuple[int, Ballot, int], ...]  # promises, in the order they came
    value: int                                # -1 until it is known
    took: frozenset[int]


class State(NamedTuple):
    kept: tuple[tuple[Ballot, Ballot, int] | None, ...]  # of each acceptor; None where the disk is lost
    jobs: tuple[Job, ...]
    taken: frozenset[tuple[Ballot, int, int]]            # all that was ever taken: ballot, value, by whom
    lost: int


class Rounds:
    """Each job appends its label to what it finds: of two chosen values one has to begin with the other."""

    def __init__(self, jobs: int, losses: int) -> None:
        self.store = Store()
        self.jobs, self.losses = jobs, losses
        empty = self.store.number({"list": []})
        self.blank: tuple[Ballot, Ballot, int] | None = None  # of what an acceptor knows without its disk
        self.first = State(((NONE, NONE, empty),) * 3, (), frozenset(), 0)

    def acceptor(self, state: State, x: int) -> Acceptor | None:
        row = state.kept[x]
        return Acceptor(Kept(row[0], row[1], self.store.values[row[2]]), lambda kept: None) if row else None

    def put(self, state: State, x: int, acceptor: Acceptor) -> tuple[Any, ...]:
        kept = acceptor.kept
        row = kept.promised, kept.ballot, self.store.number(kept.value)
        return (*state.kept[:x], row, *state.kept[x + 1:])

    def round(self, job: Job) -> Round:
        """As it stands, from what has come."""
        def longer(value: Value) -> Value:
            return {"list": [*value["list"], job.label]} if job.label else value

        made = Round(job.ballot, 3, longer, str(job.but) if job.but >= 0 else "")
        for x, ballot, value in job.heard:
            made.prepared(str(x), ballot, self.store.values[value])
        for x in job.took:
            made.accepted(str(x))
        return made

    def after(self, state: State) -> Iterator[State]:
        for new in self.steps(state):
            self.check(new)
            yield new

    def steps(self, state: State) -> Iterator[State]:
        jobs = state.jobs
        if len(jobs) < self.jobs:
            label = LABELS[len(jobs) % 2] + str(len(jobs))
            counts = {job.ballot[0] for job in jobs} | {0}
            for who in LABELS:
                # its own last one too, after a new start
                for count in sorted({max(counts), max(counts) + 1} - {0}):
                    if any(job.ballot == (count, other) for job in jobs for other in LABELS if other != who):
                        continue
                    yield state._replace(jobs=(*jobs, Job((count, who), label, -1, (), -1, frozenset())))
            for x, row in enumerate(state.kept):
                if row is None:
                    job = Job((max(counts) + 1, f"x{x}"), "", x, (), -1, frozenset())
                    yield state._replace(jobs=(*jobs, job))
        for i, job in enumerate(jobs):
            for x in range(3):
                if (acceptor := self.acceptor(state, x)) is None:
                    continue
                if acceptor.prepare(job.ballot):
                    now, after = acceptor.kept, state._replace(kept=self.put(state, x, acceptor))
                    yield after  # and its answer is lost
                    # one that comes late tells the proposer no more than one that comes at once
                    if job.value < 0:
                        heard = (*job.heard, (x, now.ballot, self.store.number(now.value)))
                        new = job._replace(heard=heard)
                        if (value := self.round(new).value) is not None:
                            new = new._replace(value=self.store.number(value))
                        yield after._replace(jobs=(*jobs[:i], new, *jobs[i + 1:]))
                if job.value >= 0 and acceptor.accept(job.ballot, self.store.values[job.value]):
                    after = state._replace(kept=self.put(state, x, acceptor),
                                           taken=state.taken | {(job.ballot, job.value, x)})
                    yield after
                    yield self.told(after, i, job._replace(took=job.took | {x}))
        if state.lost < self.losses:
            for x in range(3):
                kept = (*state.kept[:x], self.blank, *state.kept[x + 1:])
                yield state._replace(kept=kept, lost=state.lost + 1)

    def told(self, state: State, i: int, job: Job) -> State:
        """An acceptance is heard of; whoever had lost its disk comes back with what is chosen then."""
        kept = state.kept
        if job.but >= 0 and kept[job.but] is None and self.round(job).accepted(str(job.but)):
            kept = (*kept[:job.but], (job.ballot, job.ballot, job.value), *kept[job.but + 1:])
        return state._replace(kept=kept, jobs=(*state.jobs[:i], job, *state.jobs[i + 1:]))

    def check(self, state: State) -> None:
        by: dict[tuple[Ballot, int], set[int]] = {}
        for ballot, value, x in state.taken:
            by.setdefault((ballot, value), set()).add(x)
        found = sorted((ballot, value) for (ballot, value), who in by.items() if len(who) >= 2)
        lists = [self.store.values[value]["list"] for _, value in found]
        for one, other in pairwise(lists):
            if other[:len(one)] != one:
                raise Broken(f"{one} was chosen, then {other}")


# --- leases and versions


class Held(NamedTuple):
    """A balancer: its life, what its `Tenure` holds, and the call that it has out."""

    life: int
    runs: int
    promised: int
    refused: int
    writing: int
    until: int
    stays: bool
    asked: int                    # -1 for no call
    said: tuple[int, int, int]    # runs, promised, refused, as the call has them
    answers: tuple[tuple[int, Ballot, int, bool], ...]  # those that were given: by whom
    came: frozenset[int]          # and those of them that have come back


class Granting(NamedTuple):
    """An acceptor: what it has kept, and what it has granted."""

    promised: Ballot
    ballot: Ballot
    value: int
    rows: tuple[Row, ...]
    unknown_until: int
    locked: tuple[int, int] | None


class Town(NamedTuple):
    now: int
    held: tuple[Held, ...]
    acceptors: tuple[Granting, ...]
    sent: tuple[tuple[Ballot, int], ...]                   # acceptances asked for, wherever they arrive
    taken: frozenset[tuple[Ballot, int, int]]
    decided: tuple[tuple[int, int], ...]                   # version, when it was chosen
    starts: int                                            # of processes that died


class Fleet:
    def __init__(self, balancers: int, proposals: int, rounds: int, ticks: int, starts: int,
                 alone: str) -> None:
        self.store = Store()
        self.proposals, self.rounds, self.alone = proposals, rounds, alone
        self.ticks, self.starts = ticks, starts
        stay = {f"b{b}": "0" for b in range(balancers)} if alone == "stay" else {}
        empty = self.store.number(change.EMPTY | {"stay": stay})
        granting = Granting(NONE, NONE, empty, (), 0, None)
        held = Held(0, 0, 0, 0, 0, 0, alone == "stay", -1, (0, 0, 0), (), frozenset())
        self.first = Town(0, (held,) * balancers, (granting,) * 3, (), frozenset(), (), 0)

    def tenure(self, held: Held) -> Tenure:
        tenure = Tenure(self.alone, LEASE)
        tenure.runs, tenure.promised, tenure.refused = held.runs, held.promised, held.refused
        tenure.writing, tenure.until, tenure.stays = held.writing, held.until, held.stays
        return tenure

    def leases(self, one: Granting, now: int) -> Leases:
        leases = Leases(LEASE, now)
        leases.unknown_until, leases.locked = one.unknown_until, one.locked
        leases.rows = {(row.name, row.life): row for row in one.rows}
        return leases

    @staticmethod
    def granting(one: Granting, leases: Leases) -> Granting:
        return one._replace(rows=tuple(sorted(leases.rows.values())), locked=leases.locked)

    def after(self, town: Town) -> Iterator[Town]:
        for new in self.steps(town):
            self.check(new)
            yield new

    def steps(self, town: Town) -> Iterator[Town]:
        if town.now < self.ticks * TICK:
            yield town._replace(now=town.now + TICK)
        for b, held in enumerate(town.held):
            for new in self.acts(town, held):
                yield town._replace(held=(*town.held[:b], new, *town.held[b + 1:]))
            if held.asked >= 0:
                for x, one in enumerate(town.acceptors):
                    if x not in [answer[0] for answer in held.answers]:
                        yield self.reach(town, b, x, one)
            if town.starts < self.starts:
                new = Held(held.life + 1, -1, 0, 0, 0, 0, False, -1, (0, 0, 0), (), frozenset())
                yield town._replace(held=(*town.held[:b], new, *town.held[b + 1:]), starts=town.starts + 1)
        for x, one in enumerate(town.acceptors):
            if town.starts < self.starts:
                unknown = town.now + Leases(LEASE, 0).unknown_until  # as a new process reckons it
                new_one = one._replace(rows=(), unknown_until=unknown, locked=None)
                yield self.with_acceptor(town, x, new_one)._replace(starts=town.starts + 1)
            for ballot, value in town.sent:
                yield from self.arrive(town, x, one, ballot, value)
        yield from self.rounds_of(town)

    def with_acceptor(self, town: Town, x: int, one: Granting) -> Town:
        return town._replace(acceptors=(*town.acceptors[:x], one, *town.acceptors[x + 1:]))

    def acts(self, town: Town, held: Held) -> Iterator[Held]:
        """What a balancer does by itself: a call; a write that ends; an answer that comes."""
        if held.writing:
            yield from self.written(held)
        if held.asked != town.now:
            yield held._replace(asked=town.now, said=(held.runs, held.promised, held.refused), answers=(),
                                came=frozenset())
        for x, _, _, _ in held.answers:
            if x in held.came:
                continue
            came = held.came | {x}
            told = [(ballot, self.store.values[value], grants) for by, ballot, value, grants in held.answers
                    if by in came]
            value, granted = answered(3, told)
            if value is None:
                yield held._replace(came=came)
                continue
            name = next(iter(value["stay"]), "") and str(held.life)
            registered = bool(name) and name in value["stay"].values()
            tenure = self.tenure(held)
            what = tenure.told(value, registered, held.asked, granted)
            if what == "take":
                tenure.takes(value["n"])
                what = tenure.told(value, registered, held.asked, granted)
            if what == "check":
                tenure.writes(value["next"]["try"])
            new = held._replace(runs=tenure.runs, promised=tenure.promised, refused=tenure.refused,
                                writing=tenure.writing, until=tenure.until, stays=tenure.stays, came=came)
            if granted:
                new = new._replace(asked=-1, answers=(), came=frozenset())
            yield new
            if what == "check":  # a disk may as well be quick
                yield from self.written(new)

    def written(self, held: Held) -> Iterator[Held]:
        for refuses in (False, True):
            tenure = self.tenure(held)
            tenure.refuse(held.writing, "no") if refuses else tenure.promise(held.writing)
            yield held._replace(runs=tenure.runs, promised=tenure.promised, refused=tenure.refused,
                                writing=tenure.writing)

    def reach(self, town: Town, b: int, x: int, one: Granting) -> Town:
        held, leases = town.held[b], self.leases(one, town.now)
        runs, promised, refused = held.said
        row = Row(f"b{b}", str(held.life), self.alone, runs, promised, refused, "", 0, 0)
        grants = leases.hear(row, town.now, town.now)
        new = held._replace(answers=(*held.answers, (x, one.ballot, one.value, grants)))
        return self.with_acceptor(town, x, self.granting(one, leases))._replace(
            held=(*town.held[:b], new, *town.held[b + 1:]))

    def arrive(self, town: Town, x: int, one: Granting, ballot: Ballot, value: int) -> Iterator[Town]:
        """An acceptance, as `Control.accept` takes it."""
        if ballot < one.promised or ballot == one.ballot:
            return
        leases = self.leases(one, town.now)
        acceptor = Acceptor(Kept(one.promised, one.ballot, self.store.values[one.value]), lambda kept: None)
        if leases.takes(acceptor.kept.value, self.store.values[value], town.now):
            yield self.with_acceptor(town, x, self.granting(one, leases))
            return
        if acceptor.accept(ballot, self.store.values[value]):
            new = self.granting(one, leases)._replace(promised=ballot, ballot=ballot, value=value)
            after = self.with_acceptor(town, x, new)._replace(taken=town.taken | {(ballot, value, x)})
            if len([1 for at, what, _ in after.taken if (at, what) == (ballot, value)]) == 2:
                after = self.chosen(after, self.store.values[value])
            yield after

    def chosen(self, town: Town, value: Value) -> Town:
        """At this moment: whoever may serve has to have promised what is decided by it."""
        n = value["n"]
        if n <= max((one for one, _ in town.decided), default=0):
            return town
        for b, held in enumerate(town.held):
            if self.tenure(held).right(town.now) is not Right.NONE and held.runs < n:
                if held.promised != value["try"]:
                    raise Broken(f"version {n} was decided while b{b} may serve under {held.runs} unpromised")
        return town._replace(decided=(*town.decided, (n, town.now)))

    def rounds_of(self, town: Town) -> Iterator[Town]:
        """One round's first phase at some majority, whatever there is to be done with what it finds."""
        if len(town.sent) >= self.rounds:
            return
        ballot = (max((at[0] for at, _ in town.sent), default=0) + 1, "d")
        for quorum in combinations(range(3), 2):
            old = max((town.acceptors[x] for x in quorum), key=lambda one: one.ballot)
            value = self.store.values[old.value]
            new: list[Value | None] = [value]
            if value["tries"] < self.proposals:
                new.append(change.proposed(value, f"p{value['tries']}", {}))
            if value["next"]:
                number = value["next"]["try"]
                new += [change.decided(value, number), change.dropped(value, number, "")]
            for made in new:
                if made is not None:
                    acceptors = tuple(one._replace(promised=ballot) if x in quorum else one
                                      for x, one in enumerate(town.acceptors))
                    sent = (*town.sent, (ballot, self.store.number(made)))
                    yield town._replace(acceptors=acceptors, sent=sent)

    def check(self, town: Town) -> None:
        for b, held in enumerate(town.held):
            if held.runs > max((n for n, _ in town.decided), default=0):
                raise Broken(f"b{b} runs {held.runs}, which is not decided")
            if self.tenure(held).right(town.now) is not Right.NONE:
                for n, when in town.decided:
                    if held.runs < n and town.now >= when + LEASE:
                        late = town.now - when
                        raise Broken(f"b{b} may serve under {held.runs}, {late} after {n} was decided")


MODELS: dict[str, Callable[[], Rounds | Fleet]] = {
    "register": lambda: Rounds(2, 0),
    "register, three rounds": lambda: Rounds(3, 0),
    "register, a disk lost": lambda: Rounds(2, 1),
    "fleet of one": lambda: Fleet(1, 1, 3, 4, 1, "leave"),
    "fleet of one, stays": lambda: Fleet(1, 1, 3, 4, 1, "stay"),
    "fleet of one, two proposals": lambda: Fleet(1, 2, 4, 4, 1, "leave"),
    "fleet of two": lambda: Fleet(2, 1, 2, 4, 1, "leave"),
    "fleet of two, stays": lambda: Fleet(2, 1, 2, 4, 1, "stay"),
    "fleet of three, two proposals": lambda: Fleet(3, 2, 4, 5, 2, "leave"),
    "fleet of three, two proposals, stays": lambda: Fleet(3, 2, 4, 5, 2, "stay"),
}


def main() -> None:
    most, walks = (int(word) for word in (sys.argv[1:3] if len(sys.argv) > 2 else (MOST, 2_000)))
    for name in sys.argv[3:] or MODELS:
        model, began = MODELS[name](), time.monotonic()
        count, whole = explore(model.first, model.after, most)
        steps = 0 if whole else walk(model.first, model.after, walks, Random(1))
        print(f"{name}: {count} states, {'all' if whole else 'not all'}; {steps} steps by chance; "
              f"{time.monotonic() - began:.0f} s", flush=True)


if __name__ == "__main__":
    main()
