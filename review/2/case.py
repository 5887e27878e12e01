"""Sign-ups over RESP while some answers are lost: how often each runs.

Each sign-up adds one to a counter of its own, and its client writes it once. Two of three slot
servers do the work of each command; on one in ten they reset the connection in place of the
answer. Without the disruption all answers arrive.
"""

from __future__ import annotations

import asyncio
import sys
from collections import Counter
from contextlib import suppress
from pathlib import Path

from stand_ins.deployment import Deployment, key_of, run_case, start_servers
from stand_ins.platform import TROUBLE, Record
from stand_ins.resp import Client, SlotServer, text_of

CLIENTS = 5
RUN_S = 20.0
PAUSE_S = 0.05
LOST_ONE_IN = 10


class LosingServer(SlotServer):
    """A slot server whose answers to sign-ups get lost while `losing` is set."""

    losing = False
    signups = 0

    def loses_answer(self, words: list[bytes]) -> bool:
        """Returns whether this is one of the answers that get lost."""
        if not self.losing or words[0] != b"INCR":
            return False
        self.signups += 1
        return self.signups % LOST_ONE_IN == 0


async def sign_up(port: int, name: str, replies: dict[bytes, str], record: Record) -> None:
    """A client that signs up for one shift after another, and writes each sign-up once."""
    client = await Client.connect(port)
    number = 0
    while True:
        number += 1
        key = b"%b-shift-%d" % (name.encode(), number)
        replies[key] = ""
        record(f"{name} sent INCR {key.decode()}")
        replies[key] = text_of(await client.call(b"INCR", key))
        record(f"{name} got {replies[key]} for INCR {key.decode()}")
        await asyncio.sleep(PAUSE_S)


async def case(record: Record) -> int:
    """Plays the case and returns the verdict's exit code."""
    servers = await start_servers(3, LosingServer)
    deployment = await Deployment.start(servers)
    record(f"ready; the first server owns {key_of(servers[0]).decode()}")
    replies: dict[bytes, str] = {}
    port = deployment.balancer.port
    tasks = [
        asyncio.create_task(sign_up(port, f"client{number}", replies, record))
        for number in range(CLIENTS)
    ]
    for server in servers[:2]:
        server.losing = TROUBLE  # type: ignore[attr-defined]
    await asyncio.sleep(RUN_S)
    for task in tasks:
        task.cancel()
        with suppress(asyncio.CancelledError, OSError, EOFError):
            await task
    record.add_log(deployment.balancer.end())
    runs: Counter[bytes] = Counter()
    for number, server in enumerate(servers):
        for at, words in server.runs:
            if words[0] == b"INCR":
                runs[words[1]] += 1
                record(
                    f"server {number} ran {b' '.join(words).decode()} at {at - record.began:.4f}"
                )
    twice = {key: count for key, count in runs.items() if count > 1}
    for key, count in twice.items():
        record(f"{key.decode()} ran {count} times; its client was answered {replies[key]!r}")
    refused = sum(runs[key] > 0 and "TRYAGAIN" in reply for key, reply in replies.items())
    text = (
        f"{len(replies)} sign-ups sent, {sum(runs.values())} runs, {len(twice)} ran more than "
        f"once; {refused} were refused as not done and had run"
    )
    return record.verdict(bool(twice), text)


sys.exit(run_case(case, str(Path(__file__).parent)))
