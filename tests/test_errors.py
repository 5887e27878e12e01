"""Tests that exceptions have attributes for what failed and what was expected, and print as one line."""

from pathlib import Path

import pytest

from orchidgap.errors import (
    ConfigError,
    CorruptFileError,
    OrchidgapError,
    ScenarioError,
    SettingError,
)


@pytest.mark.parametrize("kind", [ConfigError, ScenarioError, SettingError])
def test_an_error_prints_its_message_alone(kind):
    error = kind("c.json: name is missing", expected="a name")
    assert isinstance(error, OrchidgapError) and str(error) == "c.json: name is missing"
    assert error.expected == "a name"


def test_a_setting_error_can_be_caught_as_a_lookup_error():
    with pytest.raises(LookupError) as caught:
        raise SettingError("setting a is 0", setting="a", value=0, expected="over 0")
    assert (caught.value.setting, caught.value.value) == ("a", 0)


def test_a_corrupt_file_error_names_the_file():
    error = CorruptFileError(Path("/x/register"))
    assert str(error) == "/x/register is corrupt or truncated" and error.path == Path("/x/register")
