"""The event log: one line of JSON for each event, on standard error."""

from __future__ import annotations

import os
import select
import time
import traceback
from pathlib import Path
from typing import Any

import orjson

from orchidgap.net.loop import LateTurn

MAX_LINE_BYTES = 4_000  # a pipe that is ready for writing accepts this much without blocking
MAX_ERROR_LENGTH = 200
TRACEBACK_FRAMES = 4
STDERR = 2


class EventLog:
    """Writes events; lines are dropped, and the loop never blocks, if the reader is too slow."""

    def __init__(self, name: str = "", fd: int = STDERR) -> None:
        """Write lines with this balancer name to the descriptor."""
        self.name = name
        self.fd = fd
        self.dropped = 0  # lines dropped since the last one that was written
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def __call__(self, event: str, **facts: Any) -> None:
        """Write one event."""
        if not self.poll.poll(0):
            self.dropped += 1
            return
        if self.dropped:
            facts["dropped"] = self.dropped
            self.dropped = 0
        head = {"at": round(time.time(), 3), "balancer": self.name, "event": event}
        line = orjson.dumps(head | facts, default=str, option=orjson.OPT_APPEND_NEWLINE)
        if len(line) > MAX_LINE_BYTES:
            self(event, cut=line[: MAX_LINE_BYTES // 4].decode(errors="replace"))
            return
        try:
            os.write(self.fd, line)
        except OSError:
            self.dropped += 1

    def late_turn(self, turn: LateTurn) -> None:
        """Write that the loop was late for a timer, with the figures that show the cause."""
        self(
            "turn late",
            late_ms=turn.late_us // 1000,
            began_late_ms=turn.began_late_us // 1000,
            calls_ms=turn.calls_us // 1000,
            window_ms=turn.window_us // 1000,
            cpu_ms=turn.cpu_us // 1000,
            run_delay_ms=turn.run_delay_us // 1000,
            due=turn.callback,
        )

    def exception(self, error: Exception) -> None:
        """Write an unexpected exception, with the end of its traceback."""
        frames = traceback.extract_tb(error.__traceback__)[-TRACEBACK_FRAMES:]
        self(
            "fault",
            what=f"{type(error).__name__}: {error}"[:MAX_ERROR_LENGTH],
            where=[f"{Path(frame.filename).name}:{frame.lineno} {frame.name}" for frame in frames],
        )
