"""Slot servers and clients of the cluster dialect of RESP, from its public specification."""

from __future__ import annotations

import asyncio
import time
from binascii import crc_hqx
from contextlib import suppress
from typing import Any

SLOT_COUNT = 16_384
STREAM_LIMIT = 1 << 26
Reply = Any  # bytes of a simple string, int, None, list, bulk bytes, or ErrorReply


class ErrorReply(Exception):  # noqa: N818 - the field's own term
    """An error reply of the balancer or of a server."""


def slot_of(key: bytes) -> int:
    """Returns the slot of a key without a hash tag."""
    return crc_hqx(key, 0) % SLOT_COUNT


def encode(*words: bytes) -> bytes:
    """Returns a command as an array of bulk strings."""
    parts = [b"*%d\r\n" % len(words)]
    parts += [b"$%d\r\n%b\r\n" % (len(word), word) for word in words]
    return b"".join(parts)


def bulk(value: bytes | None) -> bytes:
    """Returns a bulk string, or the null of RESP 2."""
    return b"$-1\r\n" if value is None else b"$%d\r\n%b\r\n" % (len(value), value)


async def read_reply(reader: asyncio.StreamReader) -> Reply:
    """Reads one reply; raises IncompleteReadError where the connection ends first."""
    line = await reader.readuntil(b"\r\n")
    kind, rest = line[:1], line[1:-2]
    if kind == b"+":
        return rest
    if kind == b"-":
        return ErrorReply(rest.decode())
    if kind == b":":
        return int(rest)
    if kind == b"$":
        size = int(rest)
        return None if size < 0 else (await reader.readexactly(size + 2))[:-2]
    if kind == b"*":
        return [await read_reply(reader) for _ in range(int(rest))]
    raise ValueError(f"not a reply: {line!r}")


def text_of(reply: Reply) -> str:
    """Returns a reply as it stands in the record."""
    return reply.decode() if isinstance(reply, bytes) else str(reply)


class SlotServer:
    """A server of a cluster: it owns a range of slots, and keeps the values of their keys.

    Commands of one connection are answered in their order, each after `latency_s`.

    Attributes:
        cluster: all servers of the cluster, in the order of their ranges.
        port: where it listens.
        data: values by key.
        runs: each data command that ran: when, by `time.monotonic`, and its words.
        latency_s: how long one command takes.
        arrivals: each data command that arrived: when, and its words.
        keeps_values: whether values are kept, or only their first bytes.
    """

    def __init__(self, cluster: list[SlotServer], port: int, latency_s: float = 0.002) -> None:
        """Joins the cluster; `start` begins to listen."""
        self.cluster = cluster
        self.port = port
        self.data: dict[bytes, bytes] = {}
        self.runs: list[tuple[float, list[bytes]]] = []
        self.latency_s = latency_s
        self.arrivals: list[tuple[float, list[bytes]]] = []
        self.keeps_values = True
        self.server: asyncio.Server | None = None
        cluster.append(self)

    @property
    def slots(self) -> tuple[int, int]:
        """The first and the last slot that it owns."""
        index, count = self.cluster.index(self), len(self.cluster)
        return index * SLOT_COUNT // count, (index + 1) * SLOT_COUNT // count - 1

    def owns(self, key: bytes) -> bool:
        """Returns whether the key's slot is one of its own."""
        first, last = self.slots
        return first <= slot_of(key) <= last

    async def start(self) -> None:
        """Begins to listen."""
        self.server = await asyncio.start_server(
            self.serve, "127.0.0.1", self.port, limit=STREAM_LIMIT
        )

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the commands of one connection."""
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                words = await read_reply(reader)
                if words[0].upper() not in (b"CLUSTER", b"ASKING", b"AUTH"):
                    self.arrivals.append((time.monotonic(), [word[:40] for word in words]))
                    await asyncio.sleep(self.latency_s)
                answer = self.answer(words)
                if self.loses_answer(words):
                    writer.transport.abort()
                    return
                writer.write(answer)
                await writer.drain()
        writer.close()

    def loses_answer(self, words: list[bytes]) -> bool:
        """Returns whether the connection is reset in place of this command's answer."""
        return False

    def answer(self, words: list[bytes]) -> bytes:
        """Runs one command and returns its reply."""
        name = words[0].upper()
        if name == b"CLUSTER":
            rows = [
                b"*3\r\n:%d\r\n:%d\r\n*2\r\n$9\r\n127.0.0.1\r\n:%d\r\n" % (*each.slots, each.port)
                for each in self.cluster
            ]
            return b"*%d\r\n" % len(rows) + b"".join(rows)
        if name in (b"ASKING", b"AUTH"):
            return b"+OK\r\n"
        owner = next(each for each in self.cluster if each.owns(words[1]))
        if owner is not self:
            return b"-MOVED %d 127.0.0.1:%d\r\n" % (slot_of(words[1]), owner.port)
        return self.run(name, words)

    def run(self, name: bytes, words: list[bytes]) -> bytes:
        """Runs a command for a key that it owns."""
        self.runs.append((time.monotonic(), [word[:40] for word in words]))
        if name == b"SET":
            self.data[words[1]] = words[2] if self.keeps_values else words[2][:40]
            return b"+OK\r\n"
        if name == b"GET":
            return bulk(self.data.get(words[1]))
        if name == b"MGET":
            values = [bulk(self.data.get(key)) for key in words[1:]]
            return b"*%d\r\n" % len(values) + b"".join(values)
        if name == b"DEL":
            gone = [self.data.pop(key, None) for key in words[1:]]
            return b":%d\r\n" % sum(value is not None for value in gone)
        if name == b"INCR":
            value = int(self.data.get(words[1], b"0")) + 1
            self.data[words[1]] = b"%d" % value
            return b":%d\r\n" % value
        return b"-ERR unknown command\r\n"


class Client:
    """A connection of a client, which reads the replies in the order of its commands."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Uses an established connection; see `connect`."""
        self.reader = reader
        self.writer = writer

    @classmethod
    async def connect(cls, port: int) -> Client:
        """Connects to the balancer."""
        return cls(*await asyncio.open_connection("127.0.0.1", port, limit=STREAM_LIMIT))

    def send(self, *words: bytes) -> None:
        """Writes a command."""
        self.writer.write(encode(*words))

    async def read(self) -> Reply:
        """Reads the next reply; raises EOFError or OSError where the connection ends."""
        return await read_reply(self.reader)

    async def call(self, *words: bytes) -> Reply:
        """Writes a command and reads its reply."""
        self.send(*words)
        return await self.read()

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()
