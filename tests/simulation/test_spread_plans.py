"""Planted defects that make the load uneven are caught by shipped plans, by what hosts saw."""

from pathlib import Path
from types import SimpleNamespace as Namespace

import pytest

from orchidgap.decisions import rebalancing
from orchidgap.decisions.hot_keys import HotKeyDetector
from orchidgap.decisions.placement import Placement
from orchidgap.simulation.load_evenness import PhaseRecorder
from orchidgap.simulation.plan import EvennessBounds
from orchidgap.simulation.plan_file import read_plan
from orchidgap.simulation.runner import play

TRIALS = Path(__file__).parents[2] / "trials"


def synchronized_index(self, request, preferred_index=Placement.preferred_index):
    """In one tenth of each second all balancers send all requests to one cache."""
    return 0 if self.context.now // 100_000 % 10 == 0 else preferred_index(self, request)


def rejects_restarted_hosts(self, host, accepts=Placement.accepts):
    """A balancer that knows of a host's restart never sends requests to it."""
    return not host.started_at_us and accepts(self, host)


DEFECTS = {
    "no hot key is seen": (
        HotKeyDetector,
        "replica_count",
        lambda self, key, cache_count: 1,
        "quarter",
        "calm: most",
    ),
    "all at one moment": (Placement, "preferred_index", synchronized_index, "calm", "calm: herd"),
    "ranges stay as a release left them": (
        rebalancing,
        "EVEN_OUT_STEPS",
        0,
        "replaced",
        "after: most",
    ),
    "each leaves a cache that came back to others": (
        Placement,
        "accepts",
        rejects_restarted_hosts,
        "flaps",
        "after: least",
    ),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_unevenness_is_caught(name, monkeypatch):
    owner, attribute, planted, plan, breach = DEFECTS[name]
    monkeypatch.setattr(owner, attribute, planted)
    verdict, simulation = play(read_plan(str(TRIALS / f"spread-{plan}.toml")))
    assert verdict["verdict"] == "broken" and verdict["uneven"]
    assert any(
        rule == "uneven" and text.startswith(breach)
        for rule, _, text in simulation.invariant_checker.breaches
    ), simulation.invariant_checker.breaches


def test_a_request_in_flight_when_a_phase_ends_counts_by_its_outcome():
    """A fault test that lost no request was broken by one that was in flight at the end of a phase."""
    work = Namespace(
        write=False, latency_objective_ms=500, priority_weight=1.0, late_value_ratio=0.0
    )
    operations = [
        Namespace(
            counted=True, created_at_us=created, completed_at_us=completed, request_class=work
        )
        for created, completed in ((1, 9), (990_000, 0))
    ]
    invariant_checker = Namespace(
        client_attempts={},
        operations=operations,
    )
    simulation = Namespace(
        servers={}, start=0, loop=Namespace(now=1_000_000), invariant_checker=invariant_checker
    )
    phases = PhaseRecorder(simulation, (EvennessBounds("calm", min_service_ratio=0.9),))
    phases.current = "calm", 0
    phases.begin_phase("")
    for completed_at_us, served in ((0, 0.5), (1_010_000, 1.0)):
        operations[1].completed_at_us, simulation.loop.now = completed_at_us, 3_000_000
        breaches = []
        assert (
            phases.finish(lambda *breach, breaches=breaches: breaches.append(breach))["calm"][
                "served"
            ]
            == served
        )
        assert bool(breaches) == (served < 0.9)
