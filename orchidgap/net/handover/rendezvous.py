"""The Unix socket by which two processes of one balancer find each other in a common folder."""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from zlib import crc32

from orchidgap.net.loop import READ, Loop

MAX_SOCKET_PATH_BYTES = 100  # slightly below the limit of a Unix socket address
BACKLOG = 8
PEER_CREDENTIALS = struct.Struct("3i")  # pid, uid, gid


class Rendezvous:
    """The socket on which newer processes of this balancer connect to the serving one."""

    def __init__(self, loop: Loop, folder: str | None, balancer: str) -> None:
        """Use a folder that is common to all processes of the balancer with this name."""
        name = f"orchidgap-{crc32(balancer.encode()):08x}"
        self.loop = loop
        self.path = os.path.join(folder, name) if folder else ""
        self.listener: socket.socket | None = None
        self.on_connection: Callable[[socket.socket], None] | None = None

    def has_folder(self) -> bool:
        """Whether the folder in which processes find each other exists."""
        return bool(self.path) and os.path.isdir(os.path.dirname(self.path))

    def connect(self) -> socket.socket | None:
        """Connect to the serving process; None where there is none, or it does not accept."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with ShortPath(self.path) as path:
                sock.setblocking(False)
                sock.connect(path)
        except OSError:
            sock.close()
            return None
        return sock

    def listen(self, on_connection: Callable[[socket.socket], None]) -> None:
        """Let newer processes find this one: `on_connection` receives the connection of each.

        The socket is bound under a temporary name and then renamed, so that a newer process finds
        a serving one at any time. Raises OSError.
        """
        temporary_path = f"{self.path}.{os.getpid()}"
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            listener.setblocking(False)
            with ShortPath(temporary_path) as path, suppress(FileNotFoundError):
                os.unlink(path)
            with ShortPath(temporary_path) as path:
                listener.bind(path)
            listener.listen(BACKLOG)
            os.replace(temporary_path, self.path)
        except OSError:
            listener.close()
            raise
        self.listener = listener
        self.on_connection = on_connection
        self.loop.watch(listener, READ, self.accept)

    def accept(self, mask: int = READ) -> None:
        """Accept connections from processes of the same user only.

        A process that connects here receives descriptors.
        """
        while self.listener and self.on_connection:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            peer = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, PEER_CREDENTIALS.size)
            _, user_id, _ = PEER_CREDENTIALS.unpack(peer)
            if user_id != os.getuid():
                sock.close()
                continue
            self.on_connection(sock)

    def close(self, keep_file: bool) -> None:
        """Accept no more connections. Keep the file if it now belongs to another process."""
        if self.listener:
            with suppress(OSError):
                if not keep_file:
                    os.unlink(self.path)
            self.loop.unwatch(self.listener)
            self.listener.close()
            self.listener = None


class ShortPath:
    """Context manager for a path that fits into a Unix socket address.

    A path that is too long is replaced by one through the descriptor of its folder.
    """

    def __init__(self, path: str) -> None:
        """Shorten this path where necessary."""
        self.path = path
        self.folder_fd = -1

    def __enter__(self) -> str:
        """Return the path to use."""
        if len(self.path.encode()) < MAX_SOCKET_PATH_BYTES:
            return self.path
        self.folder_fd = os.open(os.path.dirname(self.path), os.O_PATH | os.O_DIRECTORY)
        return f"/proc/self/fd/{self.folder_fd}/{os.path.basename(self.path)}"

    def __exit__(self, *_: object) -> None:
        """Close the folder's descriptor."""
        if self.folder_fd >= 0:
            os.close(self.folder_fd)
