"""Faults of hosts: crash, silence, slowness, graceful shutdown or loss of cached copies."""

from __future__ import annotations

from typing import TYPE_CHECKING

from orchidgap.simulation.fault_targets import (
    call_at_end,
    origins,
    pick_hosts,
    set_attribute_until_end,
)
from orchidgap.simulation.plan import Fault, seconds_to_us
from orchidgap.simulation.servers import SimulatedHost

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

DRAIN_LINGER_S = 2.5  # time in which a draining host continues with its requests
DEPLOY_RESTART_US = 500_000
# time after the drain grace until a draining host rejects new requests
REFUSAL_DELAY_US = 200_000
DEFAULT_STALL_S = 0.4


def crash(environment: Environment, fault: Fault) -> None:
    """Hosts crash and restart at the end; discovery removes them after its delay."""
    for host in pick_hosts(environment, fault):
        host.stop()
        environment.discovery.remove_later(host.id, environment.plan.discovery.removal_delay_s)
        call_at_end(environment, fault, host.restart)


def vanish(environment: Environment, fault: Fault) -> None:
    """Hosts stop responding until the end; discovery removes them after its delay."""
    for host in pick_hosts(environment, fault):
        host.vanish(True)
        environment.discovery.remove_later(
            host.id, environment.plan.discovery.silent_removal_delay_s
        )
        call_at_end(environment, fault, host.vanish, False)


def stall(environment: Environment, fault: Fault) -> None:
    """Hosts pause for `magnitude` seconds (0.4), repeatedly until the end."""
    hosts = pick_hosts(environment, fault)
    end = environment.loop.now + seconds_to_us(fault.duration_s)
    length = seconds_to_us(fault.magnitude or DEFAULT_STALL_S)

    def stall_once() -> None:
        if environment.loop.now < end:
            for host in hosts:
                host.freeze(environment.loop.now + length)
            environment.loop.call_later(
                length + environment.rng.randrange(length, 4 * length), stall_once
            )

    stall_once()


def slow(environment: Environment, fault: Fault) -> None:
    """Hosts take `magnitude` times as long for their work (3)."""
    set_attribute_until_end(
        environment, fault, pick_hosts(environment, fault), "slowdown", fault.magnitude or 3.0, 1.0
    )


def drain_host(
    environment: Environment,
    host: SimulatedHost,
    restart_after_us: int | None,
    linger_s: float = DRAIN_LINGER_S,
) -> None:
    """List a host as draining at once; it stops after `linger_s` and may restart cold."""
    if not host.alive:
        return
    environment.discovery.set_health(host.id, "Terminating")

    def end() -> None:
        if host.alive:
            host.stop()
            environment.discovery.set_health(host.id, "Gone")
            if restart_after_us is not None:
                environment.loop.call_later(restart_after_us, host.restart)

    def refuse() -> None:
        host.draining = host.alive

    environment.loop.call_later(
        seconds_to_us(environment.plan.limits.drain_grace_ms / 1e3) + REFUSAL_DELAY_US, refuse
    )
    environment.loop.call_later(seconds_to_us(linger_s), end)


def drain(environment: Environment, fault: Fault) -> None:
    """Hosts shut down gracefully and restart later.

    They continue with their requests for `magnitude` seconds (2.5), and restart the fault's
    duration after they have stopped.
    """
    for host in pick_hosts(environment, fault):
        drain_host(
            environment, host, seconds_to_us(fault.duration_s), fault.magnitude or DRAIN_LINGER_S
        )


def deploy(environment: Environment, fault: Fault) -> None:
    """Hosts are replaced one after another, spread over the duration; successors start cold."""
    hosts = pick_hosts(environment, fault)
    for i, host in enumerate(hosts):
        at = seconds_to_us(fault.duration_s) * i // len(hosts)
        environment.loop.call_later(at, drain_host, environment, host, DEPLOY_RESTART_US)


def shrink(environment: Environment, fault: Fault) -> None:
    """Hosts shut down gracefully one after another, spread over the duration, permanently."""
    hosts = pick_hosts(environment, fault)
    for i, host in enumerate(hosts):
        environment.loop.call_later(
            seconds_to_us(fault.duration_s) * i // len(hosts), drain_host, environment, host, None
        )


def flush(environment: Environment, fault: Fault) -> None:
    """All hosts lose a random part `target_ratio` of their cached keys (0.9)."""
    for host in environment.servers.values():
        host.drop_copies(fault.target_ratio or 0.9)


def spoilt(environment: Environment, fault: Fault) -> None:
    """A part `magnitude` (0.2) of the hosts' answers is malformed."""
    set_attribute_until_end(
        environment,
        fault,
        pick_hosts(environment, fault),
        "malformed_ratio",
        fault.magnitude or 0.2,
        0.0,
    )


def slow_origin(environment: Environment, fault: Fault) -> None:
    """The origins take `magnitude` times as long for their work (4)."""
    set_attribute_until_end(
        environment, fault, origins(environment), "slowdown", fault.magnitude or 4.0, 1.0
    )


def stopped_origin(environment: Environment, fault: Fault) -> None:
    """The origins stop and restart at the end."""
    for host in origins(environment):
        host.stop()
        call_at_end(environment, fault, host.restart, False)
