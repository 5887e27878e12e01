"""Which configuration may follow which: one that is short of a key, or holds another kind of value, may not.

Nothing here does I/O.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import Any

ALONE = frozenset(
    ("known", "seed", "watch")
)  # they say how things stand for a time, and may be left out


def kind_of(value: Any) -> str:
    """
    >>> [kind_of(value) for value in (True, 1, 1.5, "x", None, [], {})]
    ['a yes or no', 'a number', 'a number', 'a text', 'nothing', 'a list', 'an object']
    """
    if isinstance(value, bool):
        return "a yes or no"
    if isinstance(value, int | float):
        return "a number"
    return {str: "a text", type(None): "nothing", list: "a list"}.get(type(value), "an object")


def shape(tree: Mapping[str, Any], path: str = "") -> dict[str, str]:
    """Every key with the kind of its value; of a list of objects, the keys that all of them have.

    >>> shape({"a": {"b": 1}, "c": [{"d": "x", "e": 2}, {"d": "y"}], "known": {"seq": 1}})
    {'a': 'an object', 'a.b': 'a number', 'c': 'a list', 'c.*.d': 'a text'}
    """
    keys: dict[str, str] = {}
    for name, value in tree.items():
        if not path and name in ALONE:
            continue
        at = f"{path}{name}"
        keys[at] = kind_of(value)
        if isinstance(value, Mapping):
            keys |= shape(value, at + ".")
        elif isinstance(value, list) and value and all(isinstance(one, Mapping) for one in value):
            first, *others = (shape(one, at + ".*.") for one in value)
            keys |= {
                key: kind for key, kind in first.items() if all(key in other for other in others)
            }
    return keys


def lacks(old: Mapping[str, str], new: Mapping[str, str], emptied: Iterable[str] = ()) -> str:
    """What the new shape lacks of the old one, in plain words; empty where it may follow.

    `emptied` are lists that hold nothing any more, which is no lack of keys.

    >>> old = shape({"a": {"b": 1}, "c": [{"d": "x"}]})
    >>> lacks(old, shape({"a": {"b": 2}, "c": [{"d": "z", "more": 1}], "f": 1}))
    ''
    >>> lacks(old, shape({"a": {}, "c": []})), lacks(old, shape({"a": {"b": "1"}, "c": [{"d": "x"}]}))
    ('a.b is missing', 'a.b is a text, where a number was')
    >>> lacks(old, shape({"a": {"b": 1}, "c": []})), lacks(old, shape({"a": {"b": 1}, "c": []}), ["c"])
    ('c.*.d is missing', '')
    """
    for path, kind in old.items():
        if any(path.startswith(f"{name}.*.") for name in emptied):
            continue
        if path not in new:
            return f"{path} is missing"
        if new[path] != kind:
            return f"{path} is {new[path]}, where {kind} was"
    return ""


def empty_lists(tree: Mapping[str, Any], path: str = "") -> list[str]:
    """
    >>> empty_lists({"a": {"b": []}, "c": [1], "d": []})
    ['a.b', 'd']
    """
    found = []
    for name, value in tree.items():
        if isinstance(value, Mapping):
            found += empty_lists(value, f"{path}{name}.")
        elif value == []:
            found.append(f"{path}{name}")
    return found
