"""Case 8: after an upgrade the new process sends work to hosts that it was told are draining."""

from __future__ import annotations

import asyncio
import random
import signal
import socket
import time
from contextlib import suppress
from pathlib import Path

import rig2

HOSTS = 9
CLIENTS = 12
DRAINING = 2
READY_S = 6.0
HELD_UP_S = 0.14  # the page has up to 0.15 s
NEWS_S = 2.0  # after the new process's yes, discovery's news counts as told
SILENCE_S = 6.0  # after a watch fell silent, what it misses counts as told
GRACE_S = 0.25 + 0.05  # of the drain, with the slack on sockets
JUDGED_S = 6.0


class Deployment:
    """The stand-ins of the case, and what the hosts got."""

    def __init__(self, record: rig2.Record) -> None:
        """Begin with nothing sent."""
        self.record = record
        self.rng = random.Random(1)
        self.received: list[tuple[float, str, str]] = []
        self.statuses: dict[int, int] = {}
        self.ends = False

    async def answer(
        self, host: rig2.HttpHost, request: rig2.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request after its work."""
        self.received.append((time.monotonic(), host.name, request.id))
        await asyncio.sleep(self.rng.uniform(0.032, 0.058) / 3)
        writer.write(rig2.response(200, f"value of {request.target}".encode()))

    async def client(self, number: int, port: int) -> None:
        """Send reads one after another, and connect again where the connection has ended."""
        count = 0
        while not self.ends:
            with suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                reader, writer = await asyncio.open_connection(rig2.LOOPBACK, port)
                fields: dict[str, str] = {}
                while not self.ends and fields.get("connection", "").lower() != "close":
                    count += 1
                    writer.write(
                        f"GET /volunteer-view/{self.rng.randrange(4000):08x} HTTP/1.1\r\n"
                        f"Host: service.internal\r\nRequest-Id: {number:02x}{count:08x}\r\n"
                        "Request-Class: volunteer-view\r\nTenant: sevanam\r\n"
                        "Request-Timeout: 1.500\r\n\r\n".encode()
                    )
                    status, fields, _ = await asyncio.wait_for(rig2.read_response(reader), 3)
                    self.statuses[status] = self.statuses.get(status, 0) + 1
                    await asyncio.sleep(self.rng.uniform(0.0, 0.02))
                writer.close()
            await asyncio.sleep(0.01)


async def says_yes(admin: str) -> bool:
    """Return whether the process with this second address can serve."""
    host, _, port = admin.rpartition(":")
    with suppress(OSError):
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"health\n")
        line = await asyncio.wait_for(reader.readline(), 2)
        writer.close()
        return line.startswith(b"SUCCESS")
    return False


async def wait_yes(admin: str) -> None:
    """Wait until the process with this second address says yes."""
    end = time.monotonic() + READY_S
    while not await says_yes(admin):
        if time.monotonic() > end:
            raise rig2.CouldNotRunError("the process is not ready in time")
        await asyncio.sleep(0.01)


def clients_listener() -> socket.socket:
    """Return the listening socket that the platform holds for all processes."""
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((rig2.LOOPBACK, 0))
    listener.listen(512)
    return listener


async def hold_up(old: rig2.Balancer, new: rig2.Balancer) -> None:
    """Have the old process get no core for a moment, as the new one begins."""
    host, _, port = new.config["admin_addr"].rpartition(":")
    end = time.monotonic() + READY_S
    while time.monotonic() < end:
        with suppress(OSError):
            socket.create_connection((host, int(port)), 0.1).close()
            break
        time.sleep(0.0005)
    old.send_signal(signal.SIGSTOP)
    await asyncio.sleep(HELD_UP_S)
    old.send_signal(signal.SIGCONT)


async def play(record: rig2.Record, folder: Path) -> list[str]:
    """Play the case."""
    deployment = Deployment(record)
    discovery = rig2.Discovery(record)
    hosts = [rig2.HttpHost(f"s-{n:03d}", "full-node", deployment.answer) for n in range(HOSTS)]
    hosts.append(rig2.HttpHost("s-origin", "origin", deployment.answer))
    for host in hosts:
        await host.start()
        discovery.put(host.entry())
    await discovery.start()
    listener = clients_listener()
    port = listener.getsockname()[1]
    old, new = (
        rig2.Balancer(
            folder,
            rig2.balancer_config(
                discovery,
                rig2.kochi_settings(),
                listen=f"{rig2.LOOPBACK}:{port}",
                admin_addr=f"{rig2.LOOPBACK}:{rig2.free_port()}",
            ),
            record,
        )
        for _ in range(2)
    )
    drained = [host.name for host in hosts[:DRAINING]]
    old.log, new.log = folder / "old.log", folder / "new.log"
    try:
        old.write_config()
        old.start(listener)
        await wait_yes(old.config["admin_addr"])
        clients = [
            asyncio.create_task(deployment.client(number, port)) for number in range(CLIENTS)
        ]
        await asyncio.sleep(2)
        silent_since = time.monotonic()
        if rig2.with_trouble():
            discovery.mute_watches()
        for host in hosts[:DRAINING]:
            host.health = "Terminating"
            discovery.put(host.entry())
        await asyncio.sleep(0.3)
        new.write_config()
        new.start(listener)
        if rig2.with_trouble():
            await hold_up(old, new)
        await wait_yes(new.config["admin_addr"])
        yes = time.monotonic()
        record("new process says yes")
        old.send_signal(signal.SIGTERM)
        await rig2.until(lambda: not old.is_alive(), 3.2, "the old process did not end")
        told = max(yes + NEWS_S, silent_since + SILENCE_S)
        await asyncio.sleep(max(0.0, told + GRACE_S + JUDGED_S - time.monotonic()))
        deployment.ends = True
        await asyncio.gather(*clients)
    finally:
        old.stop()
        new.stop()
        listener.close()
    for line in new.log_lines():
        record("log of the new process", line=line[:160])
    for when, name, request_id in deployment.received:
        if name in drained:
            record("draining host", at=f"{when - record.begun:.4f}", host=name, id=request_id)
    record("answers", told=f"{told - record.begun:.4f}", statuses=deployment.statuses)
    if deployment.statuses.get(200, 0) < 100:
        raise rig2.CouldNotRunError("hardly a request was served")
    return [
        f"{request_id} came to {name} {when - told:.3f} s after the balancer counts as told"
        for when, name, request_id in deployment.received
        if name in drained and when > told + GRACE_S
    ]


if __name__ == "__main__":
    rig2.run_case(play, Path(__file__).parent)
