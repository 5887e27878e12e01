"""How long a soak lets a balancer shut down before it sends SIGKILL."""

import random
import signal
from types import SimpleNamespace

import pytest

from orchidgap.fault_tests.soak_faults import SoakFaults
from orchidgap.net.loop import Loop
from orchidgap.simulation.balancer_instance import KILL_MARGIN_US, BalancerInstance
from orchidgap.simulation.plan import Plan, milliseconds_to_us

DIALING_US = 300_000


class BalancerWithoutProcess(BalancerInstance):
    """A balancer without a process."""


@pytest.fixture
def soak():
    """Return faults for one balancer, with a test double that records signals and a manual clock."""
    clock = SimpleNamespace(us=0)
    loop = Loop(clock=lambda: clock.us)
    plan = Plan(name="soak")
    environment = SimpleNamespace(loop=loop, plan=plan, port_offset=0)
    instance = BalancerWithoutProcess(environment, "b0", 0, 0)
    signals = []
    process = SimpleNamespace(
        poll=lambda: None,
        send_signal=lambda number: signals.append((signal.Signals(number), clock.us)),
        kill=lambda: signals.append((signal.SIGKILL, clock.us)),
    )
    cluster = SimpleNamespace(
        balancers={"b0": instance},
        loop=loop,
        rng=random.Random(0),
        seed=2,
        invariant_checker=SimpleNamespace(record_event=lambda at, text: None),
        process_of=lambda name: process,
    )
    instance.has_exited = lambda: False

    def dial(name, limits):
        clock.us += DIALING_US

    streams = SimpleNamespace(start_stream=dial)
    return SimpleNamespace(
        faults=SoakFaults(cluster, streams), clock=clock, loop=loop, plan=plan, signals=signals
    )


def test_the_time_to_shut_down_begins_with_sigterm(soak):
    # The time was measured from before the turn's dials: under load SIGKILL was sent up to 0.3 s too early.
    soak.faults.terminate("b0")
    while (signal.SIGKILL, soak.clock.us) not in soak.signals:
        soak.clock.us += 1_000
        soak.loop.run_once(0)
    sigterm_us = next(at_us for number, at_us in soak.signals if number is signal.SIGTERM)
    longest_ms = max(spec.client_timeout_ms for spec in soak.plan.request_classes())
    earliest_us = sigterm_us + milliseconds_to_us(longest_ms) + KILL_MARGIN_US
    assert earliest_us <= soak.clock.us <= earliest_us + 20_000
