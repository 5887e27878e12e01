"""Objects of finished requests that stay in memory until the cycle collector runs."""

import contextlib
import gc
from collections import Counter

REQUEST_TYPES = frozenset(
    ("Exchange", "UpstreamAttempt", "Reply", "JoinedReply", "Upload", "BodyArrival")
)


def request_objects():
    return [item for item in gc.get_objects() if type(item).__name__ in REQUEST_TYPES]


@contextlib.contextmanager
def without_collector():
    """Have only reference counts free objects inside the `with` block.

    Yields a function that counts the objects of requests made since then, by type, whether they are
    still used or not.
    """
    gc.collect()
    known = request_objects()  # kept, so that none of them has the address of a later object
    known_ids = set(map(id, known))
    gc.disable()
    try:
        yield lambda: Counter(
            type(item).__name__ for item in request_objects() if id(item) not in known_ids
        )
    finally:
        gc.enable()
