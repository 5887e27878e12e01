"""Decodes the simulator's messages to typed values, which apply themselves to a balancer.

The module does no I/O. Times are whole microseconds.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import NamedTuple

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.host_list import HostEntry, ListScope
from orchidgap.decisions.records import AttemptOutcome
from orchidgap.decisions.repeat_safety import Idempotency
from orchidgap.decisions.settings import ServiceSettings
from orchidgap.errors import OrchidgapError
from orchidgap.wirehost import words

MAX_EXCERPT_LENGTH = 80  # characters of a malformed line in an error


class MalformedLineError(OrchidgapError):
    """A line does not follow the simulator's protocol."""


class Start(NamedTuple):
    """The instance starts."""

    seed: int
    settings: ServiceSettings


class HostList(NamedTuple):
    """A host list or a change to it arrived, or fetching it failed."""

    scope: ListScope
    entries: Sequence[HostEntry]

    def apply_to(self, balancer: Balancer) -> None:
        """Applies the message to the balancer."""
        balancer.on_hosts(self.scope, self.entries)


class RequestArrived(NamedTuple):
    """A request arrived."""

    request_id: int
    time_remaining_us: int
    is_write: bool
    request_class: str
    key: int | None
    tenant: str

    def apply_to(self, balancer: Balancer) -> None:
        """Applies the message to the balancer."""
        # The simulator marks the requests of every class whose hosts drop repeats.
        balancer.on_request(*self, idempotency=Idempotency.KEYED)


class LoadReport(NamedTuple):
    """The load that a host reported."""

    host: str
    request_rate: float | None  # requests per second
    in_flight: float | None  # attempts in progress at the host

    def apply_to(self, balancer: Balancer) -> None:
        """Applies the message to the balancer."""
        balancer.on_load_report(*self)


class AttemptEnded(NamedTuple):
    """An attempt has ended."""

    request_id: int
    number: int  # the attempt's number within the request
    outcome: AttemptOutcome
    request_is_over: bool
    load_report: LoadReport | None

    def apply_to(self, balancer: Balancer) -> None:
        """Applies the message to the balancer."""
        balancer.on_outcome(self.request_id, self.number, self.outcome, self.request_is_over)
        if self.load_report:
            self.load_report.apply_to(balancer)


class ClientDisconnected(NamedTuple):
    """The client of a request disconnected."""

    request_id: int

    def apply_to(self, balancer: Balancer) -> None:
        """Applies the message to the balancer."""
        balancer.on_client_disconnect(self.request_id)


class TimerFired(NamedTuple):
    """A requested wake-up is due."""

    token: int

    def apply_to(self, balancer: Balancer) -> None:
        """Applies the message to the balancer."""
        balancer.on_wake(self.token)


class Exit(NamedTuple):
    """The instance ends."""


MessageToBalancer = (
    HostList | RequestArrived | AttemptEnded | ClientDisconnected | TimerFired | LoadReport
)
Message = Start | Exit | MessageToBalancer | None  # None: no effect on decisions


def decode_message(parts: Sequence[str], entry_lines: Sequence[Sequence[str]]) -> Message:
    """Decodes a message to an instance.

    Args:
        parts: The keyword and the fields, with the count of `words.FIELD_COUNTS`.
        entry_lines: The lines of the host list that follow the message.

    Raises:
        MalformedLineError: A host entry or a value is malformed.
        SettingError: A setting is invalid.
    """
    decode = _DECODERS.get(parts[0])
    if decode is None:
        return None
    try:
        return decode(parts, entry_lines)
    except (ValueError, KeyError):
        raise MalformedLineError(f"bad value in {parts[0]}: {excerpt(' '.join(parts))}") from None


def decode_load(host: str, text: str) -> LoadReport | None:
    """Decodes a load report; returns None if the host reported nothing.

    >>> decode_load("c1", "tps:12.5,depth:3")
    LoadReport(host='c1', request_rate=12.5, in_flight=None)
    >>> decode_load("c1", "-") is None
    True
    """
    if text == words.NOTHING:
        return None
    values = {}
    for pair in text.split(","):
        name, _, value = pair.partition(":")
        values[name] = float(value)
    return LoadReport(host, values.get(words.REQUEST_RATE), values.get(words.IN_FLIGHT))


def excerpt(line: str) -> str:
    """Returns the start of a line, quoted for an error message."""
    return repr(line[:MAX_EXCERPT_LENGTH])


def _decode_start(parts: Sequence[str], entry_lines: Sequence[Sequence[str]]) -> Start:
    pairs = dict(pair.partition("=")[::2] for pair in parts[2:])
    settings = ServiceSettings.from_pairs(pairs)
    return Start(int(parts[1]), settings)


def _decode_host_list(parts: Sequence[str], entry_lines: Sequence[Sequence[str]]) -> HostList:
    scope = words.LIST_SCOPES[parts[1]]
    return HostList(scope, [_decode_entry(entry) for entry in entry_lines])


def _decode_entry(parts: Sequence[str]) -> HostEntry:
    is_entry = len(parts) == words.HOST_ENTRY_PARTS and parts[0] == words.HOST_ENTRY
    if not is_entry or parts[5] not in words.HOST_STATES:
        raise MalformedLineError(f"invalid host entry: {excerpt(' '.join(parts))}")
    _, weight, started_at, zone, kind, state, cell, host = parts
    return (
        host,
        words.HOST_STATES[state],
        0 if started_at == words.NOTHING else int(started_at),
        zone,
        kind,
        cell,
        1.0 if weight == words.NOTHING else float(weight),
    )


def _decode_request(parts: Sequence[str], entry_lines: Sequence[Sequence[str]]) -> RequestArrived:
    _, request, time_remaining, is_write, request_class, key, _, _, _, tenant = parts
    return RequestArrived(
        int(request),
        int(time_remaining),
        is_write == words.YES,
        request_class,
        None if key == words.NOTHING else int(key),
        tenant,
    )


def _decode_ended(parts: Sequence[str], entry_lines: Sequence[Sequence[str]]) -> AttemptEnded:
    _, request, number, host, outcome, _, request_is_over, _, report = parts
    return AttemptEnded(
        int(request),
        int(number),
        words.OUTCOMES[outcome],
        request_is_over == words.YES,
        decode_load(host, report),
    )


def _decode_load_report(
    parts: Sequence[str], entry_lines: Sequence[Sequence[str]]
) -> LoadReport | None:
    return decode_load(parts[1], parts[4])


def _decode_client_disconnected(
    parts: Sequence[str], entry_lines: Sequence[Sequence[str]]
) -> ClientDisconnected:
    return ClientDisconnected(int(parts[1]))


def _decode_timer(parts: Sequence[str], entry_lines: Sequence[Sequence[str]]) -> TimerFired:
    return TimerFired(int(parts[1]))


def _decode_exit(parts: Sequence[str], entry_lines: Sequence[Sequence[str]]) -> Exit:
    return Exit()


_DECODERS: dict[str, Callable[[Sequence[str], Sequence[Sequence[str]]], Message]] = {
    words.START: _decode_start,
    words.HOST_LIST: _decode_host_list,
    words.REQUEST: _decode_request,
    words.ATTEMPT_ENDED: _decode_ended,
    words.LOAD_REPORT: _decode_load_report,
    words.CLIENT_DISCONNECTED: _decode_client_disconnected,
    words.TIMER_FIRED: _decode_timer,
    words.EXIT: _decode_exit,
}
