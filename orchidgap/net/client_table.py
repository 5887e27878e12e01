"""The clients that are connected, whatever they speak: what each is about, and who makes way."""

from __future__ import annotations

from orchidgap.net.client_connection import ClientConnection
from orchidgap.net.listener_watch import ACCEPT_PAUSE_US
from orchidgap.net.loop import READ, Loop
from orchidgap.net.request_handler import RequestHandler
from orchidgap.net.traffic_counts import ConnectionEnd

# for a request to come whole, since its connection or its first byte came
REQUEST_TIMEOUT_US = 2_500_000
UNUSED_AFTER_US = 500_000  # who has asked nothing for so long is the first to make way
SWEEP_INTERVAL_US = 250_000
NEWCOMER_US = 250_000  # whoever came so lately is about to ask
IDLE_SHARE = 8  # an eighth of the most may always be idle


class ClientTable:
    """All clients that were let in, `max_clients` at a time.

    Attributes:
        open_clients: All of them.
        idle: Those that were served and ask nothing, the longest idle first.
        awaiting_request: Those that have yet to bring a whole request, the longest waiting first.
        closing: Those that were sent their last answer, the longest closing first.
    """

    def __init__(self, loop: Loop, handler: RequestHandler, max_clients: int) -> None:
        """Start with nobody."""
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
        """Whether so many clients are open that somebody has to make way for another."""
        return len(self.open_clients) - len(self.closing) >= self.max_clients

    def has_capacity(self) -> bool:
        """Whether another client can be served; one that nobody needs makes way for it."""
        return not self.is_full() or self.close_unneeded()

    def await_request(self, client: ClientConnection) -> None:
        """Begin, or begin anew, the time in which it has to bring a whole request."""
        client.since_us = self.loop.clock()  # the turn may have begun long before
        if client in self.awaiting_request:  # they stand in the order of their times
            del self.awaiting_request[client]
        self.awaiting_request[client] = None

    # --- who makes way

    def forget(self, client: ClientConnection) -> None:
        """It has gone."""
        self.idle.pop(client, None)
        self.awaiting_request.pop(client, None)
        self.closing.pop(client, None)
        self.open_clients.pop(client, None)

    def close_unneeded(self) -> bool:
        """Close a connection that nobody needs; whether there was one.

        The first is who has brought no request for long: silence must not keep others out. Then
        comes the longest idle, then whoever waits to bring one, unless it has just come: what it
        asks is on its way.
        """
        while unneeded := self._find_unneeded():
            if unneeded.let_go(ConnectionEnd.EVICTED):
                return True
        return False

    def _find_unneeded(self) -> ClientConnection | None:
        waiting = next((client for client in self.awaiting_request if client.is_idle()), None)
        waited_us = self.loop.now - waiting.since_us if waiting else 0
        if waited_us >= UNUSED_AFTER_US:
            return waiting
        idle = next((client for client in self.idle if client.is_idle()), None)
        return idle or (waiting if waited_us >= NEWCOMER_US else None)

    def trim_idle(self) -> None:
        """Where more than half of the most are open, let the longest idle go, but for an eighth.

        Clients too hold only so many connections: those that ask once and stay would leave none
        long before there is no room here. A successor takes them as they are.
        """
        while (
            not self.handler.lifecycle.successor_accepts
            and len(self.idle) > self.max_clients // IDLE_SHARE
            and len(self.open_clients) - len(self.closing) > self.max_clients // 2
        ):
            client = next(iter(self.idle))
            read_up_to_us = self.loop.clock()
            if not client.is_idle():
                return
            client.finish(read_up_to_us)  # see release_idle

    def close_oldest_closing(self) -> bool:
        """Close the connection that has had its last answer for longest; whether there was one.

        Who has not been sent the whole of it stays. What it sent meanwhile is read: left unread, it
        would have the close reset the answer away.
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
        """Let go who does not bring a request whole in time: nobody may begin and never end.

        One that said nothing at all is closed without a word.
        """
        while client := next(iter(self.awaiting_request), None):
            if self.loop.now - client.since_us < REQUEST_TIMEOUT_US:
                break
            self._end_stalled(client)
        self.loop.call_later(SWEEP_INTERVAL_US, self.close_stalled)

    def _end_stalled(self, client: ClientConnection) -> None:
        """Let go who has not brought its request whole, unless the rest has come by now.

        A turn that was held up behind its look at the sockets has not seen what came meanwhile.
        """
        since_us = client.since_us
        client.conn.on_ready(READ)
        if client not in self.awaiting_request or client.since_us != since_us:
            return
        if client.request_begun:
            client.on_stalled()
        else:
            client.let_go(ConnectionEnd.SILENT)

    def release_idle(self) -> None:
        """Let those go who ask nothing; who has just come is about to."""
        newcomer_since_us = self.loop.now - NEWCOMER_US
        for client in [*self.idle, *self.awaiting_request]:
            read_up_to_us = self.loop.clock()
            if client.conn.has_unread_bytes():
                read_up_to_us = 0  # one read may not take all of them
            client.conn.on_ready(READ)  # a request that has come is still answered
            if client in self.idle:
                # a close would reset it, and the answer with it, if its next request came just now
                client.finish(read_up_to_us)
            elif (
                client in self.awaiting_request
                and not client.request_begun
                and client.since_us <= newcomer_since_us
            ):
                client.let_go(ConnectionEnd.SHUTDOWN)

    # --- what is asked of it

    def transferable(self) -> list[ClientConnection]:
        """Those that can go to another process as they are."""
        return [
            client
            for client in (*self.idle, *self.awaiting_request)
            if client.is_transferable
            and not (client.request_begun or client.conn.write_buffer or client.conn.closing)
        ]

    @property
    def closes_after_response(self) -> bool:
        """Whether an answer is the last on its connection."""
        return self.handler.lifecycle.closes_after_answer
