"""What became of a request whose connection ended before its answer was whole.

A request is taken once its last byte is written to a connection that the balancer's machine
accepted, and a taken request is owed its answer. What is excused is named by the protocol page:
its process was killed outright, or the end of a resting connection crossed a request that was
never read. Which of these it was is decided by what the kernel showed the client, not by time.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple


class ProcessEnd(Enum):
    """How a balancer's process ended, if it has."""

    RUNNING = auto()
    EXITED = auto()  # by itself: what it had taken stays owed
    KILLED = auto()  # by SIGKILL, as a crash: its clients ask again
    KILLED_PAST_GRACE = auto()  # by SIGKILL, later after SIGTERM than it may need


class RequestEnd(Enum):
    """What the end of a connection means for the request under way on it."""

    PROCESS_KILLED = auto()
    NOT_TAKEN = auto()  # its last byte was never written
    CROSSED = auto()  # it was never read: its client sends it once more
    TRUNCATED = auto()  # its client can tell that the answer is not whole
    LOST = auto()


class ConnectionEndFacts(NamedTuple):
    """What a client knows when a connection ends under a request.

    Attributes:
        process_end: How the balancer's process ended.
        was_written: The request's last byte was written.
        is_resting: The connection had carried a request before this one.
        was_reset: The kernel reported an error and no orderly close: the balancer's end was closed
            over bytes that nobody had read.
        was_closed_at_write: The balancer's end had been shut when the request was written.
        was_seen_by_host: A host has got an attempt of it.
        answer_begun: Some bytes of an answer came.
        answer_is_malformed: They are no HTTP answer.
        answer_has_no_end: The answer told no length, so its client takes what came for all.
    """

    process_end: ProcessEnd
    was_written: bool
    is_resting: bool = False
    was_reset: bool = False
    was_closed_at_write: bool = False
    was_seen_by_host: bool = False
    answer_begun: bool = False
    answer_is_malformed: bool = False
    answer_has_no_end: bool = False


def judge_end(facts: ConnectionEndFacts) -> RequestEnd:
    """Return what a connection's end means for its request.

    >>> judge_end(ConnectionEndFacts(ProcessEnd.RUNNING, was_written=True, was_reset=True))
    <RequestEnd.LOST: 5>
    """
    if facts.process_end is ProcessEnd.KILLED:
        return RequestEnd.PROCESS_KILLED
    if not facts.was_written:
        return RequestEnd.NOT_TAKEN
    if facts.process_end is ProcessEnd.KILLED_PAST_GRACE:
        return RequestEnd.LOST
    if facts.answer_is_malformed or facts.answer_has_no_end:
        return RequestEnd.LOST
    if facts.answer_begun:
        return RequestEnd.TRUNCATED
    was_unread = facts.was_reset or facts.was_closed_at_write
    if facts.is_resting and was_unread and not facts.was_seen_by_host:
        return RequestEnd.CROSSED
    return RequestEnd.LOST
