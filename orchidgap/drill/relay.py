"""The links between processes: each goes through a relay of the drill's own, which can slow, stall, cut and
heal it."""

from __future__ import annotations

import socket

from orchidgap.net.connection import Address, Connection, Fault, dial, listener_at
from orchidgap.net.loop import READ, Loop

HELD = 1 << 22  # bytes that one stalled connection keeps


class Half:
    """One side of a connection through the relay; what it reads goes out at the other."""

    def __init__(self, pair: Pair, sock: socket.socket, to_far: bool, opening: bool) -> None:
        self.pair, self.to_far = pair, to_far
        self.other: Half
        self.held: list[bytes] = []
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
        elif relay.delay:
            relay.loop.later(relay.delay, self.pass_on, data)
        else:
            self.pass_on(data)

    def pass_on(self, data: bytes) -> None:
        if self.other.conn.open:
            self.other.conn.send(data)

    def ended(self, what: str) -> None:
        self.gone = True
        if not self.held:
            self.pair.relay.loop.later(self.pair.relay.delay, self.pair.finish, self.other)

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
        if half.conn.open:
            half.conn.finish()
        if not (self.near.conn.open or self.far.conn.open):
            self.relay.pairs.pop(self, None)

    def reset(self) -> None:
        for half in (self.near, self.far):
            half.held.clear()
            half.conn.reset()
        self.relay.pairs.pop(self, None)


class Relay:
    """Listens in the place of `far` for one process that calls it."""

    def __init__(self, loop: Loop, at: Address, far: Address) -> None:
        self.loop, self.at, self.far = loop, at, far
        self.pairs: dict[Pair, None] = {}
        self.moved = 0      # bytes, both ways
        self.delay = 0      # microseconds each way
        self.cut = False    # connections are refused, and those that stand are reset
        self.there = self.back = False  # what goes that way stalls, as all packets were lost
        self.listener = listener_at(at, 512)
        loop.watch(self.listener, READ, self.accept)

    def stalled(self, to_far: bool) -> bool:
        return self.there if to_far else self.back

    def accept(self, mask: int) -> None:
        for _ in range(64):
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            far = None if self.cut else dial(self.far)
            if far is None or isinstance(far, Fault):
                near.close()
            else:
                self.pairs[Pair(self, near, far)] = None

    def set(self, cut: bool = False, there: bool = False, back: bool = False, delay: int = 0) -> None:
        self.cut, self.there, self.back, self.delay = cut, there, back, delay
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
        self.loop.unwatch(self.listener)
        self.listener.close()
