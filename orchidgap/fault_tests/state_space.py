"""Looks at every state that the pure modules of a change can come to, within bounds: python -m
orchidgap.fault_tests.state_space

Two models, each over the modules themselves. `Rounds`: acceptors and proposers of the register, every
message lost, doubled, late or out of order, a proposer that starts again under a ballot that it had used, an
acceptor that loses its disk and comes back. `Fleet`: three acceptors that grant leases, balancers that
promise, refuse, take, stop, start again and are cut off, acceptors that take their time over a write, a
driver that decides whenever it likes, a clock that goes on between any two steps, without end. What the
driver does in one phase happens at once there, and its acceptances arrive wherever and whenever.

Times are kept as they stand to now, what is over counts as never, and acceptors that only differ by their
names are one state: so a fleet's time needs no bound. One balancer stands for any number: what others do
reaches it by way of an acceptor only, as a wait (which `Fleet.arrive` has at any time) or as a round of the
register.
"""

from __future__ import annotations

import sys
import time
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import replace
from functools import cache
from itertools import combinations, pairwise
from random import Random
from typing import Any, NamedTuple

import orjson

from orchidgap.decisions import policy_rollout
from orchidgap.decisions.cas_register import (
    NO_BALLOT,
    Acceptor,
    AcceptorState,
    Ballot,
    Proposer,
)
from orchidgap.decisions.lease_state import (
    LeaseState,
    NextStep,
    PromisePhase,
    ServingPermission,
    evaluate_answers,
)
from orchidgap.decisions.leases import (
    LeaseHolder,
    LeaseTable,
    OnLostQuorum,
)
from orchidgap.decisions.policy_rollout import PolicyState

Value = Any  # of the register: a list of labels in `Rounds`, a `PolicyState` in `Fleet`

TICK, LEASE = 100, 200
DEPTH = 120
MOST = 4_000_000  # states that are kept
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
    but: int  # an acceptor that does not count, -1 for none
    heard: tuple[tuple[int, Ballot, int], ...]  # promises, in the order they came
    value: int  # -1 until it is known
    took: frozenset[int]


class State(NamedTuple):
    kept: tuple[
        tuple[Ballot, Ballot, int] | None, ...
    ]  # of each acceptor; None where the disk is lost
    jobs: tuple[Job, ...]
    taken: frozenset[tuple[Ballot, int, int]]  # all that was ever taken: ballot, value, by whom
    lost: int


class Rounds:
    """Each job appends its label to what it finds: of two chosen values one has to begin with the other."""

    def __init__(self, jobs: int, losses: int) -> None:
        self.store = Store()
        self.jobs, self.losses = jobs, losses
        empty = self.store.number({"list": []})
        self.blank: tuple[Ballot, Ballot, int] | None = (
            None  # of what an acceptor knows without its disk
        )
        self.first = State(((NO_BALLOT, NO_BALLOT, empty),) * 3, (), frozenset(), 0)

    def acceptor(self, state: State, x: int) -> Acceptor[Value] | None:
        row = state.kept[x]
        return Acceptor(AcceptorState(row[0], row[1], self.store.values[row[2]])) if row else None

    def put(self, state: State, x: int, kept: AcceptorState[Value]) -> tuple[Any, ...]:
        """Written, and counts."""
        row = kept.promised_ballot, kept.accepted_ballot, self.store.number(kept.value)
        return (*state.kept[:x], row, *state.kept[x + 1 :])

    def round(self, job: Job) -> Proposer[Value]:
        """As it stands, from what has come."""

        def longer(value: Value) -> Value:
            return {"list": [*value["list"], job.label]} if job.label else value

        made = Proposer(job.ballot, 3, longer, str(job.but) if job.but >= 0 else "")
        for x, ballot, value in job.heard:
            made.on_promise(str(x), ballot, self.store.values[value])
        for x in job.took:
            made.on_accepted(str(x))
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
                    if any(
                        job.ballot == (count, other)
                        for job in jobs
                        for other in LABELS
                        if other != who
                    ):
                        continue
                    yield state._replace(
                        jobs=(*jobs, Job((count, who), label, -1, (), -1, frozenset()))
                    )
            for x, row in enumerate(state.kept):
                if row is None:
                    job = Job((max(counts) + 1, f"x{x}"), "", x, (), -1, frozenset())
                    yield state._replace(jobs=(*jobs, job))
        for i, job in enumerate(jobs):
            for x in range(3):
                if (acceptor := self.acceptor(state, x)) is None:
                    continue
                if (now := acceptor.prepare(job.ballot)) is not None:
                    after = state._replace(kept=self.put(state, x, now))
                    yield after  # and its answer is lost
                    # one that comes late tells the proposer no more than one that comes at once
                    if job.value < 0:
                        heard = (*job.heard, (x, now.accepted_ballot, self.store.number(now.value)))
                        new = job._replace(heard=heard)
                        if (value := self.round(new).value) is not None:
                            new = new._replace(value=self.store.number(value))
                        yield after._replace(jobs=(*jobs[:i], new, *jobs[i + 1 :]))
                took = (
                    acceptor.accept(job.ballot, self.store.values[job.value])
                    if job.value >= 0
                    else None
                )
                if took is not None:
                    after = state._replace(
                        kept=self.put(state, x, took),
                        taken=state.taken | {(job.ballot, job.value, x)},
                    )
                    yield after
                    yield self.told(after, i, job._replace(took=job.took | {x}))
        if state.lost < self.losses:
            for x in range(3):
                kept = (*state.kept[:x], self.blank, *state.kept[x + 1 :])
                yield state._replace(kept=kept, lost=state.lost + 1)

    def told(self, state: State, i: int, job: Job) -> State:
        """An acceptance is heard of; whoever had lost its disk comes back with what is chosen then."""
        kept = state.kept
        if job.but >= 0 and kept[job.but] is None and self.round(job).on_accepted(str(job.but)):
            kept = (*kept[: job.but], (job.ballot, job.ballot, job.value), *kept[job.but + 1 :])
        return state._replace(kept=kept, jobs=(*state.jobs[:i], job, *state.jobs[i + 1 :]))

    def check(self, state: State) -> None:
        by: dict[tuple[Ballot, int], set[int]] = {}
        for ballot, value, x in state.taken:
            by.setdefault((ballot, value), set()).add(x)
        found = sorted((ballot, value) for (ballot, value), who in by.items() if len(who) >= 2)
        lists = [self.store.values[value]["list"] for _, value in found]
        for one, other in pairwise(lists):
            if other[: len(one)] != one:
                raise Broken(f"{one} was chosen, then {other}")


# --- leases and versions


class Answer(NamedTuple):
    """What an acceptor told a balancer that called: it comes whenever it does, if ever."""

    ballot: Ballot
    value: int
    grants: bool


class Held(NamedTuple):
    """A balancer: its life, what its `LeaseState` holds, and the call that it has out. Times from now."""

    life: int
    runs: int
    promised: int
    writing: int
    until: int
    stays: bool
    asked: int | None  # no call
    said: tuple[int, int]  # runs and promised, as the call has them


class Seat(NamedTuple):
    """An acceptor: what it has kept, what it has granted, what it answered to each balancer's call. Times
    from now."""

    promised: Ballot
    ballot: Ballot
    value: int
    rows: tuple[LeaseHolder, ...]
    unknown_until: int
    locked: tuple[int, int] | None
    writing: int  # which acceptance is on its way to the disk, -1 for none
    ghost: int  # one whose write failed, and which may be there all the same
    answers: tuple[Answer | None, ...]
    took: int  # the acceptances it has taken that would decide something, a bit each


class Rest(NamedTuple):
    sent: tuple[int, ...]  # acceptances asked for, wherever they arrive: the value of each
    decided: tuple[tuple[int, int], ...]  # version, how long ago it was chosen
    starts: int  # of processes that died


class Town(NamedTuple):
    """All parts by their numbers: equal parts have equal ones, so a state is small and quickly compared."""

    held: tuple[int, ...]
    seats: tuple[
        int, ...
    ]  # in the order of their numbers: which acceptor is which makes no difference
    rest: int


class Parts:
    """Parts of states by number."""

    def __init__(self) -> None:
        self.numbers: dict[Any, int] = {}
        self.all: list[Any] = []

    def __call__(self, part: Any) -> int:
        number = self.numbers.get(part)
        if number is None:
            number = self.numbers[part] = len(self.all)
            self.all.append(part)
        return number


def ballot_of(sent: int) -> Ballot:
    return sent + 1, "d"


def but(row: tuple[Any, ...], i: int, new: Any) -> tuple[Any, ...]:
    """With another one at that place."""
    return (*row[:i], new, *row[i + 1 :])


class Fleet:
    def __init__(
        self, balancers: int, proposals: int, rounds: int, starts: int, alone: str
    ) -> None:
        self.store, self.held, self.seats, self.rests = Store(), Parts(), Parts(), Parts()
        self.proposals, self.rounds, self.starts, self.alone = proposals, rounds, starts, alone
        stay = {f"b{b}": "0" for b in range(balancers)} if alone == "stay" else {}
        empty = self.store.number(
            replace(policy_rollout.INITIAL_STATE, members_without_quorum=stay)
        )
        seat = self.seats(
            Seat(NO_BALLOT, NO_BALLOT, empty, (), 0, None, -1, -1, (None,) * balancers, 0)
        )
        held = self.held(Held(0, 0, 0, 0, 0, alone == "stay", None, (0, 0)))
        self.first = Town((held,) * balancers, (seat,) * 3, self.rests(Rest((), (), 0)))
        # what one part comes to is found once, and not for every state that has it
        for name in (
            "wrote",
            "heard",
            "reach",
            "arrive",
            "take",
            "cleared",
            "later_held",
            "later_seat",
            "rights",
            "later_rest",
            "restarted",
            "ended",
            "settled",
        ):
            setattr(self, name, cache(getattr(self, name)))

    # --- the modules' own objects, from parts and back

    def tenure(self, held: Held) -> LeaseState:
        lease = LeaseState(OnLostQuorum(self.alone), LEASE)
        lease.version = held.runs
        if held.promised:
            lease.promise_phase = PromisePhase.PROMISED
        elif held.writing:
            lease.promise_phase = PromisePhase.WRITING
        lease.proposal_number = held.promised or held.writing
        lease.expires_at_us = held.until
        lease.registered = held.stays
        return lease

    @staticmethod
    def holds(held: Held, lease: LeaseState) -> Held:
        return held._replace(
            runs=lease.version,
            promised=lease.promised_proposal,
            writing=lease.writing_proposal,
            until=max(0, lease.expires_at_us),
            stays=lease.registered,
        )

    @staticmethod
    def leases(seat: Seat) -> LeaseTable:
        leases = LeaseTable(LEASE, 0)
        leases.unknown_holders_until_us = seat.unknown_until
        leases.pending_decision = seat.locked
        leases.holders = {(row.name, row.incarnation): row for row in seat.rows}
        return leases

    @staticmethod
    def granting(seat: Seat, leases: LeaseTable) -> Seat:
        rows = sorted(
            row._replace(heard_at_us=0)
            for row in leases.holders.values()
            if row.lease_expires_at_us > 0
        )
        return seat._replace(rows=tuple(rows), locked=leases.pending_decision)

    # --- steps

    def after(self, town: Town) -> Iterator[Town]:
        for held, seats, rest in self.steps(town):
            self.check(held, rest)
            yield Town(held, tuple(sorted(self.settled(seat, rest) for seat in seats)), rest)

    def settled(self, number: int, rest: int) -> int:
        """Without what makes no difference any more: acceptances of what is decided, and files that nobody
        will start from."""
        seat, there = self.seats.all[number], self.rests.all[rest]
        last = max((n for n, _ in there.decided), default=0)
        took = sum(
            1 << i
            for i, value in enumerate(there.sent)
            if seat.took >> i & 1 and self.store.values[value].version > last
        )
        ghost = seat.ghost if there.starts < self.starts else -1
        return self.seats(seat._replace(took=took, ghost=ghost))

    def steps(self, town: Town) -> Iterator[tuple[tuple[int, ...], tuple[int, ...], int]]:
        held, seats, rest = town
        yield (
            tuple(self.later_held(one) for one in held),
            tuple(self.later_seat(one) for one in seats),
            self.later_rest(rest),
        )
        there: Rest = self.rests.all[rest]
        dies = there.starts < self.starts
        more = self.rests(there._replace(starts=there.starts + 1)) if dies else rest
        for b, number in enumerate(held):
            one: Held = self.held.all[number]
            if one.writing:
                yield but(held, b, self.wrote(number)), seats, rest
            if one.asked is None or one.asked < 0:  # it calls
                said = one.runs, one.promised
                yield (
                    but(held, b, self.held(one._replace(asked=0, said=said))),
                    tuple(self.cleared(seat, b) for seat in seats),
                    rest,
                )
            if dies:
                new = Held(one.life + 1, -1, 0, 0, 0, False, None, (0, 0))
                yield (
                    but(held, b, self.held(new)),
                    tuple(self.cleared(seat, b) for seat in seats),
                    more,
                )
            if one.asked is not None:
                for x, seat in enumerate(seats):
                    if self.seats.all[seat].answers[b] is None:
                        yield held, but(seats, x, self.reach(b, number, seat)), rest
                yield from self.come(town, b)
        for x, seat in enumerate(seats):
            if dies:
                yield held, but(seats, x, self.restarted(seat)), more
                at: Seat = self.seats.all[seat]
                if (written := max(at.writing, at.ghost)) >= 0:
                    yield self.taken(held, but(seats, x, self.restarted(seat)), more, x, written)
            if (writes := self.seats.all[seat].writing) >= 0:
                yield held, but(seats, x, self.ended(seat)), rest
                yield self.taken(held, seats, rest, x, writes)
            else:
                for i, value in enumerate(there.sent):
                    for new_seat in self.arrive(seat, i, value):
                        yield held, but(seats, x, new_seat), rest
        for new_seats, new_rest in self.rounds_of(town, there):
            yield held, new_seats, new_rest

    def later_held(self, number: int) -> int:
        """The clock goes on. What is over is as if it had never been, what is long ago as old as it gets."""
        one: Held = self.held.all[number]
        asked = None if one.asked is None else max(-LEASE, one.asked - TICK)
        return self.held(one._replace(until=max(0, one.until - TICK), asked=asked))

    def later_seat(self, number: int) -> int:
        seat: Seat = self.seats.all[number]
        rows = tuple(
            row._replace(lease_expires_at_us=row.lease_expires_at_us - TICK)
            for row in seat.rows
            if row.lease_expires_at_us > TICK
        )
        return self.seats(seat._replace(rows=rows, unknown_until=max(0, seat.unknown_until - TICK)))

    def later_rest(self, number: int) -> int:
        rest: Rest = self.rests.all[number]
        decided = tuple((n, min(LEASE, age + TICK)) for n, age in rest.decided)
        return self.rests(rest._replace(decided=decided))

    def wrote(self, number: int) -> int:
        """A balancer has a promise on its disk. One that refuses is as one that never gets there."""
        held: Held = self.held.all[number]
        lease = self.tenure(held)
        lease.on_promise_durable(held.writing)
        return self.held(self.holds(held, lease))

    def come(self, town: Town, b: int) -> Iterator[tuple[tuple[int, ...], tuple[int, ...], int]]:
        """Two or three answers have come to the balancer; one tells it nothing."""
        all_ = (self.seats.all[seat].answers[b] for seat in town.seats)
        given = sorted(answer for answer in all_ if answer)
        for came in dict.fromkeys((*combinations(given, 2), *combinations(given, 3))):
            new, over = self.heard(b, town.held[b], came)
            # what others say of the same call adds nothing
            seats = tuple(self.cleared(seat, b) for seat in town.seats) if over else town.seats
            yield but(town.held, b, new), seats, town.rest

    def heard(self, b: int, number: int, came: tuple[Answer, ...]) -> tuple[int, bool]:
        """What it then is, and whether the call is over."""
        held: Held = self.held.all[number]
        value, granted = evaluate_answers(
            3, [(at, self.store.values[value], grants) for at, value, grants in came]
        )
        if value is None:
            return number, False
        assert held.asked is not None
        proposed = value.proposal.proposal_number if value.proposal else 0
        registered = value.members_without_quorum.get(f"b{b}") == str(held.life)
        lease = self.tenure(held)
        step = lease.on_chosen_state(value.version, proposed, registered, held.asked, granted)
        if step is NextStep.ADOPT_VERSION:
            lease.on_version_adopted(value.version)
            step = lease.on_chosen_state(value.version, proposed, registered, held.asked, granted)
        if step is NextStep.CHECK_PROPOSAL:
            lease.on_write_started(proposed)
        new = self.holds(held, lease)
        if granted:
            new = new._replace(asked=None, said=(0, 0))
        return self.held(new), granted

    def cleared(self, number: int, b: int) -> int:
        """What it answered to that balancer's call counts no more."""
        seat: Seat = self.seats.all[number]
        return self.seats(seat._replace(answers=but(seat.answers, b, None)))

    def reach(self, b: int, held: int, number: int) -> int:
        """A balancer's call reaches an acceptor."""
        seat, one = self.seats.all[number], self.held.all[held]
        leases = self.leases(seat)
        runs, promised = one.said
        row = LeaseHolder(f"b{b}", str(one.life), self.alone, runs, promised, 0, "", 0, 0)
        grants = leases.on_heartbeat(row, 0, 0)
        told = Answer(seat.ballot, seat.value, grants)
        return self.seats(self.granting(seat, leases)._replace(answers=but(seat.answers, b, told)))

    def arrive(self, number: int, i: int, value: int) -> list[int]:
        """An acceptance, as `Control.accept` takes it: it waits, or is on its way to the disk."""
        seat: Seat = self.seats.all[number]
        acceptor = Acceptor(
            AcceptorState(seat.promised, seat.ballot, self.store.values[seat.value])
        )
        if (
            seat.ballot == ballot_of(i)
            or acceptor.accept(ballot_of(i), self.store.values[value]) is None
        ):
            return []
        leases = self.leases(seat)
        late = leases.begin_decision(acceptor.state.value, self.store.values[value], 0)
        after = self.granting(seat, leases)
        # it may wait for this balancer, or for another one that is not looked at here
        found = [self.seats(after)] if leases.pending_decision else []
        return found if late else [*found, self.seats(after._replace(writing=i))]

    def ended(self, number: int) -> int:
        """Its write is over, and has failed; what it wrote may be there all the same."""
        seat: Seat = self.seats.all[number]
        return self.seats(seat._replace(writing=-1, ghost=seat.writing))

    def restarted(self, number: int) -> int:
        seat: Seat = self.seats.all[number]
        unknown = LeaseTable(LEASE, 0).unknown_holders_until_us  # as a new process reckons it
        return self.seats(
            seat._replace(rows=(), unknown_until=unknown, locked=None, writing=-1, ghost=-1)
        )

    def taken(
        self, held: tuple[int, ...], seats: tuple[int, ...], rest: int, x: int, i: int
    ) -> tuple[tuple[int, ...], tuple[int, ...], int]:
        """The acceptance is on that acceptor's disk."""
        there: Rest = self.rests.all[rest]
        seats = but(seats, x, self.take(seats[x], i, there.sent[i]))
        if sum(self.seats.all[one].took >> i & 1 for one in seats) == 2:
            rest = self.chosen(held, there, self.store.values[there.sent[i]])
        return held, seats, rest

    def take(self, number: int, i: int, value: int) -> int:
        seat: Seat = self.seats.all[number]
        leases = self.leases(seat)
        leases.on_accepted()
        return self.seats(
            self.granting(seat, leases)._replace(
                promised=ballot_of(i),
                ballot=ballot_of(i),
                value=value,
                writing=-1,
                ghost=-1,
                took=seat.took | 1 << i,
            )
        )

    def chosen(self, held: tuple[int, ...], rest: Rest, value: PolicyState) -> int:
        """At this moment: whoever may serve has to have promised what is decided by it."""
        n = value.version
        if n <= max((one for one, _ in rest.decided), default=0):
            return self.rests(rest)
        for b, number in enumerate(held):
            one = self.held.all[number]
            if self.rights(number) and one.runs < n and one.promised != value.proposal_number:
                raise Broken(
                    f"version {n} was decided while b{b} may serve under {one.runs} unpromised"
                )
        return self.rests(rest._replace(decided=(*rest.decided, (n, 0))))

    def rounds_of(self, town: Town, rest: Rest) -> Iterator[tuple[tuple[int, ...], int]]:
        """One round's first phase at some majority, whatever there is to be done with what it finds."""
        if len(rest.sent) >= self.rounds:
            return
        ballot = ballot_of(len(rest.sent))
        for quorum in combinations(range(3), 2):
            asked = [self.seats.all[town.seats[x]] for x in quorum]
            if any(seat.writing >= 0 for seat in asked):
                continue  # it is asked when that is over
            seats = list(town.seats)
            for x, seat in zip(quorum, asked):
                seats[x] = self.seats(seat._replace(promised=ballot, ghost=-1))
            value = self.store.values[max(asked, key=lambda seat: seat.ballot).value]
            for made in self.made_of(town, value):
                yield (
                    tuple(seats),
                    self.rests(rest._replace(sent=(*rest.sent, self.store.number(made)))),
                )

    def made_of(self, town: Town, value: PolicyState) -> list[PolicyState]:
        new: list[PolicyState] = []
        if value.proposal_count < self.proposals:
            new.append(policy_rollout.propose(value, f"p{value.proposal_count}", {}))
        if value.proposal:
            number = value.proposal.proposal_number
            new += [policy_rollout.decide(value, number), policy_rollout.drop(value, number, "")]
        if self.alone == "stay":
            new += [
                policy_rollout.register_member(value, f"b{b}", str(self.held.all[held].life))
                for b, held in enumerate(town.held)
            ]
        return [value, *(made for made in new if made is not value)]

    def rights(self, number: int) -> bool:
        """Whether it may serve."""
        return self.tenure(self.held.all[number]).permission(0) is not ServingPermission.DENIED

    def check(self, held: tuple[int, ...], rest: int) -> None:
        decided = self.rests.all[rest].decided
        last = max((n for n, _ in decided), default=0)
        for b, number in enumerate(held):
            one = self.held.all[number]
            if one.runs > last:
                raise Broken(f"b{b} runs {one.runs}, which is not decided")
            for n, age in decided:
                if one.runs < n and age >= LEASE and self.rights(number):
                    raise Broken(f"b{b} may serve under {one.runs}, a lease after {n} was decided")


MODELS: dict[str, Callable[[], Rounds | Fleet]] = {
    "register": lambda: Rounds(2, 0),
    "register, three rounds": lambda: Rounds(3, 0),
    "register, a disk lost": lambda: Rounds(2, 1),
    "leaves": lambda: Fleet(1, 1, 2, 0, "leave"),
    "stays": lambda: Fleet(1, 1, 2, 0, "stay"),
    "leaves, a start": lambda: Fleet(1, 1, 2, 1, "leave"),
    "stays, a start": lambda: Fleet(1, 1, 2, 1, "stay"),
    "leaves, two proposals": lambda: Fleet(1, 2, 4, 1, "leave"),
    "stays, two proposals": lambda: Fleet(1, 2, 4, 1, "stay"),
    "three leave, two proposals": lambda: Fleet(3, 2, 4, 2, "leave"),
    "three stay, two proposals": lambda: Fleet(3, 2, 4, 2, "stay"),
}


def main() -> None:
    most, walks = (int(word) for word in (sys.argv[1:3] if len(sys.argv) > 2 else (MOST, 2_000)))
    for name in sys.argv[3:] or MODELS:
        model, began = MODELS[name](), time.monotonic()
        count, whole = explore(model.first, model.after, most)
        steps = 0 if whole else walk(model.first, model.after, walks, Random(1))
        print(
            f"{name}: {count} states, {'all' if whole else 'not all'}; {steps} steps by chance; "
            f"{time.monotonic() - began:.0f} s",
            flush=True,
        )


if __name__ == "__main__":
    main()
