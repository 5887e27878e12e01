"""Case 6: replies that were sent long ago take the balancer over its memory limit."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from pathlib import Path

import rig2
import slots2

SERVERS = 3
CLIENTS = 12
ROSTERS = 24  # in one command
ROSTER_BYTES = 60_000  # the page allows 64 KiB, and up to 32 MB for some
SHORT_BYTES = 600  # without the disruption
SECONDS = 30.0
READ_S = (0.032, 0.058)
READ_LIMIT = 1 << 22


class Client:
    """A client that reads some rosters at a time and waits for each reply."""

    def __init__(self, number: int) -> None:
        """Begin with nothing sent."""
        self.number = number
        self.sent = 0
        self.whole = 0
        self.refused = 0

    async def play(self, port: int, end: float) -> None:
        """Send one command at a time on one connection, and read its whole reply."""
        reader, writer = await asyncio.open_connection(rig2.LOOPBACK, port, limit=READ_LIMIT)
        with suppress(OSError, asyncio.IncompleteReadError):
            while time.monotonic() < end:
                keys = [
                    b"roster-%d-%d-%d" % (self.number, self.sent, index) for index in range(ROSTERS)
                ]
                self.sent += 1
                writer.write(slots2.command(b"MGET", *keys))
                head = await slots2.read_reply(reader)
                if head.startswith(b"*"):
                    for _ in range(ROSTERS):
                        await slots2.read_reply(reader)
                    self.whole += 1
                else:
                    self.refused += 1
        writer.close()


async def serve(server: slots2.SlotServer, words: list[bytes]) -> bytes:
    """Answer a read of one or more rosters."""
    await asyncio.sleep(random.uniform(*READ_S))
    size = ROSTER_BYTES if rig2.with_trouble() else SHORT_BYTES
    rosters = [slots2.bulk(b"v" * size) for _ in words[1:]]
    if words[0].upper() == b"GET":
        return rosters[0]
    return b"*%d\r\n" % len(rosters) + b"".join(rosters)


async def watch_memory(balancer: rig2.Balancer, record: rig2.Record, breaks: list[str]) -> None:
    """Do what the platform does: kill the balancer when it is over its limit."""
    limit_kb = balancer.config["limits"]["memory_mb"] * 1024
    shown = time.monotonic()
    while balancer.is_alive():
        used_kb = balancer.status_kb("RssAnon")
        if time.monotonic() - shown > 0.25:
            shown = time.monotonic()
            record("memory", mb=used_kb // 1024)
        if used_kb > limit_kb:
            breaks.append(f"over {limit_kb // 1024} MB: the platform kills it at {used_kb} KB")
            record("killed by the platform", mb=used_kb // 1024)
            balancer.stop()
        await asyncio.sleep(0.005)


async def play(record: rig2.Record, folder: Path) -> list[str]:
    """Play the case."""
    discovery = rig2.Discovery(record)
    servers = [slots2.SlotServer(f"slots-{n}", serve) for n in range(SERVERS)]
    slots2.share_slots(servers)
    for server in servers:
        await server.start()
        discovery.put(server.entry())
    await discovery.start()
    config = rig2.balancer_config(discovery, slots2.resp_settings())
    config["resp"] = slots2.resp_part(servers)
    balancer = rig2.Balancer(folder, config, record)
    breaks: list[str] = []
    clients = [Client(number) for number in range(CLIENTS)]
    try:
        balancer.start()
        await slots2.wait_serving(balancer)
        watching = asyncio.create_task(watch_memory(balancer, record, breaks))
        end = time.monotonic() + SECONDS
        await asyncio.gather(*(client.play(balancer.port, end) for client in clients))
        record("memory at most", kb=balancer.status_kb("VmHWM"))
        watching.cancel()
    finally:
        balancer.stop()
    for client in clients:
        answered = client.whole + client.refused
        record("client", number=client.number, sent=client.sent, whole=client.whole)
        if client.sent > answered:
            breaks.append(f"client {client.number}: {client.sent - answered} command has no answer")
    if not sum(client.whole for client in clients):
        raise rig2.CouldNotRunError("nothing was answered")
    return breaks


if __name__ == "__main__":
    rig2.run_case(play, Path(__file__).parent)
