"""The session state of one client connection: user, client name and version of RESP."""

from __future__ import annotations

import hmac
from hashlib import sha256

from orchidgap.resp.config import DEFAULT_USER, RespConfig, User

UNKNOWN_USER = User("", "")
NO_SECRET_DIGEST = sha256(b"").hexdigest()


class Session:
    """The state of one connection that local commands read and change.

    Attributes:
        config: the RESP configuration.
        number: the connection's number.
        uses_resp3: whether the client uses RESP 3.
        client_name: the name that the client set with CLIENT SETNAME or HELLO.
        user: the user that is logged in; None if there is none.
        tenant: the tenant that the client's requests count for.
    """

    def __init__(self, config: RespConfig, number: int) -> None:
        """Starts in RESP 2 without a client name."""
        self.config = config
        self.number = number
        self.uses_resp3 = False
        self.client_name = b""
        self.user: bytes | None = DEFAULT_USER if config.is_open else None
        self.tenant = config.users[DEFAULT_USER].tenant if config.is_open else ""

    def log_in(self, user: bytes, secret: bytes) -> bool:
        """Logs a user in and returns whether the user and secret were valid.

        A wrong user and a wrong secret take the same time, so that an attacker cannot find out
        which users exist.
        """
        entry = self.config.users.get(user, UNKNOWN_USER)
        expected = entry.secret_digest or NO_SECRET_DIGEST
        matches = hmac.compare_digest(sha256(secret).hexdigest(), expected)
        succeeded = matches and bool(entry.secret_digest)
        if succeeded:
            self.user = user
            self.tenant = entry.tenant
        return succeeded

    def reset(self) -> None:
        """Resets the state that the client has set."""
        self.uses_resp3 = False
        self.client_name = b""
        if not self.config.is_open:
            self.user = None
