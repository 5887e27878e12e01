"""Discovery's agent on the balancer's machine, by the protocol page: the whole list and a watch."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any
from urllib.parse import parse_qs, urlsplit

Host = dict[str, Any]


def host_entry(host: str, port: int, kind: str = "m2", health: str = "Ready") -> Host:
    """Returns a host's entry of the list."""
    return {
        "host": host,
        "dial": f"127.0.0.1:{port}",
        "site": "a",
        "class": kind,
        "block": 1,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


class Discovery:
    """The agent: it answers each watch with the whole list, which the page allows.

    Attributes:
        port: where it listens.
        version: version of the list.
        hosts: the list.
        told: when each version was first written to the balancer, by the loop's clock.
    """

    def __init__(self, port: int, hosts: list[Host]) -> None:
        """Starts with a list; `start` begins to listen."""
        self.port = port
        self.version = 41
        self.hosts = hosts
        self.told: dict[int, float] = {}
        self.changed = asyncio.Event()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to listen."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)

    def change(self, hosts: list[Host]) -> None:
        """Replaces the list, and answers the watches that are open."""
        self.version += 1
        self.hosts = hosts
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Answers the calls of one connection."""
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                query = parse_qs(urlsplit(head.split()[1].decode()).query)
                after = int(query.get("after", ["-1"])[0])
                if after == self.version:
                    wait_s = int(query.get("wait_ms", ["0"])[0]) / 1000
                    with suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), wait_s)
                writer.write(self.answer(after))
                await writer.drain()
                self.told.setdefault(self.version, asyncio.get_running_loop().time())
        writer.close()

    def answer(self, after: int) -> bytes:
        """Returns the whole list, or no changes where the caller has this version."""
        is_new = after != self.version
        hosts = self.hosts if is_new else []
        document = {"seq": self.version, "whole": is_new, "hosts": hosts}
        body = json.dumps(document).encode()
        head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
        return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body
