"""Owners of slots are known only where servers agree, and the slot map is refreshed in time."""

from itertools import pairwise
from random import Random

from hypothesis import given
from hypothesis import strategies as st

from orchidgap.decisions.hash_ranges import SLOT_COUNT
from orchidgap.decisions.slot_map import (
    JITTER_RATIO,
    MAX_REDIRECTS,
    MIN_REFRESH_INTERVAL_US,
    REFRESH_INTERVAL_US,
    RedirectAction,
    SlotMap,
    SlotRange,
    redirect_action,
)

EDGE = st.integers(0, 40)
RANGES = st.lists(st.builds(SlotRange, EDGE, EDGE, st.sampled_from("abc")), max_size=8)


@given(RANGES)
def test_a_slot_has_an_owner_if_all_ranges_that_contain_it_agree(ranges):
    """If two servers claim a slot, a request sent to one by guess could reach the wrong server."""
    slots = SlotMap(Random(1), 0)
    slots.replace(ranges, 0)
    claims = [
        {each.owner for each in ranges if each.first <= slot <= each.last} for slot in range(50)
    ]
    for slot, owners in enumerate(claims):
        assert slots.owner(slot) == (min(owners) if len(owners) == 1 else None)
    assert slots.conflicting_slot_count == sum(len(owners) > 1 for owners in claims)
    assert slots.unknown_slot_count() == SLOT_COUNT - sum(len(owners) == 1 for owners in claims)


@given(st.lists(st.tuples(st.integers(0, 3_000_000), st.sampled_from(["redirect", "fail", "map"]))))
def test_refreshes_are_neither_too_frequent_nor_omitted(steps):
    """If each redirection caused a refresh, a resharding would load servers with map requests."""
    slots, now, started = SlotMap(Random(1), 0), 0, []
    for wait, step in steps:
        now += wait
        if slots.start_refresh_if_due(now):
            started.append(now)
        if step == "redirect":
            slots.set_owner(7, "b", now)
        elif step == "fail":
            slots.on_refresh_failed(now)
        else:
            slots.replace([SlotRange(0, 9, "a")], now)
        assert slots.refresh_due_us <= now + REFRESH_INTERVAL_US * (1 + JITTER_RATIO)
    assert all(after - before >= MIN_REFRESH_INTERVAL_US for before, after in pairwise(started))


def test_redirections_are_limited_and_a_draining_server_gets_no_requests():
    """Two servers that redirect to each other would otherwise cause an endless loop."""
    for count in range(MAX_REDIRECTS + 3):
        expected = RedirectAction.FOLLOW if count < MAX_REDIRECTS else RedirectAction.GIVE_UP
        assert redirect_action(count, True, False) is expected
        assert redirect_action(count, True, True) is RedirectAction.GIVE_UP
