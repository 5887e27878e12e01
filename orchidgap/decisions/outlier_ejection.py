"""When a host is ejected: it gets nothing for a while, as its last attempts failed.

The list of hosts is seconds late and knows only whether a process runs; a failed attempt tells
at once. One spoilt answer among many says nothing of the host: those use up its retry budget
first.
"""

from __future__ import annotations

from orchidgap.decisions.records import AttemptOutcome, HostState
from orchidgap.decisions.retry_policy import RETRYABLE_OUTCOMES, has_retry_budget

EJECTION_US = 500_000
SHORT_EJECTION_US = 50_000  # of a host that is merely full, and of an origin, which has no stand-in
EJECTION_DECREASE_RATIO = 0.7  # what is left of its concurrency limit

# The host did answer, or began to: what failed may have been this answer alone.
SPOILT_OUTCOMES = frozenset((AttemptOutcome.SERVER_ERROR, AttemptOutcome.CONNECTION_RESET))
# The host itself failed. A kept connection that broke says nothing of it.
HOST_FAILURES = RETRYABLE_OUTCOMES - {AttemptOutcome.STALE_CONNECTION}


def should_eject(host: HostState, outcome: AttemptOutcome) -> bool:
    """Whether a host is ejected after this outcome, one of `HOST_FAILURES`.

    Its retry budget has paid for the outcome already.
    """
    return outcome not in SPOILT_OUTCOMES or not has_retry_budget(host)


def ejection_time_us(host: HostState, outcome: AttemptOutcome) -> int:
    """How long it is ejected, in microseconds."""
    is_short = outcome == AttemptOutcome.QUEUE_FULL or host.is_origin
    return SHORT_EJECTION_US if is_short else EJECTION_US
