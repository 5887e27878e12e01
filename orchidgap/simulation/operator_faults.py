"""What operators do in a run: drains, new settings, unusable files, new versions, silent calls.

Each is a function of the simulation, of the fault's table in the plan, and of the balancers that it
hits.
"""

from __future__ import annotations

import json
from collections.abc import Callable
from typing import TYPE_CHECKING

from orchidgap.admin import protocol
from orchidgap.simulation.admin_calls import call, call_and_say_nothing
from orchidgap.simulation.environment import AttemptLimit
from orchidgap.simulation.plan import Fault, milliseconds_to_us, seconds_to_us
from orchidgap.simulation.unusable_settings import unusable_files

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

HEALTH_ASKED_AFTER_US = 500_000  # a drain began
DRAINED_WITHIN_US = 4_000_000  # after the call to drain
OPEN_REQUEST_MAX_AGE_US = 2_000_000  # a request this old may still be open then
RESUMED_AFTER_LOOK_US = 100_000
READY_AGAIN_WITHIN_US = 2_000_000  # after the call that ends a drain
SILENT_CALLERS = 100
CALLS_BESIDE_SILENT_US = (50_000, 1_050_000, 3_050_000)
UNUSABLE_FILE_INTERVAL_US = 150_000
SUCCESSOR_READY_WITHIN_US = 6_000_000
SUCCESSOR_LOOK_INTERVAL_US = 20_000
PREDECESSOR_GRACE_US = 700_000  # past the longest client timeout


def drain(environment: Environment, fault: Fault, names: list[str]) -> None:
    """Balancers are drained, looked at after four seconds, and resumed as the fault ends."""
    loop = environment.loop
    look_last_us = DRAINED_WITHIN_US + RESUMED_AFTER_LOOK_US
    resume_after_us = max(look_last_us, seconds_to_us(fault.duration_s))
    for name in names:
        call(environment, name, protocol.DRAIN)
        loop.call_later(
            HEALTH_ASKED_AFTER_US, call, environment, name, protocol.HEALTH, protocol.FAILED
        )
        look_at_us = loop.now + DRAINED_WITHIN_US
        loop.call_later(DRAINED_WITHIN_US, check_drained, environment, name, look_at_us)
        loop.call_later(resume_after_us, _resume, environment, name)


def check_drained(environment: Environment, name: str, now_us: int) -> None:
    """Four seconds after the call no client may be sent there, nor be kept without need."""
    invariant_checker = environment.invariant_checker
    if name not in environment.ingress.not_ready_since_us:
        invariant_checker.record_breach(
            "lost", now_us, f"{name}: was told to drain, and still says yes"
        )
    for connection in environment.clients.open_connections(name):
        attempt = connection.attempt
        if attempt is None:
            held = "an idle connection"
        elif now_us - attempt.write_started_us < OPEN_REQUEST_MAX_AGE_US:
            held = attempt.id.decode()
        else:
            continue
        invariant_checker.record_breach(
            "lost", now_us, f"{name}: was told to drain, and holds {held}"
        )


def _resume(environment: Environment, name: str) -> None:
    """A drain ends; the balancer has to say soon that it serves."""
    call(environment, name, protocol.RESUME)
    environment.loop.call_later(READY_AGAIN_WITHIN_US, _check_resumed, environment, name)


def _check_resumed(environment: Environment, name: str) -> None:
    if name in environment.ingress.not_ready_since_us and environment.is_alive(name):
        text = f"{name}: the drain ended, and it still says no"
        environment.invariant_checker.record_breach("lost", environment.loop.now, text)


def silent_calls(environment: Environment, fault: Fault, names: list[str]) -> None:
    """Callers, `magnitude` of them, say nothing; calls beside them are owed their answers."""
    callers = round(fault.magnitude or SILENT_CALLERS)
    for name in names:
        for _ in range(callers):
            call_and_say_nothing(environment, name)
        for after_us in CALLS_BESIDE_SILENT_US:
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
    """New settings count from now on; `magnitude`, if given, is how many attempts they allow."""
    if fault.magnitude:
        previous = environment.attempt_limit.current
        limit = AttemptLimit(round(fault.magnitude), environment.loop.now, previous)
        environment.attempt_limit = limit
    for name in names:
        balancer = environment.balancers[name]
        known = environment.latest_endpoint_list(name)
        document = environment.balancer_settings(balancer, known)
        balancer.reload(json.dumps(document).encode())


def unusable_settings(environment: Environment, fault: Fault, names: list[str]) -> None:
    """Files that cannot be used, one after another: nothing of them may count."""
    for name in names:
        balancer = environment.balancers[name]
        known = environment.latest_endpoint_list(name)
        files = unusable_files(environment.balancer_settings(balancer, known))
        for number, text in enumerate(files):
            after_us = number * UNUSABLE_FILE_INTERVAL_US
            environment.loop.call_later(after_us, balancer.reload, text)


def upgrade(environment: Environment, fault: Fault, names: list[str]) -> None:
    """One after another gets a new process beside the old one, which ends once that is ready."""
    for number, name in enumerate(names):
        after_us = seconds_to_us(fault.duration_s) * number // len(names)
        environment.loop.call_later(after_us, _start_successor, environment, name)


def _start_successor(environment: Environment, name: str) -> None:
    balancer = environment.balancers[name]
    if not balancer.alive:
        return
    give_up_at_us = environment.loop.now + SUCCESSOR_READY_WITHIN_US
    balancer.start_successor(environment.latest_endpoint_list(name))
    _watch_successor(environment, name, give_up_at_us)


def _watch_successor(environment: Environment, name: str, give_up_at_us: int) -> None:
    """Look until the successor is ready, then have its predecessor end."""
    balancer = environment.balancers[name]
    loop = environment.loop
    if not balancer.alive:
        return
    if balancer.successor_is_ready():
        environment.invariant_checker.record_event(loop.now, f"{name}: the new process says yes")
        balancer.shut_down_predecessor()
        loop.call_later(_longest_shutdown_us(environment), balancer.kill_predecessor)
    elif loop.now > give_up_at_us:
        text = f"{name}: no yes of the new process in time"
        environment.invariant_checker.record_breach("late", loop.now, text)
    else:
        loop.call_later(
            SUCCESSOR_LOOK_INTERVAL_US, _watch_successor, environment, name, give_up_at_us
        )


def _longest_shutdown_us(environment: Environment) -> int:
    """Return how long after its SIGTERM the predecessor is killed, where it has not ended."""
    request_classes = environment.plan.request_classes()
    longest_ms = max(request_class.client_timeout_ms for request_class in request_classes)
    return milliseconds_to_us(longest_ms) + PREDECESSOR_GRACE_US


# by their words in a plan's file
OPERATOR_FAULTS: dict[str, Callable[[Environment, Fault, list[str]], None]] = {
    "quiesce": drain,
    "retune": reload_settings,
    "bad-settings": unusable_settings,
    "upgrade": upgrade,
    "silent-calls": silent_calls,
}
