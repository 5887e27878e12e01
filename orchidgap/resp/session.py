"""What one client has told about itself: who it is, its name, its version of RESP."""

from __future__ import annotations

import hmac
from hashlib import sha256

from orchidgap.resp.config import DEFAULT_USER, RespConfig, User

UNKNOWN_USER = User("", "")
NO_SECRET_DIGEST = sha256(b"").hexdigest()


class Session:
    """The state of one connection that commands without a host read and change.

    Attributes:
        config: how the balancer speaks RESP.
        number: the connection's number.
        uses_resp3: the client speaks RESP 3.
        client_name: the name it gave itself.
        user: who logged in, None for nobody.
        tenant: whose requests its are.
    """

    def __init__(self, config: RespConfig, number: int) -> None:
        """Starts as a new connection does: in RESP 2, without a name."""
        self.config = config
        self.number = number
        self.uses_resp3 = False
        self.client_name = b""
        self.user: bytes | None = DEFAULT_USER if config.is_open else None
        self.tenant = config.users[DEFAULT_USER].tenant if config.is_open else ""

    def log_in(self, user: bytes, secret: bytes) -> bool:
        """Returns whether the pair is known.

        It takes the same time whichever of the two is wrong: an attacker must not learn names.
        """
        known = self.config.users.get(user, UNKNOWN_USER)
        expected = known.secret_digest or NO_SECRET_DIGEST
        matches = hmac.compare_digest(sha256(secret).hexdigest(), expected)
        succeeded = matches and bool(known.secret_digest)
        if succeeded:
            self.user = user
            self.tenant = known.tenant
        return succeeded

    def reset(self) -> None:
        """Forgets what the client told."""
        self.uses_resp3 = False
        self.client_name = b""
        if not self.config.is_open:
            self.user = None
