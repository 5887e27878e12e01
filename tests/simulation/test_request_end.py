"""What the end of a connection means for its request, case by case."""

import pytest

from orchidgap.simulation.request_end import (
    ConnectionEndFacts,
    ProcessEnd,
    RequestEnd,
    judge_end,
)

TAKEN = ConnectionEndFacts(ProcessEnd.RUNNING, was_written=True)
RESTING = TAKEN._replace(is_resting=True)


# a request that was taken is lost unless the protocol page excuses its end
@pytest.mark.parametrize(
    ("facts", "end"),
    [
        (TAKEN, RequestEnd.LOST),
        (TAKEN._replace(was_reset=True), RequestEnd.LOST),
        (TAKEN._replace(was_closed_at_write=True), RequestEnd.LOST),
        (TAKEN._replace(was_written=False), RequestEnd.NOT_TAKEN),
        (TAKEN._replace(was_written=False, is_resting=True), RequestEnd.NOT_TAKEN),
        (RESTING, RequestEnd.LOST),
        (RESTING._replace(was_reset=True), RequestEnd.CROSSED),
        (RESTING._replace(was_closed_at_write=True), RequestEnd.CROSSED),
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
        (RESTING._replace(process_end=ProcessEnd.EXITED, was_reset=True), RequestEnd.CROSSED),
    ],
)
def test_what_the_end_of_a_connection_means_for_its_request(facts, end):
    assert judge_end(facts) is end
