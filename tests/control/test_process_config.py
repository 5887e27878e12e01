"""A control process's configuration: defaults, and the errors for invalid files."""

import json

import pytest

from orchidgap.control.process_config import read_process_config
from orchidgap.errors import ConfigError

GOOD = {
    "name": "k0",
    "dir": "/var/lib/x",
    "control": {"k0": "127.0.0.1:7500", "k1": "127.0.0.2:7500", "k2": "127.0.0.3:7500"},
}


def read(tmp_path, wire):
    path = tmp_path / "control.json"
    path.write_text(wire if isinstance(wire, str) else json.dumps(wire))
    return read_process_config(str(path))


def test_missing_settings_have_defaults(tmp_path):
    """A minimal file: leases last 10 s, and a proposal waits for six of them."""
    config = read(tmp_path, GOOD)
    assert (config.lease_us, config.give_up_us) == (10_000_000, 60_000_000)
    assert config.listen_address == ("127.0.0.1", 7500) and config.folder == "/var/lib/x"
    config = read(tmp_path, GOOD | {"lease-ms": 2_000, "give-up-ms": 5_000})
    assert (config.lease_us, config.give_up_us) == (2_000_000, 5_000_000)


@pytest.mark.parametrize(
    ("wire", "text"),
    [
        ("{", "unexpected end of data: line 1 column 2 (char 1)"),
        ({}, "name is missing"),
        ({"name": "k0"}, "control is missing"),
        ({"name": "k0", "control": {}}, "dir is missing"),
        (GOOD | {"name": "k9"}, "control contains no address for k9"),
        (
            GOOD | {"control": {"k0": "127.0.0.1:1", "k1": "127.0.0.1:2"}},
            "2 control processes; must be 1, 3 or 5",
        ),
        (
            GOOD | {"lease-ms": 10},
            "lease-ms must be from 1000 to 600000, and give-up-ms at least lease-ms",
        ),
        (
            GOOD | {"lease-ms": 2_000, "give-up-ms": 1_000},
            "lease-ms must be from 1000 to 600000, and give-up-ms at least lease-ms",
        ),
        (
            GOOD | {"control": {"k0": "10.0.0.1:7500"}},
            "10.0.0.1:7500 is not a loopback address; set beyond-loopback to true to allow "
            "it; anyone who reaches it can change the policy",
        ),
    ],
)
def test_an_invalid_file_is_reported_in_one_line(tmp_path, wire, text):
    """A control process is started with an invalid file. One line names the file and the error."""
    with pytest.raises(ConfigError) as caught:
        read(tmp_path, wire)
    assert str(caught.value) == f"{tmp_path / 'control.json'}: {text}"
    assert caught.value.location == str(tmp_path / "control.json")


def test_a_missing_file_is_reported(tmp_path):
    """The file name is wrong. The message contains the error text of the system."""
    path = tmp_path / "nowhere.json"
    with pytest.raises(ConfigError) as caught:
        read_process_config(str(path))
    assert str(caught.value) == f"{path}: No such file or directory"


def test_addresses_beyond_loopback_have_to_be_enabled(tmp_path):
    """Control of a fleet listens beyond loopback only if the file enables that with exactly `true`."""
    wire = GOOD | {"control": {"k0": "10.0.0.1:7500"}, "beyond-loopback": True}
    assert read(tmp_path, wire).listen_address == ("10.0.0.1", 7500)
    with pytest.raises(ConfigError, match="is not a loopback address; set beyond-loopback"):
        read(tmp_path, wire | {"beyond-loopback": 1})
