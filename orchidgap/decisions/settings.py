"""The service's settings, decoded once into typed records.

Operators' names of settings, and their permitted words, are defined in this module only (those
that only the network layer needs are in `net/config/`). The input is a flat map from path to text,
such as `rule-sets.0.name` to `read`. Settings that are not named here are ignored.
"""

from __future__ import annotations

from collections.abc import Mapping
from math import inf
from typing import NamedTuple

from orchidgap.errors import SettingError

# Names of settings. Those of a request class follow `rule-sets.N.`, those of a tenant
# `customers.N.`.
REQUEST_CLASS_COUNT = "rule-sets.count"
REQUEST_CLASS_PREFIX = "rule-sets.{}."
CLASS_NAME = "name"
CLASS_EFFECT = "effect"
CLASS_CLIENT_TIMEOUT = "client-timeout"
CLASS_LATENCY_OBJECTIVE = "response-target"
CLASS_DEDUPLICATION_SCOPE = "group"
CLASS_DEDUPLICATION_WINDOW = "repeat-window"
TENANT_COUNT = "customers.count"
TENANT_PREFIX = "customers.{}."
TENANT_NAME = "name"
TENANT_SHARE = "share"
HOST_KINDS = "kinds"
ORIGIN_KIND_INDEX = "family-info.origin-kind"
CACHE_MODE = "family-info.mode"
BALANCER_COUNT = "instances"
DISCOVERY_MODE = "registry-mode"
SUBSCRIBE_WITHIN = "guarantees.ask-within"
MAX_ATTEMPTS = "ceilings.most-dispatches"
MAY_CANCEL = "ceilings.may-cancel"
MAY_HEDGE = "ceilings.may-duplicate"
SENDS_RETRY_AFTER = "ceilings.retry-after"
MAX_RETRY_AFTER = "ceilings.max-retry-after"
SLOW_START_FRACTION = "guarantees.cold-from"
SLOW_START_DURATION = "guarantees.warm-after"
LISTED_WEIGHTS = "weights"
REPORT_MODE = "report.how"
REPORT_FIELDS = "report.fields"

# Permitted words of settings that take one of several.
IDEMPOTENT_EFFECT = "retryable"
KEYED_EFFECT = "dedup"
EFFECTS = (IDEMPOTENT_EFFECT, KEYED_EFFECT, "fragile")
DEDUPLICATION_SCOPES = ("all", "zone", "cell")
DEFAULT_DEDUPLICATION_SCOPE = "cell"
TRUE_VALUES = ("true", "1")
FALSE_VALUES = ("false", "0")
BOOLEANS = (*TRUE_VALUES, *FALSE_VALUES)
STEADY_WEIGHTS = ("nominal", "rough")  # "live" weights change too fast for the placement of keys
WEIGHT_MODES = ("off", *STEADY_WEIGHTS, "live")
INLINE_REPORTS = "inline"
REPORT_MODES = ("off", "on_probe", INLINE_REPORTS)
CACHE_ASIDE_MODE = "aside"
SUBSCRIBE_MODE = "subscribe"

# Larger numbers are rejected: logs and sums of times hold whole numbers of 64 bits. As a time it is
# 31 years.
MAX_NUMBER = 1e15

# Defaults of settings that are missing.
DEFAULT_SUBSCRIBE_WITHIN_US = 10_000_000
DEFAULT_MAX_ATTEMPTS = 3
DEFAULT_SLOW_START_FRACTION = 0.1
DEFAULT_SLOW_START_US = 30_000_000
DEFAULT_TENANT_SHARE = 1.0

# Host records depend on these settings, so a running balancer keeps the values that it started
# with.
STARTUP_SETTINGS = ("origin_kind", "subscribes")


class RequestClass(NamedTuple):
    """The properties shared by all requests of one class."""

    latency_objective_us: int
    idempotent: bool  # a second execution does no harm
    idempotency_keyed: bool  # hosts deduplicate repeats by an idempotency key
    deduplication_scope: str  # hosts that deduplicate together: all, or those of one zone or cell
    deduplication_window_us: int  # how long a host remembers an idempotency key
    client_timeout_us: int  # longest time that any of its clients waits for an answer


class Tenant(NamedTuple):
    """A customer of the service, whose requests are limited to a share under overload."""

    quota_ratio: float  # the tenant's quota, as a fraction of all requests


class ServiceSettings(NamedTuple):
    """All settings that the decisions use. Immutable: a change of settings makes a new value.

    >>> pairs = {"rule-sets.count": "1", "rule-sets.0.name": "a", "rule-sets.0.effect": "dedup",
    ...          "rule-sets.0.client-timeout": "900", "something.new": "7"}
    >>> settings = ServiceSettings.from_pairs(pairs)
    >>> request_class = settings.request_classes["a"]
    >>> request_class.idempotency_keyed, settings.latency_objective_us, settings.tenants
    (True, 900, {})
    >>> ServiceSettings.from_pairs({"rule-sets.count": "1", "rule-sets.0.name": "a"})
    Traceback (most recent call last):
        ...
    orchidgap.errors.SettingError: setting rule-sets.0.client-timeout is missing
    >>> try:
    ...     ServiceSettings.from_pairs(pairs | {"rule-sets.0.client-timeout": "-5"})
    ... except SettingError as error:
    ...     print(error)
    setting rule-sets.0.client-timeout is -5, and must be over 0
    """

    request_classes: dict[str, RequestClass]  # by name
    tenants: dict[str, Tenant]  # by name
    balancer_count: int
    origin_kind: str  # hosts of this kind are origins; empty if the caches fetch by themselves
    subscribes: bool  # discovery sends changes of the endpoint list instead of being polled
    subscribe_within_us: int  # bounds the random delays before subscriptions
    max_attempts: int  # maximum number of attempts of each request
    may_cancel: bool  # attempts in flight may be cancelled
    may_hedge: bool  # two attempts of one request may be in flight
    max_retry_after_us: int  # 0: clients are sent no Retry-After
    slow_start_fraction: float  # part of its usual load that a host gets right after its start
    slow_start_us: int  # time from a host's start until it is warm
    uses_listed_weights: bool  # the endpoint list contains the relative capacity of hosts
    reported_fields: tuple[str, ...]  # fields of the load report that hosts add to each answer

    def keeping_startup_settings(self, current: ServiceSettings) -> ServiceSettings:
        """Return these settings with the current values of those that only a restart changes."""
        return self._replace(**{name: getattr(current, name) for name in STARTUP_SETTINGS})

    @property
    def latency_objective_us(self) -> int:
        """The shortest latency objective of all request classes."""
        return min(each.latency_objective_us for each in self.request_classes.values())

    @property
    def longest_client_timeout_us(self) -> int:
        """The longest time that any client waits for an answer."""
        return max(each.client_timeout_us for each in self.request_classes.values())

    @classmethod
    def from_pairs(cls, pairs: Mapping[str, str]) -> ServiceSettings:
        """Decode settings from their paths and texts; times are given in microseconds.

        Raises:
            SettingError: The first setting that is missing or invalid.
        """
        values = _SettingValues(pairs)
        return cls(
            request_classes=_request_classes(values),
            tenants=_tenants(values),
            origin_kind=_origin_kind(values),
            balancer_count=max(1, int(values.non_negative(BALANCER_COUNT, 1))),
            subscribes=values.text(DISCOVERY_MODE) == SUBSCRIBE_MODE,
            subscribe_within_us=int(
                values.non_negative(SUBSCRIBE_WITHIN, DEFAULT_SUBSCRIBE_WITHIN_US)
            ),
            max_attempts=values.positive_integer(MAX_ATTEMPTS, DEFAULT_MAX_ATTEMPTS),
            may_cancel=values.boolean(MAY_CANCEL),
            may_hedge=values.boolean(MAY_HEDGE),
            max_retry_after_us=_max_retry_after_us(values),
            slow_start_fraction=values.non_negative(
                SLOW_START_FRACTION, DEFAULT_SLOW_START_FRACTION
            ),
            slow_start_us=int(values.non_negative(SLOW_START_DURATION, DEFAULT_SLOW_START_US)),
            uses_listed_weights=values.choice(LISTED_WEIGHTS, "off", WEIGHT_MODES)
            in STEADY_WEIGHTS,
            reported_fields=_reported_fields(values),
        )


class _SettingValues:
    """Reads single settings and checks each by its type of value."""

    def __init__(self, pairs: Mapping[str, str]) -> None:
        self.pairs = pairs

    def text(self, path: str) -> str:
        return self.pairs.get(path, "")

    def required_text(self, path: str) -> str:
        if path not in self.pairs:
            raise SettingError.missing(path)
        return self.pairs[path]

    def choice(self, path: str, default: str, allowed: tuple[str, ...]) -> str:
        value = self.pairs.get(path, default)
        if value not in allowed:
            expected = f"must be one of {', '.join(allowed)}"
            raise SettingError.unusable(path, repr(value), expected)
        return value

    def boolean(self, path: str) -> bool:
        return self.choice(path, "false", BOOLEANS) in TRUE_VALUES

    def non_negative(self, path: str, default: float) -> float:
        value = self._number(path, default)
        if not 0 <= value < inf:  # also rejects NaN
            raise SettingError.unusable(path, f"{value:g}", "must not be under 0")
        return value

    def positive(self, path: str, default: float) -> float:
        value = self._number(path, default)
        if not 0 < value < inf:
            raise SettingError.unusable(path, f"{value:g}", "must be over 0")
        return value

    def positive_integer(self, path: str, default: int) -> int:
        value = int(self.positive(path, default))
        if value == 0:  # the text was a fraction below 1
            raise SettingError.unusable(path, self.pairs[path], "must be 1 or more")
        return value

    def required_positive_integer(self, path: str) -> int:
        self.required_text(path)
        return self.positive_integer(path, 0)

    def _number(self, path: str, default: float) -> float:
        text = self.pairs.get(path)
        if text is None:
            return float(default)
        try:
            value = float(text)
        except ValueError:
            raise SettingError.unusable(path, repr(text), "must be a number") from None
        if MAX_NUMBER < abs(value) < inf:
            raise SettingError.unusable(path, f"{value:g}", f"must be at most {MAX_NUMBER:g}")
        return value


def positive_integer_setting(pairs: Mapping[str, str], path: str, default: int) -> int:
    """Return one setting that must be 1 or more. Raises SettingError.

    >>> positive_integer_setting({"a": "7"}, "a", 1), positive_integer_setting({}, "a", 1)
    (7, 1)
    """
    return _SettingValues(pairs).positive_integer(path, default)


def _request_classes(values: _SettingValues) -> dict[str, RequestClass]:
    classes: dict[str, RequestClass] = {}
    for index in range(values.required_positive_integer(REQUEST_CLASS_COUNT)):
        prefix = REQUEST_CLASS_PREFIX.format(index)
        client_timeout_us = values.required_positive_integer(prefix + CLASS_CLIENT_TIMEOUT)
        values.required_text(prefix + CLASS_EFFECT)
        effect = values.choice(prefix + CLASS_EFFECT, "", EFFECTS)
        name = values.required_text(prefix + CLASS_NAME)
        if not name or name in classes:
            expected = "must be a name of its own"
            raise SettingError.unusable(prefix + CLASS_NAME, repr(name), expected)
        classes[name] = RequestClass(
            latency_objective_us=values.positive_integer(
                prefix + CLASS_LATENCY_OBJECTIVE, client_timeout_us
            ),
            idempotent=effect == IDEMPOTENT_EFFECT,
            idempotency_keyed=effect == KEYED_EFFECT,
            deduplication_scope=values.choice(
                prefix + CLASS_DEDUPLICATION_SCOPE,
                DEFAULT_DEDUPLICATION_SCOPE,
                DEDUPLICATION_SCOPES,
            ),
            deduplication_window_us=int(
                values.non_negative(prefix + CLASS_DEDUPLICATION_WINDOW, 0)
            ),
            client_timeout_us=client_timeout_us,
        )
    return classes


def _tenants(values: _SettingValues) -> dict[str, Tenant]:
    tenants: dict[str, Tenant] = {}
    for index in range(int(values.non_negative(TENANT_COUNT, 0))):
        prefix = TENANT_PREFIX.format(index)
        name = values.required_text(prefix + TENANT_NAME)
        share = values.positive(prefix + TENANT_SHARE, DEFAULT_TENANT_SHARE)
        tenants[name] = Tenant(share)
    return tenants


def _origin_kind(values: _SettingValues) -> str:
    kinds = values.text(HOST_KINDS).split(",")
    index = int(values.non_negative(ORIGIN_KIND_INDEX, len(kinds)))
    is_cache_aside = values.text(CACHE_MODE) == CACHE_ASIDE_MODE
    return kinds[index] if is_cache_aside and index < len(kinds) else ""


def _max_retry_after_us(values: _SettingValues) -> int:
    if not values.boolean(SENDS_RETRY_AFTER):
        return 0
    return int(values.non_negative(MAX_RETRY_AFTER, 0))


def _reported_fields(values: _SettingValues) -> tuple[str, ...]:
    if values.choice(REPORT_MODE, "off", REPORT_MODES) != INLINE_REPORTS:
        return ()
    return tuple(field for field in values.text(REPORT_FIELDS).split(",") if field)
