"""Case 10: writes of a client that has gone are begun long after its close."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from pathlib import Path

import rig2
import slots2

SERVERS = 3
ORDINARY = 40  # reads of each client before its pipeline, one after another
COMMANDS = 3_000
ENTRY_BYTES = 1_000
HUNG_S = 1.5
ROUNDS = 3
LATEST_S = 0.1 + 0.05  # an attempt may begin after the close, with the slack on sockets
WRITE_S = (0.074, 0.130)
READ_S = (0.032, 0.058)


class Cluster:
    """The slot servers, and which of them hangs."""

    def __init__(self, record: rig2.Record) -> None:
        """Make the servers; `start` has them listen."""
        self.record = record
        self.servers = [slots2.SlotServer(f"slots-{n}", self.serve) for n in range(SERVERS)]
        self.hangs_until = 0.0
        slots2.share_slots(self.servers)

    async def serve(self, server: slots2.SlotServer, words: list[bytes]) -> bytes:
        """Run one command; the first server may stand still."""
        if server is self.servers[0]:
            await asyncio.sleep(max(0.0, self.hangs_until - time.monotonic()))
        is_write = words[0].upper() == b"RPUSH"
        await asyncio.sleep(random.uniform(*(WRITE_S if is_write else READ_S)))
        return b":1\r\n" if is_write else b"$-1\r\n"

    def key(self, server: slots2.SlotServer, name: bytes) -> bytes:
        """Return a key of this server."""
        number = 0
        while self.servers[0].owner_of(slots2.slot_of(b"%b-%d" % (name, number))) is not server:
            number += 1
        return b"%b-%d" % (name, number)

    def hang(self) -> None:
        """Have the first server stand still for a while."""
        self.hangs_until = time.monotonic() + HUNG_S
        self.record("server hangs", name=self.servers[0].name, seconds=HUNG_S)


class Client:
    """A client that sends much at once and goes."""

    def __init__(self, number: int, cluster: Cluster, port: int) -> None:
        """Make its pipeline: one read of the first server, then writes of the others."""
        self.name = b"client%d" % number
        self.cluster = cluster
        self.port = port
        self.closed_at = 0.0
        self.replies = 0
        first, *others = cluster.servers
        commands = [slots2.command(b"GET", cluster.key(first, self.name))]
        for index in range(COMMANDS):
            key = cluster.key(others[index % len(others)], b"%b-%d" % (self.name, index))
            commands.append(slots2.command(b"RPUSH", key, b"x" * ENTRY_BYTES))
        self.pipeline = b"".join(commands)

    def play(self) -> None:
        """Read some keys, send the pipeline, and close or wait for the replies."""
        with socket.create_connection((rig2.LOOPBACK, self.port), 20) as sock:
            replies = sock.makefile("rb")
            for index in range(ORDINARY):
                sock.sendall(slots2.command(b"GET", b"%b-read-%d" % (self.name, index)))
                self.replies += replies.readline() != b""
            if rig2.with_trouble():
                self.cluster.hang()
            sock.sendall(self.pipeline)
            if not rig2.with_trouble():
                for _ in range(1 + COMMANDS):
                    self.replies += replies.readline() != b""
            replies.close()
        self.closed_at = time.monotonic()

    def late(self) -> list[str]:
        """Return its writes that began at a server later than they may."""
        return [
            f"{key!r} came to {server.name} {when - self.closed_at:.3f} s after the close"
            for server in self.cluster.servers
            for when, name, key in server.received
            if name == b"RPUSH"
            and key.startswith(self.name + b"-")
            and when > self.closed_at + LATEST_S
        ]


async def play(record: rig2.Record, folder: Path) -> list[str]:
    """Play the case."""
    cluster = Cluster(record)
    discovery = rig2.Discovery(record)
    for server in cluster.servers:
        await server.start()
        discovery.put(server.entry())
    await discovery.start()
    config = rig2.balancer_config(discovery, slots2.resp_settings())
    config["resp"] = slots2.resp_part(cluster.servers)
    balancer = rig2.Balancer(folder, config, record)
    breaks: list[str] = []
    replies = 0
    try:
        balancer.start()
        await slots2.wait_serving(balancer)
        for number in range(ROUNDS):
            client = Client(number, cluster, balancer.port)
            await asyncio.wait_for(asyncio.to_thread(client.play), 25)
            record("client closed", name=client.name, replies=client.replies)
            await asyncio.sleep(HUNG_S + 1.5)
            breaks += client.late()
            replies += client.replies
    finally:
        balancer.stop()
    for server in cluster.servers:
        for when, name, key in server.received:
            if name == b"RPUSH":
                record("write", at=f"{when - record.begun:.4f}", server=server.name, key=key)
    if replies < ROUNDS * ORDINARY:
        raise rig2.CouldNotRunError("the servers were hardly used")
    return breaks


if __name__ == "__main__":
    rig2.run_case(play, Path(__file__).parent)
