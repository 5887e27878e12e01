"""How the reported attempts in flight change the limits of hosts."""

import pytest
from balancer_harness import BalancerHarness


def test_a_host_that_reports_far_more_load_than_others_gets_a_lower_limit():
    balancer = BalancerHarness(
        4, instances="200", **{"report.how": "inline", "report.fields": "concurrent,mean_ms"}
    )
    for id, in_flight in (("c0", 1.0), ("c1", 2.0), ("c2", 2.0), ("c3", 8.0)):
        balancer.on_load_report(id, None, in_flight)
    balancer.advance(600_000)
    balancer.on_load_report("c3", None, 7.9)  # the fair load is three times the median plus two
    assert balancer.hosts["c3"].concurrency_limit >= 1
    balancer.on_load_report("c3", None, 80.0)
    assert (
        balancer.hosts["c3"].concurrency_limit == pytest.approx(0.1, abs=0.05)
        and balancer.hosts["c1"].concurrency_limit >= 1
    )
    balancer.on_load_report("nobody", 1.0, 80.0)
