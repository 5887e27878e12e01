"""Checks of a proposed policy: what can be seen without a balancer, and what a balancer looks at.

A proposed policy is a JSON object `{"settings": {...}}`, whole, with `"needs"` where it requires a
certain format.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from orchidgap.decisions.policy_rollout import Document
from orchidgap.decisions.settings import ServiceSettings
from orchidgap.errors import OrchidgapError, SettingError
from orchidgap.net.config import BalancerConfig, ConfigError, flatten, read

SETTINGS_KEY = "settings"
FORMAT_KEY = "needs"
SUPPORTED_FORMAT = 1  # the newest format of a policy that this program knows


class InvalidPolicyError(OrchidgapError):
    """A policy cannot be put into force; the message tells operators why."""


def validate(document: Document) -> None:
    """Check all of a proposed policy that does not depend on the balancer.

    Raises:
        InvalidPolicyError: No balancer could run it.

    >>> rule_set = {"name": "a", "effect": "retryable", "client-timeout": 9}
    >>> validate({"settings": {"rule-sets": [rule_set]}})
    >>> validate({"settings": {}, "needs": 7})
    Traceback (most recent call last):
    orchidgap.control.validation.InvalidPolicyError: it needs form 7, and this program knows 1
    """
    if not isinstance(document, Mapping) or not isinstance(document.get(SETTINGS_KEY), Mapping):
        raise InvalidPolicyError("settings must be an object")
    if unknown := sorted(set(document) - {SETTINGS_KEY, FORMAT_KEY}):
        raise InvalidPolicyError(f"{unknown[0]} is no part of a version")
    needed_format = document.get(FORMAT_KEY, SUPPORTED_FORMAT)
    if needed_format != SUPPORTED_FORMAT:
        raise InvalidPolicyError(
            f"it needs form {needed_format}, and this program knows {SUPPORTED_FORMAT}"
        )
    try:
        ServiceSettings.from_pairs(dict(flatten(document[SETTINGS_KEY])))
    except SettingError as error:
        raise InvalidPolicyError(str(error)) from None
    except (ValueError, TypeError, AttributeError) as error:
        raise InvalidPolicyError(f"settings: {error}") from None


def settings_of(document: Document) -> Mapping[str, Any]:
    """Return the settings of a valid policy."""
    settings: Mapping[str, Any] = document[SETTINGS_KEY]
    return settings


def config_under(
    document: Document, config_path: str | None, before: BalancerConfig | None
) -> BalancerConfig:
    """Return the balancer's configuration with the settings of a policy in place of its own.

    Args:
        document: The policy.
        config_path: The balancer's own file.
        before: The configuration that it has to be able to follow, if any.

    Raises:
        InvalidPolicyError: The policy is not valid, or the file does not go with it.
    """
    validate(document)
    try:
        return read(config_path, before, settings_of(document))
    except ConfigError as error:
        raise InvalidPolicyError(str(error)) from None


def check_startup_settings(current: ServiceSettings, new: ServiceSettings) -> None:
    """Check that no setting differs that takes effect at a restart only.

    Such a policy could not be in force everywhere at once.

    Raises:
        InvalidPolicyError: One differs.
    """
    kept = new.keeping_startup_settings(current)
    for name in kept._fields:
        if getattr(kept, name) != getattr(new, name):
            raise InvalidPolicyError(f"{name} cannot change while a balancer runs")
