"""Denials are reported by reason: once the logs of a run did not show which rule had denied 669 with capacity."""

import orjson

from orchidgap.fault_tests.denial_report import (
    DenialCount,
    count_by_age,
    count_by_reason,
    describe_denials,
    read_reasons,
)
from orchidgap.simulation.invariant_checker import Rejection

START_US = 1_000_000_000


def rejection(at_s, had_capacity=True, balancer="b0"):
    return Rejection(START_US + round(at_s * 1e6), balancer, had_capacity)


def write_log(folder, lines):
    text = b"no event\n" + b"".join(
        orjson.dumps(
            {"at": START_US / 1e6 + at_s, "balancer": "b0", "event": event, "reasons": reasons},
            option=orjson.OPT_APPEND_NEWLINE,
        )
        for at_s, event, reasons in lines
    )
    (folder / "b0.log").write_bytes(text)


def test_denials_with_capacity_are_divided_among_the_reasons_logged_next(tmp_path):
    write_log(
        tmp_path,
        [
            (1.0, "rejections", {"origin_wait": 1}),
            (1.5, "mode", {"slow_start": 99}),
            (2.0, "rejections", {"slow_start": 3, "origin_wait": 1}),
        ],
    )
    logs = {"b0": read_reasons(tmp_path / "b0.log", START_US / 1e6)}
    seen = [rejection(1.001), rejection(1.2), rejection(1.3, False), rejection(2.5)]
    assert count_by_reason(seen, logs, START_US) == {
        "origin_wait": DenialCount(2, 1.25),
        "slow_start": DenialCount(3, 0.75),
        "not logged": DenialCount(0, 1),
    }


def test_denials_are_counted_by_the_time_since_the_last_fault_of_each_kind():
    events = [(1.0, "stop b7 for 519 ms"), (3.0, "stop b8 for 100 ms"), (2.0, "list: c04 Gone")]
    seen = [rejection(0.5), rejection(1.2), rejection(3.7, False), rejection(30.0)]
    assert count_by_age(seen, events, START_US) == {
        "list: Gone, 8 s or more": DenialCount(1, 1),
        "list: Gone, under 2 s": DenialCount(1, 0),
        "stop, 8 s or more": DenialCount(1, 1),
        "stop, under 0.5 s": DenialCount(1, 1),
        "stop, under 1 s": DenialCount(1, 0),
    }


def test_the_report_counts_by_balancer_and_is_empty_without_denials(tmp_path):
    assert describe_denials([], [], tmp_path, START_US) == ""
    text = describe_denials([rejection(1), rejection(2, False)], [], tmp_path, START_US)
    assert ["b0", "2", "1"] in [line.split() for line in text.splitlines()]
