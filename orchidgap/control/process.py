"""A control process: its components, startup and shutdown."""

from __future__ import annotations

import signal
import time
from collections.abc import Callable, Mapping
from pathlib import Path
from random import Random

from orchidgap.control.acceptor import DurableAcceptor
from orchidgap.control.lease_service import LeaseService
from orchidgap.control.messages import (
    ACCEPT,
    CHANGE,
    CHECK,
    DEREGISTER,
    EVICT,
    LEASE,
    PREPARE,
    PROGRESS,
    PROPOSE,
    REGISTER,
    SETTLE,
    STATUS,
)
from orchidgap.control.operator_service import OperatorService
from orchidgap.control.process_config import ProcessConfig, read_process_config
from orchidgap.control.process_group import ANSWER_TIMEOUT_US, Caller, ProcessGroup
from orchidgap.control.proposer import RegisterProposer
from orchidgap.control.rollout_driver import RolloutDriver
from orchidgap.control.rpc_client import RpcClient
from orchidgap.control.rpc_server import RpcServer
from orchidgap.decisions.cas_register import AcceptorState
from orchidgap.decisions.leases import LeaseTable
from orchidgap.decisions.policy_rollout import PolicyState
from orchidgap.errors import ConfigError
from orchidgap.net.addresses import format_address
from orchidgap.net.event_log import EventLog
from orchidgap.net.loop import Loop, boot_clock
from orchidgap.net.signals import watch_signals
from orchidgap.state.durable_store import DurableStore

TICK_US = 100_000  # plus a random delay of up to a quarter
LOCK_TIMEOUT_S = 30.0
LOCK_RETRY_S = 0.05


class ControlProcess:
    """One control process, without its sockets and signals.

    Attributes:
        acceptor: The register's acceptor in this process.
        leases: The leases granted by this process.
        proposer: Changes the register.
        driver: Decides or drops the pending proposal.
        group: All control processes.
        server: Handles the calls to this process.
    """

    def __init__(
        self,
        loop: Loop,
        config: ProcessConfig,
        others: Mapping[str, Caller],
        store: DurableStore,
        log: EventLog,
        rng: Random,
        clock: Callable[[], int] = boot_clock,
    ) -> None:
        """Create a process that has not started.

        Args:
            loop: The event loop.
            config: The configuration of this process.
            others: The callers for the other processes, by name.
            store: The folder of this process.
            log: The event log.
            rng: The random generator that spreads ticks and retries of rounds.
            clock: A clock in microseconds that continues while the machine is suspended.
        """
        self.loop = loop
        self.rng = rng
        self.clock = clock
        self.server = RpcServer(loop)
        self.group = ProcessGroup(loop, config.name, others, self.server)
        self.leases = LeaseTable(config.lease_us, clock())
        self.acceptor = DurableAcceptor(config.name, loop, clock, store, self.leases, log)
        self.proposer = RegisterProposer(loop, rng, self.group, self.acceptor)
        self.driver = RolloutDriver(
            clock,
            self.group,
            self.acceptor,
            self.leases,
            self.proposer,
            config.give_up_us,
            log,
        )
        self._add_handlers()

    def _add_handlers(self) -> None:
        lease_service = LeaseService(
            self.clock, self.acceptor, self.leases, self.proposer, len(self.group.names)
        )
        operator_service = OperatorService(
            self.clock, self.group, self.acceptor, self.leases, self.proposer, self.driver
        )
        server = self.server
        server.add_handler(LEASE, lease_service.on_lease)
        server.add_handler(DEREGISTER, lease_service.on_deregister)
        server.add_handler(REGISTER, lease_service.on_register)
        server.add_handler(SETTLE, lease_service.on_settle)
        server.add_handler(PREPARE, self.acceptor.on_prepare)
        server.add_handler(ACCEPT, self.acceptor.on_accept)
        server.add_handler(PROGRESS, self.driver.on_progress)
        server.add_handler(CHECK, operator_service.on_check)
        server.add_handler(PROPOSE, operator_service.on_propose)
        server.add_handler(CHANGE, operator_service.on_change)
        server.add_handler(EVICT, operator_service.on_evict)
        server.add_handler(STATUS, operator_service.on_status)

    def start(self, create_if_missing: bool) -> None:
        """Load the register and start the periodic tick.

        Args:
            create_if_missing: Whether to create a register with nothing decided if there is none.

        Raises:
            ConfigError: There is no register and it cannot be recovered, or the disk fails.
        """
        self.acceptor.load(create_if_missing, has_peers=bool(self.group.others))
        self._tick()

    def _tick(self) -> None:
        self.loop.call_later(TICK_US + self.rng.randrange(TICK_US // 4), self._tick)
        self.leases.remove_expired(self.clock())
        self.acceptor.check_disk()
        if not self.acceptor.has_lost_register:
            self.driver.tick()
        elif not self.proposer.running and not self.acceptor.is_writing:
            self.recover_register()

    def recover_register(self) -> None:
        """Recover the lost register from the other processes.

        The promises of this process are lost as well. To compensate, it runs a round with a
        majority of the others, under a ballot higher than any that it may have taken part in, and
        adopts only the value that this round finds.
        """

        def on_value(value: PolicyState | None) -> None:
            if value is None or not self.acceptor.has_lost_register:
                return
            # the ballot of this round: under a higher one another value may be chosen
            ballot = self.proposer.last_ballot
            self.acceptor.recover(AcceptorState(ballot, ballot, value))

        self.proposer.read(on_value)


def run(
    path: str | None,
    create_if_missing: bool,
    make_store: Callable[[Path], DurableStore] = DurableStore,
) -> None:
    """Run a control process until SIGTERM or SIGINT.

    Args:
        path: The path of the configuration file.
        create_if_missing: Whether to create a register with nothing decided if there is none.
        make_store: Opens the folder of the process.

    Raises:
        ConfigError: The process cannot start.
    """
    if not path:
        raise ConfigError("--config requires a file", expected="a file")
    config = read_process_config(path)
    log = EventLog(config.name)
    loop = Loop(on_error=log.exception)
    loop.on_late_turn = log.late_turn
    store = _open_store(config.folder, make_store, log)
    others = {
        name: RpcClient(loop, address, ANSWER_TIMEOUT_US)
        for name, address in config.addresses.items()
        if name != config.name
    }
    process = ControlProcess(loop, config, others, store, log, Random())
    process.start(create_if_missing)
    _listen(process.server, config)
    signal_socket = watch_signals(
        loop, (signal.SIGTERM, signal.SIGINT), lambda numbers: setattr(loop, "running", False)
    )
    log(
        "control started",
        listen=format_address(config.listen_address),
        process_count=len(config.addresses),
        version=process.acceptor.policy.version,
        lease_ms=config.lease_us // 1000,
    )
    loop.run()
    signal_socket.close()
    log("stopped")


def _listen(server: RpcServer, config: ProcessConfig) -> None:
    try:
        server.listen(config.listen_address)
    except OSError as error:
        address = format_address(config.listen_address)
        raise ConfigError(
            f"cannot listen on {address}: {error.strerror}", location=address
        ) from None


def _open_store(
    folder: str, make_store: Callable[[Path], DurableStore], log: EventLog
) -> DurableStore:
    """Open the folder and lock it for exclusive use by this process."""
    try:
        store = make_store(Path(folder))
    except OSError as error:
        raise ConfigError(f"{folder}: {error.strerror}", location=folder) from None
    try:
        _lock(store, log)
    except OSError as error:
        raise ConfigError(f"{store.folder}: {error.strerror}", location=folder) from None
    return store


def _lock(store: DurableStore, log: EventLog) -> None:
    """Wait for the folder's lock, which a previous process may still hold."""
    if store.lock():
        return
    log("waiting for folder lock", why="a previous process is still writing")
    give_up_at_s = time.monotonic() + LOCK_TIMEOUT_S
    while not store.lock():
        if time.monotonic() > give_up_at_s:
            raise ConfigError(
                f"{store.folder} is locked by another process",
                location=str(store.folder),
                expected="a folder of its own",
            )
        time.sleep(LOCK_RETRY_S)
