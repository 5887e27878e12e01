"""Balancers that shut down or restart while clients connect continuously have to answer each written request."""

from pathlib import Path

import pytest

from orchidgap.fault_tests.commands import run_fault_test
from orchidgap.fault_tests.dial_stream import DialCounts
from orchidgap.fault_tests.plan import read

DRILLS = Path(__file__).parents[2] / "drills"
SHUTDOWN_SEEDS = (1, 2)
RESTART_SEEDS = (1, 2)


@pytest.mark.parametrize("seed", SHUTDOWN_SEEDS)
def test_a_shutdown_resets_no_request_that_waits_to_be_accepted(seed):
    # closing a listener with a non-empty accept queue resets requests that were already written
    verdict, cluster = run_fault_test(read(str(DRILLS / "shutdown-under-dials.toml")), seed)
    dialled = verdict["dial_stream"]
    assert verdict["verdict"] == "kept", (dialled, cluster.invariant_checker.breaches[:5])
    assert DialCounts(**dialled).remainder() == 0
    assert dialled["served"] > 100
    assert dialled["refused"] > 0


@pytest.mark.parametrize("seed", SHUTDOWN_SEEDS)
def test_a_new_connection_whose_request_is_in_flight_is_not_evicted_for_the_next(seed):
    # at the connection limit, each new connection without a request was evicted for the next one, and its
    # request was reset
    verdict, cluster = run_fault_test(read(str(DRILLS / "shutdown-under-later-dials.toml")), seed)
    dialled, ledger = verdict["dial_stream"], verdict["ledger"]
    assert verdict["verdict"] == "kept", (dialled, ledger, cluster.invariant_checker.breaches[:5])
    assert dialled["written_late"] > 100
    assert ledger["crossed"] < ledger["written"] // 20


@pytest.mark.parametrize("seed", RESTART_SEEDS)
def test_a_restart_of_most_balancers_leaves_no_request_without_an_end(seed):
    # a connection made between the kill, the new listener and its first accept might not be accounted for
    verdict, cluster = run_fault_test(read(str(DRILLS / "restart-under-dials.toml")), seed)
    dialled, ledger = verdict["dial_stream"], verdict["ledger"]
    assert verdict["verdict"] == "kept", (dialled, ledger, cluster.invariant_checker.breaches[:5])
    assert DialCounts(**dialled).remainder() == 0
    assert ledger["remainder"] == 0
    assert ledger["killed"] > 0
    assert dialled["refused"] > 0
    assert ledger["counted"] > 100
