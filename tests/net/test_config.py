"""The configuration file at startup."""

import subprocess
import sys

import orjson
import pytest
from net_scenarios import VALID_CONFIG

from orchidgap.net import config


def test_start_reads_names_and_units(tmp_path):
    (tmp_path / "c").write_bytes(orjson.dumps(VALID_CONFIG))
    loaded = config.read(str(tmp_path / "c"))
    assert (loaded.listen, loaded.seed, loaded.idle_timeout_us, loaded.descriptors) == (
        ("127.0.0.1", 1),
        255,
        7,
        1024,
    )
    assert loaded.settings.request_classes["read"].idempotent
    assert (
        not loaded.settings.uses_listed_weights
        and loaded.settings.reported_fields == ()
        and loaded.shadow_settings is None
    )
    new = {"weights": "rough", "report": {"how": "inline", "fields": ["concurrent", "tps"]}}
    (tmp_path / "c").write_bytes(orjson.dumps(VALID_CONFIG | {"watch": {"settings": new}}))
    with_shadow = config.read(str(tmp_path / "c"), loaded)
    assert with_shadow.settings == loaded.settings
    assert with_shadow.shadow_settings == loaded.settings._replace(
        uses_listed_weights=True, reported_fields=("concurrent", "tps")
    )
    (tmp_path / "c").write_bytes(orjson.dumps(VALID_CONFIG))
    assert config.read(str(tmp_path / "c"), with_shadow).shadow_settings is None, (
        "a later file may drop the shadow settings"
    )


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ({"listen": "nowhere"}, "not an address: 'nowhere'"),
        ({"listen": None}, "c: "),
        ({"settings": {}}, "rule-sets.count"),
        ({"seed": "xyz"}, "xyz"),
        ({"limits": {"sockets": 10}}, "too few"),
        ({"known": {"hosts": 1}}, "c: "),
        ({"settings": {"rule-sets": [{"name": "a"}]}}, "rule-sets.0.client-timeout is missing"),
        (
            {"settings": VALID_CONFIG["settings"] | {"weights": "heavy"}},
            "setting weights is 'heavy'",
        ),
        (
            {"settings": VALID_CONFIG["settings"] | {"report": {"how": "loudly"}}},
            "setting report.how is 'loudly'",
        ),
        (
            {"settings": VALID_CONFIG["settings"] | {"ceilings": {"may-duplicate": "maybe"}}},
            "may-duplicate is 'maybe'",
        ),
        ({"watch": 7}, "watch.settings"),
        ({"watch": {"settings": []}}, "watch.settings"),
        ({"watch": {"settings": {"weights": "heavy"}}}, "watch: setting weights is 'heavy'"),
        (
            {
                "watch": {
                    "settings": {
                        "rule-sets": [{"name": "other", "effect": "fragile", "client-timeout": 9}]
                    }
                }
            },
            "watch: rule set read is missing",
        ),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line(tmp_path, change, message):
    """The configuration lacks a key or has an invalid value. The program reports which one in a
    single line.
    """
    (tmp_path / "c").write_bytes(orjson.dumps(VALID_CONFIG | change))
    with pytest.raises(config.ConfigError, match=message) as raised:
        config.read(str(tmp_path / "c"))
    assert "\n" not in str(raised.value)


@pytest.mark.parametrize("text", [None, "", "{", "[]", "7"])
def test_a_missing_or_unreadable_configuration_ends_the_command_with_one_line(tmp_path, text):
    """The file is missing, empty or not a JSON object. The command exits with one line and no
    traceback.
    """
    path = tmp_path / "c"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "orchidgap", "serve", f"--config={path}"], capture_output=True
    )
    assert (
        done.returncode == 1
        and done.stderr.startswith(b"orchidgap: ")
        and done.stderr.count(b"\n") == 1
    )
