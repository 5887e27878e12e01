"""Files that are whole or not there, and a folder that one process has to itself."""

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
def test_a_write_that_fails_leaves_what_stood(tmp_path, failing_step, monkeypatch):
    """The disk fails in the middle of a write. The old content stands, and a later write works."""
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
    "spoil",
    [
        lambda text: text[:-1],
        lambda text: text[:9],
        lambda text: b"",
        lambda text: text + b"x",
        lambda text: text.replace(b"1}", b"2}"),
    ],
)
def test_a_file_that_is_not_what_was_written_is_told_apart(tmp_path, spoil):
    """A file is cut, torn, empty or changed. It isn't read, and isn't taken for one never written."""
    store = DurableStore(tmp_path)
    store.write("x", {"n": 1})
    path = tmp_path / "x"
    path.write_bytes(spoil(path.read_bytes()))
    with pytest.raises(CorruptFileError) as caught:
        store.read("x")
    assert caught.value.path == path


def test_a_real_full_disk_is_told(tmp_path):
    """The system itself says that there is no room. The old content stands."""
    store = DurableStore(tmp_path)
    store.write("x", 1)
    (tmp_path / "x.new").symlink_to("/dev/full")
    with pytest.raises(OSError) as caught:
        store.write("x", 2)
    assert caught.value.errno == errno.ENOSPC and store.read("x") == 1


def test_a_file_that_grows_too_large_is_refused(tmp_path):
    """Somebody proposes a policy beyond all bounds. It isn't written, and the old content stands."""
    store = DurableStore(tmp_path)
    store.write("x", 1)
    with pytest.raises(OSError) as caught:
        store.write("x", "a" * MAX_FILE_BYTES)
    assert caught.value.errno == errno.EFBIG and store.read("x") == 1


def test_a_file_that_was_set_aside_is_kept_for_whoever_looks(tmp_path):
    """A damaged file is put out of the way. Its bytes are still there, under another name."""
    store = DurableStore(tmp_path)
    (tmp_path / "x").write_bytes(b"torn")
    store.set_aside("x")
    assert store.read("x") is None and (tmp_path / "x.damaged").read_bytes() == b"torn"


def test_a_write_is_forced_to_the_disk_with_its_folder(tmp_path, monkeypatch):
    """The machine loses power right after a write. File and name are found again, as both were forced."""
    store, forced = DurableStore(tmp_path), []

    def note(fd):
        forced.append(Path(os.readlink(f"/proc/self/fd/{fd}")))

    monkeypatch.setattr(store, "sync", note)
    store.write("x", 1)
    assert forced == [tmp_path / "x.new", tmp_path]


def open_once_read(path):
    """Opens a pipe to write, once somebody has it open to read."""
    until = time.monotonic() + 10
    while True:
        try:
            return os.open(path, os.O_WRONLY | os.O_NONBLOCK)
        except OSError as error:
            assert error.errno == errno.ENXIO and time.monotonic() < until
            time.sleep(0.005)


def test_a_folder_is_one_process_s_and_its_children_s(tmp_path):
    """A process is killed while its child writes. The next process gets the folder only when that child has
    ended, as the child would put an older file back."""
    first, second = DurableStore(tmp_path), DurableStore(tmp_path)
    assert first.lock() and not second.lock()
    writer = BackgroundWriter(Loop(), first)
    gates = [tmp_path / "gate"]
    os.mkfifo(gates[0])
    first.sync = lambda fd: gates and gates.pop().read_bytes()  # the child's disk takes its time
    writer.write("x", 1, lambda error: None)
    writer.loop.run_once(0)
    gate = open_once_read(gates[0])  # the child has closed what it doesn't need
    os.close(first.lock_fd)  # its process is gone
    assert not second.lock()
    os.close(gate)
    while writer.busy:
        writer.loop.run_once(10_000)
    assert second.lock()
    os.close(second.lock_fd)
