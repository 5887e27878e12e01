"""The deadlines of a paused balancer's requests count from its SIGCONT."""

import signal
from types import SimpleNamespace

from orchidgap.fault_tests.cluster import Cluster
from orchidgap.net.loop import Loop
from orchidgap.simulation.balancer_instance import Pause
from orchidgap.simulation.observations import ClientAttempt, Operation
from orchidgap.simulation.plan import RequestClassSpec

TIMEOUT_US = 1_000_000
READ = RequestClassSpec(
    share=1.0,
    work_ms=10.0,
    name="read",
    latency_objective_ms=500.0,
    client_timeout_ms=TIMEOUT_US / 1e3,
)
TEST_STALL_US = 735_000


def test_a_paused_balancer_is_checked_from_its_sigcont_and_not_from_the_begin_of_the_turn():
    # The test process was stalled between the time of its turn and SIGCONT: two refusals sent 10 ms
    # after SIGCONT were reported as "held back for 736 ms".
    clock = SimpleNamespace(us=1_000)
    loop = Loop(clock=lambda: clock.us)
    sent = []

    def stall_and_send(number):
        clock.us += TEST_STALL_US
        sent.append((number, clock.us))

    attempt = ClientAttempt(b"q1", Operation(0, READ, "", 0, 1, 0), "b0", 1, 500, TIMEOUT_US)
    instance = SimpleNamespace(pauses=[Pause(600, 900)])
    cluster = SimpleNamespace(
        loop=loop,
        balancers={"b0": instance},
        process_of=lambda name: SimpleNamespace(send_signal=stall_and_send),
        invariant_checker=SimpleNamespace(client_attempts={b"q1": attempt}),
    )
    Cluster.resume(cluster, "b0")
    resumed_us = 1_000 + TEST_STALL_US
    assert sent == [(signal.SIGCONT, resumed_us)]
    assert attempt.last_attempt_ended_us == resumed_us
    assert attempt.deadline_us == resumed_us + TIMEOUT_US
    assert instance.pauses == [Pause(600, resumed_us + 1_000_000)]
