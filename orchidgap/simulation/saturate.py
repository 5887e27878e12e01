"""Measures the maximum throughput of one balancer, compared with two relays that do less work.

`orchidgap saturate` starts simulated hosts, clients and the measured program as processes on loopback.
It measures in turn `balancer` (the program), `relay` (its network code with a fixed host for each key and
no decisions) and `bytes` (the same event loop and connections, forwarding bytes without parsing them).
Clients send the next request as soon as the previous one is answered: this measures cost, not service.
CPU time is that of the measured process, as counted by the kernel.
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

from orchidgap.composition import create_protocol
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
LISTEN_ADDRESS: Address = ("127.1.9.1", 7070)
DISCOVERY_ADDRESS: Address = ("127.3.9.1", 8500)
KINDS = ("balancer", "relay", "bytes")
BODY = b"v" * 200
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(BODY) + BODY


def host_address(number: int) -> Address:
    """Return the address of the host with this number."""
    return f"127.2.9.{number + 1}", 7071


class Relay:
    """Has the interface of `Balancer` but makes no decisions: a key's hash selects its host."""

    def __init__(self, settings: Any, port: Any, seed: int, now: int) -> None:
        """Start without hosts."""
        from random import Random

        self.port, self.rng, self.now = port, Random(seed), now
        self.ids: list[str] = []

    def on_hosts(self, scope: str, entries: Any) -> None:
        """Use the caches of a whole list; ignore changes."""
        if scope in ("whole", "recalled"):
            self.ids = sorted(entry[0] for entry in entries if entry[4] != "origin")

    def on_request(
        self,
        request_id: int,
        time_remaining_us: int,
        is_write: bool,
        request_class: str,
        key: int | None,
        tenant: str,
        *rest: Any,
    ) -> None:
        """Send the request to the host that its key's hash selects."""
        self.port.dispatch(request_id, self.ids[crc_hqx(b"%d" % (key or 0), 0) % len(self.ids)])

    def on_outcome(self, request_id: int, number: int, outcome: str, answered: bool) -> None:
        """Abort a request whose attempt did not give the client its final answer."""
        if not answered:
            self.port.abort(request_id)

    def on_client_disconnect(self, request_id: int) -> None: ...

    def on_wake(self, token: int) -> None: ...


class ImmediateHost:
    """A host that has every key and answers at once."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self.conn = Connection(loop, sock, self)

    def on_connected(self) -> None: ...

    def on_data(self, view: memoryview) -> None:
        if bytes(view[-4:]) == b"\r\n\r\n":
            self.conn.send(ANSWER)

    def on_closed(self, reason: str) -> None: ...


class StaticDiscovery:
    """A discovery service whose host list never changes."""

    def __init__(self, loop: Loop, sock: socket.socket) -> None:
        self.loop, self.reader = loop, RequestReader()
        self.conn = Connection(loop, sock, self)

    def on_connected(self) -> None: ...

    def on_data(self, view: memoryview) -> None:
        self.reader.feed(view)
        if self.reader.message.complete:
            watch = b"after=" in self.reader.message.target
            self.reader.advance()
            self.loop.call_later(1_000_000 if watch else 0, self.send_list, not watch)

    def send_list(self, whole: bool) -> None:
        """Send the whole list, or a list without changes."""
        body = orjson.dumps(
            {"seq": 1, "whole": whole, "hosts": endpoint_list()["hosts"] if whole else []}
        )
        if self.conn.is_open:
            self.conn.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body)

    def on_closed(self, reason: str) -> None: ...


class ForwardingConnection:
    """One end of a pair of connections; forwards what it reads to the other end."""

    def __init__(
        self, loop: Loop, sock: socket.socket, other: ForwardingConnection | None = None
    ) -> None:
        self.conn = Connection(loop, sock, self, opening=other is not None)
        if other is None:
            dialled = dial(host_address(sock.fileno() % HOSTS))
            if isinstance(dialled, AttemptFailure):
                self.conn.close()
                return
            other = ForwardingConnection(loop, dialled, self)
        self.other = other

    def on_connected(self) -> None: ...

    def on_data(self, view: memoryview) -> None:
        self.other.conn.send(bytes(view))

    def on_closed(self, reason: str) -> None:
        self.other.conn.close()


class ContinuousClient:
    """A client that sends the next request as soon as the previous one is answered."""

    def __init__(self, loop: Loop, sock: socket.socket, number: int, counts: list[int]) -> None:
        self.loop, self.number, self.counts, self.left = loop, number, counts, 0
        self.reader = ResponseReader()
        self.count = 0
        self.conn = Connection(loop, sock, self, opening=True)

    def on_connected(self) -> None:
        self.send_request()

    def send_request(self) -> None:
        """Send a read of the next key."""
        self.count += 1
        key = (self.number * 7919 + self.count * 104_729) % 5_000
        self.conn.send(
            b"GET /view/k%d HTTP/1.1\r\nHost: s\r\nRequest-Id: c%d-%d\r\nRequest-Class: view\r\n"
            b"Tenant: north\r\nRequest-Timeout: 1.500\r\n\r\n" % (key, self.number, self.count)
        )

    def on_data(self, view: memoryview) -> None:
        self.reader.feed(view)
        if self.reader.message.complete:
            self.counts[0 if self.reader.message.status == 200 else 1] += 1
            self.reader.reset()
            self.send_request()

    def on_closed(self, reason: str) -> None:
        self.counts[1] += 1


def endpoint_list() -> dict[str, Any]:
    """Return the host list: `HOSTS` caches and one origin."""
    hosts = [
        {
            "host": f"c{i}",
            "dial": format_address(host_address(i)),
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
    """Return the configuration of the measured balancer."""
    return {
        "name": "b0",
        "listen": format_address(LISTEN_ADDRESS),
        "discovery": format_address(DISCOVERY_ADDRESS),
        "seed": "7",
        "limits": {"memory_mb": 192, "sockets": 1024},
        "known": endpoint_list(),
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


def discard(owner: object) -> None:
    """Discard a connection's owner: the callbacks of its connection keep a reference to it."""


def run_hosts() -> None:
    """Run the hosts and the discovery service until the process is killed."""
    network = LoopbackNetwork()
    for i in range(HOSTS + 1):
        network.listen(
            host_address(i), lambda sock, who: discard(ImmediateHost(network.loop, sock))
        )
    network.listen(
        DISCOVERY_ADDRESS, lambda sock, who: discard(StaticDiscovery(network.loop, sock))
    )
    network.loop.run()


def run_measured(kind: str, path: str) -> None:
    """Run the measured program; `path` is its configuration file."""
    if kind == "balancer":
        return serve(path, create_protocol)
    if kind == "relay":
        return serve(path, create_protocol, Relay)
    network = LoopbackNetwork()
    network.listen(
        LISTEN_ADDRESS, lambda sock, who: discard(ForwardingConnection(network.loop, sock))
    )
    network.loop.run()


def run_clients(seconds: int) -> None:
    """Print the numbers of successful and failed requests after `seconds`.

    A warm-up of a quarter of that time precedes, whose requests do not count.
    """
    loop, counts = Loop(), [0, 0]  # successful, failed
    for number in range(CONNECTIONS):
        dialled = dial(LISTEN_ADDRESS)
        if not isinstance(dialled, AttemptFailure):
            ContinuousClient(loop, dialled, number, counts)
    until = loop.clock() + seconds * 250_000
    while loop.clock() < until:
        loop.run_once(100_000)
    print("begun", flush=True)
    counts[0] = counts[1] = 0
    began = loop.clock()
    while loop.clock() < began + seconds * 1_000_000:
        loop.run_once(100_000)
    print(
        json.dumps({"done": counts[0], "failed": counts[1], "took": loop.clock() - began}),
        flush=True,
    )


def start_process(*args: str, **more: Any) -> subprocess.Popen[bytes]:
    """Start this module as a process with these arguments."""
    return subprocess.Popen([sys.executable, "-m", "orchidgap.simulation.saturate", *args], **more)


def wait_for_listener(address: Address) -> None:
    """Wait up to 10 s until a process listens; raise RuntimeError if none does."""
    until = time.monotonic() + 10
    while time.monotonic() < until:
        try:
            with socket.create_connection(address, 0.2):
                return
        except OSError:
            time.sleep(0.02)
    raise RuntimeError(f"no process listens on {format_address(address)}")


def measure(kind: str, path: str, seconds: int) -> dict[str, float]:
    """Return requests per second and microseconds of CPU time per request of one kind of program."""
    measured = start_process("front", kind, path, stderr=subprocess.DEVNULL)
    clients = None
    try:
        wait_for_listener(LISTEN_ADDRESS)
        clients = start_process("clients", str(seconds), stdout=subprocess.PIPE)
        assert clients.stdout
        clients.stdout.readline()
        before = cpu_seconds_of(measured.pid)
        result = json.loads(clients.stdout.readline())
        spent = cpu_seconds_of(measured.pid) - before
        return {
            "reqs_a_second": round(result["done"] / result["took"] * 1e6),
            "cpu_us_a_req": round(spent * 1e6 / max(1, result["done"]), 1),
            "failed": result["failed"],
        }
    finally:
        for process in (clients, measured):
            if process:
                process.send_signal(signal.SIGKILL)
                process.wait()


def main(console: Console, seconds: int) -> int:
    """Measure all kinds of programs for `seconds` each, print the results and return 0."""
    rows: dict[str, dict[str, float]] = {}
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "balancer.json"
        path.write_text(json.dumps(configuration()))
        hosts = start_process("hosts")
        try:
            wait_for_listener(DISCOVERY_ADDRESS)
            for kind in KINDS:
                rows[kind] = measure(kind, str(path), max(1, seconds))
        finally:
            hosts.kill()
            hosts.wait()
    table = Table(
        title=f"{CONNECTIONS} clients that send requests without pause", title_justify="left"
    )
    for name in ("program", "requests/s", "CPU us/request", "failed", "CPU relative to bytes"):
        table.add_column(name, justify="right")
    baseline = rows["bytes"]["cpu_us_a_req"] or 1.0
    for kind, row in rows.items():
        table.add_row(
            kind, *(str(value) for value in row.values()), f"{row['cpu_us_a_req'] / baseline:.2f}"
        )
    console.print(table)
    print(orjson.dumps(rows).decode())
    return 0


if __name__ == "__main__":
    role = sys.argv[1]
    if role == "hosts":
        run_hosts()
    elif role == "front":
        run_measured(sys.argv[2], sys.argv[3])
    else:
        run_clients(int(sys.argv[2]))
