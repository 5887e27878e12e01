"""The register's acceptor in a control process; writes its state durably, one write at a time."""

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
MAX_QUEUED_CALLS = 256
SLOW_WRITE_US = ANSWER_TIMEOUT_US  # callers have timed out by then
DISK_EVENTS = {
    DiskState.HEALTHY: "disk recovered",
    DiskState.SLOW: "disk slow",
    DiskState.FAILING: "disk failing",
}

RegisterState = AcceptorState[PolicyState]


@dataclass(frozen=True)
class QueuedCall:
    """A call that is queued until the current write is finished.

    Attributes:
        queued_at_us: The time at which the call arrived.
        run: Handles the call.
        reject: Answers that the call cannot be handled.
    """

    queued_at_us: int
    run: Callable[[Acceptor[PolicyState]], None]
    reject: Callable[[], None]


class DurableAcceptor:
    """The acceptor of one control process.

    Promises and accepted values are durable before they are reported. Leases are granted during a
    write, however long it takes.

    Attributes:
        name: The name of the control process.
        acceptor: The acceptor, None while this process has lost its register and has not recovered.
        highest_ballot_count: The highest count of any ballot that this process has seen.
        disk_state: The state of the disk.
        writer: Writes the register's file in the background.
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
        """Create an acceptor without a register until `load` or `recover` is called."""
        self.name = name
        self.loop = loop
        self.clock = clock
        self.store = store
        self.leases = leases
        self.log = log
        self.writer = BackgroundWriter(loop, store)
        self.acceptor: Acceptor[PolicyState] | None = None
        self.highest_ballot_count = 0
        self.disk_state = DiskState.HEALTHY
        self._queue: deque[QueuedCall] = deque()
        self._writing_since_us: int | None = None

    @property
    def has_lost_register(self) -> bool:
        """Whether this process has lost its register, and must not take part in rounds."""
        return self.acceptor is None

    @property
    def is_writing(self) -> bool:
        """Whether a write is in progress."""
        return self._writing_since_us is not None

    @property
    def policy(self) -> PolicyState:
        """The register's value accepted by this process, which may not be chosen."""
        return self.acceptor.state.value if self.acceptor else INITIAL_STATE

    @property
    def accepted_ballot(self) -> Ballot:
        """The ballot under which `policy` was accepted."""
        return self.acceptor.state.accepted_ballot if self.acceptor else NO_BALLOT

    def observe_ballot(self, ballot: Ballot) -> None:
        """Record a ballot in use, so that the next ballot of this process is higher."""
        self.highest_ballot_count = max(self.highest_ballot_count, ballot[0])

    def next_ballot(self) -> Ballot:
        """Return a ballot that this process has never used, higher than any it has seen."""
        self.highest_ballot_count += 1
        return self.highest_ballot_count, self.name

    # Register file.

    def load(self, create_if_missing: bool, has_peers: bool) -> None:
        """Read the register from disk.

        Args:
            create_if_missing: Whether to create a register with nothing decided if there is none.
            has_peers: Whether a lost register can be recovered from other processes.

        Raises:
            ConfigError: There is no register and it cannot be recovered, or the disk fails.
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
        elif create_if_missing and not problem:
            self._create()
        elif has_peers:
            self.log("register lost", why=problem or "file is missing")
        else:
            problem = problem or f"{self.store.folder} contains no register"
            raise ConfigError(
                f"{problem}; --new creates a register with nothing decided",
                location=str(self.store.folder),
                expected="a register",
            )

    def recover(self, state: RegisterState) -> None:
        """Write a register in place of the lost one; use it once the write is durable."""

        def on_written(durable: bool) -> None:
            if durable:
                self._install(state)
                self.log("register recovered", version=state.value.version)

        self.write_state(state, on_written)

    def write_state(self, state: RegisterState, on_written: Callable[[bool], None]) -> None:
        """Write the register; `on_written` receives whether it is durable."""
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
            state = DiskState.SLOW if slow else DiskState.HEALTHY
            self._set_disk_state(state, duration_ms=duration_us // 1000)
        on_written(not error)
        self._run_queued()

    def check_disk(self) -> None:
        """Reject queued calls whose callers have timed out, and log a write that is slow.

        Called periodically, so that calls do not accumulate while the disk is blocked.
        """
        now_us = self.clock()
        while self._queue and now_us - self._queue[0].queued_at_us > ANSWER_TIMEOUT_US:
            self._queue.popleft().reject()
        if self._writing_since_us is None or self.disk_state is not DiskState.HEALTHY:
            return
        duration_us = now_us - self._writing_since_us
        if duration_us > SLOW_WRITE_US:
            self._set_disk_state(DiskState.SLOW, duration_ms=duration_us // 1000)

    def _set_disk_state(self, state: DiskState, **fields: object) -> None:
        if state is not self.disk_state:
            self.disk_state = state
            self.log(DISK_EVENTS[state], **fields)

    # The two phases of a round.

    def on_prepare(
        self, request: PrepareRequest, on_answer: Callable[[PrepareAnswer | None], None]
    ) -> None:
        """Queue the first phase of a round and answer it after the calls before it."""
        self._enqueue(partial(self._prepare, request, on_answer), partial(on_answer, None))

    def on_accept(
        self, request: AcceptRequest, on_answer: Callable[[AcceptAnswer | None], None]
    ) -> None:
        """Queue the second phase of a round and answer it after the calls before it."""
        self._enqueue(partial(self._accept, request, on_answer), partial(on_answer, None))

    def _enqueue(
        self, run: Callable[[Acceptor[PolicyState]], None], reject: Callable[[], None]
    ) -> None:
        if len(self._queue) >= MAX_QUEUED_CALLS:
            reject()
            return
        self._queue.append(QueuedCall(self.clock(), run, reject))
        if not self.is_writing:
            self.loop.call_soon(self._run_queued)

    def _run_queued(self) -> None:
        while self._queue and not self.is_writing:
            call = self._queue.popleft()
            if self.acceptor is None:
                call.reject()
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
