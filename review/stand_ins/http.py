"""Cache hosts and an origin over HTTP/1.1, by the protocol page.

The link between a host and the balancer takes `LINK_S` each way, in order on each connection. Run
`keep_awake` beside them, so that times of less than a millisecond are kept.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from random import Random
from typing import NamedTuple

LINK_S = (0.0007, 0.0013)  # kochi-roster, `cross_ms`: 0.7 to 1.3 ms one way


async def keep_awake() -> None:
    """Keeps the loop from sleeping: its selector rounds waits up to whole milliseconds."""
    while True:
        await asyncio.sleep(0)


class Request(NamedTuple):
    """A request as a host gets it."""

    path: str
    request_id: str

    @property
    def key(self) -> str:
        """What the request is about: the last part of its path."""
        return self.path.rpartition("/")[2]


def body_of(request: Request) -> bytes:
    """Returns the body of the answer to a request, which no other request has."""
    return f"value of {request.path} for {request.request_id}".encode()


def response(status: str, body: bytes = b"") -> bytes:
    """Returns a whole response."""
    return f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class Link:
    """One direction of a connection: it passes things on in their order, each after a delay."""

    def __init__(self, rng: Random) -> None:
        """Starts empty."""
        self.rng = rng
        self.loop = asyncio.get_running_loop()
        self.last_at = 0.0

    def send(self, action: Callable[[], None]) -> None:
        """Calls the action once the delay is over, after those before it."""
        self.last_at = max(self.last_at, self.loop.time() + self.rng.uniform(*LINK_S))
        self.loop.call_at(self.last_at, action)


class HostConnection:
    """A host's end of a connection, which carries one request at a time.

    Attributes:
        waiting: requests that have come over the link and are not begun.
        busy: whether a request is worked on.
    """

    def __init__(self, host: CacheHost, writer: asyncio.StreamWriter) -> None:
        """Starts with nothing to do."""
        self.host = host
        self.writer = writer
        self.incoming = Link(host.rng)
        self.outgoing = Link(host.rng)
        self.loop = asyncio.get_running_loop()
        self.waiting: deque[Request] = deque()
        self.busy = False

    def on_request(self, request: Request) -> None:
        """Begins a request that has come over the link, or lets it wait."""
        self.waiting.append(request)
        if not self.busy:
            self.begin()

    def begin(self) -> None:
        """Begins the oldest request: a miss is answered at once, a hit takes work."""
        self.busy = True
        request = self.waiting.popleft()
        if self.host.has(request):
            self.loop.call_later(self.host.rng.uniform(*self.host.work_s), self.serve, request)
        else:
            self.send(response("404 Not Found"))
            self.host.missed[request.request_id] = request.key
            self.end()

    def serve(self, request: Request) -> None:
        """Answers a hit, and has its second copy sent later, if it gets one."""
        answer = response("200 OK", body_of(request))
        self.send(answer)
        if self.host.on_served:
            self.host.on_served(request)
        if self.host.draws_second():
            self.loop.call_later(self.host.second_after_s, self.send_second, request, answer)
        self.end()

    def end(self) -> None:
        """Ends a request, and begins the next one."""
        self.busy = False
        if self.waiting:
            self.begin()

    def send_second(self, request: Request, answer: bytes) -> None:
        """Sends the second copy of an answer, if nothing else waits on the connection."""
        if not (self.busy or self.waiting or self.writer.is_closing()):
            self.host.seconds_sent.append(request.request_id)
            self.send(answer)

    def send(self, text: bytes) -> None:
        """Puts a response on the link."""
        self.outgoing.send(partial(self.write, text))

    def write(self, text: bytes) -> None:
        """Writes a response that has come over the link."""
        if not self.writer.is_closing():
            self.writer.write(text)


class CacheHost:
    """A cache host, or the origin.

    Attributes:
        port: where it listens.
        keys: the keys that it holds; None for the origin, which has all.
        work_s: how long a hit takes, at least and at most.
        second_after_s: how long after an answer its second copy is sent.
        second_one_in: one in so many answers gets a second copy; 0 for none.
        served: how many hits were answered.
        seconds_sent: ids of the requests whose answer was sent twice.
        on_served: called with each request that was answered 200.
        missed: the key of each request that missed here, by its id.
    """

    def __init__(self, port: int, work_s: tuple[float, float], seed: int) -> None:
        """Starts with no keys; `start` begins to listen."""
        self.port = port
        self.keys: set[str] | None = set()
        self.work_s = work_s
        self.rng = Random(seed)
        self.second_after_s = 0.0
        self.second_one_in = 0
        self.served = 0
        self.seconds_sent: list[str] = []
        self.on_served: Callable[[Request], None] | None = None
        self.missed: dict[str, str] = {}
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        """Begins to listen."""
        self.server = await asyncio.start_server(self.accept, "127.0.0.1", self.port)

    def has(self, request: Request) -> bool:
        """Returns whether it holds the value that a request is about."""
        return self.keys is None or request.key in self.keys

    def draws_second(self) -> bool:
        """Counts an answer, and returns whether it gets a second copy."""
        self.served += 1
        return bool(self.second_one_in) and self.served % self.second_one_in == 0

    async def accept(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Reads the requests of one connection."""
        connection = HostConnection(self, writer)
        with suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
                fields = dict(line.split(": ", 1) for line in head[1:] if line)
                request = Request(head[0].split()[1], fields["Request-Id"])
                connection.incoming.send(partial(connection.on_request, request))
        writer.close()
