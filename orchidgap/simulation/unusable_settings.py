"""Derives configuration files that a balancer must reject from a valid one."""

from __future__ import annotations

import copy
import json
from collections.abc import Callable
from typing import Any

OTHER_DISCOVERY = "127.9.9.9:9"
OTHER_CLASS_SUFFIX = "-x"

Document = dict[str, Any]


def unusable_files(document: Document) -> list[bytes]:
    """Return variants of a configuration that must be rejected.

    Each would change the discovery address and rename all request classes, so that a variant that
    is applied shows.
    """
    whole = _changed(document, lambda other: None)
    return [
        b"",
        b"[]",
        whole[: len(whole) // 2],
        _with_last_class(document, "client-timeout", 0),
        _with_last_class(document, "client-timeout", -5),
        _with_last_class(document, "client-timeout", "soon"),
        _with_last_class(document, "effect", "unknown"),
        _changed(document, lambda other: _ceilings(other).update({"most-dispatches": 0})),
        _changed(document, lambda other: _ceilings(other).pop("may-cancel")),
        _changed(document, lambda other: _classes(other)[0].pop("effect")),
        _changed(document, lambda other: other["settings"].pop("rule-sets")),
        _changed(document, lambda other: other.pop("settings")),
    ]


def _changed(document: Document, change: Callable[[Document], object]) -> bytes:
    """Return the file of a changed document with other discovery and class names."""
    other = copy.deepcopy(document)
    other["discovery"] = OTHER_DISCOVERY
    for request_class in _classes(other):
        request_class["name"] += OTHER_CLASS_SUFFIX
    change(other)
    return json.dumps(other).encode()


def _with_last_class(document: Document, key: str, value: object) -> bytes:
    """Return the file of a document with another value in its last request class."""
    return _changed(document, lambda other: _classes(other)[-1].update({key: value}))


def _classes(document: Document) -> list[Document]:
    classes: list[Document] = document["settings"]["rule-sets"]
    return classes


def _ceilings(document: Document) -> Document:
    ceilings: Document = document["settings"]["ceilings"]
    return ceilings
