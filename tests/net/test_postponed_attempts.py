"""Events between an attempt's postponement and its turn.

An attempt is postponed to the next turn if its own turn stalled. It has exactly one outcome, and
every connection stays counted.
"""

import pytest
from loopback_harness import received_or_reset, wait_until_readable
from stalled_turn import BEFORE_CALLBACKS, BEFORE_WRITE, STALL_US, deliver_list_changes, stall_turn
from test_stalled_turns import connection_completes, request_arrives

from orchidgap.decisions.records import AttemptOutcome

MOVED_PORT = 107
AFTER_ALL_TIMEOUTS_US = 3_000_000  # longer than the timeout of any request


class PostponedAttempt:
    """A node whose only attempt is postponed to the next turn."""

    def __init__(self, make_scenario, moment, monkeypatch):
        self.scenario = make_scenario()
        self.net = self.scenario.net
        stall_turn(self.net, monkeypatch, moment, STALL_US, lambda net: None)
        self.net.loop.run_once()
        assert self.net.loop.postponed
        [self.exchange] = self.net.node.exchanges.values()
        self.outcomes = []
        on_settled = self.exchange.node.balancer.on_outcome

        def on_outcome(request, number, outcome, *more):
            self.outcomes.append((number, outcome))
            on_settled(request, number, outcome, *more)

        monkeypatch.setattr(self.net.node.balancer, "on_outcome", on_outcome)

    def check_bookkeeping(self):
        pools = self.net.node.pools
        connections = [
            connection for pool in pools.by_host.values() for connection in pool.connections
        ]
        assert pools.connection_count == len(connections)
        for pool in pools.by_host.values():
            idle = list(pool.idle)
            assert len(set(idle)) == len(idle)
            assert all(
                connection in pool.connections and connection.attempt is None for connection in idle
            )
        numbers = [number for number, _ in self.outcomes]
        assert len(set(numbers)) == len(numbers), "one outcome for each attempt"


@pytest.fixture(params=[(request_arrives, BEFORE_WRITE), (connection_completes, BEFORE_CALLBACKS)])
def postponed(request, monkeypatch):
    return PostponedAttempt(*request.param, monkeypatch)


def test_it_is_not_sent_after_it_is_cancelled(postponed):
    # A cancelled attempt would still be sent.
    postponed.exchange.cancel_attempt(postponed.exchange.attempts[0])
    postponed.net.turn()
    assert postponed.scenario.received_reads() == []
    assert postponed.outcomes == [(0, AttemptOutcome.NEVER_SENT)]
    postponed.check_bookkeeping()


def test_it_is_not_sent_after_its_client_disconnected(postponed):
    # The answer has no recipient, and the exchange must not stay open for it.
    postponed.exchange.client.conn.fail("closed")
    postponed.net.turn()
    assert postponed.scenario.received_reads() == []
    assert not postponed.net.node.exchanges
    postponed.check_bookkeeping()


def test_it_is_not_sent_after_its_deadline(postponed):
    # The client has been answered, so a host's work would be wasted.
    postponed.exchange.on_deadline()
    postponed.net.turn()
    assert postponed.scenario.received_reads() == []
    assert received_or_reset(postponed.scenario.client)
    assert not postponed.net.node.exchanges
    postponed.check_bookkeeping()


def test_it_is_not_sent_to_the_previous_address_of_its_host(postponed):
    # Its connection, if it has one, leads to the previous address.
    net = postponed.net
    deliver_list_changes(net, net.host_entry(0, port=MOVED_PORT))
    net.turn()
    assert postponed.scenario.received_reads() == []
    net.advance(AFTER_ALL_TIMEOUTS_US)
    assert received_or_reset(postponed.scenario.client)
    assert not net.node.exchanges
    postponed.check_bookkeeping()


def test_bytes_from_a_host_before_the_request_is_written_are_not_its_answer(monkeypatch):
    # Bytes that arrive before the first byte is written would be taken for the answer.
    postponed = PostponedAttempt(connection_completes, BEFORE_CALLBACKS, monkeypatch)
    net = postponed.net
    [connection] = net.node.pools.by_host["c0"].connections
    far = next(far for port, far in reversed(net.dialled) if port == postponed.scenario.port)
    net.send_host_answer(far)
    wait_until_readable(connection.conn.sock)
    connection.conn.on_ready(1)
    net.turn()
    assert "200" not in (received_or_reset(postponed.scenario.client) or "")
    assert postponed.outcomes[0][1] is not AttemptOutcome.DONE
    assert connection not in net.node.pools.by_host["c0"].connections
    postponed.check_bookkeeping()
