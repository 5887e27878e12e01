"""A relay for the datagrams that other balancers send to one balancer."""

from __future__ import annotations

import socket
from contextlib import suppress
from random import Random

from orchidgap.net.addresses import Address
from orchidgap.net.loop import READ, Loop

ANY_SENDER = ""
MAX_DATAGRAMS_PER_TURN = 64
MAX_DATAGRAM_BYTES = 1 << 16


class DatagramRelay:
    """Forwards datagrams or loses them.

    Attributes:
        loss_ratios: The fraction of datagrams that is lost, by the sender's IP address or
            `ANY_SENDER`.
    """

    def __init__(
        self, loop: Loop, address: Address, receiver_address: Address, rng: Random
    ) -> None:
        """Forward datagrams from `address` to `receiver_address`; `rng` decides which are lost."""
        self.loop = loop
        self.address = address
        self.receiver_address = receiver_address
        self.rng = rng
        self.loss_ratios: dict[str, float] = {}
        self.socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        self.socket.bind(address)
        loop.watch(self.socket, READ, self._on_readable)

    def _on_readable(self, mask: int) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            try:
                data, (sender, _) = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError:  # no process listened for the previous datagram
                continue
            sender_loss = self.loss_ratios.get(sender, 0.0)
            general_loss = self.loss_ratios.get(ANY_SENDER, 0.0)
            if self.rng.random() >= max(sender_loss, general_loss):
                self.deliver(data)

    def deliver(self, data: bytes) -> None:
        """Send a datagram to the balancer."""
        with suppress(OSError):
            self.socket.sendto(data, self.receiver_address)

    def close(self) -> None:
        """Stop receiving and close the socket."""
        self.loop.unwatch(self.socket)
        self.socket.close()
