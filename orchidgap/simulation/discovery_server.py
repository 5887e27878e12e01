"""Simulated discovery: the endpoint list with its versions, and an agent for each balancer.

An agent answers polls at once, and a watch when the list changes or the watch's timeout expires.
Times are in microseconds of the loop's clock, unless a name says otherwise.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

import orjson

from orchidgap.http1.readers import RequestReader
from orchidgap.net.addresses import Address
from orchidgap.net.connection import Connection
from orchidgap.simulation.plan import seconds_to_us

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

MAX_CALLS_PER_SECOND = 40  # limit for one balancer; no list changes that often
# a change counts as known to a balancer after this time, even if the balancer does not poll
PRESUMED_KNOWN_AFTER_US = 6_000_000
DELAY_SPREAD = (0.7, 1.3)  # range of factors on the delay before a change is listed

READY = "Ready"
GONE = "Gone"
CHECKER_STATES = {READY: "up", "Terminating": "draining", GONE: "gone"}

Entry = dict[str, Any]  # one host, with the keys of the discovery protocol


class EndpointList(NamedTuple):
    """A version of the list and its entries."""

    version: int
    entries: list[Entry]


class DiscoveryServer:
    """The endpoint list, with the version in which each entry last changed."""

    def __init__(self, environment: Environment) -> None:
        """Start with an empty list, of version 1."""
        self.environment = environment
        self.loop = environment.loop
        self.version = 1
        self.entries: dict[str, Entry] = {}
        self.changed_in: dict[str, int] = {}
        self.agents: dict[str, DiscoveryAgent] = {}
        self.version_times: list[tuple[int, int]] = [(1, 0)]

    def add(
        self, host: str, address: Address, kind: str, zone: int, weight: float, started_at_us: int
    ) -> None:
        """Add a ready host to the list; `weight` is its relative share of the load."""
        self.entries[host] = {
            "host": host,
            "dial": f"{address[0]}:{address[1]}",
            "site": f"z{zone}",
            "class": kind,
            "block": host,
            "health": READY,
            "share": round(weight, 3),
            "born_ms": started_at_us // 1000,
        }
        self.changed_in[host] = self.version

    def set_health(self, host: str, health: str) -> None:
        """Change a host's health in the list; a host that is down is not listed as ready."""
        entry = self.entries[host]
        server = self.environment.servers[host]
        born_ms = server.started_at_us // 1000
        if health == READY and (not server.alive or server.vanished):
            return
        if (entry["health"], entry["born_ms"]) == (health, born_ms):
            return
        entry["health"] = health
        entry["born_ms"] = born_ms
        self.version += 1
        self.changed_in[host] = self.version
        self.version_times.append((self.version, self.loop.now))
        self.environment.invariant_checker.record_event(self.loop.now, f"list: {host} {health}")
        for agent in self.agents.values():
            agent.on_change()
            self.loop.call_later(PRESUMED_KNOWN_AFTER_US, agent.presume_known, self.version)

    def draw_delay_us(self, seconds: float) -> int:
        """Draw a delay around this number of seconds."""
        return seconds_to_us(seconds * self.environment.rng.uniform(*DELAY_SPREAD))

    def set_health_later(self, host: str, health: str, seconds: float) -> None:
        """Change a host's health in the list after about this number of seconds."""
        self.loop.call_later(self.draw_delay_us(seconds), self.set_health, host, health)

    def remove_later(self, host: str, seconds: float) -> None:
        """Remove a host after about this number of seconds, unless it is running again by then."""
        self.loop.call_later(self.draw_delay_us(seconds), self.remove_if_down, host)

    def remove_if_down(self, host: str) -> None:
        """Remove a host from the list if it does not run or cannot be reached."""
        server = self.environment.servers[host]
        if not server.alive or server.vanished:
            self.set_health(host, GONE)

    def version_before(self, lag_us: int) -> int:
        """Return the version known to an agent that lags behind by this time."""
        if not lag_us:
            return self.version
        known_until = self.loop.now - lag_us
        return max(version for version, at in self.version_times if at <= known_until)

    def changes_since(self, after: int | None, up_to: int) -> tuple[bool, list[Entry]]:
        """Return whether the result is the whole list, and copies of the entries."""
        if after is None or after > self.version:
            listed = [entry for entry in self.entries.values() if entry["health"] != GONE]
            return True, [dict(entry) for entry in listed]
        changed = [
            entry for host, entry in self.entries.items() if after < self.changed_in[host] <= up_to
        ]
        return False, [dict(entry) for entry in changed]


class DiscoveryAgent:
    """Discovery's agent on a balancer's machine.

    `latest` is the last list that the balancer received, which it keeps across a restart.
    `notified_version` is the highest list version that was sent to it or is presumed known to it.
    `rejection_ratio` is the ratio of connections that are closed at once.
    """

    def __init__(self, server: DiscoveryServer, balancer: str, address: Address) -> None:
        """Listen at the address that the balancer connects to."""
        self.server = server
        self.balancer = balancer
        self.loop = server.loop
        self.silent = False
        self.lag_us = 0
        self.frozen_version = 0  # 0 if it is not frozen
        self.rejection_ratio = 0.0
        self.call_second = 0
        self.calls_in_second = 0
        self.notified_version = 0
        self.connections: dict[AgentConnection, None] = {}
        self.latest = EndpointList(1, [])
        server.environment.network.listen(address, self.accept)

    def accept(self, sock: socket.socket, name: str) -> None:
        """Serve a connection, or close it if the agent is overloaded."""
        rng = self.server.environment.rng
        if self.rejection_ratio and rng.random() < self.rejection_ratio:
            self.count_call()
            return sock.close()
        self.connections[AgentConnection(self, sock)] = None
        return None

    def count_call(self) -> None:
        """Count a call; too many from one balancer in a second are a breach."""
        checker = self.server.environment.invariant_checker
        second = self.loop.now // 1_000_000
        checker.list_calls += 1
        if second != self.call_second:
            self.call_second = second
            self.calls_in_second = 0
        self.calls_in_second += 1
        if self.calls_in_second == MAX_CALLS_PER_SECOND + 1:
            limit = f"more than {MAX_CALLS_PER_SECOND} times in a second"
            why = f"discovery: {self.balancer} called {limit}"
            checker.record_breach("cold", self.loop.now, why)

    def on_change(self) -> None:
        """Answer watches when this agent is notified of a change."""
        if self.silent or self.frozen_version:
            return
        if self.lag_us:
            self.loop.call_later(self.lag_us, self.answer_watches)
        else:
            self.answer_watches()

    def answer_watches(self) -> None:
        """Answer the pending calls for which there is a change."""
        for connection in list(self.connections):
            connection.answer_if_changed()

    def set_fault(self, silent: bool = False, lag_us: int = 0, frozen: bool = False) -> None:
        """Answer nothing, late, or from an old list; without arguments the agent recovers."""
        self.silent = silent
        self.lag_us = lag_us
        self.frozen_version = self.server.version if frozen else 0
        if not silent:
            self.answer_watches()
        if not (silent or lag_us or frozen):
            version = self.server.version
            self.loop.call_later(PRESUMED_KNOWN_AFTER_US, self.presume_known, version)

    def presume_known(self, version: int) -> None:
        """Count a version as known: not polling must not be a way to pass the drain rule."""
        is_faulty = self.silent or self.lag_us or self.frozen_version
        if is_faulty or self.notified_version >= version:
            return
        if self.server.environment.is_alive(self.balancer):
            whole, entries = self.server.changes_since(self.notified_version, version)
            self.note_notified(version, whole, entries)

    def note_notified(self, version: int, whole: bool, entries: list[Entry]) -> None:
        """Record the entries that the balancer now knows, and report them to the checker."""
        checker = self.server.environment.invariant_checker
        now = self.loop.clock()  # the turn may have started long before the write
        self.notified_version = max(self.notified_version, version)
        by_host = {entry["host"]: entry for entry in entries}
        for host, entry in by_host.items():
            state = CHECKER_STATES[entry["health"]]
            checker.on_list_written(self.balancer, host, state, now, entry["born_ms"])
        if whole:
            for host in self.server.entries:
                if host not in by_host:
                    checker.on_list_written(self.balancer, host, "gone", now)
            self.latest = EndpointList(version, entries)
        else:
            merged = {entry["host"]: entry for entry in self.latest.entries} | by_host
            listed = [entry for entry in merged.values() if entry["health"] != GONE]
            self.latest = EndpointList(version, listed)


class AgentConnection:
    """A balancer's connection to its agent, with one call at a time.

    Attributes:
        after: The list version that the balancer has, None if it requests the whole list.
        waits_until: When the timeout of the pending call expires.
        pending: A call has no answer yet.
    """

    def __init__(self, agent: DiscoveryAgent, sock: socket.socket) -> None:
        """Watch the connection; no call is pending yet."""
        self.agent = agent
        self.reader = RequestReader()
        self.after: int | None = None
        self.waits_until = 0
        self.pending = False
        self.conn = Connection(agent.loop, sock, self)

    def on_connected(self) -> None:
        """Do nothing: the balancer sends first."""

    def on_data(self, view: memoryview) -> None:
        """Process received bytes of a call."""
        self.reader.feed(view)
        if self.reader.message.error_status:
            self.conn.fail("invalid call")
        elif self.reader.message.complete and not self.pending:
            self.on_call()

    def on_call(self) -> None:
        """Begin a call: `after` is the balancer's version, `wait_ms` the timeout of a watch."""
        self.agent.count_call()
        parts = urlsplit(self.reader.message.target.decode())
        query = parse_qs(parts.query)
        self.after = int(query["after"][0]) if "after" in query else None
        wait_us = int(query.get("wait_ms", ["0"])[0]) * 1000
        self.pending = True
        self.waits_until = self.agent.loop.now + wait_us
        self.agent.loop.call_later(wait_us, self.on_wait_over, self.waits_until)
        self.answer_if_changed()

    def on_wait_over(self, until: int) -> None:
        """Answer the call whose timeout has expired, even without a change."""
        if self.pending and until == self.waits_until:
            self.answer_if_changed(True)

    def current_answer(self) -> tuple[int, bool, list[Entry]]:
        """Return the version to send, whether the list is whole, and its entries."""
        agent = self.agent
        if agent.frozen_version and self.after is not None:
            return max(self.after, agent.frozen_version), False, []
        if agent.frozen_version:
            return agent.latest.version, True, agent.latest.entries
        version = agent.server.version_before(agent.lag_us)
        whole, entries = agent.server.changes_since(self.after, version)
        return version, whole, entries

    def answer_if_changed(self, due: bool = False) -> None:
        """Answer the call if there is a change or its timeout has expired."""
        agent = self.agent
        if not self.pending or agent.silent or not self.conn.is_open:
            return
        due = due or self.waits_until <= agent.loop.now
        version, whole, entries = self.current_answer()
        if self.after is not None and not due:
            if agent.frozen_version or version <= self.after:
                return
        self.pending = False
        document = {"seq": version, "whole": whole, "hosts": entries}
        answer = agent.server.environment.endpoint_list_for(agent.balancer, document)
        body = orjson.dumps(answer)
        self.reader.advance()
        self.conn.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body)
        if whole or entries:
            agent.note_notified(version, whole, entries)

    def on_closed(self, reason: str) -> None:
        """Forget the connection."""
        self.agent.connections.pop(self, None)
