"""Decides as ever, and counts by kind where other terms would have decided otherwise. It sends nothing.

Each decision is looked at by itself, from what is known when it is taken: what would have followed from
another one is not played on.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from itertools import accumulate

from orchidgap.decisions.balancer import Balancer, Dispatch
from orchidgap.decisions.ports import Port
from orchidgap.decisions.records import Attempt, Request
from orchidgap.decisions.settings import RequestClass, ServiceSettings

PACE = 60_000_000  # between two lines that tell the counts
KINDS = ("owner", "copy", "repeat", "call-off", "answer", "pause", "limit")


class WatchedPort:
    """Passes on what is decided, after a look at it."""

    def __init__(self, watching: ShadowBalancer, port: Port) -> None:
        self.watching, self.port = watching, port
        self.cancel, self.wake, self.subscribe, self.log = (
            port.cancel,
            port.wake,
            port.subscribe,
            port.log,
        )

    def dispatch(self, req: int, host: str) -> None:
        self.watching.sees(self.watching.requests[req])
        self.port.dispatch(req, host)

    def deny(self, req: int, pause: int) -> None:
        self.watching.ends(req, pause)
        self.port.deny(req, pause)

    def abort(self, req: int) -> None:
        self.watching.ends(req, -1)
        self.port.abort(req)


class WatchedDispatch(Dispatch):
    desk: ShadowBalancer

    def late(self, sent: Attempt) -> None:
        desk = self.desk
        if not sent.outcome and not sent.host.is_origin and not self.lost(sent):
            now = self.calls_off(sent)
            with desk.otherwise():
                desk.add("call-off", self.calls_off(sent) != now)
        super().late(sent)


class ShadowBalancer(Balancer):
    sends = WatchedDispatch

    def __init__(
        self, other: ServiceSettings, terms: ServiceSettings, port: Port, seed: int, now: int
    ) -> None:
        self.other, self.looked = other, 0
        self.said_at, self.said = now, ""
        self.counts = dict.fromkeys(KINDS, 0)
        self.cuts: list[list[int]] = [
            [],
            [],
        ]  # where even ranges end, by these terms and by the others
        self.helds: dict[str, float] = {}
        super().__init__(terms, WatchedPort(self, port), seed, now)

    def tick(self, _: None) -> None:
        super().tick(None)
        if self.now - self.said_at >= PACE and (words := self.told()) != self.said:
            self.said_at, self.said = self.now, words
            self.port.log(f"watched so far: {words}")

    def add(self, kind: str, differs: bool) -> None:
        self.counts[kind] += differs

    def told(self) -> str:
        kinds = (f"{kind} {many}" for kind, many in self.counts.items())
        return ", ".join([f"{self.looked} dispatches", *kinds])

    @contextmanager
    def otherwise(self) -> Iterator[None]:
        """The other terms are asked; nothing may be changed meanwhile."""
        terms, self.settings = self.settings, self.other
        try:
            yield
        finally:
            self.settings = terms

    def sees(self, req: Request) -> None:
        """A dispatch that is about to go out, the last of its req."""
        sent, earlier = req.attempts[-1], req.attempts[:-1]
        self.looked += 1
        if not earlier and not sent.host.is_origin and self.cuts[0] and not self.slot_map:
            mine, others = (bisect_right(cuts, req.slot) for cuts in self.cuts)
            self.add("owner", mine != others)
        copy = any(not one.outcome for one in earlier)
        self.add("copy", copy and not self.other.may_hedge)
        repeats = not copy and bool(earlier)
        self.add(
            "repeat",
            repeats
            and not self.allows(req, sent.host, self.theirs(req), earlier, self.other.max_attempts),
        )

    def theirs(self, req: Request) -> RequestClass:
        """The other terms' rule set of that name; its own where it came under earlier terms."""
        names = [
            name
            for name, rule_set in self.settings.request_classes.items()
            if rule_set is req.request_class
        ]
        return (
            self.other.request_classes.get(names[0], req.request_class)
            if names
            else req.request_class
        )

    def ends(self, id: int, pause: int) -> None:
        """A final answer that is about to go out; a pause under 0 is that of one aborted."""
        req = self.requests[id]
        with self.otherwise():
            theirs = self.comeback(req, self.theirs(req))
        self.add("answer", (theirs >= 0) != (pause >= 0))
        self.add("pause", min(theirs, pause) >= 0 and theirs != pause)

    def on_hosts(
        self, scope: str, entries: Iterable[tuple[str, str, int, str, str, str, float]]
    ) -> None:
        super().on_hosts(scope, entries)
        self.helds = {id: held for id, held in self.helds.items() if id in self.hosts}
        mine = self.ends_of_shares()
        with self.otherwise():
            self.cuts = [mine, self.ends_of_shares()]

    def ends_of_shares(self) -> list[int]:
        return [
            round(end)
            for end in accumulate(self.placement.share(host) for host in self.placement.ring)
        ]

    def on_load_report(self, id: str, rate: float | None, held: float | None = None) -> None:
        if held is not None and (host := self.hosts.get(id)) and not host.is_origin:
            self.helds[id] = held / host.weight
            much = held > host.weight * self.placement.fair_of(sorted(self.helds.values()))
            mine = self.by_load
            with self.otherwise():
                self.add("limit", much and self.by_load != mine)
        super().on_load_report(id, rate, held)
