"""Operator actions: drains, new settings, unusable files, new versions and silent admin calls.

Each is a function that takes the simulation, the fault's table in the plan, and the affected
balancers.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING

from orchidgap.admin import protocol
from orchidgap.simulation.admin_calls import call, open_silent_call
from orchidgap.simulation.environment import AttemptLimit
from orchidgap.simulation.plan import Fault, milliseconds_to_us, seconds_to_us
from orchidgap.simulation.unusable_settings import unusable_files

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

HEALTH_CALL_DELAY_US = 500_000  # counted from the call to drain
DRAIN_TIMEOUT_US = 4_000_000  # counted from the call to drain
# a request that is still open when the drain is checked must be at least this old
OPEN_REQUEST_MIN_AGE_US = 2_000_000
RESUME_DELAY_US = 100_000
RESUME_TIMEOUT_US = 2_000_000  # counted from the call that ends a drain
SILENT_CALLERS = 100
CONCURRENT_CALL_DELAYS_US = (50_000, 1_050_000, 3_050_000)
UNUSABLE_FILE_INTERVAL_US = 150_000
SUCCESSOR_TIMEOUT_US = 6_000_000
SUCCESSOR_POLL_INTERVAL_US = 20_000
# a predecessor is killed this long plus the longest client timeout after its SIGTERM
PREDECESSOR_GRACE_US = 700_000


def drain(environment: Environment, fault: Fault, names: list[str]) -> None:
    """Drain balancers, check them after four seconds, and resume them when the fault ends."""
    loop = environment.loop
    latest_check_us = DRAIN_TIMEOUT_US + RESUME_DELAY_US
    resume_after_us = max(latest_check_us, seconds_to_us(fault.duration_s))
    for name in names:
        call(environment, name, protocol.DRAIN)
        loop.call_later(
            HEALTH_CALL_DELAY_US, call, environment, name, protocol.HEALTH, protocol.FAILED
        )
        check_at_us = loop.now + DRAIN_TIMEOUT_US
        loop.call_later(DRAIN_TIMEOUT_US, check_drained, environment, name, check_at_us)
        loop.call_later(resume_after_us, _resume, environment, name)


def check_drained(environment: Environment, name: str, now_us: int) -> None:
    """Check a drain four seconds after the call.

    The balancer must not report ready, and it must not keep idle connections or young requests.
    """
    invariant_checker = environment.invariant_checker
    if name not in environment.ingress.not_ready_since_us:
        invariant_checker.record_breach(
            "lost", now_us, f"{name}: draining, but still reports ready"
        )
    for connection in environment.clients.open_connections(name):
        attempt = connection.attempt
        if attempt is None:
            held = "an idle connection"
        elif now_us - attempt.write_started_us < OPEN_REQUEST_MIN_AGE_US:
            held = attempt.id.decode()
        else:
            continue
        invariant_checker.record_breach("lost", now_us, f"{name}: draining, but still holds {held}")


def _resume(environment: Environment, name: str) -> None:
    """End a drain; the balancer has to report ready soon."""
    call(environment, name, protocol.RESUME)
    environment.loop.call_later(RESUME_TIMEOUT_US, _check_resumed, environment, name)


def _check_resumed(environment: Environment, name: str) -> None:
    if name in environment.ingress.not_ready_since_us and environment.is_alive(name):
        text = f"{name}: the drain ended, but it still reports not ready"
        environment.invariant_checker.record_breach("lost", environment.loop.now, text)


def silent_calls(environment: Environment, fault: Fault, names: list[str]) -> None:
    """Open `magnitude` admin calls that send nothing (100); other calls must be answered."""
    callers = round(fault.magnitude or SILENT_CALLERS)
    for name in names:
        for _ in range(callers):
            open_silent_call(environment, name)
        for after_us in CONCURRENT_CALL_DELAYS_US:
            environment.loop.call_later(
                after_us,
                call,
                environment,
                name,
                protocol.HEALTH,
                protocol.SUCCEEDED,
                protocol.FAILED,
            )


def reload_settings(environment: Environment, fault: Fault, names: list[str]) -> None:
    """Reload settings; `magnitude`, if given, is the new maximum number of attempts."""
    if fault.magnitude:
        previous = environment.attempt_limit.current
        limit = AttemptLimit(round(fault.magnitude), environment.loop.now, previous)
        environment.attempt_limit = limit
    for name in names:
        balancer = environment.balancers[name]
        endpoint_list = environment.latest_endpoint_list(name)
        document = environment.balancer_settings(balancer, endpoint_list)
        balancer.reload(json.dumps(document).encode())


def unusable_settings(environment: Environment, fault: Fault, names: list[str]) -> None:
    """Reload unusable files, one after another: nothing in them may take effect."""
    for name in names:
        balancer = environment.balancers[name]
        endpoint_list = environment.latest_endpoint_list(name)
        files = unusable_files(environment.balancer_settings(balancer, endpoint_list))
        for number, text in enumerate(files):
            after_us = number * UNUSABLE_FILE_INTERVAL_US
            environment.loop.call_later(after_us, balancer.reload, text)


def upgrade(environment: Environment, fault: Fault, names: list[str]) -> None:
    """Start a successor of each balancer in turn; its predecessor ends when it is ready."""
    for number, name in enumerate(names):
        after_us = seconds_to_us(fault.duration_s) * number // len(names)
        environment.loop.call_later(after_us, _start_successor, environment, name)


def _start_successor(environment: Environment, name: str) -> None:
    balancer = environment.balancers[name]
    if not balancer.alive:
        return
    give_up_at_us = environment.loop.now + SUCCESSOR_TIMEOUT_US
    balancer.start_successor(environment.latest_endpoint_list(name))
    _watch_successor(environment, name, give_up_at_us)


def _watch_successor(environment: Environment, name: str, give_up_at_us: int) -> None:
    """Poll until the successor is ready, then shut its predecessor down."""
    balancer = environment.balancers[name]
    loop = environment.loop
    if not balancer.alive:
        return
    if balancer.successor_is_ready():
        environment.invariant_checker.record_event(loop.now, f"{name}: the new process says yes")
        balancer.shut_down_predecessor()
        loop.call_later(_longest_shutdown_us(environment), balancer.kill_predecessor)
    elif loop.now > give_up_at_us:
        text = f"{name}: its successor was not ready in time"
        environment.invariant_checker.record_breach("late", loop.now, text)
    else:
        loop.call_later(
            SUCCESSOR_POLL_INTERVAL_US, _watch_successor, environment, name, give_up_at_us
        )


def _longest_shutdown_us(environment: Environment) -> int:
    """Return how long after its SIGTERM a predecessor that still runs is killed."""
    request_classes = environment.plan.request_classes()
    longest_ms = max(request_class.client_timeout_ms for request_class in request_classes)
    return milliseconds_to_us(longest_ms) + PREDECESSOR_GRACE_US


# by their names in a plan's file
OPERATOR_FAULTS: dict[str, Callable[[Environment, Fault, list[str]], None]] = {
    "quiesce": drain,
    "retune": reload_settings,
    "bad-settings": unusable_settings,
    "upgrade": upgrade,
    "silent-calls": silent_calls,
}
