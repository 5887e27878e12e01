"""The links between processes: each goes through a relay of the drill's own, which can slow, stall, cut and
heal it, and lose a part of what goes there."""

from __future__ import annotations

import socket
from contextlib import suppress
from random import Random

from orchidgap.net.addresses import Address
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection
from orchidgap.net.dialing import dial, open_listener
from orchidgap.net.loop import READ, Loop

HELD = 1 << 22  # bytes that one stalled connection keeps
AGAIN = 200_000  # until a lost packet is sent once more; twice as long each time after


class Half:
    """One side of a connection through the relay; what it reads goes out at the other."""

    def __init__(self, pair: Pair, sock: socket.socket, to_far: bool, opening: bool) -> None:
        self.pair, self.to_far = pair, to_far
        self.other: Half
        self.held: list[bytes] = []
        self.due = 0  # when the last piece goes on that was held up
        self.gone = False
        self.conn = Connection(pair.relay.loop, sock, self, opening=opening)

    def opened(self) -> None:
        pass

    def received(self, view: memoryview) -> None:
        relay, data = self.pair.relay, bytes(view)
        relay.moved += len(data)
        if relay.stalled(self.to_far) or self.held:
            self.held.append(data)
            if sum(map(len, self.held)) > HELD:
                self.pair.reset()
        elif (due := max(self.due, relay.loop.now + relay.way())) > relay.loop.now:
            self.due = due  # bytes keep their order
            relay.loop.call_at(due, self.pass_on, data)
        else:
            self.pass_on(data)

    def pass_on(self, data: bytes) -> None:
        if self.gone and not self.pair.relay.outlives:
            return self.pair.reset()
        if self.other.conn.is_open:
            self.other.conn.send(data)

    def ended(self, what: str) -> None:
        self.gone = True
        if not self.held:
            loop = self.pair.relay.loop
            loop.call_at(
                max(self.due, loop.now + self.pair.relay.delay), self.pair.finish, self.other
            )

    def release(self) -> None:
        held, self.held = self.held, []
        for data in held:
            self.pass_on(data)
        if self.gone:
            self.pair.finish(self.other)


class Pair:
    def __init__(self, relay: Relay, near: socket.socket, far: socket.socket) -> None:
        self.relay = relay
        self.near, self.far = Half(self, near, True, False), Half(self, far, False, True)
        self.near.other, self.far.other = self.far, self.near

    def finish(self, half: Half) -> None:
        if half.conn.is_open:
            half.conn.close_gracefully()
        if not (self.near.conn.is_open or self.far.conn.is_open):
            self.relay.pairs.pop(self, None)

    def reset(self) -> None:
        for half in (self.near, self.far):
            half.held.clear()
            half.conn.reset()
        self.relay.pairs.pop(self, None)


class Relay:
    """Listens in the place of `far` for one process that calls it."""

    def __init__(
        self, loop: Loop, at: Address, far: Address, rng: Random, outlives: bool = True
    ) -> None:
        self.loop, self.at, self.far, self.rng = loop, at, far, rng
        # what is on its way comes though its sender has hung up; not where the judge would hold that against
        # the sender, who cannot take it back
        self.outlives = outlives
        self.pairs: dict[Pair, None] = {}
        self.moved = 0  # bytes, both ways
        self.delay = 0  # microseconds each way
        self.loss = 0.0  # the part of packets that are lost, and come later
        self.cut = False  # connections are refused, and those that stand are reset
        self.there = self.back = False  # what goes that way stalls, as all packets were lost
        self.there_is = True  # somebody listens at the far end
        self.listener: socket.socket | None = None
        self.listen()

    def listen(self) -> None:
        """As far as a connection could be had: else it is refused, as it would be without a relay."""
        if (self.there_is and not self.cut) == (self.listener is not None):
            return
        if self.listener:
            self.loop.unwatch(self.listener)
            self.listener.close()
            self.listener = None
        else:
            self.listener = open_listener(self.at, 512)
            self.loop.watch(self.listener, READ, self.accept)

    def heed(self, there_is: bool) -> None:
        self.there_is = there_is
        self.listen()

    def way(self) -> int:
        """Microseconds that a piece takes."""
        spent, again = self.delay, AGAIN
        while self.loss and self.rng.random() < self.loss:
            spent, again = spent + again, again * 2
        return spent

    def stalled(self, to_far: bool) -> bool:
        return self.there if to_far else self.back

    def accept(self, mask: int) -> None:
        for _ in range(64):
            if not self.listener:
                return
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            far = dial(self.far)
            if isinstance(far, AttemptFailure):
                near.close()
            else:
                self.pairs[Pair(self, near, far)] = None

    def set(
        self,
        cut: bool = False,
        there: bool = False,
        back: bool = False,
        delay: int = 0,
        loss: float = 0.0,
    ) -> None:
        self.cut, self.there, self.back, self.delay, self.loss = cut, there, back, delay, loss
        with suppress(
            OSError
        ):  # an address that is in use again: the next change of it tries once more
            self.listen()
        for pair in list(self.pairs):
            if cut:
                pair.reset()
            else:
                for half in (pair.near, pair.far):
                    if half.held and not self.stalled(half.to_far):
                        half.release()

    def close(self) -> None:
        for pair in list(self.pairs):
            pair.reset()
        if self.listener:
            self.loop.unwatch(self.listener)
            self.listener.close()


class Datagrams:
    """In the place of one balancer, for the datagrams of all others: passes them on, or loses them."""

    def __init__(self, loop: Loop, at: Address, far: Address, rng: Random) -> None:
        self.loop, self.at, self.far, self.rng = loop, at, far, rng
        self.loss: dict[str, float] = {}  # by who sent it, "" for whoever
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        self.sock.bind(at)
        loop.watch(self.sock, READ, self.readable)

    def readable(self, mask: int) -> None:
        for _ in range(64):
            try:
                data, (who, _) = self.sock.recvfrom(1 << 16)
            except BlockingIOError:
                return
            except OSError:  # the one before met nobody
                continue
            if self.rng.random() >= max(self.loss.get(who, 0.0), self.loss.get("", 0.0)):
                self.put(data)

    def put(self, data: bytes) -> None:
        with suppress(OSError):
            self.sock.sendto(data, self.far)

    def close(self) -> None:
        self.loop.unwatch(self.sock)
        self.sock.close()
