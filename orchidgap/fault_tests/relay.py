"""A TCP relay on the link from one process to a server.

It can delay, stall, cut and heal the link, and simulate packet loss.
"""

from __future__ import annotations

import socket
from contextlib import suppress
from dataclasses import dataclass
from random import Random

from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection
from orchidgap.net.dialing import dial, open_listener
from orchidgap.net.loop import READ, Loop

MAX_STALLED_BYTES = 1 << 22  # queued in one direction of a connection; above, it is reset
RETRANSMIT_US = 200_000  # delay of the first retransmission; doubled for each further one
LISTEN_BACKLOG = 512
MAX_ACCEPTS_PER_TURN = 64


@dataclass(frozen=True, slots=True)
class LinkCondition:
    """The faults of a link; the default is a healthy link.

    Attributes:
        cut: New connections are refused and open ones are reset.
        stalled_to_server: Data from the client does not arrive, as if all packets were lost.
        stalled_to_client: Data from the server does not arrive, as if all packets were lost.
        delay_us: The additional one-way delay in both directions.
        loss_ratio: The fraction of packets that are lost and arrive by retransmission.
    """

    cut: bool = False
    stalled_to_server: bool = False
    stalled_to_client: bool = False
    delay_us: int = 0
    loss_ratio: float = 0.0


HEALTHY = LinkCondition()


class RelayedDirection:
    """One side of a relayed connection; data read on it is sent on the other side."""

    def __init__(
        self, pair: RelayedConnection, sock: socket.socket, to_server: bool, opening: bool
    ) -> None:
        """Read from `sock`; `to_server` is whether that is the client's side."""
        self.pair = pair
        self.to_server = to_server
        self.peer: RelayedDirection
        self.stalled_pieces: list[bytes] = []
        self.last_arrival_us = 0  # when the last delayed piece arrives; bytes keep their order
        self.sender_closed = False
        self.conn = Connection(pair.relay.loop, sock, self, opening=opening)

    def on_connected(self) -> None:
        """Do nothing when a dialled connection is established."""

    def on_data(self, view: memoryview) -> None:
        """Forward bytes: immediately, after a delay, or when the stall ends."""
        relay = self.pair.relay
        data = bytes(view)
        relay.relayed_bytes += len(data)
        if relay.is_stalled(self.to_server) or self.stalled_pieces:
            self.stalled_pieces.append(data)
            if sum(map(len, self.stalled_pieces)) > MAX_STALLED_BYTES:
                self.pair.reset()
            return
        now_us = relay.loop.now
        arrival_us = max(self.last_arrival_us, now_us + relay.draw_delay_us())
        if arrival_us > now_us:
            self.last_arrival_us = arrival_us
            relay.loop.call_at(arrival_us, self._forward, data)
        else:
            self._forward(data)

    def _forward(self, data: bytes) -> None:
        if self.sender_closed and not self.pair.relay.delivers_after_close:
            self.pair.reset()
        elif self.peer.conn.is_open:
            self.peer.conn.send(data)

    def on_closed(self, reason: str) -> None:
        """Close the other side once all delayed data has arrived."""
        self.sender_closed = True
        if not self.stalled_pieces:
            relay = self.pair.relay
            arrival_us = max(self.last_arrival_us, relay.loop.now + relay.condition.delay_us)
            relay.loop.call_at(arrival_us, self.pair.close_side, self.peer)

    def flush_stalled(self) -> None:
        """Forward the data that was queued during a stall."""
        pieces = self.stalled_pieces
        self.stalled_pieces = []
        for data in pieces:
            self._forward(data)
        if self.sender_closed:
            self.pair.close_side(self.peer)


class RelayedConnection:
    """A client's connection to the relay and the relay's connection to the server."""

    def __init__(
        self, relay: Relay, client_socket: socket.socket, server_socket: socket.socket
    ) -> None:
        """Relay between an accepted socket and a socket that is connecting."""
        self.relay = relay
        self.client_side = RelayedDirection(self, client_socket, to_server=True, opening=False)
        self.server_side = RelayedDirection(self, server_socket, to_server=False, opening=True)
        self.client_side.peer = self.server_side
        self.server_side.peer = self.client_side

    def close_side(self, side: RelayedDirection) -> None:
        """Close one side gracefully; remove the connection when both sides are closed."""
        if side.conn.is_open:
            side.conn.close_gracefully()
        if not (self.client_side.conn.is_open or self.server_side.conn.is_open):
            self.relay.connections.pop(self, None)

    def reset(self) -> None:
        """Reset both sides; queued data is lost."""
        for side in (self.client_side, self.server_side):
            side.stalled_pieces.clear()
            side.conn.reset()
        self.relay.connections.pop(self, None)


class Relay:
    """Accepts connections from one process on behalf of a server and forwards them.

    Attributes:
        condition: The current faults of the link.
        connections: The open connections, in the order in which they were accepted.
        relayed_bytes: The bytes read so far in both directions.
        listener: The listening socket, None while connections are refused.
    """

    def __init__(
        self,
        loop: Loop,
        address: Address,
        server_address: Address,
        rng: Random,
        delivers_after_close: bool = True,
    ) -> None:
        """Listen at `address`.

        Args:
            loop: The event loop.
            address: The address to listen at.
            server_address: The address of the server.
            rng: The random generator that decides which packets are lost.
            delivers_after_close: Whether delayed data is still delivered after its sender has
                closed the connection. False where the checker would count such data as a fault of
                the sender, which cannot recall it.
        """
        self.loop = loop
        self.address = address
        self.server_address = server_address
        self.rng = rng
        self.delivers_after_close = delivers_after_close
        self.condition = HEALTHY
        self._healed_at_us = 0
        self.connections: dict[RelayedConnection, None] = {}
        self.relayed_bytes = 0
        self.server_listens = True
        self.listener: socket.socket | None = None
        self._update_listener()

    def _update_listener(self) -> None:
        """Listen only while the link is not cut and the server itself listens."""
        should_listen = self.server_listens and not self.condition.cut
        if should_listen == (self.listener is not None):
            return
        if self.listener:
            self.loop.unwatch(self.listener)
            self.listener.close()
            self.listener = None
        else:
            self.listener = open_listener(self.address, LISTEN_BACKLOG)
            self.loop.watch(self.listener, READ, self._accept)

    def set_server_listens(self, server_listens: bool) -> None:
        """Record whether a process listens at the server's address."""
        self.server_listens = server_listens
        self._update_listener()

    def draw_delay_us(self) -> int:
        """Draw the delay of one piece of data, including retransmissions."""
        delay_us = self.condition.delay_us
        retransmit_us = RETRANSMIT_US
        loss_ratio = self.condition.loss_ratio
        while loss_ratio and self.rng.random() < loss_ratio:
            delay_us += retransmit_us
            retransmit_us *= 2
        return delay_us

    def is_stalled(self, to_server: bool) -> bool:
        """Return whether this direction is stalled."""
        if to_server:
            return self.condition.stalled_to_server
        return self.condition.stalled_to_client

    def _accept(self, mask: int) -> None:
        for _ in range(MAX_ACCEPTS_PER_TURN):
            if not self.listener:
                return
            try:
                client_socket, _ = self.listener.accept()
            except OSError:
                return
            server_socket = dial(self.server_address)
            if isinstance(server_socket, AttemptFailure):
                client_socket.close()
            else:
                connection = RelayedConnection(self, client_socket, server_socket)
                self.connections[connection] = None

    @property
    def faulty_until_us(self) -> int:
        """The end of the link's last fault: now if it is faulty, 0 if it never was."""
        return self._healed_at_us if self.condition == HEALTHY else self.loop.now

    def set_condition(self, condition: LinkCondition) -> None:
        """Replace the condition of the link; `HEALTHY` heals it."""
        if self.condition != HEALTHY:
            self._healed_at_us = self.loop.now
        self.condition = condition
        # the address may still be in use; the next change of the condition tries again
        with suppress(OSError):
            self._update_listener()
        for connection in list(self.connections):
            if condition.cut:
                connection.reset()
                continue
            for side in (connection.client_side, connection.server_side):
                if side.stalled_pieces and not self.is_stalled(side.to_server):
                    side.flush_stalled()

    def close(self) -> None:
        """Reset all connections and stop listening."""
        for connection in list(self.connections):
            connection.reset()
        if self.listener:
            self.loop.unwatch(self.listener)
            self.listener.close()
