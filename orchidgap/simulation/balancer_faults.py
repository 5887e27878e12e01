"""Faults of balancers: they are killed, or leave and start again."""

from __future__ import annotations

from typing import TYPE_CHECKING

from orchidgap.simulation.fault_targets import call_at_end, pick_balancers
from orchidgap.simulation.plan import Fault, seconds_to_us

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

ROLL_FIRST_CHECK_US = 500_000
ROLL_CHECK_INTERVAL_US = 100_000


def balancer_kill(environment: Environment, fault: Fault) -> None:
    """Balancers are killed outright and start again at the end."""
    for name in pick_balancers(environment, fault):
        environment.balancers[name].kill()
        call_at_end(environment, fault, restart_balancer, environment, name)


def restart_balancer(environment: Environment, name: str) -> None:
    """It starts anew under its name, with nothing but the list it last had."""
    post = environment.balancers[name]
    if not post.alive:
        post.start(environment.latest_endpoint_list(name))


def balancer_roll(environment: Environment, fault: Fault) -> None:
    """One after another gets SIGTERM and starts again."""
    names = pick_balancers(environment, fault)
    for i, name in enumerate(names):
        environment.loop.call_later(
            seconds_to_us(fault.duration_s) * i // len(names), _roll_balancer, environment, name
        )


def _roll_balancer(environment: Environment, name: str) -> None:
    """Asks one balancer to leave, and starts it again once it has."""
    post = environment.balancers[name]
    post.shut_down()
    incarnation = post.incarnation

    def restart_when_gone() -> None:
        if post.incarnation == incarnation:
            if post.alive:
                environment.loop.call_later(ROLL_CHECK_INTERVAL_US, restart_when_gone)
            else:
                restart_balancer(environment, name)

    environment.loop.call_later(ROLL_FIRST_CHECK_US, restart_when_gone)
