"""The commands `try`, `trial`, `hunt`, `compare`, `saturate` and `report`."""

from __future__ import annotations

import os
import sys
from collections.abc import Mapping
from pathlib import Path
from typing import Any

import orjson
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn
from rich.table import Table

from orchidgap.errors import ScenarioError
from orchidgap.simulation import hunt as hunts
from orchidgap.simulation.baselines import POLICY_NAMES
from orchidgap.simulation.invariant_checker import RULES, simulated_duration_us
from orchidgap.simulation.plan import Plan
from orchidgap.simulation.plan_file import format_plan, read_plan
from orchidgap.simulation.runner import TRY_PLAN, simulation_of, write_recording

MAX_SHOWN_BREACHES = 12


def main(arguments: Mapping[str, Any]) -> int:
    """Run the command that docopt parsed.

    Returns the exit code: 1 if a rule was broken, 2 if the plan or an option is invalid.
    """
    console = Console(stderr=True, highlight=False)
    try:
        if arguments["try"]:
            return trial(console, TRY_PLAN, arguments, Path(arguments["--out"] or "trial-out"))
        if arguments["report"]:
            from orchidgap.simulation.report import write_report

            console.print(f"report: {write_report(Path(arguments['DIR']))}")
            return 0
        if arguments["saturate"]:
            from orchidgap.simulation.saturate import main as saturate

            return saturate(console, whole_number(arguments, "--seconds", 5))
        plan = read_plan(arguments["PLAN"])
        if arguments["trial"]:
            return trial(
                console, plan, arguments, Path(arguments["--out"]) if arguments["--out"] else None
            )
        if arguments["compare"]:
            return compare(console, plan, arguments)
        return hunt(console, plan, arguments)
    except ScenarioError as error:
        console.print(f"orchidgap: {error}", markup=False, soft_wrap=True)
        return 2


def whole_number(arguments: Mapping[str, Any], name: str, default: int) -> int:
    """Return the value of an option, or the default; raise ScenarioError if it is invalid."""
    try:
        number = int(arguments[name] or default)
        if number < 0:
            raise ValueError
        return number
    except ValueError:
        raise ScenarioError(f"{name} must be a whole number, not {arguments[name]!r}") from None


def trial(console: Console, plan: Plan, arguments: Mapping[str, Any], out: Path | None) -> int:
    """Simulate a plan, print its verdict and, with `out`, write its report; return the exit code."""
    seed = whole_number(arguments, "--seed", plan.seed)
    simulation = simulation_of(
        plan, seed, bool(arguments["--real"]), arguments["--policy"] or "orchidgap"
    )
    duration_s = simulated_duration_us(plan) / 1e6
    with Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.fields[line]}"),
        console=console,
        transient=True,
    ) as progress:
        task = progress.add_task(plan.name, total=duration_s, line="")

        def show_second(second: float) -> None:
            invariant_checker = simulation.invariant_checker
            up = sum(host.alive and not host.vanished for host in simulation.servers.values())
            progress.update(
                task,
                completed=second,
                line=(
                    f"{second:.0f} s  {len(invariant_checker.operations)} reqs  "
                    f"{sum(invariant_checker.breach_counts.values())} breaches  {up} hosts up"
                ),
            )

        verdict = simulation.play(show_second)
    console.print(summary_table(plan, simulation, verdict))
    for rule, at, text in simulation.invariant_checker.breaches[:MAX_SHOWN_BREACHES]:
        console.print(f"{rule} at {at:.3f} s: {text}", markup=False, soft_wrap=True)
    if out:
        write_recording(out, simulation, verdict)
        from orchidgap.simulation.report import write_report

        console.print(f"report: {write_report(out)}", markup=False, soft_wrap=True)
    print(orjson.dumps(verdict).decode())
    return 0 if verdict["verdict"] == "kept" else 1


def summary_table(plan: Plan, simulation: Any, verdict: dict[str, Any]) -> Table:
    """Return a table with the main figures of a verdict."""
    table = Table(
        title=f"{plan.name}: {plan.description}" if plan.description else plan.name,
        title_justify="left",
    )
    for name in (
        "service",
        "worst 10 s",
        "p50",
        "p99",
        "p99.9",
        "fetches per read",
        "wasted",
        "denied",
        "aborted",
    ):
        table.add_column(name, justify="right")
    table.add_row(
        *(
            str(verdict[name])
            for name in (
                "service",
                "worst10s",
                "p50_ms",
                "p99_ms",
                "p999_ms",
                "fetches",
                "wasted",
                "denied",
                "aborted",
            )
        )
    )
    return table


def compare(console: Console, plan: Plan, arguments: Mapping[str, Any]) -> int:
    """Simulate a plan with each policy and print their results side by side."""
    seed = whole_number(arguments, "--seed", plan.seed)
    table = Table(title=f"{plan.name}, seed {seed}", title_justify="left")
    for name in (
        "policy",
        "verdict",
        "service",
        "worst 10 s",
        "fetches",
        "wasted",
        "p99 ms",
        *RULES,
    ):
        table.add_column(name, justify="right")
    rows = {}
    for policy in POLICY_NAMES:
        verdict = rows[policy] = simulation_of(plan, seed, False, policy).play()
        table.add_row(
            policy,
            *(
                str(verdict[name])
                for name in (
                    "verdict",
                    "service",
                    "worst10s",
                    "fetches",
                    "wasted",
                    "p99_ms",
                    *RULES,
                )
            ),
        )
    console.print(table)
    print(
        orjson.dumps(
            {"plan": plan.name, "seed": seed}
            | {
                policy: verdict["service"] if verdict["verdict"] == "kept" else "broken"
                for policy, verdict in rows.items()
            }
        ).decode()
    )
    return 0


def hunt(console: Console, plan: Plan, arguments: Mapping[str, Any]) -> int:
    """Simulate random variants of a plan, and save shrunk plans of the findings."""
    runs, first = whole_number(arguments, "--runs", 100), whole_number(arguments, "--first", 0)
    jobs = whole_number(arguments, "--jobs", 0) or os.cpu_count() or 1
    out = Path(arguments["--out"] or "found")
    with Progress(
        TextColumn("hunt"),
        BarColumn(),
        TextColumn("{task.completed:.0f} of {task.total:.0f}, {task.fields[broken]} broken"),
        console=console,
        transient=True,
    ) as progress:
        task = progress.add_task("", total=runs, broken=0)
        broken = 0

        def show_progress(number: int, verdict: dict[str, Any]) -> None:
            nonlocal broken
            broken += verdict["verdict"] != "kept"
            progress.update(task, advance=1, broken=broken)

        found = hunts.hunt(plan, runs, jobs, first, show_progress)
    table = Table(title=f"largest losses of service in {runs} runs", title_justify="left")
    for name in ("run", "service", "best", "best_service", "loss"):
        table.add_column(name, justify="right")
    for row in found["losses"]:
        table.add_row(*(str(row[name]) for name in column_names(table)))
    console.print(table)
    first_by_kind: dict[str, int] = {}
    for number, verdict in found["broken"]:
        first_by_kind.setdefault(hunts.failure_kind(verdict), number)
    for kind, number in first_by_kind.items():
        console.print(f"run {number}: {kind}", markup=False)
        save_plan(
            console,
            hunts.draw_plan(plan, number),
            hunts.breaks_like(kind),
            f"run-{number}",
            f"breaks: {kind}",
            out,
            arguments,
        )
    for row in found["losses"][:1]:
        if row["loss"] > 0.02 and not first_by_kind:
            save_plan(
                console,
                hunts.draw_plan(plan, row["run"]),
                hunts.loses_like(row["best"], row["loss"]),
                f"run-{row['run']}",
                f"loses {row['loss']} to {row['best']}",
                out,
                arguments,
            )
    print(
        orjson.dumps(
            {
                "verdict": "broken" if first_by_kind else "kept",
                "runs": runs,
                "broken": len(found["broken"]),
                "sorts": first_by_kind,
                "mean_service": round(found["mean"], 4),
                "largest_loss": max((row["loss"] for row in found["losses"]), default=0.0),
            }
        ).decode()
    )
    return 1 if first_by_kind else 0


def column_names(table: Table) -> list[str]:
    """Return the headers of a table."""
    return [str(column.header) for column in table.columns]


def save_plan(
    console: Console,
    plan: Plan,
    still_shows: Any,
    name: str,
    description: str,
    out: Path,
    arguments: Mapping[str, Any],
) -> None:
    """Write a plan to `out`, shrunk as long as it `still_shows` the finding, unless `--whole`."""
    plays = 0
    if not arguments["--whole"]:
        plan, plays = hunts.shrink_plan(plan, still_shows)
    plan = hunts.name_plan(plan, name, description)
    out.mkdir(parents=True, exist_ok=True)
    path = out / f"{name}.toml"
    path.write_text(format_plan(plan))
    console.print(
        f"{path}: {len(plan.faults)} faults, {plan.duration_s:g} s, {plan.cache_count} caches, "
        f"{plan.balancer_count} balancers, after {plays} simulations",
        markup=False,
    )


if __name__ == "__main__":
    sys.exit("usage: orchidgap trial PLAN")
