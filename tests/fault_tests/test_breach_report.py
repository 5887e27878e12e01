"""A fault test that broke a rule keeps its files; once they were deleted along with the only explanation."""

import shutil
from pathlib import Path

import orjson

from orchidgap.fault_tests.breach_report import describe_breaches
from orchidgap.fault_tests.commands import run_fault_test
from orchidgap.fault_tests.plan import read
from orchidgap.simulation.invariant_checker import InvariantChecker

NEVER_SEEN = """
name = "never-seen"
about = "Waits for an event that no process logs."
balancers = 1
caches = 1
rate = 20.0

[control]
count = 0

[[step]]
when = "log b0 never"
within-s = 0.2
"""


def test_a_breach_is_described_with_the_log_lines_and_faults_around_it(tmp_path):
    checker = InvariantChecker(plan=read_plan(tmp_path).plan, start=1_000_000_000)
    lines = [
        {"at": 1000.5, "balancer": "b0", "event": "early"},
        {"at": 1003.5, "event": "near", "x": 1},
    ]
    text = b"\n".join(map(orjson.dumps, lines)) + b"\nTraceback: no event\n"
    (tmp_path / "b0.log").write_bytes(text)
    checker.record_event(1_002_000_000, "kill b0")
    checker.record_breach("late", 1_004_000_000, "r1: late")
    assert describe_breaches(checker, tmp_path) == (
        'late at 4.000 s: r1: late\n      2.000 fault: kill b0\n      3.500 b0 {"event":"near","x":1}\n'
    )


def test_a_breach_names_the_faults_that_began_long_before_it(tmp_path):
    checker = InvariantChecker(plan=read_plan(tmp_path).plan, start=0)
    checker.record_event(1_000_000, "full k1")
    checker.record_event(1_500_000, "the fault test itself was 300 ms late")
    checker.record_event(2_000_000, "cut all k2")
    checker.record_event(18_000_000, "mend")
    checker.record_breach("late", 19_000_000, "r1: late")
    assert describe_breaches(checker, tmp_path) == (
        "late at 19.000 s: r1: late\n"
        "  earlier: 1.000 full k1; 2.000 cut all k2\n"
        "     18.000 fault: mend\n"
    )


def test_the_files_of_a_broken_run_are_kept_and_their_folder_is_reported(tmp_path, capsys):
    verdict, _ = run_fault_test(read_plan(tmp_path))
    assert verdict["verdict"] == "broken"
    kept = Path(verdict["folder"])
    assert (kept / "b0.log").read_bytes()
    assert orjson.loads((kept / "verdict.json").read_bytes()) == verdict
    assert "stuck at" in capsys.readouterr().err
    shutil.rmtree(kept)


def read_plan(folder):
    path = folder / "never-seen.toml"
    path.write_text(NEVER_SEEN)
    return read(str(path))
