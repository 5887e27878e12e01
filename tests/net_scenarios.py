"""Helpers shared by tests of a node: signals, unwritable sockets, discovery answers, host states."""

import contextlib
import signal
import socket

import orjson
from node_harness import received_text

from orchidgap.net.server import handle_signals

LIST_PATH = "/discovery/hosts"


NO_CANCELLATION = {"ceilings__may-cancel": "false"}  # attempts may not be cancelled


REQUEST_HEAD = b"GET /read/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\n"


@contextlib.contextmanager
def signal_handlers(net, path):
    previous_handlers = {
        number: signal.getsignal(number)
        for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
    }
    wakeup_socket = handle_signals(net.loop, net.node, path)
    try:
        yield
    finally:
        signal.set_wakeup_fd(-1)
        for number, handler in previous_handlers.items():
            signal.signal(number, handler)
        wakeup_socket.close()


def open_idle_connections(net, count):
    """Open `count` idle connections to c0 and return the host's ends; the last one was used last."""
    clients = [net.send_request(f"k{i}") for i in range(count)]
    for i, client in enumerate(clients):
        net.now += 1_000
        net.answer_from_host(net.host_socket(i))
        assert received_text(client).startswith("HTTP/1.1 200")
    return [net.host_socket(i) for i in range(count)]


def unwritable_pair():
    """Return a socket pair whose near end stays unwritable, as if it were still connecting."""
    near, far = socket.socketpair()
    near.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            near.send(bytes(1 << 16))
    return near, far


def discovery_socket(net):
    """Return the discovery server's end of the newest connection from the node."""
    return next(far for port, far in reversed(net.dialled) if port == 8500)


def push_host_list(net, seq, whole, hosts, status=200):
    net.answer_from_host(
        discovery_socket(net),
        status,
        orjson.dumps({"seq": seq, "whole": whole, "hosts": hosts}).decode(),
    )


def host_states(net):
    return {id: host.state for id, host in net.node.balancer.hosts.items()}


VALID_CONFIG = {
    "name": "n",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "ff",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"seq": 1, "whole": True, "hosts": []},
    "settings": {
        "kinds": ["cache", "origin"],
        "ceilings": {"conn-idle": 7},
        "rule-sets": [{"name": "read", "effect": "retryable", "client-timeout": 900}],
    },
}
