"""The event loop: callbacks for ready sockets, due timers and queued calls."""

from __future__ import annotations

import selectors
import socket
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from heapq import heappop, heappush
from typing import Any

from orchidgap.net.run_delay import run_delay_us

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE
MAX_WAIT_US = 1_000_000
IMMEDIATE_WAIT_US = 1_000  # a shorter wait found sockets that were ready before it began
READ_BUFFER_BYTES = 1 << 16
LATE_TURN_US = 100_000  # a timer called later than this after its due time is reported
CPU_SAMPLE_INTERVAL_US = 100_000
MAX_POSTPONED_TURNS = 3  # consecutive stalled turns for which postponed calls may be deferred
# A turn is stalled when the selector was polled longer ago than this: sockets that have become
# ready since may change what the turn is based on.
STALLED_TURN_US = 50_000
MAX_CALLS_US = 20_000  # time for ready sockets in one turn; the others come first in the next one
# A socket whose callback took this long is called after all others in the following turns.
COSTLY_CALL_US = 500
MAX_COSTLY_CALLS_US = 10_000  # time for such sockets in one turn
# A call counts as this long at most: one that took longer was probably held up, and cost no work.
MAX_COUNTED_CALL_US = 5_000


def system_clock() -> Callable[[], int]:
    """Return a clock that reads Unix time in microseconds once and then advances monotonically."""
    offset_ns = time.time_ns() - time.monotonic_ns()
    return lambda: (time.monotonic_ns() + offset_ns) // 1000


def thread_cpu_us() -> int:
    """Return the processor time that this thread has used, in microseconds."""
    return time.thread_time_ns() // 1000


def boot_clock() -> int:
    """Return a monotonic time in microseconds that includes the time the machine was suspended."""
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


class Timer:
    """A callback that is called at its due time unless it is cancelled."""

    __slots__ = ("args", "callback")

    def __init__(self, callback: Callable[..., None] | None, args: tuple[Any, ...]) -> None:
        """Store the callback with its arguments."""
        self.callback = callback
        self.args = args

    def cancel(self) -> None:
        """Prevent the call, and drop the references to the callback and its arguments."""
        self.callback = None
        self.args = ()


@dataclass(frozen=True, slots=True)
class LateTurn:
    """A turn that called a timer long after it was due.

    If the turn began late and little processor time was used in the window, the process did not
    run: with a run delay of about the same length it was not scheduled, otherwise it was stopped or
    waited for a disk. If the turn's own calls took long, the process was busy.

    Attributes:
        late_us: Time from the timer's due time to its call.
        began_late_us: The part of `late_us` that had passed when the turn began.
        calls_us: Time that the turn's socket callbacks took before the timer was called.
        window_us: Time since the processor time was last sampled.
        cpu_us: Processor time that the loop's thread used in the window.
        run_delay_us: Time in the window in which the thread was runnable and did not run, as
            counted by the kernel.
        callback: The name of the timer's callback.
    """

    late_us: int
    began_late_us: int
    calls_us: int
    window_us: int
    cpu_us: int
    run_delay_us: int
    callback: str


class Loop:
    """Calls back for sockets that are ready and for timers that are due.

    Attributes:
        now: The time of the current turn, in microseconds of the loop's clock. It is read before
            the socket callbacks of a turn, and again after them.
        ready_since_us: The earliest time at which a socket that is ready in this turn can have
            become ready.
        buffer: The read buffer that all connections share; its content is valid until the next
            read.
        longest_turn_us: The duration of the longest turn, without its wait.
        on_late_turn: Called with a `LateTurn` when a turn is late for a timer.

    >>> loop = Loop(clock=iter(range(0, 10_000, 100)).__next__)
    >>> _ = loop.call_later(150, print, "due")
    >>> loop.call_later(20, print, "never").cancel()
    >>> loop.call_soon(print, "next")
    >>> loop.run_once(); loop.run_once(0); loop.run_once(0)
    due
    next
    """

    def __init__(
        self,
        clock: Callable[[], int] | None = None,
        on_error: Callable[[Exception], None] | None = None,
    ) -> None:
        """Create a loop with nothing to watch.

        Args:
            clock: Returns the time in microseconds; `system_clock()` by default.
            on_error: Called with an exception that a callback raised; without it the exception
                ends the loop.
        """
        self.clock = clock or system_clock()
        self.on_error = on_error
        self.selector = selectors.DefaultSelector()
        self.priority_callbacks: set[Callable[[int], None]] = set()  # called before all others
        # descriptors whose last callback was costly, the one called longest ago first
        self.costly_descriptors: dict[int, None] = {}
        self.deferrable_descriptors: set[int] = set()
        # those that were ready and not called for lack of time, with their place in the order
        self.deferred_descriptors: dict[int, int] = {}
        self.timers: list[tuple[int, int, Timer]] = []
        self.ready_callbacks: deque[tuple[Callable[..., None], tuple[Any, ...]]] = deque()
        self.postponed: list[Callable[[], None]] = []  # calls for the next turn
        self._postponed_turns = 0  # consecutive turns that deferred the postponed calls
        self.timer_count = 0
        self.running = True
        self.longest_turn_us = 0
        self.now = self.clock()
        self.last_poll_us = self.now
        self.ready_since_us = self.now
        self.buffer = memoryview(bytearray(READ_BUFFER_BYTES))
        self.on_late_turn: Callable[[LateTurn], None] | None = None
        self._cpu_sampled_at_us = self.now
        self._cpu_sample_us = thread_cpu_us()
        self._run_delay_sample_us = run_delay_us()

    def watch(
        self,
        sock: socket.socket | int,
        mask: int,
        callback: Callable[[int], None],
        priority: bool = False,
        deferrable: bool = False,
    ) -> None:
        """Call back when the socket or descriptor is ready.

        With `priority`, it is called before all others. If `deferrable`, the call may wait for a
        later turn as long as other sockets take much time.
        """
        key = self.selector.register(sock, mask, callback)
        if priority:
            self.priority_callbacks.add(callback)
        elif deferrable:
            self.deferrable_descriptors.add(key.fd)

    def rewatch(self, sock: socket.socket, mask: int, callback: Callable[[int], None]) -> None:
        """Change the events or the callback of a watched socket."""
        self.selector.modify(sock, mask, callback)

    def unwatch(self, sock: socket.socket | int) -> None:
        """Stop watching the socket."""
        key = self.selector.unregister(sock)
        self.priority_callbacks.discard(key.data)
        self.deferrable_descriptors.discard(key.fd)
        self.costly_descriptors.pop(key.fd, None)

    def set_deferrable(self, sock: socket.socket, deferrable: bool) -> None:
        """Change whether calls for a watched socket may wait for a later turn."""
        descriptor = sock.fileno()
        if deferrable:
            self.deferrable_descriptors.add(descriptor)
        else:
            self.deferrable_descriptors.discard(descriptor)
            self.costly_descriptors.pop(descriptor, None)

    def call_later(self, delay_us: int, callback: Callable[..., None], *args: Any) -> Timer:
        """Call after a delay in microseconds, counted from `now`."""
        return self.call_at(self.now + delay_us, callback, *args)

    def call_at(self, when_us: int, callback: Callable[..., None], *args: Any) -> Timer:
        """Call at a time of the loop's clock; timers of equal time run in the order of creation."""
        timer = Timer(callback, args)
        self.timer_count += 1
        heappush(self.timers, (when_us, self.timer_count, timer))
        return timer

    def call_soon(self, callback: Callable[..., None], *args: Any) -> None:
        """Call after the current callback has returned.

        The outcome of an attempt, for example, must not be handled while the decision to send that
        attempt is still being made.
        """
        self.ready_callbacks.append((callback, args))

    def call_next_turn(self, callback: Callable[[], None]) -> None:
        """Call in the next turn, after the priority sockets; later if that turn is stalled too."""
        self.postponed.append(callback)

    @property
    def is_stalled(self) -> bool:
        """Whether the selector was polled so long ago that its result may be out of date."""
        return self.clock() - self.last_poll_us > STALLED_TURN_US

    @property
    def current_us(self) -> int:
        """The time of the current turn, or the clock's time if the turn is stalled."""
        time_us = self.clock()
        return time_us if time_us - self.last_poll_us > STALLED_TURN_US else self.now

    def run(self) -> None:
        """Run turns until `running` is false."""
        while self.running:
            self.run_once()

    def run_once(self, max_wait_us: int = MAX_WAIT_US) -> None:
        """Run one turn.

        Ready sockets are handled before due timers, so that an answer that has arrived takes
        precedence over its timeout.
        """
        entered_us = self.clock()
        wait_us = 0 if self.ready_callbacks or self.postponed else max_wait_us
        if self.timers:
            wait_us = max(0, min(wait_us, self.timers[0][0] - entered_us))
        events = self.selector.select(wait_us / 1e6)
        now = self.clock()
        was_ready_before = now - entered_us < IMMEDIATE_WAIT_US
        self.ready_since_us = self.last_poll_us if was_ready_before else now
        if now - entered_us > STALLED_TURN_US:
            # the process may have been stalled after `select` returned, not while it waited
            events = self.selector.select(0)
            now = self.clock()
        self.last_poll_us = now
        self.now = now
        self._run_ready_sockets(events)
        self.now = self.clock()
        if self.on_late_turn:
            self._report_late_timer(self.on_late_turn)
        self._run_due_timers()
        for _ in range(len(self.ready_callbacks)):
            callback, args = self.ready_callbacks.popleft()
            self.run_callback(callback, *args)
        turn_us = self.clock() - self.last_poll_us
        if turn_us > self.longest_turn_us:
            self.longest_turn_us = turn_us

    def _run_ready_sockets(self, events: list[tuple[selectors.SelectorKey, int]]) -> None:
        """Run the priority callbacks, the postponed calls, and as many others as there is time."""
        if len(events) > 1:
            events = self._in_order(events)
        postponed, self.postponed = self.postponed, []
        costly: list[tuple[selectors.SelectorKey, int]] = []
        deferred: dict[int, int] = {}
        spent_us = 0
        for key, mask in events:
            if postponed and key.data not in self.priority_callbacks:
                self._run_postponed(postponed)
                postponed = []
            if key.fd not in self.deferrable_descriptors:
                self.run_callback(key.data, mask)
            elif self.costly_descriptors and key.fd in self.costly_descriptors:
                costly.append((key, mask))
            elif spent_us >= MAX_CALLS_US:
                deferred[key.fd] = len(deferred)
            else:
                spent_us += self._run_socket(key, mask)
        self._run_postponed(postponed)
        self.deferred_descriptors = deferred
        if costly:
            self._run_costly(costly)

    def _in_order(
        self, events: list[tuple[selectors.SelectorKey, int]]
    ) -> list[tuple[selectors.SelectorKey, int]]:
        """Return the priority sockets first, and then those that were deferred, in their order."""
        deferred = self.deferred_descriptors
        if deferred:
            events.sort(key=lambda event: deferred.get(event[0].fd, len(deferred)))
        if self.priority_callbacks:
            events.sort(key=lambda event: event[0].data not in self.priority_callbacks)
        return events

    def _run_costly(self, events: list[tuple[selectors.SelectorKey, int]]) -> None:
        """Run the callbacks that were costly before, as far as their time in one turn allows.

        At least one is run, and the one that was called longest ago is first, so that all get their
        turn while none delays the sockets that cost little.
        """
        by_descriptor = {event[0].fd: event for event in events}
        spent_us = 0
        for descriptor in [each for each in self.costly_descriptors if each in by_descriptor]:
            spent_us += self._run_socket(*by_descriptor[descriptor])
            if spent_us >= MAX_COSTLY_CALLS_US:
                return

    def _run_socket(self, key: selectors.SelectorKey, mask: int) -> int:
        """Run the callback of a ready socket, and note whether it was costly.

        Returns:
            The time that the call counts as, in microseconds.
        """
        begun_us = self.clock()
        self.run_callback(key.data, mask)
        duration_us = self.clock() - begun_us
        if duration_us < COSTLY_CALL_US:
            if self.costly_descriptors:
                self.costly_descriptors.pop(key.fd, None)
            return duration_us
        self.costly_descriptors.pop(key.fd, None)  # reinserted, as the order is that of the calls
        if key.fd in self.deferrable_descriptors:
            self.costly_descriptors[key.fd] = None
        return min(duration_us, MAX_COUNTED_CALL_US)

    def _run_due_timers(self) -> None:
        """Call the timers that are due.

        In a stalled turn, only the timers that were due when the selector was polled: sockets that
        have become ready since are handled before later timers.
        """
        was_stalled = self.now - self.last_poll_us > STALLED_TURN_US
        due_by_us = self.last_poll_us if was_stalled else self.now
        while self.timers and self.timers[0][0] <= due_by_us:
            _, _, timer = heappop(self.timers)
            if timer.callback is not None:
                self.run_callback(timer.callback, *timer.args)

    def _run_postponed(self, callbacks: list[Callable[[], None]]) -> None:
        """Make the calls that were postponed to this turn, or defer them to the next one.

        They are deferred if this turn is stalled too, as the input that they wait for may have
        become readable since the poll. `MAX_POSTPONED_TURNS` bounds this, so that a loop whose
        turns are all that long still makes the calls.
        """
        may_defer = self._postponed_turns < MAX_POSTPONED_TURNS
        for index, callback in enumerate(callbacks):
            if may_defer and self.is_stalled:
                self._postponed_turns += 1
                self.postponed[:0] = callbacks[index:]
                return
            self.run_callback(callback)
        if callbacks:
            self._postponed_turns = 0

    def _report_late_timer(self, on_late_turn: Callable[[LateTurn], None]) -> None:
        """Report the first due timer to `on_late_turn` if it is called long after it was due."""
        while self.timers and self.timers[0][2].callback is None:
            heappop(self.timers)
        if self.timers and self.now - self.timers[0][0] > LATE_TURN_US:
            due_us, _, timer = self.timers[0]
            late_turn = LateTurn(
                late_us=self.now - due_us,
                began_late_us=max(0, self.last_poll_us - due_us),
                calls_us=self.now - self.last_poll_us,
                window_us=self.now - self._cpu_sampled_at_us,
                cpu_us=thread_cpu_us() - self._cpu_sample_us,
                run_delay_us=run_delay_us() - self._run_delay_sample_us,
                callback=getattr(timer.callback, "__qualname__", repr(timer.callback)),
            )
            self.run_callback(on_late_turn, late_turn)
        if self.now - self._cpu_sampled_at_us >= CPU_SAMPLE_INTERVAL_US:
            self._cpu_sampled_at_us = self.now
            self._cpu_sample_us = thread_cpu_us()
            self._run_delay_sample_us = run_delay_us()

    def run_callback(self, callback: Callable[..., None], *args: Any) -> None:
        """Make one call; an exception in it does not prevent other calls."""
        try:
            callback(*args)
        except Exception as error:  # whatever the exception, only this call is aborted
            if self.on_error is None:
                raise
            self.on_error(error)
