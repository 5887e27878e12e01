"""RESP's accept queue: what does a client see whose connection waits there as the process ends?"""

import errno

import pytest
from backlog_harness import QueuedClient, ScriptedListener, run_until_exit, tally
from loopback_harness import LoopbackHarness
from node_harness import EventRecorder, NodeHarness
from resp_harness import RULES, Client, Town

from orchidgap.decisions.lifecycle import SHUTDOWN_ACCEPT_US
from orchidgap.net import config
from orchidgap.net.attempt_failure import AttemptFailure, SendProgress
from orchidgap.net.loop import Loop
from orchidgap.net.node import Node
from orchidgap.resp import Resp
from orchidgap.resp.writers import encode_command

FEW_DESCRIPTORS = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
LARGER_THAN_SOCKET_BUFFERS = 100
PING = encode_command(b"PING")
REPLIES = {"+PON", "-ERR"}


class RespLoopback:
    """A node that speaks RESP on loopback sockets, under a clock of its own; no server is up."""

    def __init__(self, limits):
        self.now, self.log = 10**12, EventRecorder()
        self.loop = Loop(clock=lambda: self.now, on_error=self.log.exception)
        document = {
            "name": "n0",
            "listen": "127.0.0.1:1",
            "seed": "7",
            "known": None,
            "limits": limits,
            "settings": {"rule-sets": RULES},
            "resp": {"seeds": ["127.0.0.1:2"]},
        }
        station = config.config_from_document(document)
        self.node = Node(
            self.loop,
            station,
            self.log,
            Resp(station.resp, "n0", station.listen),
            lambda address: AttemptFailure(SendProgress.UNSENT, "broken", "refused"),
        )
        self.node.start()
        self.turn()

    turn, advance, listen = NodeHarness.turn, NodeHarness.advance, LoopbackHarness.listen


def told_to_end(failure=lambda: None, on_empty=None):
    """A node that listens and was told to end; its listener is shut in the next turn."""
    net = RespLoopback(FEW_DESCRIPTORS)
    address = net.listen()
    listener = ScriptedListener(net.node.clients.listening_socket, failure, on_empty)
    net.node.clients.listening_socket = listener
    net.node.begin_shutdown()
    net.advance(SHUTDOWN_ACCEPT_US - 1)
    return net, address


def pings(address, many, stays=False):
    return [QueuedClient(address, PING, stays) for _ in range(many)]


@pytest.mark.parametrize("stays", [False, True])
def test_a_queue_longer_than_the_room_is_not_reset_by_the_end(stays):
    """More clients wait than there is room for as the listener is shut. Each command has a
    reply.
    """
    net, address = told_to_end()
    seen = run_until_exit(net, pings(address, LARGER_THAN_SOCKET_BUFFERS, stays))
    assert set(seen) <= REPLIES, tally(seen)


def test_a_shortage_of_descriptors_resets_nobody_at_the_end():
    """`accept` fails for lack of descriptors as the listener is shut, and works again later.
    Whoever waited has a reply.
    """
    works_at_us = 10**12 + SHUTDOWN_ACCEPT_US + 100_000
    net, address = told_to_end()
    net.node.clients.listening_socket.failure = lambda: (
        OSError(errno.EMFILE, "") if net.now < works_at_us else None
    )
    seen = run_until_exit(net, pings(address, 8))
    assert set(seen) <= REPLIES, tally(seen)


def test_who_comes_between_the_last_look_and_the_close_is_not_reset():
    """A connection comes up, its command written, between the `accept` that found nothing and
    the close of the listener. The command has a reply.
    """
    late = []
    net, address = told_to_end()
    net.node.clients.listening_socket.on_empty = lambda: late.extend(pings(address, 1))
    seen = run_until_exit(net, late)
    assert late and set(seen) <= REPLIES, tally(seen)


def test_a_queue_longer_than_the_room_on_the_virtual_clock():
    """The same queue on the virtual network. Each command has a reply."""
    town = Town(limits=FEW_DESCRIPTORS)
    town.share.call_soon(town.node.begin_shutdown)
    town.wait(SHUTDOWN_ACCEPT_US - 1)
    clients = [Client(town) for _ in range(LARGER_THAN_SOCKET_BUFFERS)]
    for client in clients:
        client.conn.send(PING)
    town.wait(5_000_000)
    seen = [bytes(client.got[:4]).decode() or client.over for client in clients]
    assert set(seen) <= REPLIES, tally(seen)
