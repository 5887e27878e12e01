"""When ranges are resized, and by which loads."""

import pytest
from desk import Desk, rated, sizes


def test_ranges_that_losses_moved_go_back_to_even_where_counts_are_few():
    """After a release of half the caches the widest range stood at two and a half of the narrowest, for minutes."""
    desk = Desk(9)
    for id in ("c3", "c4", "c5", "c7"):
        desk.list([id], state="gone")
    for id in ("c4", "c3", "c7", "c5"):
        desk.list([id])
    moved = sizes(desk)
    assert max(moved.values()) > 1.8 * min(moved.values())
    desk.wait(9_000_000)
    assert sizes(desk) == moved, "the list may not be done yet"
    desk.wait(15_000_000)
    evened = sizes(desk)
    assert max(evened.values()) < 1.2 * min(evened.values())
    desk.wait(60_000_000)
    assert sizes(desk) == evened


def test_ranges_that_counts_drew_are_not_evened_beside_them():
    desk = Desk(4)
    for host, count in zip(desk.placement.ring, (200, 100, 50, 50), strict=True):
        host.attempt_count = count
    desk.placement.all_caches.attempt_count = 400
    desk.wait(6_000_000)
    desk.list(["c3"], state="gone")
    drawn = sizes(desk)
    assert len(set(drawn.values())) > 1
    desk.wait(60_000_000)
    assert sizes(desk) == drawn


@pytest.mark.parametrize(
    ("sends", "after"),
    [
        ([100, 100, 100, 100], [4096, 4096, 4096, 4096]),
        ([200, 100, 50, 50], [2048, 4096, 5120, 5120]),
        ([399, 1, 0, 0], [1024, 5109, 5126, 5126]),
    ],
)  # at the floor of a quarter; the rest rescaled
def test_redraw(sends, after):
    desk = Desk(4)
    for host, count in zip(desk.placement.ring, sends, strict=True):
        host.attempt_count = count
    desk.placement.all_caches.attempt_count = 400
    desk.wait(4_000_000)
    assert set(sizes(desk).values()) == {4096}, "not before its time"
    desk.wait(2_000_000)
    assert list(sizes(desk).values()) == pytest.approx(after, abs=4)


def test_redraw_prefers_reports_and_takes_unheard_and_cold_at_the_mean():
    desk = Desk(4)
    desk.list(["c3"], since=99_000_000)  # cold
    for host in desk.placement.ring:
        host.attempt_count = 100
    desk.placement.all_caches.attempt_count = 400
    for id, rate in (("c0", 30.0), ("c1", 10.0), ("c2", 20.0)):
        desk.on_load_report(id, rate)
    desk.on_load_report("nobody", 1.0)
    desk.wait(6_000_000)
    assert list(sizes(desk).values()) == pytest.approx([3072, 5120, 4096, 4096], abs=4)


def test_a_redraw_leaves_sizes_that_are_asked_as_they_can_carry():
    desk = rated([1.0, 3.0])
    for host, count in zip(desk.placement.ring, (100, 300), strict=True):
        host.attempt_count = count
    desk.placement.all_caches.attempt_count = 400
    desk.wait(6_000_000)
    assert list(sizes(desk).values()) == pytest.approx([4096, 12288], abs=2)


def test_an_owner_that_turns_away_counts_twice_for_the_redraw():
    desk = Desk()
    owner = desk.hosts[desk.owner(1)]
    owner.concurrency_limit, before = 0.0, owner.attempt_count
    owner.limit_decreased_at_us = desk.now
    desk.put(1)
    assert owner.attempt_count == before + 4 and owner.id not in desk.sent(desk.number)
