"""The states of one balancer process, from its start to its end, and what each means. No I/O.

What may follow what; an event that has no entry changes nothing:

| state | READY | DRAIN | EMPTY | RESUME | SHUT_DOWN |
| --- | --- | --- | --- | --- | --- |
| STARTING | SERVING | DRAINING | | | LEAVING |
| SERVING | | DRAINING | | | LEAVING |
| DRAINING | | | DRAINED | SERVING | LEAVING |
| DRAINED | | | | SERVING | LEAVING |
| LEAVING | | | | | |

RESUME leads back to STARTING in place of SERVING while no READY has come. `StateRules` says what
holds in a state; `net/node_lifecycle` carries it out, and `net/server` maps signals to events. All
times are whole microseconds of one clock that never goes back.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

# Clients learn that a balancer leaves from its health answer. Until they have asked, they still
# connect.
SHUTDOWN_ACCEPT_US = 400_000
# From the start of a drain until connections without a request are closed.
DRAIN_IDLE_US = 1_000_000
# After SHUT_DOWN, when each open request has its answer at the latest.
MAX_ANSWER_US = 3_500_000
# The same, counted from the longest client timeout: a request may have come after SHUT_DOWN.
ANSWER_MARGIN_US = 500_000
# For those answers to be written; then the process ends.
FINAL_WRITE_US = 100_000
# After SHUT_DOWN, when the process ends though an answer still flows to its client.
MAX_SHUTDOWN_US = 30_000_000


class State(Enum):
    """Where a process is in its life. The values stand in the log and in answers to operators."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    LEAVING = "leaving"


class LifecycleEvent(Enum):
    """What can lead to another state."""

    READY = "ready"  # the process listens and has a list of hosts
    DRAIN = "drain"  # an operator asks for a drain
    EMPTY = "empty"  # in a drain: no client is left
    RESUME = "resume"  # an operator ends a drain
    SHUT_DOWN = "shut down"  # a signal asks the process to end


class StateRules(NamedTuple):
    """What holds in one state."""

    is_ready: bool  # the answer to a health check
    accepts_for_us: int | None  # how long new connections are accepted; None for the whole state
    closes_after_answer: bool  # a connection is closed after its next answer
    # when connections without a request are closed, from the start of the state; None for never
    closes_idle_after_us: int | None
    can_resume: bool  # an operator can end the drain


STATE_RULES = {
    State.STARTING: StateRules(
        is_ready=False,
        accepts_for_us=None,
        closes_after_answer=False,
        closes_idle_after_us=None,
        can_resume=True,
    ),
    State.SERVING: StateRules(
        is_ready=True,
        accepts_for_us=None,
        closes_after_answer=False,
        closes_idle_after_us=None,
        can_resume=True,
    ),
    State.DRAINING: StateRules(
        is_ready=False,
        accepts_for_us=None,
        closes_after_answer=True,
        closes_idle_after_us=DRAIN_IDLE_US,
        can_resume=True,
    ),
    State.DRAINED: StateRules(
        is_ready=False,
        accepts_for_us=None,
        closes_after_answer=True,
        closes_idle_after_us=0,
        can_resume=True,
    ),
    State.LEAVING: StateRules(
        is_ready=False,
        accepts_for_us=SHUTDOWN_ACCEPT_US,
        closes_after_answer=True,
        closes_idle_after_us=SHUTDOWN_ACCEPT_US,
        can_resume=False,
    ),
}

TRANSITIONS = {
    (State.STARTING, LifecycleEvent.READY): State.SERVING,
    (State.STARTING, LifecycleEvent.DRAIN): State.DRAINING,
    (State.STARTING, LifecycleEvent.SHUT_DOWN): State.LEAVING,
    (State.SERVING, LifecycleEvent.DRAIN): State.DRAINING,
    (State.SERVING, LifecycleEvent.SHUT_DOWN): State.LEAVING,
    (State.DRAINING, LifecycleEvent.EMPTY): State.DRAINED,
    (State.DRAINING, LifecycleEvent.RESUME): State.SERVING,
    (State.DRAINING, LifecycleEvent.SHUT_DOWN): State.LEAVING,
    (State.DRAINED, LifecycleEvent.RESUME): State.SERVING,
    (State.DRAINED, LifecycleEvent.SHUT_DOWN): State.LEAVING,
}


class Lifecycle:
    """The state of one process, and the answers that follow from it.

    >>> lifecycle = Lifecycle(0)
    >>> for event in (LifecycleEvent.DRAIN, LifecycleEvent.RESUME, LifecycleEvent.READY):
    ...     print(lifecycle.handle(event, 10), lifecycle.state.value, lifecycle.rules.is_ready)
    True draining False
    True starting False
    True serving True
    >>> lifecycle.handle(LifecycleEvent.DRAIN, 20), lifecycle.handle(LifecycleEvent.DRAIN, 30)
    (True, False)
    >>> lifecycle.since_us, lifecycle.closes_idle(20), lifecycle.closes_idle(1_000_020)
    (20, False, True)
    >>> lifecycle.handle(LifecycleEvent.SHUT_DOWN, 40)
    True
    >>> lifecycle.accepts_connections(40), lifecycle.accepts_connections(400_040)
    (True, False)
    >>> lifecycle.handle(LifecycleEvent.RESUME, 50), lifecycle.state.value
    (False, 'leaving')

    Attributes:
        state: The current state.
        since_us: When it began.
        rules: What holds in it.
        transition_count: How many transitions there were.
        can_serve: READY has come, whatever operators asked for.
        successor_accepts: A newer process of this balancer accepts its clients.
        migrates_connections: Connections go over to that process, in place of being closed.
        closes_after_answer: A connection is closed after its next answer.
        answer_within_us: After SHUT_DOWN, when each open request is answered at the latest.
    """

    __slots__ = (
        "answer_within_us",
        "can_serve",
        "closes_after_answer",
        "migrates_connections",
        "rules",
        "since_us",
        "state",
        "successor_accepts",
        "transition_count",
    )

    def __init__(self, now: int, longest_client_timeout_us: int = MAX_ANSWER_US) -> None:
        """Starts at `now`; both times are in microseconds."""
        self.can_serve = False
        self.successor_accepts = False
        self.transition_count = 0
        self.set_longest_client_timeout(longest_client_timeout_us)
        self.enter(State.STARTING, now)

    def enter(self, state: State, now: int) -> None:
        """Makes this the current state, whatever the state before."""
        self.state = state
        self.since_us = now
        self.rules = STATE_RULES[state]
        self.set_successor_accepts(self.successor_accepts)

    def set_longest_client_timeout(self, timeout_us: int) -> None:
        """No client waits for longer than that."""
        self.answer_within_us = min(MAX_ANSWER_US, timeout_us + ANSWER_MARGIN_US)

    def set_successor_accepts(self, accepts: bool) -> None:
        """Whether a newer process of this balancer accepts its clients from now on."""
        self.successor_accepts = accepts
        self.migrates_connections = accepts and self.state is State.LEAVING
        self.closes_after_answer = self.rules.closes_after_answer and not self.migrates_connections

    def handle(self, event: LifecycleEvent, now: int) -> bool:
        """Enters the state that the event leads to; returns whether it is another one."""
        if event is LifecycleEvent.READY:
            self.can_serve = True
        next_state = TRANSITIONS.get((self.state, event))
        if next_state is None:
            return False
        if next_state is State.SERVING and not self.can_serve:
            next_state = State.STARTING
        self.enter(next_state, now)
        self.transition_count += 1
        return True

    def accepts_connections(self, now: int) -> bool:
        """Whether new connections are accepted."""
        limit_us = self.rules.accepts_for_us
        if limit_us is None:
            return True
        return not self.successor_accepts and now - self.since_us < limit_us

    def closes_idle(self, now: int) -> bool:
        """Whether connections without a request are closed."""
        limit_us = self.rules.closes_idle_after_us
        if limit_us is None or self.migrates_connections:
            return False
        return now - self.since_us >= limit_us

    def must_answer_all(self, now: int) -> bool:
        """Whether each open request gets an answer now, as the process has no more time.

        >>> lifecycle = Lifecycle(0)
        >>> _ = lifecycle.handle(LifecycleEvent.SHUT_DOWN, 0)
        >>> lifecycle.must_answer_all(3_499_999), lifecycle.must_answer_all(3_500_000)
        (False, True)
        >>> lifecycle.is_finished(3_500_000, 1, False)
        False
        """
        return self.state is State.LEAVING and now - self.since_us >= self.answer_within_us

    def is_finished(self, now: int, client_count: int, answers_flow: bool) -> bool:
        """Whether the process ends now.

        Args:
            now: The time.
            client_count: How many clients are connected.
            answers_flow: Whether a body is on its way to one of them.

        >>> lifecycle = Lifecycle(0)
        >>> _ = lifecycle.handle(LifecycleEvent.SHUT_DOWN, 0)
        >>> [lifecycle.is_finished(now, 0, False) for now in (100, 500_000)]
        [False, True]
        >>> [lifecycle.is_finished(now, 1, False) for now in (500_000, 3_600_000)]
        [False, True]
        >>> [lifecycle.is_finished(now, 1, True) for now in (3_600_000, 40_000_000)]
        [False, True]
        >>> lifecycle.set_longest_client_timeout(400_000)
        >>> [lifecycle.is_finished(now, 1, False) for now in (900_000, 1_000_000)]
        [False, True]
        """
        if self.state is not State.LEAVING:
            return False
        if client_count == 0:
            return not self.accepts_connections(now)
        limit_us = MAX_SHUTDOWN_US if answers_flow else self.answer_within_us + FINAL_WRITE_US
        return now - self.since_us >= limit_us
