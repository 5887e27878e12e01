"""Validation of the head of a request, before any attempt is sent to a host."""

from __future__ import annotations

from typing import NamedTuple

import httptools

from orchidgap.decisions.repeat_safety import Idempotency
from orchidgap.errors import OrchidgapError
from orchidgap.http1.messages import Message
from orchidgap.http1.writers import parse_seconds, split_target
from orchidgap.net.request_handler import RequestHandler

SUPPORTED_VERSIONS = ("1.0", "1.1")
SUPPORTED_METHODS = (b"GET", b"PUT", b"HEAD")


class RequestFields(NamedTuple):
    """The values in the head of a valid request.

    Attributes:
        request_id: id of the request, unique for every request.
        request_class: name of its request class.
        timeout_us: how long the client waits, counted from the request's last byte.
        key: key of the requested value, empty where the request has none.
        tenant: tenant that the request belongs to, empty where none is given.
        is_client_retry: the client has marked it as a retry.
        idempotency: whether it carries an idempotency key, by which hosts recognize a repeat.
    """

    request_id: bytes
    request_class: str
    timeout_us: int
    key: bytes
    tenant: str
    is_client_retry: bool
    idempotency: Idempotency


class InvalidRequestError(OrchidgapError):
    """A request that is answered without sending it to a host.

    Attributes:
        status: the status code of its answer.
    """

    def __init__(self, status: int) -> None:
        """Sets the status code of the answer."""
        super().__init__(f"answered {status}")
        self.status = status


def check_start_line(message: Message) -> tuple[str, bytes]:
    """Returns the first segment of the path, and the last one if there are several.

    Raises:
        InvalidRequestError: the target, the version or the method is not supported.
    """
    try:
        path_class, key = split_target(message.target)
    except httptools.HttpParserInvalidURLError:
        raise InvalidRequestError(400) from None
    if message.version not in SUPPORTED_VERSIONS:
        raise InvalidRequestError(505)
    if message.method not in SUPPORTED_METHODS:
        raise InvalidRequestError(405)
    return path_class, key


def check_fields(
    message: Message, path_class: str, key: bytes, handler: RequestHandler
) -> RequestFields:
    """Returns the values in the head of the request.

    Args:
        message: the request.
        path_class: its class by the path, which applies where no field names a class.
        key: its key.
        handler: provides the request classes and the open requests.

    Raises:
        InvalidRequestError: the class is unknown, a field is missing, or the id is in use.
    """
    fields = message.fields
    class_field = fields.get(b"request-class", path_class.encode())
    request_class = class_field.decode(errors="replace")
    if not handler.knows_request_class(request_class):
        raise InvalidRequestError(404)
    timeout_us = parse_seconds(fields.get(b"request-timeout", b""))
    request_id = fields.get(b"request-id", b"")
    if not timeout_us or not request_id:
        raise InvalidRequestError(400)
    if handler.is_request_open(request_id):
        # One of the two could receive the other's answer, and hosts reject the second one.
        raise InvalidRequestError(409)
    tenant = fields.get(b"tenant", b"").decode(errors="replace")
    is_client_retry = fields.get(b"client-retry") == b"1"
    has_idempotency_key = bool(fields.get(b"idempotency-key"))
    idempotency = Idempotency.KEYED if has_idempotency_key else Idempotency.UNKEYED
    return RequestFields(
        request_id, request_class, timeout_us, key, tenant, is_client_retry, idempotency
    )
