"""Validation of policies and of the control part of a balancer's configuration."""

import pytest

from orchidgap.control import validation
from orchidgap.control.validation import InvalidPolicyError, config_with_policy, validate
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
def test_an_invalid_policy_is_rejected_with_a_reason(document, reason):
    with pytest.raises(InvalidPolicyError) as caught:
        validate(document)
    assert reason in str(caught.value)
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
def test_an_invalid_control_part_is_rejected_with_a_reason(part, reason):
    with pytest.raises((LookupError, ValueError), match=reason):
        config.control_part(part)


def test_a_file_is_read_only_with_a_valid_policy(monkeypatch):
    """Reading the file uses only the settings of a policy, so a policy with an unknown key would otherwise
    appear to be valid."""
    monkeypatch.setattr(validation, "read", lambda path, before, settings: (path, before, settings))
    assert config_with_policy(DOCUMENT, "c.json", None) == ("c.json", None, DOCUMENT["settings"])
    with pytest.raises(InvalidPolicyError, match="more is no part of a version"):
        config_with_policy(DOCUMENT | {"more": 1}, "c.json", None)


def test_a_file_incompatible_with_a_policy_makes_it_invalid(monkeypatch):
    def read(path, before, settings):
        raise config.ConfigError("c.json: pool.key is too short")

    monkeypatch.setattr(validation, "read", read)
    with pytest.raises(InvalidPolicyError, match=r"^c.json: pool.key is too short$"):
        config_with_policy(DOCUMENT, "c.json", None)
