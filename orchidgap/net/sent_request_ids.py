"""Ids of requests that may have been executed and must not be executed again.

A client that left before its answer may send its request once more, with the same id. While the
first one is open it is rejected as a duplicate; this module remembers the id for some time after
that, however the first one has ended.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from hashlib import blake2b

REMEMBERED_US = 30_000_000  # longer than a client that has left tries again
MAX_REMEMBERED = 4_096
MAX_ID_BYTES = 128  # longer ids are named by their first bytes and a digest
DIGEST_BYTES = 16


class SentRequestIds:
    """The ids, the one that was sent longest ago first.

    >>> ids = SentRequestIds()
    >>> ids.add(b"r1", 0); ids.add(b"r2", 5); ids.discard(b"r2")
    >>> ids.contains(b"r1", 9), ids.contains(b"r2", 9), ids.contains(b"r1", REMEMBERED_US)
    (True, False, False)
    """

    def __init__(self) -> None:
        """Start without ids."""
        self._sent_at_us: dict[str, int] = {}

    def add(self, request_id: bytes, now_us: int) -> None:
        """Remember an id from now on."""
        self._add(id_text(request_id), now_us)

    def add_texts(self, texts: Iterable[str], now_us: int) -> None:
        """Remember ids that another process has reported."""
        for text in texts:
            self._add(text, now_us)

    def _add(self, text: str, now_us: int) -> None:
        self._sent_at_us.pop(text, None)  # reinserted, as the order is that of the times
        self._sent_at_us[text] = now_us
        if len(self._sent_at_us) > MAX_REMEMBERED:
            del self._sent_at_us[next(iter(self._sent_at_us))]

    def discard(self, request_id: bytes) -> None:
        """Forget an id, as its request was never executed."""
        self._sent_at_us.pop(id_text(request_id), None)

    def contains(self, request_id: bytes, now_us: int) -> bool:
        """Whether a request with this id may have been executed."""
        if not self._sent_at_us:
            return False
        self._forget_old(now_us)
        return id_text(request_id) in self._sent_at_us

    def texts(self, now_us: int) -> Collection[str]:
        """Return all ids that are remembered."""
        self._forget_old(now_us)
        return self._sent_at_us.keys()

    def _forget_old(self, now_us: int) -> None:
        while self._sent_at_us:
            oldest = next(iter(self._sent_at_us))
            if now_us - self._sent_at_us[oldest] < REMEMBERED_US:
                return
            del self._sent_at_us[oldest]


def id_text(request_id: bytes) -> str:
    """Return the text by which processes of one balancer name a request.

    >>> id_text(b"r1"), len(id_text(b"r" * 9_000)), id_text(b"r" * 200) == id_text(b"r" * 201)
    ('r1', 160, False)
    """
    if len(request_id) <= MAX_ID_BYTES:
        return request_id.decode("latin-1")
    digest = blake2b(request_id, digest_size=DIGEST_BYTES).hexdigest()
    return request_id[:MAX_ID_BYTES].decode("latin-1") + digest
