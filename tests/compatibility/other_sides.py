"""The other sides that the compatibility tests play: plain sockets and processes, nothing of the program."""

from __future__ import annotations

import os
import select
import socket
import subprocess
import sys
import threading
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

ROOT = Path(__file__).parents[2]
PATIENCE_S = 30


def free_address() -> tuple[str, int]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()


def run_command(*arguments: str, **environment: str) -> dict[str, object]:
    """Runs the program to its end; its exit code and what it printed."""
    done = subprocess.run(
        [sys.executable, "-m", "orchidgap", *arguments],
        cwd=ROOT,
        env=os.environ | environment,
        capture_output=True,
        timeout=PATIENCE_S,
    )
    return {"exit": done.returncode, "out": done.stdout.decode(), "error": done.stderr.decode()}


def start_process(
    *arguments: str, log: Path, passed: socket.socket | None = None, **environment: str
) -> subprocess.Popen[bytes]:
    with open(log, "wb") as file:
        return subprocess.Popen(
            [sys.executable, "-m", "orchidgap", *arguments],
            cwd=ROOT,
            env=os.environ | environment,
            stdout=subprocess.DEVNULL,
            stderr=file,
            pass_fds=[passed.fileno()] if passed else [],
        )


def stop_process(process: subprocess.Popen[bytes]) -> None:
    process.terminate()
    try:
        process.wait(PATIENCE_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


class Relay:
    """Passes bytes on between one caller and one server, and keeps them as a transcript.

    Calls here come one after another, so bytes that follow each other in one direction are one message.
    """

    def __init__(self, target: tuple[str, int]) -> None:
        self.target = target
        self.transcript: list[dict[str, str]] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.closing = False
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        ends: dict[socket.socket, tuple[socket.socket, str]] = {}
        while not self.closing:
            for sock in select.select([self.listener, *ends], [], [], 0.05)[0]:
                if sock is self.listener:
                    caller = self.listener.accept()[0]
                    server = socket.create_connection(self.target)
                    ends[caller], ends[server] = (server, "request"), (caller, "answer")
                    continue
                if sock not in ends:
                    continue
                other, kind = ends[sock]
                data = b""
                with suppress(OSError):
                    data = sock.recv(1 << 20)
                if data:
                    self.keep(kind, data)
                    with suppress(OSError):
                        other.sendall(data)
                else:
                    for end in (sock, other):
                        ends.pop(end, None)
                        end.close()
        for sock in [self.listener, *ends]:
            sock.close()

    def keep(self, kind: str, data: bytes) -> None:
        text = data.decode("latin-1")
        if self.transcript and self.transcript[-1]["kind"] == kind:
            self.transcript[-1]["bytes"] += text
        else:
            self.transcript.append({"kind": kind, "bytes": text})

    def close(self) -> None:
        self.closing = True
        self.thread.join(PATIENCE_S)


class ScriptedServer:
    """Answers HTTP requests by a table of bodies (one for each call, the last one again and again)."""

    def __init__(self, bodies: dict[str, list[bytes]]) -> None:
        self.bodies = {path: list(told) for path, told in bodies.items()}
        self.requests: list[str] = []
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.address = self.listener.getsockname()
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self) -> None:
        with suppress(OSError):
            while True:
                sock = self.listener.accept()[0]
                threading.Thread(target=self.serve, args=(sock,), daemon=True).start()

    def serve(self, sock: socket.socket) -> None:
        with sock, suppress(OSError):
            while request := read_message(sock):
                self.requests.append(request.decode("latin-1"))
                path = request.split(b" ", 2)[1].decode()
                told = self.bodies[path]
                body = told.pop(0) if len(told) > 1 else told[0]
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def close(self) -> None:
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.thread.join(PATIENCE_S)


def read_message(sock: socket.socket) -> bytes:
    """One HTTP message with a Content-Length; empty where the connection ended before."""
    data = b""
    while b"\r\n\r\n" not in data:
        part = sock.recv(1 << 16)
        if not part:
            return b""
        data += part
    size = content_length(data)
    while len(data) < size:
        part = sock.recv(1 << 16)
        if not part:
            return b""
        data += part
    return data


def content_length(data: bytes) -> int:
    """Bytes of the whole message, head and body."""
    head = data.partition(b"\r\n\r\n")[0]
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(head) + 4 + int(line.partition(b":")[2])
    return len(head) + 4


def ask(address: tuple[str, int], text: bytes, turn: Callable[[], None]) -> bytes:
    """Sends bytes on a connection of its own; the whole answer. `turn` drives the server meanwhile."""
    with socket.create_connection(address) as sock:
        sock.sendall(text)
        sock.setblocking(False)
        data = b""
        while b"\r\n\r\n" not in data or len(data) < content_length(data):
            turn()
            with suppress(BlockingIOError):
                part = sock.recv(1 << 20)
                if not part:
                    break
                data += part
        return data
