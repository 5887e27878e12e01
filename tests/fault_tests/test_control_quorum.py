"""What counts as a majority of control that a balancer reaches.

A balancer was reported as faulty because it denied all requests, though no control process could settle which
version was chosen; and a control process counted as reached before it listened.
"""

import socket
from types import SimpleNamespace

import pytest

from orchidgap.fault_tests import disk_faults
from orchidgap.fault_tests.control_process import START_LIMIT_US, ControlProcess
from orchidgap.fault_tests.control_quorum import ControlQuorum


class FaultyLinks:
    """Links that are open in both directions, except for the faulty ones."""

    def __init__(self, *faulty):
        self.faulty = {tuple(link.split("-")) for link in faulty}

    def is_open(self, client, server, max_delay_us):
        return (client, server) not in self.faulty


def reaches_majority(folder, stopped=(), starting=(), full=(), faulty=()):
    controls = [
        SimpleNamespace(name=name, is_listening=lambda now_us, name=name: name not in starting)
        for name in ("k0", "k1", "k2")
    ]
    for name in full:
        disk_faults.fill(disk_faults.disk_folder(folder, name))
    quorum = ControlQuorum(controls, FaultyLinks(*faulty), folder, lambda name: name not in stopped)
    return quorum.is_reached("b0", quorum.working(0))


@pytest.mark.parametrize(
    "faults",
    [
        {},
        {"stopped": ["k0"]},
        {"starting": ["k1"]},
        {"full": ["k2"]},
        {"faulty": ["b0-k0"]},
        {"faulty": ["k0-k1", "k0-k2"]},
        # k0 reaches both of the others, which do not reach each other
        {"faulty": ["k1-k2", "k2-k1", "k1-k0", "k2-k0"]},
        # a balancer needs no more than the two that reach each other
        {"faulty": ["b0-k2", "k0-k2", "k2-k0"]},
    ],
)
def test_one_faulty_control_process_of_three_excuses_no_denial(tmp_path, faults):
    assert reaches_majority(tmp_path, **faults)


@pytest.mark.parametrize(
    "faults",
    [
        {"stopped": ["k0", "k1"]},
        {"starting": ["k0"], "stopped": ["k2"]},
        {"full": ["k1"], "faulty": ["b0-k2"]},
        {"full": ["k0", "k1"]},
        {"faulty": ["b0-k0", "b0-k1"]},
        {"stopped": ["k0"], "faulty": ["k1-k2", "k2-k1"]},
        # k0 and k1 reach each other, but the balancer does not reach k0
        {"faulty": ["b0-k0", "k1-k2", "k2-k1"]},
    ],
)
def test_without_a_majority_that_can_settle_a_value_none_is_reached(tmp_path, faults):
    assert not reaches_majority(tmp_path, **faults)


def test_a_disk_has_room_again_once_it_is_freed(tmp_path):
    assert not disk_faults.is_full(tmp_path)
    disk_faults.fill(tmp_path)
    assert disk_faults.is_full(tmp_path)
    disk_faults.free(tmp_path)
    assert not disk_faults.is_full(tmp_path)


def test_a_control_process_counts_once_it_listens_or_ought_to_have():
    links = SimpleNamespace(port_offset=0)
    control = ControlProcess(None, links, None, 0)
    with socket.create_server(("127.0.0.1", 0)) as server:
        control.address = server.getsockname()
    now_us = 5_000_000
    assert not control.is_listening(now_us)
    assert not control.is_listening(now_us + START_LIMIT_US - 1)
    assert control.is_listening(now_us + START_LIMIT_US), "one that never listens is no excuse"
    with socket.create_server(control.address):
        assert control.is_listening(now_us + 1)
    assert control.is_listening(now_us + 2), "asked once a start"
