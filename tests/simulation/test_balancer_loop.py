"""A balancer's timers and sockets on the shared virtual clock."""

import socket

import pytest

from orchidgap.simulation.balancer_loop import BalancerLoop
from orchidgap.simulation.virtual_clock import VirtualClockLoop
from orchidgap.simulation.virtual_socket import connected_pair


class CountedLoop(VirtualClockLoop):
    """Counts how often the clock was advanced."""

    def __init__(self):
        super().__init__()
        self.advance_count = 0

    def advance(self, max_wait_us):
        self.advance_count += 1
        super().advance(max_wait_us)


@pytest.fixture
def shared():
    return CountedLoop()


@pytest.fixture
def loop(shared):
    def raise_error(error):
        raise error

    return BalancerLoop(shared, raise_error)


def test_a_cancelled_timer_does_not_move_the_clock(shared, loop):
    # Each cancelled timer cost a simulation an instant with two rounds.
    for delay_us in range(100, 200):
        loop.call_later(delay_us, pytest.fail).cancel()
    shared.run_until(shared.time + 1_000)
    assert shared.advance_count == 1


def test_a_timer_that_is_due_in_a_pause_runs_after_it_unless_it_is_cancelled(shared, loop):
    # A stopped process must not run timers, and must not later run those cancelled meanwhile.
    calls = []
    start_us = shared.time
    loop.call_later(100, lambda: calls.append(shared.time - start_us))
    cancelled = loop.call_later(100, pytest.fail)
    loop.pause(start_us + 500)
    shared.call_at(start_us + 300, cancelled.cancel)
    shared.run_until(start_us + 1_000)
    assert calls == [500]


def test_bytes_written_at_the_end_of_an_instant_are_read_in_it(shared, loop):
    # The clock must not advance while a socket is unread that became ready in an instant's last round.
    near, far = socket.socketpair()
    far.setblocking(False)
    reads = []
    with near, far:
        shared.watch(far, 1, lambda mask: reads.append((shared.time, far.recv(9))))
        start_us = shared.time
        shared.call_at(start_us + 50, lambda: shared.call_soon(near.send, b"x"))
        shared.run_until(start_us + 100)
        near.send(b"y")  # between two calls of run_until, outside of any callback
        shared.run_until(start_us + 200)
        shared.unwatch(far)
    assert reads == [(start_us + 50, b"x"), (start_us + 100, b"y")]


@pytest.fixture
def pair():
    near, far = connected_pair()
    with near, far:
        yield near, far


@pytest.mark.parametrize(
    ("act", "reads"),
    [
        (lambda near: near.send(b"x"), b"x"),
        (lambda near: near.sendall(b"x"), b"x"),
        (lambda near: near.sendmsg([b"x"]), b"x"),
        (lambda near: near.shutdown(socket.SHUT_WR), b""),
        (lambda near: near.close(), b""),
    ],
    ids=["send", "sendall", "sendmsg", "shutdown", "close"],
)
def test_each_call_that_makes_a_virtual_socket_ready_has_it_read_at_that_time(
    shared, pair, act, reads
):
    # If the loop skipped its select because no activity was counted, it would read the socket late.
    near, far = pair
    calls = []

    def read(mask):
        calls.append((shared.time, far.recv(9)))
        if not calls[-1][1]:
            shared.unwatch(far)

    shared.watch(far, 1, read)
    start_us = shared.time
    shared.call_at(start_us + 50, act, near)
    shared.call_at(start_us + 90, int)
    shared.run_until(start_us + 100)
    assert calls == [(start_us + 50, reads)]


def test_a_virtual_socket_that_was_ready_before_it_is_watched_is_read_then(shared, pair):
    near, far = pair
    near.send(b"x")
    shared.run_until(shared.time + 100)
    calls = []
    start_us = shared.time
    shared.call_at(
        start_us + 50,
        lambda: shared.watch(far, 1, lambda mask: calls.append((shared.time, far.recv(9)))),
    )
    shared.run_until(start_us + 100)
    assert calls == [(start_us + 50, b"x")]


def test_a_read_that_frees_buffer_space_wakes_the_writer(shared, pair):
    # Otherwise the rest of a large body would wait for the next unrelated event.
    near, far = pair
    with pytest.raises(BlockingIOError):
        while True:
            near.send(bytes(1 << 16))
    calls = []

    def write(mask):
        calls.append(shared.time)
        shared.unwatch(near)

    shared.watch(near, 2, write)
    start_us = shared.time

    def read_all():
        with pytest.raises(BlockingIOError):
            while True:
                far.recv(1 << 16)

    shared.call_at(start_us + 20, int)
    shared.call_at(start_us + 50, read_all)
    shared.run_until(start_us + 100)
    assert calls == [start_us + 50]
