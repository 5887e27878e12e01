"""What clients and hosts saw of a simulation's requests: the records that the invariant checker
judges.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

from orchidgap.simulation.plan import RequestClassSpec

# bodies hold at most that on the operators' page; what is larger is streamed
LARGE_BODY_BYTES = 1 << 16
NO_PROCESS = 0  # an incarnation that none has


@dataclass(slots=True, eq=False)
class Operation:
    """What a client wants, over all its attempts. Times in microseconds.

    `work_us` is its work on a core of speed 1. Only `counted` ones enter the figures.
    `effect_count` tells how often a write took effect; `completed_at_us` is 0 until it was
    answered.
    """

    number: int
    request_class: RequestClassSpec
    tenant: str
    key: int
    work_us: int
    created_at_us: int
    counted: bool = True
    completed_at_us: int = 0
    attempt_count: int = 0
    effect_count: int = 0


@dataclass(slots=True, eq=False)
class HostAttempt:
    """One attempt of a balancer at a host, as the host saw it. Times in microseconds.

    `work_us` is what its work took. `outcome` is what the host answered, once that was written;
    `streaming` tells that it still sends a large answer; `was_broken_off`, that it ended its own
    answer before that was whole, or spoilt it; `writing_paused_us` is how long it paused between
    the pieces of a large answer, as the plan has slow writers do.
    """

    client_attempt: ClientAttempt
    host: str
    group: str
    first_byte_at_us: int
    in_flight: bool = True
    work_us: int = 0
    outcome: str = ""
    streaming: bool = False
    was_broken_off: bool = False
    ended_at_us: int = 0
    writing_paused_us: int = 0


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """One attempt of a client at one balancer. Times in microseconds, 0 until they are known.

    `incarnation` is which run of the balancer it met; `abandoned`: its client went away first;
    `left_at_us`: when its client closed its connection before the answer had come;
    `produced_bodies`: what hosts produced for it, by fingerprint; `max_attempts`: of the balancer,
    where that is not the plan's; `start_line` (method and target), `idempotency_key` and `body`:
    what its client sends, which goes on unchanged; `message`: the same with its head;
    `was_resent`: once more, as the end of its first connection had crossed it;
    `reading_paused_us`: how long its client read nothing, as the plan has slow readers do.
    """

    id: bytes
    operation: Operation
    balancer: str
    incarnation: int
    arrived_at_us: int
    deadline_us: int
    host_attempts: list[HostAttempt] = field(default_factory=list)
    produced_bodies: dict[bytes, HostAttempt] = field(default_factory=dict)
    status: int = 0
    answered_at_us: int = 0
    abandoned: bool = False
    left_at_us: int = 0
    last_attempt_ended_us: int = 0
    effect_count: int = 0
    write_started_us: int = 0
    first_answer_byte_us: int = 0
    reading_paused_us: int = 0
    start_line: bytes = b""
    idempotency_key: bytes = b""
    body: bytes = b""
    max_attempts: int = 0
    message: tuple[bytes, ...] = ()
    was_resent: bool = False


def body_fingerprint(body: bytes) -> bytes:
    """What stands for a body: itself, or its digest where it is large.

    >>> body_fingerprint(b"small"), len(body_fingerprint(b"x" * 100_000))
    (b'small', 16)
    """
    return body if len(body) <= LARGE_BODY_BYTES else blake2b(body, digest_size=16).digest()
