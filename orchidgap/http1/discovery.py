"""The list of hosts: fetched whole, then watched for changes on one connection to the agent."""

from __future__ import annotations

import socket
from collections.abc import Callable
from random import Random
from typing import Any

import orjson

from orchidgap.http1.readers import ResponseReader
from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection
from orchidgap.net.dialing import dial
from orchidgap.net.endpoints import Endpoint, EndpointEntry, decode_list
from orchidgap.net.loop import Loop, Timer

# What discovery tells is to be here within 6 s, whatever calls fail on the way. A watch that fell silent is
# noticed in 4 s at most; then a lost call costs 1 s, each behind it 2 s, and a failed one 1 s at most.
# While discovery is down it is silent, and who has a call open when it is back hears at once: so silence is
# followed by the next call as good as at once, and what fails or is refused by a wait.
WATCH_MS = 3_000  # how long a watch may wait: silence beyond it is noticed
GRACE = 1_000_000  # after which an answer that is due, or the rest of one, is held to be lost
FIRST, LONGEST = 100_000, 1_000_000  # back-off
GAP = 100_000  # between a call that was met with silence and the next, at most
SHORTEST = 20_000  # a watch that tells nothing in less is not asked again at once
LATEST = WATCH_MS * 1000 + 2 * GRACE  # for an answer to come whole, however small its pieces
MOST = 1 << 22  # bytes of a list
SILENCE = "silence"


class DiscoveryClient:
    def __init__(
        self,
        loop: Loop,
        address: Address,
        rng: Random,
        heard: Callable[[bool, list[EndpointEntry], list[Endpoint]], None],
        log: Callable[..., None],
        dial: Callable[[Address], socket.socket | AttemptFailure] = dial,
    ) -> None:
        self.loop, self.address, self.rng, self.heard, self.log = loop, address, rng, heard, log
        self.dialer = dial
        self.list_version: int | None = None  # of the list held, None until it was fetched whole
        self.failures = 0
        self.polled_at_us = self.wait_ms = (
            0  # when the last call began, and how long it may wait, in milliseconds
        )
        self.call_pending = False  # a call is out
        self.conn: Connection | None = None
        self.reader = ResponseReader()
        self.timer: Timer | None = None

    def set_timer(self, delay: int, act: Callable[..., None], *args: Any) -> None:
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(delay, act, *args)

    def fetch(self) -> None:
        if self.call_pending:
            return
        if self.conn is None or not self.conn.is_open:
            came = self.dialer(self.address)
            if isinstance(came, AttemptFailure):
                return self.ended(came.detail)
            self.reader = ResponseReader(MOST)
            self.conn = Connection(self.loop, came, self, opening=True)
        self.reader.reset()
        self.call_pending, self.polled_at_us = True, self.loop.now
        path, self.wait_ms = "/discovery/hosts", 0
        if self.list_version is not None:
            # after a failure what was missed is asked for at once: a watch would take its whole wait to fail
            self.wait_ms = 0 if self.failures else WATCH_MS
            path = f"{path}?after={self.list_version}&wait_ms={self.wait_ms}"
        grace = GRACE if self.failures < 2 else 2 * GRACE
        self.set_timer(self.wait_ms * 1000 + grace, self.ended, SILENCE)
        self.conn.send(f"GET {path} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def move(self, address: Address) -> None:
        """The list held still applies; versions told elsewhere say nothing at the new address."""
        if address != self.address:
            self.close_connection()
            self.address, self.list_version, self.failures = address, None, 0
            self.fetch()

    def opened(self) -> None:
        pass

    def received(self, view: memoryview) -> None:
        self.reader.feed(view)
        if self.reader.message.error_status or not self.call_pending:
            self.ended("no proper answer")
        elif self.reader.message.complete:
            self.call_pending = False
            self.on_response()
        elif self.loop.now < self.polled_at_us + LATEST:  # it comes in pieces
            self.set_timer(GRACE, self.ended, SILENCE)

    def on_response(self) -> None:
        reader = self.reader
        try:
            if reader.message.status != 200:
                raise ValueError(f"status {reader.message.status}")
            version, whole, entries, found = decode_list(orjson.loads(reader.message.body))
            if self.list_version is None and not whole:
                raise ValueError("changes to a list that is not held")
        except (ValueError, TypeError, KeyError, AttributeError) as trouble:
            if reader.message.status == 200:
                self.list_version = None  # the same changes would be as bad when asked for again
            return self.ended(f"bad answer: {trouble!r}"[:120])
        if self.failures:
            self.log("list back", failures=self.failures)
        behind = self.list_version is not None and version < self.list_version and not whole
        self.failures, self.list_version = (
            0,
            None if behind else version,
        )  # it counts anew, so it has forgotten
        if not reader.message.keep_alive:
            self.close_connection()
        if whole or entries:
            self.heard(whole, entries, found)
        idle = self.wait_ms and not entries and self.loop.now - self.polled_at_us < SHORTEST
        self.set_timer(100_000 if idle else 0, self.fetch)

    def ended(self, what: str) -> None:
        """The list held still applies; ask again, at a random time, as others will."""
        self.close_connection()
        self.failures += 1
        if self.failures in (1, 10, 100):
            self.log("list lost", why=what, failures=self.failures)
        if what == SILENCE:
            return self.set_timer(self.rng.randrange(GAP // 10, GAP), self.fetch)
        longest = min(LONGEST, FIRST << min(self.failures - 1, 6))
        self.set_timer(self.rng.randrange(longest // 2, longest), self.fetch)

    def close_connection(self) -> None:
        self.call_pending = False
        if self.conn:
            self.conn.close()
            self.conn = None
