"""Case 6: many commands at once take the balancer over its memory limit."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import suppress
from pathlib import Path

import rig2
import slots2

CLIENTS = 30
ORDINARY = 40  # commands of each client before that, one after another
COMMANDS = 1_000
ONE_AT_A_TIME = 30  # commands of each client where nothing is sent at once
VALUE_BYTES = 15_000
MEMORY_MB = 128  # the page has 192 at most
WRITE_S = (0.074, 0.130)
READ_S = (0.032, 0.058)
SERVERS = 3


class Client:
    """One client, which writes signups and waits for the reply to each."""

    def __init__(self, number: int, record: rig2.Record) -> None:
        """Start with nothing sent."""
        self.number = number
        self.record = record
        self.sent = 0
        self.replies: list[bytes] = []

    def command(self) -> bytes:
        """Return one signup for this client's event."""
        return slots2.command(b"RPUSH", b"event-%d" % self.number, b"v" * VALUE_BYTES)

    async def play(self, port: int, at_once: bool) -> None:
        """Send the commands and read the replies; all at once, or one after another."""
        reader, writer = await asyncio.open_connection(rig2.LOOPBACK, port, limit=1 << 20)
        with suppress(OSError, asyncio.IncompleteReadError):
            for index in range(ORDINARY):
                writer.write(slots2.command(b"GET", b"volunteer-%d-%d" % (self.number, index)))
                self.sent += 1
                self.replies.append(await slots2.read_reply(reader))
            if at_once:
                sending = asyncio.create_task(self.send_all(writer))
                for _ in range(COMMANDS):
                    self.replies.append(await slots2.read_reply(reader))
                await sending
            else:
                for _ in range(ONE_AT_A_TIME):
                    writer.write(self.command())
                    self.sent += 1
                    self.replies.append(await slots2.read_reply(reader))
        writer.close()
        self.record("client", number=self.number, sent=self.sent, answered=len(self.replies))

    async def send_all(self, writer: asyncio.StreamWriter) -> None:
        """Send all commands without waiting for replies."""
        with suppress(OSError):
            for _ in range(COMMANDS):
                if writer.is_closing():
                    return
                writer.write(self.command())
                await writer.drain()
                self.sent += 1


async def watch_memory(balancer: rig2.Balancer, record: rig2.Record, breaks: list[str]) -> None:
    """Do what the platform does: kill the balancer when it is over its limit."""
    limit_kb = balancer.config["limits"]["memory_mb"] * 1024
    shown = time.monotonic()
    while balancer.is_alive():
        used_kb = balancer.status_kb("VmRSS")
        if time.monotonic() - shown > 0.1:
            shown = time.monotonic()
            record("memory", mb=used_kb // 1024)
        if used_kb > limit_kb:
            breaks.append(f"over {limit_kb // 1024} MB: the platform kills it at {used_kb} KB")
            record("killed by the platform", mb=used_kb // 1024)
            balancer.stop()
        await asyncio.sleep(0.005)


async def serve(server: slots2.SlotServer, words: list[bytes]) -> bytes:
    """Run one command."""
    is_write = words[0].upper() == b"RPUSH"
    await asyncio.sleep(random.uniform(*(WRITE_S if is_write else READ_S)))
    return b":1\r\n" if is_write else b"$-1\r\n"


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
    config["limits"]["memory_mb"] = MEMORY_MB
    config["resp"] = slots2.resp_part(servers)
    balancer = rig2.Balancer(folder, config, record)
    balancer.start()
    breaks: list[str] = []
    clients = [Client(number, record) for number in range(CLIENTS)]
    try:
        await slots2.wait_serving(balancer)
        watching = asyncio.create_task(watch_memory(balancer, record, breaks))
        plays = [client.play(balancer.port, rig2.with_trouble()) for client in clients]
        await asyncio.wait_for(asyncio.gather(*plays), 60)
        record("memory at most", kb=balancer.status_kb("VmHWM"))
        watching.cancel()
    finally:
        balancer.stop()
    unanswered = sum(client.sent - len(client.replies) for client in clients)
    if unanswered:
        breaks.append(f"{unanswered} commands that were written whole have no answer")
    kinds: dict[bytes, int] = {}
    for client in clients:
        for reply in client.replies:
            kinds[reply[:12]] = kinds.get(reply[:12], 0) + 1
    record("replies", kinds=kinds)
    if not sum(len(client.replies) for client in clients) and not breaks:
        raise rig2.CouldNotRunError("nothing was answered")
    return breaks


if __name__ == "__main__":
    rig2.run_case(play, Path(__file__).parent)
