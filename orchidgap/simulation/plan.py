"""What a trial plays: a TOML file, read and checked once. A bad one ends in one line and starts nothing.

Times end in `-ms` or `-s` and may have decimals; `micros` and `millis` make whole microseconds of them.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from orchidgap.errors import ScenarioError

MOST_BALANCERS = 400

Part = Annotated[float, Meta(ge=0.0, le=1.0)]
Positive = Annotated[float, Meta(gt=0.0)]
Natural = Annotated[float, Meta(ge=0.0)]
Count = Annotated[int, Meta(ge=1)]
Name = Annotated[str, Meta(pattern="^[a-z0-9][a-z0-9-]{0,39}$")]

KINDS = (
    "crash",
    "vanish",
    "stall",
    "slow",
    "deploy",
    "shrink",
    "drain",
    "flush",
    "scan",
    "hot-key",
    "hot-tenant",
    "lopsided",
    "balancer-kill",
    "balancer-roll",
    "discovery-gone",
    "discovery-late",
    "discovery-stale",
    "discovery-crowded",
    "link-loss",
    "partition",
    "spoilt",
    "bad-clients",
    "slow-origin",
    "stopped-origin",
    "load",
)


OPS_KINDS = ("quiesce", "retune", "bad-settings", "upgrade", "silent-calls")  # what operators do
RESP_KINDS = ("reshuffle", "failover", "pointing")  # with slot servers only


class BadPlan(ScenarioError):
    """One plain line: the file, the path in it, what was expected."""


def micros(seconds: float) -> int:
    """Whole microseconds of seconds."""
    return round(seconds * 1_000_000)


def millis(milliseconds: float) -> int:
    """Whole microseconds of milliseconds."""
    return round(milliseconds * 1_000)


class Table(Struct, forbid_unknown_fields=True, rename="kebab", frozen=True):
    """The common base of all tables of a plan."""


class Work(Table, frozen=True):
    """A rule set as clients use it. `share` is of all reqs, `work-ms` the mean time on a core of speed 1."""

    name: Name
    share: Positive
    work_ms: Positive
    target_ms: Positive
    timeout_ms: Positive
    effect: Literal["replayable", "uniqued", "non-replayable"] = "replayable"
    value: Positive = 1.0
    late_value: Part = 0.0
    write: bool = False
    group: Literal["all", "zone", "cell"] = "all"
    window_ms: Natural = 2_000.0
    from_s: Natural = 0.0  # clients name it from then on; settings have it a little before
    until_s: Natural = 0.0  # and until then, where that is not 0


class Bulk(Table, frozen=True):
    """Large bodies: of reads by their key, of writes by chance. A slow side passes `pace-kb` a second."""

    share: Part = 0.0  # of the keys have a large value
    uploads: Part = 0.0  # of the writes are large
    size: Count = 300_000
    slow_readers: Part = 0.0
    slow_writers: Part = 0.0
    pace_kb: Positive = 128.0


class Tenancy(Table, frozen=True):
    """`share` is what a tenant was promised, `usage` how much of that it asks for."""

    name: Name
    share: Positive
    usage: Positive = 1.0


class Model(Table, frozen=True):
    """What a host can do. Work above `queue` reqs a core waiting is turned away; above `crowd-at` reqs a core
    each further one slows all by `crowd`. Cold, it has `cold-from` of its speed, rising for `warm-s`."""

    cores: Count = 2
    speed: Positive = 0.7
    uneven: Part = 0.3  # speeds differ by up to this part, drawn by the seed
    queue: Positive = 16.0  # waiting reqs a core
    crowd_at: Positive = 6.0
    crowd: Natural = 0.05
    connect_work_ms: Natural = 0.5
    connections: Count = 600
    idle_s: Positive = 30.0
    cold_from: Annotated[float, Meta(gt=0.0, le=1.0)] = 0.3
    warm_s: Natural = 8.0
    fall_multiple: Positive = 3.0
    fall_s: Positive = 3.0
    keys: Count = 2_500  # kept at once, the longest unasked go first
    ttl_s: Natural = 0.0  # 0: until void
    errors: Part = 0.0
    forgets_expired: bool = True  # what waits and nobody waits for is dropped
    stop_s: Positive = 4.0  # the origin, once pushed over, stops for so long
    zones: Count = 1


class Keys(Table, frozen=True):
    count: Count = 20_000
    zipf: Natural = 0.85
    warm: Part = 0.95  # of the hottest keys' copies are there at the start
    size: Count = 200  # bytes of a value
    most_size: Count = 4_000


class Net(Table, frozen=True):
    same_ms: Natural = 0.2  # one way
    cross_ms: Natural = 1.0
    jitter: Part = 0.2
    connect_timeout_ms: Positive = 100.0
    lose: Part = 0.0  # of the datagrams between balancers


class Callers(Table, frozen=True):
    retries: Annotated[int, Meta(ge=0, le=5)] = 1
    backoff_ms: Natural = 60.0
    honour: Part = 0.9  # of advice when to come back is followed
    impatient: Part = 0.0  # of reqs are given up by their client early
    notice_s: Natural = 2.0  # until the front layer passes a dead balancer by
    shape: Literal["steady", "ramp", "wave"] = "steady"
    skew: Part = 0.2  # how unlike the balancers' shares of the traffic are
    busy: Part = 0.0  # of the balancers see ten times the mean
    apart: Part = 0.0  # of the reqs come to a balancer in their key's own zone


class Listing(Table, frozen=True):
    notice_s: Natural = 2.0  # until a host that ended by itself is taken off
    silent_s: Natural = 6.0  # the same for one that went silent
    add_s: Natural = 1.0


class Ceilings(Table, frozen=True):
    dispatches: Count = 4
    may_cancel: bool = True
    may_double: bool = True
    retry_after: bool = True
    most_pause_ms: Natural = 2_000.0
    drain_grace_ms: Natural = 250.0
    sockets: Annotated[int, Meta(ge=64)] = 1_024
    memory_mb: Annotated[int, Meta(ge=32)] = 192


class Trouble(Table, frozen=True):
    """`at-s` from the start, `for-s` how long; `part` of the targets or `target` by name; `size` is how much:
    the slow-down, the factor of the load, the share of the traffic, the seconds of delay."""

    kind: Literal[KINDS + OPS_KINDS + RESP_KINDS]  # type: ignore[valid-type]
    at_s: Natural
    for_s: Natural = 5.0
    part: Part = 0.0
    target: str = ""
    size: Natural = 0.0


class Stretch(Table, frozen=True):
    """What is measured by itself, from then to the next one or the end."""

    name: Name
    from_s: Natural = 0.0


class Expect(Table, frozen=True):
    """How even a stretch has to be. What is left out may be anything."""

    stretch: str
    most: Positive | None = None
    least: Natural | None = None
    herd: Positive | None = None
    idle_s: Positive | None = None
    copies: Positive | None = None
    moved: Natural | None = None
    served: Natural | None = None
    fetches: Natural | None = None
    p99_ms: Positive | None = None

    def figures(self) -> dict[str, float]:
        told: dict[str, Any] = msgspec.to_builtins(self)
        return {
            name: value for name, value in told.items() if name != "stretch" and value is not None
        }


class Plan(Table, frozen=True):
    name: Name
    seconds: Annotated[float, Meta(gt=0.0, le=7_200.0)] = 30.0
    seed: Annotated[int, Meta(ge=0)] = 1
    balancers: Annotated[int, Meta(ge=1, le=MOST_BALANCERS)] = 2
    caches: Annotated[int, Meta(ge=1, le=200)] = 6
    origins: Annotated[int, Meta(ge=1, le=4)] = 1
    rate: Positive = 150.0  # reqs a second, over all balancers
    about: str = ""
    dialect: Literal["http", "resp"] = "http"
    pool: bool = False  # balancers tell each other what they count
    pool_draw_s: Positive = 60.0  # and draw one table by it, so far apart at least
    least: Part = 0.0  # service that is expected of the decisions, checked by the short plans
    work: tuple[Work, ...] = ()
    tenant: tuple[Tenancy, ...] = ()
    cache: Model = Model()
    origin: Model = Model(
        cores=3, speed=1.0, uneven=0.0, queue=60.0, crowd=0.0, cold_from=1.0, warm_s=0.0
    )
    keys: Keys = Keys()
    bulk: Bulk = Bulk()
    net: Net = Net()
    callers: Callers = Callers()
    listing: Listing = Listing()
    ceilings: Ceilings = Ceilings()
    trouble: tuple[Trouble, ...] = ()
    stretch: tuple[Stretch, ...] = ()
    expect: tuple[Expect, ...] = ()

    def works(self) -> tuple[Work, ...]:
        return self.work or (COMMANDS if self.dialect == "resp" else USUAL)

    def tenants(self) -> tuple[Tenancy, ...]:
        return self.tenant or (Tenancy("north", 0.5), Tenancy("south", 0.3), Tenancy("hills", 0.2))


USUAL = (
    Work("view", 0.70, 30, 500, 1_500, value=1),
    Work("list", 0.22, 45, 500, 1_000, value=2),
    Work("signup", 0.05, 60, 900, 2_500, "uniqued", value=8, write=True),
    Work("submit", 0.03, 60, 900, 2_500, "non-replayable", value=8, write=True),
)


COMMANDS = (
    Work("read", 0.8, 1, 200, 1_000, value=1),
    Work("write", 0.2, 1, 200, 1_000, "non-replayable", value=2, write=True),
)


def read(path: str) -> Plan:
    """
    Takes the path of a TOML file. Raises BadPlan with one line.

    >>> read("/nowhere/plan.toml")
    Traceback (most recent call last):
        ...
    orchidgap.simulation.plan.BadPlan: /nowhere/plan.toml: No such file or directory
    """
    try:
        text = Path(path).read_text()
    except OSError as trouble:
        raise BadPlan(f"{path}: {trouble.strerror}") from None
    except UnicodeDecodeError:
        raise BadPlan(f"{path}: not UTF-8 text") from None
    try:
        return parse(text)
    except BadPlan as trouble:
        raise BadPlan(f"{path}: {trouble}") from None


def parse(text: str) -> Plan:
    """
    >>> parse('name = "x"').caches
    6
    >>> for bad in ('name = "x"\\nrate = 0', 'name = "x"\\n[cache]\\ncoers = 2', 'name = ',
    ...             'name="x"\\nseconds="9"',
    ...             'name="x"\\n[[trouble]]\\nkind="crsh"\\nat-s=1'):
    ...     try:
    ...         parse(bad)
    ...     except BadPlan as trouble:
    ...         print(trouble)
    Expected `float` > 0.0 - at `$.rate`
    Object contains unknown field `coers` - at `$.cache`
    not TOML: Invalid value (at end of document)
    Expected `float`, got `str` - at `$.seconds`
    Invalid enum value 'crsh' - at `$.trouble[...].kind`
    """
    try:
        told = tomllib.loads(text)
    except tomllib.TOMLDecodeError as trouble:
        raise BadPlan(f"not TOML: {trouble}") from None
    return checked(told)


def checked(told: Any) -> Plan:
    try:
        plan = msgspec.convert(told, Plan)
    except msgspec.ValidationError as trouble:
        raise BadPlan(str(trouble)) from None
    names = [work.name for work in plan.works()]
    if len(set(names)) < len(names):
        raise BadPlan("two rule sets of one name - at `$.work`")
    names = [tenant.name for tenant in plan.tenants()]
    if len(set(names)) < len(names):
        raise BadPlan("two tenants of one name - at `$.tenant`")
    for i, work in enumerate(plan.works()):
        if work.timeout_ms < work.target_ms:
            raise BadPlan(f"timeout-ms lies under target-ms - at `$.work[{i}]`")
        if work.effect != "replayable" and not work.write:
            raise BadPlan(f"what is not replayable must be a write - at `$.work[{i}]`")
    if plan.dialect == "resp" and any(work.effect == "uniqued" for work in plan.works()):
        raise BadPlan("commands have no marks: no rule set can be uniqued - at `$.work`")
    for i, entry in enumerate(plan.trouble):
        if entry.kind in OPS_KINDS and plan.dialect != "http":
            raise BadPlan(f'{entry.kind} wants dialect = "http" - at `$.trouble[{i}]`')
        if entry.kind in RESP_KINDS and plan.dialect != "resp":
            raise BadPlan(f'{entry.kind} wants dialect = "resp" - at `$.trouble[{i}]`')
        if entry.at_s >= plan.seconds:
            raise BadPlan(f"at-s lies behind the end ({plan.seconds:g} s) - at `$.trouble[{i}]`")
    if [one.from_s for one in plan.stretch] != sorted(one.from_s for one in plan.stretch):
        raise BadPlan("one begins before the one that stands above it - at `$.stretch`")
    return plan


def written(plan: Plan) -> str:
    """The plan as TOML, only what differs from the defaults.

    >>> parse(written(parse('name = "x"\\nrate = 9.5\\n[cache]\\ncores = 3'))).cache.cores
    3
    """
    told = msgspec.to_builtins(plan)
    usual = msgspec.to_builtins(Plan(plan.name))
    lines, tables = [], []
    for name, value in told.items():
        if name != "name" and value == usual[name]:
            continue
        if isinstance(value, dict):
            # an origin's table that is there at all stands on the defaults of any host
            base = msgspec.to_builtins(Model()) if name == "origin" else usual[name]
            rows = [f"{key} = {leaf(at)}" for key, at in value.items() if at != base[key]]
            tables += ["", f"[{name}]", *rows]
        elif isinstance(value, (list, tuple)):
            for row in value:
                rows = [f"{key} = {leaf(at)}" for key, at in row.items() if at is not None]
                tables += ["", f"[[{name}]]", *rows]
        else:
            lines.append(f"{name} = {leaf(value)}")
    return "\n".join(lines + tables) + "\n"


def leaf(value: Any) -> str:
    """
    >>> leaf(True), leaf(2), leaf(0.5), leaf('say "so"')
    ('true', '2', '0.5', '"say \\\\"so\\\\""')
    """
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return msgspec.json.encode(value).decode()
    return repr(value)
