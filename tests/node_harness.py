"""A node on socket pairs with a simulated clock, for tests that act as clients and hosts."""

import socket

from balancer_harness import SETTINGS

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.settings import ServiceSettings
from orchidgap.http1.protocol import Http1
from orchidgap.net.attempt_failure import AttemptFailure, SendProgress
from orchidgap.net.config import BalancerConfig
from orchidgap.net.endpoints import decode_list
from orchidgap.net.loop import Loop
from orchidgap.net.node import Node


class EventRecorder:
    """Records the names of logged events; an exception that is not expected fails the test."""

    def __init__(self, expected_errors=()):
        self.lines, self.expected_errors = [], expected_errors

    def __call__(self, event, **facts):
        self.lines.append(event)

    def exception(self, error):
        if type(error) not in self.expected_errors:
            raise error
        self.lines.append(type(error).__name__)


class NodeHarness:
    """A node on socket pairs with a simulated clock.

    Host number i listens at port 100 + i; number 9 is the origin.
    """

    def __init__(
        self,
        caches=2,
        expected_errors=(),
        sockets=1024,
        memory=192,
        start=True,
        decider=Balancer,
        listed=True,
        **pairs,
    ):
        self.now, self.log, self.dialled, self.refused, self.open_sockets = (
            10**12,
            EventRecorder(expected_errors),
            [],
            set(),
            [],
        )
        self.loop = Loop(clock=lambda: self.now, on_error=self.log.exception)
        pairs = SETTINGS | {name.replace("__", "."): value for name, value in pairs.items()}
        initial_list = decode_list(
            {
                "seq": 7,
                "whole": True,
                "hosts": [self.host_entry(i) for i in range(caches)] + [self.host_entry(9)],
            }
        )
        self.node = Node(
            self.loop,
            BalancerConfig(
                "n0",
                ("127.0.0.1", 1),
                ("127.0.0.1", 8500),
                7,
                sockets,
                memory,
                initial_list,
                ServiceSettings.from_pairs(pairs),
                100_000,
                30_000_000,
            ),
            self.log,
            Http1(),
            self.dial,
            decider,
        )
        self.outcomes = []  # of attempts, as reported to the decisions
        on_outcome = self.node.balancer.on_outcome
        self.node.balancer.on_outcome = lambda id, number, outcome, answered: (
            self.outcomes.append(outcome),
            on_outcome(id, number, outcome, answered),
        )
        self.node.list_received = (
            listed  # if False, the node serves after the first list, or once the wait for it ends
        )
        if start:
            self.node.start()
            self.turn()

    @staticmethod
    def host_entry(number, health="Ready", port=None, born=0):
        return {
            "host": f"c{number}" if number < 9 else "o",
            "dial": f"127.0.0.1:{port or 100 + number}",
            "site": "z",
            "class": "cache" if number < 9 else "origin",
            "block": 1,
            "health": health,
            "share": 1.0,
            "born_ms": born,
        }

    def dial(self, address):
        if address[1] in self.refused:
            return AttemptFailure(SendProgress.UNSENT, "broken", "refused")
        near, far = socket.socketpair()
        far.setblocking(False)
        self.dialled.append((address[1], far))
        return near

    def turn(self, times=4):
        for _ in range(times):
            self.loop.run_once(0)

    def advance(self, duration_us):
        """Advance the clock by this many microseconds and run the timers that become due."""
        end = self.now + duration_us
        while self.loop.timers and self.loop.timers[0][0] <= end:
            self.now = max(self.now, self.loop.timers[0][0])
            self.turn()
        self.now = end
        self.turn()

    def client(self, text=b""):
        near, far = socket.socketpair()
        far.setblocking(False)
        self.open_sockets.append(far)  # a collected socket would close the connection
        far.sendall(text)
        self.turn(1)
        self.node.clients.admit(near)
        self.turn()
        return far

    def send_request(self, key="k1", rule_set="read", left="2.0", method="GET", body=""):
        more = f"Content-Length: {len(body)}\r\nIdempotency-Key: m1\r\n" if method == "PUT" else ""
        return self.client(
            f"{method} /{rule_set}/{key}?q=1 HTTP/1.1\r\nHost: s\r\nRequest-Id: r-{key}\r\n{more}"
            f"Tenant: small\r\nRequest-Timeout: {left}\r\n\r\n{body}".encode()
        )

    def host_sockets(self):
        """Return the hosts' ends of all connections, in the order in which they were dialled."""
        return [far for port, far in self.dialled if port != 8500]

    def host_socket(self, number=-1):
        return self.host_sockets()[number]

    def send_and_turn(self, far, text):
        far.sendall(text.encode() if isinstance(text, str) else text)
        self.turn()

    def answer_all(self):
        """Answer from every host that has received a request."""
        for far in self.host_sockets():
            if received_text(far):
                self.answer_from_host(far)

    def answer_from_host(self, far, status=200, body="v", more=""):
        self.send_and_turn(
            far, f"HTTP/1.1 {status} X\r\nContent-Length: {len(body)}\r\n{more}\r\n{body}"
        )


def received_text(far):
    """Return the text received at this end, "" if the connection was closed, or None if nothing
    arrived.
    """
    try:
        return far.recv(1 << 17).decode()
    except BlockingIOError:
        return None
    except ConnectionError:
        return ""
