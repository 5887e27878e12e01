"""Tests of which configuration may replace another one in a running process."""

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from orchidgap.decisions.config_compatibility import (
    OPTIONAL_KEYS,
    empty_lists,
    find_incompatibility,
    shape_of,
)

NAMES = st.sampled_from(["a", "b", "c", *sorted(OPTIONAL_KEYS)])
LEAVES = st.one_of(st.none(), st.booleans(), st.integers(), st.floats(), st.text(max_size=2))
TREES = st.dictionaries(
    NAMES,
    st.recursive(
        LEAVES,
        lambda inner: st.one_of(
            st.lists(inner, max_size=3),
            st.dictionaries(NAMES, inner, max_size=3),
            st.lists(st.dictionaries(NAMES, inner, max_size=3), max_size=3),
        ),
        max_leaves=8,
    ),
    max_size=4,
)


@settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(TREES)
def test_a_configuration_is_compatible_with_itself(tree):
    assert find_incompatibility(shape_of(tree), shape_of(tree), empty_lists(tree)) == ""


@settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(TREES, LEAVES)
def test_a_key_may_be_added_and_must_then_be_kept(tree, value):
    """A configuration adds a new key, and the configuration after it lacks that key again."""
    with_key = tree | {"new": value}
    assert find_incompatibility(shape_of(tree), shape_of(with_key), empty_lists(with_key)) == ""
    reason = find_incompatibility(shape_of(with_key), shape_of(tree), empty_lists(tree))
    assert reason == "new is missing"


@settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(TREES, st.integers(), st.text())
def test_a_value_must_keep_its_kind(tree, number, text):
    """A number becomes a string, for example by mistaken quotes."""
    reason = find_incompatibility(shape_of({"new": number}), shape_of(tree | {"new": text}))
    assert reason == "new is a string, but was a number"


@settings(deadline=None, suppress_health_check=[HealthCheck.too_slow])
@given(TREES, st.sampled_from(sorted(OPTIONAL_KEYS)))
def test_optional_keys_may_be_left_out(tree, name):
    without = {key: value for key, value in tree.items() if key != name}
    assert find_incompatibility(shape_of(tree), shape_of(without), empty_lists(without)) == ""


def test_keys_of_items_may_be_missing_if_their_list_becomes_empty():
    old = shape_of({"hosts": [{"name": "x"}]})
    emptied = {"hosts": []}
    assert find_incompatibility(old, shape_of(emptied)) == "hosts.*.name is missing"
    assert find_incompatibility(old, shape_of(emptied), empty_lists(emptied)) == ""
