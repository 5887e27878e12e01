"""Answers the simulator's batches, one after another.

A batch contains the time and messages to any of the instances; its reply contains the resulting
actions of each instance. A malformed line ends the program. An error in the decisions is sent in
the reply as a fault with its text, which ends the simulation.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import BinaryIO

from orchidgap.errors import SettingError
from orchidgap.wirehost import words
from orchidgap.wirehost.instance import Instance
from orchidgap.wirehost.messages import MalformedLineError, decode_message, excerpt


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answer batches until the input ends.

    Raises:
        MalformedLineError: A line does not follow the protocol.
        UnicodeDecodeError: A line is not UTF-8.
    """
    instances: dict[str, Instance] = {}
    while head := source.readline():
        parts = head.decode().split()
        if parts:
            batch = _Batch(parts, head, source, instances)
            batch.handle_messages()
            sink.write(batch.reply().encode())
            sink.flush()


class _Batch:
    """One batch and its reply."""

    def __init__(
        self, parts: list[str], head: bytes, source: BinaryIO, instances: dict[str, Instance]
    ) -> None:
        if parts[0] != words.BATCH or len(parts) != 3 or not parts[1].isdecimal():
            raise MalformedLineError(f"expected a batch header: {excerpt(head.decode().strip())}")
        self.now = int(parts[1])
        self.number = parts[2]
        self.source = source
        self.instances = instances
        self.addressed: dict[str, Instance] = {}  # instances with a message, in order
        self.current_name = ""
        self.current: Instance | None = None
        self.fault: list[str] = []  # lines of the fault in the reply, empty without a fault

    def handle_messages(self) -> None:
        """Read all messages, and apply them up to the first fault."""
        read_line = self.source.readline
        field_counts = words.FIELD_COUNTS
        while True:
            raw = read_line()
            if not raw:
                raise MalformedLineError(f"the input ended within batch {self.number}")
            line = raw.decode().rstrip("\r\n")
            parts = line.split(" ")
            name = parts[0]
            if name == words.END_OF_BATCH:
                return
            if field_counts.get(name) != len(parts) - 1:
                _check_field_count(parts, line)
            if name == words.ABOUT:
                self._choose_instance(parts[1])
                continue
            if self.current is None:
                raise MalformedLineError(f"{name} before any ABOUT")
            entry_lines = self._read_entries(parts) if name == words.HOST_LIST else []
            if not self.fault:
                self._handle(self.current, parts, entry_lines)

    def reply(self) -> str:
        """Return the actions of the instances, followed by the fault if there was one."""
        lines = []
        for name, instance in self.addressed.items():
            if instance.port.lines:
                lines.append(f"{words.REPLY_FOR} {name}")
                lines += instance.port.lines
                instance.port.lines.clear()
        lines += self.fault
        lines.append(f"{words.END_OF_REPLY} {self.number}\n")
        return "\n".join(lines)

    def _choose_instance(self, name: str) -> None:
        if name not in self.instances:
            self.instances[name] = Instance()
        self.current_name = name
        self.current = self.instances[name]
        self.addressed[name] = self.current

    def _read_entries(self, parts: Sequence[str]) -> list[list[str]]:
        """Read the lines of a host list, which follow its message."""
        if parts[3] in words.NO_ENTRIES:
            return []
        try:
            return [self.source.readline().decode().split() for _ in range(int(parts[3]))]
        except ValueError:
            raise MalformedLineError(f"invalid count of entries: {parts[3]!r}") from None

    def _handle(
        self, instance: Instance, parts: Sequence[str], entry_lines: Sequence[Sequence[str]]
    ) -> None:
        if instance.balancer is None and parts[0] != words.START:
            return
        try:
            instance.handle(decode_message(parts, entry_lines), self.now)
        except MalformedLineError:
            raise
        except SettingError as error:
            self._set_fault(str(error))
        except Exception as error:  # noqa: BLE001 - the simulation must end with the error as text
            self._set_fault(f"{parts[0]}: {type(error).__name__}: {error}")

    def _set_fault(self, text: str) -> None:
        self.fault = [f"{words.REPLY_FOR} {self.current_name}", f"{words.FAULT} {text}"]


def _check_field_count(parts: Sequence[str], line: str) -> None:
    """Raise MalformedLineError for an unknown message or a wrong number of fields."""
    name = parts[0]
    count = words.FIELD_COUNTS.get(name)
    if count is None:
        raise MalformedLineError(f"unknown message: {excerpt(line)}")
    has_too_many = len(parts) > count + 1 and name != words.START
    if len(parts) <= count or has_too_many:
        raise MalformedLineError(f"{name} has {count} fields: {excerpt(line)}")
