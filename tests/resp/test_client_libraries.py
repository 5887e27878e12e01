"""Runs common commands of the redis-py client, single-server and cluster, against the program."""

import json
import os
import socket
import subprocess
import sys
import threading
import time
from pathlib import Path

import pytest
import redis
from redis.cluster import RedisCluster
from resp_harness import RULES, SlotServer

from orchidgap.resp.writers import encode_array, encode_bulk
from orchidgap.simulation.loopback_network import LoopbackNetwork

ROOT = Path(__file__).parents[2]


class LoopbackSlotServers:
    """Three scripted slot servers on loopback sockets, with their own event loop in a thread."""

    def __init__(self):
        self.network = LoopbackNetwork()
        first = 101 + 3 * int(
            os.environ.get("PYTEST_XDIST_WORKER", "gw0")[2:]
        )  # other addresses for each parallel test worker
        self.servers = [SlotServer(self, number) for number in range(first, first + 3)]
        self.running = True
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()

    def run(self):
        while self.running:
            self.network.loop.run_once(20_000)

    def cluster_slots_reply(self):
        return encode_array(
            [
                encode_array(
                    [
                        b":%d\r\n" % (16384 * i // 3),
                        b":%d\r\n" % (16384 * (i + 1) // 3 - 1),
                        encode_array(
                            [
                                encode_bulk(server.address[0].encode()),
                                b":7000\r\n",
                                encode_bulk(b"id%d" % i),
                            ]
                        ),
                    ]
                )
                for i, server in enumerate(self.servers)
            ]
        )


@pytest.fixture
def address(tmp_path):
    cluster = LoopbackSlotServers()
    with socket.socket() as free:
        free.bind(("127.0.0.1", 0))
        port = free.getsockname()[1]
    (tmp_path / "n.json").write_text(
        json.dumps(
            {
                "name": "n0",
                "listen": f"127.0.0.1:{port}",
                "seed": "7",
                "settings": {"rule-sets": RULES},
                "resp": {"seeds": [server.name for server in cluster.servers]},
            }
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "orchidgap", "serve", f"--config={tmp_path / 'n.json'}"],
        cwd=ROOT,
        stderr=subprocess.DEVNULL,
    )
    for _ in range(200):
        try:
            socket.create_connection(("127.0.0.1", port), 0.2).close()
            break
        except OSError:
            time.sleep(0.05)
    yield "127.0.0.1", port
    process.terminate()
    assert process.wait(10) == 0
    cluster.running = False
    cluster.thread.join()
    for server in cluster.servers:
        cluster.network.unlisten(server.address)


@pytest.mark.parametrize("kind", [redis.Redis, RedisCluster])
@pytest.mark.parametrize("protocol", [2, 3])
def test_common_commands(address, kind, protocol):
    client = kind(host=address[0], port=address[1], protocol=protocol, socket_timeout=2)
    assert client.ping()
    assert client.set("a", "1") and client.get("a") == b"1" and client.get("none") is None
    assert client.incr("n") == 1 and client.incr("n") == 2
    assert client.delete("a") == 1 and client.get("a") is None
    with client.pipeline(transaction=False) as pipe:
        for i in range(50):
            pipe.set(f"k{i}", i)
        for i in range(50):
            pipe.get(f"k{i}")
        replies = pipe.execute()
    assert replies[:50] == [True] * 50 and replies[50:] == [b"%d" % i for i in range(50)]
    if kind is redis.Redis:
        assert client.mget("k1", "none", "k2") == [b"1", None, b"2"]
        with pytest.raises(redis.ResponseError):
            client.execute_command("MULTI")
    client.close()
