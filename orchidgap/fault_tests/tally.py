"""Counts that can be added up."""

from __future__ import annotations

from dataclasses import dataclass, fields
from typing import TypeVar

TallyT = TypeVar("TallyT", bound="Tally")


@dataclass
class Tally:
    """Counts by name: each field of a subclass is one.

    >>> @dataclass
    ... class Apples(Tally):
    ...     red: int = 0
    >>> apples = Apples(2)
    >>> apples.add(Apples(3))
    >>> apples.red
    5
    """

    def add(self: TallyT, other: TallyT) -> None:
        """Add the counts of another one of the same kind."""
        for field in fields(self):
            total = getattr(self, field.name) + getattr(other, field.name)
            setattr(self, field.name, total)
