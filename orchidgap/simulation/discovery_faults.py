"""Faults of discovery: it is silent, late, frozen or crowded."""

from __future__ import annotations

from typing import TYPE_CHECKING

from orchidgap.simulation.fault_targets import call_at_end, pick_balancers, set_attribute_until_end
from orchidgap.simulation.plan import Fault, seconds_to_us

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment


def _set_discovery_fault(
    environment: Environment,
    fault: Fault,
    silent: bool = False,
    lag_us: int = 0,
    frozen: bool = False,
) -> None:
    """Set a fault of the balancers' discovery agents until the end; of all if none is named."""
    agents = [
        environment.discovery.agents[name]
        for name in (
            pick_balancers(environment, fault)
            if fault.target or fault.target_ratio
            else environment.balancers
        )
    ]
    for agent in agents:
        agent.set_fault(silent, lag_us, frozen)

    def end() -> None:
        for agent in agents:
            agent.set_fault()

    call_at_end(environment, fault, end)


def discovery_crowded(environment: Environment, fault: Fault) -> None:
    """A part `magnitude` of the calls for the list is rejected (0.9)."""
    agents = list(environment.discovery.agents.values())
    set_attribute_until_end(
        environment, fault, agents, "rejection_ratio", fault.magnitude or 0.9, 0.0
    )
    for agent in agents:  # also end watches in progress
        for link in list(agent.connections):
            link.conn.close()
            agent.connections.pop(link, None)


def discovery_gone(environment: Environment, fault: Fault) -> None:
    """Discovery does not answer."""
    _set_discovery_fault(environment, fault, silent=True)


def discovery_late(environment: Environment, fault: Fault) -> None:
    """Discovery reports changes `magnitude` seconds late (4)."""
    _set_discovery_fault(environment, fault, lag_us=seconds_to_us(fault.magnitude or 4.0))


def discovery_stale(environment: Environment, fault: Fault) -> None:
    """Discovery continues to send the current list, whatever changes."""
    _set_discovery_fault(environment, fault, frozen=True)
