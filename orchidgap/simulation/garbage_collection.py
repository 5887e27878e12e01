"""Reduces the frequency of garbage collection while a simulation runs."""

from __future__ import annotations

import gc
from collections.abc import Iterator
from contextlib import contextmanager

YOUNG_GENERATION_THRESHOLD = 100_000


@contextmanager
def rare_collections() -> Iterator[None]:
    """Collect garbage less often: each collection traverses all records of a simulation."""
    thresholds = gc.get_threshold()
    gc.set_threshold(YOUNG_GENERATION_THRESHOLD, *thresholds[1:])
    try:
        yield
    finally:
        gc.set_threshold(*thresholds)
