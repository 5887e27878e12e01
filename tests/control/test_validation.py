"""What can be proposed as a policy, as far as that shows without a balancer."""

import pytest

from orchidgap.control.validation import InvalidPolicyError, validate
from orchidgap.net import config

DOCUMENT = {"settings": {"rule-sets": [{"name": "a", "effect": "retryable", "client-timeout": 9}]}}


@pytest.mark.parametrize(
    ("document", "reason"),
    [
        ([], "must be an object"),
        ({}, "settings must be an object"),
        ({"settings": []}, "must be an object"),
        ({"settings": {}, "more": 1}, "no part"),
        ({"settings": {}}, "setting rule-sets.count is missing"),
        ({"settings": {"rule-sets": [{"name": "a"}]}}, "client-timeout is missing"),
        (DOCUMENT | {"needs": 2}, "form 2"),
    ],
)
def test_a_policy_that_cannot_be_is_told_in_words(document, reason):
    with pytest.raises(InvalidPolicyError) as told:
        validate(document)
    assert reason in str(told.value)
    validate(DOCUMENT)


@pytest.mark.parametrize(
    ("part", "reason"),
    [
        ([], "must be an object"),
        ({"at": ["127.0.0.1:1"]}, "at and dir"),
        ({"at": [], "dir": "x"}, "1, 3 or 5"),
        ({"at": ["there:1"], "dir": "x"}, "not an address"),
        ({"at": ["127.0.0.1:1"], "dir": "x", "alone": "go"}, "leave or stay"),
    ],
)
def test_a_bad_part_control_is_told_in_words(part, reason):
    with pytest.raises((LookupError, ValueError), match=reason):
        config.control_part(part)
