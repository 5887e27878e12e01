"""What is read at start, decoded once. Setting names of the wire stay in this file, but for those that only
sockets need (`net/start.py`)."""

from __future__ import annotations

from collections.abc import Mapping
from typing import NamedTuple


class MissingTerm(LookupError):
    """A setting without which nothing can be decided."""


class RuleSet(NamedTuple):
    response_target: int
    replayable: bool
    uniqued: bool
    group: str  # who drops repeats: all, zone or cell
    repeat_window: int


class Tenant(NamedTuple):
    share: float


class ServiceTerms(NamedTuple):
    """
    >>> pairs = {"rule-sets.count": "1", "rule-sets.0.name": "a", "rule-sets.0.effect": "dedup",
    ...          "rule-sets.0.client-timeout": "900", "something.new": "7"}
    >>> terms = ServiceTerms.read(pairs)
    >>> terms.rule_sets["a"].uniqued, terms.rule_sets["a"].response_target, terms.tenants
    (True, 900, {})
    >>> ServiceTerms.read({"rule-sets.count": "1", "rule-sets.0.name": "a"})
    Traceback (most recent call last):
        ...
    orchidgap.decisions.terms.MissingTerm: setting rule-sets.0.client-timeout is missing
    """

    rule_sets: dict[str, RuleSet]
    tenants: dict[str, Tenant]
    instances: int
    slot_no: int  # its own number among them
    peer_messages: bool
    origin_kind: str  # the kind whose entry is the origin; empty where the caches fetch for themselves
    subscribes: bool
    ask_within: int
    max_dispatches: int
    may_cancel: bool
    may_double: bool  # two dispatches of one req may be out
    max_pause: int  # 0 where clients are told no comeback time
    cold_from: float
    warm_after: int

    @classmethod
    def read(cls, pairs: Mapping[str, str]) -> ServiceTerms:
        def need(path: str) -> str:
            if path not in pairs:
                raise MissingTerm(f"setting {path} is missing")
            return pairs[path]

        def number(path: str, default: float) -> float:
            return float(pairs.get(path, default))

        def yes(path: str, default: str = "false") -> bool:
            return pairs.get(path, default) in ("true", "1")

        rule_sets = {}
        for i in range(int(need("rule-sets.count"))):
            at = f"rule-sets.{i}."
            timeout = int(need(at + "client-timeout"))
            effect = need(at + "effect")
            name = need(at + "name")
            rule_sets[name] = RuleSet(
                int(number(at + "response-target", timeout)), effect == "retryable", effect == "dedup",
                pairs.get(at + "group", "cell"), int(number(at + "repeat-window", 0)))
        tenants = {}
        for i in range(int(number("customers.count", 0))):
            name = need(f"customers.{i}.name")
            tenants[name] = Tenant(number(f"customers.{i}.share", 1.0))
        kind = int(number("family-info.origin-kind", -1))
        kinds = pairs.get("kinds", "").split(",")
        aside = pairs.get("family-info.mode") == "aside" and 0 <= kind < len(kinds)
        return cls(
            rule_sets, tenants, max(1, int(number("instances", 1))), int(number("slot-no", 0)),
            yes("ceilings.peer-messages"), kinds[kind] if aside else "",
            pairs.get("registry-mode") == "subscribe", int(number("guarantees.ask-within", 10_000_000)),
            int(number("ceilings.most-dispatches", 3)),
            yes("ceilings.may-cancel"), yes("ceilings.may-duplicate"),
            int(number("ceilings.max-retry-after", 0)) if yes("ceilings.retry-after") else 0,
            number("guarantees.cold-from", 0.1), int(number("guarantees.warm-after", 30_000_000)))
