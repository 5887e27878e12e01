"""Datagrams between balancers: each tells two others, twice a second, what it counted and heard.

A datagram is 16 bytes of a keyed digest and JSON: who tells, its caches, its table, and rows (`pool.Row`),
its own first. What is not signed with the key, odd, or an old row again is dropped and counted. So many are
read in a second and no more; the system drops the rest.
"""

from __future__ import annotations

import errno
import os
import socket
from collections import Counter
from collections.abc import Callable, Mapping
from hashlib import blake2b
from hmac import compare_digest
from random import Random
from typing import Any

import orjson

from orchidgap.decisions.gossip_counts import MOST_KEYS, Pool, Row
from orchidgap.net.addresses import Address, format_address
from orchidgap.net.config import BalancerConfig, ConfigError
from orchidgap.net.event_log import EventLog
from orchidgap.net.loop import READ, Loop
from orchidgap.net.node import Node

BEAT = 500_000  # between two rounds of telling, half as much more or less by chance
TOLD = 2  # balancers that are told in each
LONGEST = 1_400  # bytes of a datagram
MOST = 200  # datagrams read in a second
AT_ONCE = 32  # of them in one turn of the loop
SIGNED = 16
PASSED_ON = 3  # rows of others in a datagram, as far as there is room
SECOND = 1_000_000
SAY = 60_000_000  # between two lines about what was dropped
MOST_CACHES = 200


def bounded(value: Any, most: float = 1e9) -> float:
    if type(value) not in (int, float) or not 0 <= value <= most:
        raise ValueError("not a count")
    return float(value)


def row_of(told: Any, now: int) -> tuple[str, Row]:
    """A row as it stands in a datagram. Raises ValueError, TypeError or IndexError.

    >>> row_of(["b1", 7, 3, 500, 9, [1, "b2"], [4, 5], 30, [[24881, 2.5]]], 10_000)[1].keys
    {24881: 2.5}
    >>> row_of(["b1", 7, 3, 500, 9, [1, "b2"], [4, -5], 30, []], 10_000)
    Traceback (most recent call last):
        ...
    ValueError: not a count
    """
    name, life, number, age, ring, (count, author), sends, reads, keys = told
    if not (
        isinstance(name, str)
        and isinstance(author, str)
        and 0 < len(name) <= 64
        and len(author) <= 64
    ):
        raise ValueError("not a name")
    if len(sends) > MOST_CACHES or len(keys) > MOST_KEYS:
        raise ValueError("too many")
    for whole in (life, number, age, ring, count):
        if type(whole) is not int or not 0 <= whole < 1 << 63:
            raise ValueError("not a whole number")
    return name, Row(
        life,
        number,
        now - age,
        ring,
        (count, author),
        [int(bounded(one)) for one in sends],
        bounded(reads),
        {int(bounded(key, 1 << 32)): bounded(one) for key, one in keys},
    )


class Talk:
    """`send` takes an address and a datagram; `heard` is to be called with each that comes."""

    def __init__(
        self,
        loop: Loop,
        node: Node,
        log: EventLog,
        name: str,
        part: Mapping[str, Any],
        seed: int,
        send: Callable[[Address, bytes], None] | None = None,
    ) -> None:
        self.loop, self.node, self.log, self.rng = loop, node, log, Random(seed ^ 0x706F6F6C)
        self.name, self.key = name, blake2b(part["key"].encode(), digest_size=32).digest()
        self.peers = [peer for peer in part["peers"] if peer != part["listen"]]
        self.pool = Pool(name, loop.now, node.balancer.placement, self.rng, loop.now, part["gap"])
        self.counts: Counter[str] = Counter()
        self.said: Counter[str] = Counter()
        self.alone, self.second, self.read, self.said_at = True, 0, 0, loop.now
        self.sock: socket.socket | None = None
        self.send = send or self.put
        loop.call_later(self.rng.randrange(BEAT), self.beat)

    def listen(self, address: Address, shared: bool = False) -> None:
        """`shared` with the process of this balancer that it takes the place of. Raises OSError."""
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            if shared:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        self.sock = sock
        self.loop.watch(sock, READ, self.readable)

    def close(self) -> None:
        if self.sock:
            self.loop.unwatch(self.sock)
            self.sock.close()
            self.sock = None

    # --- out

    def put(self, address: Address, data: bytes) -> None:
        if self.sock:
            try:
                self.sock.sendto(data, address)
            except (
                OSError
            ) as trouble:  # nobody there, or the system is short of room: the next one may come
                self.counts["unsent" if trouble.errno != errno.ECONNREFUSED else "refused"] += 1

    def beat(self) -> None:
        self.loop.call_later(self.rng.randrange(BEAT // 2, BEAT * 3 // 2), self.beat)
        now = self.loop.now
        self.node.call_decisions(self.look, now)
        if self.peers:
            data = self.datagram(now)
            for peer in self.rng.sample(self.peers, min(TOLD, len(self.peers))):
                self.send(peer, data)
                self.counts["sent"] += 1

    def look(self, now: int) -> None:
        pool, rows = self.pool, len(self.pool.live(now))
        if self.alone == bool(rows):
            self.alone = not rows
            self.log("pool alone" if self.alone else "pool", rows=rows, of=len(self.peers))
        if pool.tick(now):
            self.log("table drawn", version=pool.version[0], rows=rows, sizes=pool.sizes())
        if now - self.said_at >= SAY:
            self.said_at = now
            if drops := {
                what: count - self.said[what]
                for what, count in self.counts.items()
                if what not in ("sent", "heard") and count > self.said[what]
            }:
                self.log("pool drops", **drops)
            self.said = Counter(self.counts)

    def datagram(self, now: int) -> bytes:
        pool = self.pool
        rows = [(self.name, pool.own(now))]
        others = pool.live(now)
        rows += self.rng.sample(others, min(PASSED_ON, len(others)))
        while True:
            told = [
                self.name,
                rows[0][1].ring,
                pool.version,
                pool.sizes(),
                [
                    [
                        name,
                        row.life,
                        row.number,
                        max(0, now - row.since),
                        row.ring,
                        row.version,
                        [round(one) for one in row.sends],
                        round(row.reads, 1),
                        [[key, round(count, 1)] for key, count in row.keys.items()],
                    ]
                    for name, row in rows
                ],
            ]
            text = orjson.dumps(told)
            if len(text) + SIGNED <= LONGEST:
                return self.sign(text) + text
            if len(rows) > 1:
                rows.pop()
            elif rows[0][1].keys:
                own = rows[0][1]
                rows[0] = (
                    self.name,
                    own._replace(keys=dict(list(own.keys.items())[: len(own.keys) // 2])),
                )
            else:
                return (
                    self.sign(b"[]") + b"[]"
                )  # more caches than a datagram holds: nobody is told of them

    def sign(self, text: bytes) -> bytes:
        return blake2b(text, key=self.key, digest_size=SIGNED).digest()

    # --- in

    def readable(self, mask: int) -> None:
        for _ in range(AT_ONCE):
            if not self.sock:
                return
            second = self.loop.now // SECOND
            if second != self.second:
                self.second, self.read = second, 0
            if self.read >= MOST:
                # a flood must not cost the clients' time: until the next second nobody is listened to
                self.loop.unwatch(self.sock)
                self.loop.call_at((second + 1) * SECOND, self.again)
                self.counts["rested"] += 1
                return
            try:
                data = self.sock.recv(LONGEST + 1)
            except BlockingIOError:
                return
            except OSError:  # what an earlier one met
                continue
            self.read += 1
            self.heard(data)

    def again(self) -> None:
        if self.sock:
            self.loop.watch(self.sock, READ, self.readable)

    def heard(self, data: bytes) -> None:
        signed, text = data[:SIGNED], data[SIGNED:]
        if len(data) > LONGEST or not compare_digest(signed, self.sign(text)):
            self.counts["strange"] += 1
            return
        now = self.loop.now
        try:
            name, ring, (count, author), sizes, rows = orjson.loads(text)
            found = [row_of(row, now) for row in rows[: PASSED_ON + 1]]
            if any(type(one) is not int for one in (ring, count, *sizes)) or not isinstance(
                author, str
            ):
                raise ValueError("not a table")
            self.counts["heard"] += 1
            old = [self.pool.hear(who, row) for who, row in found]
            if not found or found[0][0] != name or old[0]:
                self.counts["old"] += (
                    1  # its teller's own row was known: what it says may be long past
                )
                return
            self.node.balancer.now = now
            self.pool.meets(ring, (count, author), sizes, now)
        except (ValueError, TypeError, IndexError):
            self.counts["odd"] += 1


def talk_of(loop: Loop, node: Node, log: EventLog, station: BalancerConfig) -> Talk:
    """Raises ConfigError where the address cannot be had."""
    assert station.gossip
    talk = Talk(loop, node, log, station.name, station.gossip, station.seed)
    try:
        talk.listen(station.gossip["listen"], "GW_PASSED_SOCKET" in os.environ)
    except OSError as trouble:
        raise ConfigError(
            f"cannot hear at {format_address(station.gossip['listen'])}: {trouble.strerror}"
        ) from None
    return talk
