"""Redirections (MOVED and ASK) from slot servers, by the public specification."""

from __future__ import annotations

from typing import NamedTuple

from orchidgap.decisions.hash_ranges import SLOT_COUNT
from orchidgap.net.addresses import Address, parse_address
from orchidgap.resp.framing import parse_integer

MOVED = b"MOVED"
ASK = b"ASK"


class Redirect(NamedTuple):
    """A redirection of a command to another server.

    Attributes:
        slot: the slot of the command's key.
        address: the address of the other server.
        once: applies to this command only (ASK) instead of all later ones too (MOVED).
    """

    slot: int
    address: Address
    once: bool


def parse_redirect(text: bytes) -> Redirect | None:
    r"""Returns the redirection in an answer, or None for any other answer.

    >>> parse_redirect(b"-MOVED 3999 127.0.0.1:6381\r\n")
    Redirect(slot=3999, address=('127.0.0.1', 6381), once=False)
    >>> parse_redirect(b"-ASK 7 127.0.0.1:80\r\n").once
    True
    >>> [parse_redirect(text) for text in (b"-ERR\r\n", b"-MOVED x y\r\n")]
    [None, None]
    >>> parse_redirect(b"-MOVED 99999 127.0.0.1:1\r\n")
    """
    if not text.startswith((b"-MOVED ", b"-ASK ")):
        return None
    words = text[1:-2].split()
    slot = parse_integer(words[1]) if len(words) == 3 else None
    if slot is None or not 0 <= slot < SLOT_COUNT:
        return None
    try:
        return Redirect(slot, parse_address(words[2].decode()), words[0] == ASK)
    except (ValueError, UnicodeDecodeError):
        return None
