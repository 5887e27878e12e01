"""The connected clients of any protocol: the state of each, and which are evicted."""

from __future__ import annotations

from orchidgap.net.client_connection import ClientConnection
from orchidgap.net.listener_watch import ACCEPT_PAUSE_US
from orchidgap.net.loop import READ, Loop
from orchidgap.net.request_handler import RequestHandler
from orchidgap.net.traffic_counts import ConnectionEnd

# Time in which a request has to arrive completely, counted from when the client connected or from
# the request's first byte.
REQUEST_TIMEOUT_US = 2_500_000
UNUSED_AFTER_US = 500_000  # a connection without a request for this long is evicted first
SWEEP_INTERVAL_US = 250_000
MAX_SWEEP_US = 10_000  # a sweep that takes longer goes on after `SWEEP_PAUSE_US`
SWEEP_PAUSE_US = 1_000
# a connection younger than this is expected to send its first request
RECENT_CONNECTION_US = 250_000
IDLE_RESERVE_DIVISOR = 8  # an eighth of `max_clients` may always be idle


class ClientTable:
    """All accepted clients, `max_clients` at a time.

    Attributes:
        open_clients: All open clients.
        idle: Clients that were served and have no request in progress, the longest idle first.
        awaiting_request: Clients whose request has not arrived completely, the longest waiting
            first.
        closing: Clients that were sent their last answer, the longest closing first.
    """

    def __init__(self, loop: Loop, handler: RequestHandler, max_clients: int) -> None:
        """Create an empty table, and start its periodic sweep."""
        self.loop = loop
        self.handler = handler
        self.counts = handler.traffic_counts
        self.max_clients = max_clients
        self.open_clients: dict[ClientConnection, None] = {}
        self.idle: dict[ClientConnection, None] = {}
        self.awaiting_request: dict[ClientConnection, None] = {}
        self.closing: dict[ClientConnection, None] = {}
        loop.call_later(SWEEP_INTERVAL_US, self.close_stalled)

    def is_full(self) -> bool:
        """Whether a client has to be evicted before another one can be served."""
        return len(self.open_clients) - len(self.closing) >= self.max_clients

    def has_capacity(self) -> bool:
        """Whether another client can be served; evicts an unneeded one if necessary."""
        return not self.is_full() or self.close_unneeded()

    def await_request(self, client: ClientConnection) -> None:
        """Start or restart the time in which the client's request has to arrive completely."""
        client.since_us = self.loop.clock()  # the turn may have begun long before
        if client in self.awaiting_request:  # reinserted, as the order is that of `since_us`
            del self.awaiting_request[client]
        self.awaiting_request[client] = None

    # --- eviction

    def forget(self, client: ClientConnection) -> None:
        """Remove a client that was closed."""
        self.idle.pop(client, None)
        self.awaiting_request.pop(client, None)
        self.closing.pop(client, None)
        self.open_clients.pop(client, None)

    def close_unneeded(self) -> bool:
        """Close a connection that is not needed; return whether there was one.

        The first choice is a connection that has sent no request for `UNUSED_AFTER_US`, as silent
        connections must not block other clients. The second is the longest idle one. The third is
        one that awaits its request and is older than `RECENT_CONNECTION_US`, as the request of a
        younger one is probably on its way.
        """
        while unneeded := self._find_unneeded():
            if unneeded.close_unless_unread(ConnectionEnd.EVICTED):
                return True
        return False

    def _find_unneeded(self) -> ClientConnection | None:
        waiting = next((client for client in self.awaiting_request if client.is_idle()), None)
        waited_us = self.loop.now - waiting.since_us if waiting else 0
        if waited_us >= UNUSED_AFTER_US:
            return waiting
        idle = next((client for client in self.idle if client.is_idle()), None)
        return idle or (waiting if waited_us >= RECENT_CONNECTION_US else None)

    def trim_idle(self) -> None:
        """Close the longest idle clients while more than half of `max_clients` are open.

        An eighth may always be idle (`IDLE_RESERVE_DIVISOR`). Clients' systems limit the number of
        connections too: if each connection stayed open after its last request, they would run out
        long before this process does. Nothing is closed while a successor accepts, as it adopts the
        connections in their current state.
        """
        while (
            not self.handler.lifecycle.successor_accepts
            and len(self.idle) > self.max_clients // IDLE_RESERVE_DIVISOR
            and len(self.open_clients) - len(self.closing) > self.max_clients // 2
        ):
            client = next(iter(self.idle))
            read_up_to_us = self.loop.clock()
            if not client.is_idle():
                return
            client.finish(read_up_to_us)  # not closed at once, see `release_idle`

    def close_oldest_closing(self) -> bool:
        """Close the connection that was sent its last answer first; return whether there was one.

        A connection with unsent bytes is kept. Bytes that the client sent since are read first: if
        they were left unread, the close would reset the connection and the answer could be lost.
        """
        for client in self.closing:
            if self.loop.now - client.since_us < ACCEPT_PAUSE_US:
                return False
            if not client.conn.write_buffer:
                client.conn.discard_received()
                client.close(ConnectionEnd.FINISHED)
                return True
        return False

    def close_stalled(self) -> None:
        """Reject clients whose request has not arrived completely within the time limit.

        A client that has sent nothing at all is closed without an answer.
        """
        begun_us = self.loop.clock()
        next_sweep_us = SWEEP_INTERVAL_US
        while client := next(iter(self.awaiting_request), None):
            if self.loop.now - client.since_us < REQUEST_TIMEOUT_US:
                break
            if self.loop.clock() - begun_us >= MAX_SWEEP_US:
                next_sweep_us = SWEEP_PAUSE_US
                break
            self._end_stalled(client)
        self.loop.call_later(next_sweep_us, self.close_stalled)

    def _end_stalled(self, client: ClientConnection) -> None:
        """Reject or close a client whose request is overdue, unless the rest has arrived by now.

        A turn that was stalled after its poll has not seen the bytes that arrived since.
        """
        since_us = client.since_us
        client.conn.on_ready(READ)
        if client not in self.awaiting_request or client.since_us != since_us:
            return
        if client.request_begun:
            client.on_stalled()
        else:
            client.close_unless_unread(ConnectionEnd.SILENT)

    def release_idle(self) -> None:
        """Close clients without a request, except those that connected only recently.

        Those whose request has begun are read as they become ready, like at any time.
        """
        recent_since_us = self.loop.now - RECENT_CONNECTION_US
        unbegun = [client for client in self.awaiting_request if not client.request_begun]
        for client in [*self.idle, *unbegun]:
            read_up_to_us = self.loop.clock()
            if client.conn.has_unread_bytes():
                read_up_to_us = 0  # one read may not read all of them
            client.conn.on_ready(READ)  # a request that has arrived is still answered
            if client in self.idle:
                # if the next request arrives just now, closing at once would reset the connection,
                # and with it the last answer
                client.finish(read_up_to_us)
            elif (
                client in self.awaiting_request
                and not client.request_begun
                and client.since_us <= recent_since_us
            ):
                client.close_unless_unread(ConnectionEnd.SHUTDOWN)

    def end_when_answered(self) -> None:
        """Have each connection end once what was read is answered, though more may arrive."""
        for client in list(self.open_clients):
            client.end_when_answered()

    def deny_waiting(self) -> None:
        """Answer the requests that were read and not passed to the handler, in all connections."""
        for client in list(self.open_clients):
            client.deny_waiting()

    # --- queries

    def transferable(self) -> list[ClientConnection]:
        """Return the clients whose sockets can be transferred to another process."""
        return [
            client
            for client in (*self.idle, *self.awaiting_request)
            if client.is_transferable
            and not (client.request_begun or client.conn.write_buffer or client.conn.closing)
        ]

    @property
    def closes_after_answer(self) -> bool:
        """Whether each answer is the last one on its connection."""
        return self.handler.lifecycle.closes_after_answer
