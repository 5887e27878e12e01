"""Tests that as many connections are kept as were needed recently, and no more than that."""

from hypothesis import given
from hypothesis import strategies as st

from orchidgap.decisions.connection_demand import WINDOW_US, ConnectionDemand


@given(
    st.lists(st.tuples(st.integers(0, 3 * WINDOW_US), st.integers(1, 50)), max_size=30),
    st.integers(0, 5 * WINDOW_US),
)
def test_demand_of_the_last_window_is_kept_and_demand_before_the_last_two_is_not(uses, after):
    demand, now, recorded = ConnectionDemand(0), 0, []
    for wait, in_use in uses:
        now += wait
        demand.record(now, in_use)
        recorded.append((now, in_use))
    now += after
    recent = [in_use for at, in_use in recorded if now - at < WINDOW_US]
    possible = [in_use for at, in_use in recorded if now - at < 2 * WINDOW_US]
    assert max([1, *recent]) <= demand.worth_keeping(now) <= max([1, *possible])
