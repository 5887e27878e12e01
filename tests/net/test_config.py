"""The configuration's file at start."""

import subprocess
import sys

import orjson
import pytest
from net_scenarios import GOOD

from orchidgap.net import config


def test_start_reads_names_and_units(tmp_path):
    (tmp_path / "c").write_bytes(orjson.dumps(GOOD))
    station = config.read(str(tmp_path / "c"))
    assert (station.listen, station.seed, station.idle_timeout_us, station.descriptors) == (
        ("127.0.0.1", 1),
        255,
        7,
        1024,
    )
    assert station.settings.request_classes["read"].idempotent
    assert (
        not station.settings.uses_listed_weights
        and station.settings.reported_fields == ()
        and station.shadow_settings is None
    )
    new = {"weights": "rough", "report": {"how": "inline", "fields": ["concurrent", "tps"]}}
    (tmp_path / "c").write_bytes(orjson.dumps(GOOD | {"watch": {"settings": new}}))
    watching = config.read(str(tmp_path / "c"), station)
    assert watching.settings == station.settings
    assert watching.shadow_settings == station.settings._replace(
        uses_listed_weights=True, reported_fields=("concurrent", "tps")
    )
    (tmp_path / "c").write_bytes(orjson.dumps(GOOD))
    assert config.read(str(tmp_path / "c"), watching).shadow_settings is None, (
        "a watch may be left out again"
    )


@pytest.mark.parametrize(
    ("change", "names"),
    [
        ({"listen": "nowhere"}, "not an address: 'nowhere'"),
        ({"listen": None}, "c: "),
        ({"settings": {}}, "rule-sets.count"),
        ({"seed": "xyz"}, "xyz"),
        ({"limits": {"sockets": 10}}, "too few"),
        ({"known": {"hosts": 1}}, "c: "),
        ({"settings": {"rule-sets": [{"name": "a"}]}}, "rule-sets.0.client-timeout is missing"),
        ({"settings": GOOD["settings"] | {"weights": "heavy"}}, "setting weights is 'heavy'"),
        (
            {"settings": GOOD["settings"] | {"report": {"how": "loudly"}}},
            "setting report.how is 'loudly'",
        ),
        (
            {"settings": GOOD["settings"] | {"ceilings": {"may-duplicate": "maybe"}}},
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
def test_a_bad_start_is_one_plain_line(tmp_path, change, names):
    """The configuration lacks a key, or has a value that cannot be. The program says which in
    one line.
    """
    (tmp_path / "c").write_bytes(orjson.dumps(GOOD | change))
    with pytest.raises(config.ConfigError, match=names) as told:
        config.read(str(tmp_path / "c"))
    assert "\n" not in str(told.value)


@pytest.mark.parametrize("text", [None, "", "{", "[]", "7"])
def test_a_configuration_that_is_none_ends_the_command_with_one_line(tmp_path, text):
    """The file is missing, empty or no JSON object. The command ends with one line and no
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
