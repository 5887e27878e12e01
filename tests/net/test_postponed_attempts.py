"""What comes while an attempt waits for the next turn, as its own was held up: one outcome each, and no connection is
lost count of.
"""

import pytest
from loopback_harness import received_or_reset, wait_until_readable
from stalled_turn import BEFORE_CALLBACKS, BEFORE_WRITE, STALL_US, bring_changes, stall_turn
from test_stalled_turns import comes_up, is_read

from orchidgap.decisions.records import AttemptOutcome

MOVED_PORT = 107
ALL_TIMES_US = 3_000_000  # longer than any request has


class Postponed:
    """A node whose one attempt waits for the next turn."""

    def __init__(self, make_scene, moment, monkeypatch):
        self.scene = make_scene()
        self.net = self.scene.net
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

    def check_sound(self):
        pools = self.net.node.pools
        links = [link for pool in pools.by_host.values() for link in pool.connections]
        assert pools.connection_count == len(links)
        for pool in pools.by_host.values():
            idle = list(pool.idle)
            assert len(set(idle)) == len(idle)
            assert all(link in pool.connections and link.attempt is None for link in idle)
        numbers = [number for number, _ in self.outcomes]
        assert len(set(numbers)) == len(numbers), "one outcome each"


@pytest.fixture(params=[(is_read, BEFORE_WRITE), (comes_up, BEFORE_CALLBACKS)])
def postponed(request, monkeypatch):
    return Postponed(*request.param, monkeypatch)


def test_it_is_not_sent_once_it_is_called_off(postponed):
    # What had been given up would be sent all the same.
    postponed.exchange.cancel_attempt(postponed.exchange.attempts[0])
    postponed.net.turn()
    assert postponed.scene.begun() == []
    assert postponed.outcomes == [(0, AttemptOutcome.NEVER_SENT)]
    postponed.check_sound()


def test_it_is_not_sent_once_its_client_has_gone(postponed):
    # Nobody waits for the answer, and the exchange must not stay open for it.
    postponed.exchange.client.conn.fail("closed")
    postponed.net.turn()
    assert postponed.scene.begun() == []
    assert not postponed.net.node.exchanges
    postponed.check_sound()


def test_it_is_not_sent_once_its_time_is_up(postponed):
    # It had its answer, and a host would work for nobody.
    postponed.exchange.on_deadline()
    postponed.net.turn()
    assert postponed.scene.begun() == []
    assert received_or_reset(postponed.scene.client)
    assert not postponed.net.node.exchanges
    postponed.check_sound()


def test_it_is_not_sent_to_where_its_host_was(postponed):
    # Its connection, where it has one, is one to the address before.
    net = postponed.net
    bring_changes(net, net.host_entry(0, port=MOVED_PORT))
    net.turn()
    assert postponed.scene.begun() == []
    net.advance(ALL_TIMES_US)
    assert received_or_reset(postponed.scene.client)
    assert not net.node.exchanges
    postponed.check_sound()


def test_a_host_that_speaks_before_it_is_asked_has_not_answered_it(monkeypatch):
    # What came before the first byte was written would be taken for its answer.
    postponed = Postponed(comes_up, BEFORE_CALLBACKS, monkeypatch)
    net = postponed.net
    [link] = net.node.pools.by_host["c0"].connections
    far = next(far for port, far in reversed(net.dialled) if port == postponed.scene.port)
    net.send_host_answer(far)
    wait_until_readable(link.conn.sock)
    link.conn.on_ready(1)
    net.turn()
    assert "200" not in (received_or_reset(postponed.scene.client) or "")
    assert postponed.outcomes[0][1] is not AttemptOutcome.DONE
    assert link not in net.node.pools.by_host["c0"].connections
    postponed.check_sound()
