"""Decides as ever, and counts by kind where other terms would have decided otherwise. It sends nothing.

Each decision is looked at by itself, from what is known when it is taken: what would have followed from
another one is not played on.
"""

from __future__ import annotations

from bisect import bisect_right
from collections.abc import Iterable, Iterator
from contextlib import contextmanager
from itertools import accumulate

from orchidgap.decisions.ports import Port
from orchidgap.decisions.records import Host, Req, Sent
from orchidgap.decisions.rules import SPACE, Balancer, Dispatch
from orchidgap.decisions.terms import RuleSet, ServiceTerms

KINDS = ("owner", "copy", "repeat", "call-off", "answer", "pause", "limit")


class WatchedPort:
    """Passes on what is decided, after a look at it."""

    def __init__(self, watching: Watching, port: Port) -> None:
        self.watching, self.port = watching, port
        self.cancel, self.wake, self.subscribe, self.log = port.cancel, port.wake, port.subscribe, port.log

    def dispatch(self, req: int, host: str) -> None:
        self.watching.sees(self.watching.reqs[req])
        self.port.dispatch(req, host)

    def deny(self, req: int, pause: int) -> None:
        self.watching.ends(req, pause)
        self.port.deny(req, pause)

    def abort(self, req: int) -> None:
        self.watching.ends(req, -1)
        self.port.abort(req)


class WatchedDispatch(Dispatch):
    desk: Watching

    def late(self, sent: Sent) -> None:
        desk = self.desk
        if not sent.verdict and not sent.host.is_origin and not self.lost(sent):
            now = self.calls_off(sent)
            with desk.otherwise():
                desk.add("call-off", self.calls_off(sent) != now)
        super().late(sent)


class Watching(Balancer):
    sends = WatchedDispatch

    def __init__(self, other: ServiceTerms, terms: ServiceTerms, port: Port, seed: int, now: int) -> None:
        self.other, self.looked = other, 0
        self.counts = dict.fromkeys(KINDS, 0)
        self.cuts: list[list[int]] = [[], []]  # where even ranges end, by these terms and by the others
        self.helds: dict[str, float] = {}
        super().__init__(terms, WatchedPort(self, port), seed, now)

    def add(self, kind: str, differs: bool) -> None:
        self.counts[kind] += differs

    def told(self) -> str:
        kinds = (f"{kind} {many}" for kind, many in self.counts.items())
        return ", ".join([f"{self.looked} dispatches", *kinds])

    @contextmanager
    def otherwise(self) -> Iterator[None]:
        """The other terms are asked; nothing may be changed meanwhile."""
        terms, self.terms = self.terms, self.other
        try:
            yield
        finally:
            self.terms = terms

    def sees(self, req: Req) -> None:
        """A dispatch that is about to go out, the last of its req."""
        sent, earlier = req.sent[-1], req.sent[:-1]
        self.looked += 1
        if not earlier and not sent.host.is_origin and self.cuts[0] and not self.owners:
            mine, others = (bisect_right(cuts, req.slot) for cuts in self.cuts)
            self.add("owner", mine != others)
        copy = any(not one.verdict for one in earlier)
        self.add("copy", copy and not self.other.may_double)
        self.add("repeat", not copy and bool(earlier) and not self.allows(req, earlier, sent.host))

    def theirs(self, req: Req) -> RuleSet:
        """The other terms' rule set of that name; its own where it came under earlier terms."""
        names = [name for name, rule_set in self.terms.rule_sets.items() if rule_set is req.rule_set]
        return self.other.rule_sets.get(names[0], req.rule_set) if names else req.rule_set

    def allows(self, req: Req, earlier: list[Sent], host: Host) -> bool:
        """Whether the other terms would have let it go out again."""
        rule_set = self.theirs(req)
        doubtful = [] if rule_set.replayable else [one for one in req.suspects() if one in earlier]
        if len(earlier) - req.hops >= self.other.max_dispatches:
            return False
        if doubtful and not (rule_set.uniqued and self.now - doubtful[0].at < rule_set.repeat_window):
            return False
        return rule_set.group == "all" or all(
            getattr(one.host, rule_set.group) == getattr(host, rule_set.group) for one in doubtful)

    def ends(self, id: int, pause: int) -> None:
        """A final answer that is about to go out; a pause under 0 is that of one aborted."""
        req = self.reqs[id]
        rule_set = self.theirs(req)
        doubtful = [] if rule_set.replayable else req.suspects()
        denies = not doubtful or rule_set.uniqued and rule_set.group == "all"
        self.add("answer", denies != (pause >= 0))
        if denies and pause >= 0 and not doubtful:
            self.add("pause", self.other.max_pause // 2 != pause)

    def on_hosts(self, scope: str, entries: Iterable[tuple[str, str, int, str, str, str, float]]) -> None:
        super().on_hosts(scope, entries)
        ring = self.placement.ring
        self.helds = {id: held for id, held in self.helds.items() if id in self.hosts}
        self.cuts = []
        for terms in (self.terms, self.other):
            sizes = [host.rating if terms.sized else 1.0 for host in ring]
            self.cuts.append([round(end * SPACE / sum(sizes)) for end in accumulate(sizes)])

    def on_report(self, id: str, rate: float | None, held: float | None = None) -> None:
        if held is not None and (host := self.hosts.get(id)) and not host.is_origin:
            self.helds[id] = held / host.rating
            much = held > host.rating * self.placement.fair_of(sorted(self.helds.values()))
            reads = ["concurrent" in terms.reports for terms in (self.terms, self.other)]
            self.add("limit", much and reads[0] != reads[1])
        super().on_report(id, rate, held)
