"""Collects the starts of a fault test's balancers and checks their readiness."""

from __future__ import annotations

from orchidgap.fault_tests.balancer_process import ClusterBalancer
from orchidgap.fault_tests.cluster import SLACK_US, Cluster
from orchidgap.fault_tests.readiness_watch import ReadinessReport, check_starts, overlap_us


def check_readiness(cluster: Cluster) -> ReadinessReport:
    """Check all starts of the run up to now."""
    starts = [
        start
        for instance in cluster.balancers.values()
        if isinstance(instance, ClusterBalancer)
        for start in instance.starts
    ]

    def usable_us(balancer: str, since_us: int, until_us: int) -> int:
        """Return how much of an interval a balancer could use to become ready."""
        delay_us = cluster.run_delay_us(balancer, since_us, until_us)
        if cluster.controls:  # the intervals with a majority exclude pauses of the process
            reached = cluster.majority_watch.intervals.get(balancer, [])
            intervals = [(interval.since_us, interval.until_us) for interval in reached]
            return overlap_us(intervals, since_us, until_us) - delay_us
        stopped_us = overlap_us(cluster.balancers[balancer].pauses, since_us, until_us)
        return until_us - since_us - stopped_us - delay_us

    return check_starts(starts, cluster.loop.now, SLACK_US, usable_us)
