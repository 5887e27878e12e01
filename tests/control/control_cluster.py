"""Control processes on a virtual clock; calls between them take one millisecond in each direction."""

import json
from random import Random

import orjson
from immediate_writer import ImmediateWriter

from orchidgap.control.messages import (
    CHANGE,
    LEASE,
    PROPOSE,
    ChangeRequest,
    LeaseRequest,
    ProposeRequest,
)
from orchidgap.control.process import ControlProcess
from orchidgap.control.process_config import ProcessConfig
from orchidgap.simulation.virtual_clock import VirtualClockLoop
from orchidgap.state.durable_store import DurableStore

LEASE_US = 2_000_000
DELAY_US = 1_000
TIMEOUT_US = 500_000
DOCUMENT = {"settings": {"rule-sets": [{"name": "a", "effect": "retryable", "client-timeout": 9}]}}


def json_round_trip(wire):
    return json.loads(orjson.dumps(wire))


class ManualWriter:
    """A background writer whose writes end when the test calls the callbacks in `pending`."""

    def __init__(self):
        self.pending = []

    def write(self, name, content, on_written):
        self.pending.append(on_written)


class LocalCaller:
    """Delivers the calls of one process to another, unless one of them is partitioned."""

    def __init__(self, cluster, caller, target):
        self.cluster, self.caller, self.target = cluster, caller, target

    def call(self, method, request, on_answer):
        loop = self.cluster.loop
        if {self.caller, self.target} & self.cluster.partitioned:
            loop.call_later(TIMEOUT_US, on_answer, None)
            return

        def on_wire_answer(wire):
            answer = wire and method.answer_type.from_wire(json_round_trip(wire))
            loop.call_later(DELAY_US, on_answer, answer)

        server = self.cluster.processes[self.target].server
        wire = json_round_trip(request.to_wire())
        loop.call_later(DELAY_US, server.dispatch, method.path, wire, on_wire_answer)


class ControlCluster:
    """Several control processes, each with its own folder; those in `partitioned` are unreachable."""

    def __init__(self, folder, count):
        self.loop, self.partitioned, self.log = VirtualClockLoop(), set(), []
        names = [f"k{number}" for number in range(count)]
        self.processes = {}
        for name in names:
            others = {other: LocalCaller(self, name, other) for other in names if other != name}
            addresses = dict.fromkeys(names, ("127.0.0.1", 1))
            store = DurableStore(folder / name)
            process = ControlProcess(
                self.loop,
                ProcessConfig(name, addresses, str(folder), LEASE_US, 6 * LEASE_US, False),
                others,
                store,
                lambda event, name=name, **fields: self.log.append((name, event, fields)),
                Random(name),
                lambda: self.loop.now,
            )
            process.acceptor.writer = ImmediateWriter(self.loop, store)
            self.processes[name] = process

    def start(self):
        for process in self.processes.values():
            process.start(create_if_missing=True)

    def run(self, duration_us):
        self.loop.run_until(self.loop.now + duration_us)

    def call(self, name, method, request):
        """Calls one process; returns a list to which its answer is appended."""
        answers = []

        def on_wire_answer(wire):
            answers.append(
                None if wire is None else method.answer_type.from_wire(json_round_trip(wire))
            )

        wire = json_round_trip(request.to_wire())
        self.processes[name].server.dispatch(method.path, wire, on_wire_answer)
        return answers

    def call_and_wait(self, name, method, request, within_us=5_000_000):
        """Calls one process and advances the clock; returns the answer, None if there was none."""
        answers = self.call(name, method, request)
        self.run(within_us)
        return answers[0] if answers else None

    def request_lease(
        self,
        name,
        balancer,
        promised=0,
        last_answer_at_us=0,
        version=0,
        refused=0,
        reason="",
    ):
        request = LeaseRequest(
            name=balancer,
            incarnation="1",
            on_lost_quorum="leave",
            version=version,
            promised_proposal=promised,
            refused_proposal=refused,
            refusal_reason=reason,
            last_answer_at_us=last_answer_at_us,
        )
        return self.call_and_wait(name, LEASE, request, 0)

    def request_all_leases(self, balancer, **fields):
        """Requests a lease from every process, as a balancer that has received all answers so far."""
        return [
            self.request_lease(name, balancer, last_answer_at_us=self.loop.now, **fields)
            for name in self.processes
        ]

    def propose(self, name, change_id, known_proposal_count=0):
        request = ProposeRequest(
            change_id=change_id,
            document=DOCUMENT,
            again=False,
            known_proposal_count=known_proposal_count,
        )
        return self.call_and_wait(name, PROPOSE, request, 200_000)

    def query_change(self, name, change_id):
        return self.call_and_wait(name, CHANGE, ChangeRequest(change_id=change_id), 1_000_000)
