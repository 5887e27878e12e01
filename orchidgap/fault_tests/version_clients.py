"""Clients that find out which version governs each balancer."""

from __future__ import annotations

from collections.abc import Callable

from orchidgap.fault_tests.plan import COMMON_CLASS, class_of_version
from orchidgap.fault_tests.rollout_checker import RolloutChecker
from orchidgap.simulation.clients import Clients
from orchidgap.simulation.environment import Environment
from orchidgap.simulation.observations import ClientAttempt, Operation

RECENT_VERSION_RATIO = 0.8  # of requests for one version's class
COMMON_CLASS_RATIO = 0.3  # of all requests


class VersionClients(Clients):
    """Clients that also send requests of classes that only one version has."""

    def __init__(
        self,
        environment: Environment,
        checker: Callable[[], RolloutChecker],
        recent_versions: Callable[[], list[int]],
    ) -> None:
        """ClientAttempt for what `recent_versions` tells, and at times for all in the checker."""
        super().__init__(environment)
        self.checker = checker
        self.recent_versions = recent_versions

    def draw_operation(self) -> Operation:
        """Draw an operation of the common class, or of one version's own."""
        op = super().draw_operation()
        # what was replaced long ago is asked for too: whoever comes back may have it still
        if self.rng.random() < RECENT_VERSION_RATIO:
            numbers = self.recent_versions()
        else:
            numbers = list(self.checker().proposals)
        is_common = self.rng.random() < COMMON_CLASS_RATIO
        name = COMMON_CLASS if is_common else class_of_version(self.rng.choice(numbers))
        op.request_class = next(work for work in self.request_classes if work.name == name)
        op.counted = name == COMMON_CLASS
        return op

    def on_unknown_class(self, attempt: ClientAttempt) -> None:
        """Take an answer that the class is unknown for what it is: another version governs."""
        self.environment.invariant_checker.answered_failed -= 1
        if attempt.operation.request_class.name == COMMON_CLASS:
            super().on_unknown_class(attempt)

    def choose_balancer(self, excluded: str = "", key: int = 0) -> str | None:
        """Choose evenly, also balancers that deny: which version governs them is the question."""
        names = [
            name
            for name, instance in self.environment.balancers.items()
            if instance.alive and instance.ready_at and name != excluded
        ]
        return self.rng.choice(names) if names else None
