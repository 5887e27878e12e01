"""A balancer in a process of its own, with hosts and clients on real sockets around it."""

import contextlib
import json
import multiprocessing
import os
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path
from typing import NamedTuple

MEMORY_MB = 37  # the least memory that the operators' pages name
DESCRIPTORS = 1_024
READY_WITHIN_S = 20
CLIENT_TIMEOUT_S = 1.0
LATE_BY_S = 0.55  # past its time by more than this, an answer is lost
LONGEST_STOP_S = 3.7  # SIGKILL may come this long after SIGTERM
SOCKET_TIMEOUT_S = 10
SMALL_BUFFER_BYTES = 4_096
RULE_SETS = (("read", "retryable"), ("write", "retryable"), ("pay", "fragile"))


def address_of_this_process():
    """Return a loopback address that no other process uses.

    Otherwise a balancer that looks for discovery could reach the listener of another test, which
    was given the same port.
    """
    number = os.getpid()
    return f"127.{64 + (number >> 16 & 63)}.{number >> 8 & 255}.{number & 255}"


ADDRESS = address_of_this_process()


def free_port():
    """Return a port of this process's address without a listener."""
    with socket.create_server((ADDRESS, 0)) as sock:
        return sock.getsockname()[1]


def request_head(path, request_id, method="GET", timeout_s=CLIENT_TIMEOUT_S, more=""):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: s\r\nRequest-Id: {request_id}\r\nTenant: t\r\n"
        f"Request-Timeout: {timeout_s:.3f}\r\n{more}\r\n"
    ).encode()


class Execution(NamedTuple):
    """One complete request that a host has received."""

    at_s: float
    request_id: str
    body_size: int


class ThreadedServer:
    """A listener with a thread for each connection, which runs `_serve`."""

    def __init__(self):
        self.listener = socket.create_server((ADDRESS, 0), backlog=512)
        self.port = self.listener.getsockname()[1]
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        with contextlib.suppress(OSError):
            while True:
                sock, _ = self.listener.accept()
                self._prepare(sock)
                threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _prepare(self, sock):
        """Set options of an accepted socket."""

    def close(self):
        self.listener.close()


class StandInHost(ThreadedServer):
    """A host: a thread for each connection, one request at a time.

    Attributes:
        executions: The requests that arrived whole, in order.
        work_s: Time from a request to its answer.
        slow_work_s: The same for a request whose path ends in "slow".
        answer: Called with a connected socket; writes the answer.
        read_bytes_per_s: How fast bodies are read; 0 for as fast as possible.
        receive_buffer_bytes: The receive buffer of a host that reads slowly; 0 for the system's.
    """

    def __init__(self):
        self.executions, self.work_s, self.read_bytes_per_s = [], 0.002, 0
        self.slow_work_s = 5.0
        self.receive_buffer_bytes = 1 << 16
        self.answer = lambda sock: sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
        super().__init__()

    def _prepare(self, sock):
        if self.read_bytes_per_s and self.receive_buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, self.receive_buffer_bytes)

    def _serve(self, sock):
        with contextlib.suppress(OSError, ValueError), sock, sock.makefile("rb") as file:
            while start_line := file.readline():
                fields = self._read_fields(file)
                size = self._read_body(file, fields)
                request_id = fields.get("request-id", "")
                self.executions.append(Execution(time.monotonic(), request_id, size))
                is_slow = start_line.split()[1].endswith(b"slow")
                time.sleep(self.slow_work_s if is_slow else self.work_s)
                self.answer(sock)

    def _read_fields(self, file):
        fields = {}
        while line := file.readline().strip():
            name, _, value = line.decode().partition(": ")
            fields[name.lower()] = value
        return fields

    def _read_body(self, file, fields):
        if fields.get("transfer-encoding") != "chunked":
            return self._read_exactly(file, int(fields.get("content-length", 0)))
        size = 0
        while length := int(file.readline(), 16):
            size += self._read_exactly(file, length)
            file.readline()
        file.readline()
        return size

    def _read_exactly(self, file, size):
        remaining = size
        while remaining:
            part = file.read(min(remaining, 1 << 15))
            if not part:
                raise ValueError("the body was cut off")
            remaining -= len(part)
            if self.read_bytes_per_s:
                time.sleep(len(part) / self.read_bytes_per_s)
        return size


class BalancerProcess:
    """A balancer until the end of the `with` block; one host is its cache and its origin."""

    def __init__(self, host=None, memory_mb=MEMORY_MB):
        self.host = host or StandInHost()
        self.port = free_port()
        self.folder = tempfile.TemporaryDirectory(prefix="balancer-")
        path = Path(self.folder.name) / "config.json"
        path.write_text(json.dumps(self._config(memory_mb)))
        self.log_path = Path(self.folder.name) / "log"
        with self.log_path.open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "orchidgap", "serve", f"--config={path}"],
                env={**os.environ, "TMPDIR": self.folder.name},
                cwd=Path(__file__).parent.parent,
                stdin=subprocess.DEVNULL,
                stderr=log,
            )

    def _config(self, memory_mb):
        hosts = [
            {
                "host": f"h-{host_class}",
                "dial": f"{ADDRESS}:{self.host.port}",
                "site": "z",
                "class": host_class,
                "block": 1,
                "health": "Ready",
                "share": 1.0,
                "born_ms": 0,
            }
            for host_class in ("cache", "origin")
        ]
        timeout_us = round(CLIENT_TIMEOUT_S * 1e6)
        return {
            "name": "n",
            "listen": f"{ADDRESS}:{self.port}",
            "discovery": f"{ADDRESS}:{free_port()}",
            "seed": "7",
            "limits": {"memory_mb": memory_mb, "sockets": DESCRIPTORS},
            "known": {"seq": 1, "whole": True, "hosts": hosts},
            "settings": {
                "kinds": ["cache", "origin"],
                "family-info": {"mode": "aside", "origin-kind": 1},
                "ceilings": {"most-dispatches": 3, "may-cancel": True, "conn-idle": 30_000_000},
                "rule-sets": [
                    {"name": name, "effect": effect, "client-timeout": timeout_us}
                    for name, effect in RULE_SETS
                ],
            },
        }

    def __enter__(self):
        give_up_s = time.monotonic() + READY_WITHIN_S
        while not self._is_ready():
            assert time.monotonic() < give_up_s and self.process.poll() is None, self.log()
            time.sleep(0.05)
        return self

    def __exit__(self, *_):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()
        self.host.close()
        self.folder.cleanup()

    def _is_ready(self):
        try:
            with self.connect() as sock:
                sock.sendall(b"GET /up HTTP/1.1\r\n\r\n")
                return sock.recv(1 << 12).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def connect(self, receive_buffer_bytes=0):
        """Return a new connection; its receive buffer is the system's default for 0."""
        sock = socket.socket()
        sock.settimeout(SOCKET_TIMEOUT_S)
        if receive_buffer_bytes:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes)
        try:
            sock.connect((ADDRESS, self.port))
        except OSError:
            sock.close()
            raise
        return sock

    def peak_memory_mb(self):
        """Return the most memory that the process has had resident, files included."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        line = next(line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) / 1024

    def seconds_to_stop(self):
        """Send SIGTERM, and return how long the process goes on."""
        start_s = time.monotonic()
        self.process.send_signal(signal.SIGTERM)
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.process.wait(SOCKET_TIMEOUT_S)
        return time.monotonic() - start_s

    def log(self):
        return self.log_path.read_text()


class Answer(NamedTuple):
    """What a client got for one request, and how long it waited."""

    status: str
    waited_s: float


class SteadyClient:
    """A client in a process of its own that asks one request after another until `stop`.

    Every other request goes on a new connection. Threads of the test do not delay it.
    """

    def __init__(self, balancer, name="steady", pause_s=0.01):
        self.balancer, self.name, self.pause_s = balancer, name, pause_s
        context = multiprocessing.get_context("fork")
        self.pipe, far_pipe = context.Pipe()
        self.process = context.Process(target=self._run, args=(far_pipe,), daemon=True)
        self.process.start()

    def _run(self, pipe):
        answers = []
        self.kept = self.balancer.connect()
        while not pipe.poll():
            number = len(answers)
            text = request_head(f"/read/{self.name}{number}", f"{self.name}-{number}")
            start_s = time.monotonic()
            status = self._ask(text, is_new=number % 2 == 1)
            if not status:  # the end of the connection may have crossed the request
                status = self._ask(text, is_new=True)
            answers.append(Answer(status, time.monotonic() - start_s))
            time.sleep(self.pause_s)
        pipe.send(answers)

    def _ask(self, text, is_new):
        """Return the status of the answer; "" if the connection ended without one."""
        answer = b""
        with contextlib.suppress(OSError):
            sock = self.balancer.connect() if is_new else self.kept
            sock.sendall(text)
            answer = read_answer(sock)
            if is_new:
                sock.close()
        if not is_new and (not answer or b"connection: close" in answer.lower()):
            self.kept.close()
            self.kept = self.balancer.connect()
        return answer.split()[1].decode() if answer else ""

    def stop(self):
        """Stop after the current request, and return all answers."""
        self.pipe.send("stop")
        answers = self.pipe.recv() if self.pipe.poll(2 * SOCKET_TIMEOUT_S) else []
        self.process.kill()
        self.process.join()
        return answers


def read_answer(sock):
    """Return one answer whose head has a length; less if the connection ends before that."""
    text = b""
    while b"\r\n\r\n" not in text:
        part = sock.recv(1 << 16)
        if not part:
            return text
        text += part
    head, _, body = text.partition(b"\r\n\r\n")
    fields = head.lower().split(b"\r\n")
    size = next((int(f.split(b":")[1]) for f in fields if f.startswith(b"content-length")), 0)
    while len(body) < size and (part := sock.recv(1 << 16)):
        body += part
    return head + b"\r\n\r\n" + body


def assert_answered_in_time(answers):
    """Check that every request got its final answer in time, and that half were served."""
    late = [
        answer
        for answer in answers
        if not answer.status.isdigit() or answer.waited_s > CLIENT_TIMEOUT_S + LATE_BY_S
    ]
    assert answers and not late, (len(answers), late[:9])
    served = sum(answer.status == "200" for answer in answers)
    assert served >= len(answers) / 2, (served, len(answers))


class HostileClient:
    """A connection that writes what `texts` yields as fast as it is read, and begins anew if ended.

    Attributes:
        reads: Whether it reads what it is sent.
    """

    def __init__(self, balancer, make_texts, reads=True):
        self.balancer, self.make_texts, self.reads = balancer, make_texts, reads
        self.sock = None
        self.start()

    def start(self):
        if self.sock:
            self.sock.close()
        self.texts, self.unsent, self.sock = iter(self.make_texts()), b"", None
        with contextlib.suppress(OSError):
            self.sock = self.balancer.connect(0 if self.reads else SMALL_BUFFER_BYTES)
            self.sock.setblocking(False)

    def step(self):
        """Write once and read once; connect anew if the connection has ended."""
        try:
            if self.sock is None:
                self.start()
                return
            self._write()
            if self.reads and not self.sock.recv(1 << 16):
                self.start()
        except BlockingIOError:
            pass
        except OSError:
            self.start()

    def _write(self):
        self.unsent = self.unsent or next(self.texts, b"")
        with contextlib.suppress(BlockingIOError):
            if self.unsent:
                self.unsent = self.unsent[self.sock.send(self.unsent) :]


def attack(clients, duration_s):
    """Have the clients go on for some seconds, and leave their connections as they are then."""
    end_s = time.monotonic() + duration_s
    while time.monotonic() < end_s:
        for client in clients:
            client.step()
        time.sleep(0.001)
