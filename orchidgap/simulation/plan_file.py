"""Reading, checking and writing of a simulation's plan, a TOML file.

Each error is a `ScenarioError` with one line, raised before anything is started.
"""

from __future__ import annotations

import tomllib
from pathlib import Path
from typing import Any

import msgspec

from orchidgap.errors import ScenarioError
from orchidgap.simulation.plan import (
    OPERATOR_FAULT_KINDS,
    RESP_FAULT_KINDS,
    HostModel,
    Plan,
)


def read_plan(path: str) -> Plan:
    """Read and check the plan in a TOML file.

    Raises:
        ScenarioError: With one line that begins with the path.

    >>> read_plan("/nowhere/plan.toml")
    Traceback (most recent call last):
        ...
    orchidgap.errors.ScenarioError: /nowhere/plan.toml: No such file or directory
    """
    try:
        text = Path(path).read_text()
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except UnicodeDecodeError:
        raise ScenarioError(f"{path}: not UTF-8 text") from None
    try:
        return parse_plan(text)
    except ScenarioError as error:
        raise ScenarioError(f"{path}: {error}") from None


def parse_plan(text: str) -> Plan:
    """Read and check a plan's TOML text; raises ScenarioError.

    >>> parse_plan('name = "x"').cache_count
    6
    >>> for bad in ('name = "x"\\nrate = 0', 'name = "x"\\n[cache]\\ncoers = 2', 'name = ',
    ...             'name="x"\\nseconds="9"',
    ...             'name="x"\\n[[trouble]]\\nkind="crsh"\\nat-s=1'):
    ...     try:
    ...         parse_plan(bad)
    ...     except ScenarioError as error:
    ...         print(error)
    Expected `float` > 0.0 - at `$.rate`
    Object contains unknown field `coers` - at `$.cache`
    not TOML: Invalid value (at end of document)
    Expected `float`, got `str` - at `$.seconds`
    Invalid enum value 'crsh' - at `$.trouble[...].kind`
    """
    try:
        table = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"not TOML: {error}") from None
    return validate_plan(table)


def validate_plan(table: Any) -> Plan:
    """Convert a decoded TOML document to a plan and check it.

    Args:
        table: The document as strings, numbers, lists and dicts, with the keys of the file.

    Raises:
        ScenarioError: With one line that ends in the path of the invalid value.
    """
    try:
        plan = msgspec.convert(table, Plan)
    except msgspec.ValidationError as error:
        raise ScenarioError(str(error)) from None
    _check_unique_names(plan)
    _check_request_classes(plan)
    _check_faults(plan)
    _check_phases(plan)
    return plan


def _check_unique_names(plan: Plan) -> None:
    class_names = [request_class.name for request_class in plan.request_classes()]
    if len(set(class_names)) < len(class_names):
        raise ScenarioError("two rule sets have the same name - at `$.work`")
    tenant_names = [tenant.name for tenant in plan.tenants()]
    if len(set(tenant_names)) < len(tenant_names):
        raise ScenarioError("two tenants have the same name - at `$.tenant`")


def _check_request_classes(plan: Plan) -> None:
    classes = plan.request_classes()
    for i, request_class in enumerate(classes):
        if request_class.client_timeout_ms < request_class.latency_objective_ms:
            raise ScenarioError(f"timeout-ms is less than target-ms - at `$.work[{i}]`")
        if request_class.effect != "replayable" and not request_class.write:
            raise ScenarioError(
                f"only a write may have another effect than replayable - at `$.work[{i}]`"
            )
    if plan.protocol == "resp" and plan.clients.leaving_ratio:
        raise ScenarioError(
            'no client leaves with dialect = "resp": leave must be 0 - at `$.callers`'
        )
    has_keyed = any(request_class.effect == "uniqued" for request_class in classes)
    if plan.protocol == "resp" and has_keyed:
        raise ScenarioError(
            'dialect = "resp" has no idempotency keys: effect cannot be uniqued - at `$.work`'
        )


def _check_faults(plan: Plan) -> None:
    for i, fault in enumerate(plan.faults):
        if fault.kind in OPERATOR_FAULT_KINDS and plan.protocol != "http":
            raise ScenarioError(f'{fault.kind} requires dialect = "http" - at `$.trouble[{i}]`')
        if fault.kind in RESP_FAULT_KINDS and plan.protocol != "resp":
            raise ScenarioError(f'{fault.kind} requires dialect = "resp" - at `$.trouble[{i}]`')
        if fault.start_s >= plan.duration_s:
            raise ScenarioError(
                f"at-s lies behind the end ({plan.duration_s:g} s) - at `$.trouble[{i}]`"
            )


def _check_phases(plan: Plan) -> None:
    starts = [phase.start_s for phase in plan.phases]
    if starts != sorted(starts):
        raise ScenarioError("a stretch starts before the previous one - at `$.stretch`")


def format_plan(plan: Plan) -> str:
    """Return the plan as TOML, without values that equal the defaults.

    >>> text = format_plan(parse_plan('name = "x"\\nrate = 9.5\\n[cache]\\ncores = 3'))
    >>> parse_plan(text).cache.cores
    3
    """
    values = msgspec.to_builtins(plan)
    defaults = msgspec.to_builtins(Plan(plan.name))
    lines: list[str] = []
    tables: list[str] = []
    for name, value in values.items():
        if name != "name" and value == defaults[name]:
            continue
        if isinstance(value, dict):
            # an origin table starts from the defaults of HostModel, not from the default origin
            base = msgspec.to_builtins(HostModel()) if name == "origin" else defaults[name]
            changed = {key: entry for key, entry in value.items() if entry != base[key]}
            tables += ["", f"[{name}]", *_format_entries(changed)]
        elif isinstance(value, (list, tuple)):
            for row in value:
                present = {key: entry for key, entry in row.items() if entry is not None}
                tables += ["", f"[[{name}]]", *_format_entries(present)]
        else:
            lines.append(f"{name} = {format_value(value)}")
    return "\n".join(lines + tables) + "\n"


def _format_entries(entries: dict[str, Any]) -> list[str]:
    return [f"{key} = {format_value(entry)}" for key, entry in entries.items()]


def format_value(value: bool | int | float | str) -> str:
    """Return a value in TOML syntax.

    >>> format_value(True), format_value(2), format_value(0.5), format_value('say "so"')
    ('true', '2', '0.5', '"say \\\\"so\\\\""')
    """
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, str):
        return msgspec.json.encode(value).decode()
    return repr(value)
