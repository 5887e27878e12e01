"""Balancers that tell each other what they counted come to one table and see what all see, whatever gets lost."""

from random import Random

import pytest
from balancer_harness import BalancerHarness
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidgap.decisions.gossip_counts import AGE, GAP, MOST_ROWS, Pool, Row
from orchidgap.decisions.hash_ranges import SLOT_COUNT
from orchidgap.decisions.rebalancing import REBALANCE_MIN_ATTEMPTS as SENDS

BEAT = 500_000
START = 100_000_000


class Fleet:
    """Pools on balancers; each beat every one tells two others, and a part of that is lost."""

    def __init__(self, count, caches=8, seed=1, loss=0.0):
        self.rng, self.loss, self.now = Random(seed), loss, START
        self.balancers = [BalancerHarness(caches, now=START) for _ in range(count)]
        self.pools = [
            Pool(f"b{i}", START, balancer.placement, Random(seed + i), START)
            for i, balancer in enumerate(self.balancers)
        ]
        self.dead = set()

    def beat(self):
        self.now += BEAT
        for balancer in self.balancers:
            balancer.now = self.now
        there = [pool for pool in self.pools if pool.name not in self.dead]
        for pool in there:
            pool.tick(self.now)
            rows = [
                (pool.name, pool.own(self.now)),
                *self.rng.sample(pool.live(self.now), min(3, len(pool.live(self.now)))),
            ]
            told = rows[0][1].ring, pool.version, pool.sizes()
            for other in self.rng.sample(there, min(3, len(there))):
                if other is not pool and self.rng.random() >= self.loss:
                    for name, row in rows:
                        other.hear(name, row)
                    other.meets(*told, self.now)

    def beats_until(self, seen, most):
        for beats in range(most):
            if seen():
                return beats
            self.beat()
        raise AssertionError(f"not seen in {most} beats")

    def tables(self):
        return {tuple(pool.sizes()) for pool in self.pools if pool.name not in self.dead}


def count(balancer, loads):
    for host, sends in zip(balancer.placement.ring, loads, strict=True):
        host.attempt_count += sends
        balancer.placement.all_caches.attempt_count += sends


@given(st.integers(3, 16), st.integers(0, 99), st.sampled_from([0.0, 0.5]))
@settings(max_examples=25, deadline=None)
def test_all_draw_one_table_by_the_counts_of_all(count_of, seed, loss):
    fleet = Fleet(count_of, seed=seed, loss=loss)
    for balancer in fleet.balancers:  # far too few by themselves
        count(balancer, [2 * SENDS // count_of + 9] + [SENDS // count_of + 9] * 7)
    fleet.beats_until(lambda: any(pool.draws for pool in fleet.pools), 120 + GAP // BEAT)
    fleet.beats_until(
        lambda: len(fleet.tables()) == 1 and min(pool.version[0] for pool in fleet.pools) > 0, 60
    )
    sizes = fleet.pools[0].sizes()
    assert sizes[0] < SLOT_COUNT // 8 < min(sizes[1:]) and sum(sizes) == SLOT_COUNT
    assert all(balancer.placement.all_caches.attempt_count == 0 for balancer in fleet.balancers)


@given(st.integers(0, 99), st.sampled_from([0.0, 0.5]))
@settings(max_examples=25, deadline=None)
def test_tables_that_losses_left_unlike_agree_again(seed, loss):
    fleet = Fleet(12, seed=seed, loss=loss)
    for i, balancer in enumerate(fleet.balancers):
        for id in ("c2", "c3") if i % 2 else ("c3", "c2"):
            balancer.list_hosts([id], state="gone")
        balancer.list_hosts(["c2", "c3"])
    fleet.beats_until(lambda: len(fleet.tables()) == 1, 40)
    assert sum(fleet.pools[0].sizes()) == SLOT_COUNT


def test_who_has_another_list_keeps_its_table_until_it_has_the_same():
    fleet = Fleet(3)
    fleet.balancers[0].list_hosts(["c3"], state="gone")
    for _ in range(20):
        fleet.beat()
    assert len(fleet.pools[0].sizes()) == 7 and len(fleet.pools[1].sizes()) == 8
    fleet.balancers[0].list_hosts(["c3"])
    fleet.beats_until(lambda: len(fleet.tables()) == 1, 40)


def test_a_key_that_all_see_a_little_is_hot_for_each():
    fleet = Fleet(20, caches=40)
    for i, pool in enumerate(fleet.pools):
        for key in range(20):
            pool.placement.hot_keys.replica_count(1_000 * i + key, 40)
        pool.placement.hot_keys.replica_count(7, 40)
    alone = Fleet(1, caches=40).pools[0].placement.hot_keys
    for key in range(21):
        assert alone.replica_count(key, 40) == 1
    for _ in range(10):
        fleet.beat()
    assert all(pool.placement.hot_keys.replica_count(7, 40) > 1 for pool in fleet.pools)
    assert all(pool.placement.hot_keys.replica_count(8_888_888, 40) == 1 for pool in fleet.pools)


def test_a_dead_balancers_row_counts_no_more_and_is_no_news_later():
    fleet = Fleet(4)
    for _ in range(10):
        fleet.beat()
    said = fleet.pools[3].own(fleet.now)
    fleet.dead.add("b3")
    pool = fleet.pools[0]
    pool.hear("b3", said)
    assert "b3" in dict(pool.live(fleet.now))
    for _ in range(2 * AGE // BEAT):
        fleet.beat()
    assert "b3" not in dict(pool.live(fleet.now))
    assert pool.hear("b3", said._replace(since=fleet.now)) == "old"
    assert pool.hear("b3", said._replace(life=said.life + 1, number=1, since=fleet.now)) == ""


def test_alone_it_draws_as_it_would_without():
    for with_pool in (False, True):
        balancer = BalancerHarness(4)
        pool = Pool("b0", 1, balancer.placement, Random(1), balancer.now)
        count(balancer, [200, 100, 50, 50])
        for _ in range(12):
            balancer.advance(BEAT)
            if with_pool:
                pool.tick(balancer.now)
        assert [host.range_size for host in balancer.placement.ring] == pytest.approx(
            [2048, 4096, 5120, 5120], abs=4
        )


def test_rows_are_bounded_and_a_table_that_cannot_be_is_refused():
    balancer = BalancerHarness(4)
    pool = Pool("b0", 1, balancer.placement, Random(1), balancer.now)
    row = Row(1, 1, balancer.now, 0, (0, ""), [], 0.0, {})
    said = [pool.hear(f"x{i}", row) for i in range(MOST_ROWS + 1)]
    assert said == [""] * MOST_ROWS + ["many"] and pool.hear("b0", row) == "own"
    for sizes in ([SLOT_COUNT], [SLOT_COUNT, 0, 0, 1], [SLOT_COUNT + 5, -5, 0, 0]):
        with pytest.raises(ValueError):
            pool.meets(pool.ring(), (1, "x"), sizes, balancer.now)
    assert not pool.meets(pool.ring() ^ 1, (9, "x"), [SLOT_COUNT, 0, 0, 0], balancer.now)
    assert sum(pool.sizes()) == SLOT_COUNT and pool.version == (0, "")


def test_ranges_go_back_to_even_under_a_pool_too_and_agree():
    fleet = Fleet(6, caches=9)
    for balancer in fleet.balancers:
        for id in ("c3", "c4", "c5", "c7"):
            balancer.list_hosts([id], state="gone")
        for id in ("c4", "c3", "c7", "c5"):
            balancer.list_hosts([id])
    before = fleet.pools[0].sizes()
    for _ in range(70):
        fleet.beat()
        for balancer in fleet.balancers:
            balancer.placement.tick()
    sizes = fleet.pools[0].sizes()
    assert max(sizes) < 1.2 * min(sizes) < max(before) and len(fleet.tables()) == 1
    assert not any(pool.draws for pool in fleet.pools)
