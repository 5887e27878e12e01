"""Tests of the gossip transport: only signed datagrams are used, others are counted, floods are limited."""

import socket

import orjson
import pytest
from balancer_harness import BalancerHarness

from orchidgap.decisions.gossip_counts import DEFAULT_REBALANCE_INTERVAL_US
from orchidgap.net.config import ConfigError, GossipConfig, parse
from orchidgap.net.loop import Loop
from orchidgap.peers.gossip_codec import MAX_DATAGRAM_BYTES, SIGNATURE_BYTES
from orchidgap.peers.gossip_transport import (
    BAD_SIGNATURE,
    MALFORMED,
    MAX_READS_PER_SECOND,
    MAX_READS_PER_TURN,
    OUTDATED,
    RATE_LIMITED,
    SECOND_US,
    GossipTransport,
)

KEY = "0123456789abcdef"


class Node:
    """A stand-in for a node, with a balancer's decisions."""

    def __init__(self, caches):
        self.balancer = BalancerHarness(caches)

    def call_decisions(self, call, *args):
        call(*args)


class Network:
    """Balancers with one clock. Their datagrams are delivered at once and recorded."""

    def __init__(self, count, caches=4, key=KEY):
        self.now = 10**12
        self.loop = Loop(clock=lambda: self.now)
        self.sent, self.events = [], []
        addresses = [("127.0.0.1", 7400 + i) for i in range(count)]
        self.transports = [
            GossipTransport(
                self.loop,
                Node(caches),
                lambda *event, **fields: self.events.append(event[0]),
                f"b{i}",
                GossipConfig(addresses[i], addresses, key, DEFAULT_REBALANCE_INTERVAL_US),
                i,
                self.deliver,
            )
            for i in range(count)
        ]

    def deliver(self, address, data):
        assert len(data) <= MAX_DATAGRAM_BYTES
        self.sent.append(data)
        self.transports[address[1] - 7400].receive(data)

    def run(self, seconds):
        for _ in range(seconds * 20):
            self.now += 50_000
            self.loop.run_once(0)


def test_each_balancer_receives_reports_of_all_others_and_logs_that_once():
    network = Network(5)
    network.run(6)
    for transport in network.transports:
        assert (
            len(transport.gossip_counts.live_reports(network.now)) == 4
            and transport.datagram_counts[BAD_SIGNATURE]
            == transport.datagram_counts[MALFORMED]
            == 0
        )
    assert network.events == ["gossip"] * 5


def test_unsigned_and_replayed_datagrams_are_dropped():
    """A sender without the key sends datagrams of its own, or replays captured ones."""
    network = Network(2)
    network.run(3)
    transport = network.transports[0]
    report = transport.gossip_counts.live_reports(network.now)[0]
    good, before = network.sent[-1], dict(transport.datagram_counts)
    for bad in (
        b"",
        b"x" * 10,
        good[:-1],
        bytes(SIGNATURE_BYTES) + good[SIGNATURE_BYTES:],
        good + b" ",
        good + b"x" * MAX_DATAGRAM_BYTES,
        Network(2, key="another key, long").transports[1].next_datagram(network.now),
    ):
        transport.receive(bad)
    assert transport.datagram_counts[BAD_SIGNATURE] == before.get(BAD_SIGNATURE, 0) + 7
    for data in network.sent:
        transport.receive(data)
    assert transport.datagram_counts[OUTDATED] >= len(network.sent) // 2
    assert transport.gossip_counts.reports[report.balancer] == report


@pytest.mark.parametrize(
    "message",
    [
        [],
        {},
        7,
        ["b1", 1, [1, "x"], [], 5],
        ["b1", 1, [1, "x"], [], [["b1", 1, 1, 0, 1, [0, ""], [-1], 0, []]]],
        ["b1", 1, [1, "x"], ["4"], [["b1", 1, 1, 0, 1, [0, ""], [], 0, []]]],
        ["b1", 1, [1, "x"], [], [["b1", 1, 1, 0, 1, [0, ""], [], 1e99, []]]],
        ["b1", 1, [1, "x"], [], [["b1", 1, True, 0, 1, [0, ""], [], 0, []]]],
        ["b1", 1, [1, "x"], [], [["b1", 1, 1, 0, 1, [0, ""], [], 0, [[1, 2]] * 99]]],
        ["b1", 1, [1, 9], [], [["b1", 1, 1, 0, 1, [0, ""], [], 0, []]]],
    ],
)
def test_a_malformed_datagram_with_a_good_signature_changes_nothing(message):
    """A balancer of another version, or a defective one, has the key and sends other content."""
    transport = Network(2).transports[0]
    text = orjson.dumps(message)
    before = transport.gossip_counts.range_sizes()
    transport.receive(transport.codec.sign(text) + text)
    assert transport.datagram_counts[MALFORMED] == 1
    assert transport.gossip_counts.range_sizes() == before
    assert not transport.gossip_counts.reports


def test_a_datagram_is_shortened_to_what_fits():
    for caches, keys in ((4, 0), (200, 400), (400, 0)):
        network = Network(2, caches)
        hot_keys = network.transports[0].gossip_counts.placement.hot_keys
        for key in range(keys):
            hot_keys.replica_count(key, caches)
        data = network.transports[0].next_datagram(network.now)
        assert SIGNATURE_BYTES < len(data) <= MAX_DATAGRAM_BYTES
        network.transports[1].receive(data)
        assert bool(network.transports[1].gossip_counts.reports) == (caches < 400)


def test_reading_is_limited_during_a_flood_and_resumes_after_it():
    """Random datagrams arrive faster than the limit allows. They must not delay clients."""
    network = Network(1)
    transport = network.transports[0]
    transport.listen(("127.0.0.1", 0))
    sender = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for _ in range(2 * MAX_READS_PER_SECOND // MAX_READS_PER_TURN):
        for _ in range(MAX_READS_PER_TURN):
            sender.sendto(b"noise", transport.sock.getsockname())
        network.loop.run_once(0)
    assert transport.reads_in_second == MAX_READS_PER_SECOND
    assert transport.datagram_counts[BAD_SIGNATURE] == MAX_READS_PER_SECOND
    assert transport.datagram_counts[RATE_LIMITED] == 1
    network.now += SECOND_US
    network.loop.run_once(0)
    network.loop.run_once(0)
    assert transport.datagram_counts[BAD_SIGNATURE] > MAX_READS_PER_SECOND
    transport.close()
    sender.close()


@pytest.mark.parametrize(
    ("part", "error_text"),
    [
        (7, "pool must be an object with listen, peers and key"),
        (
            {"listen": "127.0.0.1:7400", "peers": [], "key": "short"},
            "pool.key must be a text of 16 letters or more",
        ),
        ({"listen": "nowhere", "peers": [], "key": KEY}, "not an address: 'nowhere'"),
        (
            {"listen": "10.1.1.1:7400", "peers": [], "key": KEY},
            "pool.listen is 10.1.1.1:7400: set pool.beyond-loopback",
        ),
        (
            {"listen": "127.0.0.1:7400", "peers": [], "key": KEY, "draw-ms": 10},
            "pool.draw-ms is 10, and must be 5000 or more",
        ),
        (
            {"listen": "127.0.0.1:7400", "peers": ["127.0.0.1:1"] * 513, "key": KEY},
            "pool.peers lists 513; 512 can be",
        ),
    ],
)
def test_an_invalid_gossip_section_is_reported_on_one_line(part, error_text):
    """The configuration's section for gossip has a mistake."""
    config = {
        "name": "n",
        "listen": "127.0.0.1:7070",
        "discovery": "127.0.0.1:8500",
        "pool": part,
        "settings": {"rule-sets": [{"name": "read", "effect": "retryable", "client-timeout": 9}]},
    }
    with pytest.raises(ConfigError, match="the file: ") as caught:
        parse(orjson.dumps(config), "the file")
    assert error_text in str(caught.value) and "\n" not in str(caught.value)


def test_two_processes_of_one_balancer_share_an_address_during_a_handover():
    """The successor process starts while its predecessor is running, and needs the same address."""
    first, second = Network(1).transports[0], Network(1).transports[0]
    first.listen(("127.0.0.1", 0), shared=True)
    with pytest.raises(OSError):
        second.listen(first.sock.getsockname())
    second.listen(first.sock.getsockname(), shared=True)
    first.close()
    second.close()
