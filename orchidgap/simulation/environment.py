"""What the stand-ins ask of the trial or the drill that they are part of: none has to know the whole."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any, Protocol

from orchidgap.net.addresses import Address
from orchidgap.net.loop import Loop
from orchidgap.simulation.invariant_checker import Referee
from orchidgap.simulation.plan import Plan

Decider = Callable[
    ..., Any
]  # (terms, port, seed, now): what decides, with the face of rules.Balancer


class Scene(Protocol):
    """Times in microseconds; a post is a balancer's place, by its name."""

    plan: Plan
    loop: Loop
    rng: Random
    referee: Referee
    start: int
    ground: Any  # Pairs or Wires
    stores: dict[str, Any]  # hosts by their ids
    listing: Any  # who tells of them
    callers: Any  # all clients
    front: Any  # who deals out connections, and calls as operators
    cluster: Any  # who owns which slots
    posts: dict[str, Any]
    most: tuple[int, int, int]
    grouping: Any  # the group of most uniqued reqs
    marks: dict[str, dict[bytes, int]]
    misses: Any  # by req: the caches that lacked its key
    cold_misses: dict[bytes, None]

    def lives(self, post: str, life: int = 0) -> bool: ...

    def life_of(self, post: str) -> int: ...

    def address_of(self, post: str) -> Address: ...

    def zone_of(self, post: str) -> int: ...

    def takes(self, post: str, notice: int, now: int) -> bool: ...

    def stood(self, post: str, since: int) -> bool: ...

    def way(self, zone: int, other: int) -> int: ...

    def client_way(self) -> int: ...

    def most_of(self, came: int) -> int: ...

    def size_of(self, key: int) -> int: ...

    def key_of(self, number: int | None) -> int: ...

    def missed(self, id: bytes, store: Any) -> None: ...

    def known_of(self, name: str) -> dict[str, Any]: ...

    def told(self, post: Any, known: dict[str, Any]) -> dict[str, Any]: ...

    def way_to_hosts(self, name: str, known: dict[str, Any]) -> dict[str, Any]: ...
