"""Durable writes that don't hold up the loop: a child process does each.

A disk may take seconds over a write.
"""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Callable
from itertools import pairwise
from typing import NoReturn

from orchidgap.net.loop import READ, Loop
from orchidgap.state.durable_store import UNLOCKED, DurableStore

OnWritten = Callable[[str], None]
"""Is told why a write failed, in words for an operator; an empty text where it is durable."""

WRITER_ENDED = "whoever wrote it has ended"
WRITTEN = b"done"  # what the child says
MAX_REPORT_BYTES = 256


class BackgroundWriter:
    """Writes one file at a time.

    Of the writes of one name that wait, only the latest is done: writes must not pile up behind a
    disk that stands still.

    Attributes:
        loop: The loop that calls back.
        store: Where the files are.
        busy: Whether a write is under way or waits, or its child has yet to end.
    """

    def __init__(self, loop: Loop, store: DurableStore) -> None:
        """Make a writer that has nothing to do."""
        self.loop = loop
        self.store = store
        self.busy = False
        self._waiting: dict[str, tuple[object, OnWritten]] = {}

    def write(self, name: str, content: object, on_written: OnWritten) -> None:
        """Write a file in the background.

        Args:
            name: The file's name.
            content: What JSON can hold.
            on_written: Called once, later; never where another write of this name comes before this
                one begins.
        """
        self._waiting.pop(name, None)
        self._waiting[name] = content, on_written
        if not self.busy:
            self.busy = True
            self.loop.call_soon(self._begin_next)

    def _begin_next(self) -> None:
        if not self._waiting:
            self.busy = False
            return
        name = next(iter(self._waiting))
        content, on_written = self._waiting.pop(name)
        parent_end, child_end = socket.socketpair()
        try:
            child = os.fork()
        except OSError as error:
            parent_end.close()
            child_end.close()
            self.loop.call_soon(self._begin_next)
            on_written(error.strerror or WRITER_ENDED)
            return
        if child == 0:
            self._run_child(child_end.fileno(), name, content)
        child_end.close()
        self.loop.watch(
            parent_end, READ, lambda mask: self._on_report(parent_end, child, on_written)
        )

    def _run_child(self, report_fd: int, name: str, content: object) -> NoReturn:
        """Do the write and end, in the child process."""
        exit_code = 1
        try:
            _reset_signals()
            self._close_descriptors(report_fd)
            try:
                self.store.write(name, content)
                os.write(report_fd, WRITTEN)
            except OSError as error:
                os.write(report_fd, (error.strerror or "it fails").encode())
            exit_code = 0
        finally:
            os._exit(exit_code)

    def _close_descriptors(self, report_fd: int) -> None:
        """Close all but the report's end and the folder's lock.

        Whoever is at the other end of one of the parent's connections would otherwise wait for as
        long as the disk takes.
        """
        kept = sorted({report_fd, self.store.lock_fd} - {UNLOCKED})
        for low, high in pairwise([-1, *kept, os.sysconf("SC_OPEN_MAX")]):
            os.closerange(low + 1, high)

    def _on_report(self, parent_end: socket.socket, child: int, on_written: OnWritten) -> None:
        report = parent_end.recv(MAX_REPORT_BYTES)
        self.loop.unwatch(parent_end)
        parent_end.close()
        self._await_end(child)
        if report == WRITTEN:
            on_written("")
        else:
            on_written(report.decode() or WRITER_ENDED)

    def _await_end(self, child: int) -> None:
        """Go on once a child has ended. Nothing waits for it: on a busy machine that takes long."""
        process_fd = os.pidfd_open(child)

        def on_end(mask: int) -> None:
            self.loop.unwatch(process_fd)
            os.close(process_fd)
            os.waitpid(child, 0)  # it has ended
            self._begin_next()

        self.loop.watch(process_fd, READ, on_end)


def _reset_signals() -> None:
    signal.set_wakeup_fd(-1)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_DFL)
