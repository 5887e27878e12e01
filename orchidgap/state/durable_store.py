"""The one layer through which the program writes what it has to find again: whole, or not at all.

A file is written beside the old one, forced to the disk, renamed over it, and the folder forced too. It
carries a digest of its content: one that is torn, cut or changed is told apart from one that was never
there.
"""

from __future__ import annotations

import errno
import fcntl
import os
from hashlib import blake2b
from pathlib import Path

import orjson

from orchidgap.errors import CorruptFileError as CorruptFileError

MARK = b"orchidgap 1 "
MOST = 1 << 22  # bytes of a file


class DurableStore:
    """One process's folder. Every method raises OSError where the disk fails. Each step of a
    write is a method, for whoever has to see that a failing disk is borne."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.held = -1  # descriptor of the lock, where the folder is one process's alone
        folder.mkdir(parents=True, exist_ok=True)

    def hold(self) -> bool:
        """Whether the folder is this process's alone from now on, until it and all its children that write
        have ended: one of a process before it, that a slow disk holds up, would put back what was there."""
        fd = os.open(self.folder / "lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return False
        self.held = fd
        return True

    def write(self, name: str, content: object) -> None:
        """Durable when it returns; where it raises the old content stands."""
        text = orjson.dumps(content)
        text = MARK + blake2b(text, digest_size=16).hexdigest().encode() + b"\n" + text
        if len(text) > MOST:
            raise OSError(errno.EFBIG, os.strerror(errno.EFBIG))
        path, beside = self.folder / name, self.folder / f"{name}.new"
        fd = self.open(beside)
        try:
            rest = memoryview(text)
            while rest:
                rest = rest[self.put(fd, rest) :]
            self.force(fd)
        finally:
            os.close(fd)
        self.rename(beside, path)
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self.force(folder)
        finally:
            os.close(folder)

    def read(self, name: str) -> object | None:
        """What was written last, None where nothing was. Raises CorruptFileError."""
        try:
            text = (self.folder / name).read_bytes()
        except FileNotFoundError:
            return None
        head, _, body = text.partition(b"\n")
        if head != MARK + blake2b(body, digest_size=16).hexdigest().encode():
            raise CorruptFileError(self.folder / name)
        found: object = orjson.loads(body)
        return found

    def set_aside(self, name: str) -> None:
        """Left for whoever wants to look at it, and out of the way."""
        os.replace(self.folder / name, self.folder / f"{name}.damaged")

    # --- the steps of a write

    def open(self, path: Path) -> int:
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def put(self, fd: int, part: memoryview) -> int:
        return os.write(fd, part)

    def force(self, fd: int) -> None:
        os.fsync(fd)

    def rename(self, old: Path, new: Path) -> None:
        os.replace(old, new)
