"""Discovery's list of hosts: fetched whole, then watched for changes, on one connection.

A change of the list has to arrive within 6 s, whichever calls fail on the way. A watch that
has fallen silent is noticed in 4 s at most. Then a lost call costs 1 s, each one behind it 2 s, and
one that fails 1 s at most. While discovery is down it is silent, and whoever has a call open at its
return is answered at once: so silence is followed by the next call within `MAX_RETRY_GAP_US`, and
what fails or is refused by a backoff.
"""

from __future__ import annotations

import socket
from collections.abc import Callable
from random import Random
from typing import Any

import orjson

from orchidgap.http1.messages import Message
from orchidgap.http1.readers import ResponseReader
from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection
from orchidgap.net.dialing import dial
from orchidgap.net.endpoints import Endpoint, EndpointEntry, HostList, decode_list
from orchidgap.net.loop import Loop, Timer

LIST_PATH = "/discovery/hosts"
WATCH_TIMEOUT_MS = 3_000  # how long a watch may wait for a change
RESPONSE_GRACE_US = 1_000_000  # after which a response that is due counts as lost
MAX_RESPONSE_US = WATCH_TIMEOUT_MS * 1000 + 2 * RESPONSE_GRACE_US  # for all pieces of a response
MIN_BACKOFF_US = 100_000
MAX_BACKOFF_US = 1_000_000
MAX_BACKOFF_DOUBLINGS = 6
MAX_RETRY_GAP_US = 100_000  # between a call that was met with silence and the next
MIN_WATCH_US = 20_000  # a watch that tells nothing in less time is not repeated at once
WATCH_PAUSE_US = 100_000  # after such a watch
MAX_LIST_BYTES = 1 << 22
MAX_REASON_LENGTH = 120
LOGGED_FAILURES = (1, 10, 100)  # of failures in a row, those that are logged
SILENCE = "silence"


class DiscoveryClient:
    """Polls and watches one discovery agent.

    Attributes:
        loop: the loop that events come from.
        address: where the agent is.
        rng: for the jitter of repeated calls: balancers must not call together.
        on_list: called with each list or change: whether it is whole, its entries, its endpoints.
        log: takes an event and its facts.
        dialer: opens connections.
        list_version: the version of the list that is known, None until it was fetched whole.
        failures: failed calls in a row.
        polled_at_us: when the last call began.
        wait_ms: how long that call may wait for a change, 0 for a call that is answered at once.
        call_pending: that call has not ended.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        rng: Random,
        on_list: Callable[[bool, list[EndpointEntry], list[Endpoint]], None],
        log: Callable[..., None],
        dial: Callable[[Address], socket.socket | AttemptFailure] = dial,
    ) -> None:
        """Starts without a list; nothing is called before `fetch`."""
        self.loop = loop
        self.address = address
        self.rng = rng
        self.on_list = on_list
        self.log = log
        self.dialer = dial
        self.list_version: int | None = None
        self.failures = 0
        self.polled_at_us = 0
        self.wait_ms = 0
        self.call_pending = False
        self.conn: Connection | None = None
        self.reader = ResponseReader()
        self.timer: Timer | None = None

    def set_timer(self, delay_us: int, callback: Callable[..., None], *args: Any) -> None:
        """Replaces the one timer."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(delay_us, callback, *args)

    def fetch(self) -> None:
        """Begins the next call, unless one is pending: the whole list, or a watch for changes."""
        if self.call_pending:
            return
        if self.conn is None or not self.conn.is_open:
            sock = self.dialer(self.address)
            if isinstance(sock, AttemptFailure):
                self.ended(sock.detail)
                return
            self.reader = ResponseReader(MAX_LIST_BYTES)
            # what it tells comes before requests that came in the same turn: a process that was
            # held up would send them to hosts that have been draining for long
            self.conn = Connection(self.loop, sock, self, opening=True, urgent=True)
        self.reader.reset()
        self.call_pending = True
        self.polled_at_us = self.loop.now
        # After a failure the call must not wait: a watch would take its whole wait to fail again.
        is_watch = self.list_version is not None and not self.failures
        self.wait_ms = WATCH_TIMEOUT_MS if is_watch else 0
        target = LIST_PATH
        if self.list_version is not None:
            target = f"{LIST_PATH}?after={self.list_version}&wait_ms={self.wait_ms}"
        grace_us = RESPONSE_GRACE_US if self.failures < 2 else 2 * RESPONSE_GRACE_US
        self.set_timer(self.wait_ms * 1000 + grace_us, self.ended, SILENCE)
        self.conn.send(f"GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def move(self, address: Address) -> None:
        """Calls another agent from now on.

        The list that is known still applies, but its version means nothing to another agent.
        """
        if address == self.address:
            return
        self.close_connection()
        self.address = address
        self.list_version = None
        self.failures = 0
        self.fetch()

    def opened(self) -> None:
        """The connection has come up."""

    def received(self, view: memoryview) -> None:
        """Takes bytes from the agent."""
        self.reader.feed(view)
        message = self.reader.message
        if message.error_status or not self.call_pending:
            self.ended("no proper answer")
        elif message.complete:
            self.call_pending = False
            self.on_response(message)
        elif self.loop.now < self.polled_at_us + MAX_RESPONSE_US:  # it arrives in pieces
            self.set_timer(RESPONSE_GRACE_US, self.ended, SILENCE)

    def on_response(self, message: Message) -> None:
        """Takes the list, or a change to it, and begins the next call."""
        try:
            version, is_whole, entries, endpoints = self.decode_response(message)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            if message.status == 200:
                self.list_version = None  # the same changes would be as bad when fetched again
            self.ended(f"bad answer: {error!r}"[:MAX_REASON_LENGTH])
            return
        if self.failures:
            self.log("list back", failures=self.failures)
        # An agent that counts anew has forgotten what it told before.
        counts_anew = self.list_version is not None and version < self.list_version and not is_whole
        self.failures = 0
        self.list_version = None if counts_anew else version
        if not message.keep_alive:
            self.close_connection()
        if is_whole or entries:
            self.on_list(is_whole, entries, endpoints)
        watched_us = self.loop.now - self.polled_at_us
        ended_early = self.wait_ms > 0 and not entries and watched_us < MIN_WATCH_US
        self.set_timer(WATCH_PAUSE_US if ended_early else 0, self.fetch)

    def decode_response(self, message: Message) -> HostList:
        """Returns the list in a response.

        Raises ValueError, TypeError, KeyError or AttributeError where it has none that can be used.
        """
        if message.status != 200:
            raise ValueError(f"status {message.status}")
        host_list = decode_list(orjson.loads(message.body))
        _, is_whole, _, _ = host_list
        if self.list_version is None and not is_whole:
            raise ValueError("changes to a list that is not held")
        return host_list

    def ended(self, what: str) -> None:
        """A call has failed. The list that is known still applies, and the next call is set."""
        self.close_connection()
        self.failures += 1
        if self.failures in LOGGED_FAILURES:
            self.log("list lost", why=what, failures=self.failures)
        if what == SILENCE:
            pause_us = self.rng.randrange(MAX_RETRY_GAP_US // 10, MAX_RETRY_GAP_US)
        else:
            doublings = min(self.failures - 1, MAX_BACKOFF_DOUBLINGS)
            backoff_us = min(MAX_BACKOFF_US, MIN_BACKOFF_US << doublings)
            pause_us = self.rng.randrange(backoff_us // 2, backoff_us)
        self.set_timer(pause_us, self.fetch)

    def close_connection(self) -> None:
        """Ends the call, if one is pending."""
        self.call_pending = False
        if self.conn:
            self.conn.close()
            self.conn = None
