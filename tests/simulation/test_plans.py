"""Every shipped plan ends with the rules kept and with service above the plan's minimum."""

import sys
from pathlib import Path

import msgspec
import pytest

from orchidgap.simulation.faults import FAULTS
from orchidgap.simulation.plan import FAULT_KINDS, RESP_FAULT_KINDS
from orchidgap.simulation.plan_file import format_plan, parse_plan, read_plan, validate_plan
from orchidgap.simulation.runner import TRY_PLAN, play

SHIPPED = sorted((Path(__file__).parents[2] / "trials").glob("*.toml"))


@pytest.mark.parametrize("path", SHIPPED, ids=lambda path: path.stem)
def test_a_shipped_plan_keeps_the_rules(path):
    plan = read_plan(str(path))
    verdict, simulation = play(plan)
    assert verdict["verdict"] == "kept" and not verdict["faults"], (
        simulation.invariant_checker.breaches[:5]
    )
    assert verdict["service"] >= plan.min_service_ratio > 0 and plan.name == path.stem
    assert verdict["bad_ignored"] == verdict["bad_served"] == 0


def test_the_plans_together_have_every_kind_of_trouble():
    used = [fault.kind for path in SHIPPED for fault in read_plan(str(path)).faults]
    assert [kind for kind in FAULT_KINDS + RESP_FAULT_KINDS if kind not in used] == []


@pytest.mark.parametrize("kind", FAULT_KINDS)
def test_every_trouble_acts_alone_and_is_seen(kind):
    """Each fault changes the trace of the calm run, and is recorded among the events of its run."""
    calm_plan = {
        "name": "one",
        "seconds": 4,
        "balancers": 2,
        "caches": 3,
        "rate": 60,
        "cache": {"zones": 2},
    }
    calm, _ = play(validate_plan(calm_plan))
    verdict, simulation = play(
        validate_plan(calm_plan | {"trouble": [{"kind": kind, "at-s": 1, "for-s": 2, "part": 0.4}]})
    )
    assert verdict["verdict"] == "kept", simulation.invariant_checker.breaches[:5]
    assert verdict["trace"] != calm["trace"] and any(
        text.startswith(kind) for _, text in simulation.invariant_checker.events
    )
    assert kind in FAULTS


def test_the_same_plan_and_seed_give_the_same_trace_and_another_seed_another():
    plan = msgspec.structs.replace(TRY_PLAN, duration_s=4.0, faults=())
    first, second, other = (play(plan, seed)[0]["trace"] for seed in (1, 1, 2))
    assert first == second != other


def test_a_trace_depends_on_no_hash_seed_and_on_no_run_beside_it(tmp_path):
    import subprocess

    (tmp_path / "p.toml").write_text(
        'name = "p"\nseconds = 3\nrate = 60\n[[trouble]]\nkind = "crash"\nat-s = 1\npart = 0.3'
    )
    runs = [
        subprocess.Popen(
            [sys.executable, "-m", "orchidgap", "trial", str(tmp_path / "p.toml")],
            env={"PYTHONHASHSEED": str(seed), "PATH": "/usr/bin:/bin"},
            cwd=Path(__file__).parents[2],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
        )
        for seed in (0, 1, 2)
    ]
    lines = [run.communicate()[0].splitlines()[-1] for run in runs]
    assert lines[0] == lines[1] == lines[2] and b'"verdict":"kept"' in lines[0]


def test_a_plan_written_out_and_read_again_is_the_same():
    for path in SHIPPED:
        plan = read_plan(str(path))
        assert parse_plan(format_plan(plan)) == plan
