"""The faults that a plan can name, and how one of them is started.

A fault is a function that takes the simulation and the fault's table in the plan. It is called at
the fault's time; most faults undo their effect by a timer.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from orchidgap.simulation import (
    balancer_faults,
    discovery_faults,
    host_faults,
    network_faults,
    traffic_faults,
)
from orchidgap.simulation.fault_targets import pick_balancers
from orchidgap.simulation.operator_faults import OPERATOR_FAULTS
from orchidgap.simulation.plan import Fault
from orchidgap.simulation.resp_cluster import failover, pointing, reshuffle

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

# by their names in a plan's file
FAULTS: dict[str, Callable[[Environment, Fault], None]] = {
    "crash": host_faults.crash,
    "vanish": host_faults.vanish,
    "stall": host_faults.stall,
    "slow": host_faults.slow,
    "deploy": host_faults.deploy,
    "shrink": host_faults.shrink,
    "drain": host_faults.drain,
    "flush": host_faults.flush,
    "scan": traffic_faults.scan,
    "hot-key": traffic_faults.hot_key,
    "hot-tenant": traffic_faults.hot_tenant,
    "lopsided": traffic_faults.lopsided,
    "balancer-kill": balancer_faults.balancer_kill,
    "balancer-roll": balancer_faults.balancer_roll,
    "discovery-gone": discovery_faults.discovery_gone,
    "discovery-late": discovery_faults.discovery_late,
    "discovery-stale": discovery_faults.discovery_stale,
    "discovery-crowded": discovery_faults.discovery_crowded,
    "link-loss": network_faults.link_loss,
    "partition": network_faults.partition,
    "spoilt": host_faults.spoilt,
    "bad-clients": traffic_faults.bad_clients,
    "slow-origin": host_faults.slow_origin,
    "stopped-origin": host_faults.stopped_origin,
    "load": traffic_faults.load,
    "reshuffle": reshuffle,
    "failover": failover,
    "pointing": pointing,
}


def start_fault(environment: Environment, fault: Fault) -> None:
    """Record the fault among the run's events and start it."""
    description = f"{fault.kind} {fault.target} {fault.target_ratio:g} {fault.magnitude:g}"
    environment.invariant_checker.record_event(environment.loop.now, " ".join(description.split()))
    if fault.kind in OPERATOR_FAULTS:
        OPERATOR_FAULTS[fault.kind](environment, fault, pick_balancers(environment, fault))
    else:
        FAULTS[fault.kind](environment, fault)
