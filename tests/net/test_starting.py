"""A signal that comes while the program starts."""

import signal

import orjson
from desk import Net

from orchidgap.net import serve, start
from orchidgap.net.loop import Loop
from orchidgap.parts import parts_of

GOOD = {"name": "n", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:1", "seed": "ff",
        "known": {"seq": 1, "whole": True, "hosts": [Net.entry(0)]},
        "settings": {"rule-sets": [{"name": "read", "effect": "retryable", "client-timeout": 900_000}]}}


def test_sighup_between_the_first_look_at_the_file_and_the_loop_is_heeded(tmp_path, monkeypatch):
    """Its default would have ended the process; heeded late, the new file counts all the same."""
    path, kept = tmp_path / "c", {number: signal.getsignal(number) for number in (1, 2, 15)}
    path.write_bytes(orjson.dumps(GOOD))
    read, nodes = start.read, []

    def reads(at, *more):
        station = read(at, *more)
        if not more:
            path.write_bytes(orjson.dumps(GOOD | {"settings": {"rule-sets": [
                {"name": "later", "effect": "retryable", "client-timeout": 900_000}]}}))
            signal.raise_signal(signal.SIGHUP)
        return station._replace(listen=("127.0.0.1", 0))

    class Once(Loop):
        def run(self):
            for _ in range(4):
                self.turn(0)

    class Seen(serve.Node):
        def start(self):
            nodes.append(self)
            super().start()

    monkeypatch.setattr(start, "read", reads)
    monkeypatch.setattr(serve, "Loop", Once)
    monkeypatch.setattr(serve, "Node", Seen)
    try:
        serve.serve(str(path), parts_of)
    finally:
        signal.set_wakeup_fd(-1)
        for number, handler in kept.items():
            signal.signal(number, handler)
    assert nodes[0].knows("later") and not nodes[0].knows("read")
    nodes[0].clients.listener.close()
