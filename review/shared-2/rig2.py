"""What the cases share: the balancer as a process, its platform, stand-ins and a record.

The stand-ins follow the protocol page. They run in the process of the case, the balancer runs as
a process of its own, started with the command of the deploy file.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from contextlib import suppress
from functools import partial
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
LOOPBACK = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
MICROSECONDS = 1_000_000
PASSED_DESCRIPTOR = 3


class CouldNotRunError(Exception):
    """The case could not be played, which says nothing about the rule."""


def with_trouble() -> bool:
    """Return whether the disruption is played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a TCP port of the loopback address that nobody listens on."""
    with socket.socket() as sock:
        sock.bind((LOOPBACK, 0))
        return int(sock.getsockname()[1])


class Record:
    """The file `record.txt` of a case: one line an event, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        """Begin an empty record."""
        self.file = (folder / "record.txt").open("w")
        self.begun = time.monotonic()

    def __call__(self, what: str, **fields: Any) -> None:
        """Write one line."""
        at = time.monotonic() - self.begun
        text = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{at:9.4f} {what} {text}".rstrip() + "\n")
        self.file.flush()


class Balancer:
    """One balancer process, started as the platform starts it."""

    def __init__(self, folder: Path, config: dict[str, Any], record: Record) -> None:
        """Write its configuration file."""
        self.folder = folder
        self.config = config
        self.record = record
        self.name = str(config["name"])
        self.path = folder / f"{self.name}.json"
        self.log = folder / f"{self.name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self.exit_code: int | None = None
        self.write_config()

    @property
    def port(self) -> int:
        """The port that its clients connect to."""
        return int(self.config["listen"].rpartition(":")[2])

    def write_config(self) -> None:
        """Write the configuration as it is now."""
        self.path.write_text(json.dumps(self.config))

    def start(self, passed: socket.socket | None = None) -> None:
        """Start it with `run` of the deploy file.

        With a passed socket it inherits the clients' listener as descriptor 3, and `$TMPDIR` is
        kept, as the platform does it on days with a new version.
        """
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        temporary = self.folder / f"{self.name}.tmp"
        if passed is None:
            shutil.rmtree(temporary, ignore_errors=True)
        temporary.mkdir(exist_ok=True)
        variables = {
            "GW_NAME": self.name,
            "GW_LISTEN": str(self.config["listen"]),
            "GW_DISCOVERY": str(self.config["discovery"]),
            "GW_CONFIG": str(self.path),
            "TMPDIR": str(temporary),
        }
        prepare: Callable[[], object] | None = None
        if passed is not None:
            prepare = partial(os.dup2, passed.fileno(), PASSED_DESCRIPTOR)
            variables["GW_PASSED_SOCKET"] = str(PASSED_DESCRIPTOR)
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                close_fds=passed is None,
                preexec_fn=prepare,
                cwd=ROOT,
                env={"PATH": os.environ.get("PATH", "/usr/bin:/bin"), **variables},
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record("balancer started", name=self.name)

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the program that `run` has started."""
        assert self.process
        self.record("signal", name=self.name, number=number.name)
        self.process.send_signal(number)

    def is_alive(self) -> bool:
        """Return whether it runs."""
        return self.process is not None and self.process.poll() is None

    def status_kb(self, field: str) -> int:
        """Return a figure of `/proc/PID/status` in KB, 0 if it has ended."""
        assert self.process
        with suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith(field + ":"):
                    return int(line.split()[1])
        return 0

    def stop(self) -> None:
        """End it, if it still runs."""
        if self.process and self.process.poll() is None:
            self.process.kill()
        if self.process:
            self.process.wait()

    def log_lines(self) -> list[str]:
        """Return what it has logged."""
        return self.log.read_text(errors="replace").splitlines() if self.log.exists() else []


async def until(condition: Callable[[], bool], seconds: float, what: str) -> None:
    """Wait for a condition, or raise `CouldNotRunError`."""
    end = time.monotonic() + seconds
    while not condition():
        if time.monotonic() > end:
            raise CouldNotRunError(what)
        await asyncio.sleep(0.01)


async def wait_ready(balancer: Balancer, seconds: float = 20.0) -> None:
    """Wait until `GET /up` is answered 200."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if not balancer.is_alive():
            raise CouldNotRunError("the balancer ended at its start")
        with suppress(OSError, asyncio.IncompleteReadError, ValueError):
            reader, writer = await asyncio.open_connection(LOOPBACK, balancer.port)
            writer.write(b"GET /up HTTP/1.1\r\nHost: service.internal\r\n\r\n")
            status, _, _ = await read_response(reader)
            writer.close()
            if status == 200:
                balancer.record("balancer ready", name=balancer.name)
                return
        await asyncio.sleep(0.05)
    raise CouldNotRunError("the balancer did not become ready")


# --- HTTP/1.1


async def read_head(reader: asyncio.StreamReader) -> tuple[str, dict[str, str]]:
    """Return the start line and the fields of a message, with their names in lower case."""
    text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    start, *lines = text.rstrip("\r\n").split("\r\n")
    fields = {}
    for line in lines:
        name, _, value = line.partition(":")
        fields[name.strip().lower()] = value.strip()
    return start, fields


async def read_body(reader: asyncio.StreamReader, fields: dict[str, str]) -> bytes:
    """Return a body with a length or in chunks."""
    if fields.get("transfer-encoding", "").lower() != "chunked":
        return await reader.readexactly(int(fields.get("content-length", "0")))
    body = b""
    while size := int((await reader.readline()).partition(b";")[0], 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    while (await reader.readline()).strip():
        pass
    return body


async def read_response(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Return the status, the fields and the body of a response."""
    start, fields = await read_head(reader)
    return int(start.split()[1]), fields, await read_body(reader, fields)


def response(status: int, body: bytes, *lines: str) -> bytes:
    """Return a whole response."""
    head = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}", *lines, "", ""]
    return "\r\n".join(head).encode() + body


class Request:
    """A request that a host has received whole."""

    def __init__(self, start: str, fields: dict[str, str], body: bytes) -> None:
        """Take its parts."""
        self.method, self.target, _ = start.split()
        self.fields = fields
        self.body = body
        self.id = fields.get("request-id", "")
        self.received = time.monotonic()


HostHandler = Callable[["HttpHost", Request, asyncio.StreamWriter], Awaitable[None]]


class HttpHost:
    """A cache host or the origin: reads requests, one at a time on a connection."""

    def __init__(self, name: str, kind: str, handler: HostHandler) -> None:
        """Give it its list entry and the function that answers."""
        self.name = name
        self.kind = kind
        self.handler = handler
        self.port = 0  # once it listens
        self.health = "Ready"
        self.born_ms = 0
        self.server: asyncio.Server | None = None

    def entry(self) -> dict[str, Any]:
        """Return its entry in discovery's list."""
        return {
            "host": self.name,
            "dial": f"{LOOPBACK}:{self.port}",
            "site": "a",
            "class": self.kind,
            "block": 1,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                start, fields = await read_head(reader)
                body = await read_body(reader, fields)
                await self.handler(self, Request(start, fields, body), writer)
                if writer.is_closing():
                    return
        writer.close()


class Discovery:
    """The agent of discovery: the whole list, and watches on changes."""

    def __init__(self, record: Record) -> None:
        """Begin with an empty list."""
        self.record = record
        self.port = free_port()
        self.hosts: dict[str, dict[str, Any]] = {}
        self.version = 1
        self.changed_at: dict[str, int] = {}
        self.news = asyncio.Event()
        self.silent = False
        self.muted: set[asyncio.StreamWriter] = set()  # watches that have fallen silent
        self.connections: set[asyncio.StreamWriter] = set()
        self.told: dict[str, list[tuple[float, str]]] = {}  # by host: when, and which state
        self.server: asyncio.Server | None = None

    def put(self, entry: dict[str, Any]) -> None:
        """Set the entry of a host, and tell all watches."""
        self.version += 1
        self.hosts[entry["host"]] = entry
        self.changed_at[entry["host"]] = self.version
        self.news.set()
        self.news = asyncio.Event()

    def mute_watches(self) -> None:
        """Have all open watches fall silent; new connections are served."""
        self.muted |= self.connections
        self.record("watches silent", count=len(self.muted))

    def whole(self) -> dict[str, Any]:
        """Return the whole list."""
        return {"seq": self.version, "whole": True, "hosts": list(self.hosts.values())}

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answer calls on one connection."""
        self.connections.add(writer)
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                start, _ = await read_head(reader)
                target = start.split()[1]
                query = dict(
                    part.split("=") for part in target.partition("?")[2].split("&") if "=" in part
                )
                answer = await self.answer(query)
                while writer in self.muted:
                    await asyncio.sleep(1)
                while self.silent:  # what it has to say is said when it is back
                    await asyncio.sleep(0.02)
                    answer = await self.answer(query)
                for entry in answer["hosts"]:
                    states = self.told.setdefault(entry["host"], [])
                    states.append((time.monotonic(), entry["health"]))
                if answer["hosts"]:
                    states_now = {entry["host"]: entry["health"] for entry in answer["hosts"]}
                    self.record("discovery told", seq=answer["seq"], states=states_now)
                writer.write(response(200, json.dumps(answer).encode()))
                await writer.drain()
        writer.close()

    async def answer(self, query: dict[str, str]) -> dict[str, Any]:
        """Return the answer to one call, after its wait."""
        if "after" not in query:
            return self.whole()
        after = int(query["after"])
        end = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while self.version <= after and time.monotonic() < end:
            with suppress(TimeoutError):
                await asyncio.wait_for(self.news.wait(), max(0.0, end - time.monotonic()))
        changed = [self.hosts[name] for name, seq in self.changed_at.items() if seq > after]
        return {"seq": self.version, "whole": False, "hosts": changed}


# --- a case


def run_case(play: Callable[[Record, Path], Awaitable[list[str]]], folder: Path) -> None:
    """Play a case and end with its exit code.

    Args:
        play: Plays it and returns how the rule was broken, one text a break.
        folder: The folder of the case, which gets the record.
    """
    # connections that are open at the end are dropped after the loop has been closed
    sys.unraisablehook = lambda unraisable: None
    record = Record(folder)
    record("case", trouble=int(with_trouble()))
    temporary = Path(tempfile.mkdtemp(prefix="case-"))
    try:
        breaks = asyncio.run(asyncio.wait_for(play(record, temporary), 115))
    except (CouldNotRunError, TimeoutError, OSError) as error:
        for log in temporary.glob("*.log"):
            for line in log.read_text(errors="replace").splitlines()[-5:]:
                record("log", file=log.name, line=line[:300])
        record("could not run", why=repr(error))
        print(f"could not run: {error!r}")
        sys.exit(NOT_RUN)
    finally:
        shutil.rmtree(temporary, ignore_errors=True)
    for text in breaks[:20]:
        record("BROKEN", how=text)
        print(f"broken: {text}")
    record("end", breaks=len(breaks))
    print(f"{len(breaks)} breaks")
    sys.exit(BROKEN if breaks else HELD)


def kochi_settings(classes: list[dict[str, Any]] | None = None) -> dict[str, Any]:
    """Return settings like those of kochi-roster, for a small fleet."""
    reads = {"effect": "retryable", "response-target": 500_000}
    return {
        "instances": 4,
        "kinds": ["full-node", "origin"],
        "family-info": {"mode": "aside", "origin-kind": 1},
        "registry-mode": "automatic",
        "ceilings": {
            "most-dispatches": 5,
            "may-cancel": True,
            "may-duplicate": True,
            "retry-after": True,
            "max-retry-after": 2_500_000,
            "connect-timeout": 100_000,
            "conn-idle": 30 * MICROSECONDS,
        },
        "guarantees": {"drain-grace": 250_000, "cold-from": 0.32, "warm-after": 8_900_000},
        "rule-sets": classes
        or [
            {"name": "roster-view", "client-timeout": 1_000_000, **reads},
            {"name": "volunteer-view", "client-timeout": 1_500_000, **reads},
            {
                "name": "shift-signup",
                "effect": "dedup",
                "group": "all",
                "repeat-window": 2_000_000,
                "response-target": 1_500_000,
                "client-timeout": 2_500_000,
            },
        ],
        "customers": [{"name": "sevanam", "share": 0.6}, {"name": "thanal-vol", "share": 0.4}],
    }


def balancer_config(discovery: Discovery, settings: dict[str, Any], **more: Any) -> dict[str, Any]:
    """Return the configuration of a balancer with the limits of the scored days."""
    return {
        "name": "n1",
        "listen": f"{LOOPBACK}:{free_port()}",
        "discovery": f"{LOOPBACK}:{discovery.port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": discovery.whole(),
        "settings": settings,
        **more,
    }
