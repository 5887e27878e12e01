"""The state of each address in discovery's lists, also where it passes from host to host."""

import pytest
from hypothesis import assume, given
from hypothesis import strategies as st

from orchidgap.decisions.listed_addresses import (
    MAX_UNLISTED_ADDRESSES,
    ListedAddresses,
    ListedHost,
)
from orchidgap.decisions.records import HostStatus

READY, DRAINING, GONE = HostStatus.READY, HostStatus.DRAINING, HostStatus.GONE
ADDRESSES = [("127.0.0.1", port) for port in range(7_000, 7_003)]
ADDRESS = ADDRESSES[0]

entries = st.builds(
    ListedHost,
    st.sampled_from("abcd"),
    st.sampled_from(HostStatus),
    st.sampled_from([*ADDRESSES, None]),
    st.sampled_from([0, 5, 9]),
)
# a host is in a list once at most
lists = st.tuples(st.lists(entries, max_size=4, unique_by=lambda entry: entry.host), st.booleans())


def listed_after(*applied):
    listed = ListedAddresses()
    for hosts, is_whole in applied:
        listed.apply_list(hosts, is_whole=is_whole)
    return listed


def hosts_at(applied, address):
    """Return the entries of the hosts that are listed at an address, in the order of their lists."""
    by_host = {}
    for hosts, is_whole in applied:
        if is_whole:
            by_host = {}
        for entry in hosts:
            by_host.pop(entry.host, None)
            if entry.state is not GONE:
                by_host[entry.host] = entry
    return [entry for entry in by_host.values() if entry.address == address]


@given(st.lists(lists, max_size=5))
def test_an_address_has_the_state_of_a_host_that_is_listed_there(applied):
    listed = listed_after(*applied)
    for address in ADDRESSES:
        state, hosts = listed.state(address), hosts_at(applied, address)
        ever_listed = any(entry.address == address for part, _ in applied for entry in part)
        if hosts:
            newest_us = max(entry.started_at_us for entry in hosts)
            newest = {entry.state for entry in hosts if entry.started_at_us == newest_us}
            assert state in newest
        else:
            assert state == (DRAINING if ever_listed else None)


@given(st.lists(lists, max_size=4), lists, st.randoms())
def test_the_order_of_a_list_matters_only_between_hosts_of_one_address_and_one_start(
    applied, last, rng
):
    # Guards against a state that depends on which of two hosts at one address is listed last.
    hosts, is_whole = last
    starts = [(entry.address, entry.started_at_us) for entry in hosts]
    assume(len(set(starts)) == len(starts))
    shuffled = rng.sample(hosts, len(hosts))
    states = listed_after(*applied, last).states()
    assert states == listed_after(*applied, (shuffled, is_whole)).states()


@pytest.mark.parametrize(("old", "new"), [(DRAINING, READY), (READY, DRAINING)])
def test_an_address_listed_for_two_hosts_has_the_state_of_the_one_that_started_last(old, new):
    hosts = [ListedHost("a", new, ADDRESS, 9), ListedHost("b", old, ADDRESS, 5)]
    assert listed_after((hosts, True)).state(ADDRESS) is new


@pytest.mark.parametrize(("old", "new"), [(DRAINING, READY), (READY, DRAINING)])
def test_of_two_hosts_with_one_start_the_one_that_was_told_last_counts(old, new):
    first, second = ListedHost("a", old, ADDRESS, 0), ListedHost("b", new, ADDRESS, 0)
    assert listed_after(([first], True), ([second], False)).state(ADDRESS) is new


@pytest.mark.parametrize(("old", "new"), [(DRAINING, READY), (READY, DRAINING)])
def test_a_whole_list_does_not_forget_which_of_two_hosts_was_told_last(old, new):
    # Guards against an address that goes back to the host before, as the list has that one last.
    first, second = ListedHost("a", old, ADDRESS, 0), ListedHost("b", new, ADDRESS, 0)
    applied = ([first], True), ([second], False), ([second, first], True)
    assert listed_after(*applied).state(ADDRESS) is new


def test_an_address_that_its_host_has_left_drains():
    # Guards against an address whose host is listed at another one, and stays ready.
    moved = ListedHost("a", READY, ADDRESSES[1], 0)
    listed = listed_after(([ListedHost("a", READY, ADDRESS, 0)], True), ([moved], False))
    assert listed.states() == {ADDRESS: DRAINING, ADDRESSES[1]: READY}


def test_states_of_an_older_process_hold_until_a_list_is_applied():
    listed = listed_after(([ListedHost("a", DRAINING, ADDRESS, 0)], True))
    listed.restore_states({ADDRESS: READY, ADDRESSES[1]: DRAINING, ADDRESSES[2]: READY})
    assert listed.states() == {ADDRESS: READY, ADDRESSES[1]: DRAINING}
    listed.apply_list([ListedHost("b", READY, ADDRESSES[1], 0)], is_whole=True)
    assert listed.states() == {ADDRESS: DRAINING, ADDRESSES[1]: READY}


def test_only_so_many_addresses_without_a_host_are_remembered():
    hosts = [
        ListedHost(f"s{port}", READY, ("127.0.0.1", port), 0)
        for port in range(MAX_UNLISTED_ADDRESSES + 10)
    ]
    listed = listed_after((hosts, True), (hosts[5:6], True))
    assert len(listed.states()) == MAX_UNLISTED_ADDRESSES + 1
    assert listed.state(hosts[4].address) is None
    assert listed.state(hosts[5].address) is READY
    assert listed.state(hosts[-1].address) is DRAINING
