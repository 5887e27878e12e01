"""A prestarted operator's command has to run exactly when it receives its arguments, or the fault test is invalid."""

import socket
import time
from types import SimpleNamespace

import pytest

from orchidgap.fault_tests.actions import StepActions
from orchidgap.fault_tests.child_processes import PrestartedCommand
from orchidgap.fault_tests.plan import ProposalOutcome, parse_action
from orchidgap.fault_tests.proposal_callers import ProposalCallers
from orchidgap.fault_tests.rollout_checker import ProposalRecord

TIMEOUT_S = 30
UNKNOWN = 3  # control does not answer


@pytest.fixture
def listener():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        sock.listen()
        yield sock


@pytest.fixture
def command():
    command = PrestartedCommand()
    yield command
    command.close()


def arguments(listener, *words):
    host, port = listener.getsockname()
    return ["change", *words, f"--at={host}:{port}"]


def test_a_prestarted_command_sends_nothing_before_it_has_its_arguments(listener, command):
    """Run before its step, it would find no balancer to evict and the change would wait forever."""
    listener.settimeout(2)
    with pytest.raises(TimeoutError):
        listener.accept()
    assert not command.has_ended()
    command.run(arguments(listener, "strike", "b0"))
    listener.settimeout(TIMEOUT_S)
    connection, _ = listener.accept()
    with connection:
        assert connection.recv(1 << 16).startswith(b"PUT ")
    assert command.process.wait(TIMEOUT_S) == UNKNOWN


def test_a_prestarted_command_without_arguments_is_never_run(listener, command):
    """A fault test that ends before the step must not evict a balancer while it closes."""
    command.process.stdin.close()
    assert command.process.wait(TIMEOUT_S) == 0
    listener.setblocking(False)
    with pytest.raises(BlockingIOError):
        listener.accept()


@pytest.mark.parametrize("line", [b'["change"', b'["change", "strike", "b0"]'])
def test_a_prestarted_command_with_an_incomplete_line_is_never_run(listener, command, line):
    """A fault test that is killed while it writes the arguments must not cause a partial command."""
    command.process.stdin.write(line)
    command.process.stdin.close()
    assert command.process.wait(TIMEOUT_S) == 0
    listener.setblocking(False)
    with pytest.raises(BlockingIOError):
        listener.accept()


class Outcomes:
    def __init__(self):
        self.received = []

    def on_outcome(self, *facts):
        self.received.append(facts)


@pytest.fixture
def callers():
    callers = ProposalCallers(Outcomes(), wait_s=0.5)
    yield callers
    callers.close()


def test_a_proposal_is_made_by_a_prestarted_command(listener, callers, tmp_path):
    """Under load an interpreter took longer to start than control waits for a proposal."""
    callers.prestart(1)
    callers.prestart(1)
    [prestarted] = callers.prestarted
    document = tmp_path / "v1.doc"
    document.write_text('{"settings": {}}')
    proposal = ProposalRecord(1, 0)
    address = arguments(listener)[-1].removeprefix("--at=")
    callers.start(proposal, document, address)
    assert not callers.prestarted
    assert [caller.command for caller in callers.running] == [prestarted]
    give_up_s = time.monotonic() + TIMEOUT_S
    listener.settimeout(TIMEOUT_S)
    connection, _ = listener.accept()
    with connection:
        assert b"v1" in connection.recv(1 << 16)
    while callers.running and time.monotonic() < give_up_s:
        time.sleep(0.02)
        callers.collect(7)
    assert callers.checker.received == [
        (proposal, ProposalOutcome.UNKNOWN, 0, "control does not answer", 7)
    ]


def test_as_many_commands_are_prestarted_as_the_next_steps_need(callers):
    """Prestarting commands again in each step would leave unused processes behind."""
    actions = StepActions.__new__(StepActions)
    actions.cluster = SimpleNamespace(proposers=callers)
    actions.prestarted_evictions = []
    steps = [parse_action(text, text) for text in ("propose good", "strike b0", "propose bad")]
    for _ in range(2):
        actions.prepare(steps)
        assert (len(callers.prestarted), len(actions.prestarted_evictions)) == (2, 1)
    actions.close()


def test_unused_prestarted_commands_end_with_the_fault_test(callers):
    callers.prestart(2)
    prestarted = list(callers.prestarted)
    callers.close()
    assert all(command.has_ended() for command in prestarted)
