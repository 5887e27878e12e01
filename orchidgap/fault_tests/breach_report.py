"""Describes each breach together with the faults and log lines of all processes around its time."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from contextlib import suppress
from operator import itemgetter
from pathlib import Path
from typing import NamedTuple

import orjson

from orchidgap.simulation.invariant_checker import InvariantChecker

WINDOW_S = 2.0  # length of the window before a breach, and of the one after it
MAX_DETAILED_BREACHES = 3
MAX_LINES = 60  # limit for one breach; the lines nearest to it in time are shown
MAX_EARLIER_FAULTS = 20  # limit for one breach; the last ones before the window are shown
TEST_PROCESS_FAULT = "the fault test itself"


class LogLine(NamedTuple):
    """One line of a process's log, or a fault.

    Attributes:
        at_s: When it was logged, in Unix time.
        text: The name of the process and the line.
    """

    at_s: float
    text: str


def read_logs(folder: Path) -> list[LogLine]:
    """Return the events in all logs of a folder; lines that are not events are left out."""
    return [line for path in sorted(folder.glob("*.log")) for line in _read_log(path)]


def _read_log(path: Path) -> Iterator[LogLine]:
    for raw in path.read_bytes().splitlines():
        with suppress(ValueError, KeyError, TypeError):
            facts = orjson.loads(raw)
            at_s = float(facts.pop("at"))
            facts.pop("balancer", None)
            yield LogLine(at_s, f"{path.stem} {orjson.dumps(facts).decode()}")


def describe_breaches(
    checker: InvariantChecker,
    folder: Path,
    describe_scheduling: Callable[[int, int], str] | None = None,
) -> str:
    """Return a text with all breaches, the first ones with the log lines and faults around them.

    Args:
        checker: The record of breaches and faults.
        folder: The folder with the logs of all processes.
        describe_scheduling: Describes which processes were runnable but got no core between two
            times in microseconds.
    """

    def scheduling_at(at_s: float) -> str:
        if describe_scheduling is None:
            return ""
        at_us = checker.started_at_us + round(at_s * 1e6)
        window_us = round(WINDOW_S * 1e6)
        return f"  {describe_scheduling(at_us - window_us, at_us + window_us)}\n"

    start_s = checker.started_at_us / 1e6
    lines = read_logs(folder)
    lines += [LogLine(start_s + at_s, f"fault: {text}") for at_s, text in checker.events]
    descriptions = [
        f"{rule} at {at_s:.3f} s: {text}\n"
        + scheduling_at(at_s)
        + _earlier_faults(checker.events, at_s)
        + _lines_around(lines, start_s, at_s)
        for rule, at_s, text in checker.breaches[:MAX_DETAILED_BREACHES]
    ]
    descriptions += [
        f"{rule} at {at_s:.3f} s: {text}\n"
        for rule, at_s, text in checker.breaches[MAX_DETAILED_BREACHES:]
    ]
    return "".join(descriptions)


def _earlier_faults(events: Iterable[tuple[float, str]], at_s: float) -> str:
    """Return a line with the plan's last faults before the window, empty if there are none."""
    faults = [
        f"{fault_s:.3f} {text}"
        for fault_s, text in events
        if fault_s < at_s - WINDOW_S and not text.startswith(TEST_PROCESS_FAULT)
    ]
    return f"  earlier: {'; '.join(faults[-MAX_EARLIER_FAULTS:])}\n" if faults else ""


def _lines_around(lines: list[LogLine], start_s: float, at_s: float) -> str:
    """Return the log lines within the window, each with its seconds since the start."""
    breach_s = start_s + at_s

    def distance_s(line: LogLine) -> float:
        return abs(line.at_s - breach_s)

    in_window = [line for line in lines if distance_s(line) <= WINDOW_S]
    nearest = sorted(in_window, key=distance_s)[:MAX_LINES]
    by_time = sorted(nearest, key=itemgetter(0))
    return "".join(f"  {line.at_s - start_s:9.3f} {line.text}\n" for line in by_time)
