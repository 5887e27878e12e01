"""Selects the targets of a fault and schedules its end."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

from orchidgap.simulation.plan import Fault, seconds_to_us
from orchidgap.simulation.servers import SimulatedHost

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

T = TypeVar("T")


def pick_targets(
    environment: Environment, fault: Fault, candidates: list[T], name: Callable[[T], str]
) -> list[T]:
    """Return the target by name, or a random sample of the plan's ratio, at least one."""
    if fault.target:
        return [candidate for candidate in candidates if name(candidate) == fault.target]
    count = max(1, round(fault.target_ratio * len(candidates)))
    return environment.rng.sample(candidates, min(count, len(candidates)))


def pick_hosts(environment: Environment, fault: Fault) -> list[SimulatedHost]:
    """Return a running host by name (cache or origin), or a sample of the running caches."""
    running = [host for host in environment.servers.values() if host.alive]
    if fault.target:
        return [host for host in running if host.id == fault.target]
    return pick_targets(
        environment,
        fault,
        [host for host in running if not host.is_origin],
        lambda host: host.id,
    )


def pick_balancers(environment: Environment, fault: Fault) -> list[str]:
    """Return a balancer by name, or a random sample of all."""
    return pick_targets(environment, fault, list(environment.balancers), str)


def origins(environment: Environment) -> list[SimulatedHost]:
    """Return all origin hosts."""
    return [host for host in environment.servers.values() if host.is_origin]


def call_at_end(
    environment: Environment, fault: Fault, callback: Callable[..., None], *args: object
) -> None:
    """Call `callback` when the fault ends."""
    environment.loop.call_later(seconds_to_us(fault.duration_s), callback, *args)


def set_attribute_until_end(
    environment: Environment,
    fault: Fault,
    objects: list[Any],
    name: str,
    value: object,
    default: object,
) -> None:
    """Set an attribute of some objects until the fault ends, then reset it to its default."""

    def set_all(new_value: object) -> None:
        for target in objects:
            setattr(target, name, new_value)

    set_all(value)
    call_at_end(environment, fault, set_all, default)
