"""What two processes of one balancer say to each other, byte for byte as before modules were renamed."""

import json
from pathlib import Path

import exchanges

DATA = Path(__file__).parent / "data"


def recorded(name):
    return json.loads((DATA / f"{name}.json").read_text())


def packets_of(step):
    return [packet["packet"] for packet in step["heard"]]


def test_a_process_that_serves_says_the_recorded_words_to_a_newer_one():
    """An old process that takes over from a new one (a downgrade) would learn nothing, or lose connections."""
    assert exchanges.old_side() == recorded("handover-old-side")


def test_a_process_that_starts_answers_the_recorded_words_of_an_older_one():
    """A new process that takes over from an old one would not serve, or the old one would go on serving."""
    packets = packets_of(recorded("handover-old-side")[1])
    assert exchanges.new_side(packets) == recorded("handover-new-side")


def test_a_recorded_snapshot_is_taken_whole_and_passed_on_as_it_was():
    """After a handover from an old process a new one would begin cold: limits, latencies, ejections, ranges
    and tenants' shares would be lost or taken for something else."""
    told = recorded("snapshot")
    found = exchanges.new_side(told["told"])
    assert found == told["found"]
    passed = [packet["packet"] for packet in found["passed on"]]
    assert told["told"][2] in passed, "the hosts' part comes out byte for byte as it went in"


def test_requests_under_way_in_recorded_packets_go_on():
    """Clients in the middle of a request or an answer would be cut off when a new process takes over."""
    old = recorded("handover-old-side")
    assert exchanges.moved_requests(old) == recorded("handover-moved-requests")
