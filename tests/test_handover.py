import contextlib
import os
import signal
import socket
import subprocess
import sys

import orjson
import pytest
from node_harness import NodeHarness, heard

from orchidgap.net.config import ConfigError
from orchidgap.net.endpoints import decode_list
from orchidgap.net.handover import Handover, inherited_listener

UP = b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n"


def listener():
    return socket.create_server(("127.0.0.1", 0), backlog=64)


def pair_end():
    near, far = socket.socketpair()
    far.close()
    return near


@pytest.mark.parametrize(
    ("make", "why"),
    [
        (lambda: "x", "no open socket"),
        (lambda: "-1", "no open socket"),
        (lambda: "99999", "no open socket"),
        (lambda: "9" * 30, "no open socket"),
        (lambda: os.open(os.devnull, os.O_RDONLY), "no open socket"),
        (lambda: pair_end().detach(), "no listening TCP socket"),
        (lambda: socket.socket().detach(), "no listening TCP socket"),
        (lambda: socket.socket(type=socket.SOCK_DGRAM).detach(), "no listening TCP socket"),
    ],
)
def test_what_is_passed_must_be_a_listening_socket(make, why):
    number = make()
    with pytest.raises(ConfigError, match=why):
        inherited_listener(str(number))
    if isinstance(number, int):
        os.close(number)  # it is still open: it is not ours to close


def test_one_listener_in_two_nodes_and_the_old_one_ends_without_a_word_to_the_other():
    passed, nets = listener(), [NodeHarness(1), NodeHarness(1)]
    for net in nets:
        net.node.clients.use_listening_socket(inherited_listener(str(os.dup(passed.fileno()))))
    old, new = nets
    new.node.clients.leave_listener()
    first = ask(passed)
    turn(nets)
    assert old.node.clients.open_clients and not new.node.clients.open_clients
    new.node.clients.return_to_listener()
    old.node.clients.leave_listener()
    second = ask(passed)
    turn(nets)
    assert len(old.node.clients.open_clients) == len(new.node.clients.open_clients) == 1
    old.node.begin_shutdown()
    old.wait(450_000)
    assert old.node.clients.listening_socket is None
    third = ask(passed)
    turn(nets)
    assert len(new.node.clients.open_clients) == 2, "nobody shut the listener down"
    for net in nets:
        net.serve()
    assert [heard(one)[:15] for one in (first, second, third)] == ["HTTP/1.1 200 OK"] * 3
    for one in (first, second, third, passed, new.node.clients.listening_socket):
        one.close()


def ask(passed):
    one = socket.create_connection(passed.getsockname())
    one.sendall(
        b"GET /read/k%d HTTP/1.1\r\nRequest-Id: %d\r\nRequest-Timeout: 2\r\n\r\n"
        % ((one.fileno(),) * 2)
    )
    one.setblocking(False)
    return one


def said_yes(passed):
    with socket.create_connection(passed.getsockname(), timeout=20) as client:
        client.sendall(UP)
        return client.recv(99).startswith(b"HTTP/1.1 200")


def turn(nets):
    for net in nets:
        net.turn(6)


def test_a_process_serves_on_what_it_inherits(tmp_path):
    with listener() as passed:
        path = tmp_path / "c"
        path.write_bytes(
            orjson.dumps(
                {
                    "name": "n",
                    "listen": f"127.0.0.1:{passed.getsockname()[1]}",
                    "discovery": "127.0.0.1:1",
                    "seed": "7",
                    "known": {"seq": 1, "whole": True, "hosts": [NodeHarness.entry(0)]},
                    "settings": {
                        "rule-sets": [
                            {"name": "read", "effect": "retryable", "client-timeout": 900_000}
                        ]
                    },
                }
            )
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "orchidgap", "serve", f"--config={path}"],
            stderr=subprocess.DEVNULL,
            pass_fds=[passed.fileno()],
            env=os.environ | {"GW_PASSED_SOCKET": str(passed.fileno())},
        )
        while not said_yes(
            passed
        ):  # once discovery, which is not there, has had its time to answer
            assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
        with socket.create_connection(passed.getsockname(), timeout=20):
            pass  # it still listens


# --- two processes that have found each other


def inheriting(caches, start=True, **more):
    """A process with the inherited listener, which may be either of the two."""
    net = NodeHarness(caches, start=start, **more)
    net.node.clients.use_listening_socket(listener())
    net.node.handover = Handover(net.loop, net.node, None, shared=True)
    return net


def one_side(caches, start=True):
    """One of two processes; the test speaks for the other."""
    return inheriting(caches, start), *socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)


class Two:
    """An old and a new balancer on one clock, with a passage between them."""

    def __init__(self, caches=3, serves=True, **more):
        self.old, self.new = inheriting(caches, **more), inheriting(caches, start=False, **more)
        self.new.dial = self.old.dial  # hosts are common
        self.new.node.pools.dial_address = self.new.node.discovery.dialer = self.old.dial
        self.known = {host.id: host for host in self.old.node.balancer.hosts.values()}
        near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.prepare()
        self.old.node.handover.accept_successor(near)
        self.new.node.handover.join_predecessor(far)
        self.new.node.start()
        if serves:
            self.wait(0)

    def prepare(self):
        """What the old one knows that the new one does not."""

    def turn(self, times=3):
        for _ in range(times):
            self.old.turn(2)
            self.new.turn(2)

    def wait(self, micros):
        for _ in range(0, micros, 5_000):
            for net in (self.old, self.new):
                net.wait(5_000)
        self.turn()

    def end(self):
        for net in (self.old, self.new):
            for kin in net.node.handover.kin():
                kin.channel.close()
            if net.node.clients.listening_socket:
                net.node.clients.listening_socket.close()


def test_the_new_one_says_yes_only_with_what_the_old_one_knows():
    class Knowing(Two):
        def prepare(self):
            self.old.node.on_list(
                False,
                *decode_list(
                    {
                        "seq": 8,
                        "whole": False,
                        "hosts": [NodeHarness.entry(1, health="Terminating"), NodeHarness.entry(4)],
                    }
                )[2:],
            )
            c0 = self.old.node.balancer.hosts["c0"]
            (
                c0.concurrency_limit,
                c0.smoothed_latency_us,
                c0.retry_budget,
                c0.limit_decreased_at_us,
            ) = 3.5, 70_000, 9.0, self.old.now - 5
            ring = self.old.node.balancer.placement.ring
            ring[0].range_size, ring[1].range_size = (
                ring[0].range_size + 100,
                ring[1].range_size - 100,
            )
            self.old.node.balancer.placement.ranges.refresh()

    two = Knowing(serves=False)
    old, new = two.old.node, two.new.node
    assert not new.is_ready() and new.endpoints and new.handover.awaiting_snapshot, (
        "it has a list, and waits for more"
    )
    assert (
        old.lifecycle.state.value == "serving"
        and not old.clients.accepts_elsewhere
        and new.clients.accepts_elsewhere
    )
    two.turn()
    assert (
        new.is_ready()
        and not new.handover.awaiting_snapshot
        and old.clients.accepts_elsewhere
        and not new.clients.accepts_elsewhere
    )
    assert listed(two.new) == listed(two.old) and listed(two.new)["c1"] == "draining"
    c0 = new.balancer.hosts["c0"]
    assert (
        c0.concurrency_limit,
        c0.smoothed_latency_us,
        c0.retry_budget,
        c0.limit_decreased_at_us,
    ) == (3.5, 70_000, 9.0, two.old.now - 5)
    assert new.balancer.placement.ranges.range_ends == old.balancer.placement.ranges.range_ends
    two.end()


def listed(net):
    return {id: host.state for id, host in net.node.balancer.hosts.items()}


def test_without_an_answer_from_the_old_one_it_serves_all_the_same():
    net, near, far = one_side(2, start=False)
    net.node.handover.join_predecessor(far)
    net.node.start()
    net.wait(1_490_000)
    assert not net.node.is_ready()
    net.wait(20_000)
    assert net.node.is_ready() and not net.node.clients.accepts_elsewhere
    near.close()
    net.turn()
    assert net.node.handover.predecessor is None and net.node.descriptor_limit == 1024


def test_connections_go_over_and_no_client_and_no_host_notices():
    two = Two(1)
    kept = [two.old.ask(f"k{i}") for i in range(5)]
    busy, fresh = two.old.ask("busy"), two.old.client()
    for client, far in zip(kept, two.old.fars()):
        two.old.answers(far)
        assert "close" not in heard(client)
    dialled = len(two.old.dialled)
    two.old.node.begin_shutdown()
    two.wait(10_000)
    assert (
        len(two.new.node.clients.open_clients) == 6 and len(two.old.node.clients.open_clients) == 1
    )
    assert (
        len(two.new.node.pools.by_host["c0"].idle) == 5
        and not two.old.node.pools.by_host["c0"].idle
    )
    for i, client in enumerate([*kept, fresh]):
        assert heard(client) is None
        client.sendall(
            f"GET /read/n{i} HTTP/1.1\r\nRequest-Id: n{i}\r\nRequest-Timeout: 1\r\n\r\n".encode()
        )
    two.turn()
    assert len(two.new.node.exchanges) == 6 and len(two.old.dialled) == dialled + 1, (
        "five links came along"
    )
    two.old.serve()
    assert heard(busy).startswith("HTTP/1.1 200") and heard(busy) is None, (
        "it is not told to go either"
    )
    two.wait(10_000)
    assert len(two.new.node.clients.open_clients) == 7 and not two.old.node.clients.open_clients
    two.turn()
    assert not two.old.loop.running, "all have gone over"
    two.new.turn()
    for client in [*kept, fresh]:
        assert heard(client).startswith("HTTP/1.1 200")
    two.end()


def test_what_both_have_out_counts_at_a_host_and_an_id_is_open_in_both():
    two = Two(1)
    for i in range(4):
        two.old.ask(f"k{i}")
    two.wait(10_000)
    host = two.new.node.balancer.hosts["c0"]
    assert (host.in_flight, host.in_flight_elsewhere, host.total_in_flight) == (0, 4, 4)
    assert heard(two.new.ask("k1")).startswith("HTTP/1.1 409"), "it is open in the other"
    host.concurrency_limit = 4.0
    two.new.ask("k9")
    assert two.old.dialled[-1][0] == 109, "no room there: it went to the origin"
    for far in two.old.fars():
        two.old.answers(far)
    two.wait(10_000)
    assert host.in_flight_elsewhere == 0 and heard(two.new.ask("k1")) is None
    two.end()


def test_descriptors_are_held_by_the_two_together():
    class Busy(Two):
        def prepare(self):
            self.clients = [self.old.ask(f"k{i}") for i in range(90)]
            self.old.serve()

    two = Busy(1, sockets=256)
    two.wait(10_000)
    old, new = two.old.node, two.new.node
    assert (
        old.descriptor_limit + new.descriptor_limit <= 256
        and old.descriptor_limit >= old.descriptors_needed() >= 90
    )
    for _ in range(4):
        two.old.serve()
        two.wait(10_000)
    old.begin_shutdown()
    while two.old.loop.running:
        assert old.descriptor_limit + new.descriptor_limit <= 256
        two.wait(5_000)
    assert (
        len(new.clients.open_clients) > 20
        and not old.clients.open_clients
        and new.descriptor_limit == 256
    )
    two.end()


def test_a_new_one_that_dies_leaves_all_as_it_was():
    two = Two(1)
    assert two.old.node.clients.accepts_elsewhere
    two.new.ask("k")
    two.wait(10_000)
    assert two.old.node.balancer.hosts["c0"].in_flight_elsewhere == 1
    two.new.node.handover.predecessor.channel.close()
    two.old.turn()
    old = two.old.node
    assert (
        not old.clients.accepts_elsewhere
        and not old.lifecycle.successor_accepts
        and old.descriptor_limit == 1024
        and old.is_ready()
    )
    assert old.balancer.hosts["c0"].in_flight_elsewhere == 0 and not old.handover.is_request_open(
        b"r-k"
    )
    client = two.old.ask("k2")
    two.old.serve()
    assert heard(client).startswith("HTTP/1.1 200")
    two.end()


def test_a_new_one_that_dies_while_the_old_one_leaves():
    two = Two(1)
    busy = two.old.ask("busy")
    two.old.node.begin_shutdown()
    two.wait(10_000)
    two.new.node.handover.predecessor.channel.close()
    two.old.turn()
    two.old.serve()
    assert "Connection: close" in heard(busy), "nobody is there to take the connection"
    busy.close()
    two.old.wait(500_000)
    assert not two.old.loop.running
    two.end()


def test_an_old_one_that_never_goes():
    two = Two(1)
    client = two.old.ask("k")
    two.old.serve()
    two.wait(50_000)
    client.sendall(b"GET /read/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\n\r\n")
    two.turn()
    two.old.serve()
    assert heard(client).endswith("v") and two.old.loop.running and two.new.node.is_ready()
    two.end()


@pytest.mark.parametrize(
    "packet",
    [
        b"",
        b"{",
        b"null",
        b"[]",
        b"7",
        b'["what"]',
        b'["hello"]',
        b'["hello",1,"another"]',
        b'["hello",99,"n0"]',
        b'["now"]',
        b'["now",1,2,3]',
        b'["now",[],[],{"c0":"x"}]',
        b"\xff" * 100,
        b'["serving"',
        b'["clients"]' * 9,
    ],
)
def test_whatever_is_said_to_the_old_one_costs_the_passage_and_nothing_else(packet):
    net, near, far = one_side(1)
    net.node.handover.accept_successor(near)
    far.send(packet) if packet else far.close()
    net.turn()
    assert (
        net.node.handover.successor is None
        and not net.node.clients.accepts_elsewhere
        and near.fileno() < 0
    )
    client = net.ask("k")
    net.serve()
    assert heard(client).startswith("HTTP/1.1 200")
    net.node.clients.listening_socket.close()


@pytest.mark.parametrize(
    "packet",
    [
        b"[]",
        b'["what"]',
        b'["room","x"]',
        b'["list",[["c0"]]]',
        b'["list",[[[1,2,3,4,5,6,7],["c0","up",["h",1]]]]]',
        b'["list",7]',
        b'["estate",7]',
        b'["links",7]',
        b'["now",{},{},7]',
        b"",
    ],
)
def test_whatever_is_said_to_the_new_one_it_serves(packet):
    net, near, far = one_side(1, start=False)
    net.node.handover.join_predecessor(far)
    net.node.start()
    near.send(packet) if packet else near.close()
    net.turn()
    net.wait(1_600_000)
    assert net.node.is_ready() and not net.node.clients.accepts_elsewhere
    client = net.ask("k")
    net.serve()
    assert heard(client).startswith("HTTP/1.1 200")
    net.node.clients.listening_socket.close()


def test_descriptors_that_come_with_an_odd_packet_are_closed():
    net, near, far = one_side(1)
    net.node.handover.accept_successor(near)
    left, right = socket.socketpair()
    socket.send_fds(far, [b'["clients"]'], [left.fileno()])
    left.close()
    net.turn()
    right.settimeout(5)
    assert right.recv(1) == b"", "nobody holds the other end"
    net.node.clients.listening_socket.close()


def test_processes_find_each_other_by_a_folder_and_a_stale_file_is_nobody(tmp_path):
    deep = tmp_path / ("x" * 60) / ("y" * 60)  # more than a Unix socket's address has room for
    deep.mkdir(parents=True)
    for folder in (tmp_path, deep):
        nets = [
            NodeHarness(1, start=False),
            NodeHarness(1, start=False),
            NodeHarness(1, start=False),
        ]
        for net in nets:
            net.node.clients.use_listening_socket(listener())
            net.node.handover = Handover(net.loop, net.node, str(folder), shared=True)
        first, second, third = nets
        first.node.handover.find_predecessor()
        first.node.start()
        assert first.node.is_ready() and first.node.handover.predecessor is None
        second.node.handover.find_predecessor()
        second.node.start()
        assert second.node.handover.predecessor and not second.node.is_ready()
        turn([first, second, first, second])
        assert second.node.is_ready() and first.node.lifecycle.successor_accepts
        first.node.stop()
        turn([second])
        assert second.node.handover.predecessor is None and second.node.descriptor_limit == 1024
        second.node.handover.listener.close()  # as by a kill: the file stays
        third.node.handover.find_predecessor()
        third.node.start()
        assert third.node.handover.predecessor is None and third.node.is_ready()
        third.node.stop()
        assert not [path for path in folder.iterdir() if path.is_socket()]
        for net in nets:
            if net.node.clients.listening_socket:
                net.node.clients.listening_socket.close()


@pytest.mark.parametrize("folder", [None, "", "/nonexistent/folder"])
def test_without_a_common_folder_each_does_with_half(folder):
    net = NodeHarness(1, start=False, sockets=400)
    net.node.clients.use_listening_socket(listener())
    net.node.handover = Handover(net.loop, net.node, folder, shared=True)
    net.node.handover.find_predecessor()
    net.node.start()
    assert (
        net.node.is_ready()
        and net.node.descriptor_limit == 200
        and "companion unseen" in net.log.lines
    )
    net.node.clients.listening_socket.close()


def test_a_process_takes_the_place_of_another_under_load(tmp_path):
    """Real processes: a client that keeps its connection never sees it end."""
    with listener() as passed, socket.create_server(("127.0.0.1", 0)) as away:
        path, processes = tmp_path / "c", []
        path.write_bytes(
            orjson.dumps(
                {
                    "name": "n",
                    "listen": f"127.0.0.1:{passed.getsockname()[1]}",
                    "seed": "7",
                    "discovery": f"127.0.0.1:{away.getsockname()[1]}",
                    "known": {"seq": 1, "whole": True, "hosts": [NodeHarness.entry(0)]},
                    "settings": {
                        "rule-sets": [
                            {"name": "read", "effect": "retryable", "client-timeout": 900_000}
                        ]
                    },
                }
            )
        )

        def run():
            with open(tmp_path / f"log{len(processes)}", "wb") as log:
                processes.append(
                    subprocess.Popen(
                        [sys.executable, "-m", "orchidgap", "serve", f"--config={path}"],
                        stderr=log,
                        pass_fds=[passed.fileno()],
                        env=os.environ
                        | {"GW_PASSED_SOCKET": str(passed.fileno()), "TMPDIR": str(tmp_path)},
                    )
                )

        run()
        client = socket.create_connection(passed.getsockname(), timeout=20)

        def up():
            client.sendall(UP.replace(b"Connection: close\r\n", b""))
            return client.recv(99)[:12]

        while (
            up() != b"HTTP/1.1 200"
        ):  # once discovery, which is silent, has had its time to answer
            assert processes[0].poll() is None
        run()
        while b'"event":"serving"' not in (tmp_path / "log1").read_bytes():
            assert up() == b"HTTP/1.1 200"
        processes[0].send_signal(signal.SIGTERM)
        while processes[0].poll() is None:
            assert up() in (b"HTTP/1.1 200", b"HTTP/1.1 503")
        assert up() == b"HTTP/1.1 200" and processes[0].wait() == 0
        client.close()
        processes[1].send_signal(signal.SIGTERM)
        assert processes[1].wait(20) == 0


# --- reqs under way

BODY = bytes(range(256)) * 1_200


def going_over(two):
    """The old one is told to end, and what can go has gone."""
    two.old.node.begin_shutdown()
    two.wait(15_000)
    two.turn()


@pytest.mark.parametrize("place", range(0, 220, 11))
@pytest.mark.parametrize(
    "framing",
    [
        b"Content-Length: 9\r\n\r\n123456789",
        b"Transfer-Encoding: chunked\r\n\r\n4;x\r\n1234\r\n5\r\n56789\r\n0\r\nT: y\r\n\r\n",
    ],
)
def test_a_req_that_has_come_in_part_goes_on_in_the_new_one(place, framing):
    text = (
        b"PUT /mark/k1 HTTP/1.1\r\nRequest-Id: r1\r\nIdempotency-Key: m1\r\nTenant: small\r\nRequest-Timeout: 1\r\n"
        + framing
    )
    if place >= len(text):
        return
    two = Two(1)
    client = two.old.client()
    for at in range(0, place, 50):
        two.old.says(client, text[at : min(place, at + 50)])
    going_over(two)
    assert (
        not two.old.node.clients.open_clients
        and len(two.new.node.clients.open_clients) == 1
        and not two.old.loop.running
    )
    client.sendall(text[place:])
    two.turn()
    far = two.old.far()
    assert heard(far).endswith("\r\n\r\n123456789")
    two.old.answers(far)
    two.turn()
    assert heard(client).startswith("HTTP/1.1 200") and heard(client) is None
    two.end()


@pytest.mark.parametrize("framing", ["length", "chunks", "close"])
@pytest.mark.parametrize("place", [70_000, 90_001, 120_003, 150_002])
@pytest.mark.parametrize("version", ["1.1", "1.0"])
def test_an_answer_that_flows_goes_on_in_the_new_one(framing, place, version):
    two = Two(1)
    client = two.old.client(
        f"GET /read/k HTTP/{version}\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\n\r\n".encode()
    )
    far = two.old.far()
    heard(far)
    head = {
        "length": b"Content-Length: %d" % len(BODY),
        "chunks": b"Transfer-Encoding: chunked",
        "close": b"Connection: close",
    }
    text = (
        BODY
        if framing != "chunks"
        else b"".join(
            b"%x;e=1\r\n%b\r\n" % (len(part), part)
            for part in (BODY[at : at + 10_000] for at in range(0, len(BODY), 10_000))
        )
        + b"0\r\n\r\n"
    )
    text = b"HTTP/1.1 200 OK\r\n" + head[framing] + b"\r\n\r\n" + text
    got = b""
    for one in two.old.node.clients.open_clients:
        one.conn.sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_SNDBUF, 8_192
        )  # some of it waits to be written
    rest = text[:place]
    for _ in range(40):
        rest = rest[far.send(rest[:9_000]) :] if rest else b""
        two.turn(1)
        if len(got) < place - 60_000:
            with contextlib.suppress(BlockingIOError):
                got += client.recv(9_000)
    assert not rest
    going_over(two)
    assert two.new.node.is_request_open(b"1") and not two.old.node.clients.open_clients
    rest = text[place:]
    for _ in range(200):
        if rest:
            with contextlib.suppress(BlockingIOError):
                rest = rest[far.send(rest[:20_000]) :]
        two.turn(1)
        got += raw(client)
    assert not rest
    if framing == "close":
        far.close()
    two.turn()
    got += raw(client)
    head, _, body = got.partition(b"\r\n\r\n")
    if b"chunked" in head:
        plain = b""
        while body:
            size, _, body = body.partition(b"\r\n")
            plain, body = plain + body[: int(size, 16)], body[int(size, 16) + 2 :]
        body = plain
    assert (
        body == BODY
        and not two.new.node.exchanges
        and not two.new.node.open_request_ids
        and not two.new.log.lines.count("fault")
    )
    if version == "1.1":
        client.sendall(b"GET /read/n HTTP/1.1\r\nRequest-Id: 2\r\nRequest-Timeout: 1\r\n\r\n")
        two.turn()
        assert (len(two.old.fars()) == 1) == (framing != "close"), "its link is as good as before"
        two.old.answers(two.old.far())
        two.turn()
        assert heard(client).startswith("HTTP/1.1 200")
    two.end()


def raw(far):
    got = b""
    try:
        while part := far.recv(1 << 17):
            got += part
    except OSError:
        pass
    return got


def test_an_answer_that_breaks_after_it_went_over_shows_it():
    two = Two(1)
    client = two.old.ask("k")
    far = two.old.far()
    two.old.says(far, b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\nfirst")
    before = two.new.node.balancer.hosts["c0"].retry_budget
    going_over(two)
    far.close()
    two.turn()
    assert raw(client).endswith(b"first") and client.recv(1) == b""
    assert two.new.node.balancer.hosts["c0"].retry_budget < before or before == 0
    assert not two.new.node.exchanges and not two.new.node.open_request_ids
    two.end()


@pytest.mark.parametrize("framing", [f"Content-Length: {len(BODY)}", "Transfer-Encoding: chunked"])
@pytest.mark.parametrize(
    ("ends", "status"), [("done", "200"), ("reset", "503"), ("stalls", "408"), ("late", "503")]
)
def test_a_req_whose_body_flows_goes_on_in_the_new_one(framing, ends, status):
    two = Two(1)
    head = (
        f"PUT /mark/k1 HTTP/1.1\r\nRequest-Id: r1\r\nIdempotency-Key: m1\r\nRequest-Timeout: 1\r\n{framing}\r\n\r\n"
    ).encode()
    text = (
        BODY
        if "chunked" not in framing
        else b"".join(
            b"%x\r\n%b\r\n" % (len(part), part)
            for part in (BODY[at : at + 9_000] for at in range(0, len(BODY), 9_000))
        )
        + b"0\r\n\r\n"
    )
    client = two.old.client(head)
    for at in range(0, 130_000, 26_000):
        two.old.says(client, text[at : at + 26_000])
    far = two.old.far()
    got = raw(far)
    going_over(two)
    assert not two.old.node.clients.open_clients and two.new.node.is_request_open(b"r1")
    if ends == "stalls":
        two.wait(3_000_000)
    else:
        for at in range(130_000, len(text), 26_000):
            client.sendall(text[at : at + 26_000])
            two.turn()
            got += raw(far)
        body = got.partition(b"\r\n\r\n")[2]
        if "chunked" in framing:
            plain = b""
            while body:
                size, _, body = body.partition(b"\r\n")
                plain, body = plain + body[: int(size, 16)], body[int(size, 16) + 2 :]
            body = plain
        assert body == BODY and heard(client) is None
        if ends == "done":
            two.old.answers(far)
        elif ends == "reset":
            far.close()
        else:
            two.wait(1_000_000)
        two.turn()
    assert heard(client).startswith(f"HTTP/1.1 {status}")
    assert not two.new.node.exchanges and not two.new.node.open_request_ids
    two.end()


@pytest.mark.parametrize(
    "packet",
    [
        b'["answer"]',
        b'["answer",{}]',
        b'["upload",{"name":"x","head":"","host":"c0","at":["127.0.0.1",100]}]',
        b'["begun"]',
        b'["answer",{"name":"x","head":"noise","host":"c0","at":["h",1],"version":"1.1","lasts":true,"chunked":7,"last":0}]',
    ],
)
@pytest.mark.parametrize("fds", [0, 1, 2])
def test_a_req_under_way_that_makes_no_sense_costs_nothing(packet, fds):
    net, near, far = one_side(1, start=False)
    net.node.handover.join_predecessor(far)
    net.node.start()
    pairs = [socket.socketpair() for _ in range(fds)]
    socket.send_fds(near, [packet + b"\nGET"], [pair[0].fileno() for pair in pairs])
    for pair in pairs:
        pair[0].close()
        pair[1].setblocking(False)
    net.turn()
    near.close()
    net.turn()
    net.wait(20_000_000)
    assert net.node.is_ready() and not net.node.exchanges and not net.node.pools.connection_count
    assert all(pair[1].recv(99) == b"" or pair[1].recv(99) == b"" for pair in pairs), (
        "nobody holds their other ends"
    )
    client = net.ask("k")
    net.serve()
    assert heard(client).startswith("HTTP/1.1 200")
    net.node.clients.listening_socket.close()
