"""What is raised for a caller says what failed, where and what was expected, and prints as one line."""

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


def test_a_bad_setting_can_be_caught_like_a_key_that_is_not_there():
    with pytest.raises(LookupError) as caught:
        raise SettingError("setting a is 0", setting="a", value=0, expected="over 0")
    assert (caught.value.setting, caught.value.value) == ("a", 0)


def test_a_corrupt_file_is_named():
    error = CorruptFileError(Path("/x/register"))
    assert str(error) == "/x/register is damaged or cut off" and error.path == Path("/x/register")
