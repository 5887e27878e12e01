"""Reads the events that the processes of a fault test have logged."""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import orjson

TAIL_EVENTS = 6


@dataclass(slots=True)
class LogPosition:
    """The position up to which one log was read.

    Attributes:
        offset_bytes: The offset of the first line that was not read yet.
        events: The names of all events read so far.
        marked_count: The number of events at the last `mark`.
    """

    offset_bytes: int = 0
    events: list[str] = field(default_factory=list)
    marked_count: int = 0


class ProcessLogs:
    """Reads the logs of processes by their names."""

    def __init__(self, log_path: Callable[[str], Path]) -> None:
        """Read the logs at the paths that `log_path` returns for process names."""
        self.log_path = log_path
        self.positions: dict[str, LogPosition] = {}

    def events(self, name: str) -> list[str]:
        """Return the names of all events that a process has logged so far."""
        position = self.positions.setdefault(name, LogPosition())
        with suppress(OSError), open(self.log_path(name), "rb") as file:
            file.seek(position.offset_bytes)
            complete = file.read().rpartition(b"\n")[0]
            if complete:
                position.offset_bytes += len(complete) + 1
            for line in complete.splitlines():
                with suppress(ValueError):
                    position.events.append(str(orjson.loads(line).get("event")))
        return position.events

    def new_events(self, name: str) -> list[str]:
        """Return the events since the last `mark`."""
        events = self.events(name)
        return events[self.positions[name].marked_count :]

    def mark(self) -> None:
        """Treat all events so far as old for `new_events`."""
        for name, position in self.positions.items():
            position.marked_count = len(self.events(name))

    def tails(self) -> dict[str, list[str]]:
        """Return the last events of each process, for the diagnosis of a breach."""
        return {name: position.events[-TAIL_EVENTS:] for name, position in self.positions.items()}
