"""Draws random faults."""

from __future__ import annotations

from orchidgap.fault_tests.cluster import Cluster
from orchidgap.fault_tests.plan import ALL_CONTROL, ALL_HOSTS, Action, ActionKind
from orchidgap.fault_tests.process import OPERATIONS

PROCESS_FAULT_WEIGHT = 2  # a fault of a process is this many times as likely as each other fault
SIGNAL_FAULTS = (ActionKind.KILL, ActionKind.PAUSE, ActionKind.TERMINATE)


def draw_fault(cluster: Cluster) -> Action:
    """Draw a fault that is possible now, at a random balancer or control process."""
    rng = cluster.rng
    balancer = rng.choice(list(cluster.balancers))
    control = rng.choice([process.name for process in cluster.controls])
    faults = [
        Action.of(ActionKind.CUT, balancer, ALL_CONTROL),
        Action.of(ActionKind.STALL, balancer, ALL_CONTROL),
        Action.of(ActionKind.STALL, ALL_CONTROL, balancer),
        Action.of(ActionKind.FILL_DISK, balancer),
        Action.of(ActionKind.SLOW, balancer, ALL_CONTROL, rng.randrange(20, 300)),
    ]
    if cluster.test.relays_to_hosts:
        faults += _host_link_faults(cluster, balancer)
    if cluster.balancers[balancer].alive:
        signals = [Action.of(kind, balancer) for kind in SIGNAL_FAULTS]
        faults += signals * PROCESS_FAULT_WEIGHT
    faults += _control_faults(cluster, control)
    if cluster.test.failing_disks:
        faults += _disk_faults(cluster, balancer, control)
    return rng.choice(faults)


def _host_link_faults(cluster: Cluster, balancer: str) -> list[Action]:
    host = cluster.rng.choice(list(cluster.servers))
    delay_ms = cluster.rng.randrange(5, 60)
    return [
        Action.of(ActionKind.CUT, balancer, ALL_HOSTS),
        Action.of(ActionKind.STALL, balancer, host),
        Action.of(ActionKind.STALL, host, balancer),
        Action.of(ActionKind.STALL, ALL_HOSTS, balancer),
        Action.of(ActionKind.SLOW, balancer, ALL_HOSTS, delay_ms, "0.1"),
    ]


def _control_faults(cluster: Cluster, control: str) -> list[Action]:
    """Return the possible faults of a control process, none while any of them has ended."""
    if not all(process.alive for process in cluster.controls):
        return []
    kill = Action.of(ActionKind.KILL, control)
    pause = Action.of(ActionKind.PAUSE, control)
    fill_disk = Action.of(ActionKind.FILL_DISK, control)
    if len(cluster.controls) == 1:
        return [kill, pause, fill_disk]
    cut = Action.of(ActionKind.CUT, ALL_CONTROL, control)
    stall = Action.of(ActionKind.STALL, control, ALL_CONTROL)
    return [kill, pause, cut, fill_disk, stall]


def _disk_faults(cluster: Cluster, balancer: str, control: str) -> list[Action]:
    rng = cluster.rng
    operation = rng.choice(OPERATIONS)
    failure = rng.choice(("ENOSPC", "EIO", "kill", "short" if operation == "write" else "EIO"))
    return [
        Action.of(ActionKind.FAIL_DISK, name, operation, rng.randrange(1, 4), failure)
        for name in (balancer, control)
    ]
