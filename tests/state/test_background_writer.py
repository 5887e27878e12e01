"""Tests of writes by child processes: which queued ones are done, and what is reported on failure."""

import errno
import os
import time

import pytest

from orchidgap.net.loop import Loop
from orchidgap.state.background_writer import WRITER_EXITED, BackgroundWriter
from orchidgap.state.durable_store import DurableStore


def write_all(writer, *names):
    """Queues writes at the same time; returns the number and error of each that ended, in that order."""
    results = []
    for number, name in enumerate(names):
        writer.write(name, number, lambda error, number=number: results.append((number, error)))
    while writer.busy:
        writer.loop.run_once(10_000)
    return results


def test_only_the_latest_queued_write_of_a_name_is_done(tmp_path):
    """Five writes of two files are queued at once. Each file is written once, with its latest content."""
    writer = BackgroundWriter(Loop(), DurableStore(tmp_path))
    assert write_all(writer, "a", "b", "a", "b", "a") == [(3, ""), (4, "")]
    assert (writer.store.read("a"), writer.store.read("b")) == (4, 3)


def test_each_way_in_which_a_write_fails_is_reported(tmp_path, monkeypatch):
    """The disk is full; the child exits during the write; fork fails. Each is reported with its reason."""
    writer = BackgroundWriter(Loop(), DurableStore(tmp_path))
    (tmp_path / "a.new").symlink_to("/dev/full")
    assert write_all(writer, "a") == [(0, "No space left on device")]
    monkeypatch.setattr(writer.store, "sync", lambda fd: os._exit(9))
    assert write_all(writer, "b") == [(0, WRITER_EXITED)]
    monkeypatch.setattr(os, "fork", lambda: (_ for _ in ()).throw(OSError(errno.EAGAIN, "no more")))
    assert write_all(writer, "c") == [(0, "no more")]


def test_the_loop_does_not_block_on_a_child_that_exits_slowly(tmp_path, monkeypatch):
    # A child that got no CPU time after its report blocked its balancer's loop, and so all clients.
    exit_process = os._exit
    monkeypatch.setattr(os, "_exit", lambda code: (time.sleep(0.5), exit_process(code)))
    writer = BackgroundWriter(Loop(), DurableStore(tmp_path))
    assert write_all(writer, "a") == [(0, "")]
    assert writer.loop.longest_turn_us < 300_000
    with pytest.raises(ChildProcessError):  # no zombie process is left
        os.waitpid(-1, os.WNOHANG)
