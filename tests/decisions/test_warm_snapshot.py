"""A successor begins with what its predecessor knew, and nothing in a snapshot can break what is decided."""

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


def test_a_snapshot_is_restored_whole_by_way_of_json():
    """A restart must not empty limits and latencies: hosts would be flooded until they are learnt anew."""
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


def test_a_host_that_started_since_is_left_as_it_is_and_ranges_of_other_caches_are_not_taken():
    """A cache restarts, or joins, while the balancer is replaced: what was known is of another one."""
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
def test_what_makes_no_sense_changes_nothing(snapshot):
    """A predecessor of another version says something else. The successor keeps what it has."""
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
)  # a busy machine is no verdict
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
def test_no_value_can_break_what_is_decided(hosts, tenants):
    """A predecessor with a defect says anything. No request may hang or fail for that."""
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
