"""Text from which a new reader continues in the middle of a message.

Another process receives this text together with the connection on which the message arrives.
"""

from __future__ import annotations

from typing import NamedTuple

from orchidgap.http1.chunked_encoding import PLACEHOLDER
from orchidgap.http1.messages import Message


class ResumePoint(NamedTuple):
    """A position in a body.

    Attributes:
        text: a head and framing that bring a new reader to this position.
        placeholder_bytes: bytes of body data in the text that are not part of the real body.
    """

    text: bytes
    placeholder_bytes: int


def resume_body(message: Message, start_line: bytes) -> ResumePoint | None:
    """Returns the position in the body of a message; None where it is unknown.

    `start_line` is the first line of the head for the new reader, without its line break.
    """
    if not message.head_complete or message.complete or message.error_status:
        return None
    lines = [start_line]
    if b"connection" in message.fields:
        lines.append(b"connection: " + message.fields[b"connection"])
    if b"transfer-encoding" in message.fields:
        tracker = message.chunk_tracker
        framing = tracker.resume_text() if tracker else None
        if framing is None or tracker is None:
            return None
        lines += [b"transfer-encoding: chunked", b"", b""]
        return ResumePoint(b"\r\n".join(lines) + framing, int(tracker.has_placeholder))
    if message.content_length is not None:
        bytes_remaining = message.content_length - message.body_size
        lines.append(b"content-length: %d" % bytes_remaining)
    return ResumePoint(b"\r\n".join([*lines, b"", b""]), 0)


def resume_request(message: Message) -> bytes | None:
    """Returns the received part of an incomplete request, for a new reader; None where unknown."""
    if message.error_status or message.complete:
        return None
    if not message.head_complete:
        return message.head_bytes
    version = message.version.encode()
    start_line = b"%b %b HTTP/%b" % (message.method, message.target, version)
    fields = [b"%b: %b" % field for field in message.fields.items()]
    head = b"\r\n".join([start_line, *fields, b"", b""])
    body = message.body
    if b"transfer-encoding" not in message.fields:
        return head + body
    tracker = message.chunk_tracker
    framing = tracker.resume_text() if tracker else None
    if framing is None or tracker is None:
        return None
    if tracker.has_placeholder:  # replaced by the last byte of the body that has arrived
        framing = framing.replace(PLACEHOLDER, body[-1:], 1)
        body = body[:-1]
    received = b"%x\r\n%b\r\n" % (len(body), body) if body else b""
    return head + received + framing
