"""A small deployment: three slot servers and one balancer before them."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Awaitable, Callable
from typing import Any

from stand_ins.platform import COULD_NOT_RUN, Balancer, Record, free_port
from stand_ins.resp import Client, SlotServer

MEMORY_MB = 192
SOCKETS = 1_024
CLIENT_TIMEOUT_S = 1.0  # how long the clients of the cases wait
# Name, effect, response target and client timeout, as the site file has them.
RULE_SETS = (
    ("roster-view", "retryable", 500, 1_000),
    ("volunteer-view", "retryable", 500, 1_500),
    ("event-list", "retryable", 500, 1_500),
    ("shift-signup", "dedup", 1_500, 2_500),
)
CEILINGS = {
    "most-dispatches": 5,
    "may-cancel": True,
    "may-duplicate": True,
    "retry-after": True,
    "max-retry-after": 2_500_000,
    "connect-timeout": 250_000,
}
READY_WITHIN_S = 20.0
CASE_WITHIN_S = 100.0


class Deployment:
    """The processes and stand-ins of one run.

    Attributes:
        servers: the slot servers, in the order of their ranges.
        balancer: the balancer's process.
    """

    def __init__(self, servers: list[SlotServer], balancer: Balancer) -> None:
        """Uses running parts; see `start`."""
        self.servers = servers
        self.balancer = balancer

    @classmethod
    async def start(cls, cluster: list[SlotServer] | None = None) -> Deployment:
        """Starts the balancer before these servers or three new ones, and waits until it serves.

        Raises TimeoutError if it does not.
        """
        cluster = cluster or await start_servers(3)
        deployment = cls(cluster, Balancer(resp_configuration(cluster)))
        await asyncio.wait_for(deployment.wait_until_ready(), READY_WITHIN_S)
        return deployment

    async def wait_until_ready(self) -> None:
        """Waits until each server's keys are served."""
        waiting = {server.port: key_of(server) for server in self.servers}
        while waiting:
            await asyncio.sleep(0.05)
            try:
                client = await Client.connect(self.balancer.port)
            except OSError:
                continue
            for port, key in list(waiting.items()):
                if await client.call(b"SET", key, b"ready") == b"OK":
                    del waiting[port]
            client.close()


async def start_servers(
    count: int, make: Callable[[list[SlotServer], int], SlotServer] = SlotServer
) -> list[SlotServer]:
    """Starts the slot servers of one cluster."""
    cluster: list[SlotServer] = []
    for _ in range(count):
        await make(cluster, free_port()).start()
    return cluster


def key_of(server: SlotServer, number: int = 0) -> bytes:
    """Returns one of the keys that a server owns; each number has another key."""
    names = (b"roster-%d" % index for index in range(1_000_000))
    owned = (name for name in names if server.owns(name))
    for _ in range(number):
        next(owned)
    return next(owned)


def resp_configuration(cluster: list[SlotServer]) -> dict[str, Any]:
    """Returns the file of a balancer over RESP: rule sets and ceilings of kochi-roster."""
    return {
        "name": "resp1",
        "listen": f"127.0.0.1:{free_port()}",
        "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "settings": {"ceilings": CEILINGS, "rule-sets": [rule_set(*each) for each in RULE_SETS]},
        "resp": {
            "seeds": [f"127.0.0.1:{server.port}" for server in cluster],
            "read": "roster-view",
            "write": "shift-signup",
            "timeout-ms": round(CLIENT_TIMEOUT_S * 1000),
            "tenant": "sevanam",
        },
    }


def http_configuration(discovery_port: int, hosts: list[dict[str, Any]]) -> dict[str, Any]:
    """Returns the file of a balancer over HTTP/1.1 before an origin and its cache hosts."""
    guarantees = {"drain-grace": 250_000, "cold-from": 0.32, "warm-after": 8_900_000}
    settings = {
        "kinds": ["full-node", "slow-node", "origin"],
        "family-info": {"mode": "aside", "origin-kind": 2},
        "registry-mode": "automatic",
        "instances": 1,
        "guarantees": guarantees,
        "ceilings": {**CEILINGS, "conn-idle": 30_000_000},
        "rule-sets": [rule_set(*each) for each in RULE_SETS],
    }
    return {
        "name": "n1",
        "listen": f"127.0.0.1:{free_port()}",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"memory_mb": MEMORY_MB, "sockets": SOCKETS},
        "known": {"seq": 41, "whole": True, "hosts": hosts},
        "settings": settings,
    }


def rule_set(name: str, effect: str, target_ms: int, timeout_ms: int) -> dict[str, Any]:
    """Returns the settings of one rule set."""
    return {
        "name": name,
        "effect": effect,
        "group": "all",
        "repeat-window": 2_000_000,
        "response-target": target_ms * 1000,
        "client-timeout": timeout_ms * 1000,
    }


def run_case(case: Callable[[Record], Awaitable[int]], folder: str) -> int:
    """Runs a case with its record, and returns its exit code; 2 if it could not run."""
    record = Record(folder)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(COULD_NOT_RUN))

    async def bounded() -> int:
        return await asyncio.wait_for(case(record), CASE_WITHIN_S)

    try:
        return asyncio.run(bounded())
    except Exception as error:  # noqa: BLE001 - whatever failed, the case could not run
        record(f"COULD NOT RUN: {error!r}")
        return COULD_NOT_RUN
    finally:
        Balancer.end_all()
