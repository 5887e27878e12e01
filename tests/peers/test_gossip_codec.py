"""What one balancer writes another reads, and whatever else comes is refused without harm."""

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from orchidgap.decisions.gossip_counts import CountsReport, RangeTable, TableVersion
from orchidgap.peers.gossip_codec import (
    MAX_CACHES,
    MAX_DATAGRAM_BYTES,
    BadSignatureError,
    Datagram,
    GossipCodec,
    MalformedDatagramError,
)

CODEC = GossipCodec("0123456789abcdef")
NOW = 10**12
COUNT = st.integers(0, 10**6)
VERSION = st.builds(TableVersion, COUNT, st.text("abc", max_size=8))
REPORT = st.builds(
    CountsReport,
    balancer=st.text("abc", min_size=1, max_size=8),
    incarnation=COUNT,
    sequence=COUNT,
    as_of_us=st.integers(NOW - 10**7, NOW),
    ring_digest=COUNT,
    table_version=VERSION,
    attempt_counts=st.lists(COUNT, max_size=9),
    read_count=COUNT.map(float),
    hot_key_counts=st.dictionaries(COUNT, COUNT.map(float), max_size=9),
)
TABLE = st.builds(RangeTable, COUNT, VERSION, st.lists(COUNT, max_size=9))
DATAGRAM = st.builds(Datagram, st.just("b1"), TABLE, st.lists(REPORT, min_size=1, max_size=4))
JSON = st.recursive(
    st.none() | st.booleans() | st.integers(-5, 5) | st.floats() | st.text(max_size=3),
    lambda inner: st.lists(inner, max_size=9) | st.dictionaries(st.text(max_size=2), inner),
    max_leaves=30,
)


@settings(deadline=None)  # how long an example takes on a busy machine is no part of the check
@given(DATAGRAM)
def test_a_datagram_is_read_as_it_was_written_as_far_as_there_was_room(datagram):
    data = CODEC.encode(datagram, NOW)
    assert len(data) <= MAX_DATAGRAM_BYTES
    decoded = CODEC.decode(data, NOW)
    assert (decoded.sender, decoded.table) == (datagram.sender, datagram.table)
    assert [*decoded.reports] == datagram.reports[: len(decoded.reports)]


@settings(deadline=None)  # as above
@given(st.binary(max_size=100), JSON)
def test_whatever_comes_is_refused_or_says_nothing(noise, message):
    """Somebody sends noise, or a balancer with a defect signs a message of another form."""
    with pytest.raises(BadSignatureError):
        CODEC.decode(noise, NOW)
    text = orjson.dumps(message)
    try:
        datagram = CODEC.decode(CODEC.sign(text) + text, NOW)
    except MalformedDatagramError:
        return
    assert not datagram.reports, "only the form without reports is short enough to be drawn"


def test_more_caches_than_a_datagram_holds_are_told_to_nobody():
    """A fleet outgrows gossip. Its balancers go on, each by itself."""
    counts = [10**6] * 2 * MAX_CACHES
    version = TableVersion(0, "")
    report = CountsReport("b1", 1, 1, NOW, 0, version, counts, 0.0, {})
    data = CODEC.encode(Datagram("b1", RangeTable(0, version, counts), [report]), NOW)
    with pytest.raises(MalformedDatagramError):
        CODEC.decode(data, NOW)
