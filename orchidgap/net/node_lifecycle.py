"""A node's drain and shutdown on commands or signals, and how its clients are closed.

`decisions/lifecycle` defines the states and their times. `net/server.handle_signals` passes SIGTERM
and SIGINT to this module.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from orchidgap.decisions.lifecycle import Lifecycle, LifecycleEvent, State
from orchidgap.decisions.shadow import ShadowBalancer
from orchidgap.net.client_listener import ClientListener
from orchidgap.net.event_log import EventLog
from orchidgap.net.exchange import Exchange
from orchidgap.net.loop import Loop
from orchidgap.net.rejection_log import RejectionLog
from orchidgap.net.traffic_counts import TrafficCounts

if TYPE_CHECKING:
    from orchidgap.decisions.balancer import Balancer
    from orchidgap.net.handover.absent import NoHandover
    from orchidgap.net.handover.coordinator import Handover

DRAIN_STEP_US = 10_000


class NodeLifecycle:
    """The part of a node that follows its `Lifecycle`."""

    loop: Loop
    event_log: EventLog
    lifecycle: Lifecycle
    traffic_counts: TrafficCounts
    rejection_log: RejectionLog
    balancer: Balancer
    clients: ClientListener
    exchanges: dict[int, Exchange]
    handover: Handover | NoHandover

    def is_ready(self) -> bool:
        """Whether the balancer reports that it is ready."""
        return self.lifecycle.rules.is_ready

    # --- commands of operators: each returns whether it succeeded, and a one-word message

    def health(self) -> tuple[bool, str]:
        """Report whether the balancer is ready."""
        return self.is_ready(), self.lifecycle.state.value

    def drain(self) -> tuple[bool, str]:
        """Begin a drain: clients are moved to other balancers, and all requests are answered."""
        self.transition(LifecycleEvent.DRAIN)
        return True, self.lifecycle.state.value

    def resume(self) -> tuple[bool, str]:
        """End a drain."""
        may_resume = self.lifecycle.rules.can_resume
        self.transition(LifecycleEvent.RESUME)
        return may_resume, self.lifecycle.state.value

    # --- transitions

    def begin_shutdown(self) -> None:
        """Begin the shutdown on SIGTERM or SIGINT: answer open requests, close clients, and end.

        Health checks fail from now on, and each answer is the last one on its connection, unless a
        successor adopts the connections. `drain_step` follows the times of `Lifecycle`; a second
        signal has no effect.
        """
        self.transition(LifecycleEvent.SHUT_DOWN)

    def transition(self, event: LifecycleEvent) -> None:
        """Change to the next state, if the event leads to one."""
        elapsed_us = self.loop.now - self.lifecycle.since_us
        if not self.lifecycle.handle(event, self.loop.now):
            return
        if self.lifecycle.state is State.SERVING:
            # before the log line: a reader of that line may shut the predecessor down at once
            self.handover.announce_serving()
        self.event_log(
            self.lifecycle.state.value,
            reqs=len(self.exchanges),
            clients=len(self.clients.open_clients),
            after_ms=elapsed_us // 1000,
        )
        if self.lifecycle.state is State.LEAVING:
            self.clients.begin_leaving()
        if self.lifecycle.rules.closes_after_answer:
            self.drain_step(self.lifecycle.transition_count)

    def drain_step(self, transition_number: int) -> None:
        """Close the listener and clients when their times are due; repeat until the state changes.

        `transition_number` is the number of the transition that led to the current state.
        """
        lifecycle = self.lifecycle
        now = self.loop.now
        if lifecycle.transition_count != transition_number:
            return
        if not lifecycle.accepts_connections(now):
            self.clients.close_listener()
        if lifecycle.ends_connections(now):
            self.clients.end_when_answered()
        if lifecycle.closes_idle(now):
            self.clients.release_idle()
            if not self.clients.open_clients and not self.exchanges:
                self.transition(LifecycleEvent.EMPTY)
        if lifecycle.must_answer_all(now):
            self.clients.deny_waiting()
            for exchange in [each for each in self.exchanges.values() if not each.closed]:
                exchange.on_deadline()
        # a client stays open while one of its requests is open or it has to read an answer
        is_streaming = any(exchange.streaming_attempt for exchange in self.exchanges.values())
        # an open listener counts as a client, as connections may be waiting in its backlog
        client_count = len(self.clients.open_clients) + self.clients.is_listening
        if lifecycle.is_finished(now, client_count, is_streaming):
            self.stop()
        else:
            self.loop.call_later(DRAIN_STEP_US, self.drain_step, transition_number)

    def on_memory_pressure(self, is_short: bool, used_mb: int, limit_mb: int) -> None:
        """Log that memory is short, or is no longer, with what is open."""
        self.event_log(
            "memory short" if is_short else "memory sufficient",
            used_mb=used_mb,
            limit_mb=limit_mb,
            reqs=len(self.exchanges),
            clients=len(self.clients.open_clients),
        )

    def traffic_log_fields(self) -> dict[str, dict[str, int]]:
        """Return the counts of connections and requests since the start, for a log line."""
        return self.traffic_counts.log_fields() | self.rejection_log.log_fields()

    def stop(self) -> None:
        """Close the listener, log the final counts, and end the loop."""
        self.clients.abandon_listener()
        self.event_log(
            "stopped",
            reqs=sum(not exchange.closed for exchange in self.exchanges.values()),
            longest_turn_ms=self.loop.longest_turn_us // 1000,
        )
        self.event_log("traffic", **self.traffic_log_fields())
        if isinstance(self.balancer, ShadowBalancer):
            self.event_log("shadow report", what=self.balancer.summary())
        self.handover.close()
        self.loop.running = False
