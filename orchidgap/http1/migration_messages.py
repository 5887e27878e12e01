"""Messages that describe a request in progress to another process of the balancer.

Older and newer versions run side by side, so the names on the wire must not change.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from orchidgap.net.addresses import Address

PARTIAL_REQUEST = "begun"
STREAMING_RESPONSE = "answer"
STREAMING_UPLOAD = "upload"
TEXT_ENCODING = "latin-1"  # maps every byte to one character


class StreamingResponse(NamedTuple):
    """A response that is being streamed to its client.

    Attributes:
        request_id: id of the request.
        version: HTTP version of the request.
        keep_alive: the client allows another request after this one.
        closes_after_stream: the client's connection is closed after the response.
        chunked: the response to the client is chunked.
        resume_head: head and framing from which a new reader continues the host's response.
        host: id of the host, empty where it is unknown.
        address: address of the host.
    """

    request_id: bytes
    version: str
    keep_alive: bool
    closes_after_stream: bool
    chunked: bool
    resume_head: bytes
    host: str
    address: Address

    def to_wire(self) -> dict[str, Any]:
        """Returns the message's content."""
        return {
            "name": self.request_id.decode(TEXT_ENCODING),
            "version": self.version,
            "lasts": self.keep_alive,
            "last": self.closes_after_stream,
            "chunked": self.chunked,
            "head": self.resume_head.decode(TEXT_ENCODING),
            "host": self.host,
            "at": self.address,
        }

    @classmethod
    def from_wire(cls, content: Any) -> StreamingResponse:
        """Reads the message's content. Raises KeyError, TypeError, ValueError or AttributeError."""
        return cls(
            content["name"].encode(TEXT_ENCODING),
            str(content["version"]),
            bool(content["lasts"]),
            bool(content["last"]),
            bool(content["chunked"]),
            content["head"].encode(TEXT_ENCODING),
            str(content["host"]),
            address_from_wire(content["at"]),
        )


class StreamingUpload(NamedTuple):
    """A request whose body is being streamed to a host.

    Attributes:
        request_id: id of the request.
        timeout_us: how long the client waits, counted from the request's last byte; less what has
            passed since the body is known to have been incomplete.
        body_size: bytes of the body that have arrived.
        content_length: bytes of the whole body, None where this is unknown.
        chunked: the body is sent to the host in chunks.
        resume_head: head and framing from which a new reader continues the client's request.
        fallback_status: status of the answer if the attempt fails.
        host: id of the host, empty where it is unknown.
        address: address of the host.
    """

    request_id: bytes
    timeout_us: int
    body_size: int
    content_length: int | None
    chunked: bool
    resume_head: bytes
    fallback_status: int
    host: str
    address: Address

    def to_wire(self) -> dict[str, Any]:
        """Returns the message's content."""
        return {
            "name": self.request_id.decode(TEXT_ENCODING),
            "left": self.timeout_us,
            "size": self.body_size,
            "length": self.content_length,
            "chunked": self.chunked,
            "head": self.resume_head.decode(TEXT_ENCODING),
            "last_word": self.fallback_status,
            "host": self.host,
            "at": self.address,
        }

    @classmethod
    def from_wire(cls, content: Any) -> StreamingUpload:
        """Reads the message's content. Raises KeyError, TypeError, ValueError or AttributeError."""
        length = content["length"]
        return cls(
            content["name"].encode(TEXT_ENCODING),
            int(content["left"]),
            int(content["size"]),
            None if length is None else int(length),
            bool(content["chunked"]),
            content["head"].encode(TEXT_ENCODING),
            int(content["last_word"]),
            str(content["host"]),
            address_from_wire(content["at"]),
        )


def address_from_wire(address: Any) -> Address:
    """Decodes an address. Raises TypeError, ValueError or IndexError."""
    return str(address[0]), int(address[1])
