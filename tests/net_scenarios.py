"""Helpers of several test files on a node: signals, pairs that are full, the list as the node has it."""

import contextlib
import signal
import socket

import orjson
from node_harness import received_text

from orchidgap.net.server import handle_signals

LIST = "/discovery/hosts"


WAITS = {"ceilings__may-cancel": "false"}  # a req waits for its host as long as its client does


REQ = b"GET /read/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\n"


@contextlib.contextmanager
def signals(net, path):
    kept = {
        number: signal.getsignal(number)
        for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
    }
    bell = handle_signals(net.loop, net.node, path)
    try:
        yield
    finally:
        signal.set_wakeup_fd(-1)
        for number, handler in kept.items():
            signal.signal(number, handler)
        bell.close()


def idle_links(net, many):
    """So many links of c0, all idle, the last used last."""
    clients = [net.send_request(f"k{i}") for i in range(many)]
    for i, client in enumerate(clients):
        net.now += 1_000
        net.answer_from_host(net.host_socket(i))
        assert received_text(client).startswith("HTTP/1.1 200")
    return [net.host_socket(i) for i in range(many)]


def full_pair():
    """The near end does not become writable, as one that is still connecting."""
    near, far = socket.socketpair()
    near.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            near.send(bytes(1 << 16))
    return near, far


def discovery_socket(net):
    """The agent's end, and what has been asked there."""
    return next(far for port, far in reversed(net.dialled) if port == 8500)


def push_host_list(net, seq, whole, hosts, status=200):
    net.answer_from_host(
        discovery_socket(net),
        status,
        orjson.dumps({"seq": seq, "whole": whole, "hosts": hosts}).decode(),
    )


def host_states(net):
    return {id: host.state for id, host in net.node.balancer.hosts.items()}


GOOD = {
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
