"""The event log with a reader that does not read."""

import os

import orjson

from orchidgap.net.event_log import EventLog


def test_a_log_that_is_not_read_drops_lines_and_does_not_block():
    """The log's pipe is not read. Lines are dropped and counted, and the event loop never blocks
    on them.
    """
    far, near = os.pipe()
    log = EventLog("n", near)
    for _ in range(3000):
        log("mode", what="x" * 100)
    assert log.dropped
    os.read(far, 1 << 20)
    log("later")
    assert orjson.loads(os.read(far, 1 << 20).splitlines()[-1])["dropped"] and not log.dropped
    log("long", what="x" * 10_000)
    assert len(os.read(far, 1 << 20)) < 4_000
    os.close(far)
    log("none")
    os.close(near)
