"""Stalls a node's turn: time passes and bytes arrive that the turn does not know of.

A process that is stopped, or is not scheduled, can stall at any line. The moments here are those
that lead to different outcomes: before the clock is read, before the first callback, before a
request is decided, before the first timer, and between the decision and the write.
"""

import socket

import orjson
from loopback_harness import wait_until_readable
from net_scenarios import discovery_socket

from orchidgap.net import connection
from orchidgap.net.loop import READ
from orchidgap.resp.slot_discovery import SlotDiscovery

STALL_US = 300_000  # longer than the grace period of a drain
SELECTOR_ANSWERED = "the selector has answered"
BEFORE_CALLBACKS = "before the first callback"
BEFORE_DECISION = "before the decision"
BEFORE_TIMERS = "before the first timer"
BEFORE_WRITE = "between the decision and the write"


class TurnStall:
    """Stalls once for `duration_us` of the node's clock and calls `during_stall` meanwhile."""

    def __init__(self, net, duration_us, during_stall):
        self.net, self.duration_us, self.during_stall, self.is_over = (
            net,
            duration_us,
            during_stall,
            False,
        )

    def __call__(self, *_):
        if self.is_over:
            return
        self.is_over = True
        self.net.now += self.duration_us
        self.during_stall(self.net)

    def adjusted_age_us(self, age_us):
        """Return the age of bytes that the kernel received before the stall, including the stall."""
        return age_us + self.duration_us if self.is_over and age_us is not None else age_us


def stall_turn(net, monkeypatch, moment, duration_us, during_stall):
    """Make the next turn that reaches this moment stall there."""
    stall = TurnStall(net, duration_us, during_stall)
    receive_age_us = connection.receive_age_us
    monkeypatch.setattr(
        connection, "receive_age_us", lambda *seen: stall.adjusted_age_us(receive_age_us(*seen))
    )
    if moment == SELECTOR_ANSWERED:
        select = net.loop.selector.select

        def select_and_stall(*wait):
            events = select(*wait)
            stall()
            return events

        net.loop.selector.select = select_and_stall
    elif moment == BEFORE_CALLBACKS:
        stall_before_callbacks(net, stall)
    elif moment == BEFORE_TIMERS:
        net.loop.call_at(0, stall)
    elif moment == BEFORE_DECISION:
        call_before(net.node.balancer, "on_request", stall)
    else:
        call_before(net.node.pools, "send", stall)
    return stall


def stall_before_callbacks(net, stall):
    """Stall in a callback that runs before all others of the next turn."""
    near, far = socket.socketpair()
    net.open_sockets.append(far)
    far.send(b"!")

    def on_ready(mask):
        net.loop.unwatch(near)
        near.close()
        stall()

    net.loop.watch(near, READ, on_ready, priority=True)


def call_before(owner, name, first):
    """Wrap this method so that `first` is called before it."""
    method = getattr(owner, name)

    def wrapper(*args):
        first()
        return method(*args)

    setattr(owner, name, wrapper)


def deliver_list_changes(net, *entries):
    """Send list changes from discovery, which the node has not read yet."""
    agent = discovery_socket(net)
    body = orjson.dumps({"seq": 42, "whole": False, "hosts": list(entries)})
    agent.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    discovery = net.node.discovery
    if isinstance(discovery, SlotDiscovery):
        discovery = discovery.discovery
    wait_until_readable(discovery.conn.sock)


def sent_timeout_us(text):
    """Return the Request-Timeout that was sent to a host, in microseconds."""
    lines = text.split("\r\n")
    field = next(line for line in lines if line.startswith("Request-Timeout"))
    return round(float(field.split(": ")[1]) * 1e6)


class StalledTurnScenario:
    """A node, `net`, before a turn in which it will send; `clients` are waiting for an answer."""

    def run_stalled_turn(self, monkeypatch, moment, during_stall=lambda net: None):
        """Run a stalled turn, which may block in its select like any other, and the turns after
        it.
        """
        stall_turn(self.net, monkeypatch, moment, STALL_US, during_stall)
        self.net.loop.run_once()
        self.net.turn()

    def run_two_stalled_turns(self, monkeypatch, moment, during_stall):
        """Run a stalled turn that postpones its send, and one that stalls before the postponed
        send.
        """
        stall_turn(self.net, monkeypatch, moment, STALL_US, lambda net: None)
        self.net.loop.run_once()
        assert self.net.loop.postponed
        self.run_stalled_turn(monkeypatch, BEFORE_CALLBACKS, during_stall)

    def disconnect_all_clients(self):
        """Return a callback that closes all client connections while a turn is stalled."""
        node_sockets = [self.net.accepted_socket(client) for client in self.clients]

        def disconnect(net):
            for client in self.clients:
                client.close()
            wait_until_readable(*node_sockets)

        return disconnect
