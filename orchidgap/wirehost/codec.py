"""The wire's lines, decoded straight into calls on the decisions and back. Nothing is decided here."""

from __future__ import annotations

from typing import BinaryIO

from orchidgap.decisions.balancer import Balancer
from orchidgap.decisions.host_list import HostEntry, ListScope
from orchidgap.decisions.records import AttemptOutcome, HostStatus
from orchidgap.decisions.settings import ServiceSettings
from orchidgap.errors import SettingError

OUTCOMES = {
    "Ok": AttemptOutcome.DONE,
    "Failed": AttemptOutcome.SERVER_ERROR,
    "QueueFull": AttemptOutcome.QUEUE_FULL,
    "TimedOut": AttemptOutcome.TIMED_OUT,
    "ConnectError": AttemptOutcome.UNCONNECTED,
    "ResetByPeer": AttemptOutcome.CONNECTION_RESET,
    "Canceled": AttemptOutcome.CANCELLED,
    "Ignored": AttemptOutcome.NEVER_SENT,
    "Miss": AttemptOutcome.CACHE_MISS,
}
STATUSES = {
    "Running": HostStatus.READY,
    "Stopping": HostStatus.DRAINING,
    "Deleted": HostStatus.GONE,
}
SCOPES = {
    "update": ListScope.CHANGES,
    "replace": ListScope.WHOLE,
    "restored": ListScope.RECALLED,
    "unavailable": ListScope.FAILED,
}
FIELDS = {
    "ABOUT": 1,
    "PROVISION": 1,
    "BACKENDS_CHANGED": 3,
    "QUERY": 9,
    "OPENED": 4,
    "ENDED": 8,
    "HANGUP": 1,
    "FIRED": 1,
    "STATUS_BACK": 4,
    "MAIL": 2,
    "EXIT": 0,
}


class Malformed(ValueError):
    """A line that is not of this wire."""


class WirePort:
    """One instance's side of the wire: its actions as lines of the reply under way."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.say = self.lines.append

    def dispatch(self, req: int, host: str) -> None:
        self.say(f"ISSUE {req} {host} 0")

    def deny(self, req: int, pause: int) -> None:
        self.say(f"PUSH_BACK {req} {pause}")

    def abort(self, req: int) -> None:
        self.say(f"FINISH_ERROR {req}")

    def cancel(self, req: int, number: int) -> None:
        self.say(f"ABORT_ATTEMPT {req} {number}")

    def wake(self, delay: int, token: int) -> None:
        self.say(f"WAKE_ME {delay} {token}")

    def subscribe(self) -> None:
        self.say("STREAM_CHANGES 1")

    def log(self, line: str) -> None:
        self.say(f"PRINT {line}")


class Instance:
    __slots__ = ("balancer", "port")

    def __init__(self) -> None:
        self.port = WirePort()
        self.balancer: Balancer | None = None


def entries(lines: list[list[str]]) -> list[HostEntry]:
    """Host entries as (id, state, since, zone, kind, cell, rating)."""
    found: list[HostEntry] = []
    for parts in lines:
        if len(parts) != 8 or parts[0] != "M" or parts[5] not in STATUSES:
            raise Malformed(f"not a host entry: {' '.join(parts)[:80]!r}")
        _, rating, since, zone, kind, state, cell, host = parts
        found.append(
            (
                host,
                STATUSES[state],
                0 if since == "-" else int(since),
                zone,
                kind,
                cell,
                1.0 if rating == "-" else float(rating),
            )
        )
    return found


def load(text: str) -> dict[str, float]:
    """
    >>> load("tps:12.5,depth:3"), load("-")
    ({'tps': 12.5, 'depth': 3.0}, {})
    """
    if text == "-":
        return {}
    return {
        name: float(value) for name, _, value in (pair.partition(":") for pair in text.split(","))
    }


def told(balancer: Balancer, host: str, report: str) -> None:
    if report != "-":
        fields = load(report)
        balancer.on_load_report(host, fields.get("tps"), fields.get("concurrent"))


def event(instance: Instance, parts: list[str], more: list[list[str]], now: int) -> None:
    """One event into one call."""
    name = parts[0]
    if name == "PROVISION":
        pairs = dict(pair.partition("=")[::2] for pair in parts[2:])
        instance.balancer = Balancer(
            ServiceSettings.from_pairs(pairs), instance.port, int(parts[1]), now
        )
        return
    balancer = instance.balancer
    if name == "EXIT":
        instance.balancer = None
        instance.port.lines.clear()
    if balancer is None:
        return
    balancer.now = now
    if name == "QUERY":
        _, req, left, write, rule_set, key, _, _, _, tenant = parts
        balancer.on_request(
            int(req), int(left), write == "1", rule_set, None if key == "-" else int(key), tenant
        )
    elif name == "ENDED":
        _, req, number, host, verdict, _, over, _, report = parts
        balancer.on_outcome(int(req), int(number), OUTCOMES[verdict], over == "1")
        told(balancer, host, report)
    elif name == "FIRED":
        balancer.on_wake(int(parts[1]))
    elif name == "HANGUP":
        balancer.on_client_gone(int(parts[1]))
    elif name == "STATUS_BACK":
        told(balancer, parts[1], parts[4])
    elif name == "BACKENDS_CHANGED":
        balancer.on_hosts(SCOPES[parts[1]], entries(more))


def decoding(trouble: BaseException) -> bool:
    """Whether a fault arose while a line was decoded, not in the decisions."""
    at = trouble.__traceback__
    while at is not None and at.tb_next is not None:
        at = at.tb_next
    return at is not None and at.tb_frame.f_code.co_filename == __file__


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batch after batch until the input ends."""
    instances: dict[str, Instance] = {}
    while head := source.readline():
        parts = head.decode().split()
        if not parts:
            continue
        if parts[0] != "BATCH" or len(parts) != 3 or not parts[1].isdecimal():
            raise Malformed(f"a batch was expected: {head.decode().strip()[:80]!r}")
        now, number = int(parts[1]), parts[2]
        instance, about, touched, fault = None, "", {}, ""
        while True:
            raw = source.readline()
            if not raw:
                raise Malformed(f"the input ended within batch {number}")
            line = raw.decode().rstrip("\r\n")
            parts = line.split(" ")
            name = parts[0]
            if name == "YOUR_TURN":
                break
            fields = FIELDS.get(name)
            if fields is None:
                raise Malformed(f"unknown message: {line[:80]!r}")
            if len(parts) <= fields or (len(parts) > fields + 1 and name != "PROVISION"):
                raise Malformed(f"{name} has {fields} fields: {line[:80]!r}")
            if name == "ABOUT":
                about = parts[1]
                instance = touched[about] = instances.get(about) or instances.setdefault(
                    about, Instance()
                )
                continue
            if instance is None:
                raise Malformed(f"{name} before any ABOUT")
            more = []
            if name == "BACKENDS_CHANGED" and parts[3] not in ("-", "0"):
                try:
                    more = [source.readline().decode().split() for _ in range(int(parts[3]))]
                except ValueError:
                    raise Malformed(f"not a count of entries: {parts[3]!r}") from None
            if fault:
                continue
            try:
                event(instance, parts, more, now)
            except Malformed:
                raise
            except Exception as trouble:  # the day must stop with a text
                if isinstance(trouble, (ValueError, KeyError)) and decoding(trouble):
                    raise Malformed(f"bad value in {name}: {line[:80]!r}") from None
                known = isinstance(trouble, SettingError)
                what = str(trouble) if known else f"{name}: {type(trouble).__name__}: {trouble}"
                fault = f"FOR {about}\nBAIL_OUT {what}"
        reply = []
        for about, instance in touched.items():
            if instance.port.lines:
                reply.append(f"FOR {about}")
                reply += instance.port.lines
                instance.port.lines.clear()
        reply += [fault] if fault else []
        reply.append(f"YIELD {number}\n")
        sink.write("\n".join(reply).encode())
        sink.flush()
