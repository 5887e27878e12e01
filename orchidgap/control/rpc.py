"""Short JSON calls over HTTP/1.1 between the program's own processes, both sides, on the loop."""

from __future__ import annotations

import socket
from collections.abc import Callable
from typing import Any

import httptools
import orjson

from orchidgap.http1.readers import RequestReader, ResponseReader
from orchidgap.http1.writers import response_head
from orchidgap.net.connection import Address, Connection, Fault, dial, open_listener
from orchidgap.net.loop import READ, Loop, Timer

AT_ONCE = 4  # calls that may be out to one address
MOST = 1 << 22  # bytes of a call or an answer
MOST_CLIENTS = 4_096  # connections that one control process holds
IDLE = 60_000_000  # after which one that asks nothing is closed
Heard = Callable[[Any], None]  # with the answer, None where there was none


class Link:
    """One connection, on which one call may be out."""

    def __init__(self, calls: RpcClient, sock: socket.socket) -> None:
        self.calls = calls
        self.heard: Heard | None = None
        self.timer: Timer | None = None
        self.reader = ResponseReader(MOST)
        self.conn = Connection(calls.loop, sock, self, opening=True)

    def ask(self, method: str, path: str, body: bytes, heard: Heard) -> None:
        self.heard = heard
        self.reader.reset()
        self.timer = self.calls.loop.call_later(self.calls.within, self.ended, "silence")
        self.conn.send(
            b"%b %b HTTP/1.1\r\nHost: control\r\nContent-Length: %d\r\n\r\n%b"
            % (method.encode(), path.encode(), len(body), body)
        )

    def opened(self) -> None:
        pass

    def received(self, view: memoryview) -> None:
        self.calls.bytes_in += len(view)
        self.reader.feed(view)
        message = self.reader.message
        if message.error_status or not self.heard:
            return self.ended("no proper answer")
        if message.complete:
            try:
                said = orjson.loads(message.body or b"true") if message.status == 200 else None
            except ValueError:
                said = None
            self.settle(said, message.keep_alive)

    def settle(self, said: Any, lasts: bool) -> None:
        heard, self.heard = self.heard, None
        if self.timer:
            self.timer.cancel()
        if lasts:
            self.calls.idle.append(self)
        else:
            self.close()
        if heard:
            heard(said)

    def close(self) -> None:
        self.conn.close()
        self.calls.open.pop(self, None)

    def ended(self, what: str) -> None:
        if self in self.calls.idle:
            self.calls.idle.remove(self)
        self.settle(None, False)


class RpcClient:
    """Calls to one address. An answer that does not come within the time counts as none; a call may have been
    heard all the same."""

    def __init__(self, loop: Loop, address: Address, within: int) -> None:
        self.loop, self.address, self.within = loop, address, within
        self.open: dict[Link, None] = {}
        self.idle: list[Link] = []
        self.bytes_in = self.bytes_out = 0

    def __call__(self, path: str, told: Any, heard: Heard) -> None:
        """`heard` is called once, after the call under way."""
        self.send("PUT", path, orjson.dumps(told), heard)

    def wait(self, path: str, told: Any) -> Any:
        """The answer, or None; from outside of the loop, which runs until then."""
        heard: list[Any] = []
        self(path, told, heard.append)
        while not heard:
            self.loop.run_once(10_000)
        return heard[0]

    def ask(self, path: str, heard: Heard) -> None:
        """A plain question, whose answer may be empty; then `heard` gets True."""
        self.send("GET", path, b"", heard)

    def send(self, method: str, path: str, body: bytes, heard: Heard) -> None:
        self.bytes_out += len(body)
        while self.idle:
            link = self.idle.pop()
            if link.conn.open and not link.conn.stale():
                return link.ask(method, path, body, heard)
            link.close()
        if len(self.open) >= AT_ONCE:
            return self.loop.call_soon(heard, None)
        sock = dial(self.address)
        if isinstance(sock, Fault):
            return self.loop.call_soon(heard, None)
        link = Link(self, sock)
        self.open[link] = None
        link.ask(method, path, body, heard)

    def close(self) -> None:
        for link in list(self.open):
            link.heard = None
            link.close()
        self.idle.clear()


class RpcServerConnection:
    """One connection to the server: calls in their order, an answer to each before the next."""

    def __init__(self, server: RpcServer, sock: socket.socket) -> None:
        self.server, self.since = server, server.loop.now
        self.reader = RequestReader(MOST)
        self.busy = False
        self.conn = Connection(server.loop, sock, self)

    def opened(self) -> None:
        pass

    def received(self, view: memoryview) -> None:
        self.since = self.server.loop.now
        self.reader.feed(view)
        if len(self.reader.pipelined) > AT_ONCE:
            return self.server.drop(self)
        self.step()

    def step(self) -> None:
        message = self.reader.message
        if self.busy or not self.conn.open:
            return
        if message.error_status:
            self.answer(message.error_status, {"why": "malformed"})
        elif message.complete:
            self.busy = True
            try:
                path = (httptools.parse_url(message.target).path or b"").decode()
                told = orjson.loads(message.body) if message.body_size else {}
                act = self.server.acts.get(path)
                if act is None or not isinstance(told, dict):
                    return self.answer(
                        404 if act is None else 400, {"why": f"no such call: {path}"}
                    )
                act(told, self.done)
            except (
                ValueError,
                KeyError,
                TypeError,
                httptools.HttpParserInvalidURLError,
            ) as trouble:
                self.answer(400, {"why": f"bad call: {trouble!r}"[:200]})

    def done(self, said: Any) -> None:
        """None: it cannot be said now."""
        self.answer(503 if said is None else 200, said)

    def answer(self, status: int, said: Any) -> None:
        if not self.conn.open:
            return
        message = self.reader.message
        last = not (message.complete and message.keep_alive and not message.error_status)
        body = orjson.dumps(said)
        self.conn.send(response_head(status, len(body), last, 0, message.version or "1.1") + body)
        if last:
            return self.conn.finish()
        self.busy = False
        self.reader.advance()
        self.server.loop.call_soon(self.step)

    def ended(self, what: str) -> None:
        self.server.callers.pop(self, None)


class RpcServer:
    """Takes calls by their paths: each act is told what came and whom to call with the answer, once."""

    def __init__(
        self, loop: Loop, acts: dict[str, Callable[[dict[str, Any], Heard], None]]
    ) -> None:
        self.loop, self.acts = loop, acts
        self.callers: dict[RpcServerConnection, None] = {}
        self.listener: socket.socket | None = None
        self.sweep()

    def listen(self, address: Address) -> None:
        """Raises OSError."""
        self.listener = open_listener(address, 512)
        self.loop.watch(self.listener, READ, self.accept)

    def accept(self, mask: int) -> None:
        assert self.listener
        for _ in range(64):
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            if len(self.callers) >= MOST_CLIENTS:
                self.drop(min(self.callers, key=lambda caller: caller.since))
            self.callers[RpcServerConnection(self, sock)] = None

    def drop(self, caller: RpcServerConnection) -> None:
        caller.conn.close()
        self.callers.pop(caller, None)

    def sweep(self) -> None:
        for caller in [one for one in self.callers if one.since + IDLE < self.loop.now]:
            self.drop(caller)
        self.loop.call_later(IDLE // 4, self.sweep)
