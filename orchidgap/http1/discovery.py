"""Client of discovery: fetches the whole host list, then watches it for changes.

All calls use one connection. A change of the list has to arrive within 6 s, whichever calls fail on
the way. A watch without a response is detected within 4 s. After that, a lost call costs 1 s, each
further lost call 2 s, and a call that fails at most 1 s. While discovery is down it does not
respond; as soon as it is up again, it answers the calls that are still open. So a call without
response is followed by the next one within `MAX_RETRY_GAP_US`, while a call that fails or is
refused is followed by a backoff.
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
from orchidgap.net.discovery import HostListReceiver
from orchidgap.net.endpoints import Endpoint, EndpointEntry, HostList, decode_list
from orchidgap.net.loop import Loop, Timer

LIST_PATH = "/discovery/hosts"
WATCH_TIMEOUT_MS = 3_000  # how long the agent may wait for a change before it answers a watch
RESPONSE_GRACE_US = 1_000_000  # a response that is overdue by this much counts as lost
# longest time for all pieces of a response, counted from its call
MAX_RESPONSE_US = WATCH_TIMEOUT_MS * 1000 + 2 * RESPONSE_GRACE_US
MIN_BACKOFF_US = 100_000
MAX_BACKOFF_US = 1_000_000
MAX_BACKOFF_DOUBLINGS = 6
MAX_RETRY_GAP_US = 100_000  # longest pause between a call without response and the next call
MIN_WATCH_US = 20_000  # a watch that ends sooner without a change is not repeated immediately
WATCH_PAUSE_US = 100_000  # pause after a watch that ended sooner than `MIN_WATCH_US`
MAX_LIST_BYTES = 1 << 22
MAX_REASON_LENGTH = 120
LOGGED_FAILURES = (1, 10, 100)  # counts of consecutive failures that are logged
NO_RESPONSE = "no response"


class DiscoveryClient:
    """Polls and watches one discovery agent.

    Attributes:
        loop: the event loop.
        address: the address of the agent.
        rng: source of the jitter that keeps balancers from repeating calls at the same time.
        receiver: is notified of each list or change.
        log: writes an event with its fields.
        dialer: opens connections.
        has_list: whether a whole list has arrived since the start.
        list_version: version of the current list, None until the whole list was fetched.
        failures: number of consecutive failed calls.
        polled_at_us: when the last call began.
        wait_ms: how long the agent may wait for a change in that call, 0 for an immediate answer.
        call_pending: that call has not ended.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        rng: Random,
        receiver: HostListReceiver,
        log: Callable[..., None],
        dial: Callable[[Address], socket.socket | AttemptFailure] = dial,
    ) -> None:
        """Starts without a list; `fetch` begins the first call."""
        self.loop = loop
        self.address = address
        self.rng = rng
        self.receiver = receiver
        self.log = log
        self.dialer = dial
        self.has_list = False
        self.list_version: int | None = None
        self.failures = 0
        self.polled_at_us = 0
        self.wait_ms = 0
        self.call_pending = False
        self.conn: Connection | None = None
        self.reader = ResponseReader()
        self.timer: Timer | None = None

    def set_timer(self, delay_us: int, callback: Callable[..., None], *args: Any) -> None:
        """Sets the timer, in place of the previous one."""
        if self.timer:
            self.timer.cancel()
        self.timer = self.loop.call_later(delay_us, callback, *args)

    def fetch(self) -> None:
        """Begins the next call unless one is pending: fetches the list, or watches for changes."""
        if self.call_pending:
            return
        if self.conn is None or not self.conn.is_open:
            sock = self.dialer(self.address)
            if isinstance(sock, AttemptFailure):
                self.on_closed(sock.detail)
                return
            self.reader = ResponseReader(MAX_LIST_BYTES)
            # Urgent: a change of the list is handled before requests that are read in the same
            # turn. Otherwise a process that was stalled would send them to hosts that have been
            # draining for a long time.
            self.conn = Connection(self.loop, sock, self, opening=True, urgent=True)
        self.reader.reset()
        self.call_pending = True
        self.polled_at_us = self.loop.now
        # After a failure the agent must answer immediately: a watch that fails again would only be
        # detected after its whole wait.
        is_watch = self.list_version is not None and not self.failures
        self.wait_ms = WATCH_TIMEOUT_MS if is_watch else 0
        target = LIST_PATH
        if self.list_version is not None:
            target = f"{LIST_PATH}?after={self.list_version}&wait_ms={self.wait_ms}"
        grace_us = RESPONSE_GRACE_US if self.failures < 2 else 2 * RESPONSE_GRACE_US
        self.set_timer(self.wait_ms * 1000 + grace_us, self.on_closed, NO_RESPONSE)
        self.conn.send(f"GET {target} HTTP/1.1\r\nHost: discovery\r\n\r\n".encode())

    def recall_list(self, entries: list[EndpointEntry], endpoints: list[Endpoint]) -> None:
        """Uses the list of the configuration until another one arrives."""
        self.receiver.on_recalled_list(entries, endpoints)

    def unused_endpoints(self) -> list[tuple[EndpointEntry, Endpoint]]:
        """Returns an empty list: the node uses all hosts that are listed."""
        return []

    def restore_list(self, entries: list[EndpointEntry], endpoints: list[Endpoint]) -> bool:
        """Uses the list of an older process until a whole list has arrived; returns whether."""
        if self.has_list:
            return False
        self.receiver.on_list(True, entries, endpoints)
        return True

    def set_address(self, address: Address) -> None:
        """Calls another agent from now on.

        The current list still applies, but its version has no meaning for another agent.
        """
        if address == self.address:
            return
        self.close_connection()
        self.address = address
        self.list_version = None
        self.failures = 0
        self.fetch()

    def on_connected(self) -> None:
        """Does nothing: the call is already queued on the connection."""

    def on_data(self, view: memoryview) -> None:
        """Handles bytes from the agent."""
        self.reader.feed(view)
        message = self.reader.message
        if message.error_status or not self.call_pending:
            self.on_closed("malformed or unexpected response")
        elif message.complete:
            self.call_pending = False
            self.on_response(message)
        elif self.loop.now < self.polled_at_us + MAX_RESPONSE_US:  # the rest is still to arrive
            self.set_timer(RESPONSE_GRACE_US, self.on_closed, NO_RESPONSE)

    def on_response(self, message: Message) -> None:
        """Applies the list, or a change to it, and schedules the next call."""
        try:
            version, is_whole, entries, endpoints = self.decode_response(message)
        except (ValueError, TypeError, KeyError, AttributeError) as error:
            if message.status == 200:
                self.list_version = None  # the same changes would be invalid again: fetch the list
            self.on_closed(f"invalid response: {error!r}"[:MAX_REASON_LENGTH])
            return
        if self.failures:
            self.log("list back", failures=self.failures)
        # An agent whose versions restarted has lost its history: fetch the whole list.
        versions_restarted = (
            self.list_version is not None and version < self.list_version and not is_whole
        )
        self.failures = 0
        self.list_version = None if versions_restarted else version
        if not message.keep_alive:
            self.close_connection()
        if is_whole:
            self.has_list = True
            self.log("list received", version=version, hosts=len(entries))
        if is_whole or entries:
            self.receiver.on_list(is_whole, entries, endpoints)
        watched_us = self.loop.now - self.polled_at_us
        ended_early = self.wait_ms > 0 and not entries and watched_us < MIN_WATCH_US
        self.set_timer(WATCH_PAUSE_US if ended_early else 0, self.fetch)

    def decode_response(self, message: Message) -> HostList:
        """Returns the list in a response.

        Raises ValueError, TypeError, KeyError or AttributeError where the response has no valid
        list.
        """
        if message.status != 200:
            raise ValueError(f"status {message.status}")
        host_list = decode_list(orjson.loads(message.body))
        _, is_whole, _, _ = host_list
        if self.list_version is None and not is_whole:
            raise ValueError("changes to a list that was not fetched")
        return host_list

    def on_closed(self, reason: str) -> None:
        """Handles a failed call: keeps the current list, and schedules the next call."""
        self.close_connection()
        self.failures += 1
        if self.failures in LOGGED_FAILURES:
            self.log("list lost", why=reason, failures=self.failures)
        if reason == NO_RESPONSE:
            pause_us = self.rng.randrange(MAX_RETRY_GAP_US // 10, MAX_RETRY_GAP_US)
        else:
            doublings = min(self.failures - 1, MAX_BACKOFF_DOUBLINGS)
            backoff_us = min(MAX_BACKOFF_US, MIN_BACKOFF_US << doublings)
            pause_us = self.rng.randrange(backoff_us // 2, backoff_us)
        self.set_timer(pause_us, self.fetch)

    def close_connection(self) -> None:
        """Closes the connection, which ends a pending call."""
        self.call_pending = False
        if self.conn:
            self.conn.close()
            self.conn = None
