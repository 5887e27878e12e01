"""Replies to commands, which are written in the order of the connection's commands."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice
from typing import Protocol

from orchidgap.net.request_handler import PendingRequest
from orchidgap.resp.framing import parse_integer, split_array
from orchidgap.resp.writers import encode_array, encode_error, encode_integer

NULLS = (b"$-1\r\n", b"*-1\r\n")
RESP3_NULL = b"_\r\n"
ERROR_TYPES = (b"-", b"!")
POSSIBLY_EXECUTED_ERROR = "ERR given up, it may have run"
PARTS_NOTE = " (a part of several slots; others may have run)"


class ReplyQueue(Protocol):
    """The client connection that a reply belongs to."""

    @property
    def uses_resp3(self) -> bool:
        """Whether the client uses RESP 3."""

    @property
    def received_at_us(self) -> int:
        """When the last bytes arrived, by the loop's clock."""

    @property
    def capacity_freed_at_us(self) -> int:
        """When written replies last freed capacity for further commands."""

    def has_disconnected(self) -> bool:
        """Returns whether the client has closed its connection."""

    def on_reply(self, reply: Reply) -> None:
        """Called when a command's own reply, not a part of a joined one, is encoded."""

    def on_forwarded_reply(self, reply: Reply) -> None:
        """Called when a forwarded command, or a part of one, is answered."""


class Reply:
    """The reply to one command in the connection's queue; receives the node's answer.

    Attributes:
        queue: the client connection.
        joined: the joined reply that this one is a part of; None for a command's own reply.
        pending_request: the request while the node handles it.
        received_at_us: when the command arrived.
        unblocked_at_us: when earlier commands last stopped blocking this one.
        encoded: the encoded answer; None until the command is answered.
        command_bytes: size of the command while a server is to answer it.
        part_count: number of commands that servers get for this one at the most.
        position: number of the command among those of its connection that need a host.
        slot: slot of the key; -1 if the command needs no host.
        is_write: whether the command modifies data.
        forward: forwards the command; None once it was forwarded.
        denied_for_us: after what time a denied command may be sent again, 0 if that is not known;
            None if it was not denied. A denied write was not executed.
    """

    __slots__ = (
        "command_bytes",
        "denied_for_us",
        "encoded",
        "forward",
        "is_write",
        "joined",
        "part_count",
        "pending_request",
        "position",
        "queue",
        "received_at_us",
        "slot",
        "unblocked_at_us",
    )

    def __init__(self, queue: ReplyQueue, joined: JoinedReply | None = None) -> None:
        """Starts without an answer, at the end of the queue."""
        self.queue = queue
        self.joined = joined
        self.pending_request: PendingRequest | None = None
        self.encoded: bytes | None = None
        self.received_at_us = queue.received_at_us
        self.unblocked_at_us = queue.capacity_freed_at_us
        self.slot = -1
        self.part_count = 1
        self.command_bytes = 0
        self.position = 0
        self.is_write = False
        self.forward: Callable[[], None] | None = None
        self.denied_for_us: int | None = None

    @property
    def awaits_host(self) -> bool:
        """Whether the command was forwarded and waits for a host with capacity for it."""
        pending = self.pending_request
        return pending is not None and not pending.has_begun

    def answer(
        self, status: int, body: bytes = b"", retry_after_us: int = 0, length: int | None = None
    ) -> None:
        """Encodes the node's answer, whose status codes are the same for all protocols."""
        self.pending_request = None
        if status == 503:
            self.denied_for_us = retry_after_us
            body = encode_denial(retry_after_us)
        elif status == 500:
            body = encode_error(POSSIBLY_EXECUTED_ERROR)
        elif status not in (200, 400):
            body = encode_error(f"ERR {status}")
        elif self.queue.uses_resp3:
            body = to_resp3(body)
        self.set_encoded(body)

    def take_encoded(self) -> bytes:
        """Returns the encoded answer, which is kept no longer; empty if there is none."""
        encoded = self.encoded or b""
        self.encoded = b""
        return encoded

    def unforwarded(self) -> list[Reply]:
        """Returns the replies of commands, or of parts of this one, that were not forwarded yet."""
        return [self] if self.forward else []

    def on_client_disconnect(self) -> None:
        """Drops a command that was not forwarded; notifies the pending request of one that was."""
        pending = self.pending_request
        self.pending_request = None  # it refers to this reply, as does `forward`
        self.forward = None
        if pending:
            pending.on_client_disconnect()

    def has_disconnected(self) -> bool:
        """Returns whether the client has closed its connection."""
        return self.queue.has_disconnected()

    def may_have_disconnected(self) -> bool:
        """Returns False: a pipeline may be longer than what is read of it."""
        return False

    def set_encoded(self, encoded: bytes) -> None:
        """Stores the encoded answer and notifies the connection or the joined reply."""
        self.encoded = encoded
        if self.slot >= 0:
            self.queue.on_forwarded_reply(self)
        if self.joined:
            self.joined.join_parts()
        else:
            self.queue.on_reply(self)


class JoinedReply(Reply):
    """The reply to a command that was split by slots.

    It is answered once all parts are. Parts may fail for different reasons, and the answer must be
    true of all of them:

    | parts                                     | answer                                          |
    | ----------------------------------------- | ----------------------------------------------- |
    | all succeeded                             | the joined answers                              |
    | some failed, and not by a denial          | the first such error, and that others may have  |
    |                                           | run                                             |
    | all failed by a denial, or it is a read   | a denial with the longest time to wait          |
    | a write of which some failed by a denial  | that it may have run, as other parts have       |

    Attributes:
        join: how the answers are combined, see `Command.join`.
        parts: the replies to the parts.
        positions: for each part, the positions of its keys among all keys of the command.
    """

    __slots__ = ("_answered_in_order", "join", "parts", "positions")

    def __init__(self, queue: ReplyQueue, join: str, positions: list[list[int]]) -> None:
        """Starts with a part for each list of positions, none of them answered."""
        super().__init__(queue)
        self.join = join
        self.positions = positions
        self.parts = [Reply(queue, self) for _ in positions]
        self.part_count = len(positions)
        self._answered_in_order = 0  # how many parts are answered before the first that is not

    def join_parts(self) -> None:
        """Combines the answers once all parts are answered."""
        if not self.parts:
            return
        for part in islice(self.parts, self._answered_in_order, None):
            if part.encoded is None:
                return
            self._answered_in_order += 1
        encoded = self.encode_failure() or self.encode_joined()
        self.release_parts()
        self.set_encoded(encoded)

    def encode_joined(self) -> bytes:
        """Returns the joined answers of the parts, none of which has failed."""
        answers = [part.take_encoded() for part in self.parts]
        if self.join == "sum":
            return encode_integer(sum(parse_integer(answer[1:-2]) or 0 for answer in answers))
        items: list[bytes] = [b""] * sum(map(len, self.positions))
        for answer, positions in zip(answers, self.positions):
            for position, item in zip(positions, split_array(answer)):
                items[position] = item
        return encode_array(items)

    def release_parts(self) -> None:
        """Drops the parts: they and this reply refer to each other and hold their answers."""
        self.parts = []
        self.positions = []

    def encode_failure(self) -> bytes:
        """Returns the error that is true of all parts; empty if none has failed."""
        denied_for_us = [
            part.denied_for_us for part in self.parts if part.denied_for_us is not None
        ]
        for part in self.parts:
            error = part.encoded or b""
            if part.denied_for_us is None and error[:1] in ERROR_TYPES:
                return error[:-2] + PARTS_NOTE.encode() + error[-2:]
        if not denied_for_us:
            return b""
        if len(denied_for_us) < len(self.parts) and self.parts[0].is_write:
            return encode_error(POSSIBLY_EXECUTED_ERROR + PARTS_NOTE)
        return encode_denial(max(denied_for_us))

    def unforwarded(self) -> list[Reply]:
        """Returns the parts that were not forwarded yet."""
        return [part for part in self.parts if part.forward]

    def on_client_disconnect(self) -> None:
        """Notifies the pending requests of all parts that the client has closed."""
        parts = self.parts
        self.release_parts()
        for part in parts:
            part.on_client_disconnect()


def encode_denial(retry_after_us: int) -> bytes:
    r"""Returns the reply to a command that was denied; a write was not executed then.

    >>> encode_denial(250_000), encode_denial(0)[-7:]
    (b'-TRYAGAIN turned away, nothing was done; come back in 250 ms\r\n', b' done\r\n')
    """
    when = f"; come back in {retry_after_us // 1000} ms" if retry_after_us else ""
    return encode_error(f"TRYAGAIN turned away, nothing was done{when}")


def to_resp3(text: bytes) -> bytes:
    r"""Converts an answer from RESP 2 to RESP 3, which has a single form of null.

    >>> to_resp3(b"$-1\r\n"), to_resp3(b"*2\r\n$-1\r\n$5\r\n$-1\r\n\r\n")
    (b'_\r\n', b'*2\r\n_\r\n$5\r\n$-1\r\n\r\n')
    """
    if text in NULLS:
        return RESP3_NULL
    if text[:1] == b"*" and b"-1\r\n" in text:
        return encode_array([to_resp3(item) for item in split_array(text)])
    return text
