"""Tests of atomic, durable files and of the lock on a process's folder."""

import errno
import os
import time
from pathlib import Path

import pytest

from orchidgap.net.loop import Loop
from orchidgap.state.background_writer import BackgroundWriter
from orchidgap.state.durable_store import MAX_FILE_BYTES, CorruptFileError, DurableStore

WRITE_STEPS = ["open_file", "write_some", "sync", "rename"]


@pytest.mark.parametrize("failing_step", WRITE_STEPS)
def test_a_failed_write_leaves_the_old_content(tmp_path, failing_step, monkeypatch):
    """The disk fails during a write. The old content is unchanged, and a later write succeeds."""
    store = DurableStore(tmp_path)
    store.write("x", {"n": 1})

    def fail(*_):
        raise OSError(errno.EIO, os.strerror(errno.EIO))

    with monkeypatch.context() as patch:
        patch.setattr(store, failing_step, fail)
        with pytest.raises(OSError):
            store.write("x", {"n": 2})
    assert store.read("x") == {"n": 1}
    store.write("x", {"n": 3})
    assert store.read("x") == {"n": 3} and store.read("never") is None


@pytest.mark.parametrize(
    "corrupt",
    [
        lambda text: text[:-1],
        lambda text: text[:9],
        lambda text: b"",
        lambda text: text + b"x",
        lambda text: text.replace(b"1}", b"2}"),
    ],
)
def test_a_corrupt_file_is_detected(tmp_path, corrupt):
    """A file is truncated, torn, empty or modified. Reading it raises, and does not report a missing file."""
    store = DurableStore(tmp_path)
    store.write("x", {"n": 1})
    path = tmp_path / "x"
    path.write_bytes(corrupt(path.read_bytes()))
    with pytest.raises(CorruptFileError) as caught:
        store.read("x")
    assert caught.value.path == path


def test_a_full_disk_raises_the_systems_error(tmp_path):
    """The operating system reports that the disk is full. The old content is unchanged."""
    store = DurableStore(tmp_path)
    store.write("x", 1)
    (tmp_path / "x.new").symlink_to("/dev/full")
    with pytest.raises(OSError) as caught:
        store.write("x", 2)
    assert caught.value.errno == errno.ENOSPC and store.read("x") == 1


def test_a_file_that_is_too_large_is_refused(tmp_path):
    """A policy is proposed that exceeds the size limit. It is not written, and the old content is unchanged."""
    store = DurableStore(tmp_path)
    store.write("x", 1)
    with pytest.raises(OSError) as caught:
        store.write("x", "a" * MAX_FILE_BYTES)
    assert caught.value.errno == errno.EFBIG and store.read("x") == 1


def test_a_file_that_was_set_aside_is_kept_for_inspection(tmp_path):
    """A damaged file is renamed. Its bytes are kept under the new name."""
    store = DurableStore(tmp_path)
    (tmp_path / "x").write_bytes(b"torn")
    store.set_aside("x")
    assert store.read("x") is None and (tmp_path / "x.damaged").read_bytes() == b"torn"


def test_a_write_syncs_the_file_and_its_folder(tmp_path, monkeypatch):
    """The machine loses power right after a write. The file and its name survive, as both were synced."""
    store, synced = DurableStore(tmp_path), []

    def record_sync(fd):
        synced.append(Path(os.readlink(f"/proc/self/fd/{fd}")))

    monkeypatch.setattr(store, "sync", record_sync)
    store.write("x", 1)
    assert synced == [tmp_path / "x.new", tmp_path]


def open_when_read(path):
    """Opens a named pipe for writing, once another process has opened it for reading."""
    until = time.monotonic() + 10
    while True:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            assert error.errno == errno.ENXIO and time.monotonic() < until
            time.sleep(0.005)


def test_a_folder_stays_locked_until_the_process_and_its_children_have_exited(tmp_path):
    """A process is killed while its child writes. The next process gets the lock only after that child has
    exited, as the child could overwrite a newer file with an older one."""
    first, second = DurableStore(tmp_path), DurableStore(tmp_path)
    assert first.lock() and not second.lock()
    writer = BackgroundWriter(Loop(), first)
    pipes = [tmp_path / "pipe"]
    os.mkfifo(pipes[0])
    first.sync = lambda fd: (
        pipes and pipes.pop().read_bytes()
    )  # blocks the child's sync until the pipe closes
    writer.write("x", 1, lambda error: None)
    writer.loop.run_once(0)
    pipe = open_when_read(pipes[0])  # by now the child has closed the other descriptors
    os.close(first.lock_fd)  # as if the first process had exited
    assert not second.lock()
    os.close(pipe)
    while writer.busy:
        writer.loop.run_once(10_000)
    assert second.lock()
    os.close(second.lock_fd)
