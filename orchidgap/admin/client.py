"""A call to a running balancer's operators' door."""

from __future__ import annotations

import socket

from orchidgap.net.addresses import Address

WITHIN = 5.0  # seconds for the answer
MOST = 1 << 12  # bytes of it


def call(address: Address, name: str) -> tuple[bool, str]:
    """Takes the door's address and the call; whether it was done, and the door's line. Raises OSError."""
    with socket.create_connection(address, WITHIN) as conn:
        conn.settimeout(WITHIN)
        conn.sendall(name.encode() + b"\n")
        line = b""
        while b"\n" not in line and len(line) < MOST and (part := conn.recv(MOST)):
            line += part
    said = line.partition(b"\n")[0].decode(errors="replace")
    if not said:
        raise OSError("closed without an answer")
    return said.startswith("SUCCESS"), said
