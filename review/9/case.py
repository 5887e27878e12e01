"""Case 9: a balancer that starts while discovery is down sends work to a server that drains."""

from __future__ import annotations

import asyncio
import random
import signal
import time
from contextlib import suppress
from pathlib import Path

import rig2
import slots2

SERVERS = 3
CLIENTS = 4
GRACE_S = 0.25  # of the drain
SLACK_S = 0.05  # on sockets
BEFORE_S = 2.0
DOWN_S = 8.0  # of discovery
SERVED_S = 5.0  # of the time after the start that is judged


async def serve(server: slots2.SlotServer, words: list[bytes]) -> bytes:
    """Run one command."""
    await asyncio.sleep(random.uniform(0.032, 0.058) / 3)
    return slots2.bulk(b"roster") if words[0].upper() == b"GET" else b"+OK\r\n"


class Clients:
    """Clients that read and write keys of all slots, one command at a time."""

    def __init__(self, record: rig2.Record, port: int) -> None:
        """Start with nothing sent."""
        self.record = record
        self.port = port
        self.replies: dict[bytes, int] = {}

    async def client(self, number: int, end: float) -> None:
        """Send commands until the end; connect again where the connection has ended."""
        rng = random.Random(number)
        while time.monotonic() < end:
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(rig2.LOOPBACK, self.port)
                while time.monotonic() < end:
                    key = b"event-%d" % rng.randrange(10_000)
                    words = (b"GET", key) if rng.random() < 0.9 else (b"SET", key, b"x")
                    writer.write(slots2.command(*words))
                    reply = await asyncio.wait_for(slots2.read_reply(reader), 4)
                    self.replies[reply[:11]] = self.replies.get(reply[:11], 0) + 1
                    await asyncio.sleep(rng.uniform(0.005, 0.02))
                writer.close()
            await asyncio.sleep(0.05)

    async def play(self, seconds: float) -> None:
        """Have all clients send for some time."""
        end = time.monotonic() + seconds
        await asyncio.gather(*(self.client(number, end) for number in range(CLIENTS)))


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
    clients = Clients(record, balancer.port)
    drained = servers[-1]
    breaks: list[str] = []
    try:
        balancer.start()
        await slots2.wait_serving(balancer)
        await clients.play(BEFORE_S)
        served_before = len(drained.received)
        drained.health = "Terminating"
        discovery.put(drained.entry())
        told = time.monotonic()
        await clients.play(1.0)
        breaks += late_work(drained, told, told + 1.0, "the running balancer")
        discovery.silent = rig2.with_trouble()
        down_until = time.monotonic() + DOWN_S
        record("discovery", silent=discovery.silent)
        balancer.send_signal(signal.SIGKILL)
        balancer.stop()
        balancer.config["known"] = discovery.whole()  # as this balancer last had it
        balancer.write_config()
        started = time.monotonic()
        balancer.start()
        await clients.play(SERVED_S)
        judged_until = min(time.monotonic(), down_until)
        breaks += late_work(drained, started, judged_until, "the balancer that was started")
        record("replies", kinds=clients.replies, before=served_before)
        if not served_before or b"roster" not in clients.replies:
            raise rig2.CouldNotRunError("the servers were hardly used")
    finally:
        balancer.stop()
    for when, name, key in drained.received:
        record("drained server", at=f"{when - record.begun:.4f}", command=name, key=key)
    return breaks


def late_work(server: slots2.SlotServer, told: float, end: float, who: str) -> list[str]:
    """Return the commands that a draining server got after the grace."""
    return [
        f"{name!r} {key!r} came to {server.name} {when - told:.3f} s after {who} was told"
        for when, name, key in server.received
        if told + GRACE_S + SLACK_S < when <= end
    ]


if __name__ == "__main__":
    rig2.run_case(play, Path(__file__).parent)
