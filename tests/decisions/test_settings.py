"""An invalid setting raises an error with the setting, its value and the expected value."""

import pytest

from orchidgap.decisions.settings import ServiceSettings
from orchidgap.errors import SettingError

SETTINGS = {
    "rule-sets.count": "1",
    "rule-sets.0.name": "read",
    "rule-sets.0.effect": "retryable",
    "rule-sets.0.client-timeout": "900000",
}


@pytest.mark.parametrize(
    ("setting", "text", "found", "expected"),
    [
        ("rule-sets.0.client-timeout", "-5", "-5", "must be over 0"),
        ("rule-sets.0.client-timeout", "soon", "'soon'", "must be a number"),
        ("rule-sets.0.client-timeout", "0.5", "0.5", "must be 1 or more"),
        ("rule-sets.0.response-target", "0", "0", "must be over 0"),
        ("rule-sets.0.name", "", "''", "must be a name of its own"),
        ("rule-sets.0.effect", "none", "'none'", "must be one of retryable, dedup, fragile"),
        ("guarantees.warm-after", "nan", "nan", "must not be under 0"),
        ("ceilings.most-dispatches", "1e308", "1e+308", "must be at most 1e+15"),
        ("ceilings.most-dispatches", "1" + "0" * 30, "1e+30", "must be at most 1e+15"),
        ("guarantees.cold-from", "1e16", "1e+16", "must be at most 1e+15"),
        ("rule-sets.0.client-timeout", "1e16", "1e+16", "must be at most 1e+15"),
        ("ceilings.may-cancel", "yes", "'yes'", "must be one of true, 1, false, 0"),
    ],
)
def test_an_error_contains_the_setting_its_value_and_the_expected_value(
    setting, text, found, expected
):
    """An operator has to find a mistyped setting among hundreds."""
    with pytest.raises(SettingError) as raised:
        ServiceSettings.from_pairs(SETTINGS | {setting: text})
    error = raised.value
    assert (error.setting, error.value, error.expected) == (setting, found, expected)
    assert str(error) == f"setting {setting} is {found}, and {expected}"


@pytest.mark.parametrize("setting", SETTINGS)
def test_a_required_setting_that_is_missing_is_named(setting):
    """A required setting was omitted."""
    pairs = {path: text for path, text in SETTINGS.items() if path != setting}
    with pytest.raises(SettingError) as raised:
        ServiceSettings.from_pairs(pairs)
    assert (raised.value.setting, raised.value.value) == (setting, None)
    assert str(raised.value) == f"setting {setting} is missing"
