from hypothesis import given
from hypothesis import strategies as st

from orchidgap.decisions.connection_demand import WINDOW, Need


@given(
    st.lists(st.tuples(st.integers(0, 3 * WINDOW), st.integers(1, 50)), max_size=30),
    st.integers(0, 5 * WINDOW),
)
def test_what_was_needed_in_the_last_window_is_kept_and_nothing_from_before_two(uses, after):
    need, now, seen = Need(0), 0, []
    for wait, busy in uses:
        now += wait
        need.saw(now, busy)
        seen.append((now, busy))
    now += after
    lately = [busy for at, busy in seen if now - at < WINDOW]
    possible = [busy for at, busy in seen if now - at < 2 * WINDOW]
    assert max([1, *lately]) <= need.keep(now) <= max([1, *possible])
