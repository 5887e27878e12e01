"""RESP clients that are in the accept queue at shutdown get a reply instead of a reset."""

import errno

import pytest
from backlog_harness import QueuedClient, ScriptedListener, count_outcomes, run_until_exit
from loopback_harness import LoopbackHarness
from node_harness import EventRecorder, NodeHarness
from resp_harness import RULES, Client, RespCluster

from orchidgap.decisions.lifecycle import SHUTDOWN_ACCEPT_US
from orchidgap.net import config
from orchidgap.net.attempt_failure import AttemptFailure, SendProgress
from orchidgap.net.loop import Loop
from orchidgap.net.node import Node
from orchidgap.resp import Resp
from orchidgap.resp.writers import encode_command

FEW_DESCRIPTORS = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
MORE_CLIENTS_THAN_LIMIT = 100
PING = encode_command(b"PING")
REPLIES = {"+PON", "-ERR"}


class RespLoopback:
    """A RESP node on loopback sockets with a manual clock; no slot server is reachable."""

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
        node_config = config.config_from_document(document)
        self.node = Node(
            self.loop,
            node_config,
            self.log,
            Resp(node_config.resp, "n0", node_config.listen),
            lambda address: AttemptFailure(SendProgress.UNSENT, "broken", "refused"),
        )
        self.node.start()
        self.turn()

    turn, advance, listen = NodeHarness.turn, NodeHarness.advance, LoopbackHarness.listen


def node_in_shutdown(failure=lambda: None, on_empty=None):
    """Returns a node in shutdown, whose listener is closed in the next turn, and its address."""
    net = RespLoopback(FEW_DESCRIPTORS)
    address = net.listen()
    listener = ScriptedListener(net.node.clients.listening_socket, failure, on_empty)
    net.node.clients.listening_socket = listener
    net.node.begin_shutdown()
    net.advance(SHUTDOWN_ACCEPT_US - 1)
    return net, address


def ping_clients(address, count, stays=False):
    return [QueuedClient(address, PING, stays) for _ in range(count)]


@pytest.mark.parametrize("stays", [False, True])
def test_a_queue_longer_than_the_limit_is_answered_at_shutdown(stays):
    """More clients are queued than the connection limit allows when the listener is closed. Each
    command gets a reply.
    """
    net, address = node_in_shutdown()
    outcomes = run_until_exit(net, ping_clients(address, MORE_CLIENTS_THAN_LIMIT, stays))
    assert set(outcomes) <= REPLIES, count_outcomes(outcomes)


def test_a_descriptor_shortage_resets_no_client_at_shutdown():
    """`accept` fails for lack of file descriptors when the listener is to be closed, and works
    again later. Each queued client gets a reply.
    """
    works_at_us = 10**12 + SHUTDOWN_ACCEPT_US + 100_000
    net, address = node_in_shutdown()
    net.node.clients.listening_socket.failure = lambda: (
        OSError(errno.EMFILE, "") if net.now < works_at_us else None
    )
    outcomes = run_until_exit(net, ping_clients(address, 8))
    assert set(outcomes) <= REPLIES, count_outcomes(outcomes)


def test_a_connection_between_the_last_accept_and_the_close_is_not_reset():
    """A client connects and writes a command between the last `accept`, which found no connection,
    and the close of the listener. The command gets a reply.
    """
    late = []
    net, address = node_in_shutdown()
    net.node.clients.listening_socket.on_empty = lambda: late.extend(ping_clients(address, 1))
    outcomes = run_until_exit(net, late)
    assert late and set(outcomes) <= REPLIES, count_outcomes(outcomes)


def test_a_queue_longer_than_the_limit_is_answered_on_the_virtual_network():
    """More clients than the limit are queued, on the virtual network. Each command gets a reply."""
    cluster = RespCluster(limits=FEW_DESCRIPTORS)
    cluster.node_loop.call_soon(cluster.node.begin_shutdown)
    cluster.advance(SHUTDOWN_ACCEPT_US - 1)
    clients = [Client(cluster) for _ in range(MORE_CLIENTS_THAN_LIMIT)]
    for client in clients:
        client.conn.send(PING)
    cluster.advance(5_000_000)
    outcomes = [
        bytes(client.received_bytes[:4]).decode() or client.end_reason for client in clients
    ]
    assert set(outcomes) <= REPLIES, count_outcomes(outcomes)
