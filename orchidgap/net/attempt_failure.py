"""Why an attempt has no answer: how much of it was sent, and what ended it."""

from __future__ import annotations

import errno
import os
from enum import IntEnum
from typing import NamedTuple

from orchidgap.decisions.records import AttemptOutcome

REFUSED_TEXTS = frozenset(map(os.strerror, (errno.ECONNREFUSED, errno.ECONNRESET)))
# causes for which the host is charged with an attempt that was not sent completely
HOST_CAUSES = ("broken", "refused", "stale")
# outcomes of attempts that were sent completely, by cause; other causes count as a reset
OUTCOMES_WHEN_SENT = {
    "overdue": AttemptOutcome.TIMED_OUT,
    "cancelled": AttemptOutcome.CANCELLED,
    "stale": AttemptOutcome.STALE_CONNECTION,
}


class SendProgress(IntEnum):
    """How much of an attempt was written to its host."""

    UNSENT = 0
    PARTIAL = 1
    COMPLETE = 2


class AttemptFailure(NamedTuple):
    """The end of an attempt that has no answer.

    Only an attempt whose last byte was written can have been executed. `cause` is one of: broken,
    refused, stale (an idle connection that was reused had broken), overdue, cancelled, short
    (no descriptors left).

    >>> for cause in ("broken", "refused", "stale", "overdue", "cancelled", "short"):
    ...     print([AttemptFailure(progress, cause).outcome.value for progress in SendProgress])
    ['unconnected', 'unconnected', 'reset']
    ['refused', 'unconnected', 'reset']
    ['unconnected', 'unconnected', 'stale']
    ['moot', 'moot', 'timeout']
    ['moot', 'moot', 'cancelled']
    ['moot', 'moot', 'reset']
    """

    progress: SendProgress
    cause: str
    detail: str = ""  # the system's error text

    @property
    def outcome(self) -> AttemptOutcome:
        """The outcome that is passed to the decisions."""
        if self.progress is SendProgress.COMPLETE:
            return OUTCOMES_WHEN_SENT.get(self.cause, AttemptOutcome.CONNECTION_RESET)
        if self.cause == "refused" and self.progress is SendProgress.UNSENT:
            return AttemptOutcome.CONNECTION_REFUSED
        # a lack of resources or a cancel in this balancer is not a failure of the host
        is_host_failure = self.cause in HOST_CAUSES
        return AttemptOutcome.UNCONNECTED if is_host_failure else AttemptOutcome.NEVER_SENT


def connect_failure_cause(detail: str) -> str:
    """Return the cause for the system's error text of a connection that was not established.

    It is "refused" if no process listens at the address, otherwise "broken".

    >>> connect_failure_cause(os.strerror(errno.ECONNREFUSED))
    'refused'
    >>> connect_failure_cause("never came up")
    'broken'
    """
    return "refused" if detail in REFUSED_TEXTS else "broken"
