"""Connections from clients that speak RESP: commands in, replies out in the order of the commands.

Commands of one connection may be pipelined. Those for different slots are in flight together; those
for one slot keep their order, and only reads among them are in flight together. While one of them
waits for a server that has no room, those behind it for the same server wait here.
"""

from __future__ import annotations

import socket
from collections import deque
from functools import partial

from orchidgap.net.client_connection import ClientConnection
from orchidgap.net.client_listener import ClientListener
from orchidgap.resp.commands import COMMANDS, UNSUPPORTED, Command, has_valid_length, keys_of
from orchidgap.resp.config import RespConfig
from orchidgap.resp.local_commands import LOCAL_COMMANDS, OK, slot_of_key
from orchidgap.resp.reader import RespReader
from orchidgap.resp.replies import JoinedReply, Reply
from orchidgap.resp.session import Session
from orchidgap.resp.writers import encode_bulk, encode_command, encode_error

MAX_QUEUED_REPLIES = 1_024  # commands of one connection that wait for their reply
MAX_QUEUED_BYTES = 1 << 20  # of replies that one connection may have coming
# Bytes of a reply until its size is known: few commands are let out before that.
FIRST_REPLY_BYTES = MAX_QUEUED_BYTES // 16
REPLY_SIZE_SMOOTHING = 8
WRITE_CHECK_INTERVAL_US = 20_000  # while a client does not read
MAX_SHOWN_BYTES = 60  # of a command's name in an error
COMMANDS_BEFORE_LOGIN = (b"AUTH", b"HELLO", b"QUIT", b"RESET")
REJECTIONS = {
    408: "ERR a command that does not end",
    503: "ERR max number of clients reached",
}


class RespClientConnection(ClientConnection):
    """One connection from a client.

    Attributes:
        config: how the balancer speaks RESP.
        session: what the client told about itself.
        reader: what arrives from it.
        replies: places of the commands that are not answered, in order.
        in_flight_by_slot: replies of forwarded commands that are not answered, by slot, in order.
        held_by_owner: replies of commands that are not forwarded yet, as one before them waits for
            the same server.
        room_at_us: when an answer last made room for further commands.
        smoothed_reply_bytes: how large its replies are.
        waiting_by_owner: the reply of the last forwarded command that waited, by server.
        command_count: commands that were forwarded.
    """

    __slots__ = (
        "command_count",
        "config",
        "held_by_owner",
        "in_flight_by_slot",
        "reader",
        "replies",
        "room_at_us",
        "session",
        "smoothed_reply_bytes",
        "waiting_by_owner",
    )

    def __init__(
        self, listener: ClientListener, sock: socket.socket, config: RespConfig, number: int
    ) -> None:
        """Takes an accepted socket; `number` is the connection's own."""
        self.config = config
        self.session = Session(config, number)
        self.reader = RespReader()
        self.replies: deque[Reply] = deque()
        self.in_flight_by_slot: dict[int, list[Reply]] = {}
        self.held_by_owner: dict[str, deque[Reply]] = {}
        self.waiting_by_owner: dict[str, Reply] = {}
        self.room_at_us = 0
        self.smoothed_reply_bytes = FIRST_REPLY_BYTES
        self.command_count = 0
        super().__init__(listener, sock)

    # --- what the listener asks

    @property
    def request_begun(self) -> bool:
        """Whether part of a command has arrived, or one is not answered."""
        return self.reader.unread_bytes() > 0 or bool(self.replies)

    @property
    def requests_begun(self) -> int:
        """How many commands were read, in part at least."""
        return self.requests_read + (self.reader.unread_bytes() > 0)

    def reject(self, status: int) -> None:
        """Tells the client why nothing more is taken from it, and ends the connection."""
        self.listener.awaiting_request.pop(self, None)
        if self.conn.is_open and not self.conn.closing:
            self.listener.counts.rejections[status] += 1
            self.conn.send(encode_error(REJECTIONS.get(status, f"ERR {status}")))
            self.finish()

    def on_disconnect(self) -> None:
        """The client has gone: its commands are of no use any more."""
        replies = list(self.replies)
        self.replies = deque()
        self.in_flight_by_slot = {}
        self.held_by_owner = {}
        for reply in replies:
            reply.on_client_disconnect()

    def is_idle(self) -> bool:
        """Whether nothing is owed to this client, and nothing of it waits to be read."""
        return not self.replies and super().is_idle()

    # --- what replies ask

    @property
    def uses_resp3(self) -> bool:
        """Whether the client speaks RESP 3."""
        return self.session.uses_resp3

    @property
    def received_at_us(self) -> int:
        """When its last bytes arrived, by the loop's clock."""
        return self.conn.received_at_us

    def on_reply(self, reply: Reply) -> None:
        """Writes what is answered: a reply waits for all that were asked for before it."""
        ready = []
        while self.replies and self.replies[0].encoded is not None:
            encoded = self.replies.popleft().encoded or b""
            ready.append(encoded)
            difference = len(encoded) - self.smoothed_reply_bytes
            self.smoothed_reply_bytes += difference // REPLY_SIZE_SMOOTHING
        self.room_at_us = self.listener.loop.now
        self.requests_answered += len(ready)
        if ready and self.conn.is_open:
            self.conn.send(b"".join(ready))
        may_go_on = self.conn.read_paused or not self.replies
        if self.conn.is_open and not self.conn.closing and may_go_on:
            self.listener.loop.call_soon(self.process_input)

    def on_forwarded_reply(self, reply: Reply) -> None:
        """Lets the next commands for its slot go, once this call is over."""
        in_flight = self.in_flight_by_slot.get(reply.slot, [])
        if reply in in_flight:
            in_flight.remove(reply)
        if in_flight:
            self.listener.loop.call_soon(self.forward_next, reply.slot)
        else:
            self.in_flight_by_slot.pop(reply.slot, None)
        if self.held_by_owner:
            self.listener.loop.call_soon(self.release_held)

    # --- commands

    def received(self, view: memoryview) -> None:
        """Takes bytes from the client."""
        self.listener.idle.pop(self, None)
        self.reader.feed(view)
        self.process_input()

    def process_input(self) -> None:
        """Handles what has arrived, as far as there is room for the replies."""
        while self.conn.is_open and not self.conn.closing:
            if len(self.conn.write_buffer) > MAX_QUEUED_BYTES:
                # Nobody tells when the client reads on.
                self.conn.pause_reading(True)
                self.listener.loop.call_later(WRITE_CHECK_INTERVAL_US, self.check_write_buffer)
                return
            if self.has_full_queue():
                self.conn.pause_reading(True)
                return
            words = self.reader.read_command()
            if words is None:
                break
            if words:
                self.listener.awaiting_request.pop(self, None)
                self.requests_read += 1
                self.handle_command(words)
        self.conn.pause_reading(False)
        if self.conn.is_open and not self.conn.closing:
            self.after_input()

    def has_full_queue(self) -> bool:
        """Whether no further command may wait for its reply."""
        expected_bytes = len(self.replies) * self.smoothed_reply_bytes
        return len(self.replies) >= MAX_QUEUED_REPLIES or expected_bytes > MAX_QUEUED_BYTES

    def after_input(self) -> None:
        """All whole commands are handled: ends the connection, waits for the rest, or rests."""
        if self.reader.error:
            reply = Reply(self)
            self.replies.append(reply)
            reply.set_encoded(encode_error(f"ERR Protocol error: {self.reader.error}"))
            self.finish()
        elif self.replies:
            return
        elif self.listener.closes_after_response and not self.has_input():
            self.finish()
        elif self.reader.unread_bytes():
            if self not in self.listener.awaiting_request:
                self.listener.await_request(self)
        else:
            self.listener.awaiting_request.pop(self, None)
            self.listener.idle[self] = None
            self.listener.trim_idle()

    def has_input(self) -> bool:
        """Whether a part of a command is here, or bytes are to be read."""
        return bool(self.reader.unread_bytes()) or self.conn.has_unread_bytes()

    def check_write_buffer(self) -> None:
        """Goes on if the client has read what was written."""
        if self.conn.is_open and self.conn.read_paused:
            self.process_input()

    def handle_command(self, words: list[bytes]) -> None:
        """Answers a command here, or forwards it."""
        name = words[0].upper()
        reply = Reply(self)
        self.replies.append(reply)
        if self.session.user is None and name not in COMMANDS_BEFORE_LOGIN:
            reply.set_encoded(encode_error("NOAUTH Authentication required."))
            return
        if local := self.run_local(name, words):
            reply.set_encoded(local)
            return
        command = COMMANDS.get(name)
        if command is None:
            shown = words[0][:MAX_SHOWN_BYTES].decode(errors="replace")
            if name in UNSUPPORTED:
                reply.set_encoded(encode_error(f"ERR '{shown}' is not served here"))
            else:
                reply.set_encoded(encode_error(f"ERR unknown command '{shown}'"))
        elif not has_valid_length(command, words):
            lower = name.decode().lower()
            reply.set_encoded(encode_error(f"ERR wrong number of arguments for '{lower}' command"))
        else:
            self.forward_by_slots(reply, command, words)

    def run_local(self, name: bytes, words: list[bytes]) -> bytes | None:
        """Returns the reply to a command that needs no host, None for another one."""
        if name == b"QUIT":
            self.listener.loop.call_soon(self.finish)
            return OK
        if name == b"INFO":
            return encode_bulk(
                b"# Server\r\nredis_version:7.0.0\r\nredis_mode:cluster\r\n"
                b"# Clients\r\nconnected_clients:%d\r\n# Cluster\r\ncluster_enabled:1\r\n"
                % len(self.listener.open_clients)
            )
        local = LOCAL_COMMANDS.get(name)
        return local(self.session, words) if local else None

    def forward_by_slots(self, reply: Reply, command: Command, words: list[bytes]) -> None:
        """Forwards a command, in parts where its keys are in several slots."""
        keys = keys_of(command, words)
        positions_by_slot: dict[int, list[int]] = {}
        for position, key in enumerate(keys):
            positions_by_slot.setdefault(slot_of_key(key), []).append(position)
        if len(positions_by_slot) == 1:
            self.forward(reply, command, words, keys[0], next(iter(positions_by_slot)))
            return
        if not command.join:
            reply.set_encoded(encode_error("CROSSSLOT Keys in request don't hash to the same slot"))
            return
        joined = JoinedReply(self, command.join)
        self.replies[-1] = joined
        joined.positions = list(positions_by_slot.values())
        joined.parts = [Reply(self, joined) for _ in positions_by_slot]
        for part, (slot, positions) in zip(joined.parts, positions_by_slot.items()):
            part_words = [words[0], *(keys[position] for position in positions)]
            self.forward(part, command, part_words, part_words[1], slot)

    def forward(
        self, reply: Reply, command: Command, words: list[bytes], key: bytes, slot: int
    ) -> None:
        """Forwards a command for one slot, when those before it allow."""
        self.command_count += 1
        request_id = b"%d-%d" % (self.session.number, self.command_count)
        request_class = self.config.write_class if command.is_write else self.config.read_class
        reply.slot = slot
        reply.is_write = command.is_write
        reply.forward = partial(
            self.listener.handler.handle_request,
            reply,
            request_id,
            request_class,
            self.config.timeout_us,
            command.is_write,
            key,
            self.session.tenant,
            encode_command(*words),
            b"",
            slot,
        )
        in_flight = self.in_flight_by_slot.setdefault(slot, [])
        in_flight.append(reply)
        self.forward_if_allowed(in_flight, reply)

    def forward_if_allowed(self, in_flight: list[Reply], reply: Reply) -> None:
        """Forwards a command, unless one before it for the same slot has to be answered first."""
        earlier = in_flight[: in_flight.index(reply)]
        all_are_reads = not reply.is_write and not any(other.is_write for other in earlier)
        if reply.forward and not reply.is_held and (not earlier or all_are_reads):
            self.forward_or_hold(reply)

    def forward_or_hold(self, reply: Reply) -> None:
        """Forwards a command unless one before it waits for the same server."""
        owner = self.listener.handler.slot_owner(reply.slot)
        held = self.held_by_owner.get(owner)
        if held or self.has_waiting(owner):
            reply.is_held = True
            self.held_by_owner.setdefault(owner, deque()).append(reply)
            return
        forward = reply.forward
        reply.forward = None
        if forward:
            forward()
        if reply.awaits_host:
            self.waiting_by_owner[owner] = reply

    def has_waiting(self, owner: str) -> bool:
        """Whether a command that was forwarded waits for this server to have room."""
        reply = self.waiting_by_owner.get(owner)
        return reply is not None and reply.awaits_host

    def release_held(self) -> None:
        """Forwards the commands that nothing waits before any more."""
        for owner in list(self.held_by_owner):
            while self.conn.is_open and not self.has_waiting(owner):
                held = self.held_by_owner.pop(owner, None)
                if not held:
                    break
                reply = held.popleft()
                reply.is_held = False
                reply.turn_at_us = self.listener.loop.now
                self.forward_or_hold(reply)
                if held:
                    self.held_by_owner.setdefault(owner, deque()).extend(held)

    def forward_next(self, slot: int) -> None:
        """Forwards what waits for a slot and may go now."""
        now_us = self.listener.loop.now
        for reply in self.in_flight_by_slot.get(slot, ()):
            if reply.forward:
                reply.turn_at_us = now_us
        for reply in list(self.in_flight_by_slot.get(slot, ())):
            if self.conn.is_open and reply in self.in_flight_by_slot.get(slot, ()):
                self.forward_if_allowed(self.in_flight_by_slot[slot], reply)
