"""Case 6: a cache host's second answer reaches the client of another request."""

from __future__ import annotations

import asyncio
import random
import time
from pathlib import Path

import rig2

SECONDS = 20.0
CLIENTS = 4
SPOILT_RATIO = 0.05
SECOND_ANSWER_MS = (2.0, 6.0)


class Deployment:
    """The stand-ins of the case, and what its clients saw."""

    def __init__(self, record: rig2.Record) -> None:
        """Begin with nothing sent."""
        self.record = record
        self.rng = random.Random(1)
        self.answers: dict[str, set[bytes]] = {}  # by request id: the bodies made for it
        self.breaks: list[str] = []
        self.second_answers = 0
        self.tasks: set[asyncio.Task[None]] = set()

    async def answer(
        self, host: rig2.HttpHost, request: rig2.Request, writer: asyncio.StreamWriter
    ) -> None:
        """Answer a request after its work; some answers come a second time."""
        await asyncio.sleep(self.rng.uniform(0.032, 0.058) / 3)
        body = f"value of {request.target} made for {request.id} by {host.name}".encode()
        self.answers.setdefault(request.id, set()).add(body)
        writer.write(rig2.response(200, body, "Cache-Result: hit"))
        if rig2.with_trouble() and host.kind != "origin" and self.rng.random() < SPOILT_RATIO:
            task = asyncio.create_task(self.answer_again(request, body, writer))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def answer_again(
        self, request: rig2.Request, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Send the same answer once more, some milliseconds late."""
        late_ms = self.rng.uniform(*SECOND_ANSWER_MS)
        await asyncio.sleep(late_ms / 1000)
        self.second_answers += 1
        self.record("second answer", id=request.id, late_ms=f"{late_ms:.1f}")
        writer.write(rig2.response(200, body, "Cache-Result: hit"))

    async def client(self, number: int, port: int, end: float) -> None:
        """Send reads one after another on one connection, and check what each is answered."""
        reader, writer = await asyncio.open_connection(rig2.LOOPBACK, port)
        count = 0
        while time.monotonic() < end:
            count += 1
            request_id = f"{number:02x}{count:08x}"
            target = f"/volunteer-view/{self.rng.randrange(400):08x}"
            writer.write(
                f"GET {target} HTTP/1.1\r\nHost: service.internal\r\nRequest-Id: {request_id}\r\n"
                "Request-Class: volunteer-view\r\nTenant: sevanam\r\n"
                "Request-Timeout: 1.500\r\n\r\n".encode()
            )
            try:
                status, fields, body = await asyncio.wait_for(rig2.read_response(reader), 3)
            except (asyncio.IncompleteReadError, ConnectionError):
                reader, writer = await asyncio.open_connection(rig2.LOOPBACK, port)
                continue
            made = self.answers.get(request_id, set())
            self.record("answer", id=request_id, target=target, status=status, body=body)
            if status == 200 and body not in made:
                self.breaks.append(f"{request_id} asked {target} and was answered {body!r}")
            if fields.get("connection", "").lower() == "close":
                reader, writer = await asyncio.open_connection(rig2.LOOPBACK, port)
            await asyncio.sleep(self.rng.uniform(0.0, 0.004))


async def play(record: rig2.Record, folder: Path) -> list[str]:
    """Play the case."""
    deployment = Deployment(record)
    discovery = rig2.Discovery(record)
    hosts = [rig2.HttpHost(f"s-{n}", "full-node", deployment.answer) for n in range(3)]
    hosts.append(rig2.HttpHost("s-origin", "origin", deployment.answer))
    for host in hosts:
        await host.start()
        discovery.put(host.entry())
    await discovery.start()
    config = rig2.balancer_config(discovery, rig2.kochi_settings())
    balancer = rig2.Balancer(folder, config, record)
    balancer.start()
    try:
        await rig2.wait_ready(balancer)
        end = time.monotonic() + SECONDS
        await asyncio.gather(*(deployment.client(n, balancer.port, end) for n in range(CLIENTS)))
    finally:
        balancer.stop()
    record("second answers", count=deployment.second_answers, requests=len(deployment.answers))
    if len(deployment.answers) < 100:
        raise rig2.CouldNotRunError("hardly a request was served")
    return deployment.breaks


if __name__ == "__main__":
    rig2.run_case(play, Path(__file__).parent)
