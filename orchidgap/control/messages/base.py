"""Base types of all messages of control, and the description of a call between processes."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import cache
from typing import Any, Generic, Self, TypeVar

import msgspec
from msgspec import Struct, field

WireObject = Mapping[str, object]
"""A parsed JSON object."""

LENIENT_TYPES: Mapping[object, Callable[[Any], object]] = {str: str, int: int, bool: bool}
"""Field types that also accept each other's values: `"5"` is read as a number, 5 as a string."""


class WireMessage(Struct, frozen=True, kw_only=True):
    """Base class of all messages."""

    @classmethod
    def from_wire(cls, wire: WireObject) -> Self:
        """Read a JSON object.

        Raises:
            KeyError: A key is missing.
            TypeError: A value has a wrong type.
            ValueError: A value cannot be converted.
        """
        values = {}
        for info in _fields_of(cls):
            if info.encode_name in wire:
                values[info.name] = cls.read_field(info, wire[info.encode_name])
            elif info.required:
                raise KeyError(info.encode_name)
        return cls(**values)

    @classmethod
    def read_field(cls, info: msgspec.structs.FieldInfo, value: Any) -> object:
        """Convert one value to the type of its field."""
        convert = LENIENT_TYPES.get(info.type)
        if convert is not None:
            return convert(value)
        return msgspec.convert(value, info.type, strict=False)

    def to_wire(self) -> dict[str, object]:
        """Return the message as a JSON object."""
        wire: dict[str, object] = msgspec.to_builtins(self)
        return wire


@cache
def _fields_of(message_type: type[WireMessage]) -> tuple[msgspec.structs.FieldInfo, ...]:
    return msgspec.structs.fields(message_type)


class EmptyMessage(WireMessage, frozen=True):
    """A request without arguments, or an answer that only acknowledges the request."""


class ErrorAnswer(WireMessage, frozen=True):
    """The reason why a call was rejected."""

    reason: str = field(name="why")


class MemberRequest(WireMessage, frozen=True):
    """Identifies one process of a balancer."""

    name: str
    incarnation: str = field(name="life")


RequestT = TypeVar("RequestT", bound=WireMessage)
AnswerT = TypeVar("AnswerT", bound=WireMessage)


@dataclass(frozen=True)
class RpcMethod(Generic[RequestT, AnswerT]):
    """Describes a call: its path, and the types of its request and its answer."""

    path: str
    request_type: type[RequestT]
    answer_type: type[AnswerT]
