"""What became of a request whose connection ended before its answer was whole.

A request is taken once its last byte is written to a connection that the balancer's machine
accepted, and a taken request is owed its answer. What is excused is named by the protocol page:
its process was killed outright, or its connection's end crossed a request that was never read.
That is narrow: the balancer's own process had accepted the connection and began to close it before
the request was written, by a clock that both read; it had read and answered no more than what was
asked there before; and the kernel showed the client a reset or, at the write, the other side's end,
or the process found the request unread behind its shutdown for sending.
A request that was written first, or whose connection no process ever accepted, is lost.
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
    RACED_CLOSE = auto()  # written to a closed connection: its client sends it once more
    TRUNCATED = auto()  # its client can tell that the answer is not whole
    LOST = auto()


class CloseRecord(NamedTuple):
    """What a balancer's process noted of a connection as it began to close it.

    Attributes:
        closed_at_us: When, by the clients' clock; it looked for unread bytes after that.
        requests_read: Requests that it had read on it, in part at least.
        requests_answered: Those of them that it had answered.
        had_unread_bytes: Bytes had come that it had not read.
        was_looked_at: It had read all that it found behind that time, and then found no more.
        shut_unread_at_us: When it found bytes behind its shutdown for sending that it had not read;
            0 where it found none.
    """

    closed_at_us: int
    requests_read: int
    requests_answered: int
    had_unread_bytes: bool
    was_looked_at: bool = False
    shut_unread_at_us: int = 0


class ConnectionEndFacts(NamedTuple):
    """What a client knows when a connection ends under a request.

    Attributes:
        process_end: How the balancer's process ended.
        was_written: The request's last byte was written.
        write_began_us: When its first byte was about to be written.
        written_at_us: By when its last byte was written, 0 if it was not.
        earlier_requests: Requests that the connection had carried before this one.
        was_reset: The kernel reported an error and no orderly close: the balancer's end was closed
            over bytes that nobody had read.
        was_closed_at_write: The balancer's end had been shut when the request was written.
        close_record: What the balancer's process noted, None where it noted nothing.
        was_seen_by_host: A host has got an attempt of it.
        answer_begun: Some bytes of an answer came.
        answer_is_malformed: They are no HTTP answer.
        answer_has_no_end: The answer told no length, so its client takes what came for all.
    """

    process_end: ProcessEnd
    was_written: bool
    write_began_us: int = 0
    written_at_us: int = 0
    earlier_requests: int = 0
    was_reset: bool = False
    was_closed_at_write: bool = False
    close_record: CloseRecord | None = None
    was_seen_by_host: bool = False
    answer_begun: bool = False
    answer_is_malformed: bool = False
    answer_has_no_end: bool = False


def classify_request_end(facts: ConnectionEndFacts) -> RequestEnd:
    """Return what a connection's end means for its request.

    >>> facts = ConnectionEndFacts(ProcessEnd.RUNNING, was_written=True, was_reset=True)
    >>> classify_request_end(facts)
    <RequestEnd.LOST: 5>
    """
    if facts.process_end is ProcessEnd.KILLED:
        return RequestEnd.PROCESS_KILLED
    if not facts.was_written:
        return RequestEnd.RACED_CLOSE if raced_close(facts) else RequestEnd.NOT_TAKEN
    if facts.process_end is ProcessEnd.KILLED_PAST_GRACE:
        return RequestEnd.LOST
    if facts.answer_is_malformed or facts.answer_has_no_end:
        return RequestEnd.LOST
    if facts.answer_begun:
        return RequestEnd.TRUNCATED
    return RequestEnd.RACED_CLOSE if raced_close(facts) else RequestEnd.LOST


def awaits_shut_note(facts: ConnectionEndFacts) -> bool:
    """Return whether the request is lost unless the balancer's process, which has shut the
    connection for sending, notes yet that it found the request unread behind that.
    """
    ended_in_order = not (facts.was_reset or facts.was_closed_at_write or facts.answer_begun)
    return (
        ended_in_order
        and classify_request_end(facts) is RequestEnd.LOST
        and was_written_after_last_look(facts)
    )


def raced_close(facts: ConnectionEndFacts) -> bool:
    """Return whether a request was written to a connection that was closed, and never read."""
    record = facts.close_record
    if record is None or not was_written_after_last_look(facts):
        return False
    was_refused_by_kernel = facts.was_reset or facts.was_closed_at_write
    was_found_unread = facts.write_began_us <= record.shut_unread_at_us
    return was_refused_by_kernel or was_found_unread


def was_written_after_last_look(facts: ConnectionEndFacts) -> bool:
    """Return whether the balancer's process says that it had begun to close before the request was
    written, had read no more than what was asked before, and had answered all that.
    """
    record = facts.close_record
    if record is None or facts.was_seen_by_host:
        return False
    # a look within the write that found nothing: what was written came behind it
    found_nothing = record.was_looked_at and record.closed_at_us <= facts.written_at_us
    was_closed_first = record.closed_at_us <= facts.write_began_us or found_nothing
    was_unread = record.requests_read <= facts.earlier_requests
    owed_nothing = record.requests_answered == record.requests_read
    return was_closed_first and not record.had_unread_bytes and was_unread and owed_nothing
