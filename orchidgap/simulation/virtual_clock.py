"""An event loop on a virtual clock, which advances only when no work is due.

A run on it depends on its input alone: callbacks run in the same order on any machine.
"""

from __future__ import annotations

import selectors
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from orchidgap.net.loop import MAX_WAIT_US, Loop, Timer
from orchidgap.simulation.virtual_socket import ACTIVITY, VirtualSocket

START_US = 1_700_000_000_000_000  # initial Unix time of the clock
MAX_ROUNDS_AT_ONE_TIME = 200_000
NOT_IDLE = -1  # differs from every activity count


class VirtualClockStalledError(RuntimeError):
    """The loop had work for `MAX_ROUNDS_AT_ONE_TIME` rounds without advancing the clock.

    A callback reschedules itself endlessly.
    """


class OrderedSelector(selectors.EpollSelector):
    """Returns ready sockets in the order of their registration, whatever order the kernel uses.

    Attributes:
        real_descriptors: The descriptors of registered sockets that are not virtual and whose
            activity is not counted.
        idle_at_count: The activity count of the virtual sockets when none was ready.
    """

    def __init__(self) -> None:
        """Start without registered sockets."""
        super().__init__()
        self.real_descriptors: set[int] = set()
        self.idle_at_count = NOT_IDLE
        self.order: dict[int, int] = {}
        self.registration_count = 0

    def register(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Register a socket as the last one in the order."""
        key = super().register(fileobj, events, data)
        self.registration_count += 1
        self.order[key.fd] = self.registration_count
        self.idle_at_count = NOT_IDLE
        if not isinstance(fileobj, VirtualSocket):
            self.real_descriptors.add(key.fd)
        return key

    def modify(self, fileobj: Any, events: int, data: Any = None) -> selectors.SelectorKey:
        """Watch a registered socket for other events."""
        self.idle_at_count = NOT_IDLE
        return super().modify(fileobj, events, data)

    def unregister(self, fileobj: Any) -> selectors.SelectorKey:
        """Stop watching a socket."""
        key = super().unregister(fileobj)
        self.real_descriptors.discard(key.fd)
        return key

    def may_have_ready(self) -> bool:
        """Return whether a socket may be ready: not if none was and no activity followed."""
        return ACTIVITY.count != self.idle_at_count or bool(self.real_descriptors)

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the ready sockets in order of registration; `timeout` is in seconds."""
        activity_before = ACTIVITY.count
        ready = super().select(timeout)
        if not ready:
            self.idle_at_count = activity_before
        elif len(ready) > 1:
            ready.sort(key=lambda item: self.order[item[0].fd])
        return ready


class VirtualClockLoop(Loop):
    """A loop whose clock jumps to the next timer when all due work has run.

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
        # the base class defaults to epoll on Linux
        self.ordered_selector = OrderedSelector()
        self.selector: selectors.DefaultSelector = self.ordered_selector  # type: ignore[assignment]
        self.rounds_at_this_time = 0

    def call_later(self, delay_us: int, callback: Callable[..., None], *args: Any) -> Timer:
        """Schedule a callback after a delay in microseconds."""
        timer = Timer(callback, args)
        self.schedule(self.now + delay_us, timer)
        return timer

    def schedule(self, when_us: int, timer: Timer) -> None:
        """Schedule a timer at a time of the clock, after timers of the same time."""
        self.timer_count += 1
        heappush(self.timers, (when_us, self.timer_count, timer))

    def run_once(self, max_wait_us: int = MAX_WAIT_US) -> None:
        """Run all due work; if there is none, advance the clock."""
        self.now = self.last_poll_us = self.ready_since_us = self.time
        worked = self.run_ready_sockets()
        worked |= self.run_due_timers()
        worked |= self.run_ready_callbacks()
        if worked:
            self.count_round()
        else:
            self.advance(max_wait_us)

    def run_instant(self, sockets_are_idle: bool) -> None:
        """Run all due work, round after round, until none is left.

        Args:
            sockets_are_idle: No socket was ready when the clock was advanced, and no callback has
                run since. As this process has both ends of all sockets, none can be ready now.
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
                worked |= self.run_ready_callbacks()
            if not worked:
                return
            self.count_round()
            worked = may_have_ready() and self.run_ready_sockets()

    def run_ready_sockets(self) -> bool:
        """Run the callbacks of ready sockets; return whether there were any.

        Exceptions of callbacks propagate.
        """
        ready = self.selector.select(0)
        for key, mask in ready:
            key.data(mask)
        return bool(ready)

    def run_due_timers(self) -> bool:
        """Run due timers; return whether any of them had not been cancelled."""
        worked = False
        timers = self.timers
        while timers and timers[0][0] <= self.time:
            timer = heappop(timers)[2]
            if timer.callback is not None:
                worked = True
                timer.callback(*timer.args)
        return worked

    def run_ready_callbacks(self) -> bool:
        """Run the callbacks queued before this call; return whether there were any."""
        count = len(self.ready_callbacks)
        for _ in range(count):
            callback, args = self.ready_callbacks.popleft()
            callback(*args)
        return count > 0

    def count_round(self) -> None:
        """Count a round with work; raise VirtualClockStalledError if there were too many."""
        self.rounds_at_this_time += 1
        if self.rounds_at_this_time >= MAX_ROUNDS_AT_ONE_TIME:
            at_us = self.time - START_US
            raise VirtualClockStalledError(f"{MAX_ROUNDS_AT_ONE_TIME} rounds at {at_us} us")

    def advance(self, max_wait_us: int) -> None:
        """Advance the clock to the next timer, by at most `max_wait_us`."""
        timers = self.timers
        while timers and timers[0][2].callback is None:
            heappop(timers)
        latest = self.time + max_wait_us
        self.time = timers[0][0] if timers and timers[0][0] < latest else latest
        self.rounds_at_this_time = 0

    def run_until(self, end_us: int) -> None:
        """Run all work that is due before a time of the clock, and advance the clock to it."""
        sockets_are_idle = False
        while self.time < end_us:
            self.run_instant(sockets_are_idle)
            self.advance(end_us - self.time)
            sockets_are_idle = True
        self.now = self.time
