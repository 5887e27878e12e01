"""The configuration's part for RESP. Its words stand in this module only."""

from __future__ import annotations

from collections.abc import Mapping
from hashlib import sha1
from pathlib import Path
from typing import Any, NamedTuple

from orchidgap.errors import OrchidgapError
from orchidgap.net.addresses import Address, parse_address

DEFAULT_USER = b"default"
DEFAULT_TIMEOUT_MS = 1_000
DIGEST_LETTERS = 64
HEX_LETTERS = frozenset("0123456789abcdef")


class InvalidUsersError(OrchidgapError, ValueError):
    """The file of users has a line that cannot be read."""


class User(NamedTuple):
    """One who may log in.

    Attributes:
        secret_digest: SHA-256 of the secret in hex, empty where no secret is asked for.
        tenant: whose requests this user's are.
    """

    secret_digest: str
    tenant: str


class RespConfig(NamedTuple):
    """How a balancer speaks RESP.

    Attributes:
        seeds: addresses of slot servers to begin with.
        secret: words for AUTH at the servers, none where they ask for none.
        read_class: request class of commands that read.
        write_class: request class of commands that write.
        timeout_us: how long a client waits for an answer.
        users: those who may log in, by name.
        is_open: nobody has to log in.
        advertised_address: where clients are told that the balancer is.
        node_id: the id that clients are told.
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
        """Reads the part of the configuration.

        Args:
            part: `seeds`, `secret`, `read`, `write`, `timeout-ms`, `users` (a file), `tenant`
                (whose requests they are where there are no users) and `shown` (the advertised
                address).
            name: the balancer's name.
            listen: where it listens.

        Raises:
            ValueError: A value cannot be used.
            TypeError: A value is of another kind.
            OSError: The file of users cannot be read.
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


def parse_users(text: str) -> dict[bytes, User]:
    r"""Reads lines of `user sha256-of-secret tenant`.

    Raises:
        InvalidUsersError: A line has another form.

    >>> parse_users("# who\nmia " + "0" * 64 + " north\n")[b"mia"].tenant
    'north'
    >>> try:
    ...     parse_users("mia plain north")
    ... except InvalidUsersError as error:
    ...     print(error)
    line 1: wanted are a user, the SHA-256 of the secret in hex, and a tenant
    """
    users = {}
    for number, line in enumerate(text.splitlines(), 1):
        words = line.split()
        if not words or words[0].startswith("#"):
            continue
        if len(words) != 3 or not is_digest(words[1]):
            wanted = "wanted are a user, the SHA-256 of the secret in hex, and a tenant"
            raise InvalidUsersError(f"line {number}: {wanted}")
        name, digest, tenant = words
        users[name.encode()] = User(digest, tenant)
    return users


def is_digest(text: str) -> bool:
    """Whether the text is a SHA-256 in hex."""
    return len(text) == DIGEST_LETTERS and set(text) <= HEX_LETTERS
