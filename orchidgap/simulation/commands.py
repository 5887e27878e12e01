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
from orchidgap.simulation.runner import TRY, keep, simulation_of

SHOWN = 12  # breaches told on the screen


def main(told: Mapping[str, Any]) -> int:
    """Takes what docopt read; gives the exit code: 1 where a rule broke, 2 for a bad plan."""
    console = Console(stderr=True, highlight=False)
    try:
        if told["try"]:
            return trial(console, TRY, told, Path(told["--out"] or "trial-out"))
        if told["report"]:
            from orchidgap.simulation.report import write_report

            console.print(f"report: {write_report(Path(told['DIR']))}")
            return 0
        if told["saturate"]:
            from orchidgap.simulation.saturate import main as saturate

            return saturate(console, whole(told, "--seconds", 5))
        plan = read_plan(told["PLAN"])
        if told["trial"]:
            return trial(console, plan, told, Path(told["--out"]) if told["--out"] else None)
        if told["compare"]:
            return compare(console, plan, told)
        return hunt(console, plan, told)
    except ScenarioError as trouble:
        console.print(f"orchidgap: {trouble}", markup=False, soft_wrap=True)
        return 2


def whole(told: Mapping[str, Any], name: str, default: int) -> int:
    try:
        number = int(told[name] or default)
        if number < 0:
            raise ValueError
        return number
    except ValueError:
        raise ScenarioError(f"{name} wants a whole number, not {told[name]!r}") from None


def trial(console: Console, plan: Plan, told: Mapping[str, Any], out: Path | None) -> int:
    seed = whole(told, "--seed", plan.seed)
    simulation = simulation_of(plan, seed, bool(told["--real"]), told["--policy"] or "orchidgap")
    length = simulated_duration_us(plan) / 1e6
    with Progress(
        TextColumn("{task.description}"),
        BarColumn(),
        TextColumn("{task.fields[line]}"),
        console=console,
        transient=True,
    ) as progress:
        task = progress.add_task(plan.name, total=length, line="")

        def tick(second: float) -> None:
            invariant_checker = simulation.invariant_checker
            up = sum(store.alive and not store.vanished for store in simulation.servers.values())
            progress.update(
                task,
                completed=second,
                line=(
                    f"{second:.0f} s  {len(invariant_checker.operations)} reqs  "
                    f"{sum(invariant_checker.breach_counts.values())} breaches  {up} hosts up"
                ),
            )

        verdict = simulation.play(tick)
    console.print(figures(plan, simulation, verdict))
    for rule, at, text in simulation.invariant_checker.breaches[:SHOWN]:
        console.print(f"{rule} at {at:.3f} s: {text}", markup=False, soft_wrap=True)
    if out:
        keep(out, simulation, verdict)
        from orchidgap.simulation.report import write_report

        console.print(f"report: {write_report(out)}", markup=False, soft_wrap=True)
    print(orjson.dumps(verdict).decode())
    return 0 if verdict["verdict"] == "kept" else 1


def figures(plan: Plan, simulation: Any, verdict: dict[str, Any]) -> Table:
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
        "fetches a read",
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


def compare(console: Console, plan: Plan, told: Mapping[str, Any]) -> int:
    """All deciders on the same plan, side by side."""
    seed = whole(told, "--seed", plan.seed)
    table = Table(title=f"{plan.name}, seed {seed}", title_justify="left")
    for name in (
        "decider",
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


def hunt(console: Console, plan: Plan, told: Mapping[str, Any]) -> int:
    runs, first = whole(told, "--runs", 100), whole(told, "--first", 0)
    jobs = whole(told, "--jobs", 0) or os.cpu_count() or 1
    out = Path(told["--out"] or "found")
    with Progress(
        TextColumn("hunt"),
        BarColumn(),
        TextColumn("{task.completed:.0f} of {task.total:.0f}, {task.fields[broken]} broken"),
        console=console,
        transient=True,
    ) as progress:
        task = progress.add_task("", total=runs, broken=0)
        broken = 0

        def seen(number: int, verdict: dict[str, Any]) -> None:
            nonlocal broken
            broken += verdict["verdict"] != "kept"
            progress.update(task, advance=1, broken=broken)

        found = hunts.hunt(plan, runs, jobs, first, seen)
    table = Table(title=f"largest losses of {runs} runs", title_justify="left")
    for name in ("run", "service", "best", "best_service", "loss"):
        table.add_column(name, justify="right")
    for row in found["losses"]:
        table.add_row(*(str(row[name]) for name in table_names(table)))
    console.print(table)
    sorts: dict[str, int] = {}
    for number, verdict in found["broken"]:
        sorts.setdefault(hunts.failure_kind(verdict), number)
    for sort, number in sorts.items():
        console.print(f"run {number}: {sort}", markup=False)
        save(
            console,
            hunts.draw_plan(plan, number),
            hunts.breaks_like(sort),
            f"run-{number}",
            f"breaks: {sort}",
            out,
            told,
        )
    for row in found["losses"][:1]:
        if row["loss"] > 0.02 and not sorts:
            save(
                console,
                hunts.draw_plan(plan, row["run"]),
                hunts.loses_like(row["best"], row["loss"]),
                f"run-{row['run']}",
                f"loses {row['loss']} to {row['best']}",
                out,
                told,
            )
    print(
        orjson.dumps(
            {
                "verdict": "broken" if sorts else "kept",
                "runs": runs,
                "broken": len(found["broken"]),
                "sorts": sorts,
                "mean_service": round(found["mean"], 4),
                "largest_loss": max((row["loss"] for row in found["losses"]), default=0.0),
            }
        ).decode()
    )
    return 1 if sorts else 0


def table_names(table: Table) -> list[str]:
    return [str(column.header) for column in table.columns]


def save(
    console: Console,
    plan: Plan,
    still: Any,
    name: str,
    about: str,
    out: Path,
    told: Mapping[str, Any],
) -> None:
    plays = 0
    if not told["--whole"]:
        plan, plays = hunts.shrink_plan(plan, still)
    plan = hunts.name_plan(plan, name, about)
    out.mkdir(parents=True, exist_ok=True)
    path = out / f"{name}.toml"
    path.write_text(format_plan(plan))
    console.print(
        f"{path}: {len(plan.faults)} troubles, {plan.duration_s:g} s, {plan.cache_count} caches, "
        f"{plan.balancer_count} balancers, after {plays} plays",
        markup=False,
    )


if __name__ == "__main__":
    sys.exit("run it as: orchidgap trial PLAN")
