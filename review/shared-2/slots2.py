"""Stand-ins for the cluster dialect of RESP: slot servers, and a client's side of the protocol."""

from __future__ import annotations

import asyncio
import time
from binascii import crc_hqx
from collections.abc import Awaitable, Callable
from contextlib import suppress

import rig2

SLOTS = 16_384
READ_LIMIT = 1 << 23


def slot_of(key: bytes) -> int:
    """Return the slot of a key without a hash tag."""
    return crc_hqx(key, 0) % SLOTS


def command(*words: bytes) -> bytes:
    """Return an encoded command."""
    parts = [b"*%d\r\n" % len(words)]
    for word in words:
        parts += [b"$%d\r\n" % len(word), word, b"\r\n"]
    return b"".join(parts)


def bulk(text: bytes) -> bytes:
    """Return an encoded bulk string."""
    return b"$%d\r\n%b\r\n" % (len(text), text)


async def read_words(reader: asyncio.StreamReader) -> list[bytes]:
    """Return the words of the next command."""
    count = int((await reader.readuntil(b"\r\n"))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(b"\r\n"))[1:])
        words.append((await reader.readexactly(size + 2))[:-2])
    return words


async def read_reply(reader: asyncio.StreamReader) -> bytes:
    """Return the next reply: a line, or the content of a bulk string."""
    line = (await reader.readuntil(b"\r\n"))[:-2]
    if line[:1] != b"$" or line == b"$-1":
        return line
    return (await reader.readexactly(int(line[1:]) + 2))[:-2]


Served = Callable[["SlotServer", list[bytes]], Awaitable[bytes]]


class SlotServer:
    """One slot server: it knows the map, and answers commands of a connection in their order."""

    def __init__(self, name: str, serve_command: Served) -> None:
        """Give it the function that answers keyed commands."""
        self.name = name
        self.serve_command = serve_command
        self.port = rig2.free_port()
        self.first, self.last = 0, -1
        self.peers: list[SlotServer] = [self]
        self.health = "Ready"
        self.received: list[tuple[float, bytes, bytes]] = []  # when, the command's name, its key
        self.server: asyncio.Server | None = None

    def entry(self) -> dict[str, object]:
        """Return its entry in discovery's list."""
        return {
            "host": self.name,
            "dial": f"{rig2.LOOPBACK}:{self.port}",
            "site": "a",
            "class": "slots",
            "block": 1,
            "health": self.health,
            "share": 1.0,
            "born_ms": 0,
        }

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(
            self.serve, rig2.LOOPBACK, self.port, limit=READ_LIMIT
        )

    def slot_map(self) -> bytes:
        """Return the answer to CLUSTER SLOTS."""
        rows = []
        for peer in self.peers:
            if peer.first <= peer.last:
                server = b"*3\r\n" + bulk(rig2.LOOPBACK.encode()) + b":%d\r\n" % peer.port
                server += bulk(peer.name.encode())
                rows.append(b"*3\r\n:%d\r\n:%d\r\n" % (peer.first, peer.last) + server)
        return b"*%d\r\n" % len(rows) + b"".join(rows)

    def owner_of(self, slot: int) -> SlotServer:
        """Return the server that owns a slot."""
        return next(peer for peer in self.peers if peer.first <= slot <= peer.last)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection; commands run beside each other, replies keep their order."""
        answers: asyncio.Queue[asyncio.Task[bytes]] = asyncio.Queue()
        writing = asyncio.create_task(self.write_answers(answers, writer))
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                words = await read_words(reader)
                answers.put_nowait(asyncio.create_task(self.reply(words)))
        writing.cancel()
        writer.close()

    async def write_answers(
        self, answers: asyncio.Queue[asyncio.Task[bytes]], writer: asyncio.StreamWriter
    ) -> None:
        """Write the replies of one connection in the order of its commands."""
        with suppress(OSError):
            while True:
                writer.write(await (await answers.get()))
                await writer.drain()

    async def reply(self, words: list[bytes]) -> bytes:
        """Return the reply to one command."""
        name = words[0].upper()
        if name == b"CLUSTER":
            return self.slot_map()
        if name in (b"AUTH", b"ASKING", b"PING"):
            return b"+OK\r\n"
        self.received.append((time.monotonic(), name, words[1]))
        owner = self.owner_of(slot_of(words[1]))
        if owner is not self:
            address = f"{rig2.LOOPBACK}:{owner.port}"
            return f"-MOVED {slot_of(words[1])} {address}\r\n".encode()
        return await self.serve_command(self, words)


def share_slots(servers: list[SlotServer]) -> None:
    """Give each server an equal part of all slots."""
    for index, server in enumerate(servers):
        server.peers = servers
        server.first = index * SLOTS // len(servers)
        server.last = (index + 1) * SLOTS // len(servers) - 1


def resp_settings() -> dict[str, object]:
    """Return settings like those of kochi-roster, for commands."""
    reads = {"name": "roster-view", "effect": "retryable", "response-target": 500_000}
    writes = {"name": "shift-signup", "effect": "fragile", "response-target": 1_500_000}
    return {
        "instances": 4,
        "ceilings": {
            "most-dispatches": 5,
            "may-cancel": True,
            "may-duplicate": True,
            "retry-after": True,
            "max-retry-after": 2_500_000,
            "connect-timeout": 100_000,
        },
        "guarantees": {"drain-grace": 250_000},
        "rule-sets": [
            {**reads, "client-timeout": 1_000_000},
            {**writes, "client-timeout": 2_500_000},
        ],
    }


def resp_part(servers: list[SlotServer]) -> dict[str, object]:
    """Return the part `resp` of a balancer's configuration."""
    return {
        "seeds": [f"{rig2.LOOPBACK}:{server.port}" for server in servers],
        "read": "roster-view",
        "write": "shift-signup",
        "timeout-ms": 2_500,
        "tenant": "sevanam",
    }


async def wait_serving(balancer: rig2.Balancer, seconds: float = 20.0) -> None:
    """Wait until the balancer answers a PING and the map of the servers has arrived."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if not balancer.is_alive():
            raise rig2.CouldNotRunError("the balancer ended at its start")
        with suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(rig2.LOOPBACK, balancer.port)
            writer.write(command(b"GET", b"ready"))
            reply = await asyncio.wait_for(read_reply(reader), 3)
            writer.close()
            if not reply.startswith(b"-"):
                balancer.record("balancer ready", name=balancer.name)
                return
        await asyncio.sleep(0.05)
    raise rig2.CouldNotRunError("the balancer did not become ready")
