"""The number that represents a request's key in the decisions."""

from __future__ import annotations

from hashlib import blake2b

# longer keys are hashed: the decisions format the number, and Python limits its digits
MAX_KEY_BYTES = 32
DIGEST_BYTES = 16


def key_number(key: bytes) -> int | None:
    """Return the number of a key, or None for an empty key.

    >>> key_number(b""), key_number(b"a1"), key_number(b"x" * 33) < 1 << 128
    (None, 24881, True)
    """
    if len(key) > MAX_KEY_BYTES:
        key = blake2b(key, digest_size=DIGEST_BYTES).digest()
    return int.from_bytes(key) if key else None
