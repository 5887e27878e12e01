"""Why an attempt has no answer, as a value: how far it was sent, and what ended it."""

from __future__ import annotations

import errno
import os
from enum import IntEnum
from typing import NamedTuple

from orchidgap.decisions.records import AttemptOutcome

REFUSED_TEXTS = frozenset(map(os.strerror, (errno.ECONNREFUSED, errno.ECONNRESET)))
HOST_CAUSES = ("broken", "refused", "stale")
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
    """The end of an attempt that brought no answer. Only one whose last byte was written can have
    been executed.

    `cause` is one of: broken, refused, stale (a kept connection broke), overdue, cancelled, short
    (of descriptors).

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
    detail: str = ""  # what the system said

    @property
    def outcome(self) -> AttemptOutcome:
        """What the decisions are told."""
        if self.progress is SendProgress.COMPLETE:
            return OUTCOMES_WHEN_SENT.get(self.cause, AttemptOutcome.CONNECTION_RESET)
        if self.cause == "refused" and self.progress is SendProgress.UNSENT:
            return AttemptOutcome.CONNECTION_REFUSED
        # what this balancer itself lacks or gave up says nothing against the host
        is_of_host = self.cause in HOST_CAUSES
        return AttemptOutcome.UNCONNECTED if is_of_host else AttemptOutcome.NEVER_SENT


def connect_failure_cause(detail: str) -> str:
    """The cause, by what the system says of a connection that did not come up: refused means that
    no process listens there.

    >>> connect_failure_cause(os.strerror(errno.ECONNREFUSED))
    'refused'
    >>> connect_failure_cause("never came up")
    'broken'
    """
    return "refused" if detail in REFUSED_TEXTS else "broken"
