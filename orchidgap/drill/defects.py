"""Defects planted on purpose, by name: each a program that would pass for a good one until a fault shows
it."""

# mypy: disable-error-code="method-assign, attr-defined"

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from orchidgap.control.lease_keeper import Keeper
from orchidgap.control.server import Control
from orchidgap.decisions.cas_register import Value
from orchidgap.decisions.gossip_counts import Pool, Row
from orchidgap.decisions.hot_keys import HotKeyDetector
from orchidgap.decisions.policy_rollout import Leases, Right, Tenure
from orchidgap.http1.server import Client


def skips() -> None:
    """It says that it runs a version, and goes on under the one before."""
    adopt = Keeper.adopt

    Keeper.adopt = lambda self, doc: adopt(self, doc) if self.tenure.runs < 0 else ""


def early() -> None:
    """It serves before it knows what is decided."""
    begin = Keeper.begin

    def open_at_once(self: Keeper, opens: Callable[[], None]) -> None:
        begin(self, lambda: None)
        opens()

    Keeper.begin = open_at_once
    Keeper.may = lambda self: True


def forgets() -> None:
    """It loses its promise: alone, it goes on as if it had given none."""
    Tenure.promise = lambda self, number: True
    call = Keeper.call

    def say(self: Keeper) -> None:
        if self.seen_try:
            self.tenure.promised, kept = self.seen_try, self.tenure.promised
            call(self)
            self.tenure.promised = kept
        else:
            call(self)

    check = Keeper.check

    def saw(self: Keeper, new: Value) -> None:
        self.seen_try = new["try"]
        check(self, new)

    Keeper.seen_try = 0
    Keeper.call, Keeper.check = say, saw


def twice() -> None:
    """It answers a req two times."""
    answer = Client.answer

    def again(self: Client, status: int, *more: Any, **named: Any) -> None:
        answer(self, status, *more, **named)
        if status == 200 and more:
            self.conn.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")

    Client.answer = again


def hasty() -> None:
    """It takes a version that it has only promised."""
    checked = Keeper.checked

    def take(self: Keeper, new: Value, why: str) -> None:
        checked(self, new, why)
        if self.tenure.promised == new["try"]:
            self.adopt(new["doc"])

    Keeper.checked = take


def leaseless() -> None:
    """Once it had a lease it serves for ever."""

    Tenure.right = lambda self, now: Right.SERVES if self.runs >= 0 else Right.NONE


def dozes() -> None:
    """Its clock stands still while it does, as one that counts its own turns would."""
    begin = Keeper.begin

    def count(self: Keeper, opens: Callable[[], None]) -> None:
        real = self.clock
        last = own = real()

        def clock() -> int:
            nonlocal last, own
            now = real()
            own += min(now - last, 50_000)
            last = now
            return own

        self.clock = clock
        begin(self, opens)

    Keeper.begin = count


def impatient() -> None:
    """Control decides without waiting for anybody."""
    Leases.behind = lambda self, *told: []


def amnesic() -> None:
    """Control tells what it never wrote."""
    Control.write = lambda self, kept, done: self.loop.call_soon(done, True)


def blind() -> None:
    """It sees no hot key."""
    HotKeyDetector.replica_count = lambda self, key, cache_count: 1


def echoes() -> None:
    """It counts again what others told it before."""
    hear = Pool.hear

    def again(self: Pool, name: str, row: Row) -> str:
        known = self.rows[name].keys if name in self.rows else {}
        return hear(
            self,
            name,
            row._replace(
                keys={key: count + known.get(key, 0.0) for key, count in row.keys.items()}
            ),
        )

    Pool.hear = again


DEFECTS = {
    defect.__name__: defect
    for defect in (
        skips,
        early,
        forgets,
        twice,
        hasty,
        leaseless,
        dozes,
        impatient,
        amnesic,
        blind,
        echoes,
    )
}
