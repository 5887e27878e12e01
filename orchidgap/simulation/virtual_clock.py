"""An event loop on a virtual clock, which goes on only when nothing is left to be done.

What runs on it is a function of its input alone: callbacks come in one order on any machine.
"""

from __future__ import annotations

import selectors
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from orchidgap.net.loop import MAX_WAIT_US, Loop, Timer
from orchidgap.simulation.virtual_socket import ACTIVITY, VirtualSocket

START_US = 1_700_000_000_000_000  # Unix time that the clock begins at
MAX_ROUNDS_AT_ONE_TIME = 200_000
NOT_IDLE = -1  # a count of activity that there never is


class VirtualClockStalledError(RuntimeError):
    """The loop had work for `MAX_ROUNDS_AT_ONE_TIME` rounds while the clock stood still.

    Something schedules itself anew without end.
    """


class OrderedSelector(selectors.EpollSelector):
    """Returns ready sockets in the order of their registration, whatever the kernel's is.

    Attributes:
        foreign: The descriptors of sockets that are no virtual ones, and not counted.
        idle_at: The count of the virtual sockets' activity when none was ready.
    """

    def __init__(self) -> None:
        """Start with nothing registered."""
        super().__init__()
        self.foreign: set[int] = set()
        self.idle_at = NOT_IDLE
        self.order: dict[int, int] = {}
        self.registration_count = 0

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Register a socket as the last one in the order."""
        key = super().register(fileobj, events, data)
        self.registration_count += 1
        self.order[key.fd] = self.registration_count
        self.idle_at = NOT_IDLE
        if not isinstance(fileobj, VirtualSocket):
            self.foreign.add(key.fd)
        return key

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Watch a registered socket for other events."""
        self.idle_at = NOT_IDLE
        return super().modify(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Watch a socket no more."""
        key = super().unregister(fileobj)
        self.foreign.discard(key.fd)
        return key

    def may_have_ready(self) -> bool:
        """Return whether a socket may be ready: none is where none was and nothing happened."""
        return ACTIVITY.count != self.idle_at or bool(self.foreign)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return what is ready, in order. `timeout` is in seconds."""
        activity_before = ACTIVITY.count
        ready = super().select(timeout)
        if not ready:
            self.idle_at = activity_before
        elif len(ready) > 1:
            ready.sort(key=lambda item: self.order[item[0].fd])
        return ready


class VirtualClockLoop(Loop):
    """A loop whose clock jumps to the next timer once all that is due has run.

    >>> loop = VirtualClockLoop(); start = loop.now
    >>> _ = loop.call_later(3_000_000, lambda: print("due", loop.now - start))
    >>> loop.run_until(start + 4_000_000)
    due 3000000
    >>> loop.now - start
    4000000
    >>> def again():
    ...     loop.call_soon(again)
    >>> again(); loop.run_until(loop.now + 1)
    Traceback (most recent call last):
        ...
    orchidgap.simulation.virtual_clock.VirtualClockStalledError: 200000 rounds at 4000000 us
    """

    def __init__(self) -> None:
        """Start the clock at `START_US`."""
        self.time = START_US
        super().__init__(clock=lambda: self.time)
        self.selector.close()
        # epoll, as on Linux
        self.ordered_selector = OrderedSelector()
        self.selector: selectors.DefaultSelector = self.ordered_selector  # type: ignore[assignment]
        self.rounds_at_this_time = 0

    def call_later(self, delay_us: int, callback: Callable[..., None], *args: Any) -> Timer:
        """Call after so many microseconds."""
        timer = Timer(callback, args)
        self.schedule(self.now + delay_us, timer)
        return timer

    def schedule(self, when_us: int, timer: Timer) -> None:
        """Call a timer back at a time of the clock, behind those of the same time."""
        self.timer_count += 1
        heappush(self.timers, (when_us, self.timer_count, timer))

    def run_once(self, max_wait_us: int = MAX_WAIT_US) -> None:
        """Run all that is due now; where there is nothing, move the clock on."""
        self.now = self.last_poll_us = self.ready_since_us = self.time
        worked = self.run_ready_sockets()
        worked |= self.run_due_timers()
        worked |= self.run_soon()
        if worked:
            self.count_round()
        else:
            self.advance(max_wait_us)

    def run_instant(self, sockets_are_idle: bool) -> None:
        """Run all that is due now, round after round, until nothing is left.

        Args:
            sockets_are_idle: No socket was ready when the clock was moved on, and nothing has run
                since: all sockets are this process's own, so that none can be ready now.
        """
        self.now = self.last_poll_us = self.ready_since_us = self.time
        timers = self.timers
        ready_callbacks = self.ready_callbacks
        may_have_ready = self.ordered_selector.may_have_ready
        worked = False if sockets_are_idle else self.run_ready_sockets()
        while True:
            if timers and timers[0][0] <= self.time:
                worked |= self.run_due_timers()
            if ready_callbacks:
                worked |= self.run_soon()
            if not worked:
                return
            self.count_round()
            worked = may_have_ready() and self.run_ready_sockets()

    def run_ready_sockets(self) -> bool:
        """Return whether there were any. What a callback raises is passed on."""
        ready = self.selector.select(0)
        for key, mask in ready:
            key.data(mask)
        return bool(ready)

    def run_due_timers(self) -> bool:
        """Return whether there were any that had not been cancelled."""
        worked = False
        timers = self.timers
        while timers and timers[0][0] <= self.time:
            timer = heappop(timers)[2]
            if timer.callback is not None:
                worked = True
                timer.callback(*timer.args)
        return worked

    def run_soon(self) -> bool:
        """Run what stood in the queue at the begin of this call; return whether it had any."""
        count = len(self.ready_callbacks)
        for _ in range(count):
            callback, args = self.ready_callbacks.popleft()
            callback(*args)
        return count > 0

    def count_round(self) -> None:
        """Count a round with work. Raises VirtualClockStalledError where there were too many."""
        self.rounds_at_this_time += 1
        if self.rounds_at_this_time >= MAX_ROUNDS_AT_ONE_TIME:
            at_us = self.time - START_US
            raise VirtualClockStalledError(f"{MAX_ROUNDS_AT_ONE_TIME} rounds at {at_us} us")

    def advance(self, max_wait_us: int) -> None:
        """Move the clock to the next timer, but no further than `max_wait_us` on."""
        timers = self.timers
        while timers and timers[0][2].callback is None:
            heappop(timers)
        latest = self.time + max_wait_us
        self.time = timers[0][0] if timers and timers[0][0] < latest else latest
        self.rounds_at_this_time = 0

    def run_until(self, end_us: int) -> None:
        """Run until this time of the clock; all that is due before it has happened then."""
        sockets_are_idle = False
        while self.time < end_us:
            self.run_instant(sockets_are_idle)
            self.advance(end_us - self.time)
            sockets_are_idle = True
        self.now = self.time
