"""Signals that wake a loop."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable, Iterable

from orchidgap.net.loop import READ, Loop


def watch_signals(
    loop: Loop, numbers: Iterable[signal.Signals], heard: Callable[[bytes], None]
) -> socket.socket:
    """`heard` is called by the loop with the number of each signal, in the order they came, as long as the
    socket returned is kept."""
    bell, ear = socket.socketpair()
    for end in (bell, ear):
        end.setblocking(False)
    loop.watch(ear, READ, lambda mask: heard(ear.recv(64)))
    signal.set_wakeup_fd(bell.fileno(), warn_on_full_buffer=False)
    for number in numbers:
        signal.signal(number, lambda *_: None)
    return bell
