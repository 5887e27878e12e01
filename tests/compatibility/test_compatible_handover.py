"""Compares handover packets byte for byte with records made before modules were renamed."""

import json
from pathlib import Path

import exchanges

DATA = Path(__file__).parent / "data"


def recorded(name):
    return json.loads((DATA / f"{name}.json").read_text())


def packets_of(step):
    return [packet["packet"] for packet in step["heard"]]


def test_a_serving_process_sends_the_recorded_packets_to_its_successor():
    """Otherwise an old process that takes over from a new one (a downgrade) would receive no state, or would lose
    connections."""
    assert exchanges.play_predecessor() == recorded("handover-old-side")


def test_a_starting_process_answers_the_recorded_packets_of_its_predecessor():
    """Otherwise a new process that takes over from an old one would not serve, or the old one would continue to."""
    packets = packets_of(recorded("handover-old-side")[1])
    assert exchanges.play_successor(packets) == recorded("handover-new-side")


def test_a_recorded_snapshot_is_restored_completely_and_forwarded_unchanged():
    """Otherwise a new process would start cold after a handover from an old one: limits, latencies, ejections,
    ranges and tenants' shares would be lost or misread."""
    expected = recorded("snapshot")
    found = exchanges.play_successor(expected["told"])
    assert found == expected["found"]
    passed = [packet["packet"] for packet in found["passed on"]]
    assert expected["told"][2] in passed, "the host snapshots are forwarded byte for byte"


def test_requests_in_progress_in_recorded_packets_continue():
    """Otherwise clients in the middle of a request or an answer would be disconnected when a new process takes
    over."""
    predecessor_steps = recorded("handover-old-side")
    assert exchanges.migrate_requests(predecessor_steps) == recorded("handover-moved-requests")
