"""The RESP part of the configuration. Only this module uses its field names."""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import sha1
from pathlib import Path
from typing import Any, NamedTuple

from orchidgap.decisions.settings import ServiceSettings
from orchidgap.errors import ConfigError, OrchidgapError
from orchidgap.net.addresses import Address, parse_address

DEFAULT_USER = b"default"
DEFAULT_TIMEOUT_MS = 1_000
DIGEST_LENGTH = 64
HEX_DIGITS = frozenset("0123456789abcdef")


class InvalidUsersError(OrchidgapError, ValueError):
    """The users file has a malformed line."""


class User(NamedTuple):
    """A user that may log in.

    Attributes:
        secret_digest: SHA-256 of the secret in hex; empty for the default user of an open balancer.
        tenant: the tenant that the user's requests count for.
    """

    secret_digest: str
    tenant: str


class RespConfig(NamedTuple):
    """The RESP settings of a balancer.

    Attributes:
        seeds: addresses of the slot servers that are contacted first.
        secret: arguments of AUTH at the servers; empty if they require no authentication.
        read_class: request class of read commands.
        write_class: request class of write commands.
        timeout_us: how long a client waits for an answer, in microseconds.
        users: users that may log in, by name.
        is_open: clients need no login.
        advertised_address: the balancer's address in answers to CLUSTER commands.
        node_id: the balancer's node id in answers to CLUSTER commands.
    """

    seeds: list[Address]
    secret: tuple[bytes, ...]
    read_class: str
    write_class: str
    timeout_us: int
    users: dict[bytes, User]
    is_open: bool
    advertised_address: Address
    node_id: bytes

    @classmethod
    def read(cls, part: Mapping[str, Any], name: str, listen: Address) -> RespConfig:
        """Reads the RESP part of the configuration.

        Args:
            part: the fields `seeds`, `secret`, `read`, `write`, `timeout-ms`, `users` (a file),
                `tenant` (the tenant of all requests if there are no users) and `shown` (the
                advertised address).
            name: the balancer's name.
            listen: the address that the balancer listens on.

        Raises:
            ValueError: A value is invalid.
            TypeError: A value has the wrong type.
            OSError: The users file cannot be read.
        """
        users: dict[bytes, User] = {}
        if part.get("users"):
            users = parse_users(Path(part["users"]).read_text())
        is_open = not users
        if is_open:
            users[DEFAULT_USER] = User("", str(part.get("tenant", "")))
        return cls(
            seeds=[parse_address(str(text)) for text in part.get("seeds", [])],
            secret=tuple(str(word).encode() for word in part.get("secret", ())),
            read_class=str(part.get("read", "read")),
            write_class=str(part.get("write", "write")),
            timeout_us=round(float(part.get("timeout-ms", DEFAULT_TIMEOUT_MS)) * 1_000),
            users=users,
            is_open=is_open,
            advertised_address=parse_address(str(part["shown"])) if part.get("shown") else listen,
            node_id=sha1(name.encode()).hexdigest().encode(),
        )

    def check_classes(self, settings: ServiceSettings) -> None:
        """Checks that there are request classes for reads and writes; raises ConfigError."""
        for field, name in (("read", self.read_class), ("write", self.write_class)):
            if name not in settings.request_classes:
                raise ConfigError(f"resp: the rule set {name!r} of {field} is missing")


def parse_users(text: str) -> dict[bytes, User]:
    r"""Parses lines of the form `user sha256-of-secret tenant`.

    Raises:
        InvalidUsersError: A line is malformed.

    >>> parse_users("# who\nmia " + "0" * 64 + " north\n")[b"mia"].tenant
    'north'
    >>> try:
    ...     parse_users("mia plain north")
    ... except InvalidUsersError as error:
    ...     print(error)
    line 1: expected a user, the SHA-256 of the secret in hex, and a tenant
    """
    users = {}
    for number, line in enumerate(text.splitlines(), 1):
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        if len(words) != 3 or not is_digest(words[1]):
            form = "expected a user, the SHA-256 of the secret in hex, and a tenant"
            raise InvalidUsersError(f"line {number}: {form}")
        name, digest, tenant = words
        users[name.encode()] = User(digest, tenant)
    return users


def is_digest(text: str) -> bool:
    """Returns whether the text is a SHA-256 digest in lower-case hex."""
    return len(text) == DIGEST_LENGTH and set(text) <= HEX_DIGITS
