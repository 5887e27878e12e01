"""Faults of a process's disk: lost or damaged files, a full disk and failing operations."""

from __future__ import annotations

import shutil
from pathlib import Path

FILES = ("policy", "promise", "register")  # the files that the program writes
TEXT_OF_MISSING_FILE = b"torn"
KILL = "kill"  # a failure that ends the process in the middle of an operation
DEVICE_WITHOUT_ROOM = "/dev/full"


def disk_folder(folder: Path, name: str) -> Path:
    """Return the folder in which a process keeps its files."""
    return folder / f"{name}.disk"


def wipe(disk: Path) -> None:
    """Delete all files."""
    shutil.rmtree(disk, ignore_errors=True)


def tear_file(path: Path) -> None:
    """Truncate a file to half its length."""
    content = path.read_bytes() if path.exists() else TEXT_OF_MISSING_FILE
    path.write_bytes(content[: max(1, len(content) // 2)])


def _temporary_files(disk: Path) -> list[Path]:
    return [disk / f"{file}.new" for file in FILES]


def fill(disk: Path) -> None:
    """Fill the disk: the next write to each file fails with the system's own ENOSPC."""
    disk.mkdir(exist_ok=True)
    for path in _temporary_files(disk):
        path.unlink(missing_ok=True)
        path.symlink_to(DEVICE_WITHOUT_ROOM)


def is_full(disk: Path) -> bool:
    """Return whether the disk was filled and not freed since."""
    return any(path.is_symlink() for path in _temporary_files(disk))


def free(disk: Path) -> None:
    """Free disk space again."""
    for path in _temporary_files(disk):
        path.unlink(missing_ok=True)


def fail_operation(faults_path: Path, operation: str, number: str, failure: str) -> None:
    """Make the Nth operation from now fail; module `process` describes the file's format."""
    temporary_path = faults_path.with_suffix(".beside")
    temporary_path.write_text(f"{operation} {number} {failure}\n")
    temporary_path.replace(faults_path)
