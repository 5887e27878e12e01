"""Atomic and durable files; the program stores all its persistent state through this module.

A file is written under a temporary name, synced to the disk and renamed over the old file; then the
folder is synced. A file starts with a digest of its content, so that a torn, truncated or modified
file is distinguished from one that was never written.
"""

from __future__ import annotations

import errno
import fcntl
import os
from hashlib import blake2b
from pathlib import Path

import orjson

from orchidgap.errors import CorruptFileError as CorruptFileError

# Program name and format version. The digest in hexadecimal follows, and ends the header line.
HEADER_PREFIX = b"orchidgap 1 "
DIGEST_BYTES = 16
MAX_FILE_BYTES = 1 << 22
LOCK_FILE = "lock"
UNLOCKED = -1


class DurableStore:
    """The folder of one process, which holds JSON files by name.

    Every method raises OSError if the disk fails. Each step of a write is a method, so that a fault
    test can make it fail.

    Attributes:
        folder: The path of the folder.
        lock_fd: The descriptor of the folder's lock, `UNLOCKED` if this process does not hold it.
    """

    def __init__(self, folder: Path) -> None:
        """Open a folder, creating it if it does not exist."""
        self.folder = folder
        self.lock_fd = UNLOCKED
        folder.mkdir(parents=True, exist_ok=True)

    def lock(self) -> bool:
        """Try to lock the folder; return whether that succeeded.

        The lock is held until this process and all its writing children have exited. Without it, a
        child of an earlier process that is delayed by a slow disk could overwrite newer content
        with older content.
        """
        fd = os.open(self.folder / LOCK_FILE, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(fd)
            return False
        self.lock_fd = fd
        return True

    def write(self, name: str, content: object) -> None:
        """Write a file; it is durable when this returns.

        Args:
            name: The file's name.
            content: A value that JSON can represent.

        Raises:
            OSError: The disk failed, or the file would be too large; the old content is unchanged.
        """
        data = _encode(content)
        path = self.folder / name
        temporary_path = self.folder / f"{name}.new"
        fd = self.open_file(temporary_path)
        try:
            remaining = memoryview(data)
            while remaining:
                written_bytes = self.write_some(fd, remaining)
                remaining = remaining[written_bytes:]
            self.sync(fd)
        finally:
            os.close(fd)
        self.rename(temporary_path, path)
        self._sync_folder()

    def read(self, name: str) -> object | None:
        """Return the content that was written last, None if the file does not exist.

        Raises:
            CorruptFileError: The content does not match its digest.
        """
        path = self.folder / name
        try:
            data = path.read_bytes()
        except FileNotFoundError:
            return None
        header, _, body = data.partition(b"\n")
        if header != _header(body):
            raise CorruptFileError(path)
        content: object = orjson.loads(body)
        return content

    def set_aside(self, name: str) -> None:
        """Rename a damaged file, so that it is no longer read but can be inspected."""
        os.replace(self.folder / name, self.folder / f"{name}.damaged")

    def _sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self.sync(fd)
        finally:
            os.close(fd)

    # The steps of a write, one method each, so that fault tests can make a single one fail.

    def open_file(self, path: Path) -> int:
        """Open an empty file; return its descriptor."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def write_some(self, fd: int, data: memoryview) -> int:
        """Write as many bytes as one system call accepts; return their number."""
        return os.write(fd, data)

    def sync(self, fd: int) -> None:
        """Sync a file or folder to the disk."""
        os.fsync(fd)

    def rename(self, old: Path, new: Path) -> None:
        """Rename a file, replacing any file with the new name."""
        os.replace(old, new)


def _header(body: bytes) -> bytes:
    return HEADER_PREFIX + blake2b(body, digest_size=DIGEST_BYTES).hexdigest().encode()


def _encode(content: object) -> bytes:
    # orjson, because msgspec encodes large floats differently (1e22 instead of 1e+22)
    body = orjson.dumps(content)
    data = _header(body) + b"\n" + body
    if len(data) > MAX_FILE_BYTES:
        raise OSError(errno.EFBIG, os.strerror(errno.EFBIG))
    return data
