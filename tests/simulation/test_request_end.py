"""Classification of a request by the end of its connection, case by case."""

import pytest

from orchidgap.simulation.request_end import (
    CloseRecord,
    ConnectionEndFacts,
    ProcessEnd,
    RequestEnd,
    awaits_unread_record,
    classify_request_end,
)

WRITE_BEGAN_US = 5_000
WRITTEN_AT_US = 5_050
# the balancer's own record: closed before the write, with all requests answered that it had read
UNUSED_AT_CLOSE = CloseRecord(WRITE_BEGAN_US - 1_000, 0, 0, had_unread_bytes=False)
IDLE_AT_CLOSE = UNUSED_AT_CLOSE._replace(requests_read=3, requests_answered=3)

ACCEPTED = ConnectionEndFacts(
    ProcessEnd.RUNNING,
    was_written=True,
    write_began_us=WRITE_BEGAN_US,
    written_at_us=WRITTEN_AT_US,
    earlier_requests=0,
)
FIRST = ACCEPTED._replace(close_record=UNUSED_AT_CLOSE)
LATER = ACCEPTED._replace(earlier_requests=3, close_record=IDLE_AT_CLOSE)


def with_record(facts, **changes):
    """Return the same end with a different record of the balancer's process."""
    return facts._replace(close_record=facts.close_record._replace(**changes))


# a request that was accepted is lost unless the protocol excuses its end
@pytest.mark.parametrize(
    ("facts", "end"),
    [
        (ACCEPTED, RequestEnd.LOST),
        (ACCEPTED._replace(was_reset=True), RequestEnd.LOST),
        (ACCEPTED._replace(was_closed_at_write=True), RequestEnd.LOST),
        (ACCEPTED._replace(was_written=False), RequestEnd.NOT_ACCEPTED),
        (ACCEPTED._replace(was_written=False, earlier_requests=3), RequestEnd.NOT_ACCEPTED),
        (LATER, RequestEnd.LOST),
        (LATER._replace(was_reset=True), RequestEnd.RACED_CLOSE),
        (LATER._replace(was_closed_at_write=True), RequestEnd.RACED_CLOSE),
        (LATER._replace(was_reset=True, was_seen_by_host=True), RequestEnd.LOST),
        (LATER._replace(was_closed_at_write=True, was_seen_by_host=True), RequestEnd.LOST),
        (ACCEPTED._replace(answer_begun=True), RequestEnd.TRUNCATED),
        (ACCEPTED._replace(answer_begun=True, was_reset=True), RequestEnd.TRUNCATED),
        (LATER._replace(answer_begun=True, was_reset=True), RequestEnd.TRUNCATED),
        (ACCEPTED._replace(answer_begun=True, answer_has_no_end=True), RequestEnd.LOST),
        (ACCEPTED._replace(answer_begun=True, answer_is_malformed=True), RequestEnd.LOST),
        (ACCEPTED._replace(process_end=ProcessEnd.KILLED), RequestEnd.PROCESS_KILLED),
        (ACCEPTED._replace(process_end=ProcessEnd.EXITED), RequestEnd.LOST),
        (ACCEPTED._replace(process_end=ProcessEnd.KILLED_PAST_GRACE), RequestEnd.LOST),
        (
            LATER._replace(process_end=ProcessEnd.KILLED_PAST_GRACE, was_reset=True),
            RequestEnd.LOST,
        ),
        (LATER._replace(process_end=ProcessEnd.EXITED, was_reset=True), RequestEnd.RACED_CLOSE),
    ],
)
def test_the_end_of_a_connection_classifies_its_request(facts, end):
    assert classify_request_end(facts) is end


# only the balancer's own record proves a raced close, for a first request and for a later one
@pytest.mark.parametrize("facts", [FIRST, LATER], ids=["first", "later"])
@pytest.mark.parametrize("observation", ["was_reset", "was_closed_at_write"])
def test_an_end_that_the_kernel_and_the_balancer_both_report_raced_its_request(facts, observation):
    raced = facts._replace(**{observation: True})
    read = raced.earlier_requests
    assert classify_request_end(raced) is RequestEnd.RACED_CLOSE
    assert (
        classify_request_end(with_record(raced, closed_at_us=WRITE_BEGAN_US))
        is RequestEnd.RACED_CLOSE
    )
    assert classify_request_end(raced._replace(was_written=False)) is RequestEnd.RACED_CLOSE
    assert classify_request_end(facts) is RequestEnd.LOST
    not_excused = {
        "the process recorded nothing": raced._replace(close_record=None),
        "written first": with_record(raced, closed_at_us=WRITE_BEGAN_US + 1),
        "closed over unread bytes": with_record(raced, had_unread_bytes=True),
        "read and not answered": with_record(raced, requests_read=read + 1),
        "read and, by its record, answered": with_record(
            raced, requests_read=read + 1, requests_answered=read + 1
        ),
        "one before it was not answered": with_record(raced, requests_answered=read - 1),
        "at a host": raced._replace(was_seen_by_host=True),
    }
    found = {name: classify_request_end(case) for name, case in not_excused.items()}
    assert found == dict.fromkeys(not_excused, RequestEnd.LOST)


# a request found unread behind the balancer's shutdown arrived after its last read, and was not read
@pytest.mark.parametrize("facts", [FIRST, LATER], ids=["first", "later"])
def test_an_orderly_end_raced_a_request_found_unread_behind_the_shutdown(facts):
    assert classify_request_end(facts) is RequestEnd.LOST
    assert awaits_unread_record(facts)
    raced = with_record(facts, half_closed_unread_at_us=WRITE_BEGAN_US)
    assert classify_request_end(raced) is RequestEnd.RACED_CLOSE
    assert not awaits_unread_record(raced)
    read = raced.earlier_requests
    not_excused = {
        "found before it was written": with_record(
            facts, half_closed_unread_at_us=WRITE_BEGAN_US - 1
        ),
        "written first": with_record(raced, closed_at_us=WRITE_BEGAN_US + 1),
        "unread at the last poll": with_record(raced, had_unread_bytes=True),
        "read and not answered": with_record(raced, requests_read=read + 1),
        "one before it was not answered": with_record(raced, requests_answered=read - 1),
        "at a host": raced._replace(was_seen_by_host=True),
    }
    found = {name: classify_request_end(case) for name, case in not_excused.items()}
    assert found == dict.fromkeys(not_excused, RequestEnd.LOST)
    awaited = {name: awaits_unread_record(case) for name, case in not_excused.items()}
    assert awaited == dict.fromkeys(not_excused, False) | {"found before it was written": True}


# the balancer polled the connection while the client wrote, and found no bytes: a soak counted this as
# lost, by 8 us
@pytest.mark.parametrize("facts", [FIRST, LATER], ids=["first", "later"])
@pytest.mark.parametrize("read_up_to_us", [WRITE_BEGAN_US + 1, WRITTEN_AT_US])
def test_an_end_raced_a_request_that_was_being_written_at_a_poll_without_bytes(
    facts, read_up_to_us
):
    reset = facts._replace(was_reset=True)
    raced = with_record(reset, closed_at_us=read_up_to_us, had_read_all=True)
    assert classify_request_end(raced) is RequestEnd.RACED_CLOSE
    read = raced.earlier_requests
    not_excused = {
        "written completely before the poll": with_record(raced, closed_at_us=WRITTEN_AT_US + 1),
        "not polled": with_record(raced, had_read_all=False),
        "found unread": with_record(raced, had_unread_bytes=True),
        "read in part": with_record(raced, requests_read=read + 1),
        "one before it was not answered": with_record(raced, requests_answered=read - 1),
        "at a host": raced._replace(was_seen_by_host=True),
        "in order": raced._replace(was_reset=False),
    }
    found = {name: classify_request_end(case) for name, case in not_excused.items()}
    assert found == dict.fromkeys(not_excused, RequestEnd.LOST)
