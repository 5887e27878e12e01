"""Writes that hold up nothing: each is done by a child process, as a disk may take seconds over one."""

from __future__ import annotations

import os
import signal
import socket
from collections.abc import Callable
from itertools import pairwise

from orchidgap.net.loop import READ, Loop
from orchidgap.state.durable_store import DurableStore

Done = Callable[[str], None]  # told why it failed, in plain words; nothing where it is durable
ENDED = "whoever wrote it has ended"


class BackgroundWriter:
    """One write at a time. What waits behind it is of each name only the latest: a disk that stands still
    must not have writes pile up."""

    def __init__(self, loop: Loop, files: DurableStore) -> None:
        self.loop, self.files = loop, files
        self.waiting: dict[str, tuple[object, Done]] = {}
        self.busy = False

    def __call__(self, name: str, content: object, done: Done) -> None:
        """`done` is called once, later; never where another write of that name came before this one began."""
        self.waiting.pop(name, None)
        self.waiting[name] = content, done
        if not self.busy:
            self.busy = True
            self.loop.call_soon(self.begin)

    def begin(self) -> None:
        if not self.waiting:
            self.busy = False
            return
        name = next(iter(self.waiting))
        content, done = self.waiting.pop(name)
        ear, mouth = socket.socketpair()
        try:
            child = os.fork()
        except OSError as trouble:
            ear.close()
            mouth.close()
            self.loop.call_soon(self.begin)
            return done(trouble.strerror or ENDED)
        if child == 0:
            self.write(mouth.fileno(), name, content)
        mouth.close()
        self.loop.watch(ear, READ, lambda mask: self.ended(ear, child, done))

    def write(self, mouth: int, name: str, content: object) -> None:
        """The child's part. It holds none of the parent's connections: whoever is at their other end would
        wait for as long as the disk does. It does hold the folder's lock."""
        code = 1
        try:
            signal.set_wakeup_fd(-1)
            for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
                signal.signal(number, signal.SIG_DFL)
            kept = sorted({mouth, self.files.held} - {-1})
            for low, high in pairwise([-1, *kept, os.sysconf("SC_OPEN_MAX")]):
                os.closerange(low + 1, high)
            try:
                self.files.write(name, content)
                os.write(mouth, b"done")
            except OSError as trouble:
                os.write(mouth, (trouble.strerror or "it fails").encode())
            code = 0
        finally:
            os._exit(code)

    def ended(self, ear: socket.socket, child: int, done: Done) -> None:
        said = ear.recv(256)
        self.loop.unwatch(ear)
        ear.close()
        os.waitpid(child, 0)
        self.loop.call_soon(self.begin)
        done("" if said == b"done" else said.decode() or ENDED)
