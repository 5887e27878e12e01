"""Stand-in discovery: the list of hosts, its versions, and an agent for each balancer that can be watched."""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qs, urlsplit

import orjson

from orchidgap.http1.readers import RequestReader
from orchidgap.net.addresses import Address
from orchidgap.net.connection import Connection
from orchidgap.simulation.plan import seconds_to_us

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

MOST_CALLS = 40  # a second, from one balancer: news come faster than that nowhere
PRESUMED = (
    6_000_000  # what there is to tell counts as told this much later, to one that does not ask
)
STATES = {"Ready": "up", "Terminating": "draining", "Gone": "gone"}


class Listing:
    """What discovery knows: an entry for each host, and in which version each last changed."""

    def __init__(self, environment: Environment) -> None:
        self.environment, self.loop = environment, environment.loop
        self.seq = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed: dict[str, int] = {}
        self.agents: dict[str, Agent] = {}
        self.times: list[tuple[int, int]] = [(1, 0)]  # of each version

    def add(
        self, id: str, address: Address, kind: str, zone: int, rating: float, born: int
    ) -> None:
        self.entries[id] = {
            "host": id,
            "dial": f"{address[0]}:{address[1]}",
            "site": f"z{zone}",
            "class": kind,
            "block": id,
            "health": "Ready",
            "share": round(rating, 3),
            "born_ms": born // 1000,
        }
        self.changed[id] = self.seq

    def put(self, id: str, health: str) -> None:
        entry, store = self.entries[id], self.environment.servers[id]
        born = store.born // 1000
        if health == "Ready" and (not store.alive or store.vanished):
            return  # it ended again before it was listed
        if (entry["health"], entry["born_ms"]) != (health, born):
            entry["health"], entry["born_ms"] = health, born
            self.seq += 1
            self.changed[id] = self.seq
            self.times.append((self.seq, self.loop.now))
            self.environment.referee.record_event(self.loop.now, f"list: {id} {health}")
            for agent in self.agents.values():
                agent.stir()
                self.loop.call_later(PRESUMED, agent.presume, self.seq)

    def put_later(self, id: str, health: str, seconds: float) -> None:
        self.loop.call_later(
            seconds_to_us(seconds * self.environment.rng.uniform(0.7, 1.3)), self.put, id, health
        )

    def gone_later(self, id: str, seconds: float) -> None:
        self.loop.call_later(
            seconds_to_us(seconds * self.environment.rng.uniform(0.7, 1.3)), self.gone_if_so, id
        )

    def gone_if_so(self, id: str) -> None:
        store = self.environment.servers[id]
        if not store.alive or store.vanished:
            self.put(id, "Gone")

    def seen(self, late: int) -> int:
        """The version that is told by one that is so many microseconds behind."""
        if not late:
            return self.seq
        return max(seq for seq, at in self.times if at <= self.loop.now - late)

    def since(self, after: int | None, upto: int) -> tuple[bool, list[dict[str, Any]]]:
        """Whether it is the whole list, and the entries of it."""
        if after is None or after > self.seq:
            return True, [
                dict(entry) for entry in self.entries.values() if entry["health"] != "Gone"
            ]
        return False, [
            dict(entry) for id, entry in self.entries.items() if after < self.changed[id] <= upto
        ]


class Agent:
    """Discovery's agent on a balancer's machine."""

    def __init__(self, listing: Listing, balancer: str, address: Address) -> None:
        self.listing, self.balancer, self.loop = listing, balancer, listing.loop
        # silent; microseconds behind; the version it stays at
        self.gone, self.late, self.frozen = False, 0, 0
        self.crowded = 0.0  # the part of connections that are turned away
        self.calls = (0, 0)  # the second, and how often it was asked in that
        self.told_seq = 0
        self.links: dict[AgentLink, None] = {}
        # what the balancer would remember over a restart
        self.last: tuple[int, list[dict[str, Any]]] = (1, [])
        listing.environment.network.listen(address, self.accept)

    def accept(self, sock: socket.socket, who: str) -> None:
        if self.crowded and self.listing.environment.rng.random() < self.crowded:
            self.count()
            return sock.close()  # overbooked: whoever comes now is turned away
        self.links[AgentLink(self, sock)] = None

    def count(self) -> None:
        """A call: so many in a second from one balancer add up to too many from all."""
        referee, second = self.listing.environment.referee, self.loop.now // 1_000_000
        referee.list_calls += 1
        self.calls = (second, self.calls[1] + 1) if self.calls[0] == second else (second, 1)
        if self.calls[1] == MOST_CALLS + 1:
            why = f"discovery: {self.balancer} asked more than {MOST_CALLS} times in a second"
            referee.record_breach("cold", self.loop.now, why)

    def stir(self) -> None:
        if self.gone or self.frozen:
            return
        if self.late:
            self.loop.call_later(self.late, self.wake)
        else:
            self.wake()

    def wake(self) -> None:
        for link in list(self.links):
            link.wake()

    def set(self, gone: bool = False, late: int = 0, frozen: bool = False) -> None:
        self.gone, self.late, self.frozen = gone, late, self.listing.seq if frozen else 0
        if not gone:  # what was asked while it was silent
            self.wake()
        if not (gone or late or frozen):
            self.loop.call_later(PRESUMED, self.presume, self.listing.seq)

    def presume(self, seq: int) -> None:
        """Who does not ask counts as told, or not asking would be the way to keep the drain rule."""
        if (
            not (self.gone or self.late or self.frozen)
            and self.told_seq < seq
            and self.listing.environment.is_alive(self.balancer)
        ):
            self.tell(seq, *self.listing.since(self.told_seq, seq))

    def tell(self, seq: int, whole: bool, entries: list[dict[str, Any]]) -> None:
        referee, now = self.listing.environment.referee, self.loop.now
        self.told_seq = max(self.told_seq, seq)
        there = {entry["host"]: entry for entry in entries}
        for id, entry in there.items():
            referee.on_list_written(
                self.balancer, id, STATES[entry["health"]], now, entry["born_ms"]
            )
        if whole:
            for id in self.listing.entries:
                if id not in there:
                    referee.on_list_written(self.balancer, id, "gone", now)
            self.last = seq, entries
        else:
            kept = {entry["host"]: entry for entry in self.last[1]} | {
                entry["host"]: entry for entry in entries
            }
            self.last = seq, [entry for entry in kept.values() if entry["health"] != "Gone"]


class AgentLink:
    def __init__(self, agent: Agent, sock: socket.socket) -> None:
        self.agent, self.reader = agent, RequestReader()
        self.after: int | None = None
        self.waits_until = 0
        self.pending = False
        self.conn = Connection(agent.loop, sock, self)

    def opened(self) -> None:
        pass

    def received(self, view: memoryview) -> None:
        self.reader.feed(view)
        if self.reader.message.error_status:
            return self.conn.fail("bad call")
        if self.reader.message.complete and not self.pending:
            self.asked()

    def asked(self) -> None:
        self.agent.count()
        parts = urlsplit(self.reader.message.target.decode())
        query = parse_qs(parts.query)
        self.after = int(query["after"][0]) if "after" in query else None
        wait = int(query.get("wait_ms", ["0"])[0]) * 1000
        self.pending, self.waits_until = True, self.agent.loop.now + wait
        self.agent.loop.call_later(wait, self.due, self.waits_until)
        self.wake()

    def due(self, until: int) -> None:
        if self.pending and until == self.waits_until:
            self.wake(True)

    def wake(self, due: bool = False) -> None:
        agent = self.agent
        if not self.pending or agent.gone or not self.conn.is_open:
            return
        listing = agent.listing
        due = due or self.waits_until <= agent.loop.now
        if agent.frozen and self.after is not None:
            seq, whole, entries = max(self.after, agent.frozen), False, []
        elif agent.frozen:
            seq, whole, entries = agent.last[0], True, agent.last[1]
        else:
            seq = listing.seen(agent.late)
            whole, entries = listing.since(self.after, seq)
        if self.after is not None and not due and (agent.frozen or seq <= self.after):
            return
        self.pending = False
        if whole or entries:
            agent.tell(seq, whole, entries)
        told = listing.environment.endpoint_list_for(
            agent.balancer, {"seq": seq, "whole": whole, "hosts": entries}
        )
        body = orjson.dumps(told)
        self.reader.advance()
        self.conn.send(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body), body)

    def ended(self, what: str) -> None:
        self.agent.links.pop(self, None)
