"""What can be a version, as far as that shows without a balancer."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from orchidgap.decisions.settings import ServiceSettings, SettingError
from orchidgap.net.config import flatten

NEEDS = 1  # the newest form of a version that this program knows


def fit(doc: Any) -> str:
    """Why this can be no version, in plain words; empty where it can. A balancer looks closer.

    >>> fit({"settings": {"rule-sets": [{"name": "a", "effect": "retryable", "client-timeout": 9}]}}), fit({})
    ('', 'settings must be an object')
    >>> fit({"settings": {}, "needs": 7}), fit({"settings": {}})
    ('it needs form 7, and this program knows 1', 'setting rule-sets.count is missing')
    """
    if not isinstance(doc, Mapping) or not isinstance(doc.get("settings"), Mapping):
        return "settings must be an object"
    if unknown := sorted(set(doc) - {"settings", "needs"}):
        return f"{unknown[0]} is no part of a version"
    if doc.get("needs", NEEDS) != NEEDS:
        return f"it needs form {doc['needs']}, and this program knows {NEEDS}"
    try:
        ServiceSettings.from_pairs(dict(flatten(doc["settings"])))
    except SettingError as trouble:
        return str(trouble)
    except (ValueError, TypeError, AttributeError) as trouble:
        return f"settings: {trouble}"
    return ""
