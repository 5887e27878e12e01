"""Checks whether the condition of a step is met, as observed from outside the processes."""

from __future__ import annotations

from orchidgap.fault_tests.cluster import Cluster
from orchidgap.fault_tests.plan import ANY_PROCESS, Condition, ConditionKind
from orchidgap.simulation.observations import ClientAttempt
from orchidgap.simulation.plan import seconds_to_us

STATUS_OK = 200
STATUS_DENIED = 503


class StepConditions:
    """Evaluates the conditions of steps on a cluster."""

    def __init__(self, cluster: Cluster) -> None:
        """Evaluate conditions on this cluster."""
        self.cluster = cluster

    def is_met(self, condition: Condition, since_us: int) -> bool:
        """Return whether a condition is met; `since_us` is when the step began to wait."""
        cluster = self.cluster
        arguments = condition.arguments
        match condition.kind:
            case ConditionKind.SECONDS_PASSED:
                return cluster.loop.now - since_us >= seconds_to_us(float(arguments[0]))
            case ConditionKind.ALL_UP:
                return all(
                    instance.ready_at > 0
                    for instance in cluster.balancers.values()
                    if instance.alive
                )
            case ConditionKind.PROPOSALS_ENDED:
                return not cluster.proposers.running
            case ConditionKind.EVENT_LOGGED:
                return self._is_logged(*arguments)
            case ConditionKind.PROCESS_ENDED:
                return cluster.process_of(arguments[0]).poll() is not None
            case ConditionKind.REQUESTS_WRITTEN:
                return self._written_count(arguments[0]) >= int(arguments[1])
            case _:
                return self._is_answered(condition, since_us)

    def serves(self, balancer: str, request_class: str, since_us: int) -> bool:
        """Return whether a balancer has answered 200 for this class since a time."""
        return any(
            attempt.balancer == balancer and self._is_served(attempt, request_class)
            for attempt in self._attempts_since(since_us)
        )

    def _is_logged(self, process: str, event: str) -> bool:
        names = [name for name in self.cluster.process_names() if process in (name, ANY_PROCESS)]
        return any(event in self.cluster.logs.new_events(name) for name in names)

    def _written_count(self, balancer: str) -> int:
        """Return how many requests clients have written to a balancer so far."""
        attempts = self.cluster.invariant_checker.client_attempts.values()
        return sum(attempt.balancer == balancer for attempt in attempts)

    def _is_answered(self, condition: Condition, since_us: int) -> bool:
        arguments = condition.arguments
        if condition.kind is ConditionKind.SERVES_VERSION:
            return self.serves(arguments[0], arguments[1], since_us)
        attempts = self._attempts_since(since_us)
        if condition.kind is ConditionKind.VERSION_SEEN:
            return any(self._is_served(attempt, arguments[0]) for attempt in attempts)
        return any(
            attempt.balancer == arguments[0] and attempt.status == STATUS_DENIED
            for attempt in attempts
        )

    @staticmethod
    def _is_served(attempt: ClientAttempt, request_class: str) -> bool:
        return attempt.status == STATUS_OK and attempt.operation.request_class.name == request_class

    def _attempts_since(self, since_us: int) -> list[ClientAttempt]:
        return [
            attempt
            for attempt in reversed(self.cluster.invariant_checker.client_attempts.values())
            if attempt.arrived_at_us > since_us
        ]
