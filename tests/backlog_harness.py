"""Clients that wait in a listener's accept queue, and the outcome that each of them observes."""

import socket

import orjson
from loopback_harness import (
    RESET,
    SOCKET_TIMEOUT_S,
    received_or_reset,
    request_text,
    send_without_delay,
)
from node_harness import NodeHarness

from orchidgap.net.addresses import format_address

STEP_US = 10_000
MAX_SHUTDOWN_US = 6_000_000  # longer than any grace period
ANSWERS = {"200", "503"}
NO_END = "no end"
ENDED = "ended unanswered"


class ScriptedListener:
    """A listening socket whose `accept` fails as scripted, and that reports an empty queue.

    `failure` returns the exception that `accept` raises now, or None. `on_empty` is called once
    each time it is set: after `accept` has found nothing and before the caller learns of that.
    """

    def __init__(self, sock, failure=lambda: None, on_empty=None):
        self.sock, self.failure, self.on_empty, self.calls = sock, failure, on_empty, 0

    def __getattr__(self, name):
        return getattr(self.sock, name)

    def accept(self):
        self.calls += 1
        error = self.failure()
        if error:
            raise error
        try:
            return self.sock.accept()
        except BlockingIOError:
            on_empty, self.on_empty = self.on_empty, None
            if on_empty:
                on_empty()
            raise


class QueuedClient:
    """A client with an established connection and a request in the kernel; records what it
    receives.

    `at` is the address to connect to, or a connected socket.
    """

    def __init__(self, at, text, stays_open=False):
        is_socket = isinstance(at, socket.socket)
        self.sock = at if is_socket else socket.create_connection(at, SOCKET_TIMEOUT_S)
        send_without_delay(self.sock)
        if text:
            self.sock.sendall(text)
        self.stays_open, self.text, self.end = stays_open, "", NO_END

    def read_available(self):
        """Read the received bytes; then close, unless `stays_open`.

        With `stays_open` the client closes only after the process has exited.
        """
        while self.end == NO_END and (part := received_or_reset(self.sock)) is not None:
            self.text += "" if part == RESET else part
            if part in ("", RESET):
                self.end = part or ENDED
        if self.text and not self.stays_open:
            self.sock.close()
            self.end = ENDED

    def outcome(self):
        """Return the status of the answer, or how the connection ended."""
        if not self.text:
            return self.end
        return self.text.split()[1] if self.text.startswith("HTTP") else self.text[:4]


def queue_clients(address, count, stays_open=False, text=None):
    """Connect `count` clients that wait in the queue, each with its own request."""
    return [
        QueuedClient(address, text or request_text(f"k{i}", left="2.0"), stays_open)
        for i in range(count)
    ]


def end_process(net):
    """Close the sockets as the system does for a process that has exited."""
    listening_socket = net.node.clients.listening_socket
    if listening_socket:
        listening_socket.close()
    for client in list(net.node.clients.open_clients):
        client.conn.sock.close()


def run_until_exit(net, clients, step=None):
    """Run hosts and clients until the process has exited; return each client's outcome."""
    give_up_us = net.now + MAX_SHUTDOWN_US
    while net.loop.running and net.now < give_up_us:
        if isinstance(net, NodeHarness):
            net.answer_all()
        net.advance(STEP_US)
        for client in clients:
            client.read_available()
        if step:
            step()
    assert not net.loop.running, "the process did not exit"
    end_process(net)
    for client in clients:
        client.read_available()
        client.sock.close()
    return [client.outcome() for client in clients]


def free_address():
    """Return a loopback address without a listener."""
    with socket.create_server(("127.0.0.1", 0)) as sock:
        return sock.getsockname()


def write_config(folder, address, **more):
    """Write a configuration with this listen address and one host; return its path."""
    path = folder / "config"
    effects = {"effect": "retryable", "client-timeout": 900_000}
    document = {
        "name": "n",
        "listen": format_address(address),
        "discovery": "127.0.0.1:1",
        "seed": "7",
        "known": {"seq": 1, "whole": True, "hosts": [NodeHarness.host_entry(0)]},
        "settings": {"rule-sets": [{"name": "read", **effects}]},
    }
    path.write_bytes(orjson.dumps(document | more))
    return str(path)


def count_outcomes(seen):
    """Count the clients by outcome."""
    return {what: seen.count(what) for what in sorted(set(seen))}


def unanswered(seen):
    """Count the clients with an outcome other than an answer, by outcome."""
    return count_outcomes([what for what in seen if what not in ANSWERS])


__all__ = [
    "RESET",
    "QueuedClient",
    "ScriptedListener",
    "count_outcomes",
    "free_address",
    "queue_clients",
    "run_until_exit",
    "unanswered",
    "write_config",
]
