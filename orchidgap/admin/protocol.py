"""The text protocol between an operator's tool and a balancer, without I/O.

A command is one line with its name. The answer is one line: whether the command succeeded, and a
short message. Operators' tools depend on these texts, so they must not change; they are defined in
this module only.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

HEALTH = "health"
DRAIN = "quiesce"
RESUME = "resume"
SHADOW_REPORT = "watch"
COUNT_REPORT = "counts"
# the commands that the answer to an unknown command lists
OPERATOR_COMMANDS = (HEALTH, DRAIN, RESUME, SHADOW_REPORT)

SUCCEEDED = "SUCCESS"
FAILED = "FAILURE"

LINE_END = b"\n"
MAX_COMMAND_BYTES = 256
MAX_SHOWN_CHARACTERS = 32  # characters of an unknown command that the answer repeats


class CommandResult(NamedTuple):
    """The result of a command."""

    succeeded: bool
    message: str  # one word or one line


def encode_command(command: str) -> bytes:
    """Return the line that requests a command."""
    return command.encode() + LINE_END


def decode_command(line: bytes) -> str:
    """Return the command that a line requests; the line is given without its line end.

    >>> decode_command(b"  health "), decode_command(bytes([255]))
    ('health', '\ufffd')
    """
    return line.strip().decode("ascii", errors="replace")


def encode_result(result: CommandResult) -> bytes:
    """Return the line that answers a command.

    >>> encode_result(CommandResult(False, "draining"))
    b'FAILURE draining\\n'
    """
    status = SUCCEEDED if result.succeeded else FAILED
    return f"{status} {result.message}".encode() + LINE_END


def is_success(answer: str) -> bool:
    """Whether an answer reports that the command succeeded."""
    return answer.startswith(SUCCEEDED)


def unknown_command(command: str, known: Iterable[str]) -> CommandResult:
    """Return the result for an unknown command, which is repeated without control characters.

    >>> unknown_command("drain" + chr(27), ["health"]).message
    "no such call: 'drain?'; known are health"
    """
    printable = (
        character if " " <= character <= "~" else "?"
        for character in command[:MAX_SHOWN_CHARACTERS]
    )
    shown = "".join(printable)
    return CommandResult(False, f"no such call: {shown!r}; known are {', '.join(known)}")
