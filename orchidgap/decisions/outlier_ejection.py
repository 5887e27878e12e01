"""Decides when a host is ejected: it gets no requests for a while, as its last attempts failed.

The host list is seconds late and contains only whether a process runs; a failed attempt shows a
failure at once. One failed answer among many is no sign of a failed host: such outcomes use up its
retry budget first.
"""

from __future__ import annotations

from orchidgap.decisions.records import AttemptOutcome, HostState
from orchidgap.decisions.retry_policy import RETRYABLE_OUTCOMES, has_retry_budget

EJECTION_US = 500_000
SHORT_EJECTION_US = 50_000  # if only its queue is full, and for origins, which have no substitute
EJECTION_DECREASE_RATIO = 0.7  # an ejection multiplies the host's concurrency limit by this

# The attempt was sent to the host, and the failure may concern this attempt alone.
FAILED_ANSWER_OUTCOMES = frozenset((AttemptOutcome.SERVER_ERROR, AttemptOutcome.CONNECTION_RESET))
# Outcomes that count as failures of the host. A reused connection that broke does not.
HOST_FAILURES = RETRYABLE_OUTCOMES - {AttemptOutcome.STALE_CONNECTION}


def should_eject(host: HostState, outcome: AttemptOutcome) -> bool:
    """Return whether to eject a host after this outcome, one of `HOST_FAILURES`.

    A failed answer must already be deducted from the host's retry budget.
    """
    return outcome not in FAILED_ANSWER_OUTCOMES or not has_retry_budget(host)


def ejection_time_us(host: HostState, outcome: AttemptOutcome) -> int:
    """Return how long a host is ejected after this outcome, in microseconds."""
    is_short = outcome == AttemptOutcome.QUEUE_FULL or host.is_origin
    return SHORT_EJECTION_US if is_short else EJECTION_US
