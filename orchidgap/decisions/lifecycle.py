"""The state machine of one balancer process, from start to exit. No I/O.

The state after each event; an event without an entry changes nothing:

| state | READY | DRAIN | EMPTY | RESUME | SHUT_DOWN |
| --- | --- | --- | --- | --- | --- |
| STARTING | SERVING | DRAINING | | | LEAVING |
| SERVING | | DRAINING | | | LEAVING |
| DRAINING | | | DRAINED | SERVING | LEAVING |
| DRAINED | | | | SERVING | LEAVING |
| LEAVING | | | | | |

RESUME leads to STARTING instead of SERVING if READY has not happened yet. `StateRules` defines the
behaviour in each state; `net/node_lifecycle` implements it, and `net/server` maps signals to
events. All times are whole microseconds of one monotonic clock.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

# How long new connections are accepted after SHUT_DOWN. Clients learn from the health answer that a
# balancer is leaving, and keep connecting until their next health check.
SHUTDOWN_ACCEPT_US = 400_000
# Time from the start of a drain until connections without a request are closed.
DRAIN_IDLE_US = 1_000_000
# Time after SHUT_DOWN by which every open request is answered.
MAX_ANSWER_US = 3_500_000
# Added to the longest client timeout, as a request may have arrived after SHUT_DOWN. If the sum is
# less than MAX_ANSWER_US, it is the time by which every open request is answered.
ANSWER_MARGIN_US = 500_000
# Time for writing the last answers, after which the process exits.
FINAL_WRITE_US = 100_000
# Time after SHUT_DOWN when the process exits even if an answer is still being streamed to a client.
MAX_SHUTDOWN_US = 30_000_000


class State(Enum):
    """The state of a process. The values appear in the log and in answers to operators."""

    STARTING = "starting"
    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    LEAVING = "leaving"


class LifecycleEvent(Enum):
    """An event that can cause a transition."""

    READY = "ready"  # the process listens and has a list of hosts
    DRAIN = "drain"  # an operator requests a drain
    EMPTY = "empty"  # during a drain, the last client has disconnected
    RESUME = "resume"  # an operator ends the drain
    SHUT_DOWN = "shut down"  # a signal requests the process to exit


class StateRules(NamedTuple):
    """How a process behaves in one state."""

    is_ready: bool  # what a health check reports
    accepts_for_us: int | None  # how long new connections are accepted; None for no limit
    closes_after_answer: bool  # whether a connection is closed after its next answer
    # time from the start of the state until idle connections are closed; None for never
    closes_idle_after_us: int | None
    can_resume: bool  # whether an operator can end the drain


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
    """The current state of one process, and the behaviour that follows from it.

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
        since_us: When the current state was entered.
        rules: The behaviour in the current state.
        transition_count: The number of transitions so far.
        can_serve: Whether READY has happened, regardless of drains.
        successor_accepts: Whether a newer process of this balancer accepts its clients.
        migrates_connections: Whether connections migrate to that process instead of being closed.
        closes_after_answer: Whether a connection is closed after its next answer.
        answer_within_us: Time after SHUT_DOWN by which every open request is answered.
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
        """Starts in STARTING at `now`; both times are in microseconds."""
        self.can_serve = False
        self.successor_accepts = False
        self.transition_count = 0
        self.set_longest_client_timeout(longest_client_timeout_us)
        self.enter(State.STARTING, now)

    def enter(self, state: State, now: int) -> None:
        """Enters a state, regardless of the current one."""
        self.state = state
        self.since_us = now
        self.rules = STATE_RULES[state]
        self.set_successor_accepts(self.successor_accepts)

    def set_longest_client_timeout(self, timeout_us: int) -> None:
        """Sets the time after which every client has stopped waiting for its answer."""
        self.answer_within_us = min(MAX_ANSWER_US, timeout_us + ANSWER_MARGIN_US)

    def set_successor_accepts(self, accepts: bool) -> None:
        """Sets whether a newer process of this balancer accepts its clients from now on."""
        self.successor_accepts = accepts
        self.migrates_connections = accepts and self.state is State.LEAVING
        self.closes_after_answer = self.rules.closes_after_answer and not self.migrates_connections

    def handle(self, event: LifecycleEvent, now: int) -> bool:
        """Applies an event; returns whether it caused a transition."""
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
        """Returns whether new connections are accepted."""
        limit_us = self.rules.accepts_for_us
        if limit_us is None:
            return True
        return not self.successor_accepts and now - self.since_us < limit_us

    def closes_idle(self, now: int) -> bool:
        """Returns whether connections without a request are closed."""
        return not self.migrates_connections and self.ends_connections(now)

    def ends_connections(self, now: int) -> bool:
        """Returns whether a connection that cannot migrate ends as soon as nothing is due on it."""
        limit_us = self.rules.closes_idle_after_us
        return limit_us is not None and now - self.since_us >= limit_us

    def must_answer_all(self, now: int) -> bool:
        """Returns whether every open request has to be answered now, before the process exits.

        >>> lifecycle = Lifecycle(0)
        >>> _ = lifecycle.handle(LifecycleEvent.SHUT_DOWN, 0)
        >>> lifecycle.must_answer_all(3_499_999), lifecycle.must_answer_all(3_500_000)
        (False, True)
        >>> lifecycle.is_finished(3_500_000, 1, False)
        False
        """
        return self.state is State.LEAVING and now - self.since_us >= self.answer_within_us

    def is_finished(self, now: int, client_count: int, answers_flow: bool) -> bool:
        """Returns whether the process exits now.

        Args:
            now: The current time.
            client_count: The number of connected clients.
            answers_flow: Whether an answer's body is being streamed to one of them.

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
