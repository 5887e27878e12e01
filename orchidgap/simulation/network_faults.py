"""Faults of the network: connections between balancers and hosts are cut."""

from __future__ import annotations

from typing import TYPE_CHECKING

from orchidgap.simulation.fault_targets import call_at_end
from orchidgap.simulation.plan import Fault
from orchidgap.simulation.servers import SimulatedHost
from orchidgap.simulation.virtual_network import VirtualNetwork

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment


def _cut_links(
    environment: Environment, fault: Fault, hosts: list[SimulatedHost], names: list[str]
) -> None:
    """Cut the connections between some hosts and balancers until the end of the fault."""
    if not isinstance(environment.network, VirtualNetwork):
        # links between two real processes cannot be cut, so the host is silent to all
        for host in hosts:
            host.vanish(True)
            call_at_end(environment, fault, host.vanish, False)
        return
    for name in names:
        for host in hosts:
            environment.network.cut[name, host.address] = True
            host.set_partitioned(name, True)

    def end() -> None:
        assert isinstance(environment.network, VirtualNetwork)
        for name in names:
            for host in hosts:
                environment.network.cut.pop((name, host.address), None)
                host.set_partitioned(name, False)

    call_at_end(environment, fault, end)


def link_loss(environment: Environment, fault: Fault) -> None:
    """Cut a part (0.2) of the links between balancers and caches, each drawn independently."""
    ratio = fault.target_ratio or 0.2
    for host in environment.servers.values():
        if not host.is_origin:
            names = [name for name in environment.balancers if environment.rng.random() < ratio]
            if names:
                _cut_links(environment, fault, [host], names)


def partition(environment: Environment, fault: Fault) -> None:
    """Cut the target, or else half of the balancers, off from a part of the caches (0.4)."""
    names = (
        [fault.target]
        if fault.target
        else environment.rng.sample(
            list(environment.balancers), max(1, len(environment.balancers) // 2)
        )
    )
    hosts = [host for host in environment.servers.values() if not host.is_origin]
    count = max(1, round((fault.target_ratio or 0.4) * len(hosts)))
    _cut_links(environment, fault, environment.rng.sample(hosts, count), names)
