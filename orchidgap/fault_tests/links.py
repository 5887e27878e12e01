"""The links between processes: one relay for each link, and the faults of links."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from random import Random
from typing import NamedTuple

from orchidgap.fault_tests.datagram_relay import ANY_SENDER, DatagramRelay
from orchidgap.fault_tests.plan import ALL_BALANCERS, ALL_CONTROL, ALL_HOSTS
from orchidgap.fault_tests.relay import HEALTHY, LinkCondition, Relay
from orchidgap.net.addresses import Address
from orchidgap.net.loop import Loop
from orchidgap.simulation.balancer_instance import address_suffix

CONTROL_PORT = 7500
HOST_PORT = 7071
CONTROL_RELAY_NETWORK = 100  # second octet of the relays' addresses, plus the server's number
HOST_RELAY_NETWORK = 110
DATAGRAM_RELAY_NETWORK = 201
OPERATOR = "shell"  # the client name of commands that call control from outside


class Link(NamedTuple):
    """The names of the client and the server of a link."""

    client: str
    server: str


@dataclass(frozen=True, slots=True)
class Topology:
    """The zones of balancers and hosts by name; `zone_names` are the words for zones in plans."""

    balancer_zones: dict[str, int]
    host_zones: dict[str, int]
    zone_names: tuple[str, ...]

    def matches(self, word: str, end: str, server: str) -> bool:
        """Return whether a word of a plan denotes this end of a link to `server`.

        `all` denotes every end of a link to control, `hosts` all hosts, `z1` all ends in that zone.
        """
        if word == ALL_CONTROL:
            return server not in self.host_zones
        if word == ALL_HOSTS:
            return end in self.host_zones
        if word in self.zone_names:
            zone = self.host_zones.get(end, self.balancer_zones.get(end))
            return zone is not None and f"z{zone}" == word
        return word == end


class Links:
    """All relays of one fault test."""

    def __init__(self, loop: Loop, rng: Random, port_offset: int, topology: Topology) -> None:
        """Create no relays yet; `rng` decides which packets they lose."""
        self.loop = loop
        self.rng = rng
        self.port_offset = port_offset
        self.topology = topology
        self.relays: dict[Link, Relay] = {}
        self.datagram_relays: dict[str, DatagramRelay] = {}

    def to_control(self, client: str, server: str, number: int, address: Address) -> Address:
        """Return the address at which a client reaches a control process: that of their relay."""
        link = Link(client, server)
        if link not in self.relays:
            host = f"127.{CONTROL_RELAY_NETWORK + number}.{address_suffix(len(self.relays))}"
            relay_address = (host, CONTROL_PORT + self.port_offset)
            self.relays[link] = Relay(self.loop, relay_address, address, self.rng)
        return self.relays[link].address

    def add_host_relay(
        self, balancer: str, balancer_number: int, host: str, host_number: int, address: Address
    ) -> None:
        """Add a relay between a balancer and a host."""
        relay_host = f"127.{HOST_RELAY_NETWORK + host_number}.{address_suffix(balancer_number)}"
        self.relays[Link(balancer, host)] = Relay(
            self.loop,
            (relay_host, HOST_PORT + self.port_offset),
            address,
            self.rng,
            delivers_after_close=False,
        )

    def add_datagram_relay(self, balancer: str, number: int, address: Address) -> None:
        """Add a relay for the datagrams that other balancers send to a balancer."""
        relay_address = (f"127.{DATAGRAM_RELAY_NETWORK}.{address_suffix(number)}", address[1])
        relay = DatagramRelay(self.loop, relay_address, address, self.rng)
        self.datagram_relays[balancer] = relay

    def _between(self, one: str, other: str) -> Iterator[tuple[Relay, bool]]:
        """Yield the relays between two ends, and whether the first end is the client."""
        matches = self.topology.matches
        for (client, server), relay in self.relays.items():
            if matches(one, client, server) and matches(other, server, server):
                yield relay, True
            if matches(other, client, server) and matches(one, server, server):
                yield relay, False

    def cut(self, one: str, other: str) -> None:
        """Refuse and reset all connections between two ends."""
        for relay, _ in self._between(one, other):
            relay.set_condition(LinkCondition(cut=True))

    def stall(self, sender: str, receiver: str) -> None:
        """Stall the data from one end to the other; the opposite direction still works."""
        for relay, sender_is_client in self._between(sender, receiver):
            before = relay.condition
            relay.set_condition(
                LinkCondition(
                    stalled_to_server=before.stalled_to_server or sender_is_client,
                    stalled_to_client=before.stalled_to_client or not sender_is_client,
                )
            )

    def slow(self, one: str, other: str, delay_us: int, loss_ratio: float) -> None:
        """Delay all data in both directions and lose a fraction of the packets."""
        for relay, _ in self._between(one, other):
            relay.set_condition(LinkCondition(delay_us=delay_us, loss_ratio=loss_ratio))

    def heal(self, one: str = "", other: str = "") -> None:
        """Heal the links between two ends, or all; also end all loss of datagrams."""
        for datagram_relay in self.datagram_relays.values():
            datagram_relay.loss_ratios.clear()
        relays = list(self.relays.values())
        if one:
            relays = [relay for relay, _ in self._between(one, other)]
        for relay in relays:
            relay.set_condition(HEALTHY)

    def lose_datagrams(self, balancer: str, address: Address | None, loss_ratio: float) -> None:
        """Lose a fraction of the datagrams to and from the balancer at `address`, or of all."""
        if balancer == ALL_BALANCERS or address is None:
            for relay in self.datagram_relays.values():
                relay.loss_ratios[ANY_SENDER] = loss_ratio
            return
        self.datagram_relays[balancer].loss_ratios[ANY_SENDER] = loss_ratio
        for relay in self.datagram_relays.values():
            relay.loss_ratios[address[0]] = loss_ratio

    def is_open(self, client: str, server: str, max_delay_us: int) -> bool:
        """Return whether data arrives in both directions within this one-way delay."""
        relay = self.relays.get(Link(client, server))
        if relay is None:
            return True
        condition = relay.condition
        arrives = not (condition.cut or condition.stalled_to_server or condition.stalled_to_client)
        return arrives and condition.delay_us <= max_delay_us

    def faulty_until_us(self, client: str, server: str) -> int:
        """Return the end of the link's last fault: now if it is faulty, 0 if it never was."""
        relay = self.relays.get(Link(client, server))
        return relay.faulty_until_us if relay else 0

    def control_bytes(self) -> int:
        """Return the bytes exchanged between balancers and control so far."""
        return sum(
            relay.relayed_bytes
            for (client, server), relay in self.relays.items()
            if client in self.topology.balancer_zones and server not in self.topology.host_zones
        )

    def close(self) -> None:
        """Close all relays."""
        for relay in self.relays.values():
            relay.close()
        for datagram_relay in self.datagram_relays.values():
            datagram_relay.close()
