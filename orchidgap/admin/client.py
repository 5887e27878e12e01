"""Sends one command to a running balancer, and waits for its answer."""

from __future__ import annotations

import socket
from typing import NamedTuple

from orchidgap.admin.protocol import LINE_END, encode_command, is_success
from orchidgap.net.addresses import Address

ANSWER_TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 1 << 12


class Answer(NamedTuple):
    """The answer of a balancer."""

    succeeded: bool
    line: str


def call(address: Address, command: str) -> Answer:
    """Sends a command to a balancer, and returns its answer.

    Args:
        address: The balancer's address for operators' commands.
        command: The command.

    Raises:
        OSError: The connection failed, or no answer arrived in time.
    """
    with socket.create_connection(address, ANSWER_TIMEOUT_S) as connection:
        connection.settimeout(ANSWER_TIMEOUT_S)
        connection.sendall(encode_command(command))
        received = b""
        while LINE_END not in received and len(received) < MAX_ANSWER_BYTES:
            part = connection.recv(MAX_ANSWER_BYTES)
            if not part:
                break
            received += part
    line = received.partition(LINE_END)[0].decode(errors="replace")
    if not line:
        raise OSError("closed without an answer")
    return Answer(is_success(line), line)
