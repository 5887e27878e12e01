"""The list of hosts: fetched whole, then watched for changes on one connection to the agent."""

from __future__ import annotations

import socket
from collections.abc import Callable
from ipaddress import IPv4Address
from random import Random
from typing import Any

import orjson

from orchidgap.net.connection import Address, Connection, Fault, dial
from orchidgap.net.http import AnswerReader
from orchidgap.net.loop import Loop, Timer

WATCH_MS = 5_000            # how long a watch may wait: silence beyond it is noticed
GRACE = 1_000_000           # after which an answer that is due is held to be lost
FIRST, LONGEST = 100_000, 2_000_000  # back-off
SHORTEST = 20_000           # a watch that tells nothing in less is not asked again at once
MOST = 1 << 22              # bytes of a list
STATES = {"Ready": "up", "Terminating": "draining", "Gone": "gone"}

Entry = tuple[str, str, int, str, str, str, float]


def address_of(text: str) -> Address:
    """
    >>> address_of("127.0.0.1:80")
    ('127.0.0.1', 80)
    >>> address_of("cache.internal:80")
    Traceback (most recent call last):
        ...
    ValueError: not an address: 'cache.internal:80'
    """
    host, _, port = text.rpartition(":")
    try:
        IPv4Address(host)  # a name would be looked up, and the loop would wait for that
        if not 0 < int(port) < 1 << 16:
            raise ValueError
    except ValueError:
        raise ValueError(f"not an address: {text!r}") from None
    return host, int(port)


def decoded(told: Any) -> tuple[int, bool, list[Entry], list[tuple[str, str, Address]]]:
    """The version, whether the list is whole, its entries, and where each host is found.

    One odd entry must not keep the balancer on an old list: a host in a state that has no name here, or at no
    address, wants nothing new.

    >>> decoded({"seq": 4, "whole": False, "hosts": [{"host": "s", "dial": "127.0.0.2:7", "site": "a",
    ...     "class": "m", "block": 3, "health": "Ready", "share": 1, "born_ms": 5}]})
    (4, False, [('s', 'up', 5000, 'a', 'm', '3', 1.0)], [('s', 'up', ('127.0.0.2', 7))])
    >>> decoded({"seq": 4, "whole": True, "hosts": [{"host": "s", "dial": "", "health": "Ready"}]})[3]
    [('s', 'draining', ('', 0))]
    """
    entries, found = [], []
    for host in told["hosts"]:
        id, state, address = str(host["host"]), STATES.get(host["health"], "draining"), ("", 0)
        if state != "gone":
            try:
                address = address_of(host["dial"])
            except ValueError:
                state = "draining"
        share, born = host.get("share"), host.get("born_ms")
        entries.append((id, state, int(born or 0) * 1000, str(host.get("site")), str(host.get("class")),
                        str(host.get("block")), 1.0 if share is None else float(share)))
        found.append((id, state, address))
    return int(told["seq"]), bool(told["whole"]), entries, found


class Registry:
    def __init__(self, loop: Loop, address: Address, rng: Random,
                 heard: Callable[[bool, list[Entry], list[tuple[str, str, Address]]], None],
                 log: Callable[..., None], dial: Callable[[Address], socket.socket | Fault] = dial) -> None:
        self.loop, self.address, self.rng, self.heard, self.log = loop, address, rng, heard, log
        self.dialer = dial
        self.version: int | None = None  # of the list held, None until it was fetched whole
        self.failures = 0
        self.asked_at = 0
        self.out = False                 # a call is out
        self.conn: Connection | None = None
        self.reader = AnswerReader()
        self.timer: Timer | None = None

    def set_timer(self, delay: int, act: Callable[..., None], *args: Any) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.later(delay, act, *args)

    def ask(self) -> None:
        if self.out:
            return
        if self.conn is None or not self.conn.open:
            came = self.dialer(self.address)
            if isinstance(came, Fault):
                return self.ended(came.what)
            self.reader = AnswerReader(MOST)
            self.conn = Connection(self.loop, came, self, opening=True)
        self.reader.reset()
        self.out, self.asked_at = True, self.loop.now
        path, wait = "/discovery/hosts", 0
        if self.version is not None:
            path, wait = f"{path}?after={self.version}&wait_ms={WATCH_MS}", WATCH_MS * 1000
        self.set_timer(wait + GRACE, self.ended, "silence")
        self.conn.send(f"GET {path} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def move(self, address: Address) -> None:
        """The list held still applies; versions told elsewhere say nothing at the new address."""
        if address != self.address:
            self.drop()
            self.address, self.version, self.failures = address, None, 0
            self.ask()

    def opened(self) -> None:
        pass

    def received(self, view: memoryview) -> None:
        self.reader.feed(view)
        if self.reader.trouble or not self.out:
            self.ended("no proper answer")
        elif self.reader.whole:
            self.out = False
            self.answered()

    def answered(self) -> None:
        reader = self.reader
        try:
            if reader.status != 200:
                raise ValueError(f"status {reader.status}")
            version, whole, entries, found = decoded(orjson.loads(b"".join(reader.body)))
            if self.version is None and not whole:
                raise ValueError("changes to a list that is not held")
        except (ValueError, TypeError, KeyError, AttributeError) as trouble:
            if reader.status == 200:
                self.version = None  # the same changes would be as bad when asked for again
            return self.ended(f"bad answer: {trouble!r}"[:120])
        if self.failures:
            self.log("list back", failures=self.failures)
        behind = self.version is not None and version < self.version and not whole
        self.failures, self.version = 0, None if behind else version  # it counts anew, so it has forgotten
        if not reader.lasts:
            self.drop()
        if whole or entries:
            self.heard(whole, entries, found)
        idle = not entries and self.loop.now - self.asked_at < SHORTEST
        self.set_timer(100_000 if idle else 0, self.ask)

    def ended(self, what: str) -> None:
        """The list held still applies; ask again, at a random time, as others will."""
        self.drop()
        self.failures += 1
        if self.failures in (1, 10, 100):
            self.log("list lost", why=what, failures=self.failures)
        longest = min(LONGEST, FIRST << min(self.failures - 1, 6))
        self.set_timer(self.rng.randrange(longest // 2, longest), self.ask)

    def drop(self) -> None:
        self.out = False
        if self.conn:
            self.conn.close()
            self.conn = None
