"""What stands in the place of a handover in a process that shares its listener with no other."""

from __future__ import annotations

from orchidgap.net.client_listener import ClientListener


class NoHandover:
    """There is no other process, and none will come."""

    active = False
    awaiting_snapshot = False

    def __init__(self, clients: ClientListener) -> None:
        """Keep the clients' side."""
        self.clients = clients

    def is_request_open(self, request_id: bytes) -> bool:
        """Whether a request of this id is open in another process: never."""
        return False

    def announce_serving(self) -> None:
        """From now on clients come here."""
        self.clients.return_to_listener()

    def close(self) -> None:
        """This process ends."""
