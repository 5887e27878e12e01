"""Checks whether a running process may replace its configuration by another one.

A new configuration is compatible if it has every key of the old one, with the same kind of value.
A key that is missing, or has a value of another kind, is more often a mistake than intended:

    | key in the old one | key in the new one      | compatible                              |
    | ------------------ | ----------------------- | --------------------------------------- |
    | present            | present, the same kind  | yes                                     |
    | present            | present, another kind   | no                                      |
    | present            | missing                 | only below a list that has become empty |
    | missing            | present or missing      | yes                                     |

`find_incompatibility` compares the shapes of the two configurations. No I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

Shape = Mapping[str, str]
"""Maps the path of every key, such as `a.b` or `list.*.name`, to the kind of its value."""

OPTIONAL_KEYS = frozenset(("known", "seed", "watch"))
"""Top-level keys that may be left out, because their values are specific to one point in time."""

KINDS = {str: "a string", type(None): "null", list: "a list"}
NUMBER_KIND = "a number"
BOOLEAN_KIND = "a boolean"
OBJECT_KIND = "an object"


def kind_of(value: Any) -> str:
    """Return the kind of a JSON value, as named in messages to operators.

    >>> [kind_of(value) for value in (True, 1, 1.5, "x", None, [], {})]
    ['a boolean', 'a number', 'a number', 'a string', 'null', 'a list', 'an object']
    """
    if isinstance(value, bool):
        return BOOLEAN_KIND
    if isinstance(value, int | float):
        return NUMBER_KIND
    return KINDS.get(type(value), OBJECT_KIND)


def shape_of(tree: Mapping[str, Any], path: str = "") -> dict[str, str]:
    """Return the path of every key with the kind of its value.

    For a list of objects, only the keys that all of its items have are included.

    Args:
        tree: A configuration, or a part of one.
        path: The path of the part, with a dot at its end; empty for a whole configuration.

    >>> shape_of({"a": {"b": 1}, "c": [{"d": "x", "e": 2}, {"d": "y"}], "known": {"seq": 1}})
    {'a': 'an object', 'a.b': 'a number', 'c': 'a list', 'c.*.d': 'a string'}
    """
    shape: dict[str, str] = {}
    for name, value in tree.items():
        if not path and name in OPTIONAL_KEYS:
            continue
        key = f"{path}{name}"
        shape[key] = kind_of(value)
        if isinstance(value, Mapping):
            shape |= shape_of(value, f"{key}.")
        elif _is_list_of_objects(value):
            shape |= _common_shape(value, f"{key}.*.")
    return shape


def _is_list_of_objects(value: Any) -> bool:
    if not isinstance(value, list) or not value:
        return False
    return all(isinstance(item, Mapping) for item in value)


def _common_shape(items: Iterable[Mapping[str, Any]], path: str) -> dict[str, str]:
    """Return the keys that all items have, with the kinds of the first item's values."""
    first, *others = (shape_of(item, path) for item in items)
    return {key: kind for key, kind in first.items() if all(key in other for other in others)}


def find_incompatibility(old: Shape, new: Shape, emptied_lists: Iterable[str] = ()) -> str:
    """Return why the new configuration is not compatible, for operators; empty if it is.

    Args:
        old: The shape of the old configuration.
        new: The shape of the new configuration.
        emptied_lists: Paths of lists that are empty in the new configuration. The keys of their
            items may be missing.

    >>> old = shape_of({"a": {"b": 1}, "c": [{"d": "x"}]})
    >>> find_incompatibility(old, shape_of({"a": {"b": 2}, "c": [{"d": "z", "more": 1}], "f": 1}))
    ''
    >>> find_incompatibility(old, shape_of({"a": {}, "c": []}))
    'a.b is missing'
    >>> find_incompatibility(old, shape_of({"a": {"b": "1"}, "c": [{"d": "x"}]}))
    'a.b is a string, but was a number'
    >>> find_incompatibility(old, shape_of({"a": {"b": 1}, "c": []}))
    'c.*.d is missing'
    >>> find_incompatibility(old, shape_of({"a": {"b": 1}, "c": []}), ["c"])
    ''
    """
    exempt = tuple(f"{name}.*." for name in emptied_lists)
    for path, kind in old.items():
        if path.startswith(exempt):
            continue
        if path not in new:
            return f"{path} is missing"
        if new[path] != kind:
            return f"{path} is {new[path]}, but was {kind}"
    return ""


def empty_lists(tree: Mapping[str, Any], path: str = "") -> list[str]:
    """Return the paths of all empty lists.

    >>> empty_lists({"a": {"b": []}, "c": [1], "d": []})
    ['a.b', 'd']
    """
    found = []
    for name, value in tree.items():
        key = f"{path}{name}"
        if isinstance(value, Mapping):
            found += empty_lists(value, f"{key}.")
        elif value == []:
            found.append(key)
    return found
