"""Classification of a request whose connection ended before its answer was complete.

A request counts as accepted once its last byte is written to a connection that the balancer's
machine accepted, and an accepted request must be answered. The protocol page names two excuses: the
balancer's process was killed, or the connection was closed while the request was on its way and was
never read (`RACED_CLOSE`). The second needs all of the following:

* The balancer's process had accepted the connection and began to close it before the request was
  written, by a clock that client and balancer share.
* It had read and answered only the earlier requests of the connection.
* The kernel reported to the client a reset or, at the write, that the balancer had closed its end;
  or the process found the request unread after it had shut down its sending side.

A request that was written before the close, or whose connection no process accepted, is lost.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import NamedTuple


class ProcessEnd(Enum):
    """Whether and how a balancer's process ended."""

    RUNNING = auto()
    EXITED = auto()  # by itself: accepted requests still have to be answered
    KILLED = auto()  # by SIGKILL, as in a crash: its clients retry
    KILLED_PAST_GRACE = auto()  # by SIGKILL, after the time that it may take to stop after SIGTERM


class RequestEnd(Enum):
    """What the end of a connection means for the request in progress on it."""

    PROCESS_KILLED = auto()
    NOT_ACCEPTED = auto()  # its last byte was not written
    RACED_CLOSE = auto()  # written to a closed connection: its client resends it
    TRUNCATED = auto()  # its client can detect that the answer is incomplete
    LOST = auto()


class CloseRecord(NamedTuple):
    """What a balancer's process recorded when it began to close a connection.

    Attributes:
        closed_at_us: When, by the clients' clock; it checked for unread bytes after that.
        requests_read: Requests that it had read, at least in part.
        requests_answered: Requests that it had answered.
        had_unread_bytes: Bytes had arrived that it had not read.
        had_read_all: After that time it read until no more bytes were available.
        half_closed_unread_at_us: When it found unread bytes after it had shut down its sending
            side; 0 if it found none.
    """

    closed_at_us: int
    requests_read: int
    requests_answered: int
    had_unread_bytes: bool
    had_read_all: bool = False
    half_closed_unread_at_us: int = 0


class ConnectionEndFacts(NamedTuple):
    """What a client knows when a connection ends during a request.

    Attributes:
        process_end: Whether and how the balancer's process ended.
        was_written: The request's last byte was written.
        write_began_us: When its first byte was about to be written.
        written_at_us: By when its last byte was written, 0 if it was not.
        earlier_requests: Requests that were sent on the connection before this one.
        was_reset: The kernel reported an error instead of an orderly close: the balancer closed its
            end with unread bytes.
        was_closed_at_write: The balancer had closed its end when the request was written.
        close_record: The balancer process's record of the close, None if there is none.
        was_seen_by_host: A host has received an attempt of the request.
        answer_begun: Some bytes of an answer arrived.
        answer_is_malformed: They are not a valid HTTP answer.
        answer_has_no_end: The answer has no length, so its client takes a part for the whole.
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
        return RequestEnd.RACED_CLOSE if raced_close(facts) else RequestEnd.NOT_ACCEPTED
    if facts.process_end is ProcessEnd.KILLED_PAST_GRACE:
        return RequestEnd.LOST
    if facts.answer_is_malformed or facts.answer_has_no_end:
        return RequestEnd.LOST
    if facts.answer_begun:
        return RequestEnd.TRUNCATED
    return RequestEnd.RACED_CLOSE if raced_close(facts) else RequestEnd.LOST


def awaits_unread_record(facts: ConnectionEndFacts) -> bool:
    """Return whether a record of unread bytes may still turn a lost request into a raced close.

    The balancer's process writes that record when it finds the request unread after it has shut
    down its sending side.
    """
    ended_in_order = not (facts.was_reset or facts.was_closed_at_write or facts.answer_begun)
    return (
        ended_in_order
        and classify_request_end(facts) is RequestEnd.LOST
        and was_written_after_close(facts)
    )


def raced_close(facts: ConnectionEndFacts) -> bool:
    """Return whether a request was written to a closing connection and never read."""
    record = facts.close_record
    if record is None or not was_written_after_close(facts):
        return False
    was_refused_by_kernel = facts.was_reset or facts.was_closed_at_write
    was_found_unread = facts.write_began_us <= record.half_closed_unread_at_us
    return was_refused_by_kernel or was_found_unread


def was_written_after_close(facts: ConnectionEndFacts) -> bool:
    """Return whether the balancer had begun to close the connection before the request was written.

    By its record it had also read only earlier requests and had answered all of them.
    """
    record = facts.close_record
    if record is None or facts.was_seen_by_host:
        return False
    # a check during the write found no bytes, so the request's bytes arrived after it
    was_checked_empty = record.had_read_all and record.closed_at_us <= facts.written_at_us
    was_closed_first = record.closed_at_us <= facts.write_began_us or was_checked_empty
    was_unread = record.requests_read <= facts.earlier_requests
    all_answered = record.requests_answered == record.requests_read
    return was_closed_first and not record.had_unread_bytes and was_unread and all_answered
