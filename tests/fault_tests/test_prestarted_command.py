"""An operator's command that waits for its word: run early, or not at all, it would spoil the drill."""

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


def test_a_held_command_asks_for_nothing_before_its_word(listener, command):
    """Run before its step, it would find no balancer to evict and the change would wait for ever."""
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


def test_a_held_command_without_its_word_is_never_run(listener, command):
    """A drill that ends before the step must not evict anybody as it closes."""
    command.process.stdin.close()
    assert command.process.wait(TIMEOUT_S) == 0
    listener.setblocking(False)
    with pytest.raises(BlockingIOError):
        listener.accept()


@pytest.mark.parametrize("word", [b'["change"', b'["change", "strike", "b0"]'])
def test_a_held_command_whose_word_is_cut_off_is_never_run(listener, command, word):
    """A drill that is killed as it gives the word must not run half of it."""
    command.process.stdin.write(word)
    command.process.stdin.close()
    assert command.process.wait(TIMEOUT_S) == 0
    listener.setblocking(False)
    with pytest.raises(BlockingIOError):
        listener.accept()


class Outcomes:
    def __init__(self):
        self.told = []

    def on_outcome(self, *facts):
        self.told.append(facts)


@pytest.fixture
def callers():
    callers = ProposalCallers(Outcomes(), wait_s=0.5)
    yield callers
    callers.close()


def test_a_proposal_is_made_by_a_command_that_was_held_for_it(listener, callers, tmp_path):
    """An interpreter that started beside load took longer than control waits for a proposal."""
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
    assert callers.checker.told == [
        (proposal, ProposalOutcome.UNKNOWN, 0, "control does not answer", 7)
    ]


def test_as_many_commands_are_held_as_the_steps_ahead_need(callers):
    """One that is held for each step again would leave processes behind."""
    actions = StepActions.__new__(StepActions)
    actions.cluster = SimpleNamespace(proposers=callers)
    actions.prestarted_evictions = []
    steps = [parse_action(text, text) for text in ("propose good", "strike b0", "propose bad")]
    for _ in range(2):
        actions.prepare(steps)
        assert (len(callers.prestarted), len(actions.prestarted_evictions)) == (2, 1)
    actions.close()


def test_commands_that_were_not_needed_end_with_the_drill(callers):
    callers.prestart(2)
    prestarted = list(callers.prestarted)
    callers.close()
    assert all(command.has_ended() for command in prestarted)
