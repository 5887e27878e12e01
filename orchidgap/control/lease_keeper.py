"""The balancer's client of control: renews its lease, promises proposals and adopts versions.

Each heartbeat is sent to all control processes at once. `LeaseState` evaluates the answers, and the
lease keeper carries out the result: it puts a version into force at the node, or checks a proposal
and writes it to disk. The first lease opens the listener.

Times are integer microseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from pathlib import Path
from random import Random
from typing import Any

from orchidgap.control.guarded_node import LeaseGuardedNode
from orchidgap.control.heartbeat import (
    CALL_TIMEOUT_US,
    FIRST_INTERVAL_US,
    Heartbeat,
    HeartbeatSchedule,
)
from orchidgap.control.messages import (
    DEREGISTER,
    LEASE,
    REGISTER,
    SETTLE,
    EmptyMessage,
    LeaseAnswer,
    LeaseRequest,
    MemberRequest,
    ProposalMessage,
    ProposalNotice,
)
from orchidgap.control.messages.stored import (
    ADOPTED_POLICY_FILE,
    PROMISED_PROPOSAL_FILE,
    AdoptedPolicy,
)
from orchidgap.control.rpc_client import RpcClient
from orchidgap.control.validation import (
    InvalidPolicyError,
    check_startup_settings,
    config_with_policy,
    settings_of,
)
from orchidgap.decisions.cas_register import quorum_size
from orchidgap.decisions.lease_state import (
    LeaseState,
    NextStep,
    ServingPermission,
    evaluate_answers,
)
from orchidgap.decisions.leases import OnLostQuorum
from orchidgap.decisions.policy_rollout import Document
from orchidgap.errors import CorruptFileError
from orchidgap.net.config import BalancerConfig, ConfigError
from orchidgap.net.event_log import EventLog
from orchidgap.net.loop import Loop, boot_clock
from orchidgap.state.background_writer import BackgroundWriter
from orchidgap.state.durable_store import DurableStore

# Mean Retry-After of requests denied without permission to serve; jitter changes it by up to half.
RETRY_AFTER_US = 1_000_000
DEREGISTER_TIMEOUT_US = 300_000
MAX_LOOP_WAIT_US = 10_000  # longest wait in one turn of the loop during deregistration


class LeaseKeeper:
    """Renews the lease of one balancer process.

    Attributes:
        lease: The lease, the promises and the version in force.
        node: The node whose requests it permits; must be set before `request_permission`.
        incarnation: The unique identifier of this process, drawn at random.
        clients: One client for each control process.
    """

    def __init__(
        self,
        config_path: str | None,
        loop: Loop,
        config: BalancerConfig,
        log: EventLog,
        store: DurableStore,
        rng: Random,
        clock: Callable[[], int] = boot_clock,
    ) -> None:
        """Create a lease keeper; it sends nothing before `request_permission`.

        Args:
            config_path: The balancer's configuration file, which is reloaded for each policy.
            loop: The event loop.
            config: The balancer's configuration; must contain the part for control.
            log: The event log.
            store: The balancer's own folder.
            rng: The random generator for the incarnation and for jitter.
            clock: A clock that continues while the machine is suspended.
        """
        assert config.control
        self.config_path = config_path
        self.loop = loop
        self.log = log
        self.store = store
        self.rng = rng
        self.clock = clock
        self.writer = BackgroundWriter(loop, store)
        self.name = config.name
        self.incarnation = f"{rng.getrandbits(64):x}"
        self.clients = [
            RpcClient(loop, address, CALL_TIMEOUT_US) for address in config.control.addresses
        ]
        self.lease = LeaseState(OnLostQuorum(config.control.on_lost_quorum), 0)
        self.node: LeaseGuardedNode
        self.on_first_lease: Callable[[], None] | None = None  # None once the listener is open
        self.heartbeat = Heartbeat(0, done=True)
        self.schedule = HeartbeatSchedule(loop, rng, lambda: self.send_heartbeat())
        # The time of the last answer received from each control process, by that process's clock.
        self.last_answers_at_us = [0] * len(self.clients)
        self.logged_permission = ServingPermission.DENIED
        self.invalid_version = 0  # a decided version that this balancer could not adopt
        self.closing = False

    # --- permission checks of the node

    def may_serve(self) -> bool:
        """Return whether the node may accept a request at this moment."""
        return self.lease.permission(self.clock()) is not ServingPermission.DENIED

    def retry_after_us(self) -> int:
        """Return the delay after which a denied client may retry, with jitter."""
        return self.rng.randrange(RETRY_AFTER_US // 2, RETRY_AFTER_US * 3 // 2)

    # --- start and shutdown

    def request_permission(self, on_first_lease: Callable[[], None]) -> None:
        """Send the first heartbeat; `on_first_lease` opens the listener."""
        self.on_first_lease = on_first_lease
        self._log_stored_policy()
        self.log(
            "lease requested",
            incarnation=self.incarnation,
            control_processes=len(self.clients),
            on_lost_quorum=self.lease.on_lost_quorum.value,
        )
        self.send_heartbeat()

    def _log_stored_policy(self) -> None:
        """Log the version stored by the previous process; control determines what is in force."""
        try:
            content: Any = self.store.read(ADOPTED_POLICY_FILE)
        except CorruptFileError as error:
            self.log("stored policy corrupt", why=str(error))
            self.store.set_aside(ADOPTED_POLICY_FILE)
            return
        if content:
            self.log("stored policy found", version=AdoptedPolicy.from_wire(content).version)

    def close(self) -> None:
        """Deregister, so that no change waits for an unused lease; then close all clients."""
        self.closing = True
        answers: list[EmptyMessage | None] = []
        for client in self.clients:
            client.call(DEREGISTER, self._member(), answers.append)
        give_up_at_us = self.loop.clock() + DEREGISTER_TIMEOUT_US
        while len(answers) < len(self.clients) and self.loop.clock() < give_up_at_us:
            self.loop.run_once(MAX_LOOP_WAIT_US)
        for client in self.clients:
            client.close()

    def _member(self) -> MemberRequest:
        return MemberRequest(name=self.name, incarnation=self.incarnation)

    # --- heartbeats

    def send_heartbeat(self) -> None:
        """Request a lease from every control process."""
        if self.closing:
            return
        self.update_permission()
        heartbeat = self.heartbeat = Heartbeat(self.clock())
        lease = self.lease
        for index, client in enumerate(self.clients):
            request = LeaseRequest(
                name=self.name,
                incarnation=self.incarnation,
                on_lost_quorum=lease.on_lost_quorum.value,
                version=lease.version,
                promised_proposal=lease.promised_proposal,
                refused_proposal=lease.refused_proposal,
                refusal_reason=lease.refusal_reason,
                last_answer_at_us=self.last_answers_at_us[index],
            )
            client.call(LEASE, request, partial(self._on_answer, heartbeat, index))
        self.schedule.send_after_backoff()  # in case no answer arrives

    def _on_answer(self, heartbeat: Heartbeat, index: int, answer: LeaseAnswer | None) -> None:
        if answer:
            self.last_answers_at_us[index] = answer.answered_at_us
        if heartbeat is not self.heartbeat or heartbeat.done or self.closing:
            return
        heartbeat.answers.append(self._validate_answer(answer))
        answers = [received for received in heartbeat.answers if received]
        chosen, granted = evaluate_answers(
            len(self.clients),
            [(received.ballot, received, received.granted) for received in answers],
        )
        if chosen is not None and (granted or not heartbeat.state_known):
            heartbeat.state_known = True
            self.schedule.failures = 0
            if granted:
                self.schedule.send_after_interval(self.clock() - heartbeat.sent_at_us)
            else:
                self.schedule.send_after(FIRST_INTERVAL_US)
            self._on_chosen_state(chosen, granted, heartbeat)
        all_answered = len(heartbeat.answers) == len(self.clients)
        if granted:
            heartbeat.done = True
        elif all_answered and not heartbeat.state_known:
            self._on_state_unknown(len(answers))
        self.update_permission()

    def _validate_answer(self, answer: LeaseAnswer | None) -> LeaseAnswer | None:
        """Return the answer, or None if the cluster has a different number of processes."""
        if answer is None or answer.process_count == len(self.clients):
            return answer
        self.log(
            "control process count differs",
            why=f"cluster has {answer.process_count} processes, this file {len(self.clients)}",
        )
        return None

    def _on_state_unknown(self, answer_count: int) -> None:
        """Retry soon; if a majority answered, have one process settle the chosen state."""
        if answer_count >= quorum_size(len(self.clients)):
            self.rng.choice(self.clients).call(SETTLE, EmptyMessage(), _ignore_answer)
            self.schedule.failures = 0
        self.schedule.retry_soon()

    # --- chosen state

    def _on_chosen_state(self, chosen: LeaseAnswer, granted: bool, heartbeat: Heartbeat) -> None:
        lease = self.lease
        lease.lease_us = chosen.lease_us
        self.schedule.interval_us = min(
            received.next_call_us for received in heartbeat.answers if received
        )
        registered = chosen.members_without_quorum.get(self.name) == self.incarnation
        update_lease = partial(
            lease.on_chosen_state,
            chosen.version,
            chosen.proposal.proposal_number if chosen.proposal else 0,
            registered,
            heartbeat.sent_at_us,
            granted,
        )
        step = update_lease()
        if step is NextStep.ADOPT_VERSION and self._adopt_chosen(chosen):
            step = update_lease()
            self.schedule.send_after(0)
        if step is NextStep.CHECK_PROPOSAL and chosen.proposal is not None:
            self.check_proposal(chosen.proposal)
        serves_without_quorum = lease.on_lost_quorum is OnLostQuorum.SERVE
        if serves_without_quorum and not registered and lease.version >= 0:
            self.rng.choice(self.clients).call(REGISTER, self._member(), _ignore_answer)

    def _adopt_chosen(self, chosen: LeaseAnswer) -> bool:
        """Adopt a decided version; return whether it could be put into force."""
        problem = "" if chosen.document else "the answer did not contain its policy"
        if not problem:
            try:
                self.adopt(chosen.document)
            except InvalidPolicyError as error:
                problem = str(error)
        if problem:
            if self.invalid_version != chosen.version:
                self.invalid_version = chosen.version
                self.log("version invalid", version=chosen.version, why=problem)
            return False
        self.invalid_version = 0
        self.lease.on_version_adopted(chosen.version)
        self.log("version adopted", version=chosen.version, change=chosen.change_id)
        adopted = AdoptedPolicy(
            version=chosen.version, change_id=chosen.change_id, document=chosen.document
        )
        # The register also contains the policy, so nothing is lost if this write fails.
        self.writer.write(ADOPTED_POLICY_FILE, adopted.to_wire(), self._on_policy_written)
        return True

    def _on_policy_written(self, failure: str) -> None:
        if failure:
            self.log("disk failing", why=failure)

    def adopt(self, document: Document) -> None:
        """Put a decided policy into force at the node immediately.

        Raises:
            InvalidPolicyError: The policy cannot be put into force at this balancer.
        """
        config = config_with_policy(document, self.config_path, None)
        if self.lease.version >= 0:
            check_startup_settings(self.node.config.settings, config.settings)
        listening = self.on_first_lease is None
        self.node.put_policy_into_force(settings_of(document), config, accepting=listening)

    # --- pending proposal

    def check_proposal(self, proposal: ProposalMessage | ProposalNotice) -> None:
        """Check a proposal and write it to disk; it is promised once the write is durable."""
        assert isinstance(proposal, ProposalMessage)
        refusal_reason = ""
        try:
            config = config_with_policy(proposal.document, self.config_path, self.node.config)
            check_startup_settings(self.node.config.settings, config.settings)
        except InvalidPolicyError as error:
            refusal_reason = str(error)
        self.lease.on_write_started(proposal.proposal_number)
        if refusal_reason:
            self.on_proposal_checked(proposal, refusal_reason)
            return

        def on_written(failure: str) -> None:
            self.on_proposal_checked(proposal, f"disk: {failure}" if failure else "")

        self.writer.write(PROMISED_PROPOSAL_FILE, proposal.to_wire(), on_written)

    def on_proposal_checked(self, proposal: ProposalMessage, refusal_reason: str) -> None:
        """Promise a proposal that is stored durably, or refuse it with this reason."""
        number = proposal.proposal_number
        if self.lease.writing_proposal != number or self.closing:
            return  # dropped or replaced during the write, or shutting down
        fields = {"version": proposal.version, "change": proposal.change_id}
        if refusal_reason:
            self.lease.refuse(number, refusal_reason)
            self.log("proposal refused", **fields, why=refusal_reason)
        else:
            self.lease.on_promise_durable(number)
            self.log("proposal promised", **fields)
        self.schedule.send_after(0)

    # --- permission to serve

    def update_permission(self) -> None:
        """Log the permission if it has changed; open the listener at the first lease."""
        permission = self.lease.permission(self.clock())
        if permission is ServingPermission.LEASE and self.on_first_lease:
            open_listener, self.on_first_lease = self.on_first_lease, None
            try:
                open_listener()
            except ConfigError as error:
                self.log("ends", why=str(error))
                self.loop.running = False
        if permission is not self.logged_permission:
            before, self.logged_permission = self.logged_permission, permission
            self.log(
                "serving permission",
                now=permission.value,
                before=before.value,
                version=self.lease.version,
            )


def _ignore_answer(answer: object) -> None:
    """Ignore an answer; the answers to the next heartbeat show the result of the call."""


def create_guarded_node(
    config_path: str | None,
    loop: Loop,
    config: BalancerConfig,
    log: EventLog,
    *node_args: Any,
    make_store: Callable[[Path], DurableStore] = DurableStore,
    **node_options: Any,
) -> tuple[LeaseGuardedNode, LeaseKeeper]:
    """Create a node whose settings come from control, and the lease keeper that guards it.

    Args:
        config_path: The balancer's configuration file, which is reloaded for each policy.
        loop: The event loop.
        config: The balancer's configuration; must contain the part for control.
        log: The event log.
        node_args: Positional arguments for the node.
        make_store: Opens the balancer's own folder.
        node_options: Keyword arguments for the node.

    Raises:
        ConfigError: The folder cannot be used.
    """
    assert config.control
    folder = config.control.folder
    try:
        store = make_store(Path(folder))
    except OSError as error:
        raise ConfigError(f"{folder}: {error.strerror}") from None
    keeper = LeaseKeeper(config_path, loop, config, log, store, Random())
    node = LeaseGuardedNode(loop, config, log, *node_args, **node_options)
    node.guard = keeper
    keeper.node = node
    return node, keeper
