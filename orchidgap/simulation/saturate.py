"""What one balancer takes at most, beside a relay with no decisions and one that does not even parse.

`orchidgap saturate` starts stand-in hosts, clients and what is measured as processes on loopback, in turn:
`balancer` (the program), `relay` (its network code, a fixed host for every key, no decisions) and `bytes`
(the same loop and connections, what comes in goes out unread). Clients ask again as soon as they are served:
this measures cost, not service. CPU is the process's own, as the system counts it.
"""

from __future__ import annotations

import json
import signal
import socket
import subprocess
import sys
import tempfile
import time
from binascii import crc_hqx
from pathlib import Path
from typing import Any

import orjson
from rich.console import Console
from rich.table import Table

from orchidgap.composition import protocol_for
from orchidgap.http1.readers import RequestReader, ResponseReader
from orchidgap.net.addresses import Address, format_address
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection
from orchidgap.net.dialing import dial
from orchidgap.net.loop import Loop
from orchidgap.net.server import serve
from orchidgap.simulation.loopback_network import LoopbackNetwork, cpu_seconds_of

HOSTS = 3
CONNECTIONS = 64
FRONT: Address = ("127.1.9.1", 7070)
AGENT: Address = ("127.3.9.1", 8500)
KINDS = ("balancer", "relay", "bytes")
BODY = b"v" * 200
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY


def host_of(number: int) -> Address:
    return f"127.2.9.{number + 1}", 7071


class Relay:
    """Has the face of a decider and decides nothing: a key's hash names its host."""

    def __init__(self, terms: Any, port: Any, seed: int, now: int) -> None:
        from random import Random

        self.port, self.rng, self.now = port, Random(seed), now
        self.ids: list[str] = []

    def on_hosts(self, scope: str, entries: Any) -> None:
        if scope in ("whole", "recalled"):
            self.ids = sorted(entry[0] for entry in entries if entry[4] != "origin")

    def on_request(
        self,
        id: int,
        left: int,
        write: bool,
        rule_set: str,
        key: int | None,
        tenant: str,
        *rest: Any,
    ) -> None:
        self.port.dispatch(id, self.ids[crc_hqx(b"%d" % (key or 0), 0) % len(self.ids)])

    def on_outcome(self, id: int, number: int, verdict: str, over: bool) -> None:
        if not over:
            self.port.abort(id)

    def on_client_disconnect(self, id: int) -> None: ...

    def on_wake(self, token: int) -> None: ...


class Answering:
    """A host that has every key and no work to do."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self.conn = Connection(loop, sock, self)

    def opened(self) -> None: ...

    def received(self, view: memoryview) -> None:
        if bytes(view[-4:]) == b"\r\n\r\n":
            self.conn.send(ANSWER)

    def ended(self, what: str) -> None: ...


class Telling:
    """Discovery that has nothing new to tell."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self.loop, self.reader = loop, RequestReader()
        self.conn = Connection(loop, sock, self)

    def opened(self) -> None: ...

    def received(self, view: memoryview) -> None:
        self.reader.feed(view)
        if self.reader.message.complete:
            watch = b"after=" in self.reader.message.target
            self.reader.advance()
            self.loop.call_later(1_000_000 if watch else 0, self.tell, not watch)

    def tell(self, whole: bool) -> None:
        body = orjson.dumps({"seq": 1, "whole": whole, "hosts": known()["hosts"] if whole else []})
        if self.conn.is_open:
            self.conn.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body)

    def ended(self, what: str) -> None: ...


class Passing:
    """One end of a pair of connections: what it reads is written on the other."""

    def __init__(self, loop: Loop, sock: socket.socket, other: Passing | None = None) -> None:
        self.conn = Connection(loop, sock, self, opening=other is not None)
        if other is None:
            came = dial(host_of(sock.fileno() % HOSTS))
            if isinstance(came, AttemptFailure):
                self.conn.close()
                return
            other = Passing(loop, came, self)
        self.other = other

    def opened(self) -> None: ...

    def received(self, view: memoryview) -> None:
        self.other.conn.send(bytes(view))

    def ended(self, what: str) -> None:
        self.other.conn.close()


class Asking:
    """A client that asks again as soon as it is answered."""

    def __init__(self, loop: Loop, sock: socket.socket, number: int, done: list[int]) -> None:
        self.loop, self.number, self.done, self.left = loop, number, done, 0
        self.reader = ResponseReader()
        self.count = 0
        self.conn = Connection(loop, sock, self, opening=True)

    def opened(self) -> None:
        self.ask()

    def ask(self) -> None:
        self.count += 1
        key = (self.number * 7919 + self.count * 104_729) % 5_000
        self.conn.send(
            b"GET /view/k%d HTTP/1.1\r\nHost: s\r\nRequest-Id: c%d-%d\r\nRequest-Class: view\r\n"
            b"Tenant: north\r\nRequest-Timeout: 1.500\r\n\r\n" % (key, self.number, self.count)
        )

    def received(self, view: memoryview) -> None:
        self.reader.feed(view)
        if self.reader.message.complete:
            self.done[0 if self.reader.message.status == 200 else 1] += 1
            self.reader.reset()
            self.ask()

    def ended(self, what: str) -> None:
        self.done[1] += 1


def known() -> dict[str, Any]:
    hosts = [
        {
            "host": f"c{i}",
            "dial": format_address(host_of(i)),
            "site": "z",
            "class": "origin" if i == HOSTS else "cache",
            "block": i,
            "health": "Ready",
            "share": 1.0,
            "born_ms": 0,
        }
        for i in range(HOSTS + 1)
    ]
    return {"seq": 1, "whole": True, "hosts": hosts}


def configuration() -> dict[str, Any]:
    return {
        "name": "b0",
        "listen": format_address(FRONT),
        "discovery": format_address(AGENT),
        "seed": "7",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": known(),
        "settings": {
            "kinds": ["cache", "origin"],
            "family-info": {"mode": "aside", "origin-kind": 1},
            "customers": [{"name": "north", "share": 1.0}],
            "ceilings": {"may-cancel": True, "most-dispatches": 4},
            "rule-sets": [
                {
                    "name": "view",
                    "effect": "retryable",
                    "response-target": 500_000,
                    "client-timeout": 1_500_000,
                }
            ],
        },
    }


def void(owner: object) -> None:
    """An owner keeps itself, by the callbacks of its connection."""


def run_hosts() -> None:
    network = LoopbackNetwork()
    for i in range(HOSTS + 1):
        network.listen(host_of(i), lambda sock, who: void(Answering(network.loop, sock)))
    network.listen(AGENT, lambda sock, who: void(Telling(network.loop, sock)))
    network.loop.run()


def run_front(kind: str, path: str) -> None:
    if kind == "balancer":
        return serve(path, protocol_for)
    if kind == "relay":
        return serve(path, protocol_for, Relay)
    network = LoopbackNetwork()
    network.listen(FRONT, lambda sock, who: void(Passing(network.loop, sock)))
    network.loop.run()


def run_clients(seconds: int) -> None:
    """Prints done and failed reqs once the time is up; a quarter of it goes before, uncounted."""
    loop, done = Loop(), [0, 0]
    for number in range(CONNECTIONS):
        came = dial(FRONT)
        if not isinstance(came, AttemptFailure):
            Asking(loop, came, number, done)
    until = loop.clock() + seconds * 250_000
    while loop.clock() < until:
        loop.run_once(100_000)
    print("begun", flush=True)
    done[0] = done[1] = 0
    began = loop.clock()
    while loop.clock() < began + seconds * 1_000_000:
        loop.run_once(100_000)
    print(
        json.dumps({"done": done[0], "failed": done[1], "took": loop.clock() - began}), flush=True
    )


def part(*args: str, **more: Any) -> subprocess.Popen[bytes]:
    return subprocess.Popen([sys.executable, "-m", "orchidgap.simulation.saturate", *args], **more)


def await_door(address: Address) -> None:
    until = time.monotonic() + 10
    while time.monotonic() < until:
        try:
            with socket.create_connection(address, 0.2):
                return
        except OSError:
            time.sleep(0.02)
    raise RuntimeError(f"nobody listens on {format_address(address)}")


def measure(kind: str, path: str, seconds: int) -> dict[str, float]:
    """Reqs a second and microseconds of CPU a req of one kind."""
    front = part("front", kind, path, stderr=subprocess.DEVNULL)
    clients = None
    try:
        await_door(FRONT)
        clients = part("clients", str(seconds), stdout=subprocess.PIPE)
        assert clients.stdout
        clients.stdout.readline()
        before = cpu_seconds_of(front.pid)
        told = json.loads(clients.stdout.readline())
        spent = cpu_seconds_of(front.pid) - before
        return {
            "reqs_a_second": round(told["done"] / told["took"] * 1e6),
            "cpu_us_a_req": round(spent * 1e6 / max(1, told["done"]), 1),
            "failed": told["failed"],
        }
    finally:
        for process in (clients, front):
            if process:
                process.send_signal(signal.SIGKILL)
                process.wait()


def main(console: Console, seconds: int) -> int:
    rows: dict[str, dict[str, float]] = {}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "balancer.json"
        path.write_text(json.dumps(configuration()))
        hosts = part("hosts")
        try:
            await_door(AGENT)
            for kind in KINDS:
                rows[kind] = measure(kind, str(path), max(1, seconds))
        finally:
            hosts.kill()
            hosts.wait()
    table = Table(title=f"{CONNECTIONS} clients that ask without pause", title_justify="left")
    for name in ("what", "reqs a second", "CPU us a req", "failed", "CPU beside bytes"):
        table.add_column(name, justify="right")
    least = rows["bytes"]["cpu_us_a_req"] or 1.0
    for kind, row in rows.items():
        table.add_row(
            kind, *(str(value) for value in row.values()), f"{row['cpu_us_a_req'] / least:.2f}"
        )
    console.print(table)
    print(orjson.dumps(rows).decode())
    return 0


if __name__ == "__main__":
    role = sys.argv[1]
    if role == "hosts":
        run_hosts()
    elif role == "front":
        run_front(sys.argv[2], sys.argv[3])
    else:
        run_clients(int(sys.argv[2]))
