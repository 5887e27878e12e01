"""Datagrams between balancers: what is signed is heard, all else is dropped and counted, and a flood is not read."""

import socket

import orjson
import pytest
from balancer_harness import BalancerHarness

from orchidgap.decisions.gossip_counts import GAP
from orchidgap.net.config import ConfigError, parse
from orchidgap.net.loop import Loop
from orchidgap.peers.gossip_transport import AT_ONCE, LONGEST, MOST, SECOND, SIGNED, Talk

KEY = "0123456789abcdef"


class Node:
    """A balancer's decisions, as a node has them."""

    def __init__(self, caches):
        self.balancer = BalancerHarness(caches)

    def call_decisions(self, call, *args):
        call(*args)


class Ground:
    """Talks under one clock, whose datagrams come at once or are kept."""

    def __init__(self, count, caches=4, key=KEY):
        self.now = 10**12
        self.loop = Loop(clock=lambda: self.now)
        self.sent, self.said = [], []
        at = [("127.0.0.1", 7400 + i) for i in range(count)]
        self.talks = [
            Talk(
                self.loop,
                Node(caches),
                lambda *what, **more: self.said.append(what[0]),
                f"b{i}",
                {"listen": at[i], "peers": at, "key": key, "gap": GAP},
                i,
                self.keep,
            )
            for i in range(count)
        ]

    def keep(self, address, data):
        assert len(data) <= LONGEST
        self.sent.append(data)
        self.talks[address[1] - 7400].heard(data)

    def run(self, seconds):
        for _ in range(seconds * 20):
            self.now += 50_000
            self.loop.run_once(0)


def test_each_hears_all_and_says_so_once():
    ground = Ground(5)
    ground.run(6)
    for talk in ground.talks:
        assert (
            len(talk.pool.live(ground.now)) == 4
            and talk.counts["strange"] == talk.counts["odd"] == 0
        )
    assert ground.said == ["pool"] * 5


def test_what_is_not_signed_is_dropped_and_what_came_before_is_no_news():
    ground = Ground(2)
    ground.run(3)
    talk, (name, row) = ground.talks[0], ground.talks[0].pool.live(ground.now)[0]
    good, before = ground.sent[-1], dict(talk.counts)
    for bad in (
        b"",
        b"x" * 10,
        good[:-1],
        bytes(SIGNED) + good[SIGNED:],
        good + b" ",
        good + b"x" * LONGEST,
        Ground(2, key="another key, long").talks[1].datagram(ground.now),
    ):
        talk.heard(bad)
    assert talk.counts["strange"] == before.get("strange", 0) + 7
    for data in ground.sent:
        talk.heard(data)
    assert talk.counts["old"] >= len(ground.sent) // 2 and talk.pool.rows[name] == row


@pytest.mark.parametrize(
    "told",
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
def test_odd_words_with_a_good_digest_change_nothing(told):
    talk = Ground(2).talks[0]
    text = orjson.dumps(told)
    before = talk.pool.sizes()
    talk.heard(talk.sign(text) + text)
    assert talk.counts["odd"] == 1 and talk.pool.sizes() == before and not talk.pool.rows


def test_a_datagram_holds_what_there_is_room_for():
    for caches, keys in ((4, 0), (200, 400), (400, 0)):
        ground = Ground(2, caches)
        heat = ground.talks[0].pool.placement.hot_keys
        for key in range(keys):
            heat.replica_count(key, caches)
        data = ground.talks[0].datagram(ground.now)
        assert SIGNED < len(data) <= LONGEST
        ground.talks[1].heard(data)
        assert bool(ground.talks[1].pool.rows) == (caches < 400)


def test_a_flood_is_not_read_beyond_its_bound_and_ends():
    ground = Ground(1)
    talk = ground.talks[0]
    talk.listen(("127.0.0.1", 0))
    near = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    for _ in range(2 * MOST // AT_ONCE):
        for _ in range(AT_ONCE):
            near.sendto(b"noise", talk.sock.getsockname())
        ground.loop.run_once(0)
    assert talk.read == MOST and talk.counts["strange"] == MOST and talk.counts["rested"] == 1
    ground.now += SECOND
    ground.loop.run_once(0)
    ground.loop.run_once(0)
    assert talk.counts["strange"] > MOST
    talk.close()
    near.close()


@pytest.mark.parametrize(
    ("part", "said"),
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
def test_a_bad_part_is_one_plain_line(part, said):
    told = {
        "name": "n",
        "listen": "127.0.0.1:7070",
        "discovery": "127.0.0.1:8500",
        "pool": part,
        "settings": {"rule-sets": [{"name": "read", "effect": "retryable", "client-timeout": 9}]},
    }
    with pytest.raises(ConfigError, match="the file: ") as trouble:
        parse(orjson.dumps(told), "the file")
    assert said in str(trouble.value) and "\n" not in str(trouble.value)


def test_two_processes_of_one_balancer_hear_at_one_address_while_one_takes_the_others_place():
    first, second = Ground(1).talks[0], Ground(1).talks[0]
    first.listen(("127.0.0.1", 0), shared=True)
    with pytest.raises(OSError):
        second.listen(first.sock.getsockname())
    second.listen(first.sock.getsockname(), shared=True)
    first.close()
    second.close()
