"""Logs the reasons for which the decisions reject requests, while they do so."""

from __future__ import annotations

from collections import Counter

from orchidgap.decisions.rejections import RejectionReason
from orchidgap.net.event_log import EventLog

LOG_INTERVAL_US = 1_000_000  # the shortest time between two lines


class RejectionLog:
    """Writes the rejections since its last line; nothing while no request is rejected.

    The first rejection after an idle interval is written at once, so that its time is known.
    Rejections after the last line are in the final counts only.
    """

    def __init__(self, event_log: EventLog, rejections: Counter[RejectionReason]) -> None:
        """Log changes of these counts, which the decisions update."""
        self.event_log = event_log
        self.rejections = rejections
        self._logged: Counter[RejectionReason] = Counter()
        self._logged_at_us = -LOG_INTERVAL_US

    def on_rejected(self, now_us: int) -> None:
        """Write a line if one is due; to be called after a rejection was counted."""
        if now_us - self._logged_at_us < LOG_INTERVAL_US:
            return
        reasons = {
            reason.value: count - self._logged[reason]
            for reason, count in self.rejections.items()
            if count > self._logged[reason]
        }
        if not reasons:  # the request was not rejected by a rule of the decisions
            return
        self._logged = self.rejections.copy()
        self._logged_at_us = now_us
        self.event_log("rejections", reasons=reasons)

    def log_fields(self) -> dict[str, dict[str, int]]:
        """Return all counts since the start, for a log line; empty if there are none."""
        counts = {reason.value: count for reason, count in sorted(self.rejections.items())}
        return {"reasons": counts} if counts else {}
