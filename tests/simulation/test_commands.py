"""The simulation commands as they are typed, the findings of a hunt and the contents of a report."""

import json
import subprocess
import sys
from pathlib import Path

import msgspec
import pytest
from planted import CELLS, USUAL, LeavesTheGroup

from orchidgap.simulation import hunt
from orchidgap.simulation.plan import Fault
from orchidgap.simulation.plan_file import parse_plan, read_plan, validate_plan
from orchidgap.simulation.report import write_report
from orchidgap.simulation.runner import play, write_recording
from orchidgap.simulation.simulation import Simulation

ROOT = Path(__file__).parents[2]
TINY = 'name = "tiny"\nseconds = 2\nbalancers = 1\ncaches = 2\nrate = 40\n'


def run(*args, cwd=ROOT):
    done = subprocess.run(
        [sys.executable, "-m", "orchidgap", *map(str, args)],
        cwd=cwd,
        capture_output=True,
        env={"PATH": "/usr/bin:/bin", "PYTHONPATH": str(ROOT)},
        check=False,
    )
    return done.returncode, done.stdout.decode(), done.stderr.decode()


def test_a_trial_ends_in_its_verdict_and_keeps_a_report(tmp_path):
    (tmp_path / "p.toml").write_text(
        TINY + '[[trouble]]\nkind = "crash"\nat-s = 1\ntarget = "c01"\n'
    )
    code, out, err = run("trial", tmp_path / "p.toml", f"--out={tmp_path / 'kept'}", "--seed=4")
    verdict = json.loads(out.splitlines()[-1])
    assert code == 0 and len(out.splitlines()) == 1
    assert list(verdict)[:9] == [
        "verdict",
        "lost",
        "twice",
        "late",
        "drain",
        "cold",
        "service",
        "reqs",
        "trace",
    ]
    page = (tmp_path / "kept" / "report.html").read_text()
    assert page.count("data:image/png;base64,") == 6 and "crash c01" in page and "http" not in page
    assert "report: " in err
    (tmp_path / "kept" / "report.html").unlink()
    assert run("report", tmp_path / "kept")[0] == 0 and (tmp_path / "kept" / "report.html").exists()
    assert parse_plan((tmp_path / "kept" / "plan.toml").read_text()) == read_plan(
        str(tmp_path / "p.toml")
    )


@pytest.mark.parametrize(
    ("text", "names"),
    [
        (None, "No such file"),
        ('name = "x"\nrate = "9"', "$.rate"),
        ("name = ", "not TOML"),
        ('name = "x"\n[cache]\ncoers = 2', "coers"),
        ('name = "X Y"', "$.name"),
        (
            'name = "x"\n[[work]]\nname="a"\nshare=1\nwork-ms=1\ntarget-ms=9\ntimeout-ms=2',
            "timeout-ms",
        ),
        ('name = "x"\nseconds = 5\n[[trouble]]\nkind = "crash"\nat-s = 9', "behind the end"),
    ],
)
def test_a_bad_plan_ends_in_one_line_and_code_2(tmp_path, text, names):
    if text is not None:
        (tmp_path / "p.toml").write_text(text)
    code, out, err = run("trial", tmp_path / "p.toml")
    assert (code, out) == (2, "") and names in err and err.count("\n") == 1


@pytest.mark.parametrize(
    "args",
    [
        ("trial", "p.toml", "--policy=best"),
        ("trial", "p.toml", "--seed=x"),
        ("trial", "p.toml", "--real", "--policy=oracle"),
        ("report", "nowhere"),
    ],
)
def test_bad_options_end_in_one_line(tmp_path, args):
    (tmp_path / "p.toml").write_text(TINY)
    code, out, err = run(*args, cwd=tmp_path)
    assert (code, out) == (2, "") and err.count("\n") == 1


def test_a_report_of_an_invalid_recording_is_rejected(tmp_path):
    (tmp_path / "trial.json").write_text("{}")
    assert run("report", tmp_path)[0] == 2


def test_compare_plays_every_policy(tmp_path):
    (tmp_path / "p.toml").write_text(TINY)
    code, out, _ = run("compare", tmp_path / "p.toml")
    rows = json.loads(out)
    assert code == 0 and {
        "orchidgap",
        "random",
        "ring",
        "bounded-ring",
        "least-out",
        "oracle",
    } <= set(rows)


def test_a_hunt_draws_the_same_run_from_the_same_number():
    plan = validate_plan({"name": "h", "seconds": 6})
    assert hunt.draw_plan(plan, 3) == hunt.draw_plan(plan, 3) != hunt.draw_plan(plan, 4)
    kinds = {fault.kind for number in range(80) for fault in hunt.draw_plan(plan, number).faults}
    assert len(kinds) > 20 and all(hunt.draw_plan(plan, number).faults for number in range(80))


def test_a_hunt_prints_the_same_for_any_number_of_jobs(tmp_path):
    (tmp_path / "p.toml").write_text(TINY)
    results = [
        run("hunt", tmp_path / "p.toml", "--runs=4", f"--jobs={jobs}", f"--out={tmp_path}")
        for jobs in (1, 3)
    ]
    assert (
        results[0][0] == 0
        and results[0][1] == results[1][1]
        and json.loads(results[0][1])["runs"] == 4
    )


def test_a_finding_shrinks_to_a_plan_that_still_shows_it():
    """A plan with needless faults shrinks to few faults and seconds that still expose a planted defect."""
    plan = validate_plan(
        CELLS
        | {
            "seconds": 12.0,
            "caches": 6,
            "trouble": CELLS["trouble"]
            + [
                {"kind": "flush", "at-s": 3},
                {"kind": "hot-key", "at-s": 4, "for-s": 2, "size": 0.3},
            ],
        }
    )

    def still_shows(candidate):
        return bool(Simulation(candidate, policy_factory=LeavesTheGroup).play()["twice"])

    assert still_shows(plan)
    small, plays = hunt.shrink_plan(plan, still_shows, max_plays=25)
    assert (
        still_shows(small)
        and plays <= 25
        and len(small.faults) <= 2
        and small.duration_s < 12
        and small.cache_count < 6
    )


def test_an_exception_in_a_play_is_a_finding():
    plan = msgspec.structs.replace(
        validate_plan(USUAL), faults=(Fault("crash", 1.0, target="c00"),)
    )
    assert hunt.failure_kind(hunt.play_verdict((plan, "nobody"))).startswith("failed ScenarioError")
    kept = hunt.play_verdict((plan, "orchidgap"))
    assert (
        hunt.failure_kind(kept) == ""
        and hunt.failure_kind(kept | {"late": 2, "faults": 1}) == "late fault"
    )


def test_a_report_draws_ranges_only_where_they_are_known(tmp_path):
    verdict, simulation = play(parse_plan(TINY), policy="ring")
    write_recording(tmp_path, simulation, verdict)
    assert "none are drawn" in write_report(tmp_path).read_text()


def test_real_balancers_play_the_same_plan(tmp_path):
    """Real balancer processes, one killed and restarted: checks that no rule is broken, but no timing."""
    (tmp_path / "p.toml").write_text(
        TINY.replace("balancers = 1", "balancers = 2")
        + ('[[trouble]]\nkind = "balancer-kill"\nat-s = 0.8\nfor-s = 0.3\ntarget = "b0"\n')
    )
    code, out, err = run("trial", tmp_path / "p.toml", "--real")
    verdict = json.loads(out.splitlines()[-1])
    assert code == 0 and verdict["reqs"] > 40 and verdict["cpu_us_a_req"] > 0, (out, err)


def test_serving_needs_none_of_the_tools():
    text = (
        "import sys; import orchidgap.__main__, orchidgap.composition, orchidgap.net.server; "
        "sys.exit(any(name.split('.')[0] in ('msgspec', 'rich', 'hdrh', 'matplotlib') for name in sys.modules))"
    )
    assert subprocess.run([sys.executable, "-c", text], cwd=ROOT, check=False).returncode == 0
