"""Faults of the traffic: more load, shifted load, or requests that cannot be served."""

from __future__ import annotations

from typing import TYPE_CHECKING

from orchidgap.simulation.bad_clients import send_bad_requests
from orchidgap.simulation.clients import HotKeys
from orchidgap.simulation.fault_targets import call_at_end, pick_balancers, set_attribute_until_end
from orchidgap.simulation.plan import Fault, seconds_to_us

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

MAX_BALANCER_RATIO = 0.95  # largest part of all traffic that one balancer receives


def scan(environment: Environment, fault: Fault) -> None:
    """A part `magnitude` of the reads (0.1) scans keys that no other client requests."""
    set_attribute_until_end(
        environment, fault, [environment.clients], "scan_ratio", fault.magnitude or 0.1, 0.0
    )


def hot_key(environment: Environment, fault: Fault) -> None:
    """A part `magnitude` of all requests (0.2) is for one to three keys, or for the target key."""
    keys = environment.rng.sample(
        range(environment.plan.keys.count // 4, environment.plan.keys.count),
        environment.rng.randrange(1, 4),
    )
    hot_keys = [int(fault.target)] if fault.target.isdigit() else keys
    hot = HotKeys(fault.magnitude or 0.2, hot_keys)
    nothing_hot = HotKeys(0.0, [])
    clients = [environment.clients]
    set_attribute_until_end(environment, fault, clients, "hot_keys", hot, nothing_hot)


def hot_tenant(environment: Environment, fault: Fault) -> None:
    """One tenant sends `magnitude` times its load (4)."""
    name = fault.target or environment.plan.tenants()[0].name
    environment.clients.demand_factors[name] = fault.magnitude or 4.0
    call_at_end(environment, fault, _remove, environment.clients.demand_factors, name)


def lopsided(environment: Environment, fault: Fault) -> None:
    """One balancer suddenly receives a part `magnitude` of all traffic (0.7)."""
    name = pick_balancers(environment, fault)[0]
    ratios = environment.clients.weights.traffic_ratios
    ratios[name] = min(MAX_BALANCER_RATIO, fault.magnitude or 0.7)
    call_at_end(environment, fault, _remove, ratios, name)


def bad_clients(environment: Environment, fault: Fault) -> None:
    """Clients send `magnitude` requests a second (20) that cannot be served."""
    send_bad_requests(
        environment.clients,
        environment.loop.now + seconds_to_us(fault.duration_s),
        round(1e6 / (fault.magnitude or 20.0)),
    )


def load(environment: Environment, fault: Fault) -> None:
    """All traffic is multiplied by `magnitude` (4)."""
    set_attribute_until_end(
        environment, fault, [environment.clients], "load", fault.magnitude or 4.0, 1.0
    )


def _remove(entries: dict[str, float], name: str) -> None:
    entries.pop(name, None)
