"""Tests that gossiping balancers agree on one table of ranges and on hot keys despite losses."""

from random import Random

import pytest
from balancer_harness import BalancerHarness
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidgap.decisions.gossip_counts import (
    DEFAULT_REBALANCE_INTERVAL_US,
    MAX_REPORTS,
    REPORT_LIFETIME_US,
    CountsReport,
    GossipCounts,
    RangeTable,
    ReportOutcome,
    TableVersion,
)
from orchidgap.decisions.hash_ranges import SLOT_COUNT
from orchidgap.decisions.rebalancing import REBALANCE_MIN_ATTEMPTS as MIN_ATTEMPTS

ROUND_US = 500_000
START = 100_000_000


def names_of(reports):
    return {report.balancer for report in reports}


class Fleet:
    """Balancers that each send to some of the others in every round; a part of it is lost."""

    def __init__(self, count, caches=8, seed=1, loss=0.0):
        self.rng, self.loss, self.now = Random(seed), loss, START
        self.balancers = [BalancerHarness(caches, now=START) for _ in range(count)]
        self.members = [
            GossipCounts(f"b{i}", START, balancer.placement, Random(seed + i), START)
            for i, balancer in enumerate(self.balancers)
        ]
        self.dead = set()

    def run_round(self):
        self.now += ROUND_US
        for balancer in self.balancers:
            balancer.now = self.now
        running = [member for member in self.members if member.name not in self.dead]
        for member in running:
            member.tick(self.now)
            others = member.live_reports(self.now)
            reports = [member.make_report(self.now), *self.rng.sample(others, min(3, len(others)))]
            table = member.table()
            for other in self.rng.sample(running, min(3, len(running))):
                if other is not member and self.rng.random() >= self.loss:
                    for report in reports:
                        other.receive_report(report)
                    other.receive_table(table, self.now)

    def rounds_until(self, condition, max_rounds):
        for rounds in range(max_rounds):
            if condition():
                return rounds
            self.run_round()
        raise AssertionError(f"condition not met within {max_rounds} rounds")

    def tables(self):
        return {
            tuple(member.range_sizes()) for member in self.members if member.name not in self.dead
        }


def add_attempts(balancer, loads):
    for host, attempts in zip(balancer.placement.ring, loads, strict=True):
        host.attempt_count += attempts
        balancer.placement.all_caches.attempt_count += attempts


@given(st.integers(3, 16), st.integers(0, 99), st.sampled_from([0.0, 0.5]))
@settings(max_examples=25, deadline=None)
def test_all_balancers_agree_on_one_table_from_their_common_counts(balancer_count, seed, loss):
    """Up to half of the datagrams are lost, and no balancer has counted enough attempts to rebalance alone."""
    fleet = Fleet(balancer_count, seed=seed, loss=loss)
    for balancer in fleet.balancers:  # far too few attempts for one balancer alone
        add_attempts(
            balancer,
            [2 * MIN_ATTEMPTS // balancer_count + 9] + [MIN_ATTEMPTS // balancer_count + 9] * 7,
        )
    fleet.rounds_until(
        lambda: any(member.rebalance_count for member in fleet.members),
        120 + DEFAULT_REBALANCE_INTERVAL_US // ROUND_US,
    )
    fleet.rounds_until(
        lambda: (
            len(fleet.tables()) == 1
            and min(member.table_version.number for member in fleet.members) > 0
        ),
        60,
    )
    sizes = fleet.members[0].range_sizes()
    assert sizes[0] < SLOT_COUNT // 8 < min(sizes[1:]) and sum(sizes) == SLOT_COUNT
    assert all(balancer.placement.all_caches.attempt_count == 0 for balancer in fleet.balancers)


@given(st.integers(0, 99), st.sampled_from([0.0, 0.5]))
@settings(max_examples=25, deadline=None)
def test_tables_that_differ_after_losses_of_caches_become_equal_again(seed, loss):
    """Two caches fail, and balancers are notified in different orders, so their ranges differ."""
    fleet = Fleet(12, seed=seed, loss=loss)
    for i, balancer in enumerate(fleet.balancers):
        for id in ("c2", "c3") if i % 2 else ("c3", "c2"):
            balancer.list_hosts([id], state="gone")
        balancer.list_hosts(["c2", "c3"])
    fleet.rounds_until(lambda: len(fleet.tables()) == 1, 40)
    assert sum(fleet.members[0].range_sizes()) == SLOT_COUNT


def test_a_balancer_with_another_host_list_keeps_its_own_table():
    """One balancer's list lacks a cache for a while. A table for other caches would send keys to the wrong ones."""
    fleet = Fleet(3)
    fleet.balancers[0].list_hosts(["c3"], state="gone")
    for _ in range(20):
        fleet.run_round()
    assert len(fleet.members[0].range_sizes()) == 7 and len(fleet.members[1].range_sizes()) == 8
    fleet.balancers[0].list_hosts(["c3"])
    fleet.rounds_until(lambda: len(fleet.tables()) == 1, 40)


def test_a_key_that_is_hot_only_in_total_is_hot_for_each_balancer():
    fleet = Fleet(20, caches=40)
    for i, member in enumerate(fleet.members):
        for key in range(20):
            member.placement.hot_keys.replica_count(1_000 * i + key, 40)
        member.placement.hot_keys.replica_count(7, 40)
    alone = Fleet(1, caches=40).members[0].placement.hot_keys
    for key in range(21):
        assert alone.replica_count(key, 40) == 1
    for _ in range(10):
        fleet.run_round()
    assert all(member.placement.hot_keys.replica_count(7, 40) > 1 for member in fleet.members)
    assert all(
        member.placement.hot_keys.replica_count(8_888_888, 40) == 1 for member in fleet.members
    )


def test_a_dead_balancers_report_expires_and_a_replay_of_it_is_dropped():
    """A balancer dies, and one of its datagrams is replayed later."""
    fleet = Fleet(4)
    for _ in range(10):
        fleet.run_round()
    last_report = fleet.members[3].make_report(fleet.now)
    fleet.dead.add("b3")
    member = fleet.members[0]
    member.receive_report(last_report)
    assert "b3" in names_of(member.live_reports(fleet.now))
    for _ in range(2 * REPORT_LIFETIME_US // ROUND_US):
        fleet.run_round()
    assert "b3" not in names_of(member.live_reports(fleet.now))
    late = last_report._replace(as_of_us=fleet.now)
    assert member.receive_report(late) is ReportOutcome.OLD
    restarted = late._replace(incarnation=last_report.incarnation + 1, sequence=1)
    assert member.receive_report(restarted) is ReportOutcome.KEPT


def test_a_balancer_without_reports_rebalances_as_it_would_without_gossip():
    """The network between balancers is partitioned, and each balancer decides alone."""
    for with_gossip in (False, True):
        balancer = BalancerHarness(4)
        member = GossipCounts("b0", 1, balancer.placement, Random(1), balancer.now)
        add_attempts(balancer, [200, 100, 50, 50])
        for _ in range(12):
            balancer.advance(ROUND_US)
            if with_gossip:
                member.tick(balancer.now)
        assert [host.range_size for host in balancer.placement.ring] == pytest.approx(
            [2048, 4096, 5120, 5120], abs=4
        )


def test_reports_are_bounded_and_invalid_tables_are_refused():
    """A defective balancer sends invented names and tables. Memory stays bounded and ranges stay valid."""
    balancer = BalancerHarness(4)
    member = GossipCounts("b0", 1, balancer.placement, Random(1), balancer.now)
    report = CountsReport("b0", 1, 1, balancer.now, 0, TableVersion(0, ""), [], 0.0, {})
    outcomes = [
        member.receive_report(report._replace(balancer=f"x{i}")) for i in range(MAX_REPORTS + 1)
    ]
    assert outcomes == [ReportOutcome.KEPT] * MAX_REPORTS + [ReportOutcome.TOO_MANY]
    assert member.receive_report(report) is ReportOutcome.OWN
    ring_digest = member.ring_digest()
    for sizes in ([SLOT_COUNT], [SLOT_COUNT, 0, 0, 1], [SLOT_COUNT + 5, -5, 0, 0]):
        with pytest.raises(ValueError):
            member.receive_table(RangeTable(ring_digest, TableVersion(1, "x"), sizes), balancer.now)
    other_caches = RangeTable(ring_digest ^ 1, TableVersion(9, "x"), [SLOT_COUNT, 0, 0, 0])
    assert not member.receive_table(other_caches, balancer.now)
    assert sum(member.range_sizes()) == SLOT_COUNT
    assert member.table_version == TableVersion(0, "")


def test_ranges_return_to_even_under_gossip_and_stay_equal():
    """A rolling restart of caches leaves the ranges uneven. All balancers make them even in the same way."""
    fleet = Fleet(6, caches=9)
    for balancer in fleet.balancers:
        for id in ("c3", "c4", "c5", "c7"):
            balancer.list_hosts([id], state="gone")
        for id in ("c4", "c3", "c7", "c5"):
            balancer.list_hosts([id])
    before = fleet.members[0].range_sizes()
    for _ in range(70):
        fleet.run_round()
        for balancer in fleet.balancers:
            balancer.placement.tick()
    sizes = fleet.members[0].range_sizes()
    assert max(sizes) < 1.2 * min(sizes) < max(before) and len(fleet.tables()) == 1
    assert not any(member.rebalance_count for member in fleet.members)


def test_a_report_counts_from_the_time_of_its_arrival():
    # The live reports cached earlier at the same time must be recomputed when a report arrives.
    fleet = Fleet(2)
    member, other = fleet.members
    assert not member.live_reports(fleet.now)
    member.receive_report(other.make_report(fleet.now))
    assert names_of(member.live_reports(fleet.now)) == {"b1"}
