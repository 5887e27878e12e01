"""Sends and receives gossip: twice a second, each balancer sends its counts to two others.

Datagrams that are unsigned, malformed or outdated are dropped and counted. The number of datagrams
read in a second is bounded, so that a flood does not delay clients; the kernel drops the rest.
"""

from __future__ import annotations

import errno
import os
import socket
from collections import Counter
from collections.abc import Callable
from random import Random

from orchidgap.decisions.gossip_counts import GossipCounts, ReportOutcome
from orchidgap.errors import ConfigError
from orchidgap.net.addresses import Address, format_address
from orchidgap.net.config import BalancerConfig, GossipConfig
from orchidgap.net.event_log import EventLog
from orchidgap.net.loop import READ, Loop
from orchidgap.net.node import Node
from orchidgap.peers.gossip_codec import (
    MAX_DATAGRAM_BYTES,
    MAX_FORWARDED_REPORTS,
    BadSignatureError,
    Datagram,
    GossipCodec,
    MalformedDatagramError,
)

ROUND_INTERVAL_US = 500_000  # mean interval; each one differs by up to half of it at random
PEERS_PER_ROUND = 2
MAX_READS_PER_SECOND = 200
MAX_READS_PER_TURN = 32  # datagrams read in one turn of the event loop
SECOND_US = 1_000_000
DROPS_LOG_INTERVAL_US = 60_000_000
SEED_SALT = 0x706F6F6C  # gives other random numbers than other uses of the balancer's seed

# Keys of the datagram counters. All but the first two are drops, and are written to the log.
SENT = "sent"
RECEIVED = "received"
SEND_FAILED = "send_failed"
SEND_REFUSED = "refused"
BAD_SIGNATURE = "bad_signature"
MALFORMED = "malformed"
OUTDATED = "outdated"
RATE_LIMITED = "rate_limited"

Send = Callable[[Address, bytes], None]


class GossipTransport:
    """Sends and receives the gossip datagrams of one balancer.

    Attributes:
        gossip_counts: The counts that are sent and received.
        codec: Encodes, signs and decodes datagrams.
        datagram_counts: The number of datagrams by outcome.
        sock: The open socket, if any.
        reads_in_second: The number of datagrams read in the current second.
    """

    def __init__(
        self,
        loop: Loop,
        node: Node,
        log: EventLog,
        name: str,
        config: GossipConfig,
        seed: int,
        send: Send | None = None,
    ) -> None:
        """Starts the rounds; the socket is opened later, by `listen`.

        Args:
            loop: The event loop, which has the clock and timers.
            node: The node whose balancer's decisions are counted.
            log: The log for changes and drops.
            name: The balancer's name.
            config: The peers and the settings of gossip.
            seed: The seed of the random numbers.
            send: Sends a datagram, instead of the own socket.
        """
        self.loop = loop
        self.node = node
        self.log = log
        self.name = name
        self.rng = Random(seed ^ SEED_SALT)
        self.codec = GossipCodec(config.key)
        self.peers = [peer for peer in config.peers if peer != config.listen]
        self.gossip_counts = GossipCounts(
            name,
            loop.now,
            node.balancer.placement,
            self.rng,
            loop.now,
            config.rebalance_interval_us,
        )
        self.datagram_counts: Counter[str] = Counter()
        self.sock: socket.socket | None = None
        self.reads_in_second = 0
        self._current_second = 0
        self._is_isolated = True
        self._logged_counts: Counter[str] = Counter()
        self._drops_logged_at_us = loop.now
        self._send = send or self._send_by_socket
        loop.call_later(self.rng.randrange(ROUND_INTERVAL_US), self._run_round)

    def listen(self, address: Address, shared: bool = False) -> None:
        """Opens the socket.

        Args:
            address: The balancer's own address for gossip.
            shared: Whether a predecessor process of this balancer may still listen on it.

        Raises:
            OSError: The address cannot be bound.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM | socket.SOCK_NONBLOCK)
        try:
            if shared:
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEPORT, 1)
            sock.bind(address)
        except OSError:
            sock.close()
            raise
        self.sock = sock
        self.loop.watch(sock, READ, self._on_readable)

    def close(self) -> None:
        """Closes the socket; rounds continue, but send nothing."""
        if self.sock:
            self.loop.unwatch(self.sock)
            self.sock.close()
            self.sock = None

    def next_datagram(self, now: int) -> bytes:
        """Returns the datagram for one round: the own report, and some reports of others."""
        counts = self.gossip_counts
        own_report = counts.make_report(now)
        others = counts.live_reports(now)
        forwarded = self.rng.sample(others, min(MAX_FORWARDED_REPORTS, len(others)))
        datagram = Datagram(self.name, counts.table(), [own_report, *forwarded])
        return self.codec.encode(datagram, now)

    def receive(self, data: bytes) -> None:
        """Handles a received datagram: uses it, or drops and counts it."""
        now = self.loop.now
        try:
            datagram = self.codec.decode(data, now)
        except BadSignatureError:
            self.datagram_counts[BAD_SIGNATURE] += 1
            return
        except MalformedDatagramError:
            self.datagram_counts[MALFORMED] += 1
            return
        self.datagram_counts[RECEIVED] += 1
        if not self._receive_reports(datagram):
            self.datagram_counts[OUTDATED] += 1
            return
        self.node.balancer.now = now
        try:
            self.gossip_counts.receive_table(datagram.table, now)
        except ValueError:
            self.datagram_counts[MALFORMED] += 1

    def _receive_reports(self, datagram: Datagram) -> bool:
        """Stores the datagram's reports; returns whether its sender's own report was a new one.

        If it was not, the datagram may be an old one, and its table must not be used.
        """
        outcomes = [self.gossip_counts.receive_report(report) for report in datagram.reports]
        if not outcomes or datagram.reports[0].balancer != datagram.sender:
            return False
        return outcomes[0] is ReportOutcome.KEPT

    def _run_round(self) -> None:
        delay_us = self.rng.randrange(ROUND_INTERVAL_US // 2, ROUND_INTERVAL_US * 3 // 2)
        self.loop.call_later(delay_us, self._run_round)
        now = self.loop.now
        self.node.call_decisions(self._tick, now)
        if not self.peers:
            return
        data = self.next_datagram(now)
        for peer in self.rng.sample(self.peers, min(PEERS_PER_ROUND, len(self.peers))):
            self._send(peer, data)
            self.datagram_counts[SENT] += 1

    def _tick(self, now: int) -> None:
        counts = self.gossip_counts
        report_count = len(counts.live_reports(now))
        is_isolated = report_count == 0
        if is_isolated != self._is_isolated:
            self._is_isolated = is_isolated
            event = "gossip alone" if is_isolated else "gossip"
            self.log(event, reports=report_count, of=len(self.peers))
        if counts.tick(now):
            self.log(
                "ranges rebalanced",
                version=counts.table_version.number,
                reports=report_count,
                sizes=counts.range_sizes(),
            )
        if now - self._drops_logged_at_us >= DROPS_LOG_INTERVAL_US:
            self._drops_logged_at_us = now
            self._log_drops()

    def _log_drops(self) -> None:
        """Logs the number of dropped datagrams since the last call by reason, if there are any."""
        drops = self.datagram_counts - self._logged_counts
        del drops[SENT], drops[RECEIVED]
        if drops:
            self.log("gossip drops", **drops)
        self._logged_counts = Counter(self.datagram_counts)

    def _send_by_socket(self, address: Address, data: bytes) -> None:
        if not self.sock:
            return
        try:
            self.sock.sendto(data, address)
        except (
            OSError
        ) as error:  # the peer is down, or kernel buffers are full; a later round sends again
            is_refused = error.errno == errno.ECONNREFUSED
            self.datagram_counts[SEND_REFUSED if is_refused else SEND_FAILED] += 1

    def _on_readable(self, mask: int) -> None:
        for _ in range(MAX_READS_PER_TURN):
            if not self.sock:
                return
            self._count_second()
            if self.reads_in_second >= MAX_READS_PER_SECOND:
                self._pause_reading()
                return
            try:
                data = self.sock.recv(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:  # the error of a datagram that was sent earlier
                continue
            self.reads_in_second += 1
            self.receive(data)

    def _count_second(self) -> None:
        second = self.loop.now // SECOND_US
        if second != self._current_second:
            self._current_second = second
            self.reads_in_second = 0

    def _pause_reading(self) -> None:
        """Reads nothing more until the next second, to limit the cost of a flood."""
        assert self.sock
        self.loop.unwatch(self.sock)
        self.loop.call_at((self._current_second + 1) * SECOND_US, self._resume_reading)
        self.datagram_counts[RATE_LIMITED] += 1

    def _resume_reading(self) -> None:
        if self.sock:
            self.loop.watch(self.sock, READ, self._on_readable)


def create_gossip(loop: Loop, node: Node, log: EventLog, config: BalancerConfig) -> GossipTransport:
    """Starts gossip with the settings of the configuration's section for it, which must be present.

    Raises:
        ConfigError: The address cannot be bound.
    """
    assert config.gossip
    address = config.gossip.listen
    gossip = GossipTransport(loop, node, log, config.name, config.gossip, config.seed)
    try:
        gossip.listen(address, "GW_PASSED_SOCKET" in os.environ)
    except OSError as error:
        raise ConfigError(f"cannot listen at {format_address(address)}: {error.strerror}") from None
    return gossip
