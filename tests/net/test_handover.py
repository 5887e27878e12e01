"""ProcessPair processes of one balancer that have found each other."""

import os
import signal
import socket
import subprocess
import sys

import orjson
from handover_harness import UP, ProcessPair, listener, one_side
from node_harness import NodeHarness, received_text

from orchidgap.net.endpoints import decode_list


def test_the_new_one_says_yes_only_with_what_the_old_one_knows():
    """A new process starts beside an old one. It does not say that it serves before it has the
    list and the old one's snapshot.
    """

    class Knowing(ProcessPair):
        def prepare(self):
            self.old.node.on_list(
                False,
                *decode_list(
                    {
                        "seq": 8,
                        "whole": False,
                        "hosts": [
                            NodeHarness.host_entry(1, health="Terminating"),
                            NodeHarness.host_entry(4),
                        ],
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
    assert host_states(two.new) == host_states(two.old) and host_states(two.new)["c1"] == "draining"
    c0 = new.balancer.hosts["c0"]
    assert (
        c0.concurrency_limit,
        c0.smoothed_latency_us,
        c0.retry_budget,
        c0.limit_decreased_at_us,
    ) == (3.5, 70_000, 9.0, two.old.now - 5)
    assert new.balancer.placement.ranges.range_ends == old.balancer.placement.ranges.range_ends
    two.end()


def host_states(net):
    return {id: host.state for id, host in net.node.balancer.hosts.items()}


def test_without_an_answer_from_the_old_one_it_serves_all_the_same():
    """The old process never answers the new one. After the snapshot's time the new one serves
    without.
    """
    net, near, far = one_side(2, start=False)
    net.node.handover.join_predecessor(far)
    net.node.start()
    net.advance(1_490_000)
    assert not net.node.is_ready()
    net.advance(20_000)
    assert net.node.is_ready() and not net.node.clients.accepts_elsewhere
    near.close()
    net.turn()
    assert net.node.handover.predecessor is None and net.node.descriptor_limit == 1024


def test_connections_go_over_and_no_client_and_no_host_notices():
    """The old process leaves. Its idle connections of clients and to hosts go on in the new
    one, and none is closed.
    """
    two = ProcessPair(1)
    kept = [two.old.send_request(f"k{i}") for i in range(5)]
    busy, fresh = two.old.send_request("busy"), two.old.client()
    for client, far in zip(kept, two.old.host_sockets()):
        two.old.answer_from_host(far)
        assert "close" not in received_text(client)
    dialled = len(two.old.dialled)
    two.old.node.begin_shutdown()
    two.advance(10_000)
    assert (
        len(two.new.node.clients.open_clients) == 6 and len(two.old.node.clients.open_clients) == 1
    )
    assert (
        len(two.new.node.pools.by_host["c0"].idle) == 5
        and not two.old.node.pools.by_host["c0"].idle
    )
    for i, client in enumerate([*kept, fresh]):
        assert received_text(client) is None
        client.sendall(
            f"GET /read/n{i} HTTP/1.1\r\nRequest-Id: n{i}\r\nRequest-Timeout: 1\r\n\r\n".encode()
        )
    two.turn()
    assert len(two.new.node.exchanges) == 6 and len(two.old.dialled) == dialled + 1, (
        "five links came along"
    )
    two.old.answer_all()
    assert received_text(busy).startswith("HTTP/1.1 200") and received_text(busy) is None, (
        "it is not told to go either"
    )
    two.advance(10_000)
    assert len(two.new.node.clients.open_clients) == 7 and not two.old.node.clients.open_clients
    two.turn()
    assert not two.old.loop.running, "all have gone over"
    two.new.turn()
    for client in [*kept, fresh]:
        assert received_text(client).startswith("HTTP/1.1 200")
    two.end()


def test_what_both_have_out_counts_at_a_host_and_an_id_is_open_in_both():
    """Both processes have requests at one host. Each counts the other's there, and refuses ids
    that are open in the other.
    """
    two = ProcessPair(1)
    for i in range(4):
        two.old.send_request(f"k{i}")
    two.advance(10_000)
    host = two.new.node.balancer.hosts["c0"]
    assert (host.in_flight, host.in_flight_elsewhere, host.total_in_flight) == (0, 4, 4)
    assert received_text(two.new.send_request("k1")).startswith("HTTP/1.1 409"), (
        "it is open in the other"
    )
    host.concurrency_limit = 4.0
    two.new.send_request("k9")
    assert two.old.dialled[-1][0] == 109, "no room there: it went to the origin"
    for far in two.old.host_sockets():
        two.old.answer_from_host(far)
    two.advance(10_000)
    assert host.in_flight_elsewhere == 0 and received_text(two.new.send_request("k1")) is None
    two.end()


def test_descriptors_are_held_by_the_two_together():
    """Old and new process share one allowance of descriptors. At no moment may they hold more
    than that together.
    """

    class Busy(ProcessPair):
        def prepare(self):
            self.clients = [self.old.send_request(f"k{i}") for i in range(90)]
            self.old.answer_all()

    two = Busy(1, sockets=256)
    two.advance(10_000)
    old, new = two.old.node, two.new.node
    assert (
        old.descriptor_limit + new.descriptor_limit <= 256
        and old.descriptor_limit >= old.descriptors_needed() >= 90
    )
    for _ in range(4):
        two.old.answer_all()
        two.advance(10_000)
    old.begin_shutdown()
    while two.old.loop.running:
        assert old.descriptor_limit + new.descriptor_limit <= 256
        two.advance(5_000)
    assert (
        len(new.clients.open_clients) > 20
        and not old.clients.open_clients
        and new.descriptor_limit == 256
    )
    two.end()


def test_a_new_one_that_dies_leaves_all_as_it_was():
    """The new process dies while the old one serves. The old one accepts clients again, with
    all descriptors.
    """
    two = ProcessPair(1)
    assert two.old.node.clients.accepts_elsewhere
    two.new.send_request("k")
    two.advance(10_000)
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
    client = two.old.send_request("k2")
    two.old.answer_all()
    assert received_text(client).startswith("HTTP/1.1 200")
    two.end()


def test_a_new_one_that_dies_while_the_old_one_leaves():
    """The new process dies after the old one was told to end. The old one still answers what
    is open, and ends.
    """
    two = ProcessPair(1)
    busy = two.old.send_request("busy")
    two.old.node.begin_shutdown()
    two.advance(10_000)
    two.new.node.handover.predecessor.channel.close()
    two.old.turn()
    two.old.answer_all()
    assert "Connection: close" in received_text(busy), "nobody is there to take the connection"
    busy.close()
    two.old.advance(500_000)
    assert not two.old.loop.running
    two.end()


def test_an_old_one_that_never_goes():
    """The old process is never told to end. It goes on answering its kept connections beside
    the new one.
    """
    two = ProcessPair(1)
    client = two.old.send_request("k")
    two.old.answer_all()
    two.advance(50_000)
    client.sendall(b"GET /read/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\n\r\n")
    two.turn()
    two.old.answer_all()
    assert received_text(client).endswith("v") and two.old.loop.running and two.new.node.is_ready()
    two.end()


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
                    "known": {"seq": 1, "whole": True, "hosts": [NodeHarness.host_entry(0)]},
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
