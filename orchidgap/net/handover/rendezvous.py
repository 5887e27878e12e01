"""How two processes of one balancer find each other: a Unix socket in a folder that both see."""

from __future__ import annotations

import os
import socket
import struct
from collections.abc import Callable
from contextlib import suppress
from zlib import crc32

from orchidgap.net.loop import READ, Loop

MAX_SOCKET_PATH_BYTES = 100  # a Unix socket's address has room for few more
BACKLOG = 8
CREDENTIALS = struct.Struct("3i")  # pid, uid, gid


class Rendezvous:
    """The socket by which newer processes of this balancer call the one that serves."""

    def __init__(self, loop: Loop, folder: str | None, balancer: str) -> None:
        """`folder` is common to all processes of the balancer of this name."""
        name = f"orchidgap-{crc32(balancer.encode()):08x}"
        self.loop = loop
        self.path = os.path.join(folder, name) if folder else ""
        self.listener: socket.socket | None = None
        self.on_call: Callable[[socket.socket], None] | None = None

    def has_folder(self) -> bool:
        """Whether there is a folder in which another process could be found."""
        return bool(self.path) and os.path.isdir(os.path.dirname(self.path))

    def connect(self) -> socket.socket | None:
        """A connection to the process that serves; None where none is, or none answers."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with ShortPath(self.path) as path:
                sock.setblocking(False)
                sock.connect(path)
        except OSError:
            sock.close()
            return None
        return sock

    def listen(self, on_call: Callable[[socket.socket], None]) -> None:
        """Have newer processes find this one: `on_call` is given each one's connection. Raises
        OSError.

        The socket is bound under a name of its own and then renamed, so that there is never a
        moment in which nobody is found.
        """
        own_path = f"{self.path}.{os.getpid()}"
        listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            listener.setblocking(False)
            with ShortPath(own_path) as path, suppress(FileNotFoundError):
                os.unlink(path)
            with ShortPath(own_path) as path:
                listener.bind(path)
            listener.listen(BACKLOG)
            os.replace(own_path, self.path)
        except OSError:
            listener.close()
            raise
        self.listener = listener
        self.on_call = on_call
        self.loop.watch(listener, READ, self.accept)

    def accept(self, mask: int = READ) -> None:
        """Accept calls; another user's process is not spoken with, as it would be handed
        descriptors.
        """
        while self.listener and self.on_call:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            peer = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
            _, user, _ = CREDENTIALS.unpack(peer)
            if user != os.getuid():
                sock.close()
                continue
            self.on_call(sock)

    def close(self, keep_file: bool) -> None:
        """Accept no more calls. The file is kept where it is another process's by now."""
        if self.listener:
            with suppress(OSError):
                if not keep_file:
                    os.unlink(self.path)
            self.loop.unwatch(self.listener)
            self.listener.close()
            self.listener = None


class ShortPath:
    """A path that fits into a Unix socket's address, by its folder's descriptor where it is too
    long.
    """

    def __init__(self, path: str) -> None:
        """Keep the path."""
        self.path = path
        self.folder_fd = -1

    def __enter__(self) -> str:
        """The path to use."""
        if len(self.path.encode()) < MAX_SOCKET_PATH_BYTES:
            return self.path
        self.folder_fd = os.open(os.path.dirname(self.path), os.O_PATH | os.O_DIRECTORY)
        return f"/proc/self/fd/{self.folder_fd}/{os.path.basename(self.path)}"

    def __exit__(self, *_: object) -> None:
        """Close the folder."""
        if self.folder_fd >= 0:
            os.close(self.folder_fd)
