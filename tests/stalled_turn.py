"""A node's turn that is held up: time passes within it, and the kernel brings more that the turn does not know of.

A process that is stopped, or gets no core, stands still at any line. The moments here are the ones that differ: before
the clock is read, before the first callback, before a request is decided, and between the decision and the write.
"""

import socket

import orjson
from loopback_harness import wait_until_readable
from net_scenarios import discovery_socket

from orchidgap.net import connection
from orchidgap.net.loop import READ
from orchidgap.resp.slot_discovery import SlotDiscovery

STALL_US = 300_000  # past the grace of a drain
SELECTOR_ANSWERED = "the selector has answered"
BEFORE_CALLBACKS = "before the first callback"
BEFORE_DECISION = "before the decision"
BEFORE_TIMERS = "before the first timer"
BEFORE_WRITE = "between the decision and the write"


class TurnStall:
    """Stands still once, for `held_us` of the node's clock, and has `meanwhile` happen."""

    def __init__(self, net, held_us, meanwhile):
        self.net, self.held_us, self.meanwhile, self.is_over = net, held_us, meanwhile, False

    def __call__(self, *_):
        if self.is_over:
            return
        self.is_over = True
        self.net.now += self.held_us
        self.meanwhile(self.net)

    def age(self, age_us):
        """How long ago it came what the kernel had before the hold-up."""
        return age_us + self.held_us if self.is_over and age_us is not None else age_us


def stall_turn(net, monkeypatch, moment, held_us, meanwhile):
    """Have the next turn that gets to this moment stand still there."""
    stands_still = TurnStall(net, held_us, meanwhile)
    receive_age_us = connection.receive_age_us
    monkeypatch.setattr(
        connection, "receive_age_us", lambda *seen: stands_still.age(receive_age_us(*seen))
    )
    if moment == SELECTOR_ANSWERED:
        select = net.loop.selector.select

        def answered(*wait):
            events = select(*wait)
            stands_still()
            return events

        net.loop.selector.select = answered
    elif moment == BEFORE_CALLBACKS:
        stall_turn_first(net, stands_still)
    elif moment == BEFORE_TIMERS:
        net.loop.call_at(0, stands_still)
    elif moment == BEFORE_DECISION:
        put_before(net.node.balancer, "on_request", stands_still)
    else:
        put_before(net.node.pools, "send", stands_still)
    return stands_still


def stall_turn_first(net, stands_still):
    """A callback that comes before all others of the next turn."""
    near, far = socket.socketpair()
    net.kept.append(far)
    far.send(b"!")

    def on_ready(mask):
        net.loop.unwatch(near)
        near.close()
        stands_still()

    net.loop.watch(near, READ, on_ready, priority=True)


def put_before(owner, name, call):
    """This method is called behind that call."""
    method = getattr(owner, name)

    def behind(*args):
        call()
        return method(*args)

    setattr(owner, name, behind)


def bring_changes(net, *entries):
    """Discovery has told of changes, and the node has not looked."""
    agent = discovery_socket(net)
    body = orjson.dumps({"seq": 42, "whole": False, "hosts": list(entries)})
    agent.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    discovery = net.node.discovery
    if isinstance(discovery, SlotDiscovery):
        discovery = discovery.discovery
    wait_until_readable(discovery.conn.sock)


def sent_timeout_us(text):
    """The time that a host was told, in microseconds."""
    lines = text.split("\r\n")
    field = next(line for line in lines if line.startswith("Request-Timeout"))
    return round(float(field.split(": ")[1]) * 1e6)


class StalledTurnScenario:
    """A node, `net`, before a turn in which it will send; `clients` wait for an answer."""

    def run_stalled_turn(self, monkeypatch, moment, meanwhile=lambda net: None):
        """The held-up turn, which may wait as long as any, and those that follow."""
        stall_turn(self.net, monkeypatch, moment, STALL_US, meanwhile)
        self.net.loop.run_once()
        self.net.turn()

    def run_two_stalled_turns(self, monkeypatch, moment, meanwhile):
        """A held-up turn that postpones what it has to send, and one that is held up before it is sent."""
        stall_turn(self.net, monkeypatch, moment, STALL_US, lambda net: None)
        self.net.loop.run_once()
        assert self.net.loop.postponed
        self.run_stalled_turn(monkeypatch, BEFORE_CALLBACKS, meanwhile)

    def departure_of_clients(self):
        """Have all clients close, as far as the kernel knows, while a turn is held up."""
        nears = [self.net.accepted_socket(client) for client in self.clients]

        def leave(net):
            for client in self.clients:
                client.close()
            wait_until_readable(*nears)

        return leave
