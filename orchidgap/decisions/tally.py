"""What is counted to be told to other balancers, and its short form in messages. Nothing is decided here."""

from __future__ import annotations

from binascii import crc_hqx
from collections.abc import Iterator
from struct import Struct

ROW = Struct("<HBB")  # a code, how often asked, how slow in units (0 where nothing was heard)
ALL = 0               # the code of all caches together
SLOTS = 1 << 16       # codes of hash slots start here, below are those of hosts and tenants
FULL = 63             # rows in one message
MINE, SUMS = 0, 1     # what a message holds: one balancer's counts, or the sums of many


def code_of(name: str) -> int:
    return crc_hqx(name.encode(), 1)


class Tally:
    """Counts by code: times asked, answers, the sum of their times."""

    def __init__(self) -> None:
        self.rows: dict[int, list[int]] = {}

    def add(self, code: int, asked: int, answers: int, took: int) -> None:
        row = self.rows.setdefault(code, [0, 0, 0])
        row[0] += asked
        row[1] += answers
        row[2] += took

    def asked(self, code: int) -> int:
        return self.rows.get(code, (0,))[0]


def texts(rows: list[tuple[int, list[int]]], what: int, unit: int) -> Iterator[bytes]:
    """
    >>> [rows(text, 10) for text in texts([(7, [300, 2, 80]), (SLOTS + 9, [1, 0, 0])], SUMS, 10)]
    [(1, [(7, 255, 40), (7, 45, 40)]), (1, [(65545, 1, 0)])]
    >>> rows(b"xx", 10), rows(b"", 10), rows(bytes([9, 1, 2, 3, 4]), 10)
    ((0, []), (0, []), (0, []))
    """
    for kind in (0, 1):
        packed = [ROW.pack(code % SLOTS, min(255, part), took and max(1, min(255, took // answers // unit)))
                  for code, (asked, answers, took) in rows if code // SLOTS == kind
                  for part in range(asked, -(not asked), -255)]
        for i in range(0, len(packed), FULL):
            yield bytes([kind * 2 + what]) + b"".join(packed[i:i + FULL])


def rows(text: bytes, unit: int) -> tuple[int, list[tuple[int, int, int]]]:
    """What the message holds, then (code, asked, time) for each row; none where it is not of this form."""
    if len(text) % ROW.size != 1 or text[0] > 3:
        return MINE, []
    return text[0] % 2, [(code + text[0] // 2 * SLOTS, asked, slow * unit)
                         for code, asked, slow in ROW.iter_unpack(text[1:])]
