"""Assigns one number to equal values, so that states are small and fast to compare."""

from __future__ import annotations

from collections.abc import Hashable
from typing import Generic, TypeVar

import orjson

ValueT = TypeVar("ValueT")
PartT = TypeVar("PartT", bound=Hashable)


class ValueTable(Generic[ValueT]):
    """Numbers values that orjson can serialize; values with equal JSON have the same number."""

    def __init__(self) -> None:
        """Begin without values."""
        self.numbers: dict[bytes, int] = {}
        self.values: list[ValueT] = []

    def number(self, value: ValueT) -> int:
        """Return the number of this value."""
        key = orjson.dumps(value, option=orjson.OPT_SORT_KEYS)
        if key not in self.numbers:
            self.numbers[key] = len(self.values)
            self.values.append(value)
        return self.numbers[key]

    def __getitem__(self, number: int) -> ValueT:
        """Return the value of this number."""
        return self.values[number]


class PartTable(Generic[PartT]):
    """Numbers hashable parts of states."""

    def __init__(self) -> None:
        """Begin without parts."""
        self.numbers: dict[PartT, int] = {}
        self.parts: list[PartT] = []

    def number(self, part: PartT) -> int:
        """Return the number of this part."""
        number = self.numbers.get(part)
        if number is None:
            number = len(self.parts)
            self.numbers[part] = number
            self.parts.append(part)
        return number

    def __getitem__(self, number: int) -> PartT:
        """Return the part of this number."""
        return self.parts[number]


ItemT = TypeVar("ItemT")


def with_item(row: tuple[ItemT, ...], index: int, item: ItemT) -> tuple[ItemT, ...]:
    """Return the row with the item at `index` replaced.

    >>> with_item(("a", "b", "c"), 1, "x")
    ('a', 'x', 'c')
    """
    return (*row[:index], item, *row[index + 1 :])
