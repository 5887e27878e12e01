"""Whether a request may be executed twice, by its class and by what the request itself carries.

The class alone does not decide: hosts recognize a repeat by the idempotency key that a request
carries, so one without a key is executed once more however its class is declared.

| class             | `UNKEYED`       | `KEYED`         | `NEVER`         |
| ----------------- | --------------- | --------------- | --------------- |
| idempotent        | IDEMPOTENT      | IDEMPOTENT      | NON_IDEMPOTENT  |
| idempotency_keyed | NON_IDEMPOTENT  | DEDUPLICATED    | NON_IDEMPOTENT  |
| neither           | NON_IDEMPOTENT  | NON_IDEMPOTENT  | NON_IDEMPOTENT  |
"""

from __future__ import annotations

from enum import Enum

from orchidgap.decisions.settings import RequestClass


class Idempotency(Enum):
    """What a request itself tells of repeats; its protocol determines this."""

    UNKEYED = "unkeyed"  # it carries no idempotency key
    KEYED = "keyed"  # it carries an idempotency key, which each attempt passes to its host
    NEVER = "never"  # by its protocol each execution has an effect, and no repeat is recognized


class RepeatSafety(Enum):
    """The consequence of a second execution of a request."""

    IDEMPOTENT = "idempotent"  # it does no harm
    DEDUPLICATED = "deduplicated"  # hosts that remember the request's idempotency key prevent it
    NON_IDEMPOTENT = "non-idempotent"  # it does harm


def repeat_safety(request_class: RequestClass, idempotency: Idempotency) -> RepeatSafety:
    """Return the consequence of a second execution; see the module's table."""
    if idempotency is Idempotency.NEVER:
        return RepeatSafety.NON_IDEMPOTENT
    if request_class.idempotent:
        return RepeatSafety.IDEMPOTENT
    if request_class.idempotency_keyed and idempotency is Idempotency.KEYED:
        return RepeatSafety.DEDUPLICATED
    return RepeatSafety.NON_IDEMPOTENT
