"""Faults of balancers: kills and rolling restarts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from orchidgap.simulation.fault_targets import call_at_end, pick_balancers
from orchidgap.simulation.plan import Fault, seconds_to_us

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

ROLL_FIRST_CHECK_US = 500_000
ROLL_CHECK_INTERVAL_US = 100_000


def balancer_kill(environment: Environment, fault: Fault) -> None:
    """Kill balancers, and start them again at the end of the fault."""
    for name in pick_balancers(environment, fault):
        environment.balancers[name].kill()
        call_at_end(environment, fault, restart_balancer, environment, name)


def restart_balancer(environment: Environment, name: str) -> None:
    """Start a balancer again under its name, with only its last endpoint list."""
    balancer = environment.balancers[name]
    if not balancer.alive:
        balancer.start(environment.latest_endpoint_list(name))


def balancer_roll(environment: Environment, fault: Fault) -> None:
    """Send SIGTERM to one balancer after another, and start each again."""
    names = pick_balancers(environment, fault)
    for i, name in enumerate(names):
        environment.loop.call_later(
            seconds_to_us(fault.duration_s) * i // len(names), _roll_balancer, environment, name
        )


def _roll_balancer(environment: Environment, name: str) -> None:
    """Shut one balancer down, and start it again once it has ended."""
    balancer = environment.balancers[name]
    balancer.shut_down()
    incarnation = balancer.incarnation

    def restart_when_ended() -> None:
        if balancer.incarnation == incarnation:
            if balancer.alive:
                environment.loop.call_later(ROLL_CHECK_INTERVAL_US, restart_when_ended)
            else:
                restart_balancer(environment, name)

    environment.loop.call_later(ROLL_FIRST_CHECK_US, restart_when_ended)
