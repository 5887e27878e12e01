"""The command that runs a fault test."""

from __future__ import annotations

import shutil
import sys
import tempfile
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path
from typing import Any

import msgspec
import orjson

from orchidgap.errors import ScenarioError
from orchidgap.fault_tests.breach_report import describe_breaches
from orchidgap.fault_tests.cluster import Cluster
from orchidgap.fault_tests.denial_report import describe_denials
from orchidgap.fault_tests.plan import FaultTest, read
from orchidgap.fault_tests.planted_defects import DEFECTS
from orchidgap.fault_tests.runner import FaultTestRunner
from orchidgap.simulation.baselines import PROCESS_POLICIES
from orchidgap.simulation.plan import MAX_BALANCERS

DEFAULT_POLICY = "orchidgap"
EXIT_KEPT = 0
EXIT_BROKEN = 1
EXIT_BAD_PLAN = 2


def main(arguments: Mapping[str, Any]) -> int:
    """Run the command with the arguments that docopt parsed; return the exit code."""
    try:
        test = read(arguments["PLAN"])
        seed = _whole_number(arguments, "--seed")
        balancer_count = _whole_number(arguments, "--balancers")
        if balancer_count is not None:
            test = with_balancers(test, balancer_count)
        defect = arguments["--defect"] or ""
        policy = arguments["--policy"]
        _check_options(test, defect, policy)
    except ScenarioError as error:
        print(f"orchidgap: {error}", file=sys.stderr)
        return EXIT_BAD_PLAN
    out = Path(arguments["--out"]) if arguments["--out"] else None
    verdict, _ = run_fault_test(test, seed, defect, out, arguments["--disk"] or "", policy)
    print(orjson.dumps(verdict).decode())
    return EXIT_KEPT if verdict["verdict"] == "kept" else EXIT_BROKEN


def _whole_number(arguments: Mapping[str, Any], name: str) -> int | None:
    try:
        return int(arguments[name]) if arguments[name] else None
    except ValueError:
        raise ScenarioError(f"{name} has to be a whole number, not {arguments[name]!r}") from None


def _check_options(test: FaultTest, defect: str, policy: str) -> None:
    if defect and defect not in DEFECTS:
        raise ScenarioError(f"unknown defect {defect!r}: use one of {', '.join(DEFECTS)}")
    if policy == DEFAULT_POLICY:
        return
    if policy not in PROCESS_POLICIES or test.control.count or defect:
        raise ScenarioError(
            f"--policy={policy}: use one of {', '.join(PROCESS_POLICIES)}, "
            "without control processes and defects"
        )


def with_balancers(test: FaultTest, count: int) -> FaultTest:
    """Return the same test with another number of balancers.

    Raises:
        ScenarioError: The number is out of range.
    """
    if not 1 <= count <= MAX_BALANCERS:
        raise ScenarioError(f"--balancers={count}: has to be between 1 and {MAX_BALANCERS}")
    return replace(test, plan=msgspec.structs.replace(test.plan, balancers=count))


def run_fault_test(
    test: FaultTest,
    seed: int | None = None,
    defect: str = "",
    out: Path | None = None,
    disk: str = "",
    policy: str = DEFAULT_POLICY,
) -> tuple[dict[str, Any], Cluster]:
    """Run a fault test.

    The files of a run that broke a rule are kept, in `out` or in a new folder in the system's
    folder for temporary files. The verdict contains its path as `folder`, and the breaches are
    described on standard error. A run with a planted defect is expected to break a rule, so its
    files are kept only if `out` is given.

    Args:
        test: The plan.
        seed: The seed of all random choices, None for the plan's own.
        defect: The name of a planted defect, empty for none.
        out: Where to keep the files of all processes, the events and the verdict.
        disk: The folder of the processes' disks, empty for one in memory.
        policy: The name of the policy by which balancers decide.

    Returns:
        The content of the verdict line, and the closed cluster.
    """
    cluster = Cluster(test, seed, defect, disk, policy)
    runner = FaultTestRunner(cluster)
    # copied to `out` only after the test: its disk may be slow, and writing would delay the test
    with tempfile.TemporaryDirectory() as copied:

        def copy_files() -> None:
            shutil.copytree(cluster.directory, copied, dirs_exist_ok=True, symlinks=True)

        try:
            verdict = runner.run(before_close=copy_files)
        except BaseException:
            if out is not None:
                shutil.copytree(copied, out, dirs_exist_ok=True, symlinks=True)
            raise
        if verdict["verdict"] == "broken":
            description = describe_breaches(
                cluster.invariant_checker, Path(copied), cluster.scheduling.describe
            )
            print(description, file=sys.stderr)
            if out is None and not defect:
                out = Path(tempfile.mkdtemp(prefix=f"orchidgap-drill-{test.plan.name}-"))
        if out is not None:
            verdict |= {"folder": str(out)}
            shutil.copytree(copied, out, dirs_exist_ok=True, symlinks=True)
            _write_report(out, verdict, cluster)
    return verdict, cluster


def _write_report(out: Path, verdict: dict[str, Any], cluster: Cluster) -> None:
    invariant_checker = cluster.invariant_checker
    lines = [f"{at_s:9.3f} {text}" for at_s, text in invariant_checker.events]
    lines += [f"{at_s:9.3f} {rule}: {text}" for rule, at_s, text in invariant_checker.breaches]
    (out / "events.txt").write_text("\n".join(sorted(lines)) + "\n")
    denials = describe_denials(
        invariant_checker.rejections, invariant_checker.events, out, invariant_checker.started_at_us
    )
    (out / "denials.txt").write_text(denials)
    (out / "verdict.json").write_bytes(orjson.dumps(verdict))
