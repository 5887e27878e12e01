"""The null object that replaces `Handover` in a process that does not share its listener."""

from __future__ import annotations

from orchidgap.net.client_listener import ClientListener


class NoHandover:
    """A handover without another process, now or later."""

    active = False
    awaiting_snapshot = False

    def __init__(self, clients: ClientListener) -> None:
        """Use this listener for clients."""
        self.clients = clients

    def is_request_open(self, request_id: bytes) -> bool:
        """Whether a request with this id is open in another process: always false."""
        return False

    def leads_to_older_process(self, host: str) -> bool:
        """Whether a connection from another process leads to an older process of the host."""
        return False

    def announce_serving(self) -> None:
        """Accept clients from now on."""
        self.clients.return_to_listener()

    def close(self) -> None:
        """Release nothing: no resources are held."""
