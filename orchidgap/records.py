"""The records that the decisions keep: hosts, reqs and their dispatches. Nothing is decided here."""

from __future__ import annotations

from orchidgap.terms import RuleSet

UNRUN = frozenset(("full", "unconnected", "moot", "miss"))  # verdicts that prove a dispatch never ran


class Host:
    """All that is known of one cache host, or of the origin."""

    __slots__ = (
        "id", "is_origin", "state", "since", "zone", "cell", "rating",  # as listed
        "size",        # of its range, in slots
        "sends",       # since the last redraw, a refusal for being full counted twice
        "counted",     # since when they are counted
        "rate",        # reqs a second by its last report, negative where unheard
        "out",         # dispatches out
        "limit",       # how many may be out
        "cut_at",      # when the limit was last lowered
        "lag",         # how long its answers take, smoothed
        "heard",       # its last answer
        "strikes",     # how often in a row it was found silent
        "shun_until",
        "credit",      # earned by answers, spent by further dispatches
        "warm_at",     # cold until then
        "tokens",      # what may go to it while cold
        "seen")        # reqs that had been placed when the tokens were last counted

    def __init__(self, id: str, is_origin: bool) -> None:
        self.id, self.is_origin, self.since, self.size, self.out = id, is_origin, -1, 0, 0


class Sent:
    """One dispatch of a req."""

    __slots__ = ("host", "at", "verdict")

    def __init__(self, host: Host, at: int) -> None:
        self.host, self.at, self.verdict = host, at, ""


class Req:
    __slots__ = ("id", "rule_set", "tenant", "key", "slot", "write", "born", "due", "sent", "out", "over",
                 "missed", "streaming")

    def __init__(self, id: int, rule_set: RuleSet, tenant: str, key: int | None, slot: int, write: bool,
                 born: int, due: int) -> None:
        self.id, self.rule_set, self.tenant, self.key, self.slot = id, rule_set, tenant, key, slot
        self.write, self.born, self.due, self.out = write, born, due, 0
        self.sent: list[Sent] = []
        self.over = self.missed = self.streaming = False

    def suspects(self) -> list[Sent]:
        """Dispatches that may have run or may yet run."""
        return [sent for sent in self.sent if sent.verdict not in UNRUN]
