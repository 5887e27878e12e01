"""Peers of the program in the compatibility tests: plain sockets and processes that import none of its code."""

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
TIMEOUT_S = 30


def free_address() -> tuple[str, int]:
    with socket.create_server(("127.0.0.1", 0)) as listener:
        return listener.getsockname()


def run_command(*arguments: str, **environment: str) -> dict[str, object]:
    """Runs the program until it exits; returns its exit code and output."""
    completed = subprocess.run(
        [sys.executable, "-m", "orchidgap", *arguments],
        cwd=ROOT,
        env=os.environ | environment,
        capture_output=True,
        timeout=TIMEOUT_S,
    )
    return {
        "exit": completed.returncode,
        "out": completed.stdout.decode(),
        "error": completed.stderr.decode(),
    }


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
        process.wait(TIMEOUT_S)
    except subprocess.TimeoutExpired:
        process.kill()
        process.wait()


class Relay:
    """Forwards bytes between one caller and one server, and records them as a transcript.

    Calls are made one after another, so consecutive bytes in one direction are one message.
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
        peers: dict[socket.socket, tuple[socket.socket, str]] = {}
        while not self.closing:
            for sock in select.select([self.listener, *peers], [], [], 0.05)[0]:
                if sock is self.listener:
                    caller = self.listener.accept()[0]
                    server = socket.create_connection(self.target)
                    peers[caller], peers[server] = (server, "request"), (caller, "answer")
                    continue
                if sock not in peers:
                    continue
                peer, kind = peers[sock]
                data = b""
                with suppress(OSError):
                    data = sock.recv(1 << 20)
                if data:
                    self.record(kind, data)
                    with suppress(OSError):
                        peer.sendall(data)
                else:
                    for closed in (sock, peer):
                        peers.pop(closed, None)
                        closed.close()
        for sock in [self.listener, *peers]:
            sock.close()

    def record(self, kind: str, data: bytes) -> None:
        text = data.decode("latin-1")
        if self.transcript and self.transcript[-1]["kind"] == kind:
            self.transcript[-1]["bytes"] += text
        else:
            self.transcript.append({"kind": kind, "bytes": text})

    def close(self) -> None:
        self.closing = True
        self.thread.join(TIMEOUT_S)


class ScriptedServer:
    """Answers HTTP requests by a table of bodies: one per call, the last one for every call after that."""

    def __init__(self, bodies: dict[str, list[bytes]]) -> None:
        self.bodies = {path: list(answers) for path, answers in bodies.items()}
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
                answers = self.bodies[path]
                body = answers.pop(0) if len(answers) > 1 else answers[0]
                sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))

    def close(self) -> None:
        with suppress(OSError):
            self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.thread.join(TIMEOUT_S)


def read_message(sock: socket.socket) -> bytes:
    """Returns one HTTP message with a Content-Length; empty if the connection ended before its end."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = sock.recv(1 << 16)
        if not chunk:
            return b""
        data += chunk
    size = content_length(data)
    while len(data) < size:
        chunk = sock.recv(1 << 16)
        if not chunk:
            return b""
        data += chunk
    return data


def content_length(data: bytes) -> int:
    """Returns the length of the whole message in bytes, head and body."""
    head = data.partition(b"\r\n\r\n")[0]
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(head) + 4 + int(line.partition(b":")[2])
    return len(head) + 4


def send_request(address: tuple[str, int], request: bytes, run_turn: Callable[[], None]) -> bytes:
    """Sends a request on a new connection and returns the whole answer; `run_turn` runs the server meanwhile."""
    with socket.create_connection(address) as sock:
        sock.sendall(request)
        sock.setblocking(False)
        data = b""
        while b"\r\n\r\n" not in data or len(data) < content_length(data):
            run_turn()
            with suppress(BlockingIOError):
                chunk = sock.recv(1 << 20)
                if not chunk:
                    break
                data += chunk
        return data
