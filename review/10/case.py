"""Case 10: long bodies for a host that reads slowly are answered long after their time."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from pathlib import Path

import rig2

CLIENTS = 4
SIZES_MB = (6.0, 6.5, 7.0, 8.0)  # each client sends one after another; the page has up to 32 MB
READ_BYTES_S = 640_000  # at the origin
PIECE_BYTES = 16_384
TIMEOUT_S = 2.5
LATEST_S = TIMEOUT_S + 0.5 + 0.05  # later than that a request is lost; 50 ms of slack on sockets
GIVE_UP_S = 12.0


class SlowReader(rig2.HttpHost):
    """A host that reads bodies slowly and answers each as its last byte has come."""

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Serve one connection until it ends."""
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                _, fields = await rig2.read_head(reader)
                left = int(fields.get("content-length", "0"))
                while left > 0:
                    piece = await reader.read(min(left, PIECE_BYTES))
                    if not piece:
                        return
                    left -= len(piece)
                    if rig2.with_trouble():
                        await asyncio.sleep(len(piece) / READ_BYTES_S)
                writer.write(rig2.response(200, b"signed up"))
        writer.close()


async def unused(host: rig2.HttpHost, request: rig2.Request, writer: asyncio.StreamWriter) -> None:
    """Take the place of a handler, which `SlowReader` has no use for."""


class Client:
    """A client that writes as fast as the system takes it, and reads the answer as it comes."""

    def __init__(self, number: int, port: int, record: rig2.Record) -> None:
        """Begin with nothing sent."""
        self.number = number
        self.port = port
        self.record = record
        self.answered = 0
        self.breaks: list[str] = []

    async def play(self) -> None:
        """Send each body on a connection of its own."""
        for size_mb in SIZES_MB:
            with socket.create_connection((rig2.LOOPBACK, self.port), 5) as sock:
                sock.setblocking(False)
                await self.send(sock, int(size_mb * (1 << 20)))

    async def send(self, sock: socket.socket, size: int) -> None:
        """Send one request, and judge when its answer comes."""
        request_id = f"{self.number:02x}{size:08x}"
        head = (
            f"PUT /shift-signup/{request_id} HTTP/1.1\r\nHost: service.internal\r\n"
            f"Request-Id: {request_id}\r\nIdempotency-Key: {request_id}\r\n"
            "Request-Class: shift-signup\r\nTenant: sevanam\r\n"
            f"Request-Timeout: {TIMEOUT_S:.3f}\r\nContent-Length: {size}\r\n\r\n"
        )
        begun = time.monotonic()
        writing = asyncio.create_task(self.write(sock, head.encode() + b"v" * size))
        answer = b""
        with suppress(TimeoutError, OSError):
            loop = asyncio.get_running_loop()
            answer = await asyncio.wait_for(loop.sock_recv(sock, 4096), GIVE_UP_S)
        ended = time.monotonic()
        written = writing.result() if writing.done() else 0.0
        writing.cancel()
        waited = ended - written if written else 0.0
        self.record(
            "answer",
            id=request_id,
            size=size,
            written_after=f"{written - begun:.3f}" if written else "never whole",
            waited=f"{waited:.3f}",
            status=answer[9:12],
        )
        self.answered += answer != b""
        if written and waited > LATEST_S:
            self.breaks.append(
                f"{request_id}: {size} bytes were written whole after {written - begun:.3f} s, "
                f"and answered {answer[9:12]!r} {waited:.3f} s after that"
            )

    async def write(self, sock: socket.socket, message: bytes) -> float:
        """Write the whole request; return when its last byte was written, 0 if it was not."""
        with suppress(OSError):
            await asyncio.get_running_loop().sock_sendall(sock, message)
            return time.monotonic()
        return 0.0


async def play(record: rig2.Record, folder: Path) -> list[str]:
    """Play the case."""
    discovery = rig2.Discovery(record)
    hosts: list[rig2.HttpHost] = [SlowReader(f"s-{n}", "full-node", unused) for n in range(3)]
    hosts.append(SlowReader("s-origin", "origin", unused))
    for host in hosts:
        await host.start()
        discovery.put(host.entry())
    await discovery.start()
    config = rig2.balancer_config(discovery, rig2.kochi_settings())
    balancer = rig2.Balancer(folder, config, record)
    try:
        balancer.start()
        await rig2.wait_ready(balancer)
        clients = [Client(number, balancer.port, record) for number in range(CLIENTS)]
        await asyncio.gather(*(client.play() for client in clients))
    finally:
        balancer.stop()
    if not sum(client.answered for client in clients):
        raise rig2.CouldNotRunError("nothing was answered")
    return [text for client in clients for text in client.breaks]


if __name__ == "__main__":
    rig2.run_case(play, Path(__file__).parent)
