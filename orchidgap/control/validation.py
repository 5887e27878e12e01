"""Validates a proposed policy, independently of a balancer and against a balancer's configuration.

A proposed policy is a JSON object `{"settings": {...}}` with all settings. It has the key `"needs"`
if it requires a certain format.
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
SUPPORTED_FORMAT = 1  # the newest policy format that this program supports


class InvalidPolicyError(OrchidgapError):
    """A policy cannot be put into force; the message explains the reason to operators."""


def validate(document: Document) -> None:
    """Check everything in a proposed policy that does not depend on the balancer.

    Raises:
        InvalidPolicyError: No balancer could apply the policy.

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


def config_with_policy(
    document: Document, config_path: str | None, before: BalancerConfig | None
) -> BalancerConfig:
    """Return a balancer's configuration with its settings replaced by those of a policy.

    Args:
        document: The policy.
        config_path: The balancer's own configuration file.
        before: The configuration that the new one must be able to replace in a running balancer, if
            any.

    Raises:
        InvalidPolicyError: The policy is invalid, or incompatible with the configuration file.
    """
    validate(document)
    try:
        return read(config_path, before, settings_of(document))
    except ConfigError as error:
        raise InvalidPolicyError(str(error)) from None


def check_startup_settings(current: ServiceSettings, new: ServiceSettings) -> None:
    """Check that no setting changes that takes effect only at a restart.

    A policy with such a change could not be in force on all balancers at the same time.

    Raises:
        InvalidPolicyError: A setting of this kind has changed.
    """
    kept = new.keeping_startup_settings(current)
    for name in kept._fields:
        if getattr(kept, name) != getattr(new, name):
            raise InvalidPolicyError(f"{name} cannot change while a balancer runs")
