"""Writes by child processes: what is done of many, and what is told where a child fails."""

import errno
import os
import time

import pytest

from orchidgap.net.loop import Loop
from orchidgap.state.background_writer import WRITER_ENDED, BackgroundWriter
from orchidgap.state.durable_store import DurableStore


def write_all(writer, *names):
    """Begins writes together; which of them ended and how, in the order they did."""
    ended = []
    for number, name in enumerate(names):
        writer.write(name, number, lambda error, number=number: ended.append((number, error)))
    while writer.busy:
        writer.loop.run_once(10_000)
    return ended


def test_of_writes_that_wait_only_the_latest_of_a_name_is_done(tmp_path):
    """Five writes of two files come at once. Each file is written once, with its latest content."""
    writer = BackgroundWriter(Loop(), DurableStore(tmp_path))
    assert write_all(writer, "a", "b", "a", "b", "a") == [(3, ""), (4, "")]
    assert (writer.store.read("a"), writer.store.read("b")) == (4, 3)


def test_a_child_that_cannot_write_says_why_and_one_that_dies_too(tmp_path, monkeypatch):
    """The disk is full; the child dies in the middle; no child can be made. Each is told in words."""
    writer = BackgroundWriter(Loop(), DurableStore(tmp_path))
    (tmp_path / "a.new").symlink_to("/dev/full")
    assert write_all(writer, "a") == [(0, "No space left on device")]
    monkeypatch.setattr(writer.store, "sync", lambda fd: os._exit(9))
    assert write_all(writer, "b") == [(0, WRITER_ENDED)]
    monkeypatch.setattr(os, "fork", lambda: (_ for _ in ()).throw(OSError(errno.EAGAIN, "no more")))
    assert write_all(writer, "c") == [(0, "no more")]


def test_the_loop_does_not_wait_for_a_child_that_is_long_about_its_end(tmp_path, monkeypatch):
    # A child that has no core after its report held up its balancer's loop, and with it all clients.
    end_process = os._exit
    monkeypatch.setattr(os, "_exit", lambda code: (time.sleep(0.5), end_process(code)))
    writer = BackgroundWriter(Loop(), DurableStore(tmp_path))
    assert write_all(writer, "a") == [(0, "")]
    assert writer.loop.longest_turn_us < 300_000
    with pytest.raises(ChildProcessError):  # none is left behind
        os.waitpid(-1, os.WNOHANG)
