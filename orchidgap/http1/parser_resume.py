"""Where a message stands in its framing, and the text that makes a fresh reader stand there.

Another process can go on with a message from such a text and the connection it comes on.
"""

from __future__ import annotations

from orchidgap.http1.codec import Message


def rest_of(message: Message, first: bytes) -> tuple[bytes, int] | None:
    """Takes a message whose head has come, and a first line for it. Gives the text from which a fresh reader
    goes on with its body, and how many bytes that text brings along which are none of the body; None where it
    cannot be told."""
    if not message.headed or message.whole or message.trouble:
        return None
    lines = [first]
    if b"connection" in message.fields:
        lines.append(b"connection: " + message.fields[b"connection"])
    if b"transfer-encoding" in message.fields:
        text = message.chunks.text() if message.chunks else None
        if text is None or message.chunks is None:
            return None
        lines += [b"transfer-encoding: chunked", b"", b""]
        return b"\r\n".join(lines) + text, int(message.chunks.padded)
    if message.length is not None:
        lines.append(b"content-length: %d" % (message.length - message.size))
    return b"\r\n".join([*lines, b"", b""]), 0


def whole_of(message: Message) -> bytes | None:
    """Takes a req that has come in part; all of it so far, for a fresh reader. None where it is not known."""
    if message.trouble or message.whole:
        return None
    if not message.headed:
        return message.text
    first = b"%b %b HTTP/%b" % (message.method, message.target, message.version.encode())
    lines = [first, *(b"%b: %b" % field for field in message.fields.items()), b"", b""]
    body = message.body
    if b"transfer-encoding" not in message.fields:
        return b"\r\n".join(lines) + body
    text = message.chunks.text() if message.chunks else None
    if text is None or message.chunks is None:
        return None
    if message.chunks.padded:  # the last byte of the body so far stands in that byte's place
        body, text = body[:-1], text.replace(b"x", body[-1:], 1)
    return b"\r\n".join(lines) + (b"%x\r\n%b\r\n" % (len(body), body) if body else b"") + text
