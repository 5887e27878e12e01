"""Durable writes that do not block the event loop: each one is done by a child process.

A single write may take seconds on a slow disk.
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
"""Called with the reason why a write failed, for operators; empty if the file is durable."""

WRITER_EXITED = "the writing process exited before it was done"
WRITTEN = b"done"  # the child's report of success
MAX_REPORT_BYTES = 256


class BackgroundWriter:
    """Writes files in child processes, one at a time.

    A queued write replaces an earlier queued one of the same name, so that the queue does not grow
    while the disk is stalled.

    Attributes:
        loop: The event loop that runs the callbacks.
        store: The store that holds the files.
        busy: Whether a write is in progress or queued, or a child process has not exited yet.
    """

    def __init__(self, loop: Loop, store: DurableStore) -> None:
        """Create an idle writer."""
        self.loop = loop
        self.store = store
        self.busy = False
        self._queued: dict[str, tuple[object, OnWritten]] = {}

    def write(self, name: str, content: object, on_written: OnWritten) -> None:
        """Write a file in the background.

        Args:
            name: The file's name.
            content: A value that JSON can represent.
            on_written: Called once, in a later turn of the loop. Never called if another write of
                this name replaces this one before it starts.
        """
        self._queued.pop(name, None)
        self._queued[name] = content, on_written
        if not self.busy:
            self.busy = True
            self.loop.call_soon(self._start_next)

    def _start_next(self) -> None:
        if not self._queued:
            self.busy = False
            return
        name = next(iter(self._queued))
        content, on_written = self._queued.pop(name)
        parent_end, child_end = socket.socketpair()
        try:
            child = os.fork()
        except OSError as error:
            parent_end.close()
            child_end.close()
            self.loop.call_soon(self._start_next)
            on_written(error.strerror or WRITER_EXITED)
            return
        if child == 0:
            self._run_child(child_end.fileno(), name, content)
        child_end.close()
        self.loop.watch(
            parent_end, READ, lambda mask: self._on_report(parent_end, child, on_written)
        )

    def _run_child(self, report_fd: int, name: str, content: object) -> NoReturn:
        """Write the file and exit, in the child process."""
        exit_code = 1
        try:
            _reset_signals()
            self._close_descriptors(report_fd)
            try:
                self.store.write(name, content)
                os.write(report_fd, WRITTEN)
            except OSError as error:
                os.write(report_fd, (error.strerror or "the write failed").encode())
            exit_code = 0
        finally:
            os._exit(exit_code)

    def _close_descriptors(self, report_fd: int) -> None:
        """Close all descriptors except the report socket and the folder's lock.

        A connection that the parent closes would otherwise stay open for its peer until the child
        exits, which may take as long as the disk does.
        """
        kept = sorted({report_fd, self.store.lock_fd} - {UNLOCKED})
        for low, high in pairwise([-1, *kept, os.sysconf("SC_OPEN_MAX")]):
            os.closerange(low + 1, high)

    def _on_report(self, parent_end: socket.socket, child: int, on_written: OnWritten) -> None:
        report = parent_end.recv(MAX_REPORT_BYTES)
        self.loop.unwatch(parent_end)
        parent_end.close()
        self._await_exit(child)
        if report == WRITTEN:
            on_written("")
        else:
            on_written(report.decode() or WRITER_EXITED)

    def _await_exit(self, child: int) -> None:
        """Start the next write once a child has exited, without blocking the loop.

        On a busy machine the exit can take long.
        """
        process_fd = os.pidfd_open(child)

        def on_exit(mask: int) -> None:
            self.loop.unwatch(process_fd)
            os.close(process_fd)
            os.waitpid(child, 0)  # returns at once, as the child has exited
            self._start_next()

        self.loop.watch(process_fd, READ, on_exit)


def _reset_signals() -> None:
    signal.set_wakeup_fd(-1)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, signal.SIG_DFL)
