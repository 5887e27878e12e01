"""Operators' drains are checked four seconds after the call."""

from types import SimpleNamespace

from orchidgap.simulation.invariant_checker import InvariantChecker
from orchidgap.simulation.observations import ClientAttempt, Operation
from orchidgap.simulation.operator_faults import check_drained
from orchidgap.simulation.plan import Plan

NOW_US = 10_000_000


def test_a_request_that_was_sent_after_the_drain_is_reported():
    # The check itself failed if a request was open: it read a field that attempts do not have.
    invariant_checker = InvariantChecker(Plan(name="drain"), 0)
    plan = Plan(name="drain")
    operation = Operation(0, plan.request_classes()[0], "", 0, 1, 0)
    attempt = ClientAttempt(b"q1", operation, "b0", 1, 0, 0, write_started_us=NOW_US - 1_000_000)
    connection = SimpleNamespace(attempt=attempt)
    clients = SimpleNamespace(open_connections=lambda name: [connection])
    environment = SimpleNamespace(
        invariant_checker=invariant_checker,
        ingress=SimpleNamespace(not_ready_since_us={"b0": 0}),
        clients=clients,
    )
    check_drained(environment, "b0", NOW_US)
    assert [text for _, _, text in invariant_checker.breaches] == [
        "b0: draining, but still holds q1"
    ]
