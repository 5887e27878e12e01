"""A control process's acceptor of the register, with its disk: one durable write after another."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from functools import partial

from orchidgap.control.messages import (
    AcceptAnswer,
    AcceptRequest,
    DiskState,
    PrepareAnswer,
    PrepareRequest,
    acceptor_state_from_wire,
    acceptor_state_to_wire,
    policy_state_from_wire,
    policy_state_to_wire,
)
from orchidgap.control.process_group import ANSWER_TIMEOUT_US
from orchidgap.decisions.cas_register import NO_BALLOT, Acceptor, AcceptorState, Ballot
from orchidgap.decisions.leases import LeaseTable
from orchidgap.decisions.policy_rollout import INITIAL_STATE, PolicyState
from orchidgap.errors import ConfigError, CorruptFileError
from orchidgap.net.event_log import EventLog
from orchidgap.net.loop import Loop
from orchidgap.state.background_writer import BackgroundWriter
from orchidgap.state.durable_store import DurableStore

REGISTER_FILE = "register"
MAX_WAITING_CALLS = 256
SLOW_WRITE_US = ANSWER_TIMEOUT_US  # whoever asked has given up by then
DISK_EVENTS = {
    DiskState.SOUND: "disk recovered",
    DiskState.SLOW: "disk slow",
    DiskState.FAILING: "disk failing",
}

RegisterState = AcceptorState[PolicyState]


@dataclass(frozen=True)
class WaitingCall:
    """A call that waits for the write before it.

    Attributes:
        queued_at_us: When it came.
        run: Handles it.
        give_up: Answers that it can't be handled.
    """

    queued_at_us: int
    run: Callable[[Acceptor[PolicyState]], None]
    give_up: Callable[[], None]


class DurableAcceptor:
    """The acceptor of one control process.

    What it promises and accepts is durable before it is told. Leases are granted meanwhile,
    however long the disk takes.

    Attributes:
        name: The control process.
        acceptor: The acceptor, None while this process has lost its register and has not recovered.
        highest_ballot_count: The highest count of any ballot that this process has seen.
        disk_state: How the disk behaves.
        writer: Writes in the background.
    """

    def __init__(
        self,
        name: str,
        loop: Loop,
        clock: Callable[[], int],
        store: DurableStore,
        leases: LeaseTable,
        log: EventLog,
    ) -> None:
        """Make an acceptor that knows nothing before `load` or `recover`."""
        self.name = name
        self.loop = loop
        self.clock = clock
        self.store = store
        self.leases = leases
        self.log = log
        self.writer = BackgroundWriter(loop, store)
        self.acceptor: Acceptor[PolicyState] | None = None
        self.highest_ballot_count = 0
        self.disk_state = DiskState.SOUND
        self._waiting: deque[WaitingCall] = deque()
        self._writing_since_us: int | None = None

    @property
    def is_lost(self) -> bool:
        """Whether this process has lost its register, and may take part in nothing."""
        return self.acceptor is None

    @property
    def is_writing(self) -> bool:
        """Whether a write is under way."""
        return self._writing_since_us is not None

    @property
    def policy(self) -> PolicyState:
        """The register's value as accepted here, which need not be chosen."""
        return self.acceptor.state.value if self.acceptor else INITIAL_STATE

    @property
    def accepted_ballot(self) -> Ballot:
        """The ballot under which that value was accepted."""
        return self.acceptor.state.accepted_ballot if self.acceptor else NO_BALLOT

    def observe_ballot(self, ballot: Ballot) -> None:
        """Note a ballot that somebody uses, so that this process's next one is higher."""
        self.highest_ballot_count = max(self.highest_ballot_count, ballot[0])

    def next_ballot(self) -> Ballot:
        """Return a ballot that this process has never used, higher than any it has seen."""
        self.highest_ballot_count += 1
        return self.highest_ballot_count, self.name

    # The register's file.

    def load(self, begin_anew: bool, has_others: bool) -> None:
        """Read the register from the disk.

        Args:
            begin_anew: Begin with nothing decided where there is no register.
            has_others: Whether a lost register can be had from other processes.

        Raises:
            ConfigError: There is no register, and it can't be had; or the disk fails.
        """
        problem = ""
        content = None
        try:
            content = self.store.read(REGISTER_FILE)
        except CorruptFileError as error:
            problem = str(error)
            self.store.set_aside(REGISTER_FILE)
        if content is not None:
            self._install(acceptor_state_from_wire(content))
        elif begin_anew and not problem:
            self._create()
        elif has_others:
            self.log("register lost", why=problem or "nothing there")
        else:
            problem = problem or f"{self.store.folder} holds no register"
            raise ConfigError(
                f"{problem}; --new begins with none decided",
                location=str(self.store.folder),
                expected="a register",
            )

    def recover(self, state: RegisterState) -> None:
        """Write a register in the place of the lost one, and take part again once it is durable."""

        def on_written(durable: bool) -> None:
            if durable:
                self._install(state)
                self.log("register recovered", version=state.value.version)

        self.write_state(state, on_written)

    def write_state(self, state: RegisterState, on_written: Callable[[bool], None]) -> None:
        """Write the register; `on_written` is told whether it is durable."""
        self._writing_since_us = self.clock()
        self.writer.write(
            REGISTER_FILE, acceptor_state_to_wire(state), partial(self._on_written, on_written)
        )

    def _create(self) -> None:
        state = AcceptorState(NO_BALLOT, NO_BALLOT, INITIAL_STATE)
        try:
            self.store.write(REGISTER_FILE, acceptor_state_to_wire(state))
        except OSError as error:
            raise ConfigError(
                f"{self.store.folder}: {error.strerror}", location=str(self.store.folder)
            ) from None
        self._install(state)

    def _install(self, state: RegisterState) -> None:
        self.acceptor = Acceptor(state)
        self.observe_ballot(state.promised_ballot)

    def _on_written(self, on_written: Callable[[bool], None], error: str) -> None:
        assert self._writing_since_us is not None
        duration_us = self.clock() - self._writing_since_us
        self._writing_since_us = None
        if error:
            self._set_disk_state(DiskState.FAILING, why=error)
        else:
            slow = duration_us > SLOW_WRITE_US
            state = DiskState.SLOW if slow else DiskState.SOUND
            self._set_disk_state(state, duration_ms=duration_us // 1000)
        on_written(not error)
        self._run_waiting()

    def check_disk(self) -> None:
        """Give up the calls whose askers have, and tell of a write that takes long.

        Called regularly: behind a disk that stands still, calls must not pile up.
        """
        now_us = self.clock()
        while self._waiting and now_us - self._waiting[0].queued_at_us > ANSWER_TIMEOUT_US:
            self._waiting.popleft().give_up()
        if self._writing_since_us is None or self.disk_state is not DiskState.SOUND:
            return
        duration_us = now_us - self._writing_since_us
        if duration_us > SLOW_WRITE_US:
            self._set_disk_state(DiskState.SLOW, duration_ms=duration_us // 1000)

    def _set_disk_state(self, state: DiskState, **facts: object) -> None:
        if state is not self.disk_state:
            self.disk_state = state
            self.log(DISK_EVENTS[state], **facts)

    # The two phases of a round.

    def on_prepare(
        self, request: PrepareRequest, on_answer: Callable[[PrepareAnswer | None], None]
    ) -> None:
        """Answer the first phase, after what was asked before."""
        self._enqueue(partial(self._prepare, request, on_answer), partial(on_answer, None))

    def on_accept(
        self, request: AcceptRequest, on_answer: Callable[[AcceptAnswer | None], None]
    ) -> None:
        """Answer the second phase, after what was asked before."""
        self._enqueue(partial(self._accept, request, on_answer), partial(on_answer, None))

    def _enqueue(
        self, run: Callable[[Acceptor[PolicyState]], None], give_up: Callable[[], None]
    ) -> None:
        if len(self._waiting) >= MAX_WAITING_CALLS:
            give_up()
            return
        self._waiting.append(WaitingCall(self.clock(), run, give_up))
        if not self.is_writing:
            self.loop.call_soon(self._run_waiting)

    def _run_waiting(self) -> None:
        while self._waiting and not self.is_writing:
            call = self._waiting.popleft()
            if self.acceptor is None:
                call.give_up()
            else:
                call.run(self.acceptor)

    def _prepare(
        self,
        request: PrepareRequest,
        on_answer: Callable[[PrepareAnswer | None], None],
        acceptor: Acceptor[PolicyState],
    ) -> None:
        self.observe_ballot(request.ballot)
        state = acceptor.prepare(request.ballot)
        if state is None:
            promised_ballot = acceptor.state.promised_ballot
            on_answer(PrepareAnswer(promised=False, promised_ballot=promised_ballot))
            return

        def on_written(durable: bool) -> None:
            if not durable:
                on_answer(None)
                return
            acceptor.on_durable(state)
            answer = PrepareAnswer(
                promised=True,
                promised_ballot=state.promised_ballot,
                accepted_ballot=state.accepted_ballot,
                value=policy_state_to_wire(state.value),
            )
            on_answer(answer)

        self.write_state(state, on_written)

    def _accept(
        self,
        request: AcceptRequest,
        on_answer: Callable[[AcceptAnswer | None], None],
        acceptor: Acceptor[PolicyState],
    ) -> None:
        if request.ballot < acceptor.state.promised_ballot:
            on_answer(AcceptAnswer(accepted=False))
            return
        old_value = acceptor.state.value
        new_value = policy_state_from_wire(request.value)
        pending_members = self.leases.begin_decision(old_value, new_value, self.clock())
        if pending_members:
            on_answer(AcceptAnswer(accepted=False, pending_members=tuple(pending_members)))
            return
        state = acceptor.accept(request.ballot, new_value)
        assert state is not None

        def on_written(durable: bool) -> None:
            if not durable:
                on_answer(None)
                return
            self.leases.on_accepted()
            acceptor.on_durable(state)
            if new_value.version != old_value.version:
                self._log_version(new_value, request.ballot)
            on_answer(AcceptAnswer(accepted=True))

        self.write_state(state, on_written)

    def _log_version(self, policy: PolicyState, ballot: Ballot) -> None:
        self.log(
            "version accepted",
            version=policy.version,
            change=policy.change_id,
            ballot=ballot[0],
        )
