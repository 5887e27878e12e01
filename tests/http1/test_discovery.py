"""Changes of the host list arrive in time, whichever discovery calls fail, hang or are malformed."""

import contextlib
import itertools

import orjson
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from loopback_harness import LoopbackHarness, received_text, request_text

from orchidgap.http1.discovery import (
    MAX_BACKOFF_US,
    MAX_RESPONSE_US,
    MAX_RETRY_GAP_US,
    MIN_WATCH_US,
    RESPONSE_GRACE_US,
    WATCH_TIMEOUT_MS,
)
from orchidgap.net.endpoints import decode_list
from orchidgap.net.node import FIRST_LIST_TIMEOUT_US

LIST_DEADLINE_US = 6_000_000  # counted from when discovery has a change and is reachable
SHORTEST_DRAIN_GRACE_US = 250_000  # the shortest drain grace of any deployment
STEP_US = 10_000


class DiscoveryAgent:
    """A discovery agent that follows the protocol, except for calls with another outcome."""

    def __init__(self, net, outcomes=()):
        self.net, self.outcomes = net, iter(outcomes)
        self.seq, self.changed_us, self.applied_us = 7, None, None
        # `drops_calls`: calls that arrive while it is down are never answered
        self.down = self.drops_calls = False
        self.calls, self.open_calls = [], []  # calls: time, longest wait for a change, outcome

    def process_calls(self):
        """Reads new calls, and answers the open ones whose answer is due."""
        for sock in [sock for port, sock in self.net.dialled if port == 8500]:
            if sock.fileno() >= 0 and (text := received_text(sock)):
                self.on_call(sock, text)
        for call in list(self.open_calls):
            sock, after, until, outcome = call
            if (
                outcome == "answer"
                and (after is None or after < self.seq or self.net.now >= until)
                and not self.down
            ):
                self.open_calls.remove(call)
                self.send_list(sock, after)

    def on_call(self, sock, text):
        path = text.split()[1]
        query = (
            dict(pair.split("=") for pair in path.partition("?")[2].split("&"))
            if "?" in path
            else {}
        )
        wait = int(query.get("wait_ms", 0)) * 1000
        outcome = (
            next(self.outcomes, "answer")
            if not self.down
            else "silent"
            if self.drops_calls
            else "answer"
        )
        self.calls.append((self.net.now, wait, outcome))
        if outcome == "reset":
            self.net.close_socket(sock)
        elif outcome == "malformed":
            self.send(sock, b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n{"seq": 9')
        elif outcome == "incomplete":
            self.send(sock, b'HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n{"seq"')
        elif outcome != "silent":
            self.open_calls.append(
                (sock, int(query["after"]) if query else None, self.net.now + wait, outcome)
            )

    def send_list(self, sock, after):
        whole = after is None or after > self.seq or self.seq - after > 5
        hosts = [
            self.net.host_entry(0, "Terminating" if self.changed_us else "Ready"),
            self.net.host_entry(1),
            self.net.host_entry(9),
        ]
        content = {
            "seq": self.seq,
            "whole": whole,
            "hosts": hosts if whole or after < self.seq else [],
        }
        body = orjson.dumps(content, option=orjson.OPT_INDENT_2)
        self.send(sock, b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)

    @staticmethod
    def send(sock, text):
        with contextlib.suppress(OSError):
            sock.sendall(text)

    def change_list(self):
        self.seq, self.changed_us = self.seq + 1, self.net.now

    def run(self, duration_us):
        end = self.net.now + duration_us
        while self.net.now < end:
            self.net.advance(min(STEP_US, end - self.net.now))
            self.process_calls()
            self.net.turn(2)
            if (
                self.changed_us
                and self.applied_us is None
                and self.net.node.balancer.hosts["c0"].state == "draining"
            ):
                self.applied_us = self.net.now


class DiscoveryHarness(LoopbackHarness):
    def close_socket(self, sock):
        sock.close()


def test_timeouts_add_up_to_less_than_the_list_deadline():
    unanswered_watch_us = WATCH_TIMEOUT_MS * 1000 + RESPONSE_GRACE_US
    assert unanswered_watch_us + MAX_BACKOFF_US // 8 + RESPONSE_GRACE_US < LIST_DEADLINE_US, (
        "a watch without response, and one lost call after it"
    )
    assert (
        RESPONSE_GRACE_US + MAX_BACKOFF_US + 2 * RESPONSE_GRACE_US + MAX_BACKOFF_US
        < LIST_DEADLINE_US
    ), "two lost calls after the agent's return, with the longest waits"
    assert (
        2 * (2 * RESPONSE_GRACE_US + MAX_RETRY_GAP_US) < LIST_DEADLINE_US
        and MAX_RETRY_GAP_US < SHORTEST_DRAIN_GRACE_US
    ), "two calls without response, and no gap between calls as long as the drain grace"
    assert MIN_WATCH_US < 200_000


FAILURES = ("silent", "reset", "malformed", "incomplete")


@pytest.mark.parametrize("first", FAILURES)
@pytest.mark.parametrize("second", ("answer", *FAILURES))
def test_change_after_a_failed_watch_arrives_in_time_though_the_next_call_fails(first, second):
    net = DiscoveryHarness(2)
    agent = DiscoveryAgent(
        net, ["answer", first, second]
    )  # the list, the first watch, the call after it
    agent.run(200_000)
    assert agent.calls[1][1] == WATCH_TIMEOUT_MS * 1000
    agent.change_list()  # directly after the watch has failed
    agent.run(LIST_DEADLINE_US)
    assert agent.applied_us and agent.applied_us - agent.changed_us < LIST_DEADLINE_US, agent.calls


@given(
    st.integers(0, 9_000_000),
    st.integers(0, 7_000_000),
    st.lists(st.sampled_from(FAILURES), max_size=1),
)
@settings(max_examples=25, deadline=None)
def test_change_during_an_outage_arrives_in_time_after_it(down_us, running_us, outcomes):
    net = DiscoveryHarness(2)
    agent = DiscoveryAgent(net, ["answer"])
    agent.run(running_us)
    agent.down = agent.drops_calls = True
    agent.open_calls.clear()  # the waiting calls are not answered either
    agent.run(down_us)
    agent.outcomes = iter(outcomes)  # one more call may fail
    agent.down = False
    agent.change_list()
    agent.run(LIST_DEADLINE_US)
    assert agent.applied_us and agent.applied_us - agent.changed_us < LIST_DEADLINE_US, agent.calls
    for sock in [sock for _, sock in net.dialled]:
        sock.close()


def test_a_call_is_nearly_always_open_during_an_outage():
    net = DiscoveryHarness(2)
    agent = DiscoveryAgent(net, ["answer"])
    agent.run(100_000)
    agent.down, since, longest = True, net.now, 0
    for _ in range(60_000_000 // STEP_US):
        agent.run(STEP_US)
        since = net.now if net.node.discovery.call_pending else since
        longest = max(longest, net.now - since)
    assert (
        0 < longest <= MAX_RETRY_GAP_US + STEP_US < SHORTEST_DRAIN_GRACE_US
        and len(agent.calls) < 40
    ), "the agent is not called more often than necessary"
    agent.down = False  # the open call is answered now
    agent.change_list()
    agent.run(SHORTEST_DRAIN_GRACE_US)
    assert (
        agent.applied_us and agent.applied_us - agent.changed_us <= MAX_RETRY_GAP_US + 2 * STEP_US
    )


def test_failed_watch_is_followed_by_an_immediate_fetch_and_a_watch():
    net = DiscoveryHarness(2)
    agent = DiscoveryAgent(net, ["answer", "reset"])
    agent.run(400_000)
    assert [wait for _, wait, _ in agent.calls] == [
        0,
        WATCH_TIMEOUT_MS * 1000,
        0,
        WATCH_TIMEOUT_MS * 1000,
    ]
    gap = agent.calls[3][0] - agent.calls[2][0]
    assert gap <= 2 * STEP_US, "the next watch begins without delay"


def test_list_in_small_pieces_is_awaited_for_a_limited_time():
    net = DiscoveryHarness(2)
    sock = next(sock for port, sock in net.dialled if port == 8500)
    body = orjson.dumps({"seq": 8, "whole": True, "hosts": [net.host_entry(3), net.host_entry(9)]})
    text = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
    for piece in (text[:50], text[50:90], text[90:150]):
        sock.sendall(piece)
        net.turn()
        net.advance(RESPONSE_GRACE_US - STEP_US)
    sock.sendall(text[150:])
    net.turn()
    assert set(net.node.balancer.hosts) == {"c3", "o"} and "list lost" not in net.log.lines
    received_text(sock)
    began_us = net.now
    sock.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n")
    net.turn()
    for _ in range(8):
        assert "list lost" not in net.log.lines or net.now >= began_us + MAX_RESPONSE_US
        net.advance(RESPONSE_GRACE_US - STEP_US)
        with contextlib.suppress(OSError):
            sock.sendall(b" ")
        net.turn()
    assert "list lost" in net.log.lines


# --- a new process


def readiness_status(net):
    client = net.connect_client(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
    net.turn()
    return received_text(client).split()[1]


def test_new_process_serves_only_with_a_list_from_discovery():
    net = DiscoveryHarness(2, listed=False)
    assert readiness_status(net) == "503" and len(net.node.endpoints) == 3, (
        "the list in its configuration may be outdated"
    )
    agent = DiscoveryAgent(net)
    agent.changed_us, agent.seq = net.now, 8
    agent.process_calls()
    net.turn()
    assert readiness_status(net) == "200" and net.node.balancer.hosts["c0"].state == "draining"


def test_new_process_serves_with_its_configured_list_if_discovery_does_not_respond():
    net = DiscoveryHarness(2, listed=False)
    net.advance(FIRST_LIST_TIMEOUT_US - 1)
    assert readiness_status(net) == "503"
    net.advance(1)
    assert readiness_status(net) == "200"


@pytest.mark.parametrize("outcome", FAILURES)
@pytest.mark.parametrize("health", ["Terminating", "Gone"])
def test_a_host_that_drains_in_the_configured_list_is_sent_nothing_during_an_outage(
    health, outcome
):
    # Guards against forgetting, at a start while discovery is down, which hosts drain.
    net = DiscoveryHarness(2, listed=False, start=False)
    hosts = [net.host_entry(0, health), net.host_entry(1), net.host_entry(9)]
    known = decode_list({"seq": 7, "whole": True, "hosts": hosts})
    net.node.config = net.node.config._replace(initial_endpoints=known)
    net.node.start()
    agent = DiscoveryAgent(net, itertools.repeat(outcome))
    for number in range(80):
        agent.run(100_000)
        net.connect_client(request_text(f"k{number}"))
        net.turn()
        text, far = net.next_host_request()
        assert text.startswith("GET")
        assert [port for port, each in net.dialled if each is far] == [101]
        net.answer_from_host(far)
    assert len(agent.calls) > 1
    agent.outcomes = iter(())
    agent.run(LIST_DEADLINE_US)
    assert net.node.balancer.hosts["c0"].state == "up", "discovery's list alone counts"


def test_new_process_without_a_list_does_not_serve():
    net = DiscoveryHarness(2, listed=False, start=False)
    net.node.config = net.node.config._replace(initial_endpoints=(0, True, [], []))
    net.node.start()
    net.advance(5 * FIRST_LIST_TIMEOUT_US)
    assert readiness_status(net) == "503"


@pytest.mark.parametrize("outcomes", [[], ["silent"], ["reset"], ["malformed"], ["incomplete"]])
def test_list_of_a_new_discovery_address_arrives_within_4_s(outcomes):
    net = DiscoveryHarness(2)
    agent = DiscoveryAgent(net, ["answer"])
    agent.run(700_000)
    agent.outcomes = iter(outcomes)
    agent.seq, agent.changed_us = (
        3,
        net.now,
    )  # the new agent's versions start lower; one host drains
    net.node.discovery.set_address(("127.0.0.1", 8501))
    for _ in range(400):
        net.advance(STEP_US)
        net.dialled = [(8500 if port == 8501 else port, sock) for port, sock in net.dialled]
        agent.process_calls()
        net.turn(2)
    assert net.node.balancer.hosts["c0"].state == "draining", agent.calls
    assert agent.calls[-1][1] == WATCH_TIMEOUT_MS * 1000, "the new agent's list is watched"
