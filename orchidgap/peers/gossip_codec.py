"""The format of gossip datagrams: a keyed digest, followed by JSON.

The digest rejects datagrams of senders without the deployment's key. Bounds on each value protect
balancers from a defective sender that has the key. A datagram contains the sender's name, its table
of hash ranges, and reports, the sender's own first. No I/O; times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from hashlib import blake2b
from hmac import compare_digest
from typing import Any, NamedTuple

import orjson

from orchidgap.decisions.gossip_counts import (
    MAX_REPORTED_KEYS,
    CountsReport,
    RangeTable,
    TableVersion,
)

MAX_DATAGRAM_BYTES = 1_400  # fits into one packet on common networks
SIGNATURE_BYTES = 16
KEY_BYTES = 32
MAX_FORWARDED_REPORTS = 3  # reports of other balancers in a datagram, if they fit
MAX_CACHES = 200
MAX_NAME_LENGTH = 64
MAX_COUNT = 1e9
MAX_INTEGER = (1 << 63) - 1
MAX_KEY_DIGEST = 1 << 32
END_OF_REPORTS = b"]]"  # ends the list of reports and the datagram


class GossipError(ValueError):
    """A datagram was rejected."""


class BadSignatureError(GossipError):
    """A datagram is too long, or is not signed with this key."""


class MalformedDatagramError(GossipError):
    """A datagram is signed with this key, but its content is not valid."""


class Datagram(NamedTuple):
    """The content of one datagram."""

    sender: str
    table: RangeTable
    reports: Sequence[CountsReport]


class GossipCodec:
    """Encodes and decodes the datagrams of balancers that share a key.

    >>> table = RangeTable(9, TableVersion(1, "b2"), [4, 5])
    >>> report = CountsReport("b1", 7, 3, 500, 9, table.version, [1, 0], 30.0, {24881: 2.5})
    >>> codec = GossipCodec("a secret of this deployment")
    >>> data = codec.encode(Datagram("b1", table, [report]), 600)
    >>> codec.decode(data, 10_000).reports[0].as_of_us
    9900
    """

    def __init__(self, key: str) -> None:
        """Creates a codec for a key, which all balancers of a deployment share."""
        self._key = blake2b(key.encode(), digest_size=KEY_BYTES).digest()

    def sign(self, text: bytes) -> bytes:
        """Returns the keyed digest that precedes the text (BLAKE2b, RFC 7693)."""
        return blake2b(text, key=self._key, digest_size=SIGNATURE_BYTES).digest()

    def encode(self, datagram: Datagram, now: int) -> bytes:
        """Returns the encoded datagram, shortened to `MAX_DATAGRAM_BYTES`.

        If the sender's own report does not fit, its list of hottest keys is halved until it does.
        Forwarded reports are then added in order until one does not fit. If not even the table and
        a report without keys fit, the datagram is empty.
        """
        own_report, *forwarded = datagram.reports
        while True:
            text = _table_text(datagram, own_report, now)
            if len(text) + SIGNATURE_BYTES <= MAX_DATAGRAM_BYTES:
                break
            own_keys = own_report.hot_key_counts
            if not own_keys:
                return self.sign(b"[]") + b"[]"
            fewer_keys = dict(list(own_keys.items())[: len(own_keys) // 2])
            own_report = own_report._replace(hot_key_counts=fewer_keys)
        for report in forwarded:
            longer = text[: -len(END_OF_REPORTS)] + b"," + _report_text(report, now)
            longer += END_OF_REPORTS
            if len(longer) + SIGNATURE_BYTES > MAX_DATAGRAM_BYTES:
                break
            text = longer
        return self.sign(text) + text

    def decode(self, data: bytes, now: int) -> Datagram:
        """Decodes a datagram; the ages of its reports are subtracted from `now`.

        Raises:
            BadSignatureError: The datagram is too long, or not signed with this key.
            MalformedDatagramError: Its content has an invalid form, or a value out of bounds.
        """
        signature = data[:SIGNATURE_BYTES]
        text = data[SIGNATURE_BYTES:]
        is_signed = compare_digest(signature, self.sign(text))
        if len(data) > MAX_DATAGRAM_BYTES or not is_signed:
            raise BadSignatureError("datagram is too long or not signed with this key")
        try:
            return _from_json(orjson.loads(text), now)
        except (ValueError, TypeError, IndexError) as error:
            raise MalformedDatagramError(str(error)) from None


def _table_text(datagram: Datagram, own_report: CountsReport, now: int) -> bytes:
    """Returns the text of a datagram with only the sender's own report."""
    table = datagram.table
    head = [datagram.sender, table.ring_digest, [*table.version], table.range_sizes]
    return orjson.dumps([*head, [_report_to_json(own_report, now)]])


def _report_text(report: CountsReport, now: int) -> bytes:
    return orjson.dumps(_report_to_json(report, now))


def _report_to_json(report: CountsReport, now: int) -> list[Any]:
    return [
        report.balancer,
        report.incarnation,
        report.sequence,
        max(0, now - report.as_of_us),
        report.ring_digest,
        [*report.table_version],
        list(map(round, report.attempt_counts)),
        round(report.read_count, 1),
        [[key, round(count, 1)] for key, count in report.hot_key_counts.items()],
    ]


def _from_json(message: Any, now: int) -> Datagram:
    sender, ring_digest, (number, author), range_sizes, reports = message
    decoded = [_report_from_json(report, now) for report in reports[: MAX_FORWARDED_REPORTS + 1]]
    has_integers = set(map(type, (ring_digest, number, *range_sizes))) == {int}  # excludes bool
    if not has_integers or not isinstance(author, str):
        raise ValueError("invalid table of ranges")
    table = RangeTable(ring_digest, TableVersion(number, author), range_sizes)
    return Datagram(sender, table, decoded)


def _report_from_json(message: Any, now: int) -> CountsReport:
    """Decodes one report of a datagram.

    Raises:
        ValueError, TypeError or IndexError: It has an invalid form, or a value out of bounds.

    >>> report = ["b1", 7, 3, 500, 9, [1, "b2"], [4, 5], 30, [[24881, 2.5]]]
    >>> _report_from_json(report, 10_000).hot_key_counts
    {24881: 2.5}
    >>> _report_from_json(["b1", 7, 3, 500, 9, [1, "b2"], [4, -5], 30, []], 10_000)
    Traceback (most recent call last):
        ...
    ValueError: count is out of bounds
    """
    name, incarnation, sequence, age_us, ring_digest, version, attempts, reads, keys = message
    number, author = version
    if not _is_name_or_empty(name) or not name or not _is_name_or_empty(author):
        raise ValueError("invalid balancer name")
    if len(attempts) > MAX_CACHES or len(keys) > MAX_REPORTED_KEYS:
        raise ValueError("too many caches or keys")
    for value in (incarnation, sequence, age_us, ring_digest, number):
        if type(value) is not int or not 0 <= value <= MAX_INTEGER:
            raise ValueError("value is not an integer or is out of bounds")
    return CountsReport(
        balancer=name,
        incarnation=incarnation,
        sequence=sequence,
        as_of_us=now - age_us,
        ring_digest=ring_digest,
        table_version=TableVersion(number, author),
        attempt_counts=_integer_counts(attempts),
        read_count=_bounded_count(reads),
        hot_key_counts=_key_counts(keys),
    )


def _integer_counts(values: Any) -> list[int]:
    """Returns a list of counts as integers. Raises ValueError if a count is not valid."""
    _check_bounds(values, MAX_COUNT)
    return list(map(int, values))


def _key_counts(pairs: Any) -> dict[int, float]:
    """Returns counts by key digest. Raises ValueError if a count or a digest is not valid."""
    _check_bounds([key for key, _ in pairs], MAX_KEY_DIGEST)
    _check_bounds([count for _, count in pairs], MAX_COUNT)
    return {int(key): float(count) for key, count in pairs}


def _check_bounds(values: Any, highest: float) -> None:
    """Raises ValueError unless all values are numbers from 0 to `highest`."""
    if not set(map(type, values)) <= {int, float}:  # excludes bool
        raise ValueError("count is not a number")
    if values and not 0 <= min(values) <= max(values) <= highest:
        raise ValueError("count is out of bounds")


def _is_name_or_empty(value: Any) -> bool:
    return isinstance(value, str) and len(value) <= MAX_NAME_LENGTH


def _bounded_count(value: Any, highest: float = MAX_COUNT) -> float:
    is_number = type(value) in (int, float)  # excludes bool
    if not is_number or not 0 <= value <= highest:
        raise ValueError("count is not a number or is out of bounds")
    return float(value)
