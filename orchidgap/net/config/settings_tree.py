"""Settings as a flat table of texts, the form in which the decisions read them."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any


def flatten(tree: Any, path: str = "") -> Iterator[tuple[str, str]]:
    """Yield the leaves of a JSON tree as pairs of a dotted path and a text.

    >>> tree = {"a": {"b": 1, "c": True}, "d": [{"e": "x y"}], "f": ["u", "v,w"], "g": None}
    >>> dict(flatten({**tree, "h": []}))
    {'a.b': '1', 'a.c': 'true', 'd.count': '1', 'd.0.e': 'x y', 'f': 'u,v_w', 'h': ''}
    """
    if isinstance(tree, Mapping):
        for name, branch in tree.items():
            yield from flatten(branch, f"{path}.{name}" if path else name)
    elif isinstance(tree, list):
        yield from flatten_list(tree, path)
    elif tree is not None:
        yield path, str(tree).lower() if isinstance(tree, bool) else str(tree)


def flatten_list(branches: list[Any], path: str) -> Iterator[tuple[str, str]]:
    """Yield the leaves of a list: a list with objects is numbered, others are joined by commas."""
    if any(isinstance(branch, Mapping) for branch in branches):
        yield f"{path}.count", str(len(branches))
        for i, branch in enumerate(branches):
            yield from flatten(branch, f"{path}.{i}")
    else:
        yield path, ",".join(str(leaf).replace(",", "_") for leaf in branches)
