"""Watches: whatever call falls silent, is reset, refused or spoilt, a change is here in time."""

import contextlib

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback_harness import LoopbackHarness, received_text

from orchidgap.http1.discovery import (
    MAX_BACKOFF_US,
    MAX_RESPONSE_US,
    MAX_RETRY_GAP_US,
    MIN_WATCH_US,
    RESPONSE_GRACE_US,
    WATCH_TIMEOUT_MS,
)
from orchidgap.net.node import FIRST_LIST_TIMEOUT_US

TOLD = 6_000_000  # after discovery had it and could be reached, it counts as told
DRAIN = 250_000  # the shortest grace that any deployment gives
STEP = 10_000


class Agent:
    """Answers as the protocol page says, but for calls with which something else happens."""

    def __init__(self, net, fates=()):
        self.net, self.fates = net, iter(fates)
        self.seq, self.change, self.told = 7, None, None
        self.down = self.forgets = (
            False  # whether calls that come while it is down are ever answered
        )
        self.calls, self.open = [], []  # calls: when, how long they may wait, what became of them

    def look(self):
        """All calls that have come; those that wait and have something to hear now."""
        for far in [far for port, far in self.net.dialled if port == 8500]:
            if far.fileno() >= 0 and (text := received_text(far)):
                self.hear(far, text)
        for call in list(self.open):
            far, after, until, fate = call
            if (
                fate == "answer"
                and (after is None or after < self.seq or self.net.now >= until)
                and not self.down
            ):
                self.open.remove(call)
                self.say(far, after)

    def hear(self, far, text):
        path = text.split()[1]
        asked = (
            dict(pair.split("=") for pair in path.partition("?")[2].split("&"))
            if "?" in path
            else {}
        )
        wait = int(asked.get("wait_ms", 0)) * 1000
        fate = (
            next(self.fates, "answer") if not self.down else "silent" if self.forgets else "answer"
        )
        self.calls.append((self.net.now, wait, fate))
        if fate == "reset":
            self.net.kill(far)
        elif fate == "spoilt":
            self.send(far, b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"seq": 9')
        elif fate == "half":
            self.send(far, b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"seq"')
        elif fate != "silent":
            self.open.append(
                (far, int(asked["after"]) if asked else None, self.net.now + wait, fate)
            )

    def say(self, far, after):
        whole = after is None or after > self.seq or self.seq - after > 5
        hosts = [
            self.net.host_entry(0, "Terminating" if self.change else "Ready"),
            self.net.host_entry(1),
            self.net.host_entry(9),
        ]
        told = {
            "seq": self.seq,
            "whole": whole,
            "hosts": hosts if whole or after < self.seq else [],
        }
        body = orjson.dumps(told, option=orjson.OPT_INDENT_2)
        self.send(far, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    @staticmethod
    def send(far, text):
        with contextlib.suppress(OSError):
            far.sendall(text)

    def changes(self):
        self.seq, self.change = self.seq + 1, self.net.now

    def run(self, micros):
        end = self.net.now + micros
        while self.net.now < end:
            self.net.advance(min(STEP, end - self.net.now))
            self.look()
            self.net.turn(2)
            if (
                self.change
                and self.told is None
                and self.net.node.balancer.hosts["c0"].state == "draining"
            ):
                self.told = self.net.now


class Watched(LoopbackHarness):
    def kill(self, far):
        far.close()


def test_the_sums_fit_within_what_counts_as_told():
    silent_watch = WATCH_TIMEOUT_MS * 1000 + RESPONSE_GRACE_US
    assert silent_watch + MAX_BACKOFF_US // 8 + RESPONSE_GRACE_US < TOLD, (
        "a silent watch, and one lost call behind it"
    )
    assert RESPONSE_GRACE_US + MAX_BACKOFF_US + 2 * RESPONSE_GRACE_US + MAX_BACKOFF_US < TOLD, (
        "two lost calls after a return, with the longest waits"
    )
    assert 2 * (2 * RESPONSE_GRACE_US + MAX_RETRY_GAP_US) < TOLD and MAX_RETRY_GAP_US < DRAIN, (
        "two silent ones, and none leaves a gap that counts"
    )
    assert MIN_WATCH_US < 200_000


FATES = ("silent", "reset", "spoilt", "half")


@pytest.mark.parametrize("first", FATES)
@pytest.mark.parametrize("second", ("answer", *FATES))
def test_a_change_after_a_watch_has_failed_is_here_in_time_though_the_next_call_fails_too(
    first, second
):
    net = Watched(2)
    agent = Agent(net, ["answer", first, second])  # the list, the first watch, what follows it
    agent.run(200_000)
    assert agent.calls[1][1] == WATCH_TIMEOUT_MS * 1000
    agent.changes()  # right after the watch has gone wrong
    agent.run(TOLD)
    assert agent.told and agent.told - agent.change < TOLD, agent.calls


@given(
    st.integers(0, 9_000_000),
    st.integers(0, 7_000_000),
    st.lists(st.sampled_from(FATES), max_size=1),
)
@settings(max_examples=25, deadline=None)
def test_what_discovery_has_when_it_is_back_is_here_in_time(down_for, before, fates):
    net = Watched(2)
    agent = Agent(net, ["answer"])
    agent.run(before)
    agent.down = agent.forgets = True
    agent.open.clear()  # nor are those that wait
    agent.run(down_for)
    agent.fates = iter(fates)  # and one more call is lost
    agent.down = False
    agent.changes()
    agent.run(TOLD)
    assert agent.told and agent.told - agent.change < TOLD, agent.calls
    for far in [far for _, far in net.dialled]:
        far.close()


def test_while_discovery_is_silent_a_call_is_open_nearly_always_so_its_return_is_heard_at_once():
    net = Watched(2)
    agent = Agent(net, ["answer"])
    agent.run(100_000)
    agent.down, since, longest = True, net.now, 0
    for _ in range(60_000_000 // STEP):
        agent.run(STEP)
        since = net.now if net.node.discovery.call_pending else since
        longest = max(longest, net.now - since)
    assert 0 < longest <= MAX_RETRY_GAP_US + STEP < DRAIN and len(agent.calls) < 40, (
        "nor is it asked again and again"
    )
    agent.down = False  # the call that is open is answered now
    agent.changes()
    agent.run(DRAIN)
    assert agent.told and agent.told - agent.change <= MAX_RETRY_GAP_US + 2 * STEP


def test_after_a_failed_call_what_was_missed_is_asked_for_at_once_and_then_watched():
    net = Watched(2)
    agent = Agent(net, ["answer", "reset"])
    agent.run(400_000)
    assert [wait for _, wait, _ in agent.calls] == [
        0,
        WATCH_TIMEOUT_MS * 1000,
        0,
        WATCH_TIMEOUT_MS * 1000,
    ]
    gap = agent.calls[3][0] - agent.calls[2][0]
    assert gap <= 2 * STEP, "no watch stays closed for longer than it has to"


def test_a_list_in_small_pieces_is_waited_for_but_not_for_ever():
    net = Watched(2)
    far = next(far for port, far in net.dialled if port == 8500)
    body = orjson.dumps({"seq": 8, "whole": True, "hosts": [net.host_entry(3), net.host_entry(9)]})
    text = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    for piece in (text[:50], text[50:90], text[90:150]):
        far.sendall(piece)
        net.turn()
        net.advance(RESPONSE_GRACE_US - STEP)
    far.sendall(text[150:])
    net.turn()
    assert set(net.node.balancer.hosts) == {"c3", "o"} and "list lost" not in net.log.lines
    received_text(far)
    begun = net.now
    far.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n")
    net.turn()
    for _ in range(8):
        assert "list lost" not in net.log.lines or net.now >= begun + MAX_RESPONSE_US
        net.advance(RESPONSE_GRACE_US - STEP)
        with contextlib.suppress(OSError):
            far.sendall(b" ")
        net.turn()
    assert "list lost" in net.log.lines


# --- a new process


def up(net):
    client = net.connect_client(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
    net.turn()
    return received_text(client).split()[1]


def test_a_new_process_serves_only_with_the_list_that_counts_as_told_to_it():
    net = Watched(2, listed=False)
    assert up(net) == "503" and len(net.node.endpoints) == 3, "what it was started with may be old"
    agent = Agent(net)
    agent.change, agent.seq = net.now, 8
    agent.look()
    net.turn()
    assert up(net) == "200" and net.node.balancer.hosts["c0"].state == "draining"


def test_a_new_process_serves_by_the_list_it_was_started_with_where_discovery_is_silent():
    net = Watched(2, listed=False)
    net.advance(FIRST_LIST_TIMEOUT_US - 1)
    assert up(net) == "503"
    net.advance(1)
    assert up(net) == "200"


def test_a_new_process_without_any_list_does_not_serve():
    net = Watched(2, listed=False, start=False)
    net.node.config = net.node.config._replace(initial_endpoints=(0, True, [], []))
    net.node.start()
    net.advance(5 * FIRST_LIST_TIMEOUT_US)
    assert up(net) == "503"


@pytest.mark.parametrize("fates", [[], ["silent"], ["reset"], ["spoilt"], ["half"]])
def test_after_sighup_has_moved_discovery_its_list_is_here_within_4_s(fates):
    net = Watched(2)
    agent = Agent(net, ["answer"])
    agent.run(700_000)
    agent.fates = iter(fates)
    agent.seq, agent.change = 3, net.now  # it counts anew there, and one of its hosts drains
    net.node.discovery.move(("127.0.0.1", 8501))
    for _ in range(400):
        net.advance(STEP)
        net.dialled = [(8500 if port == 8501 else port, far) for port, far in net.dialled]
        agent.look()
        net.turn(2)
    assert net.node.balancer.hosts["c0"].state == "draining", agent.calls
    assert agent.calls[-1][1] == WATCH_TIMEOUT_MS * 1000, "and is watched"
