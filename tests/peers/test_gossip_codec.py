"""Tests of the gossip format: datagrams are decoded as encoded, and invalid ones are rejected."""

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


@settings(deadline=None)  # on a busy machine an example may exceed the default deadline
@given(DATAGRAM)
def test_a_datagram_is_decoded_as_it_was_encoded_except_for_reports_that_did_not_fit(datagram):
    data = CODEC.encode(datagram, NOW)
    assert len(data) <= MAX_DATAGRAM_BYTES
    decoded = CODEC.decode(data, NOW)
    assert (decoded.sender, decoded.table) == (datagram.sender, datagram.table)
    assert [*decoded.reports] == datagram.reports[: len(decoded.reports)]


@settings(deadline=None)  # see above
@given(st.binary(max_size=100), JSON)
def test_random_messages_are_rejected_or_contain_no_reports(noise, message):
    """A datagram contains random bytes, or a defective balancer signs a message of another form."""
    with pytest.raises(BadSignatureError):
        CODEC.decode(noise, NOW)
    text = orjson.dumps(message)
    try:
        datagram = CODEC.decode(CODEC.sign(text) + text, NOW)
    except MalformedDatagramError:
        return
    assert not datagram.reports, "only a message without reports is small enough to be generated"


def test_counts_of_too_many_caches_for_a_datagram_are_not_sent():
    """A fleet has more caches than a datagram can hold. Its balancers then decide without gossip."""
    counts = [10**6] * 2 * MAX_CACHES
    version = TableVersion(0, "")
    report = CountsReport("b1", 1, 1, NOW, 0, version, counts, 0.0, {})
    data = CODEC.encode(Datagram("b1", RangeTable(0, version, counts), [report]), NOW)
    with pytest.raises(MalformedDatagramError):
        CODEC.decode(data, NOW)


def test_a_datagram_contains_as_many_forwarded_reports_as_fit():
    # A report that is left out although it fits would spread late. One too many would make the datagram too
    # long, so that it is rejected.
    version = TableVersion(3, "b2")
    reports = [
        CountsReport(f"b{number}", 1, 1, NOW - 5, 9, version, [1.0] * 100, 2.04, {7: 1.25})
        for number in range(8)
    ]
    table = RangeTable(9, version, [4, 5])
    texts = [
        orjson.dumps(
            [
                "b0",
                9,
                [3, "b2"],
                [4, 5],
                [
                    [name, 1, 1, 5, 9, [3, "b2"], [1] * 100, 2.0, [[7, 1.2]]]
                    for name, *_ in reports[:count]
                ],
            ]
        )
        for count in range(1, 9)
    ]
    fitting = [text for text in texts if len(CODEC.sign(text) + text) <= MAX_DATAGRAM_BYTES]
    assert 1 < len(fitting) < len(texts)
    data = CODEC.encode(Datagram("b0", table, reports), NOW)
    assert data == CODEC.sign(fitting[-1]) + fitting[-1]
