"""What the soak allows a balancer that it tells to end."""

import random
import signal
from types import SimpleNamespace

import pytest

from orchidgap.fault_tests.soak_faults import SoakFaults
from orchidgap.net.loop import Loop
from orchidgap.simulation.balancer_instance import KILL_MARGIN_US, BalancerInstance
from orchidgap.simulation.plan import Plan, milliseconds_to_us

DIALS_TAKE_US = 300_000


class StoodIn(BalancerInstance):
    """A balancer without a process."""


@pytest.fixture
def soak():
    """Faults for one balancer whose process is a record of signals, on a clock set by hand."""
    clock = SimpleNamespace(us=0)
    loop = Loop(clock=lambda: clock.us)
    plan = Plan(name="soak")
    environment = SimpleNamespace(loop=loop, plan=plan, port_offset=0)
    instance = StoodIn(environment, "b0", 0, 0)
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
        clock.us += DIALS_TAKE_US

    streams = SimpleNamespace(begin=dial)
    return SimpleNamespace(
        faults=SoakFaults(cluster, streams), clock=clock, loop=loop, plan=plan, signals=signals
    )


def test_a_balancer_has_all_of_its_grace_from_the_moment_of_sigterm(soak):
    # The time ran from before the dials of the turn: SIGKILL came up to 0.3 s too early beside load.
    soak.faults.retire("b0")
    while (signal.SIGKILL, soak.clock.us) not in soak.signals:
        soak.clock.us += 1_000
        soak.loop.run_once(0)
    told_us = next(at_us for number, at_us in soak.signals if number is signal.SIGTERM)
    longest_ms = max(spec.client_timeout_ms for spec in soak.plan.request_classes())
    earliest_us = told_us + milliseconds_to_us(longest_ms) + KILL_MARGIN_US
    assert earliest_us <= soak.clock.us <= earliest_us + 20_000
