"""Whether what a step waits for is seen from outside."""

from __future__ import annotations

from orchidgap.fault_tests.cluster import Cluster
from orchidgap.fault_tests.plan import ANY_PROCESS, Condition, ConditionKind
from orchidgap.simulation.observations import ClientAttempt
from orchidgap.simulation.plan import seconds_to_us

STATUS_OK = 200
STATUS_DENIED = 503


class StepConditions:
    """Looks at a cluster for the conditions of steps."""

    def __init__(self, cluster: Cluster) -> None:
        """Look at this cluster."""
        self.cluster = cluster

    def is_met(self, condition: Condition, since_us: int) -> bool:
        """Return whether it is seen; `since_us` is when the step began to wait."""
        cluster = self.cluster
        arguments = condition.arguments
        match condition.kind:
            case ConditionKind.SECONDS_PASSED:
                return cluster.loop.now - since_us >= seconds_to_us(float(arguments[0]))
            case ConditionKind.ALL_UP:
                return all(post.ready_at > 0 for post in cluster.balancers.values() if post.alive)
            case ConditionKind.PROPOSALS_ENDED:
                return not cluster.proposers.running
            case ConditionKind.EVENT_LOGGED:
                return self._is_logged(*arguments)
            case ConditionKind.PROCESS_ENDED:
                return cluster.process_of(arguments[0]).poll() is not None
            case _:
                return self._is_answered(condition, since_us)

    def serves(self, balancer: str, request_class: str, since_us: int) -> bool:
        """Return whether a balancer has answered 200 for this class."""
        return any(
            ask.balancer == balancer and self._is_served(ask, request_class)
            for ask in self._asks_since(since_us)
        )

    def _is_logged(self, process: str, event: str) -> bool:
        names = [name for name in self.cluster.process_names() if process in (name, ANY_PROCESS)]
        return any(event in self.cluster.logs.new_events(name) for name in names)

    def _is_answered(self, condition: Condition, since_us: int) -> bool:
        arguments = condition.arguments
        if condition.kind is ConditionKind.SERVES_VERSION:
            return self.serves(arguments[0], arguments[1], since_us)
        asks = self._asks_since(since_us)
        if condition.kind is ConditionKind.VERSION_SEEN:
            return any(self._is_served(ask, arguments[0]) for ask in asks)
        return any(ask.balancer == arguments[0] and ask.status == STATUS_DENIED for ask in asks)

    @staticmethod
    def _is_served(ask: ClientAttempt, request_class: str) -> bool:
        return ask.status == STATUS_OK and ask.operation.request_class.name == request_class

    def _asks_since(self, since_us: int) -> list[ClientAttempt]:
        return [
            ask
            for ask in reversed(self.cluster.invariant_checker.client_attempts.values())
            if ask.arrived_at_us > since_us
        ]
