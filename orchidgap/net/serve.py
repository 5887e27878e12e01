"""The running program: the loop, the node, and the signals that end them."""

from __future__ import annotations

import errno
import signal
import socket
import time

from orchidgap.net.log import Log
from orchidgap.net.loop import READ, Loop
from orchidgap.net.node import Node
from orchidgap.net.start import BadStart, Station

BIND_FOR = 10.0  # seconds: a forerunner that was killed may still hold the address


def serve(station: Station) -> None:
    log = Log(station.name)
    loop = Loop(trouble=log.trouble)
    node = Node(loop, station, log)
    bell = on_stop(loop, node)
    until = time.monotonic() + BIND_FOR
    while True:
        try:
            node.clients.listen(station.listen)
            break
        except OSError as trouble:
            if trouble.errno != errno.EADDRINUSE or time.monotonic() > until:
                raise BadStart(f"cannot listen on {station.listen}: {trouble.strerror}") from None
            time.sleep(0.05)
    node.start()
    log("serving", listen=station.listen, hosts=len(node.hosts.pools), clients=node.clients.most,
        links=node.hosts.most)
    loop.run()
    bell.close()


def on_stop(loop: Loop, node: Node) -> socket.socket:
    """A signal wakes the loop, which then calls the node, as long as the socket returned is kept."""
    bell, ear = socket.socketpair()
    for end in (bell, ear):
        end.setblocking(False)

    def heard(mask: int) -> None:
        ear.recv(64)
        node.leave()

    loop.watch(ear, READ, heard)
    signal.set_wakeup_fd(bell.fileno(), warn_on_full_buffer=False)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: None)
    return bell
