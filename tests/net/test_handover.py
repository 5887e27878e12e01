"""Handover between an old and a new process of one balancer."""

import os
import signal
import socket
import subprocess
import sys

import orjson
import pytest
from handover_harness import (
    READINESS_REQUEST,
    ProcessPair,
    listener,
    send_snapshot,
    single_process,
)
from net_scenarios import push_host_list
from node_harness import NodeHarness, received_text

from orchidgap.net.endpoints import decode_list


def test_new_process_is_ready_only_after_the_snapshot_of_the_old_one():
    """A new process starts while an old one serves. It does not become ready before it has
    received the host list and the old one's snapshot.
    """

    class PairWithChangedState(ProcessPair):
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

    pair = PairWithChangedState(serves=False)
    old, new = pair.old.node, pair.new.node
    assert not new.is_ready() and new.endpoints and new.handover.awaiting_snapshot, (
        "it has a list, and waits for the snapshot"
    )
    assert (
        old.lifecycle.state.value == "serving"
        and not old.clients.accepts_elsewhere
        and new.clients.accepts_elsewhere
    )
    pair.turn()
    assert (
        new.is_ready()
        and not new.handover.awaiting_snapshot
        and old.clients.accepts_elsewhere
        and not new.clients.accepts_elsewhere
    )
    assert (
        host_states(pair.new) == host_states(pair.old) and host_states(pair.new)["c1"] == "draining"
    )
    c0 = new.balancer.hosts["c0"]
    assert (
        c0.concurrency_limit,
        c0.smoothed_latency_us,
        c0.retry_budget,
        c0.limit_decreased_at_us,
    ) == (3.5, 70_000, 9.0, pair.old.now - 5)
    assert new.balancer.placement.ranges.range_ends == old.balancer.placement.ranges.range_ends
    pair.end()


def host_states(net):
    return {id: host.state for id, host in net.node.balancer.hosts.items()}


def test_new_process_serves_without_a_snapshot_after_the_timeout():
    """The old process never answers the new one. The new one serves without a snapshot after the
    snapshot timeout.
    """
    net, test_end, node_end = single_process(2, start=False)
    net.node.handover.join_predecessor(node_end)
    net.node.start()
    net.advance(1_490_000)
    assert not net.node.is_ready()
    net.advance(20_000)
    assert net.node.is_ready() and not net.node.clients.accepts_elsewhere
    test_end.close()
    net.turn()
    assert net.node.handover.predecessor is None and net.node.descriptor_limit == 1024


DRAINED = [NodeHarness.host_entry(0, "Terminating"), NodeHarness.host_entry(1)]
READY = [NodeHarness.host_entry(0), NodeHarness.host_entry(1), NodeHarness.host_entry(2)]


def endpoints_in(hosts):
    _, _, entries, endpoints = decode_list({"seq": 1, "whole": True, "hosts": hosts})
    return list(zip(entries, endpoints))


@pytest.mark.parametrize("is_discovery_first", [True, False])
def test_the_list_of_the_old_process_never_replaces_one_that_discovery_told(is_discovery_first):
    """The old process, held up, sent a list without the latest drains, and that stayed for good."""
    net, old_process, node_end = single_process(2, start=False)
    net.node.handover.join_predecessor(node_end)
    net.node.start()
    if is_discovery_first:
        push_host_list(net, 13, True, DRAINED)
    send_snapshot(old_process, endpoints_in(READY))
    net.turn()
    if not is_discovery_first:
        assert host_states(net) == {"c0": "up", "c1": "up", "c2": "up"}
        push_host_list(net, 13, True, DRAINED)
    assert net.node.is_ready() and host_states(net) == {"c0": "draining", "c1": "up"}
    assert set(net.node.pools.by_host) == {"c0", "c1"}
    push_host_list(net, 14, False, [NodeHarness.host_entry(2)])
    assert host_states(net) == {"c0": "draining", "c1": "up", "c2": "up"}
    old_process.close()


def test_the_list_of_the_old_process_is_used_while_discovery_fails():
    """It is newer than that of the configuration."""
    net, old_process, node_end = single_process(3, start=False)
    net.node.handover.join_predecessor(node_end)
    net.node.start()
    push_host_list(net, 13, True, [], status=500)
    send_snapshot(old_process, endpoints_in(DRAINED))
    net.turn()
    assert net.node.is_ready() and host_states(net) == {"c0": "draining", "c1": "up"}
    old_process.close()


def test_idle_connections_are_handed_over_without_being_closed():
    """The old process shuts down. Its idle connections, from clients and to hosts, are handed over
    to the new one, and none is closed.
    """
    pair = ProcessPair(1)
    idle_clients = [pair.old.send_request(f"k{i}") for i in range(5)]
    busy, unused_client = pair.old.send_request("busy"), pair.old.client()
    for client, host_sock in zip(idle_clients, pair.old.host_sockets()):
        pair.old.answer_from_host(host_sock)
        assert "close" not in received_text(client)
    dialled = len(pair.old.dialled)
    pair.old.node.begin_shutdown()
    pair.advance(10_000)
    assert (
        len(pair.new.node.clients.open_clients) == 6
        and len(pair.old.node.clients.open_clients) == 1
    )
    assert (
        len(pair.new.node.pools.by_host["c0"].idle) == 5
        and not pair.old.node.pools.by_host["c0"].idle
    )
    for i, client in enumerate([*idle_clients, unused_client]):
        assert received_text(client) is None
        client.sendall(
            f"GET /read/n{i} HTTP/1.1\r\nRequest-Id: n{i}\r\nRequest-Timeout: 1\r\n\r\n".encode()
        )
    pair.turn()
    assert len(pair.new.node.exchanges) == 6 and len(pair.old.dialled) == dialled + 1, (
        "five host connections were handed over"
    )
    pair.old.answer_all()
    assert received_text(busy).startswith("HTTP/1.1 200") and received_text(busy) is None, (
        "this client's connection is not closed either"
    )
    pair.advance(10_000)
    assert len(pair.new.node.clients.open_clients) == 7 and not pair.old.node.clients.open_clients
    pair.turn()
    assert not pair.old.loop.running, "all connections were handed over"
    pair.new.turn()
    for client in [*idle_clients, unused_client]:
        assert received_text(client).startswith("HTTP/1.1 200")
    pair.end()


@pytest.mark.parametrize(("born", "is_adopted"), [(0, True), (5_000, False)])
def test_connections_to_a_host_that_has_restarted_are_not_taken_over(born, is_adopted):
    """The older process of the host, still ending at its address, got new requests on them."""
    pair = ProcessPair(1)
    pair.old.send_request("k")
    [host_sock] = pair.old.host_sockets()
    pair.old.answer_from_host(host_sock)
    assert len(pair.old.node.pools.by_host["c0"].idle) == 1
    hosts = [NodeHarness.host_entry(0, born=born), NodeHarness.host_entry(9)]
    _, _, entries, endpoints = decode_list({"seq": 50, "whole": True, "hosts": hosts})
    pair.new.node.on_list(True, entries, endpoints)
    pair.old.node.begin_shutdown()
    pair.advance(15_000)
    assert not pair.old.node.pools.by_host["c0"].idle
    assert len(pair.new.node.pools.by_host["c0"].idle) == is_adopted
    pair.end()


def test_attempts_and_request_ids_of_both_processes_count():
    """Both processes have requests at one host. Each counts the other's attempts at that host, and
    rejects request ids that are open in the other.
    """
    pair = ProcessPair(1)
    for i in range(4):
        pair.old.send_request(f"k{i}")
    pair.advance(10_000)
    host = pair.new.node.balancer.hosts["c0"]
    assert (host.in_flight, host.in_flight_elsewhere, host.total_in_flight) == (0, 4, 4)
    assert received_text(pair.new.send_request("k1")).startswith("HTTP/1.1 409"), (
        "the id is open in the other process"
    )
    host.concurrency_limit = 4.0
    pair.new.send_request("k9")
    assert pair.old.dialled[-1][0] == 109, "the cache has no capacity left: sent to the origin"
    for host_sock in pair.old.host_sockets():
        pair.old.answer_from_host(host_sock)
    pair.advance(10_000)
    assert host.in_flight_elsewhere == 0 and received_text(pair.new.send_request("k1")) is None
    pair.end()


def test_both_processes_share_one_limit_of_descriptors():
    """The old and the new process share one limit of descriptors. Their own limits never add up to
    more than that.
    """

    class PairWithClients(ProcessPair):
        def prepare(self):
            self.clients = [self.old.send_request(f"k{i}") for i in range(90)]
            self.old.answer_all()

    pair = PairWithClients(1, sockets=256)
    pair.advance(10_000)
    old, new = pair.old.node, pair.new.node
    assert (
        old.descriptor_limit + new.descriptor_limit <= 256
        and old.descriptor_limit >= old.descriptors_needed() >= 90
    )
    for _ in range(4):
        pair.old.answer_all()
        pair.advance(10_000)
    old.begin_shutdown()
    while pair.old.loop.running:
        assert old.descriptor_limit + new.descriptor_limit <= 256
        pair.advance(5_000)
    assert (
        len(new.clients.open_clients) > 20
        and not old.clients.open_clients
        and new.descriptor_limit == 256
    )
    pair.end()


def test_old_process_serves_again_when_the_new_one_dies():
    """The new process dies while the old one serves. The old one accepts clients again, and may
    use all descriptors.
    """
    pair = ProcessPair(1)
    assert pair.old.node.clients.accepts_elsewhere
    pair.new.send_request("k")
    pair.advance(10_000)
    assert pair.old.node.balancer.hosts["c0"].in_flight_elsewhere == 1
    pair.new.node.handover.predecessor.channel.close()
    pair.old.turn()
    old = pair.old.node
    assert (
        not old.clients.accepts_elsewhere
        and not old.lifecycle.successor_accepts
        and old.descriptor_limit == 1024
        and old.is_ready()
    )
    assert old.balancer.hosts["c0"].in_flight_elsewhere == 0 and not old.handover.is_request_open(
        b"r-k"
    )
    client = pair.old.send_request("k2")
    pair.old.answer_all()
    assert received_text(client).startswith("HTTP/1.1 200")
    pair.end()


def test_new_process_dies_while_the_old_one_shuts_down():
    """The new process dies after the old one has begun to shut down. The old one answers its open
    requests, and ends.
    """
    pair = ProcessPair(1)
    busy = pair.old.send_request("busy")
    pair.old.node.begin_shutdown()
    pair.advance(10_000)
    pair.new.node.handover.predecessor.channel.close()
    pair.old.turn()
    pair.old.answer_all()
    assert "Connection: close" in received_text(busy), (
        "there is no process to hand the connection over to"
    )
    busy.close()
    pair.old.advance(500_000)
    assert not pair.old.loop.running
    pair.end()


def test_old_process_is_never_shut_down():
    """The old process is never shut down. It continues to answer on its open connections while the
    new one serves.
    """
    pair = ProcessPair(1)
    client = pair.old.send_request("k")
    pair.old.answer_all()
    pair.advance(50_000)
    client.sendall(b"GET /read/k HTTP/1.1\r\nRequest-Id: 1\r\nRequest-Timeout: 1\r\n\r\n")
    pair.turn()
    pair.old.answer_all()
    assert (
        received_text(client).endswith("v") and pair.old.loop.running and pair.new.node.is_ready()
    )
    pair.end()


def test_real_process_replaces_another_under_load(tmp_path):
    """With real processes, the connection of a client stays open throughout a handover."""
    with listener() as shared_listener, socket.create_server(("127.0.0.1", 0)) as silent_discovery:
        path, processes = tmp_path / "c", []
        path.write_bytes(
            orjson.dumps(
                {
                    "name": "n",
                    "listen": f"127.0.0.1:{shared_listener.getsockname()[1]}",
                    "seed": "7",
                    "discovery": f"127.0.0.1:{silent_discovery.getsockname()[1]}",
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
                        pass_fds=[shared_listener.fileno()],
                        env=os.environ
                        | {
                            "GW_PASSED_SOCKET": str(shared_listener.fileno()),
                            "TMPDIR": str(tmp_path),
                        },
                    )
                )

        run()
        client = socket.create_connection(shared_listener.getsockname(), timeout=20)

        def readiness_status_line():
            client.sendall(READINESS_REQUEST.replace(b"Connection: close\r\n", b""))
            return client.recv(99)[:12]

        while (
            readiness_status_line() != b"HTTP/1.1 200"
        ):  # ready once the timeout for the list has passed, as discovery does not respond
            assert processes[0].poll() is None
        run()
        while b'"event":"serving"' not in (tmp_path / "log1").read_bytes():
            assert readiness_status_line() == b"HTTP/1.1 200"
        processes[0].send_signal(signal.SIGTERM)
        while processes[0].poll() is None:
            assert readiness_status_line() in (b"HTTP/1.1 200", b"HTTP/1.1 503")
        assert readiness_status_line() == b"HTTP/1.1 200" and processes[0].wait() == 0
        client.close()
        processes[1].send_signal(signal.SIGTERM)
        assert processes[1].wait(20) == 0
