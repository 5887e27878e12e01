"""What is read at start, decoded once. Setting names of the wire stay in this file, but for those that only
sockets need (`net/config.py`)."""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from typing import NamedTuple

from orchidgap.errors import SettingError as SettingError

EFFECTS = ("retryable", "dedup", "fragile")
GROUPS = ("all", "zone", "cell")
WEIGHTS = ("off", "nominal", "rough", "live")
REPORTS = ("off", "on_probe", "inline")
STARTUP_SETTINGS = ("origin_kind", "subscribes")  # what the records of hosts stand on


class RequestClass(NamedTuple):
    latency_objective_us: int
    idempotent: bool
    idempotency_keyed: bool
    deduplication_scope: str  # who drops repeats: all, zone or cell
    deduplication_window_us: int
    client_timeout_us: int  # of the clients that wait longest


class Tenant(NamedTuple):
    share: float


class ServiceSettings(NamedTuple):
    """
    >>> pairs = {"rule-sets.count": "1", "rule-sets.0.name": "a", "rule-sets.0.effect": "dedup",
    ...          "rule-sets.0.client-timeout": "900", "something.new": "7"}
    >>> terms = ServiceSettings.from_pairs(pairs)
    >>> terms.request_classes["a"].idempotency_keyed, terms.request_classes["a"].latency_objective_us, terms.tenants
    (True, 900, {})
    >>> ServiceSettings.from_pairs({"rule-sets.count": "1", "rule-sets.0.name": "a"})
    Traceback (most recent call last):
        ...
    orchidgap.errors.SettingError: setting rule-sets.0.client-timeout is missing
    >>> ServiceSettings.from_pairs(pairs | {"rule-sets.0.client-timeout": "-5"})
    Traceback (most recent call last):
        ...
    orchidgap.errors.SettingError: setting rule-sets.0.client-timeout is -5, and must be over 0
    """

    request_classes: dict[str, RequestClass]
    tenants: dict[str, Tenant]
    balancer_count: int
    origin_kind: (
        str  # the kind whose entry is the origin; empty where the caches fetch for themselves
    )
    subscribes: bool
    subscribe_within_us: int
    max_attempts: int
    may_cancel: bool
    may_hedge: bool  # two dispatches of one req may be out
    max_retry_after_us: int  # 0 where clients are told no comeback time
    slow_start_fraction: float
    slow_start_us: int
    uses_listed_weights: bool  # what the list says of a host's size can be gone by
    reported_fields: tuple[str, ...]  # what hosts tell of their load with each answer

    def keeping_startup_settings(self, now: ServiceSettings) -> ServiceSettings:
        """These terms, as far as they can follow those that count now without a restart."""
        return self._replace(**{name: getattr(now, name) for name in STARTUP_SETTINGS})

    @property
    def latency_objective_us(self) -> int:
        """The shortest response target."""
        return min(rule_set.latency_objective_us for rule_set in self.request_classes.values())

    @property
    def longest_client_timeout_us(self) -> int:
        """The longest that any client waits."""
        return max(rule_set.client_timeout_us for rule_set in self.request_classes.values())

    @classmethod
    def from_pairs(cls, pairs: Mapping[str, str]) -> ServiceSettings:
        def need(path: str) -> str:
            if path not in pairs:
                raise SettingError(f"setting {path} is missing")
            return pairs[path]

        def number(path: str, default: float, over: bool = False) -> float:
            try:
                value = float(pairs.get(path, default))
            except ValueError:
                raise SettingError(
                    f"setting {path} is {pairs[path]!r}, and must be a number"
                ) from None
            if not (0 < value < inf if over else 0 <= value < inf):
                raise SettingError(
                    f"setting {path} is {value:g}, and must be over 0"
                    if over
                    else f"setting {path} is {value:g}, and must not be under 0"
                )
            return value

        def whole(path: str, default: float) -> int:
            value = int(number(path, default, over=True))
            if not value:  # what it would be divided by, or how often a req could be sent
                raise SettingError(f"setting {path} is {pairs[path]}, and must be 1 or more")
            return value

        def word(path: str, default: str, among: tuple[str, ...]) -> str:
            if (value := pairs.get(path, default)) not in among:
                raise SettingError(
                    f"setting {path} is {value!r}, and must be one of {', '.join(among)}"
                )
            return value

        def yes(path: str) -> bool:
            return word(path, "false", ("true", "1", "false", "0")) in ("true", "1")

        rule_sets: dict[str, RequestClass] = {}
        need("rule-sets.count")
        for i in range(whole("rule-sets.count", 0)):
            at = f"rule-sets.{i}."
            need(at + "client-timeout")
            timeout = whole(at + "client-timeout", 0)
            need(at + "effect")
            effect = word(at + "effect", "", EFFECTS)
            name = need(at + "name")
            if not name or name in rule_sets:
                raise SettingError(f"setting {at}name is {name!r}, and must be a name of its own")
            rule_sets[name] = RequestClass(
                whole(at + "response-target", timeout),
                effect == "retryable",
                effect == "dedup",
                word(at + "group", "cell", GROUPS),
                int(number(at + "repeat-window", 0)),
                timeout,
            )
        tenants: dict[str, Tenant] = {}
        for i in range(int(number("customers.count", 0))):
            name = need(f"customers.{i}.name")
            tenants[name] = Tenant(number(f"customers.{i}.share", 1.0, over=True))
        kinds = pairs.get("kinds", "").split(",")
        kind = int(number("family-info.origin-kind", len(kinds)))
        aside = pairs.get("family-info.mode") == "aside" and kind < len(kinds)
        return cls(
            rule_sets,
            tenants,
            max(1, int(number("instances", 1))),
            kinds[kind] if aside else "",
            pairs.get("registry-mode") == "subscribe",
            int(number("guarantees.ask-within", 10_000_000)),
            whole("ceilings.most-dispatches", 3),
            yes("ceilings.may-cancel"),
            yes("ceilings.may-duplicate"),
            int(number("ceilings.max-retry-after", 0)) if yes("ceilings.retry-after") else 0,
            number("guarantees.cold-from", 0.1),
            int(number("guarantees.warm-after", 30_000_000)),
            word("weights", "off", WEIGHTS) in ("nominal", "rough"),  # "live" ones swing
            tuple(filter(None, pairs.get("report.fields", "").split(",")))
            if word("report.how", "off", REPORTS) == "inline"
            else (),
        )
