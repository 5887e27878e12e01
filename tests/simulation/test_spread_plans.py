"""What makes a load uneven on purpose is caught by a shipped plan, seen from the hosts alone."""

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


def in_step(self, req, preferred_index=Placement.preferred_index):
    """In one tenth of each second all balancers send all that they have to one cache."""
    return 0 if self.context.now // 100_000 % 10 == 0 else preferred_index(self, req)


def not_me(self, host, accepts=Placement.accepts):
    """Whoever knows that a host was away leaves it to others."""
    return not host.started_at_us and accepts(self, host)


DEFECTS = {
    "no hot key is seen": (
        HotKeyDetector,
        "replica_count",
        lambda self, key, cache_count: 1,
        "quarter",
        "calm: most",
    ),
    "all at one moment": (Placement, "preferred_index", in_step, "calm", "calm: herd"),
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
        not_me,
        "flaps",
        "after: least",
    ),
}


@pytest.mark.parametrize("name", DEFECTS)
def test_a_planted_unevenness_is_caught(name, monkeypatch):
    owner, what, planted, plan, said = DEFECTS[name]
    monkeypatch.setattr(owner, what, planted)
    verdict, simulation = play(read_plan(str(TRIALS / f"spread-{plan}.toml")))
    assert verdict["verdict"] == "broken" and verdict["uneven"]
    assert any(
        rule == "uneven" and text.startswith(said)
        for rule, _, text in simulation.invariant_checker.breaches
    ), simulation.invariant_checker.breaches


def test_what_is_out_when_a_stretch_ends_counts_as_it_comes_out():
    """One req that was out at that moment broke a drill that lost none."""
    work = Namespace(
        write=False, latency_objective_ms=500, priority_weight=1.0, late_value_ratio=0.0
    )
    ops = [
        Namespace(counted=True, created_at_us=born, completed_at_us=done, request_class=work)
        for born, done in ((1, 9), (990_000, 0))
    ]
    invariant_checker = Namespace(
        client_attempts={},
        operations=ops,
    )
    simulation = Namespace(
        servers={}, start=0, loop=Namespace(now=1_000_000), invariant_checker=invariant_checker
    )
    stretches = PhaseRecorder(simulation, (EvennessBounds("calm", min_service_ratio=0.9),))
    stretches.current = "calm", 0
    stretches.begin("")
    for late, served in ((0, 0.5), (1_010_000, 1.0)):
        ops[1].completed_at_us, simulation.loop.now = late, 3_000_000
        said = []
        assert (
            stretches.finish(lambda *told, said=said: said.append(told))["calm"]["served"] == served
        )
        assert bool(said) == (served < 0.9)
