"""What the end of a connection means for its request, case by case."""

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
# the balancer's own word: closed before the write, with all answered that it had read
UNUSED_AT_CLOSE = CloseRecord(WRITE_BEGAN_US - 1_000, 0, 0, had_unread_bytes=False)
RESTING_AT_CLOSE = UNUSED_AT_CLOSE._replace(requests_read=3, requests_answered=3)

TAKEN = ConnectionEndFacts(
    ProcessEnd.RUNNING,
    was_written=True,
    write_began_us=WRITE_BEGAN_US,
    written_at_us=WRITTEN_AT_US,
    earlier_requests=0,
)
FIRST = TAKEN._replace(close_record=UNUSED_AT_CLOSE)
RESTING = TAKEN._replace(earlier_requests=3, close_record=RESTING_AT_CLOSE)


def noted(facts, **changes):
    """The same end, of which the balancer's process noted something else."""
    return facts._replace(close_record=facts.close_record._replace(**changes))


# a request that was taken is lost unless the protocol page excuses its end
@pytest.mark.parametrize(
    ("facts", "end"),
    [
        (TAKEN, RequestEnd.LOST),
        (TAKEN._replace(was_reset=True), RequestEnd.LOST),
        (TAKEN._replace(was_closed_at_write=True), RequestEnd.LOST),
        (TAKEN._replace(was_written=False), RequestEnd.NOT_ACCEPTED),
        (TAKEN._replace(was_written=False, earlier_requests=3), RequestEnd.NOT_ACCEPTED),
        (RESTING, RequestEnd.LOST),
        (RESTING._replace(was_reset=True), RequestEnd.RACED_CLOSE),
        (RESTING._replace(was_closed_at_write=True), RequestEnd.RACED_CLOSE),
        (RESTING._replace(was_reset=True, was_seen_by_host=True), RequestEnd.LOST),
        (RESTING._replace(was_closed_at_write=True, was_seen_by_host=True), RequestEnd.LOST),
        (TAKEN._replace(answer_begun=True), RequestEnd.TRUNCATED),
        (TAKEN._replace(answer_begun=True, was_reset=True), RequestEnd.TRUNCATED),
        (RESTING._replace(answer_begun=True, was_reset=True), RequestEnd.TRUNCATED),
        (TAKEN._replace(answer_begun=True, answer_has_no_end=True), RequestEnd.LOST),
        (TAKEN._replace(answer_begun=True, answer_is_malformed=True), RequestEnd.LOST),
        (TAKEN._replace(process_end=ProcessEnd.KILLED), RequestEnd.PROCESS_KILLED),
        (TAKEN._replace(process_end=ProcessEnd.EXITED), RequestEnd.LOST),
        (TAKEN._replace(process_end=ProcessEnd.KILLED_PAST_GRACE), RequestEnd.LOST),
        (
            RESTING._replace(process_end=ProcessEnd.KILLED_PAST_GRACE, was_reset=True),
            RequestEnd.LOST,
        ),
        (RESTING._replace(process_end=ProcessEnd.EXITED, was_reset=True), RequestEnd.RACED_CLOSE),
    ],
)
def test_what_the_end_of_a_connection_means_for_its_request(facts, end):
    assert classify_request_end(facts) is end


# a crossing needs the balancer's own record, on the first request as on a later one
@pytest.mark.parametrize("facts", [FIRST, RESTING], ids=["first", "resting"])
@pytest.mark.parametrize("seen", ["was_reset", "was_closed_at_write"])
def test_an_end_that_the_kernel_and_the_balancer_both_tell_of_crossed_its_request(facts, seen):
    crossed = facts._replace(**{seen: True})
    read = crossed.earlier_requests
    assert classify_request_end(crossed) is RequestEnd.RACED_CLOSE
    assert (
        classify_request_end(noted(crossed, closed_at_us=WRITE_BEGAN_US)) is RequestEnd.RACED_CLOSE
    )
    assert classify_request_end(crossed._replace(was_written=False)) is RequestEnd.RACED_CLOSE
    assert classify_request_end(facts) is RequestEnd.LOST
    not_excused = {
        "the process noted nothing": crossed._replace(close_record=None),
        "written first": noted(crossed, closed_at_us=WRITE_BEGAN_US + 1),
        "closed over unread bytes": noted(crossed, had_unread_bytes=True),
        "read and not answered": noted(crossed, requests_read=read + 1),
        "read and, it says, answered": noted(
            crossed, requests_read=read + 1, requests_answered=read + 1
        ),
        "one before it was not answered": noted(crossed, requests_answered=read - 1),
        "at a host": crossed._replace(was_seen_by_host=True),
    }
    found = {name: classify_request_end(case) for name, case in not_excused.items()}
    assert found == dict.fromkeys(not_excused, RequestEnd.LOST)


# a request that its balancer found unread behind its shutdown came after the last look, and was not read
@pytest.mark.parametrize("facts", [FIRST, RESTING], ids=["first", "resting"])
def test_an_end_in_order_crossed_what_the_process_found_unread_behind_its_shutdown(facts):
    assert classify_request_end(facts) is RequestEnd.LOST
    assert awaits_unread_record(facts)
    crossed = noted(facts, shut_unread_at_us=WRITE_BEGAN_US)
    assert classify_request_end(crossed) is RequestEnd.RACED_CLOSE
    assert not awaits_unread_record(crossed)
    read = crossed.earlier_requests
    not_excused = {
        "found before it was written": noted(facts, shut_unread_at_us=WRITE_BEGAN_US - 1),
        "written first": noted(crossed, closed_at_us=WRITE_BEGAN_US + 1),
        "unread at the last look": noted(crossed, had_unread_bytes=True),
        "read and not answered": noted(crossed, requests_read=read + 1),
        "one before it was not answered": noted(crossed, requests_answered=read - 1),
        "at a host": crossed._replace(was_seen_by_host=True),
    }
    found = {name: classify_request_end(case) for name, case in not_excused.items()}
    assert found == dict.fromkeys(not_excused, RequestEnd.LOST)
    awaited = {name: awaits_unread_record(case) for name, case in not_excused.items()}
    assert awaited == dict.fromkeys(not_excused, False) | {"found before it was written": True}


# the balancer looked while the client wrote, and found nothing: a soak called that lost, by 8 us
@pytest.mark.parametrize("facts", [FIRST, RESTING], ids=["first", "resting"])
@pytest.mark.parametrize("read_up_to_us", [WRITE_BEGAN_US + 1, WRITTEN_AT_US])
def test_an_end_crossed_what_was_being_written_at_a_look_that_found_nothing(facts, read_up_to_us):
    reset = facts._replace(was_reset=True)
    crossed = noted(reset, closed_at_us=read_up_to_us, had_read_all=True)
    assert classify_request_end(crossed) is RequestEnd.RACED_CLOSE
    read = crossed.earlier_requests
    not_excused = {
        "written whole before the look": noted(crossed, closed_at_us=WRITTEN_AT_US + 1),
        "nobody looked": noted(crossed, had_read_all=False),
        "found unread": noted(crossed, had_unread_bytes=True),
        "read in part": noted(crossed, requests_read=read + 1),
        "one before it was not answered": noted(crossed, requests_answered=read - 1),
        "at a host": crossed._replace(was_seen_by_host=True),
        "in order": crossed._replace(was_reset=False),
    }
    found = {name: classify_request_end(case) for name, case in not_excused.items()}
    assert found == dict.fromkeys(not_excused, RequestEnd.LOST)
