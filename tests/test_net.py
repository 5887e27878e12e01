import contextlib
import copy
import errno
import os
import signal
import socket
import subprocess
import sys
from functools import partial

import orjson
import pytest
from balancer_harness import SETTINGS
from node_harness import NodeHarness, heard

from orchidgap.decisions.settings import ServiceSettings
from orchidgap.decisions.shadow import ShadowBalancer
from orchidgap.net import config
from orchidgap.net.connection import AttemptFailure, SendProgress
from orchidgap.net.endpoints import decode_list
from orchidgap.net.event_log import EventLog
from orchidgap.net.loop import READ
from orchidgap.net.server import handle_signals, reload_config
from orchidgap.net.upstream_attempt import UpstreamAttempt

LIST = "/discovery/hosts"


WAITS = {"ceilings__may-cancel": "false"}  # a req waits for its host as long as its client does


def test_a_req_from_end_to_end():
    net = NodeHarness()
    client = net.ask("7f3", method="PUT", rule_set="mark", body="value")
    origin = net.far()
    assert heard(origin) == (
        "PUT /mark/7f3?q=1 HTTP/1.1\r\nHost: cache\r\nRequest-Id: r-7f3\r\nIdempotency-Key: m1\r\n"
        "Content-Length: 5\r\nRequest-Timeout: 1.980\r\n\r\nvalue"
    )
    net.says(origin, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nst")
    assert heard(client) is None, "not a byte before the body is whole"
    net.says(origin, "ok")
    assert heard(client) == "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nstok"
    assert not net.node.exchanges and not net.node.balancer.requests


def test_a_miss_goes_on_to_the_origin_and_links_are_used_again():
    net = NodeHarness(1)
    for _ in range(3):
        client = net.ask("k")
        net.answers(net.far(0), 404)
        net.answers(net.far(1), body="from origin")
        assert heard(client).endswith("\r\n\r\nfrom origin")
    assert [port for port, _ in net.dialled] == [8500, 100, 109], "each was dialled once"


def test_what_a_host_tells_of_its_load_reaches_the_decisions():
    net = NodeHarness(3, report__how="inline", report__fields="concurrent,tps")
    for key in ("k1", "k2", "k3", "k4", "k5", "k6"):
        net.ask(key)
        for far in net.fars():
            if heard(far):
                net.answers(far, more="Server-Load: concurrent=7,tps=2.5,else=1\r\n")
    told = [host for host in net.node.balancer.hosts.values() if host.reported_request_rate >= 0]
    assert told and {(host.reported_request_rate, host.reported_in_flight) for host in told} == {
        (2.5, 7.0)
    }
    net.ask("k7")
    for far in net.fars():
        if heard(far):
            net.answers(far, more="Server-Load: concurrent=all of it,tps\r\n")
    assert {host.reported_in_flight for host in told} == {7.0} and not net.node.exchanges


def test_a_late_read_is_called_off_for_the_origin_and_both_ends_see_it():
    net = NodeHarness(3)
    client = net.ask()
    late = net.far()
    assert heard(late).startswith("GET /read/k1")
    net.wait(600_000)
    assert heard(late) == "", "its connection is closed: it is told so"
    assert net.dialled[-1][0] == 109 and heard(net.far()).startswith("GET /read/k1"), (
        "the origin's port"
    )
    net.answers(net.far())
    assert (
        "200" in heard(client) and net.verdicts == ["cancelled", "done"] and not net.node.exchanges
    )


def test_a_late_read_whose_connection_never_came_up_is_sent_on_as_well():
    net = NodeHarness(3)
    client = net.ask()
    attempt = next(iter(net.node.exchanges.values())).attempts[0]
    attempt.carrier.conn.bytes_written = attempt.carrier.start  # as if nothing had been written yet
    net.wait(600_000)
    assert net.verdicts[0] == "moot" and net.dialled[-1][0] == 109
    net.answers(net.far())
    assert "200" in heard(client)


def test_a_watch_decides_as_before_and_tells_what_it_counted():
    new = ServiceSettings.from_pairs(
        SETTINGS | {"report.how": "inline", "report.fields": "concurrent"}
    )
    net = NodeHarness(3, decider=partial(ShadowBalancer, new), **WAITS)
    assert NodeHarness().node.shadow_report() == (False, "nothing is watched")
    client = net.ask()
    net.wait(600_000)
    assert len(net.fars()) == 1, "nothing can be called off"
    net.answers(net.far(), more="Server-Load: concurrent=7\r\n")
    assert "200" in heard(client)
    done, words = net.node.shadow_report()
    assert done and words == (
        "1 dispatches, owner 0, copy 0, repeat 0, call-off 1, answer 0, pause 0, limit 0"
    )


def test_a_very_long_key_is_a_key():
    net = NodeHarness(1)
    client = net.ask("k" * 9_000)
    assert "/read/" + "k" * 9_000 in heard(net.far())
    net.answers(net.far())
    assert heard(client).startswith("HTTP/1.1 200")


@pytest.mark.parametrize(
    ("size", "status"), [(65_536, 200), (400_000, 200), (5 << 20, 200), (50 << 20, 503)]
)
def test_large_values_come_through_and_endless_ones_do_not(size, status):
    net = NodeHarness(1)
    client = net.ask("k")
    far, said = net.far(), bytearray()
    rest = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size + b"v" * min(size, 6 << 20)
    for _ in range(1_000):
        with contextlib.suppress(OSError):
            rest = rest[far.send(rest[:50_000]) :] if rest else rest
        net.turn(1)
        said += drawn(client)
    head, _, body = bytes(said).partition(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 %d" % status) and body == (
        b"v" * size if status == 200 else b""
    )


def drawn(far):
    """What has come to this end, as bytes."""
    try:
        return far.recv(1 << 17)
    except OSError:
        return b""


def test_an_answer_that_the_client_reads_slowly_still_comes_whole():
    net = NodeHarness(1)
    client = net.ask("k")
    for one in net.node.clients.open_clients:
        one.conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    net.answers(net.far(), body="v" * 60_000)
    assert not net.node.clients.close_unneeded(), "it is not idle before that was read"
    net.node.begin_shutdown()
    net.wait(401_000)
    parts = []
    while part := heard(client):
        parts.append(part)
        net.turn(1)
    assert len(parts) > 1 and "".join(parts).endswith("\r\n\r\n" + "v" * 60_000) and part == ""


def test_a_client_that_does_not_read_is_let_go():
    net = NodeHarness(1)
    net.ask("k")
    for one in net.node.clients.open_clients:
        one.conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    net.answers(net.far(), body="v" * 60_000)
    net.wait(9_900_000)
    assert net.node.clients.open_clients
    net.wait(200_000)
    assert not net.node.clients.open_clients


@pytest.mark.parametrize(
    ("does", "verdict"),
    [
        (lambda net, far: far.close(), "reset"),
        (
            lambda net, far: (
                far.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf"),
                far.close(),
            ),
            "reset",
        ),
        (lambda net, far: (far.sendall(b"HTTP/1.1 200 OK\r\n\r\nno length"), far.close()), "reset"),
        (lambda net, far: far.sendall(b"\x00\x01 what"), "reset"),
        (
            lambda net, far: far.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n"),
            "reset",
        ),
        (lambda net, far: far.sendall(b"HTTP/1.1 200 OK\r\nX: " + b"x" * 17_000), "reset"),
        (
            lambda net, far: far.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nvHTTP/1.1 200"
            ),
            "done",
        ),
        (
            lambda net, far: far.sendall(
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nv\r\n0\r\n\r\n"
            ),
            "done",
        ),
        (
            lambda net, far: far.sendall(
                b"HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
            ),
            "full",
        ),
        (lambda net, far: far.sendall(b"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"), "error"),
        (lambda net, far: far.sendall(b"HTTP/1.1 302 No\r\nContent-Length: 0\r\n\r\n"), "error"),
        (lambda net, far: net.wait(2_000_000), "timeout"),
    ],
)
def test_what_a_host_does_is_told_as_it_is(does, verdict):
    net = NodeHarness(3, **WAITS)
    net.ask()
    does(net, net.far())
    net.turn()
    assert net.verdicts == [verdict]


def test_hosts_that_refuse_or_never_answer_a_connection():
    net = NodeHarness(1)
    net.refused.add(100)
    client = net.ask()
    assert net.verdicts == ["unconnected"] and "503" in heard(client)
    net = NodeHarness(1)
    near, _far = full_pair()
    net.node.pools.dial_address = lambda address: near
    client = net.ask()
    net.wait(99_000)
    assert net.verdicts == [] and heard(client) is None
    net.wait(2_000)
    assert net.verdicts == ["unconnected"] and "503" in heard(client)


def test_an_extra_byte_costs_the_link_and_not_the_answer():
    net = NodeHarness(1)
    for number, more in ((0, "HTTP/1.1"), (1, "")):
        client = net.ask()
        net.says(net.far(number), "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv" + more)
        assert heard(client).endswith("v") and len(net.dialled) == 2 + number
    net.says(net.far(), "more, unasked")
    assert not net.node.pools.by_host["c0"].idle


def test_a_client_that_hangs_up_ends_its_dispatch():
    net = NodeHarness()
    client = net.ask()
    assert heard(net.far()).startswith("GET")
    client.close()
    net.turn()
    assert heard(net.far()) == "" and net.verdicts == ["cancelled"] and not net.node.exchanges


def test_an_answer_goes_out_before_the_client_timeout_and_nothing_after():
    net = NodeHarness()
    client = net.ask(left="0.5")
    net.wait(479_000)
    assert heard(client) is None
    net.wait(2_000)
    assert heard(client).startswith("HTTP/1.1 503") and net.verdicts == ["timeout"]
    net.wait(5_000_000)
    assert heard(client) is None


def test_time_that_the_loop_was_held_up_is_taken_off():
    net = NodeHarness()
    client = net.client()
    client.sendall(b"GET /read/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 0.5\r\n\r\n")
    net.now += 300_000  # the req may have come at the start of this
    net.turn()
    net.wait(181_000)
    assert (heard(client) or "").startswith("HTTP/1.1 503")


def test_a_fault_in_the_decisions_still_brings_an_answer():
    net = NodeHarness(expects=(ZeroDivisionError,))
    net.node.balancer.on_request = lambda *_: 1 / 0
    assert heard(net.ask()).startswith("HTTP/1.1 500") and net.log.lines == [
        "serving",
        "ZeroDivisionError",
    ]
    net = NodeHarness()
    net.node.balancer.on_request = lambda *_: None  # forgets it
    client = net.ask()
    net.wait(2_000_000)
    assert heard(client).startswith("HTTP/1.1 500") and "unanswered" in net.log.lines


REQ = b"GET /read/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\n"


@pytest.mark.parametrize(
    ("text", "status"),
    [
        (b"\x16\x03\x01 nonsense\r\n\r\n", 400),
        (b"GET /read/k HTTP/1.1\r\nno colon\r\n\r\n", 400),
        (b"GET  HTTP/1.1\r\n\r\n", 400),
        (b"POST /read/k HTTP/1.1\r\nContent-Length: 0\r\n\r\n", 405),
        (b"GET /nosuch/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\n\r\n", 404),
        (b"GET / HTTP/1.1\r\n\r\n", 404),
        (b"GET //[ HTTP/1.1\r\n\r\n", 404),
        (b"GET http://[/ HTTP/1.1\r\n\r\n", 400),
        (REQ + b"Request-Class: nosuch\r\n\r\n", 404),
        (b"GET /read/k HTTP/1.1\r\nRequest-Id: 1\r\n\r\n", 400),
        (REQ + b"Request-Timeout: nan\r\n\r\n", 400),
        (b"GET /read/k HTTP/1.1\r\nRequest-Timeout: 1\r\n\r\n", 400),
        (REQ + b"Content-Length: 50000000\r\n\r\n", 413),
        (REQ + b"X: " + b"x" * 20_000, 431),
        (REQ + b"Transfer-Encoding: chunked\r\n\r\n" + b"g\r\n", 400),
        (
            REQ
            + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
            + REQ
            + b"\r\n",
            400,
        ),
        (REQ + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
        (REQ + b"Content-Length: -1\r\n\r\n", 400),
        (REQ + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\nab", 400),
        (REQ + b"Request-Id: 2\r\n\r\n", 400),
        (REQ + b"Content-Length: 99999999999999999999\r\n\r\n", 400),
        (REQ.replace(b"1.1", b"2.0") + b"\r\n", 505),
        (REQ.replace(b"Timeout: 1", b"Timeout: 0") + b"\r\n", 400),
        (REQ.replace(b"Timeout: 1", b"Timeout: 1_0") + b"\r\n", 400),
        (REQ.replace(b"Timeout: 1", b"Timeout: -1") + b"\r\n", 400),
        (REQ + b"Content-Length: 60000000\r\n\r\n", 413),
        (REQ + b"Connection: upgrade\r\nUpgrade: x\r\n\r\n", 400),
        (b"CONNECT h:1 HTTP/1.1\r\n\r\n", 400),
    ],
)
def test_a_bad_req_gets_a_plain_answer_and_the_door(text, status):
    net = NodeHarness()
    client = net.client()
    for i in range(0, len(text), 4096):
        try:
            client.sendall(text[i : i + 4096])
        except OSError:
            break
        net.turn()
    assert heard(client) == (
        f"HTTP/1.1 {status} {start_line(status)}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
    )
    with contextlib.suppress(OSError):
        net.says(client, REQ + b"\r\n")  # comes too late
    assert net.node.clients.open_clients, "closed on unread bytes, the answer would be lost"
    assert heard(client) == "" and not net.verdicts and not net.node.exchanges
    net.wait(1_100_000)
    assert not net.node.clients.open_clients, "it may stay no longer than it takes to read that"


def start_line(status):
    return {
        505: "HTTP Version Not Supported",
        400: "Bad Request",
        404: "Not Found",
        405: "Method Not Allowed",
        413: "Content Too Large",
        431: "Request Header Fields Too Large",
    }[status]


def test_within_three_seconds_a_req_is_whole_or_its_connection_is_let_go():
    net = NodeHarness()
    half, silent, late, served = (
        net.client(b"GET /read/k HT"),
        net.client(),
        net.client(),
        net.ask(),
    )
    net.answers(net.far())
    assert heard(served).startswith("HTTP/1.1 200")
    net.wait(2_000_000)
    net.says(late, "G")
    assert heard(half) is None and heard(silent) is None
    net.wait(900_000)
    assert (
        heard(half).startswith("HTTP/1.1 408")
        and heard(late).startswith("HTTP/1.1 408")
        and heard(silent) == ""
    )
    assert heard(served) is None and len(net.node.clients.open_clients) <= 3
    net.says(served, "GET /read")
    net.wait(2_000_000)
    assert heard(served) is None, "its time is anew"
    net.wait(900_000)
    assert heard(served).startswith("HTTP/1.1 408")


@pytest.mark.parametrize("text", [b"", b"PUT /mark/k HTTP/1.1\r\nContent-Length: 9\r\n\r\nhalf"])
def test_who_never_asks_makes_way_for_who_does(text):
    net = NodeHarness(1, sockets=64)
    served = net.ask("first")
    net.answers(net.far())
    heard(served)
    others = [net.client(text) for _ in range(7)]
    net.wait(600_000)
    clients = net.node.clients
    assert len(clients.open_clients) == clients.max_clients == 8
    for i in range(7):
        net.client(REQ.replace(b"Id: 1", b"Id: %d" % i) + b"\r\n")
    assert (
        [heard(far) for far in others] == [""] * 7
        and heard(served) is None
        and len(net.node.exchanges) == 7
    )


def test_a_client_whose_req_waits_to_be_read_does_not_make_way():
    net = NodeHarness(1, sockets=64)
    first, second = net.ask("k1"), net.ask("k2")
    net.serve()
    assert heard(first) and heard(second)
    first.sendall(REQ + b"\r\n")
    assert net.node.clients.close_unneeded() and heard(second) == "", (
        "the longest idle one has asked by now"
    )
    net.turn()
    net.serve()
    assert heard(first).startswith("HTTP/1.1 200")


def test_idle_connections_may_stay_up_to_half_of_the_most():
    net = NodeHarness(1, sockets=64)
    clients = [net.ask(f"k{i}") for i in range(7)]
    assert [heard(client) for client in clients] == [None] * 7, "those that have asked stay"
    net.serve()
    assert all(heard(client).startswith("HTTP/1.1 200") for client in clients)
    assert [heard(client) for client in clients] == [""] * 3 + [None] * 4
    net.wait(30_000_000)
    assert heard(clients[-1]) is None


def test_who_reads_a_last_answer_keeps_nobody_out():
    net = NodeHarness(1, sockets=64)
    listener = net.node.clients.listening_socket = Listener([])
    net.loop.watch(listener, READ, net.node.clients.accept)
    for text, begins in [(b"nonsense\r\n\r\n", "HTTP/1.1 400")] * 60 + [(REQ + b"\r\n", None)]:
        near, far = socket.socketpair()
        net.kept.append(far)  # it reads, and stays
        far.setblocking(False)
        far.sendall(text)
        listener.given.append(near)
        net.wait(10_000)
        assert (heard(far) or "")[:12] == (begins or "")
        assert len(net.node.clients.open_clients) <= net.node.clients.max_clients + 16
    assert len(net.node.exchanges) == 1


def test_an_id_that_is_open_here_is_not_taken_twice():
    net = NodeHarness(1)
    first, second = net.ask("k"), net.ask("k")
    assert heard(second).startswith("HTTP/1.1 409") and len(net.fars()) == 1
    net.answers(net.far())
    assert heard(first).startswith("HTTP/1.1 200") and not net.node.open_request_ids
    assert heard(net.ask("k")) is None, "it may come again once that is answered"


def test_a_req_that_a_host_calls_bad_is_not_sent_to_others():
    net = NodeHarness(3)
    client = net.ask("k")
    net.answers(net.far(), 400, "")
    assert (
        heard(client).startswith("HTTP/1.1 400")
        and net.verdicts == ["unfit"]
        and len(net.fars()) == 1
    )
    assert not net.node.exchanges and not net.node.balancer.requests


def test_trailers_without_end_are_cut():
    net = NodeHarness()
    client = net.client(REQ + b"Transfer-Encoding: chunked\r\n\r\n0\r\nX: ")
    for _ in range(600):
        try:
            client.sendall(b"x" * 4096)
        except OSError:
            break
        net.turn(1)
    assert heard(client).startswith("HTTP/1.1 413")


def test_a_client_that_waits_to_be_let_send_its_body_is():
    net = NodeHarness()
    client = net.client(
        b"PUT /mark/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\nContent-Length: 1\r\n"
        b"Expect: 100-continue\r\n\r\n"
    )
    assert heard(client) == "HTTP/1.1 100 Continue\r\n\r\n"
    net.says(client, "v")
    net.answers(net.far())
    assert heard(client).startswith("HTTP/1.1 200")


def test_reqs_sent_before_the_answer_are_answered_in_their_order():
    for split in (False, True):
        net = NodeHarness(1)
        texts = [
            REQ.replace(b"Id: 1", b"Id: %d" % i).replace(b"/k", b"/k%d" % i) + b"\r\n"
            for i in range(5)
        ]
        client = net.client(
            texts[0] + (b"" if split else b"".join(texts[1:]) + b"not HTTP at all\r\n\r\n")
        )
        for text in (*texts[1:], b"not HTTP at all\r\n\r\n") if split else ():
            net.says(client, text)
        for i in range(5):
            assert f"GET /read/k{i}" in heard(net.far()), "one at a time"
            assert heard(client) is None
            net.answers(net.far(), body=f"v{i}")
            said = heard(client)
            assert said.startswith("HTTP/1.1 200") and f"v{i}" in said
        assert said.split("HTTP/1.1 ")[-1].startswith("400") and heard(client) == ""


def test_ready_only_with_list_and_until_told_to_stop():
    net = NodeHarness()
    assert heard(net.client(b"GET /up HTTP/1.1\r\n\r\n")).startswith("HTTP/1.1 200")
    net.node.begin_shutdown()
    assert heard(net.client(b"GET /up HTTP/1.1\r\n\r\n")).startswith("HTTP/1.1 503")


def test_told_to_stop_it_answers_all_and_ends():
    net = NodeHarness()
    idle, busy = net.ask("k1"), net.ask("k2")
    net.answers(net.far(0))
    assert "close" not in heard(idle)
    net.node.begin_shutdown()
    net.wait(300_000)
    late = net.ask("k3")
    net.wait(101_000)
    assert heard(idle) == "" and net.loop.running
    idle.close()
    net.answers(net.far(1))
    assert "Connection: close" in heard(busy) and heard(busy) == ""
    net.wait(200_000)
    assert net.loop.running, "one is still owed its answer"
    net.answers(net.far(2))
    assert "Connection: close" in heard(late)
    busy.close()
    late.close()
    net.wait(50_000)
    assert not net.loop.running


def test_no_signal_no_stop():
    """The ringing end of the pair was once not kept, and its end read as a signal."""
    net, told = NodeHarness(), []
    net.node.begin_shutdown = lambda: told.append(1)
    with signals(net, None):
        net.turn()
        assert not told
        signal.raise_signal(signal.SIGTERM)
        net.turn()
        assert told


@contextlib.contextmanager
def signals(net, path):
    kept = {
        number: signal.getsignal(number)
        for number in (signal.SIGHUP, signal.SIGINT, signal.SIGTERM)
    }
    bell = handle_signals(net.loop, net.node, path)
    try:
        yield
    finally:
        signal.set_wakeup_fd(-1)
        for number, handler in kept.items():
            signal.signal(number, handler)
        bell.close()


def test_sighup_moves_the_watch_and_keeps_the_list_and_a_bad_file_changes_nothing(tmp_path):
    net, path = NodeHarness(1), tmp_path / "c"
    tells(net, 41, True, [net.entry(0), net.entry(9)])
    [link], before = idle_links(net, 1), listed(net)
    with signals(net, str(path)):
        for round, text in enumerate(
            (
                None,
                "{",
                orjson.dumps(GOOD | {"discovery": "127.0.0.1:8501"}).decode(),
                orjson.dumps(GOOD | {"discovery": "127.0.0.1:8502"}).decode(),
            )
        ):
            if text:
                path.write_text(text)
            net.refused.add(8502)
            signal.raise_signal(signal.SIGHUP)
            net.turn()
            assert net.log.lines[-1] == "terms kept" if round < 2 else "terms read" in net.log.lines
            assert net.loop.running and listed(net) == before and net.node.pools.by_host["c0"].idle
            assert [port for port, _ in net.dialled if port > 8000] == [8500, 8501][: max(1, round)]
            if round == 2:  # the versions of another agent mean nothing here
                assert heard(net.far()).startswith(f"GET {LIST} HTTP/1.1")
                net.answers(
                    net.far(),
                    body=orjson.dumps(
                        {"seq": 3, "whole": True, "hosts": [net.entry(0), net.entry(9)]}
                    ).decode(),
                )
                assert heard(net.far()).startswith(f"GET {LIST}?after=3&")
            elif round == 3:
                net.refused.clear()
                net.node.begin_shutdown()
                net.wait(110_000)
                assert net.dialled[-1][0] == 8502, "asked again soon, also while it ends"
    heard(link)
    assert heard(link) is None, "pools are as they were"


# --- drains


def test_a_drain_turns_nobody_away_and_lets_all_go():
    net = NodeHarness(**WAITS)
    idle, busy = net.ask("k1"), net.ask("k2")
    net.answers(net.far(0))
    assert "close" not in heard(idle)
    net.node.quiesce()
    asked, late = net.ask("k3"), net.ask("k4")
    net.wait(500_000)
    assert heard(idle) is None and net.node.clients.listening_socket is None
    net.serve()
    assert all(
        "Connection: close" in heard(client) and heard(client) == ""
        for client in (busy, asked, late)
    )
    net.says(idle, REQ + b"\r\n")
    net.serve()
    assert "200" in (text := heard(idle)) and "Connection: close" in text, (
        "a kept connection may be used once more"
    )
    for client in (idle, busy, asked, late):
        client.close()
    net.wait(600_000)
    assert (
        net.node.lifecycle.state.value == "drained"
        and net.loop.running
        and not net.node.clients.open_clients
    )


def test_connections_that_ask_nothing_are_closed_by_a_drain_and_reqs_are_not_cut_off():
    net = NodeHarness(**WAITS)
    silent, half, idle, busy = (
        net.client(),
        net.client(b"GET /read/k9 HTTP/1.1\r\n"),
        net.ask("k1"),
        net.ask("k2"),
    )
    net.answers(net.far(0))
    heard(idle)
    net.node.quiesce()
    net.wait(990_000)
    assert heard(idle) is None
    net.wait(20_000)
    assert heard(idle) == "" == heard(silent) and heard(half) is None is heard(busy)
    assert net.node.lifecycle.state.value == "draining"
    net.says(half, "Request-Id: 9\r\nRequest-Timeout: 1\r\n\r\n")
    net.serve()
    assert "200" in heard(half) and "200" in heard(busy)
    newcomer = net.client()  # let in, and kept for no longer than it takes to ask
    net.wait(200_000)
    assert heard(newcomer) is None
    net.wait(100_000)
    assert heard(newcomer) == ""
    half.close()
    busy.close()
    net.wait(100_000)
    assert net.node.lifecycle.state.value == "draining", "one has heard its end, and may yet read"
    idle.close()
    net.wait(10_000)
    assert net.node.lifecycle.state.value == "drained"


def test_after_a_resume_all_is_as_before():
    net = NodeHarness()
    net.node.quiesce()
    net.wait(2_000_000)
    net.node.resume()
    client = net.ask("k1")
    net.serve()
    assert "close" not in heard(client)
    net.wait(5_000_000)
    assert heard(client) is None
    client.sendall(REQ + b"\r\n")
    net.turn()
    net.serve()
    assert heard(client).startswith("HTTP/1.1 200")
    net.node.quiesce()
    net.node.resume()
    net.wait(5_000_000)
    assert heard(client) is None, "what the first drain had set up is off"
    net.node.begin_shutdown()
    net.wait(450_000)
    assert heard(client) == "" and net.loop.running
    client.close()
    net.wait(10_000)
    assert not net.loop.running


# --- new settings


def rules(*names, **more):
    return [
        {"name": name, "effect": "retryable", "client-timeout": 900_000} | more for name in names
    ]


@pytest.mark.parametrize(
    ("spoilt", "why"),
    [
        (b"", "is not JSON"),
        (b"{", "is not JSON"),
        (b"[]", "an object was expected"),
        (None, "No such file"),
        (lambda file: file.pop("settings"), "settings is missing"),
        (lambda file: file.pop("discovery"), "discovery is missing"),
        (lambda file: file["settings"].pop("rule-sets"), "settings.rule-sets is missing"),
        (lambda file: file["settings"].update({"rule-sets": []}), "rule-sets.count"),
        (
            lambda file: file["settings"]["rule-sets"][1].pop("effect"),
            "rule-sets.*.effect is missing",
        ),
        (lambda file: file["settings"]["rule-sets"][0].pop("name"), "rule-sets.*.name is missing"),
        (
            lambda file: file["settings"]["ceilings"].pop("may-cancel"),
            "ceilings.may-cancel is missing",
        ),
        (
            lambda file: file["settings"]["ceilings"].update({"may-cancel": "yes"}),
            "is a text, where a yes or no was",
        ),
        (
            lambda file: file["settings"]["rule-sets"][1].update({"client-timeout": 0}),
            "must be over 0",
        ),
        (
            lambda file: file["settings"]["rule-sets"][1].update({"client-timeout": -5}),
            "must be over 0",
        ),
        (
            lambda file: file["settings"]["rule-sets"][1].update({"effect": "none"}),
            "must be one of",
        ),
        (
            lambda file: file["settings"]["rule-sets"][1].update({"name": "read"}),
            "a name of its own",
        ),
        (
            lambda file: file["settings"]["ceilings"].update({"most-dispatches": 0}),
            "must be over 0",
        ),
        (
            lambda file: file["settings"]["ceilings"].update({"most-dispatches": -1}),
            "must be over 0",
        ),
        (
            lambda file: file["settings"]["ceilings"].update({"most-dispatches": "many"}),
            "is a text, where a number was",
        ),
        (lambda file: file["settings"]["ceilings"].update({"conn-idle": 0}), "must be over 0"),
        (
            lambda file: file["settings"]["guarantees"].update({"warm-after": -1}),
            "must not be under 0",
        ),
        (lambda file: file.update({"discovery": "nowhere"}), "not an address"),
        (lambda file: file.update({"listen": 7}), "is a number, where a text was"),
    ],
)
def test_a_spoilt_file_changes_nothing(tmp_path, spoilt, why):
    path, net = tmp_path / "c", NodeHarness()
    path.write_bytes(orjson.dumps(FILE))
    net.node.config = config.read(str(path))
    before, dialled = net.node.config, len(net.dialled)
    if callable(spoilt):
        spoilt(file := copy.deepcopy(FILE) | {"discovery": "127.0.0.1:8777"})
        spoilt = orjson.dumps(file)
    if spoilt is None:
        path.unlink()
    else:
        path.write_bytes(spoilt)
    told = []
    net.node.event_log = lambda event, **facts: told.append((event, facts.get("why")))
    reload_config(net.node, str(path))
    assert (
        net.node.config is before
        and len(net.dialled) == dialled
        and net.node.balancer.settings is not before.settings
    )
    assert [event for event, _ in told] == ["terms kept"] and why in told[0][1]


FILE = {
    "name": "n",
    "listen": "127.0.0.1:7070",
    "discovery": "127.0.0.1:8500",
    "limits": {"memory_mb": 80},
    "settings": {
        "rule-sets": rules("read", "once"),
        "customers": [{"name": "a", "share": 1.0}],
        "ceilings": {"most-dispatches": 3, "may-cancel": True, "conn-idle": 9_000_000},
        "guarantees": {"warm-after": 1_000_000},
    },
}


def test_new_settings_bind_new_reqs_and_open_ones_keep_theirs(tmp_path):
    path, net = tmp_path / "c", NodeHarness(3)
    path.write_bytes(orjson.dumps(FILE))
    net.node.config = config.read(str(path))
    net.node.call_decisions(net.node.balancer.on_settings, net.node.config.settings)
    old = net.ask("k1")
    file = copy.deepcopy(FILE)
    file["settings"]["rule-sets"] = rules("once", effect="fragile") + rules("fresh")
    file["settings"]["ceilings"]["most-dispatches"] = 1
    file["settings"]["customers"] = []
    path.write_bytes(orjson.dumps(file))
    for _ in range(2):  # told twice, as well
        reload_config(net.node, str(path))
    assert net.log.lines[-1] == "terms read"
    assert heard(net.ask("k2")).startswith("HTTP/1.1 404"), (
        "a class that was dropped is unknown to new reqs"
    )
    net.says(net.far(0), "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
    assert heard(old) is None, "the open one may still have another dispatch"
    net.answers(net.far(1))
    assert heard(old).startswith("HTTP/1.1 200")
    fresh = net.ask("k3", rule_set="fresh")
    net.says(net.far(), "HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n")
    assert heard(fresh).startswith("HTTP/1.1 503"), "one dispatch and no more"


def test_what_cannot_change_while_it_runs_is_told_and_waits(tmp_path):
    path, net = tmp_path / "c", NodeHarness()
    path.write_bytes(orjson.dumps(FILE))
    net.node.config = config.read(str(path))
    path.write_bytes(orjson.dumps(FILE | {"listen": "127.0.0.1:7071", "limits": {"memory_mb": 90}}))
    told = []
    net.node.event_log = lambda event, **facts: told.append(facts.get("at_next_start"))
    reload_config(net.node, str(path))
    assert told == [["listen", "memory_mb"]] and net.node.config.memory_mb == 80


# --- pools


def test_links_from_a_burst_are_not_kept_for_long_and_one_is():
    net = NodeHarness(1)
    clients = [net.ask(f"k{i}") for i in range(7)]
    pool = net.node.pools.by_host["c0"]
    net.serve()
    assert len(pool.idle) == 7 and all(heard(client) for client in clients)
    net.wait(900_000)
    assert len(pool.idle) == 7, "the next burst finds them"
    for i in range(3):  # two at a time from now on
        pair = [net.ask(f"p{i}"), net.ask(f"q{i}")]
        net.serve()
        assert all(heard(client) for client in pair)
        net.wait(1_000_000)
    assert len(pool.idle) == 2, "other balancers may need what the host has room for"
    net.wait(3_000_000)
    assert len(pool.idle) == 1


def idle_links(net, many):
    """So many links of c0, all idle, the last used last."""
    clients = [net.ask(f"k{i}") for i in range(many)]
    for i, client in enumerate(clients):
        net.now += 1_000
        net.answers(net.far(i))
        assert heard(client).startswith("HTTP/1.1 200")
    return [net.far(i) for i in range(many)]


def test_the_newest_idle_link_goes_first_and_none_near_its_limit():
    net = NodeHarness(1)
    old, new = idle_links(net, 2)
    for far in (old, new):
        heard(far)
    net.ask()
    assert heard(new).startswith("GET") and heard(old) is None
    net.answers(new)
    heard(new)
    net.says(net.client(), b"GET /read/k HTTP/1.1\r\n")
    net.kept[-1].sendall(b"Request-Id: 1\r\nRequest-Timeout: 60\r\n\r\n")
    net.now += 27_100_000  # the req is read before the sweep that is also due
    net.turn()
    assert heard(new) == heard(old) == "" and heard(net.far()).startswith("GET")


@pytest.mark.parametrize("leaves", [lambda far: far.close(), lambda far: far.sendall(b"?")])
def test_a_link_that_was_closed_or_spoken_on_is_not_written_to(leaves):
    net = NodeHarness(1)
    [link] = idle_links(net, 1)
    leaves(link)
    near, client = (
        socket.socketpair()
    )  # the req comes in the same round, before the end of the link is seen
    client.sendall(REQ + b"\r\n")
    net.node.clients.admit(near)
    net.turn()
    assert len(net.dialled) == 3 and heard(net.far()).startswith("GET") and net.verdicts == ["done"]


@pytest.mark.parametrize(("written", "verdict"), [(True, "stale"), (False, "unconnected")])
def test_a_stale_link_is_a_reset_unless_nothing_was_sent(written, verdict, monkeypatch):
    net = NodeHarness(1)
    [link] = idle_links(net, 1)
    net.verdicts.clear()
    monkeypatch.setattr("orchidgap.net.connection.Connection.is_stale", lambda conn: False)
    near, client = socket.socketpair()
    client.sendall(REQ + b"\r\n")
    if not written:
        link.close()  # between the look and the write
    net.node.clients.admit(near)
    link.close()
    net.turn()
    assert net.verdicts == [verdict] and len(net.dialled) == 2 + written, (
        "no second send nobody decided"
    )


def test_a_kept_link_that_breaks_under_its_next_req_takes_older_ones_with_it():
    net = NodeHarness(1)
    older, newer = idle_links(net, 2)
    heard(older), heard(newer)
    net.wait(300_000)
    client = net.ask("again")
    assert heard(newer).startswith("GET")
    newer.close()
    net.turn()
    assert heard(older) == "" and heard(net.far()).startswith("GET") and len(net.fars()) == 3
    net.answers(net.far())
    assert heard(client).startswith("HTTP/1.1 200") and net.verdicts[-2:] == ["stale", "done"]
    client = net.ask("more")
    net.says(net.far(), "HTTP/1.1 200 OK\r\nContent")
    net.far().close()
    net.turn()
    assert net.verdicts[-1] == "reset", "it had begun to answer"


def test_a_busy_link_that_breaks_says_nothing_of_those_kept_for_longer():
    net = NodeHarness(1)
    older, newer = idle_links(net, 2)
    heard(older), heard(newer)
    net.wait(50_000)
    client = net.ask("again")
    heard(newer)
    newer.close()
    net.turn()
    assert heard(older).startswith("GET") and len(net.fars()) == 2, "no handshake more"
    net.answers(older)
    assert heard(client).startswith("HTTP/1.1 200")


def test_a_dispatch_still_connecting_is_never_written_once_its_host_drains_or_the_req_is_over():
    for health in ("Terminating", "Gone"):
        net = NodeHarness(2)
        near, far = full_pair()
        net.node.pools.dial_address = lambda address, near=near: near
        net.ask()
        assert net.verdicts == []
        net.node.pools.dial_address = net.dial
        owner = next(id for id, pool in net.node.pools.by_host.items() if pool.links)
        told = decode_list({"seq": 8, "whole": False, "hosts": [net.entry(int(owner[1]), health)]})
        net.node.on_list(False, *told[2:])
        net.turn()
        assert net.verdicts == ["unconnected"] and heard(net.far()).startswith("GET"), (
            "the other serves it"
        )
        assert b"GET" not in far.recv(1 << 20)
    net = NodeHarness(2)
    near, far = full_pair()
    net.node.pools.dial_address = lambda address, near=near: near
    net.ask().close()
    net.turn()
    assert net.verdicts == ["moot"] and b"GET" not in far.recv(1 << 20)


def full_pair():
    """The near end does not become writable, as one that is still connecting."""
    near, far = socket.socketpair()
    near.setblocking(False)
    with contextlib.suppress(BlockingIOError):
        while True:
            near.send(bytes(1 << 16))
    return near, far


def test_idle_links_make_way_where_descriptors_run_short():
    net = NodeHarness(3, sockets=64)  # eight for hosts
    assert net.node.pools.max_connections == 8
    answered = 0
    for key in range(30):
        client = net.ask(f"k{key}")
        net.serve()
        answered += "200" in (heard(client) or "")
        client.close()
    assert answered == 30 and net.node.pools.connection_count <= 8
    net.node.clients.max_clients = 9
    clients = [net.ask(f"b{key}") for key in range(9)]
    assert net.node.pools.connection_count == 8 and net.verdicts[-1] == "moot", (
        "no fault of the host"
    )
    assert "503" in heard(clients[-1])


class Nobody:
    def may_send(self, number):
        return True

    """Whose dispatch nobody waits for."""

    def on_settled(self, number, outcome, body):
        pass


def test_no_descriptor_to_dial_sheds_an_idle_link_and_dials_again():
    net = NodeHarness(2)
    for key in range(8):
        net.ask(f"k{key}")
    net.serve()
    short = [AttemptFailure(SendProgress.UNSENT, "short", "none left")]
    net.node.pools.dial_address = lambda address: short.pop() if short else net.dial(address)
    idle, dialled = net.node.pools.connection_count, len(net.dialled)
    attempt = UpstreamAttempt(b"GET / HTTP/1.1\r\n", b"", net.now + 10**6, Nobody())
    net.node.pools.by_host["c0"].dial(attempt)
    assert (
        idle == net.node.pools.connection_count == 8
        and len(net.dialled) == dialled + 1
        and not short
    )


class Listener:
    """Accepts what it is given; without descriptors it fails as the system does."""

    def __init__(self, given):
        self.given, self.calls = given, 0
        self.pair = socket.socketpair()
        self.pair[1].send(b"x")  # so it always looks ready

    def fileno(self):
        return self.pair[0].fileno()

    def accept(self):
        self.calls += 1
        if not self.given:
            raise BlockingIOError
        if isinstance(self.given[0], OSError):
            raise self.given.pop(0)
        return self.given.pop(0), None

    def close(self):
        self.pair[0].close()


def test_emfile_sheds_then_rests_and_never_spins():
    net = NodeHarness()
    idle = net.ask("k")
    net.answers(net.far())
    near, far = socket.socketpair()
    gone = OSError(errno.ECONNABORTED, "")
    listener = net.node.clients.listening_socket = Listener(
        [gone] + [OSError(errno.EMFILE, "")] * 3 + [near]
    )
    net.loop.watch(listener, READ, net.node.clients.accept)
    net.loop.run_once(0)
    assert heard(idle).startswith("HTTP") and heard(idle) == "", "the idle client made way"
    net.loop.run_once(0)
    assert net.node.pools.connection_count == 0, "then the idle link"
    net.loop.run_once(0)
    net.turn(20)
    assert listener.calls == 4, "with nothing to shed it waits"
    net.wait(51_000)
    assert listener.calls > 4 and len(net.node.clients.open_clients) == 1 and far.fileno() > 0


@pytest.mark.parametrize(
    ("memory", "sockets", "most"),
    [
        (32, 256, 104),
        (32, 1024, 128),
        (64, 1024, 384),
        (192, 1024, 488),
        (192, 384, 168),
        (10, 256, 8),
    ],
)
def test_clients_have_room_for_a_third_of_the_descriptors_where_memory_allows(
    memory, sockets, most
):
    net = NodeHarness(1, memory=memory, sockets=sockets)
    assert (
        net.node.clients.max_clients == most
        and net.node.pools.max_connections + most <= sockets - 48
    )


def test_clients_beyond_the_most_are_told_so():
    net = NodeHarness(1, sockets=64)
    assert net.node.clients.max_clients == 8
    pairs = [socket.socketpair() for _ in range(30)]
    for i, (_, far) in enumerate(pairs):
        far.setblocking(False)
        far.sendall(REQ.replace(b"Id: 1", b"Id: %d" % i) + b"\r\n")
    listener = net.node.clients.listening_socket = Listener([near for near, _ in pairs])
    net.loop.watch(listener, READ, net.node.clients.accept)
    net.turn(8)
    said = [heard(far) for _, far in pairs]
    assert all(said) is False and sum("503" in (text or "") for text in said) >= 16
    assert len(net.node.clients.open_clients) <= 24


# --- the list


def watched(net):
    """The agent's end, and what has been asked there."""
    return next(far for port, far in reversed(net.dialled) if port == 8500)


def tells(net, seq, whole, hosts, status=200):
    net.answers(
        watched(net), status, orjson.dumps({"seq": seq, "whole": whole, "hosts": hosts}).decode()
    )


def listed(net):
    return {id: host.state for id, host in net.node.balancer.hosts.items()}


def test_the_list_is_fetched_whole_and_then_watched_without_a_gap():
    net = NodeHarness(1)
    assert heard(watched(net)).startswith(f"GET {LIST} HTTP/1.1")
    tells(net, 41, True, [net.entry(0), net.entry(3), net.entry(9)])
    assert listed(net) == {"c0": "up", "c3": "up", "o": "up"}
    assert heard(watched(net)).startswith(f"GET {LIST}?after=41&wait_ms=3000 ")
    net.wait(3_000_000)
    tells(net, 43, False, [net.entry(0, "Terminating"), net.entry(3, "Gone")])
    assert listed(net) == {"c0": "draining", "o": "up"}
    assert heard(watched(net)).startswith(f"GET {LIST}?after=43&")
    tells(net, 43, False, [])
    net.wait(50_000)
    assert heard(watched(net)) is None, "no spin where an agent does not wait"
    net.wait(140_000)
    assert heard(watched(net)).startswith(f"GET {LIST}?after=43&"), "but within 200 ms"


@pytest.mark.parametrize(
    "does",
    [
        lambda net: tells(net, 1, True, [], status=500),
        lambda net: tells(net, 1, False, []),
        lambda net: net.answers(watched(net), 200, "not JSON"),
        lambda net: net.answers(watched(net), 200, "[]"),
        lambda net: tells(net, 1, True, [{"host": "x"}]),
        lambda net: tells(net, 1, True, [7]),
        lambda net: watched(net).close(),
        lambda net: net.says(watched(net), "garbage\r\n\r\n"),
        lambda net: net.wait(1_000_000),
    ],
)
def test_a_bad_or_missing_answer_keeps_the_list_and_is_asked_again_later(does):
    net = NodeHarness(2)
    before = listed(net)
    does(net)
    net.turn()
    assert listed(net) == before and "list lost" in net.log.lines
    times = len(net.dialled)
    net.wait(45_000)
    assert len(net.dialled) == times, "not at once"
    net.wait(60_000)
    assert len(net.dialled) == times + 1
    net.refused.add(8500)
    net.wait(20_000_000)
    net.refused.clear()
    for _ in range(30):
        if len(net.dialled) == times + 1:
            net.wait(100_000)
    tells(net, 9, True, [net.entry(5), net.entry(9)])
    assert listed(net) == {"c5": "up", "o": "up"} and "list back" in net.log.lines


def test_an_odd_entry_costs_its_host_and_not_the_list():
    net = NodeHarness(2)
    odd = [
        net.entry(0, "Odd"),
        net.entry(1) | {"dial": "localhost:80"},
        net.entry(2) | {"share": None},
    ]
    tells(net, 41, True, [*odd, net.entry(9)])
    assert listed(net) == {"c0": "draining", "c1": "draining", "c2": "up", "o": "up"}
    net.ask()
    assert net.dialled[-1][0] == 102


def test_a_change_that_cannot_be_read_or_a_version_that_falls_is_followed_by_the_whole_list():
    for seq, hosts, wait in ((42, [{"host": "x"}], 100_000), (3, [], 100_000)):
        net = NodeHarness(1)
        tells(net, 41, True, [net.entry(0), net.entry(9)])
        heard(watched(net))
        tells(net, seq, False, hosts)
        net.wait(wait)
        assert heard(watched(net)).startswith(f"GET {LIST} HTTP/1.1") and listed(net) == {
            "c0": "up",
            "o": "up",
        }


def test_an_address_that_changes_is_dialled_from_then_on():
    net = NodeHarness(1)
    tells(net, 41, True, [net.entry(0), net.entry(9)])
    [link] = idle_links(net, 1)
    tells(net, 42, False, [net.entry(0, port=300)])
    net.ask("again")
    assert net.dialled[-1][0] == 300
    heard(link)
    assert heard(link) == ""


def test_a_restart_is_told_in_milliseconds_of_unix_time():
    net = NodeHarness(2)
    tells(net, 41, True, [net.entry(0, born=net.now // 1000), net.entry(1), net.entry(9)])
    assert net.node.balancer.hosts["c0"].warm_at_us == net.now + 10_000_000


# --- start and log

GOOD = {
    "name": "n",
    "listen": "127.0.0.1:1",
    "discovery": "127.0.0.1:2",
    "seed": "ff",
    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
    "known": {"seq": 1, "whole": True, "hosts": []},
    "settings": {
        "kinds": ["cache", "origin"],
        "ceilings": {"conn-idle": 7},
        "rule-sets": [{"name": "read", "effect": "retryable", "client-timeout": 900}],
    },
}


def test_start_reads_names_and_units(tmp_path):
    (tmp_path / "c").write_bytes(orjson.dumps(GOOD))
    station = config.read(str(tmp_path / "c"))
    assert (station.listen, station.seed, station.idle_timeout_us, station.descriptors) == (
        ("127.0.0.1", 1),
        255,
        7,
        1024,
    )
    assert station.settings.request_classes["read"].idempotent
    assert (
        not station.settings.uses_listed_weights
        and station.settings.reported_fields == ()
        and station.shadow_settings is None
    )
    new = {"weights": "rough", "report": {"how": "inline", "fields": ["concurrent", "tps"]}}
    (tmp_path / "c").write_bytes(orjson.dumps(GOOD | {"watch": {"settings": new}}))
    watching = config.read(str(tmp_path / "c"), station)
    assert watching.settings == station.settings
    assert watching.shadow_settings == station.settings._replace(
        uses_listed_weights=True, reported_fields=("concurrent", "tps")
    )
    (tmp_path / "c").write_bytes(orjson.dumps(GOOD))
    assert config.read(str(tmp_path / "c"), watching).shadow_settings is None, (
        "a watch may be left out again"
    )


@pytest.mark.parametrize(
    ("change", "names"),
    [
        ({"listen": "nowhere"}, "not an address: 'nowhere'"),
        ({"listen": None}, "c: "),
        ({"settings": {}}, "rule-sets.count"),
        ({"seed": "xyz"}, "xyz"),
        ({"limits": {"sockets": 10}}, "too few"),
        ({"known": {"hosts": 1}}, "c: "),
        ({"settings": {"rule-sets": [{"name": "a"}]}}, "rule-sets.0.client-timeout is missing"),
        ({"settings": GOOD["settings"] | {"weights": "heavy"}}, "setting weights is 'heavy'"),
        (
            {"settings": GOOD["settings"] | {"report": {"how": "loudly"}}},
            "setting report.how is 'loudly'",
        ),
        (
            {"settings": GOOD["settings"] | {"ceilings": {"may-duplicate": "maybe"}}},
            "may-duplicate is 'maybe'",
        ),
        ({"watch": 7}, "watch.settings"),
        ({"watch": {"settings": []}}, "watch.settings"),
        ({"watch": {"settings": {"weights": "heavy"}}}, "watch: setting weights is 'heavy'"),
        (
            {
                "watch": {
                    "settings": {
                        "rule-sets": [{"name": "other", "effect": "fragile", "client-timeout": 9}]
                    }
                }
            },
            "watch: rule set read is missing",
        ),
    ],
)
def test_a_bad_start_is_one_plain_line(tmp_path, change, names):
    (tmp_path / "c").write_bytes(orjson.dumps(GOOD | change))
    with pytest.raises(config.ConfigError, match=names) as told:
        config.read(str(tmp_path / "c"))
    assert "\n" not in str(told.value)


@pytest.mark.parametrize("text", [None, "", "{", "[]", "7"])
def test_a_configuration_that_is_none_ends_the_command_with_one_line(tmp_path, text):
    path = tmp_path / "c"
    if text is not None:
        path.write_text(text)
    done = subprocess.run(
        [sys.executable, "-m", "orchidgap", "serve", f"--config={path}"], capture_output=True
    )
    assert (
        done.returncode == 1
        and done.stderr.startswith(b"orchidgap: ")
        and done.stderr.count(b"\n") == 1
    )


def test_a_log_that_nobody_reads_loses_lines_and_does_not_wait():
    far, near = os.pipe()
    log = EventLog("n", near)
    for _ in range(3000):
        log("mode", what="x" * 100)
    assert log.dropped
    os.read(far, 1 << 20)
    log("later")
    assert orjson.loads(os.read(far, 1 << 20).splitlines()[-1])["dropped"] and not log.dropped
    log("long", what="x" * 10_000)
    assert len(os.read(far, 1 << 20)) < 4_000
    os.close(far)
    log("none")
    os.close(near)
