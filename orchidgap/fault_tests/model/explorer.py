"""Visits the states of a model: all states, or some by random walks."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import deque
from collections.abc import Hashable, Iterator
from functools import lru_cache
from random import Random
from typing import Generic, NamedTuple, TypeVar

MAX_WALK_STEPS = 120
MAX_REMEMBERED_STATES = 1 << 15  # number of states whose successors are cached during walks

StateT = TypeVar("StateT", bound=Hashable)


class InvariantViolation(Exception):  # noqa: N818
    """A reached state breaks an invariant; the message is one line."""


class Exploration(NamedTuple):
    """The result of a breadth-first search.

    Attributes:
        state_count: The number of distinct states found.
        complete: Whether these are all reachable states.
    """

    state_count: int
    complete: bool


class Model(ABC, Generic[StateT]):
    """A state machine that checks its invariants in each state that it reaches.

    Attributes:
        initial_state: The state in which each search and each walk begins.
    """

    initial_state: StateT

    @abstractmethod
    def successors(self, state: StateT) -> Iterator[StateT]:
        """Yield each state that is reached by one step.

        Raises:
            InvariantViolation: One of these states breaks an invariant.
        """

    def explore(self, max_states: int) -> Exploration:
        """Visit states breadth first until none is left or `max_states` were found.

        Raises:
            InvariantViolation: A state breaks an invariant.
        """
        seen = {self.initial_state}
        queue = deque([self.initial_state])
        while queue:
            for state in self.successors(queue.popleft()):
                if state not in seen:
                    seen.add(state)
                    queue.append(state)
            if len(seen) >= max_states:
                return Exploration(len(seen), complete=False)
        return Exploration(len(seen), complete=True)

    def walk(self, walk_count: int, rng: Random) -> int:
        """Follow long random paths, for models with too many states; return the number of steps.

        The successors of recently visited states are cached, as all walks begin in the initial
        state and many visit the same states.

        Raises:
            InvariantViolation: A state breaks an invariant.
        """

        @lru_cache(maxsize=MAX_REMEMBERED_STATES)
        def checked_successors(state: StateT) -> list[StateT]:
            return list(self.successors(state))

        step_count = 0
        for _ in range(walk_count):
            state = self.initial_state
            for _ in range(MAX_WALK_STEPS):
                found = checked_successors(state)
                if not found:
                    break
                state = rng.choice(found)
                step_count += 1
        return step_count
