"""The log: one JSON line an event, on standard error."""

from __future__ import annotations

import os
import select
import time
import traceback
from pathlib import Path
from typing import Any

import orjson

LONGEST = 4_000  # what a pipe that is ready takes without blocking


class EventLog:
    def __init__(self, name: str = "", fd: int = 2) -> None:
        self.name, self.fd, self.dropped = name, fd, 0
        self.poll = select.poll()
        self.poll.register(fd, select.POLLOUT)

    def __call__(self, event: str, **facts: Any) -> None:
        """A reader that does not keep up loses lines; it must not hold up the loop."""
        if not self.poll.poll(0):
            self.dropped += 1
            return
        if self.dropped:
            facts["dropped"], self.dropped = self.dropped, 0
        line = orjson.dumps(
            {"at": round(time.time(), 3), "balancer": self.name, "event": event} | facts,
            default=str,
            option=orjson.OPT_APPEND_NEWLINE,
        )
        if len(line) > LONGEST:
            return self(event, cut=line[: LONGEST // 4].decode(errors="replace"))
        try:
            os.write(self.fd, line)
        except OSError:
            self.dropped += 1

    def exception(self, trouble: Exception) -> None:
        last = traceback.extract_tb(trouble.__traceback__)[-4:]
        self(
            "fault",
            what=f"{type(trouble).__name__}: {trouble}"[:200],
            where=[f"{Path(frame.filename).name}:{frame.lineno} {frame.name}" for frame in last],
        )
