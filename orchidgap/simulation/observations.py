"""Records of requests by clients and hosts of a simulation, which the invariant checker checks."""

from __future__ import annotations

from dataclasses import dataclass, field
from hashlib import blake2b

from orchidgap.simulation.plan import RequestClassSpec

# limit of a body's size on the operators' page; larger bodies are streamed
LARGE_BODY_BYTES = 1 << 16
NO_PROCESS = 0  # not the incarnation of any process


@dataclass(slots=True, eq=False)
class Operation:
    """What a client wants, over all its attempts. Times in microseconds.

    `work_us` is its work on a core of speed 1. Only operations with `counted` enter the figures.
    `effect_count` is how often a write took effect; `completed_at_us` is 0 until it is answered.
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

    `group` is the host's deduplication group. `work_us` is how long its work took. `outcome` is the
    host's answer, set once it is written; `streaming` is whether it is still sending a large
    answer; `was_broken_off` is whether the host itself cut off or malformed its answer;
    `writing_paused_us` is how long it paused between the pieces of a large answer, as the plan's
    slow writers do.
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

    Attributes with a meaning beyond their name:

    * `incarnation`: the balancer's incarnation that it was sent to.
    * `abandoned`: its client gave up, or its balancer was killed, before it was answered.
    * `left_at_us`: when its client closed the connection before the answer had arrived.
    * `produced_bodies`: the bodies that hosts produced for it, by fingerprint.
    * `max_attempts`: the balancer's limit when the request arrived, 0 for the plan's.
    * `start_line` (method and target), `idempotency_key`, `body`: as the client sends them; they
      must reach hosts unchanged.
    * `message`: the encoded request.
    * `was_resent`: it was sent again after it had raced the close of its first connection.
    * `reading_paused_us`: how long its client paused reading, as the plan's slow readers do.
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
    """Return a value that identifies a body: itself, or a digest if it is large.

    >>> body_fingerprint(b"small"), len(body_fingerprint(b"x" * 100_000))
    (b'small', 16)
    """
    return body if len(body) <= LARGE_BODY_BYTES else blake2b(body, digest_size=16).digest()
