"""Delivers signals to a loop. `net/server.handle_signals` defines the effect of each of them."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable, Iterable

from orchidgap.net.loop import READ, Loop

MAX_SIGNALS_PER_READ = 64


def watch_signals(
    loop: Loop, numbers: Iterable[signal.Signals], on_signals: Callable[[bytes], None]
) -> socket.socket:
    """Call back from the loop when signals arrive.

    Args:
        loop: The loop that makes the calls.
        numbers: The signals.
        on_signals: Called with the numbers of the signals, in the order of their arrival.

    Returns:
        A socket; signals are delivered as long as it is kept open.
    """
    wakeup, wakeup_receiver = socket.socketpair()
    for end in (wakeup, wakeup_receiver):
        end.setblocking(False)
    loop.watch(
        wakeup_receiver, READ, lambda mask: on_signals(wakeup_receiver.recv(MAX_SIGNALS_PER_READ))
    )
    signal.set_wakeup_fd(wakeup.fileno(), warn_on_full_buffer=False)
    for number in numbers:
        signal.signal(number, lambda *_: None)
    return wakeup
