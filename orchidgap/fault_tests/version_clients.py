"""Clients whose requests show which version is in effect at each balancer."""

from __future__ import annotations

from collections.abc import Callable

from orchidgap.fault_tests.plan import COMMON_CLASS, class_of_version
from orchidgap.fault_tests.rollout_checker import RolloutChecker
from orchidgap.simulation.clients import Clients
from orchidgap.simulation.environment import Environment
from orchidgap.simulation.observations import ClientAttempt, Operation

RECENT_VERSION_RATIO = 0.8  # fraction of requests whose version is drawn from the recent ones
COMMON_CLASS_RATIO = 0.3  # fraction of all requests that are of the common class


class VersionClients(Clients):
    """Clients that also send requests of classes that only one version defines."""

    def __init__(
        self,
        environment: Environment,
        checker: Callable[[], RolloutChecker],
        recent_versions: Callable[[], list[int]],
    ) -> None:
        """Request the classes of `recent_versions`, and sometimes of all the checker's versions."""
        super().__init__(environment)
        self.checker = checker
        self.recent_versions = recent_versions

    def draw_operation(self) -> Operation:
        """Draw an operation of the common class or of a version's own class."""
        op = super().draw_operation()
        # versions that were replaced long ago too: a balancer that returns may still run one
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
        """Do not count this answer as a failure: another version is in effect at the balancer."""
        self.environment.invariant_checker.answered_failed -= 1
        if attempt.operation.request_class.name == COMMON_CLASS:
            super().on_unknown_class(attempt)

    def choose_balancer(self, excluded: str = "", key: int = 0) -> str | None:
        """Choose evenly, including balancers that deny: their version has to be observed too."""
        names = [
            name
            for name, instance in self.environment.balancers.items()
            if instance.alive and instance.ready_at and name != excluded
        ]
        return self.rng.choice(names) if names else None
