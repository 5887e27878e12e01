"""What a drill plays: a trial's plan for hosts, callers and load, a table `control`, and steps of `when
SEEN do FAULT`."""

from __future__ import annotations

import shlex
import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from orchidgap.errors import ScenarioError
from orchidgap.simulation.plan import (
    Count,
    NonNegative,
    Plan,
    PlanTable,
    Positive,
    RequestClassSpec,
)
from orchidgap.simulation.plan_file import validate_plan

SEEN = {  # by the first word: how many more there are
    "up": 0,
    "seconds": 1,
    "log": 2,
    "ended": 0,
    "serves": 2,
    "denies": 1,
    "takes": 1,
    "gone": 1,
}
DO = {
    "nothing": 0,
    "propose": (1, 2),
    "kill": 1,
    "term": 1,
    "stop": 1,
    "go": 1,
    "start": 1,
    "wipe": 1,
    "tear": 2,
    "full": 1,
    "room": 1,
    "disk": 4,
    "cut": 2,
    "stall": 2,
    "slow": (3, 4),
    "heal": (0, 2),
    "strike": 1,
    "hup": 1,
    "draw": 0,
    "mend": 0,
    "hosts": 2,
    "sighup": 0,
    "measure": 1,
    "trouble": (2, 4),
    "lose": 2,
    "noise": 2,
}


class Control(PlanTable, frozen=True):
    count: Annotated[int, Meta(ge=0, le=5)] = 1  # none: balancers have their files alone
    lease_ms: Positive = 2_000.0
    give_up_ms: Positive = 8_000.0
    alone: Literal["leave", "stay"] = "leave"


class Step(PlanTable, frozen=True):
    """`when` waits for what is seen from outside, no longer than `within-s`; `do` is done then, one act or
    several."""

    when: str
    do: str = "nothing"
    within_s: Positive = 15.0
    times: Count = 1


class Drill(PlanTable, frozen=True):
    plan: Plan
    control: Control
    steps: tuple[Step, ...]
    outcomes: tuple[
        str, ...
    ] = ()  # what has to come of the proposals, in their order; none: whatever does
    settle_s: NonNegative = (
        3.0  # at the end, all healed: within so much all serve under what counts
    )
    failing: bool = False  # processes whose disks can be made to fail at a step of a write
    links: bool = False  # each balancer reaches each host by a relay


def words(text: str, known: dict[str, Any], where: str) -> list[str]:
    try:
        found = shlex.split(text)
    except ValueError as trouble:
        raise ScenarioError(f"{trouble} - at `{where}`") from None
    if not found or found[0] not in known:
        raise ScenarioError(f"{text!r} begins with none of {', '.join(known)} - at `{where}`")
    least, most = known[found[0]] if isinstance(known[found[0]], tuple) else (known[found[0]],) * 2
    if not least <= len(found) - 1 <= most:
        raise ScenarioError(f"{found[0]} takes {least} to {most} words - at `{where}`")
    return found


def versions_of(steps: tuple[Step, ...]) -> int:
    """The highest version that is proposed; a step done again proposes the next one."""
    return sum(
        step.times
        for step in steps
        for act in step.do.split(";")
        if act.split()[0] in ("propose", "sighup")
    )


def parse(text: str) -> Drill:
    """
    >>> drill = parse('name = "x"\\n[[step]]\\nwhen = "up"\\ndo = "propose 1; kill b0"')
    >>> drill.control.count, drill.steps[0].when, [work.name for work in drill.plan.request_classes()]
    (1, 'up', ['base', 'v0', 'v1'])
    >>> parse('name = "x"\\n[[expect]]\\nstretch = "calm"\\nidle-s = 2').plan.evenness_bounds[0].figures()
    {'idle-s': 2.0}
    >>> parse('name = "x"\\n[[step]]\\nwhen = "soon"')
    Traceback (most recent call last):
        ...
    orchidgap.errors.ScenarioError: 'soon' begins with none of up, seconds, log, ended, serves, denies, \
takes, gone - at `step[0].when`
    """
    try:
        told = tomllib.loads(text)
        control = msgspec.convert(told.pop("control", {}), Control)
        steps = msgspec.convert(told.pop("step", ()), tuple[Step, ...])
        more = {
            name: told.pop(name)
            for name in ("outcomes", "settle-s", "failing", "links")
            if name in told
        }
    except tomllib.TOMLDecodeError as trouble:
        raise ScenarioError(f"not TOML: {trouble}") from None
    except msgspec.ValidationError as trouble:
        raise ScenarioError(str(trouble)) from None
    for i, step in enumerate(steps):
        words(step.when, SEEN, f"step[{i}].when")
        for act in step.do.split(";"):
            words(act, DO, f"step[{i}].do")
    if control.count not in (0, 1, 3, 5):
        raise ScenarioError("none, 1, 3 or 5 can be - at `control.count`")
    plan = validate_plan(told)
    # every version has a class that no other has: what a client is answered for it tells which one governs
    if versions := versions_of(steps):
        marks = [RequestClassSpec(f"v{n}", 0.01, 5, 1_000, 2_000) for n in range(versions + 1)]
        plan = msgspec.structs.replace(
            plan, request_class_specs=(RequestClassSpec("base", 1.0, 5, 1_000, 2_000), *marks)
        )
    return Drill(
        plan,
        control,
        steps,
        tuple(more.get("outcomes", ())),
        float(more.get("settle-s", 3.0)),
        bool(more.get("failing", False)),
        bool(more.get("links", False)),
    )


def read(path: str) -> Drill:
    """Raises ScenarioError with one line."""
    try:
        return parse(Path(path).read_text())
    except OSError as trouble:
        raise ScenarioError(f"{path}: {trouble.strerror}") from None
    except ScenarioError as trouble:
        raise ScenarioError(f"{path}: {trouble}") from None
