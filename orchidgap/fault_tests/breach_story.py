"""Tells each breach together with the faults and the log lines of all processes around it."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from contextlib import suppress
from operator import itemgetter
from pathlib import Path
from typing import NamedTuple

import orjson

from orchidgap.simulation.invariant_checker import InvariantChecker

WINDOW_S = 2.0  # before and after a breach
MAX_TOLD_BREACHES = 3
MAX_LINES = 60  # of one breach: those nearest to it


class LogLine(NamedTuple):
    """One line of a process's log, or a fault.

    Attributes:
        at_s: When, in Unix time.
        text: The process's name and the line.
    """

    at_s: float
    text: str


def read_logs(folder: Path) -> list[LogLine]:
    """Return the events in all logs of a folder; what is no event is left out."""
    return [line for path in sorted(folder.glob("*.log")) for line in _read_log(path)]


def _read_log(path: Path) -> Iterator[LogLine]:
    for raw in path.read_bytes().splitlines():
        with suppress(ValueError, KeyError, TypeError):
            facts = orjson.loads(raw)
            at_s = float(facts.pop("at"))
            facts.pop("balancer", None)
            yield LogLine(at_s, f"{path.stem} {orjson.dumps(facts).decode()}")


def tell_breaches(
    checker: InvariantChecker,
    folder: Path,
    describe_scheduling: Callable[[int, int], str] | None = None,
) -> str:
    """Return the first breaches, each with what happened around it, as text.

    Args:
        checker: What was breached, and which faults there were.
        folder: The files of all processes.
        describe_scheduling: Tells which processes got no core between two times in microseconds.
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
    stories = [
        f"{rule} at {at_s:.3f} s: {text}\n"
        + scheduling_at(at_s)
        + _lines_around(lines, start_s, at_s)
        for rule, at_s, text in checker.breaches[:MAX_TOLD_BREACHES]
    ]
    stories += [
        f"{rule} at {at_s:.3f} s: {text}\n"
        for rule, at_s, text in checker.breaches[MAX_TOLD_BREACHES:]
    ]
    return "".join(stories)


def _lines_around(lines: list[LogLine], start_s: float, at_s: float) -> str:
    """Return the lines within the window, with their seconds from the start."""
    breach_s = start_s + at_s

    def distance_s(line: LogLine) -> float:
        return abs(line.at_s - breach_s)

    near = [line for line in lines if distance_s(line) <= WINDOW_S]
    nearest = sorted(near, key=distance_s)[:MAX_LINES]
    told = sorted(nearest, key=itemgetter(0))
    return "".join(f"  {line.at_s - start_s:9.3f} {line.text}\n" for line in told)
