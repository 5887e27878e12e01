"""Malformed answers of hosts: other bytes than the requested answer, or additional ones."""

from __future__ import annotations

from random import Random

KINDS = ("noise", "endless", "short", "long", "behind", "ahead", "garbled")
WHOLE_KINDS = ("behind", "ahead")  # these contain the complete answer
NOISE_BYTES = 300
ENDLESS_HEAD_BYTES = 20_000
SHORT_BODY_BYTES = 30_000
ANNOUNCED_BYTES = 3_000_000_000


def malformed_answer(kind: str, body: bytes, rng: Random) -> tuple[bytes, ...]:
    """Return the bytes that are written in place of an answer with this body.

    Args:
        kind: One of `KINDS`.
        body: The requested body.
        rng: Draws the noise for every kind, as a trace depends on the number of draws.
    """
    noise = bytes(rng.randrange(256) for _ in range(NOISE_BYTES))
    ok = b"HTTP/1.1 200 OK\r\n"
    head = ok + b"Content-Length: %d\r\n\r\n" % len(body)
    early_hints = b"HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"
    texts: dict[str, tuple[bytes, ...]] = {
        "noise": (noise,),
        "endless": (ok + b"X: " + b"x" * ENDLESS_HEAD_BYTES,),
        "short": (ok + b"Content-Length: %d\r\n\r\n" % ANNOUNCED_BYTES + b"x" * SHORT_BODY_BYTES,),
        "long": (ok + b"Content-Length: -7\r\n\r\n", body),
        "behind": (head, body, head, body),
        "ahead": (early_hints, head, body),
        "garbled": (b"HTTP/1.1 2\x000 \xff\r\nContent-Length: 3\r\n\r\nabc",),
    }
    return texts[kind]
