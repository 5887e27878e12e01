"""The records that the decisions keep: hosts, reqs and their dispatches. Nothing is decided here."""

from __future__ import annotations

from dataclasses import dataclass, field

from orchidgap.decisions.settings import RuleSet

UNRUN = frozenset(
    ("full", "unconnected", "refused", "moved", "moot", "miss")
)  # proof that it never ran


@dataclass(slots=True, eq=False)
class Host:
    """All that is known of one cache host, or of the origin."""

    id: str
    is_origin: bool
    state: str = ""
    since: int = -1  # its last start, as listed; 0 for long ago
    zone: str = ""
    cell: str = ""
    rating: float = 1.0
    size: int = 0  # of its range, in slots
    out: int = 0  # dispatches out
    away: int = 0  # dispatches out that another process of this balancer has there
    limit: float = 0.0  # how many may be out
    floor: float = 1.0  # below which the limit does not fall
    cut_at: int = 0  # when the limit was last lowered
    judged_at: int = 0  # when an answer last counted for its lag
    heard_at: int = 0  # when it last answered at all
    sends: int = 0  # since the last redraw, a refusal for being full counted twice
    counted: int = 0  # since when they are counted
    rate: float = -1.0  # reqs a second by its last report, negative where unheard
    held: float = 0.0  # dispatches that it held by its last report, from all balancers
    told_at: int = -1 << 60  # when that was
    asked: int = 0  # how often it was wanted since its limit, being below one, was set
    lag: int = 0  # how long its answers take, smoothed
    shun_until: int = 0
    credit: float = 0.0  # earned by answers, spent by further dispatches
    warm_at: int = 0  # cold until then
    seen: int = 0  # reqs that had been placed when it last had its chance, while cold

    @property
    def load(self) -> int:
        """Dispatches out, from all processes of this balancer."""
        return self.out + self.away


@dataclass(slots=True, eq=False)
class Sent:
    """One dispatch of a req."""

    req: Req
    host: Host
    at: int
    verdict: str = ""


@dataclass(slots=True, eq=False)
class Req:
    id: int
    rule_set: RuleSet
    tenant: str
    key: int | None
    slot: int
    write: bool
    born: int
    due: int  # when its client gives up
    most: int  # dispatches that it may have
    sent: list[Sent] = field(default_factory=list)
    out: int = 0
    over: bool = False  # it has its final answer
    missed: bool = False  # a cache lacked the key, so it needs a fetch
    flows: bool = False  # its body has yet to come whole: until then it does not count at its host
    waits: bool = False  # held by a stage
    late: bool = False  # a dispatch of it was called off
    hops: int = 0  # redirections followed
    bound: Host | None = None  # where the last of them sent it
    lean: int = 0  # caches beside its owner that it is meant for, as its key is hot


def suspects(sent: list[Sent]) -> list[Sent]:
    """Dispatches that may have run or may yet run."""
    return [one for one in sent if one.verdict not in UNRUN]
