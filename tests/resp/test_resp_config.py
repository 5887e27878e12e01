"""The RESP part of the configuration beside its settings, at the start and on a reload."""

import copy
import itertools

import orjson
import pytest
from resp_harness import RULES, Client, RespCluster

from orchidgap.composition import create_protocol
from orchidgap.errors import ConfigError
from orchidgap.net import config
from orchidgap.net.server import reload_config


def write_config(path, cluster, *names, **resp):
    """Writes the cluster's configuration with rule sets of these names."""
    document = copy.deepcopy(cluster.document)
    document["settings"]["rule-sets"] = [
        rule | {"name": name} for rule, name in zip(itertools.cycle(RULES), names)
    ]
    document["resp"] |= resp
    path.write_bytes(orjson.dumps(document))


def test_a_reload_that_removes_the_rule_set_of_commands_is_rejected(tmp_path):
    # Each write was answered that it may have run, by an error within the decisions, until the next reload.
    cluster, path = RespCluster(), tmp_path / "c"
    write_config(path, cluster, "read", "other")
    reload_config(cluster.node, str(path))
    assert cluster.log.lines[-1] == (
        "config rejected",
        {"why": "resp: the rule set 'write' of write is missing"},
    )
    assert Client(cluster).call(b"SET", b"k", b"1") == b"+OK\r\n"
    write_config(path, cluster, "read", "write", "other")
    reload_config(cluster.node, str(path))
    assert cluster.log.lines[-1][0] == "config applied"


def test_a_rule_set_of_commands_that_does_not_exist_ends_the_start(tmp_path):
    write_config(tmp_path / "c", RespCluster(), "read", "write", write="writes")
    with pytest.raises(ConfigError, match="resp: the rule set 'writes' of write is missing"):
        create_protocol(config.read(str(tmp_path / "c")))
