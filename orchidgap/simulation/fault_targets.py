"""What a fault hits, and how it ends."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Any, TypeVar

from orchidgap.simulation.plan import Fault, seconds_to_us
from orchidgap.simulation.servers import Store

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

T = TypeVar("T")


def pick_targets(
    environment: Environment, fault: Fault, all_: list[T], name: Callable[[T], str]
) -> list[T]:
    """The target by name, or the part of all (one at least), drawn by the seed."""
    if fault.target:
        return [one for one in all_ if name(one) == fault.target]
    count = max(1, round(fault.target_ratio * len(all_)))
    return environment.rng.sample(all_, min(count, len(all_)))


def pick_hosts(environment: Environment, fault: Fault) -> list[Store]:
    """A cache host by name, also an origin; else a part of the caches that run."""
    there = [store for store in environment.servers.values() if store.alive]
    if fault.target:
        return [store for store in there if store.id == fault.target]
    return pick_targets(
        environment,
        fault,
        [store for store in there if not store.is_origin],
        lambda store: store.id,
    )


def pick_balancers(environment: Environment, fault: Fault) -> list[str]:
    """A balancer by name; else a part of all, drawn by the seed."""
    return pick_targets(environment, fault, list(environment.balancers), str)


def origins(environment: Environment) -> list[Store]:
    """All origin hosts."""
    return [store for store in environment.servers.values() if store.is_origin]


def call_at_end(
    environment: Environment, fault: Fault, act: Callable[..., None], *args: object
) -> None:
    """Calls `act` once the fault is over."""
    environment.loop.call_later(seconds_to_us(fault.duration_s), act, *args)


def set_attribute_until_end(
    environment: Environment,
    fault: Fault,
    things: list[Any],
    name: str,
    value: object,
    usual: object,
) -> None:
    """One attribute of some things is another until the fault ends, then the usual."""

    def put(what: object) -> None:
        for thing in things:
            setattr(thing, name, what)

    put(value)
    call_at_end(environment, fault, put, usual)
