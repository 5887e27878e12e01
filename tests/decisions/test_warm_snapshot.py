"""Tests of the warm-restart snapshot: a successor restores it, and no content can break its decisions."""

import copy

import orjson
import pytest
from balancer_harness import BalancerHarness
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from orchidgap.decisions.hash_ranges import SLOT_COUNT
from orchidgap.decisions.warm_snapshot import (
    CLOCK_SLACK_US,
    HOST_FIELDS,
    RANGE_SIZE,
    STARTED_AT,
    export_snapshot,
    restore_snapshot,
)


def balancer_with_history():
    balancer = BalancerHarness(3)
    for key in range(40):
        balancer.finish_attempt(balancer.send_request(key, tenant="big"), "done")
    host = balancer.hosts["c1"]
    host.concurrency_limit = 2.5
    host.smoothed_latency_us = 90_000
    host.ejected_until_us = balancer.now + 400_000
    ring = balancer.placement.ring
    ring[0].range_size -= 500
    ring[2].range_size += 500
    balancer.placement.ranges.refresh()
    return balancer


def test_a_snapshot_is_fully_restored_from_json():
    """A restart must not reset limits and latencies: hosts would be overloaded until they are learnt again."""
    old, new = balancer_with_history(), BalancerHarness(3)
    assert restore_snapshot(new, orjson.loads(orjson.dumps(export_snapshot(old)))) == 4
    assert (
        export_snapshot(new) == export_snapshot(old)
        and new.placement.ranges.range_ends == old.placement.ranges.range_ends
    )
    assert (
        type(new.hosts["c1"].smoothed_latency_us) is int
        and type(new.hosts["c1"].concurrency_limit) is float
    )


def test_values_of_a_restarted_host_and_ranges_of_other_caches_are_not_restored():
    """A cache restarts, or joins, while the balancer is replaced. The exported values are those of another
    process, or the ranges those of another set of caches."""
    old, new = balancer_with_history(), BalancerHarness(3)
    new.list_hosts(["c1"], started_at_us=77)
    before = new.placement.ranges.range_ends[:]
    assert restore_snapshot(new, export_snapshot(old)) == 3
    assert (
        new.hosts["c1"].smoothed_latency_us == 0
        and new.hosts["c0"].retry_budget == old.hosts["c0"].retry_budget
        and new.placement.ranges.range_ends == before
    )
    more = BalancerHarness(4)
    before = more.placement.ranges.range_ends[:]
    restore_snapshot(more, export_snapshot(old))
    assert (
        more.placement.ranges.range_ends == before
        and sum(host.range_size for host in more.placement.ring) == SLOT_COUNT
    )


@pytest.mark.parametrize(
    "snapshot",
    [
        None,
        7,
        [],
        {},
        {"hosts": 7},
        {"hosts": {"c0": 7}},
        {"tenants": 7, "hosts": {}},
        {"hosts": {}, "tenants": {"big": 7, "small": [1], "none": [1.0, 1.0]}},
    ],
)
def test_an_invalid_snapshot_changes_nothing(snapshot):
    """A predecessor of another version sends other content. The successor keeps its own state."""
    balancer = balancer_with_history()
    before = copy.deepcopy(export_snapshot(balancer))
    assert restore_snapshot(balancer, snapshot) == 0 and export_snapshot(balancer) == before


HOST_NAMES = [*(field.name for field in HOST_FIELDS), RANGE_SIZE, STARTED_AT]
VALUE = st.one_of(
    st.none(),
    st.booleans(),
    st.text(max_size=3),
    st.integers(-(1 << 70), 1 << 70),
    st.floats(),
    st.lists(st.integers(), max_size=2),
)


@settings(
    deadline=None, suppress_health_check=[HealthCheck.too_slow]
)  # examples may be slow on a busy machine
@given(
    st.dictionaries(
        st.sampled_from(["c0", "c1", "c2", "o", "x"]),
        st.dictionaries(st.sampled_from(HOST_NAMES), VALUE),
        max_size=5,
    ),
    st.dictionaries(
        st.sampled_from(["big", "small", "x"]), st.lists(VALUE, max_size=3), max_size=3
    ),
)
def test_no_restored_value_can_break_decisions(hosts, tenants):
    """A defective predecessor sends arbitrary values. No request may hang or fail because of them."""
    balancer = BalancerHarness(3)
    for fields in hosts.values():
        if fields.get("since", 0) in (None, 0):
            fields["since"] = 0
    restore_snapshot(balancer, {"hosts": hosts, "tenants": tenants})
    for host in balancer.hosts.values():
        assert (
            0 < host.concurrency_limit <= 1e5
            and 0 <= host.smoothed_latency_us <= 6e7
            and 0 <= host.retry_budget <= 10
        )
        assert (
            max(host.limit_decreased_at_us, host.latency_recorded_at_us, host.last_response_at_us)
            <= balancer.now + CLOCK_SLACK_US
        )
        assert (
            host.ejected_until_us <= balancer.now + 1_050_000
            and host.warm_at_us <= balancer.now + 60_050_000
        )
    assert sum(host.range_size for host in balancer.placement.ring) == SLOT_COUNT
    assert all(0 <= shed <= 0.9 for shed in balancer.admission.shed_ratios.values())
    for key in range(20):
        request = balancer.send_request(key)
        if balancer.attempted_hosts(request):
            balancer.finish_attempt(request, "done")
    balancer.advance(70_000_000)
    request = balancer.send_request(3)
    assert balancer.attempted_hosts(request) or balancer.actions("deny", request)
