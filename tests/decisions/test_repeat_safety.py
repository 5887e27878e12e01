"""Whether a request may be executed twice, by its class and by what it carries."""

import pytest
from balancer_harness import SETTINGS

from orchidgap.decisions.repeat_safety import Idempotency, RepeatSafety, repeat_safety
from orchidgap.decisions.settings import ServiceSettings

TABLE = {
    ("read", Idempotency.UNKEYED): RepeatSafety.IDEMPOTENT,
    ("read", Idempotency.KEYED): RepeatSafety.IDEMPOTENT,
    ("read", Idempotency.NEVER): RepeatSafety.NON_IDEMPOTENT,
    ("mark", Idempotency.UNKEYED): RepeatSafety.NON_IDEMPOTENT,
    ("mark", Idempotency.KEYED): RepeatSafety.DEDUPLICATED,
    ("mark", Idempotency.NEVER): RepeatSafety.NON_IDEMPOTENT,
    ("once", Idempotency.UNKEYED): RepeatSafety.NON_IDEMPOTENT,
    ("once", Idempotency.KEYED): RepeatSafety.NON_IDEMPOTENT,
    ("once", Idempotency.NEVER): RepeatSafety.NON_IDEMPOTENT,
}


@pytest.mark.parametrize(("name", "idempotency"), TABLE)
def test_a_request_is_as_safe_to_repeat_as_its_class_and_its_key_make_it(name, idempotency):
    request_class = ServiceSettings.from_pairs(SETTINGS).request_classes[name]
    assert repeat_safety(request_class, idempotency) is TABLE[name, idempotency]
