"""The lines between an operator's tool and a balancer. Free of I/O.

A command is one line: its word. The answer is one line: whether the command succeeded, and a word
on it. The words are the operators' own and stay as they are; they stand in this module only.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

HEALTH = "health"
DRAIN = "quiesce"
RESUME = "resume"
SHADOW_REPORT = "watch"
COUNT_REPORT = "counts"
OPERATORS_WORDS = (HEALTH, DRAIN, RESUME, SHADOW_REPORT)  # that an unknown command is told

SUCCEEDED = "SUCCESS"
FAILED = "FAILURE"

LINE_END = b"\n"
MAX_COMMAND_BYTES = 256
MAX_SHOWN_LETTERS = 32  # of a command that is not known


class CommandResult(NamedTuple):
    """How a command ended."""

    succeeded: bool
    message: str  # one plain word or line


def encode_command(command: str) -> bytes:
    """The line that asks for a command."""
    return command.encode() + LINE_END


def decode_command(line: bytes) -> str:
    """The command that a line asks for, without its end of line.

    >>> decode_command(b"  health "), decode_command(bytes([255]))
    ('health', '\ufffd')
    """
    return line.strip().decode("ascii", errors="replace")


def encode_result(result: CommandResult) -> bytes:
    """The line that answers a command.

    >>> encode_result(CommandResult(False, "draining"))
    b'FAILURE draining\\n'
    """
    word = SUCCEEDED if result.succeeded else FAILED
    return f"{word} {result.message}".encode() + LINE_END


def is_success(answer: str) -> bool:
    """Whether an answer says that the command succeeded."""
    return answer.startswith(SUCCEEDED)


def unknown_command(command: str, known: Iterable[str]) -> CommandResult:
    """The result of a command that is not known, which is shown without control characters.

    >>> unknown_command("drain" + chr(27), ["health"]).message
    "no such call: 'drain?'; known are health"
    """
    printable = (letter if " " <= letter <= "~" else "?" for letter in command[:MAX_SHOWN_LETTERS])
    shown = "".join(printable)
    return CommandResult(False, f"no such call: {shown!r}; known are {', '.join(known)}")
