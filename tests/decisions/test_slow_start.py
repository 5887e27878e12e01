"""How many attempts a cold cache gets from one balancer and from all: a random part of its share."""

from math import sqrt
from random import Random

import pytest
from balancer_harness import BalancerHarness

CACHE_COUNT, REQUEST_RATE, WARM_UP_US = (
    10,
    600,
    10_000_000,
)  # caches; requests per second of all balancers; the warm-up time in the harness's settings
COLD_FRACTION, STEP_US = 0.2, 10_000
WINDOW_US = 1_500_000


class Fleet:
    def __init__(self, balancer_count, caches=CACHE_COUNT):
        self.balancers, self.rng = (
            [BalancerHarness(caches) for _ in range(balancer_count)],
            Random(balancer_count),
        )
        for i, balancer in enumerate(self.balancers):
            balancer.rng.seed(i)
        self.sent = []  # times of attempts at c3

    def run(self, duration_us, rate=REQUEST_RATE, key=None):
        for _ in range(duration_us // STEP_US):
            for _ in range(rate * STEP_US // 1_000_000):
                balancer = self.rng.choice(self.balancers)
                request = balancer.send_request(
                    self.rng.randrange(1 << 30) if key is None or self.rng.random() > 0.1 else key
                )
                for host in balancer.attempted_hosts(request):
                    if host == "c3":
                        self.sent.append(balancer.now)
                    balancer.finish_attempt(request, "done")
                balancer.port.actions.clear()
            for balancer in self.balancers:
                balancer.advance(STEP_US)

    def restart_c3(self):
        """Restart c3, and notify all balancers."""
        now = self.balancers[0].now
        for balancer in self.balancers:
            balancer.list_hosts(["c3"], started_at_us=now)
        self.sent.clear()
        return now

    def worst_excess(self, start, rate=REQUEST_RATE):
        """Return by how many attempts, at most, a window exceeds the share of a cache as warm as c3."""
        worst = -1e9
        for at in range(start, start + WARM_UP_US - WINDOW_US, WINDOW_US // 3):
            sent_in_window = sum(at <= when < at + WINDOW_US for when in self.sent)
            warmth = (
                COLD_FRACTION + (1 - COLD_FRACTION) * (at + WINDOW_US - start) / WARM_UP_US
            )  # at the end of the window, as it rises
            n = rate / CACHE_COUNT * warmth * WINDOW_US / 1e6
            worst = max(worst, sent_in_window - n - 2 * sqrt(n) - 2)
        return worst


@pytest.mark.parametrize("balancer_count", [1, 5, 20, 30, 200])
@pytest.mark.parametrize("key", [None, 11])
def test_a_cold_cache_gets_no_more_than_its_share_from_any_number_of_balancers(balancer_count, key):
    fleet = Fleet(balancer_count)
    fleet.run(4_000_000, key=key)
    start = fleet.restart_c3()
    fleet.run(WARM_UP_US, key=key)
    assert fleet.worst_excess(start) <= 0, len(fleet.sent)
    assert len(fleet.sent) > REQUEST_RATE / CACHE_COUNT * COLD_FRACTION * WARM_UP_US / 1e6 / 2, (
        "it gets some requests to warm up with"
    )


@pytest.mark.parametrize("balancer_count", [20, 200])
def test_a_cold_cache_accumulates_no_probability_before_a_burst(balancer_count):
    fleet = Fleet(balancer_count)
    fleet.run(2_000_000, rate=100)
    start = fleet.restart_c3()
    fleet.run(2_000_000, rate=100)  # few requests for a while, then a burst
    fleet.run(WARM_UP_US - 2_000_000, rate=REQUEST_RATE)
    assert fleet.worst_excess(start) <= 0


def test_a_cold_host_gets_its_share_and_no_more():
    balancer = BalancerHarness(4)
    balancer.list_hosts(["c1"], started_at_us=balancer.now)  # restarted: it has 0.2 of its capacity
    hosts = [balancer.owner_of_key(key) for key in range(4000)]
    assert 160 <= hosts.count("c1") <= 245  # a fifth of its share, from the first request on
    balancer.advance(11_000_000)
    assert [balancer.owner_of_key(key) for key in range(400)].count("c1") > 70


def test_a_start_within_the_warm_up_time_counts_from_the_first_list_on():
    balancer = BalancerHarness(0)
    balancer.list_hosts(["c0"], "recalled", started_at_us=balancer.now - 5_000_000)
    assert balancer.hosts["c0"].warm_at_us == balancer.now + 5_000_000


def test_a_host_that_refused_connections_is_cold_after_its_restart():
    """Found by a trial: it had restarted before the list showed that, and got its full load at once."""
    balancer = BalancerHarness(2)
    host = balancer.hosts[balancer.owner_of_key(1)]
    assert balancer.placement.accepts(host)
    balancer.finish_attempt(balancer.send_request(1), "refused")
    host.concurrency_limit = 1e9
    balancer.advance(600_000)
    for _ in range(300):
        balancer.placement.slow_start.placements += 1
        host.in_flight += balancer.placement.accepts(host)
    assert 15 < host.in_flight < 120, "its capacity is 0.2 to 0.3 of its usual half of the requests"
    balancer.advance(10_000_000)
    host.in_flight = 0
    assert all(balancer.placement.accepts(host) for _ in range(50))


class ColdFleet(Fleet):
    """All caches have just started, and the origin has no spare capacity for reads."""

    def __init__(self, balancer_count, caches=CACHE_COUNT):
        super().__init__(balancer_count, caches)
        for balancer in self.balancers:
            now = balancer.now
            balancer.list_hosts([f"c{i}" for i in range(caches)], started_at_us=now)
            balancer.origin.has_spare_capacity = lambda: False


@pytest.mark.parametrize("balancer_count", [1, 5, 20, 200])
def test_caches_that_are_all_cold_get_as_much_as_they_can_serve(balancer_count):
    """Found by the soak test: after a rollout of all caches reads were denied until one was warm.

    Each balancer's probability depended on its attempts, which decreased to 0 by themselves.
    """
    fleet = ColdFleet(balancer_count)
    start = fleet.balancers[0].now
    fleet.run(WARM_UP_US - STEP_US)
    assert fleet.worst_excess(start) <= 0, len(fleet.sent)
    warmth = (COLD_FRACTION + 1) / 2  # the mean of the warm-up
    assert len(fleet.sent) > REQUEST_RATE / CACHE_COUNT * warmth * WARM_UP_US / 1e6 / 2


@pytest.mark.parametrize("balancer_count", [5, 200])
def test_the_first_cache_to_return_gets_no_more_than_its_own_share(balancer_count):
    """After all caches stopped at once, the share of the others would overload the first one."""
    fleet = ColdFleet(balancer_count)
    for balancer in fleet.balancers:
        others = [f"c{i}" for i in range(CACHE_COUNT) if i != 3]
        balancer.list_hosts(others, state="gone")
    fleet.restart_c3()
    fleet.run(WARM_UP_US - STEP_US)
    share = REQUEST_RATE / CACHE_COUNT * (COLD_FRACTION + 1) / 2 * WARM_UP_US / 1e6
    assert share / 2 < len(fleet.sent) < share + 3 * sqrt(share)


def test_denied_requests_count_only_while_no_cache_is_warm():
    """Denied requests raised the probability of a cold cache beside warm ones and overloaded it."""
    balancer = BalancerHarness(4)
    balancer.origin.has_spare_capacity = lambda: False
    balancer.list_hosts(["c0", "c1", "c2"], started_at_us=balancer.now)
    balancer.hosts["c3"].ejected_until_us = balancer.now + 20_000_000
    for key in range(1000):
        balancer.send_request(key)
    assert balancer.placement.slow_start.placements < 100


def restart_all_caches(balancer, caches):
    """Restart all caches, while the origin has no spare capacity for reads."""
    balancer.list_hosts([f"c{i}" for i in range(caches)], started_at_us=balancer.now)
    balancer.origin.has_spare_capacity = lambda: False


@pytest.mark.parametrize("balancer_count", [5, 40])
def test_client_retries_do_not_overload_caches_that_are_all_cold(balancer_count):
    """Retries that cold caches cause must not raise their load: balancers know the earlier rate."""
    fleet = Fleet(balancer_count)
    fleet.run(4_000_000)
    start = fleet.balancers[0].now
    for balancer in fleet.balancers:
        restart_all_caches(balancer, CACHE_COUNT)
    fleet.sent.clear()
    fleet.run(WARM_UP_US - STEP_US, rate=6 * REQUEST_RATE)
    assert fleet.worst_excess(start) <= 0, len(fleet.sent)
    assert (
        len(fleet.sent)
        > REQUEST_RATE / CACHE_COUNT * (COLD_FRACTION + 1) / 2 * WARM_UP_US / 1e6 / 2
    )


def test_marked_client_retries_do_not_count_while_all_caches_are_cold():
    """Guards against overload by client retries at a balancer that knows no rate, as it just started."""
    balancer = BalancerHarness(4)
    restart_all_caches(balancer, 4)
    balancer.hosts["o"].in_flight = 1
    for number in range(1, 101):
        balancer.on_request(number, 2_000_000, False, "read", number, "small", is_client_retry=True)
    assert balancer.placement.slow_start.placements == 0
    balancer.on_request(101, 2_000_000, False, "read", 101, "small")
    assert balancer.placement.slow_start.placements == 1


@pytest.mark.parametrize("one_is_warm", [False, True])
def test_a_miss_while_all_caches_are_cold_is_not_queued_for_the_origin(one_is_warm):
    """Guards against overload of the origin by misses of caches that lack all keys."""
    balancer = BalancerHarness(4)
    restart_all_caches(balancer, 3 if one_is_warm else 4)
    balancer.hosts["o"].in_flight = 1
    balancer.placement.slow_start.placements = 1_000
    request = balancer.send_request(1)
    balancer.finish_attempt(request, "miss")
    assert bool(balancer.actions("deny", request)) is not one_is_warm
