"""Delivers signals to a loop. What each of them does stands in `net/server.handle_signals`."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable, Iterable

from orchidgap.net.loop import READ, Loop

MAX_SIGNALS_A_READ = 64


def watch_signals(
    loop: Loop, numbers: Iterable[signal.Signals], on_signals: Callable[[bytes], None]
) -> socket.socket:
    """Call back on signals, from the loop.

    Args:
        loop: The loop that is woken.
        numbers: The signals.
        on_signals: Given the number of each signal, in the order they came.

    Returns:
        A socket; signals are heard as long as it is kept.
    """
    wakeup, wakened = socket.socketpair()
    for end in (wakeup, wakened):
        end.setblocking(False)
    loop.watch(wakened, READ, lambda mask: on_signals(wakened.recv(MAX_SIGNALS_A_READ)))
    signal.set_wakeup_fd(wakeup.fileno(), warn_on_full_buffer=False)
    for number in numbers:
        signal.signal(number, lambda *_: None)
    return wakeup
