"""The only layer through which the program writes what it has to find again: whole, or not at all.

A file is written beside the old one, forced to the disk, renamed over it, and the folder is forced
too. It begins with a digest of its content, so that a torn, cut or changed file is told apart from
one that was never written.
"""

from __future__ import annotations

import errno
import fcntl
import os
from hashlib import blake2b
from pathlib import Path

import orjson

from orchidgap.errors import CorruptFileError as CorruptFileError

FILE_MARK = b"orchidgap 1 "  # the form of the file; a space and the digest in hexadecimal follow
DIGEST_BYTES = 16
MAX_FILE_BYTES = 1 << 22
LOCK_FILE = "lock"
UNLOCKED = -1


class DurableStore:
    """One process's folder, with files of JSON by name.

    Every method raises OSError where the disk fails. Each step of a write is a method, so that a
    fault test can make it fail.

    Attributes:
        folder: The folder.
        lock_fd: The descriptor of the folder's lock, `UNLOCKED` where this process doesn't hold it.
    """

    def __init__(self, folder: Path) -> None:
        """Open a folder, which is made where it isn't there."""
        self.folder = folder
        self.lock_fd = UNLOCKED
        folder.mkdir(parents=True, exist_ok=True)

    def lock(self) -> bool:
        """Try to lock the folder; return whether that worked.

        The lock holds until this process and all its children that write have ended. A child of an
        earlier process, which a slow disk holds up, would put back what stood there before.
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
            content: What JSON can hold.

        Raises:
            OSError: The disk failed, or the file would be too large; the old content stands.
        """
        data = _encode(content)
        path = self.folder / name
        path_beside = self.folder / f"{name}.new"
        fd = self.open_file(path_beside)
        try:
            remaining = memoryview(data)
            while remaining:
                written_bytes = self.write_some(fd, remaining)
                remaining = remaining[written_bytes:]
            self.sync(fd)
        finally:
            os.close(fd)
        self.rename(path_beside, path)
        self._sync_folder()

    def read(self, name: str) -> object | None:
        """Return what was written last, None where nothing was.

        Raises:
            CorruptFileError: The file isn't what was written.
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
        """Rename a file out of the way, for whoever wants to look at it."""
        os.replace(self.folder / name, self.folder / f"{name}.damaged")

    def _sync_folder(self) -> None:
        fd = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            self.sync(fd)
        finally:
            os.close(fd)

    # The steps of a write.

    def open_file(self, path: Path) -> int:
        """Open an empty file; return its descriptor."""
        return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)

    def write_some(self, fd: int, data: memoryview) -> int:
        """Write as much as the disk takes at once; return how many bytes that is."""
        return os.write(fd, data)

    def sync(self, fd: int) -> None:
        """Force a file or folder to the disk."""
        os.fsync(fd)

    def rename(self, old: Path, new: Path) -> None:
        """Put a file in the place of another."""
        os.replace(old, new)


def _header(body: bytes) -> bytes:
    return FILE_MARK + blake2b(body, digest_size=DIGEST_BYTES).hexdigest().encode()


def _encode(content: object) -> bytes:
    # orjson, as msgspec writes large floats in other bytes (1e22 for 1e+22)
    body = orjson.dumps(content)
    data = _header(body) + b"\n" + body
    if len(data) > MAX_FILE_BYTES:
        raise OSError(errno.EFBIG, os.strerror(errno.EFBIG))
    return data
