"""Computes the verdict line of a simulation from the records of the invariant checker."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from orchidgap.simulation.invariant_checker import InvariantChecker
from orchidgap.simulation.observations import Operation
from orchidgap.simulation.plan import milliseconds_to_us

WORST_WINDOW_S = 10


def service_ratio(operations: Iterable[Operation]) -> float:
    """Return the value of timely answers as a ratio of the value of all counted operations.

    Without counted operations the ratio is 1.
    """
    offered = served = 0.0
    for operation in operations:
        if operation.counted:
            weight = operation.request_class.priority_weight
            offered += weight
            served += weight * _value_ratio(operation)
    return served / offered if offered else 1.0


def _value_ratio(operation: Operation) -> float:
    if not operation.completed_at_us:
        return 0.0
    latency_us = operation.completed_at_us - operation.created_at_us
    if latency_us <= milliseconds_to_us(operation.request_class.latency_objective_ms):
        return 1.0
    return operation.request_class.late_value_ratio


def value_by_second(checker: InvariantChecker) -> dict[int, list[float]]:
    """Return the offered value and the value answered in time, by second since the start."""
    rows: dict[int, list[float]] = {}
    for operation in checker.operations:
        if operation.counted:
            second = (operation.created_at_us - checker.started_at_us) // 1_000_000
            weight = operation.request_class.priority_weight
            row = rows.setdefault(second, [0.0, 0.0])
            row[0] += weight
            row[1] += weight * _value_ratio(operation)
    return rows


def worst_window_service(rows: dict[int, list[float]]) -> float:
    """Return the lowest service ratio of any ten consecutive seconds."""
    last = max(rows, default=0)
    windows = []
    for first in range(max(1, last - WORST_WINDOW_S + 2)):
        window = [rows[second] for second in range(first, first + WORST_WINDOW_S) if second in rows]
        offered = sum(row[0] for row in window)
        if offered:
            windows.append(sum(row[1] for row in window) / offered)
    return min(windows, default=1.0)


def verdict_line(checker: InvariantChecker) -> dict[str, Any]:
    """Return the line that every simulation ends with, by its keys in their order."""
    checker.lateness.check_all()
    checker.departures.check_all()
    operations = [operation for operation in checker.operations if operation.counted]
    checker.value_by_second = value_by_second(checker)
    return {
        "verdict": "broken" if any(checker.breach_counts.values()) else "kept",
        **checker.breach_counts,
        "service": round(service_ratio(operations), 4),
        "reqs": len(operations),
        "trace": checker.digest.hexdigest(),
        "worst10s": round(worst_window_service(checker.value_by_second), 4),
        **_worst_groups(checker, operations),
        **_work_figures(checker, operations),
        **_latency_figures(checker),
        "denied": checker.rejected,
        "denied_with_room": checker.rejected_with_capacity,
        "aborted": checker.answered_failed + checker.truncated + checker.cut_while_written,
        "truncated": checker.truncated,
        "excused_by_run_delay": checker.lateness.excused_by_run_delay,
        "cut_while_written": checker.cut_while_written,
        "bad": checker.bad_requests,
        "bad_served": checker.bad_served,
        "bad_ignored": checker.bad_ignored,
        "doubles": checker.client_duplicates,
        "left": sum(attempt.left_at_us > 0 for attempt in checker.client_attempts.values()),
        "calls": checker.operator_calls,
        "doors": checker.failed_connections,
        "sent_once_more": checker.sent_once_more,
        "large": checker.large_bodies,
        "dials": checker.connections_dialled,
        "lists": checker.list_calls,
    }


def _worst_groups(checker: InvariantChecker, operations: list[Operation]) -> dict[str, Any]:
    by_class = {
        spec.name: service_ratio(one for one in operations if one.request_class is spec)
        for spec in checker.plan.request_classes()
    }
    by_tenant = {
        tenant.name: service_ratio(one for one in operations if one.tenant == tenant.name)
        for tenant in checker.plan.tenants()
    }
    return {
        "worst_rule_set": min(by_class.items(), key=lambda item: item[1])[0],
        "worst_rule_set_service": round(min(by_class.values()), 4),
        "worst_tenant": min(by_tenant.items(), key=lambda item: item[1])[0],
        "worst_tenant_service": round(min(by_tenant.values()), 4),
    }


def _work_figures(checker: InvariantChecker, operations: list[Operation]) -> dict[str, float]:
    reads = sum(not operation.request_class.write for operation in operations)
    spent_us = checker.spent_work_us
    return {
        "fetches": round(checker.origin_fetches / reads, 4) if reads else 0.0,
        "wasted": round(1 - checker.useful_work_us / spent_us, 4) if spent_us else 0.0,
    }


def _latency_figures(checker: InvariantChecker) -> dict[str, float]:
    return {
        name: round(checker.latency.get_value_at_percentile(percentile) / 1e3, 1)
        for name, percentile in (("p50_ms", 50), ("p99_ms", 99), ("p999_ms", 99.9))
    }
