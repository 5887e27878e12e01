"""The life of a balancer: what starting, serving, draining, drained and leaving mean, and what follows what.

Times are whole microseconds. The node tells what happened, and all parts ask what it means.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

LAST_CALL = 400_000  # after being told to stop, how long clients are still sent here
UNUSED_FOR = 1_000_000  # into a drain, a connection that asks nothing is idle for good
LAST_WORDS = 3_500_000  # after being told to stop, when each open req gets its answer at the latest
BEYOND = (
    500_000  # before that, where no client waits for so long: whoever came last has had its time
)
LAST_WRITES = 100_000  # for those answers to be written, and then it ends
LONGEST = 30_000_000  # or, where an answer still flows to its client, then


class State(Enum):
    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    LEAVING = "leaving"


class Meaning(NamedTuple):
    """What holds in one state."""

    yes: bool  # the answer to "do you serve?"
    admits_for: (
        int | None
    )  # how long new connections are let in; None for as long as the state lasts
    last: bool  # an answer is the last on its connection
    quiet_after: int | None  # when connections that ask nothing are closed; None for never
    resumes: bool  # whether a drain can be ended from here


MEANS = {
    State.STARTING: Meaning(False, None, False, None, True),
    State.SERVING: Meaning(True, None, False, None, True),
    State.DRAINING: Meaning(False, None, True, UNUSED_FOR, True),
    State.DRAINED: Meaning(False, None, True, 0, True),
    State.LEAVING: Meaning(False, LAST_CALL, True, LAST_CALL, False),
}

# What happens, and where it leads. "able": it listens and has a list of hosts; "empty": no client is left;
# what stands in no row changes nothing.
NEXT = {
    (State.STARTING, "able"): State.SERVING,
    (State.STARTING, "quiesce"): State.DRAINING,
    (State.SERVING, "quiesce"): State.DRAINING,
    (State.DRAINING, "empty"): State.DRAINED,
    (State.DRAINING, "resume"): State.SERVING,
    (State.DRAINED, "resume"): State.SERVING,
} | {(state, "leave"): State.LEAVING for state in State if state is not State.LEAVING}


class Lifecycle:
    """One balancer's life.

    >>> life = Lifecycle(0)
    >>> [(life.on(event, 10), life.state.value, life.means.yes) for event in ("quiesce", "resume", "able")]
    [(True, 'draining', False), (True, 'starting', False), (True, 'serving', True)]
    >>> life.on("quiesce", 20), life.on("quiesce", 30), life.since, life.lets_go(20), life.lets_go(1_000_020)
    (True, False, 20, False, True)
    >>> life.on("leave", 40), life.admits(40), life.admits(400_040), life.on("resume", 50), life.state.value
    (True, True, False, False, 'leaving')
    """

    __slots__ = (
        "able",
        "changes",
        "hands_over",
        "heir",
        "last",
        "last_words",
        "means",
        "since",
        "state",
    )

    def __init__(self, now: int, longest: int = LAST_WORDS) -> None:
        self.able = False  # it could serve, whatever it was told by hand
        self.bound(longest)
        self.heir = False  # another process of this balancer lets clients in
        self.changes = 0
        self.enter(State.STARTING, now)

    def enter(self, state: State, now: int) -> None:
        self.state, self.since, self.means = state, now, MEANS[state]
        self.follow(self.heir)

    def bound(self, longest: int) -> None:
        """So long does a client wait, at the most."""
        self.last_words = min(LAST_WORDS, longest + BEYOND)

    def follow(self, heir: bool) -> None:
        """Whether another process of this balancer lets clients in, from now on."""
        self.heir = heir
        # whether connections go to that process as they are, in place of being let go
        self.hands_over = heir and self.state is State.LEAVING
        self.last = (
            self.means.last and not self.hands_over
        )  # whether an answer is the last on its connection

    def on(self, event: str, now: int) -> bool:
        """What happened, and when; whether the state is another one now."""
        self.able = self.able or event == "able"
        to = NEXT.get((self.state, event))
        if to is None:
            return False
        if to is State.SERVING and not self.able:
            to = State.STARTING
        self.enter(to, now)
        self.changes += 1
        return True

    def admits(self, now: int) -> bool:
        """Whether new connections are let in."""
        until = self.means.admits_for
        return until is None or not self.heir and now - self.since < until

    def over(self, now: int, clients: int, flows: bool) -> bool:
        """Whether a balancer that leaves ends now, with so many clients, to whom answers flow or not.

        >>> life = Lifecycle(0); _ = life.on("leave", 0)
        >>> life.over(100, 0, False), life.over(500_000, 0, False), life.over(500_000, 1, False)
        (False, True, False)
        >>> life.over(3_600_000, 1, False), life.over(3_600_000, 1, True), life.over(40_000_000, 1, True)
        (True, False, True)
        >>> life.bound(400_000); life.over(900_000, 1, False), life.over(1_000_000, 1, False)
        (False, True)
        """
        if self.state is not State.LEAVING:
            return False
        if not clients:
            return not self.admits(now)
        return now - self.since >= (LONGEST if flows else self.last_words + LAST_WRITES)

    def gives_up(self, now: int) -> bool:
        """Whether what is still open gets its answer now: this process has no more time than that.

        >>> life = Lifecycle(0); _ = life.on("leave", 0)
        >>> life.gives_up(3_499_999), life.gives_up(3_500_000), life.over(3_500_000, 1, False)
        (False, True, False)
        """
        return self.state is State.LEAVING and now - self.since >= self.last_words

    def lets_go(self, now: int) -> bool:
        """Whether connections that ask nothing are closed."""
        after = self.means.quiet_after
        return after is not None and not self.hands_over and now - self.since >= after
