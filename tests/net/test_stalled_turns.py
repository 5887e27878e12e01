"""A turn that is held up after the selector answered: the list, the clock and the client are as they are at the write,
and not as they were when the turn began. Each test forces the hold-up at one line of the turn.
"""

import pytest
from loopback_harness import (
    LoopbackHarness,
    received_or_reset,
    received_text,
    request_text,
    wait_until_readable,
)
from net_scenarios import discovery_socket, push_host_list
from stalled_turn import (
    BEFORE_CALLBACKS,
    BEFORE_DECISION,
    BEFORE_TIMERS,
    BEFORE_WRITE,
    SELECTOR_ANSWERED,
    STALL_US,
    StalledTurnScenario,
    bring_changes,
    sent_timeout_us,
)

from orchidgap.http1.messages import MAX_BUFFERED_BODY_BYTES
from orchidgap.net.loop import READ_BUFFER_BYTES

CACHE_PORT, ORIGIN_PORT = 100, 109
ORIGIN = 9
LATE_US = 490_000  # a read is late at its cache
SLACK_US = 1_000  # told in milliseconds
WAITING = 40  # requests, more than one cache is sent at a time
BEFORE_OPENED = (SELECTOR_ANSWERED, BEFORE_CALLBACKS)
BEFORE_SENT = (*BEFORE_OPENED, BEFORE_DECISION, BEFORE_WRITE)


class Scene(StalledTurnScenario):
    """A node before a turn in which an attempt will begin, at the host of this number."""

    def __init__(self, number):
        self.number = number
        self.port = ORIGIN_PORT if number == ORIGIN else CACHE_PORT + number
        self.net = LoopbackHarness(1)
        net = self.net
        push_host_list(net, 41, True, [net.host_entry(0), net.host_entry(ORIGIN)])
        self.client = net.connect_client()
        self.clients = [self.client]  # that wait for an answer
        net.turn()
        self.ask("warm")
        net.turn()
        _, cache = net.next_host_request()
        net.answer_from_host(cache, 404)
        _, origin = net.next_host_request()
        net.answer_from_host(origin)
        assert "200" in received_or_reset(self.client), "each host has a connection that rests"
        received_text(discovery_socket(net))

    def ask(self, id, left="2.0"):
        self.asked_at_us = self.net.now
        self.net.send_more(self.client, request_text("k1", id=id, left=left))

    def begun(self):
        """What this host was asked and has not been looked at."""
        sent = [
            received_text(far)
            for port, far in self.net.dialled
            if port == self.port and far.fileno() >= 0
        ]
        return [text for text in sent if text and "/read/" in text]

    def begun_writes(self):
        """What this host was asked to write and has not been looked at."""
        sent = [received_text(far) or "" for port, far in self.net.dialled if port == self.port]
        return "".join(sent)


def is_read(left="2.0"):
    """A request is there; it goes on over a connection that rests."""
    scene = Scene(0)
    scene.ask("second", left)
    return scene


def comes_up(left="2.0"):
    """The connection to the host has come up, and the node has not looked."""
    scene = Scene(0)
    for link in list(scene.net.node.pools.by_host["c0"].connections):
        link.close()
    scene.ask("second", left)
    scene.net.turn(1)
    assert not scene.begun() and len(scene.net.node.exchanges) == 1, "it is dialled"
    return scene


def is_missed(left="2.0"):
    """The cache has answered that it lacks the value; the origin is asked next."""
    scene = Scene(ORIGIN)
    scene.ask("second", left)
    scene.net.turn()
    _, cache = scene.net.next_host_request()
    cache.sendall(b"HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
    wait_until_readable(next(iter(scene.net.node.pools.by_host["c0"].connections)).conn.sock)
    return scene


def is_broken(left="2.0"):
    """The cache has reset a connection that had rested; the next is asked on another that rests."""
    scene = Scene(0)
    net = scene.net
    scene.ask("second", left)
    net.turn()
    _, breaks = net.next_host_request()
    net.connect_client(request_text("k1", id="other"))
    net.turn()
    _, rests = net.next_host_request()
    net.answer_from_host(rests)
    near = net.node_socket_of(breaks)
    net.reset_host(breaks)
    wait_until_readable(near)
    return scene


def is_released(left="2.0"):
    """Requests wait for the cache to have room, and it has answered all that it was sent."""
    scene = Scene(0)
    net = scene.net
    for i in range(WAITING):
        scene.clients.append(net.connect_client(request_text(f"w{i}", left=left)))
    net.turn(8)
    assert 0 < len(scene.begun()) < WAITING
    for port, far in net.dialled:
        if port == CACHE_PORT:
            net.send_host_answer(far)
            wait_until_readable(net.node_socket_of(far))
    return scene


def is_late(left="2.0"):
    """The cache is silent; the timer by which the origin is asked in its place is due."""
    scene = Scene(ORIGIN)
    scene.ask("second", left)
    scene.net.turn()
    scene.net.now += LATE_US
    return scene


SCENES = [
    pytest.param(scene, moment, id=f"{scene.__name__}, {moment}")
    for scene, moments in (
        (is_read, BEFORE_SENT),
        (comes_up, BEFORE_OPENED),
        (is_missed, (*BEFORE_OPENED, BEFORE_WRITE)),
        (is_broken, (*BEFORE_OPENED, BEFORE_WRITE)),
        (is_released, (*BEFORE_OPENED, BEFORE_WRITE)),
        (is_late, (SELECTOR_ANSWERED, BEFORE_CALLBACKS, BEFORE_TIMERS, BEFORE_WRITE)),
    )
    for moment in moments
]


@pytest.mark.parametrize(("make_scene", "moment"), SCENES)
def test_an_attempt_begins_where_it_is_expected_if_nothing_comes_meanwhile(
    make_scene, moment, monkeypatch
):
    # The tests below would prove nothing where the attempt went elsewhere all along.
    scene = make_scene()
    scene.run_stalled_turn(monkeypatch, moment)
    assert scene.begun()


@pytest.mark.parametrize("health", ["Terminating", "Gone"])
@pytest.mark.parametrize(("make_scene", "moment"), SCENES)
def test_a_host_that_drains_while_the_turn_is_stalled_is_sent_nothing(
    make_scene, moment, health, monkeypatch
):
    # A soak's balancer that had been stopped sent to a host that it had been told was draining.
    scene = make_scene()
    entry = scene.net.host_entry(scene.number, health)
    scene.run_stalled_turn(monkeypatch, moment, lambda net: bring_changes(net, entry))
    assert scene.begun() == []


@pytest.mark.parametrize(
    ("make_scene", "moment"),
    [(is_read, BEFORE_WRITE), (comes_up, BEFORE_CALLBACKS)],
)
def test_a_host_that_drains_in_a_second_stall_is_sent_nothing(make_scene, moment, monkeypatch):
    # What waited for the next turn was sent in that one, though it was held up too.
    scene = make_scene()
    entry = scene.net.host_entry(scene.number, "Terminating")
    scene.run_two_stalled_turns(monkeypatch, moment, lambda net: bring_changes(net, entry))
    assert scene.begun() == []


@pytest.mark.parametrize("moment", BEFORE_SENT)
def test_a_drain_at_the_end_of_a_long_list_is_heeded(moment, monkeypatch):
    # One read held only part of the list, and the request went out before the rest was read.
    scene = is_read()
    known = scene.net.host_entry(ORIGIN)
    drains = scene.net.host_entry(0, "Terminating")
    entries = [known] * (2 * READ_BUFFER_BYTES // len(str(known))) + [drains]
    scene.run_stalled_turn(monkeypatch, moment, lambda net: bring_changes(net, *entries))
    assert scene.begun() == []


@pytest.mark.parametrize(("make_scene", "moment"), SCENES)
def test_a_host_is_told_no_more_than_is_left_once_the_turn_goes_on(make_scene, moment, monkeypatch):
    # A host was told more than was left to its client, by as long as the turn was held up.
    scene = make_scene("2.0")
    scene.run_stalled_turn(monkeypatch, moment)
    told = [sent_timeout_us(text) for text in scene.begun()]
    assert told
    waited_us = scene.net.now - scene.asked_at_us
    assert waited_us >= STALL_US
    assert max(told) <= 2_000_000 - waited_us + SLACK_US


@pytest.mark.parametrize("left", ["2.000", "0.250"])
@pytest.mark.parametrize("moment", BEFORE_SENT)
def test_the_host_of_a_body_that_flows_is_told_all_the_time_that_its_client_gives(
    moment, left, monkeypatch
):
    # The hold-up was taken off, though the client's time had not begun: up to nothing was left.
    scene = Scene(ORIGIN)
    head = (
        "PUT /mark/k1 HTTP/1.1\r\nRequest-Id: flows\r\nIdempotency-Key: flows\r\n"
        f"Request-Timeout: {left}\r\nContent-Length: {4 * MAX_BUFFERED_BODY_BYTES}\r\n\r\n"
    )
    scene.net.send_more(scene.client, head.encode() + bytes(MAX_BUFFERED_BODY_BYTES))
    scene.run_stalled_turn(monkeypatch, moment)
    assert f"Request-Timeout: {left}" in scene.begun_writes()


@pytest.mark.parametrize(("make_scene", "moment"), SCENES)
def test_no_attempt_begins_whose_time_was_up_before_the_turn_went_on(
    make_scene, moment, monkeypatch
):
    # The clock of the turn said that there was time left.
    scene = make_scene("0.750" if make_scene is is_late else "0.250")
    scene.run_stalled_turn(monkeypatch, moment)
    assert scene.begun() == []


@pytest.mark.parametrize(("make_scene", "moment"), SCENES)
def test_no_attempt_begins_for_a_client_that_left_while_the_turn_was_stalled(
    make_scene, moment, monkeypatch
):
    # The turn knows nothing of the client's end, which the kernel has.
    scene = make_scene()
    scene.run_stalled_turn(monkeypatch, moment, scene.departure_of_clients())
    assert scene.begun() == []
