"""The plan of a fault test: a simulation's plan with a table `control` and steps.

Only this module uses the keywords of plan files; the rest of the package uses `Condition` and
`Action`.
"""

from __future__ import annotations

import shlex
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum
from pathlib import Path
from typing import Annotated, Literal

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

ALL_CONTROL = "all"
ALL_BALANCERS = "all"
ALL_HOSTS = "hosts"
ANY_PROCESS = "any"
BAD_POLICY = "bad"
COMMON_CLASS = "base"
CLASS_PREFIX = "v"
WRITES_LATER = "later"
CONTROL_COUNTS = (0, 1, 3, 5)
ACTION_SEPARATOR = ";"


class ConditionKind(Enum):
    """The kinds of conditions that a step waits for. The values are the keywords of plan files."""

    ALL_UP = "up"
    SECONDS_PASSED = "seconds"
    EVENT_LOGGED = "log"
    PROPOSALS_ENDED = "ended"
    SERVES_VERSION = "serves"
    DENIES = "denies"
    VERSION_SEEN = "takes"
    PROCESS_ENDED = "gone"
    REQUESTS_WRITTEN = "written"


class ActionKind(Enum):
    """The kinds of actions of a step. The values are the keywords of plan files."""

    NOTHING = "nothing"
    PROPOSE = "propose"
    KILL = "kill"
    TERMINATE = "term"
    PAUSE = "stop"
    RESUME = "go"
    START = "start"
    WIPE_DISK = "wipe"
    TEAR_FILE = "tear"
    FILL_DISK = "full"
    FREE_DISK = "room"
    FAIL_DISK = "disk"
    CUT = "cut"
    STALL = "stall"
    SLOW = "slow"
    HEAL = "heal"
    EVICT = "strike"
    RELOAD = "hup"
    RANDOM_FAULT = "draw"
    SOAK_FAULT = "soak"
    END_FAULTS = "mend"
    SET_HOST_HEALTH = "hosts"
    ROLL_OUT_BY_SIGNAL = "sighup"
    MEASURE = "measure"
    SIMULATION_FAULT = "trouble"
    LOSE_DATAGRAMS = "lose"
    SEND_NOISE = "noise"
    DIAL = "dial"


class ProposalOutcome(Enum):
    """The outcome of a proposal. The values appear in plans and in the verdict line."""

    OPEN = ""
    DECIDED = "decided"
    DROPPED = "nowhere"
    UNKNOWN = "unknown"


ArgumentCounts = tuple[int, int]
"""The minimum and maximum number of words after the keyword."""

CONDITION_ARGUMENTS: dict[ConditionKind, ArgumentCounts] = {
    ConditionKind.ALL_UP: (0, 0),
    ConditionKind.SECONDS_PASSED: (1, 1),
    ConditionKind.EVENT_LOGGED: (2, 2),
    ConditionKind.PROPOSALS_ENDED: (0, 0),
    ConditionKind.SERVES_VERSION: (2, 2),
    ConditionKind.DENIES: (1, 1),
    ConditionKind.VERSION_SEEN: (1, 1),
    ConditionKind.PROCESS_ENDED: (1, 1),
    ConditionKind.REQUESTS_WRITTEN: (2, 2),
}
ACTION_ARGUMENTS: dict[ActionKind, ArgumentCounts] = {
    ActionKind.NOTHING: (0, 0),
    ActionKind.PROPOSE: (1, 2),
    ActionKind.KILL: (1, 1),
    ActionKind.TERMINATE: (1, 1),
    ActionKind.PAUSE: (1, 1),
    ActionKind.RESUME: (1, 1),
    ActionKind.START: (1, 1),
    ActionKind.WIPE_DISK: (1, 1),
    ActionKind.TEAR_FILE: (2, 2),
    ActionKind.FILL_DISK: (1, 1),
    ActionKind.FREE_DISK: (1, 1),
    ActionKind.FAIL_DISK: (4, 4),
    ActionKind.CUT: (2, 2),
    ActionKind.STALL: (2, 2),
    ActionKind.SLOW: (3, 4),
    ActionKind.HEAL: (0, 2),
    ActionKind.EVICT: (1, 1),
    ActionKind.RELOAD: (1, 1),
    ActionKind.RANDOM_FAULT: (0, 0),
    ActionKind.SOAK_FAULT: (0, 0),
    ActionKind.END_FAULTS: (0, 0),
    ActionKind.SET_HOST_HEALTH: (2, 2),
    ActionKind.ROLL_OUT_BY_SIGNAL: (0, 0),
    ActionKind.MEASURE: (1, 1),
    ActionKind.SIMULATION_FAULT: (2, 4),
    ActionKind.LOSE_DATAGRAMS: (2, 2),
    ActionKind.SEND_NOISE: (2, 2),
    ActionKind.DIAL: (4, 5),
}


@dataclass(frozen=True, slots=True)
class Condition:
    """A condition that a step waits for; `text` is its wording in the plan."""

    kind: ConditionKind
    arguments: tuple[str, ...]
    text: str


@dataclass(frozen=True, slots=True)
class Action:
    """An action of a step; `text` is its wording in the plan."""

    kind: ActionKind
    arguments: tuple[str, ...]
    text: str

    @classmethod
    def of(cls, kind: ActionKind, *arguments: object) -> Action:
        """Create an action that is not in a plan.

        >>> Action.of(ActionKind.CUT, "b0", "all").text
        'cut b0 all'
        """
        words = tuple(str(argument) for argument in arguments)
        return cls(kind, words, " ".join((kind.value, *words)))


@dataclass(frozen=True, slots=True)
class Step:
    """A condition to wait for, for at most `timeout_s`, and actions; run `repeat_count` times."""

    condition: Condition
    actions: tuple[Action, ...]
    timeout_s: float
    repeat_count: int


class ControlSettings(PlanTable, frozen=True):
    """The table `control`; without control processes balancers use only their own files."""

    count: Annotated[int, Meta(ge=0, le=5)] = 1
    lease_ms: Positive = 2_000.0
    give_up_ms: Positive = 8_000.0
    on_lost_quorum: Literal["leave", "stay"] = msgspec.field(name="alone", default="leave")


class StepTable(PlanTable, frozen=True):
    """A table `step` of a plan file."""

    when: str
    do: str = ActionKind.NOTHING.value
    within_s: Positive = 15.0
    times: Count = 1


@dataclass(frozen=True, slots=True)
class FaultTest:
    """The complete plan of a fault test.

    Attributes:
        plan: The simulation's plan: hosts, clients and load.
        control: The settings of the control processes.
        steps: The steps, in the order in which they run.
        outcomes: The expected outcomes of the proposals, in order; if empty, any are accepted.
        settle_s: How long balancers may take to serve under the decided version after all faults
            have ended, in seconds.
        failing_disks: Whether single disk operations can be made to fail.
        relays_to_hosts: Whether each balancer reaches each host through a relay of its own.
    """

    plan: Plan
    control: ControlSettings
    steps: tuple[Step, ...]
    outcomes: tuple[str, ...] = ()
    settle_s: NonNegative = 3.0
    failing_disks: bool = False
    relays_to_hosts: bool = False

    def proposal_count(self) -> int:
        """Return the highest proposed version; each repetition of a step proposes the next one."""
        proposing = (ActionKind.PROPOSE, ActionKind.ROLL_OUT_BY_SIGNAL)
        return sum(
            step.repeat_count
            for step in self.steps
            for action in step.actions
            if action.kind in proposing
        )


def class_of_version(number: int) -> str:
    """Return the request class that only this version defines."""
    return f"{CLASS_PREFIX}{number}"


def version_of_class(name: str) -> int | None:
    """Return the only version that defines this request class, None for a class of all versions.

    >>> version_of_class("v12"), version_of_class("base")
    (12, None)
    """
    number = name[len(CLASS_PREFIX) :]
    return int(number) if name.startswith(CLASS_PREFIX) and number.isdigit() else None


def split_words(text: str, known: Mapping[str, ArgumentCounts], where: str) -> list[str]:
    """Split a condition or an action into words and check their number.

    Raises:
        ScenarioError: The first word is unknown, or the number of words is wrong.
    """
    try:
        words = shlex.split(text)
    except ValueError as error:
        raise ScenarioError(f"{error} - at `{where}`") from None
    if not words or words[0] not in known:
        raise ScenarioError(f"{text!r} begins with none of {', '.join(known)} - at `{where}`")
    least, most = known[words[0]]
    if not least <= len(words) - 1 <= most:
        raise ScenarioError(f"{words[0]} takes {least} to {most} arguments - at `{where}`")
    return words


def parse_condition(text: str, where: str) -> Condition:
    """Parse the condition of a step; `where` is its position in the file, for error messages."""
    known = {kind.value: counts for kind, counts in CONDITION_ARGUMENTS.items()}
    first, *arguments = split_words(text, known, where)
    return Condition(ConditionKind(first), tuple(arguments), text)


def parse_action(text: str, where: str) -> Action:
    """Parse one action of a step; `where` is its position in the file, for error messages."""
    known = {kind.value: counts for kind, counts in ACTION_ARGUMENTS.items()}
    first, *arguments = split_words(text, known, where)
    return Action(ActionKind(first), tuple(arguments), text)


def _parse_step(table: StepTable, index: int) -> Step:
    condition = parse_condition(table.when, f"step[{index}].when")
    actions = tuple(
        parse_action(text, f"step[{index}].do") for text in table.do.split(ACTION_SEPARATOR)
    )
    return Step(condition, actions, table.within_s, table.times)


def _with_class_per_version(plan: Plan, version_count: int) -> Plan:
    """Add a request class for each version; an answer for it shows which version is in effect."""
    version_classes = [
        RequestClassSpec(class_of_version(number), 0.01, 5, 1_000, 2_000)
        for number in range(version_count + 1)
    ]
    return msgspec.structs.replace(
        plan,
        request_class_specs=(
            RequestClassSpec(COMMON_CLASS, 1.0, 5, 1_000, 2_000),
            *version_classes,
        ),
    )


def parse(text: str) -> FaultTest:
    """Parse the text of a plan.

    Raises:
        ScenarioError: The plan is invalid; the message is one line with the fault and its position.

    >>> test = parse('name = "x"\\n[[step]]\\nwhen = "up"\\ndo = "propose 1; kill b0"')
    >>> works = [work.name for work in test.plan.request_classes()]
    >>> test.control.count, test.steps[0].condition.text, works
    (1, 'up', ['base', 'v0', 'v1'])
    >>> test = parse('name = "x"\\n[[expect]]\\nstretch = "calm"\\nidle-s = 2')
    >>> test.plan.evenness_bounds[0].figures()
    {'idle-s': 2.0}
    >>> parse('name = "x"\\n[[step]]\\nwhen = "soon"')
    Traceback (most recent call last):
        ...
    orchidgap.errors.ScenarioError: 'soon' begins with none of up, seconds, log, ended, \
serves, denies, takes, gone, written - at `step[0].when`
    """
    try:
        document = tomllib.loads(text)
        control = msgspec.convert(document.pop("control", {}), ControlSettings)
        tables = msgspec.convert(document.pop("step", ()), tuple[StepTable, ...])
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"not TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise ScenarioError(str(error)) from None
    outcomes = tuple(document.pop("outcomes", ()))
    settle_s = float(document.pop("settle-s", 3.0))
    failing_disks = bool(document.pop("failing", False))
    relays_to_hosts = bool(document.pop("links", False))
    steps = tuple(_parse_step(table, index) for index, table in enumerate(tables))
    if control.count not in CONTROL_COUNTS:
        raise ScenarioError("has to be 0, 1, 3 or 5 - at `control.count`")
    plan = validate_plan(document)
    test = FaultTest(plan, control, steps, outcomes, settle_s, failing_disks, relays_to_hosts)
    proposal_count = test.proposal_count()
    if not proposal_count:
        return test
    plan = _with_class_per_version(plan, proposal_count)
    return FaultTest(plan, control, steps, outcomes, settle_s, failing_disks, relays_to_hosts)


def read(path: str) -> FaultTest:
    """Read a plan file.

    Raises:
        ScenarioError: The file is unreadable or invalid; the message is one line that begins with
            the path.
    """
    try:
        return parse(Path(path).read_text())
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except ScenarioError as error:
        raise ScenarioError(f"{path}: {error}") from None
