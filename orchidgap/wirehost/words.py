"""The keywords of the simulator's protocol and their meaning. Only this module spells them out."""

from __future__ import annotations

from orchidgap.decisions.host_list import ListScope
from orchidgap.decisions.records import AttemptOutcome, HostStatus

# Delimit a batch.
BATCH = "BATCH"
ABOUT = "ABOUT"  # selects the instance for the next messages
END_OF_BATCH = "YOUR_TURN"

# Messages to an instance.
START = "PROVISION"
HOST_LIST = "BACKENDS_CHANGED"
REQUEST = "QUERY"
ATTEMPT_STARTED = "OPENED"
ATTEMPT_ENDED = "ENDED"
CLIENT_DISCONNECTED = "HANGUP"
TIMER_FIRED = "FIRED"
LOAD_REPORT = "STATUS_BACK"
MAIL = "MAIL"
EXIT = "EXIT"

# How many fields follow each keyword.
FIELD_COUNTS = {
    ABOUT: 1,
    START: 1,  # further fields are one setting each
    HOST_LIST: 3,
    REQUEST: 9,
    ATTEMPT_STARTED: 4,
    ATTEMPT_ENDED: 8,
    CLIENT_DISCONNECTED: 1,
    TIMER_FIRED: 1,
    LOAD_REPORT: 4,
    MAIL: 2,
    EXIT: 0,
}

HOST_ENTRY = "M"
HOST_ENTRY_PARTS = 8  # including the keyword
NOTHING = "-"
YES = "1"
NO_ENTRIES = (NOTHING, "0")

# Lines of a reply.
REPLY_FOR = "FOR"
END_OF_REPLY = "YIELD"
FAULT = "BAIL_OUT"
DISPATCH = "ISSUE"
DENY = "PUSH_BACK"
ABORT = "FINISH_ERROR"
CANCEL = "ABORT_ATTEMPT"
WAKE = "WAKE_ME"
SUBSCRIBE = "STREAM_CHANGES"
LOG = "PRINT"

OUTCOMES = {
    "Ok": AttemptOutcome.DONE,
    "Failed": AttemptOutcome.SERVER_ERROR,
    "QueueFull": AttemptOutcome.QUEUE_FULL,
    "TimedOut": AttemptOutcome.TIMED_OUT,
    "ConnectError": AttemptOutcome.UNCONNECTED,
    "ResetByPeer": AttemptOutcome.CONNECTION_RESET,
    "Canceled": AttemptOutcome.CANCELLED,
    "Ignored": AttemptOutcome.NEVER_SENT,
    "Miss": AttemptOutcome.CACHE_MISS,
}
HOST_STATES = {
    "Running": HostStatus.READY,
    "Stopping": HostStatus.DRAINING,
    "Deleted": HostStatus.GONE,
}
LIST_SCOPES = {
    "update": ListScope.CHANGES,
    "replace": ListScope.WHOLE,
    "restored": ListScope.RECALLED,
    "unavailable": ListScope.FAILED,
}

# Fields of a load report.
REQUEST_RATE = "tps"
IN_FLIGHT = "concurrent"
