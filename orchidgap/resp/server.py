"""Connections from RESP clients, which get their replies in the order of their commands.

Commands of one connection may be pipelined; `command_forwarder` forwards them.

A client that pipelines may always have a command without a reply, so in a drain its connection ends
between two replies: commands that are read from some time on are denied, and once those before them
are answered nothing is due.
"""

from __future__ import annotations

import socket

from orchidgap.net.client_connection import ClientConnection
from orchidgap.net.client_listener import ClientListener
from orchidgap.net.loop import READ
from orchidgap.net.traffic_counts import ConnectionEnd
from orchidgap.resp.command_arrival import CommandArrival
from orchidgap.resp.command_forwarder import SERVICE_UNAVAILABLE, CommandForwarder
from orchidgap.resp.commands import COMMANDS, UNSUPPORTED, Command, has_valid_length, keys_of
from orchidgap.resp.config import RespConfig
from orchidgap.resp.framing import MAX_ITEM_BYTES
from orchidgap.resp.local_commands import LOCAL_COMMANDS, OK, slot_of_key
from orchidgap.resp.outstanding_replies import OutstandingReplies
from orchidgap.resp.reader import RespReader
from orchidgap.resp.replies import Reply
from orchidgap.resp.reply_admission import Admission, ReplyAdmission
from orchidgap.resp.reply_budget import ReplyBudget
from orchidgap.resp.session import Session
from orchidgap.resp.writers import encode_bulk, encode_error

WRITE_CHECK_INTERVAL_US = 20_000  # between checks whether clients read their replies again
MAX_HANDLING_US = 5_000  # after which a client's received commands go on in the next turn
MAX_SHOWN_BYTES = 60  # length limit of a command name in an error reply
MAX_FINAL_READS = 16  # reads before a connection ends, so that a flood cannot prevent the end
COMMANDS_BEFORE_LOGIN = (b"AUTH", b"HELLO", b"QUIT", b"RESET")
MEMORY_IS_SHORT = "TRYAGAIN not enough memory for the command now"
REJECTIONS = {
    408: "ERR a command that does not end",
    503: "ERR max number of clients reached",
}


class RespClientConnection(ClientConnection):
    """One connection from a client.

    Attributes:
        arrival: tells when commands were written while reading from the client is behind; None if
            it is not.
        config: the RESP configuration.
        session: user, client name and protocol version.
        reader: the parser of received bytes.
        outstanding: replies that are not written yet.
        forwarder: forwards commands to servers in their order.
        capacity_freed_at_us: when written replies last freed capacity for further commands.
        holds_replies: replies are not written for the moment.
        admission: decides by the memory whether the next command is accepted.
        denies_commands: commands are denied, as there is no memory for their replies.
        is_check_due: a look at whether clients have read enough is scheduled.
        has_last_command: no more commands are handled, after QUIT or a protocol error, and the
            connection ends once the outstanding replies are written.
        goes_on_next_turn: received commands are left to be handled in the next turn of the loop.
        is_ending: commands that are read from now on are denied, and the connection ends as soon
            as no reply is outstanding.
    """

    __slots__ = (
        "admission",
        "arrival",
        "capacity_freed_at_us",
        "config",
        "denies_commands",
        "forwarder",
        "goes_on_next_turn",
        "has_last_command",
        "holds_replies",
        "is_check_due",
        "is_ending",
        "outstanding",
        "reader",
        "session",
    )

    def __init__(
        self,
        listener: ClientListener,
        sock: socket.socket,
        config: RespConfig,
        number: int,
        reply_budget: ReplyBudget,
    ) -> None:
        """Starts on an accepted socket; `number` identifies the connection."""
        self.admission = ReplyAdmission(self, reply_budget, config.timeout_us)
        self.denies_commands = False
        self.is_check_due = False
        self.arrival: CommandArrival | None = None
        self.config = config
        self.session = Session(config, number)
        self.reader = RespReader()
        self.outstanding = OutstandingReplies()
        self.capacity_freed_at_us = 0
        self.goes_on_next_turn = False
        self.has_last_command = False
        self.holds_replies = False
        self.is_ending = False
        super().__init__(listener, sock)
        self.forwarder = CommandForwarder(self)
        self.conn.on_drained = self.on_replies_read

    # --- called by the listener

    @property
    def booked_bytes(self) -> int:
        """What the client's replies, and commands without an answer, take."""
        return self.admission.booking.booked_bytes

    @property
    def request_begun(self) -> bool:
        """Whether part of a command has arrived, or a command is not answered."""
        return self.reader.unread_bytes() > 0 or bool(self.outstanding.replies)

    @property
    def begun_request_count(self) -> int:
        """The number of commands that were read, including a partly received one."""
        return self.requests_read + (self.reader.unread_bytes() > 0)

    def reject(self, status: int) -> None:
        """Sends an error reply with the reason and closes the connection."""
        self.listener.awaiting_request.pop(self, None)
        if self.conn.is_open and not self.conn.closing:
            self.listener.counts.rejections[status] += 1
            self.conn.send(encode_error(REJECTIONS.get(status, f"ERR {status}")))
            self.finish()

    def close(self, end: ConnectionEnd, read_up_to_us: int = 0) -> None:
        """Closes the connection and returns what it has booked, however it ends."""
        super().close(end, read_up_to_us)
        self.admission.close()

    def on_disconnect(self) -> None:
        """Discards the client's commands after it has disconnected."""
        replies = self.outstanding.replies
        self.outstanding = OutstandingReplies()
        self.forwarder.close()
        for reply in replies:
            reply.on_client_disconnect()

    def is_idle(self) -> bool:
        """Returns whether no reply is outstanding and no received bytes are unread."""
        return not self.outstanding.replies and super().is_idle()

    def end_when_answered(self) -> None:
        """Denies commands that are read from now on, and ends between two replies."""
        self.is_ending = True
        self.finish_if_answered()

    def deny_waiting(self) -> None:
        """Denies the commands that wait for others of their slot or server, and all later ones."""
        self.is_ending = True
        self.forwarder.deny_waiting(self.outstanding.replies)

    # --- called by replies

    @property
    def uses_resp3(self) -> bool:
        """Whether the client uses RESP 3."""
        return self.session.uses_resp3

    @property
    def received_at_us(self) -> int:
        """When the command that was read last was written, by the loop's clock.

        That is when its bytes arrived, or earlier if it may have waited to be read.
        """
        received_at_us = self.conn.received_at_us
        if self.arrival is None or not self.arrival.is_following:
            return received_at_us
        return min(received_at_us, self.arrival.earliest_write_us(self.reader.unread_bytes()))

    def on_reply(self, reply: Reply) -> None:
        """Writes the encoded replies up to the first unanswered command."""
        if not self.holds_replies:
            self.write_replies()

    def write_replies(self) -> None:
        """Writes the encoded replies up to the first unanswered command."""
        ready = self.outstanding.take_ready()
        self.capacity_freed_at_us = self.listener.loop.now
        self.requests_answered += len(ready)
        if ready and self.conn.is_open:
            self.conn.send(b"".join(ready))
        self.book_memory()
        if self.has_last_command:
            self.finish_after_last_command()
            return
        may_resume = self.conn.read_paused or not self.outstanding.replies
        if self.conn.is_open and not self.conn.closing and may_resume:
            self.listener.loop.call_soon(self.process_input)

    def finish_after_last_command(self) -> None:
        """Ends the connection if its last command and all earlier ones are answered."""
        if not self.outstanding.replies:
            self.conn.pause_reading(False)  # to notice when the client closes
            self.finish()

    def on_forwarded_reply(self, reply: Reply) -> None:
        """Lets the commands be forwarded that the answered one has blocked."""
        self.outstanding.on_answered(reply)
        self.forwarder.on_answered(reply)

    # --- commands

    def on_data(self, view: memoryview) -> None:
        """Parses the client's bytes and handles the commands in them."""
        self.listener.idle.pop(self, None)
        if self.arrival:
            self.arrival.received_bytes += len(view)
        self.reader.feed(view)
        self.process_input()

    def process_input(self) -> None:
        """Handles received commands until the limits on outstanding replies are reached.

        Goes on in the next turn if that takes long, so that other connections are served.
        """
        if not self.goes_on_next_turn:
            self.handle_input()
            self.book_memory()

    def handle_input(self) -> None:
        """Handles received commands; called by `process_input` only."""
        handle_until_us = self.listener.loop.clock() + MAX_HANDLING_US
        self.forwarder.forward_parts(handle_until_us)
        while self.conn.is_open and not self.conn.closing:
            if self.forwarder.split:
                self.go_on_next_turn()
                return
            if self.pause_if_necessary():
                return
            words = self.reader.read_command()
            if words is None:
                break
            if words:
                self.listener.awaiting_request.pop(self, None)
                self.requests_read += 1
                self.handle_command(words)
                self.forwarder.forward_parts(handle_until_us)
            if self.listener.loop.clock() >= handle_until_us and self.reader.unread_bytes():
                self.go_on_next_turn()
                return
        self.resume_commands()
        if self.conn.is_open and not self.conn.closing:
            self.after_input()

    def pause_if_necessary(self) -> bool:
        """Stops reading where no more commands are accepted; returns whether that is so."""
        if self.has_last_command:
            self.conn.pause_reading(True)
            return True
        if self.has_to_wait_for_memory():
            # No event reports that clients read again, so their buffers are polled.
            self.pause_commands()
            self.schedule_check()
            return True
        if self.outstanding.is_full(self.listener.handler.memory_pressure):
            self.pause_commands()
            return True
        return False

    def has_to_wait_for_memory(self) -> bool:
        """Returns whether the next command waits; sets whether it is denied."""
        if not self.reader.unread_bytes():
            return False
        admission = self.admission.decide(
            self.held_reply_bytes(),
            self.outstanding.smoothed_reply_bytes,
            self.listener.loop.now,
            may_wait=not self.is_ending,
        )
        self.denies_commands = admission is Admission.DENIED
        return admission is Admission.WAITS

    def book_memory(self) -> None:
        """Books what the client's replies, and commands without an answer, take."""
        if self.conn.is_open:
            held_bytes = self.held_reply_bytes() + self.outstanding.command_bytes
            self.admission.book(held_bytes)

    def try_again(self) -> bool:
        """Handles commands that waited for memory; returns whether they wait no longer."""
        self.resume_if_paused()
        return not self.admission.is_waiting

    def go_on_next_turn(self) -> None:
        """Leaves the rest of the received commands to the next turn."""
        self.goes_on_next_turn = True
        self.conn.pause_reading(True)
        self.listener.loop.call_next_turn(self.go_on)

    def go_on(self) -> None:
        """Handles commands that were left by the turn before."""
        self.goes_on_next_turn = False
        self.process_input()

    def pause_commands(self) -> None:
        """Stops reading commands, and follows what the client writes meanwhile."""
        if self.arrival is None or not self.arrival.is_following:
            self.arrival = CommandArrival(self.conn)
        self.arrival.observe()
        self.conn.pause_reading(True)

    def resume_commands(self) -> None:
        """Reads commands again."""
        if self.conn.read_paused and self.arrival and self.arrival.is_following:
            self.arrival.on_resumed()
        self.conn.pause_reading(False)

    def after_input(self) -> None:
        """Closes the connection, waits for the rest of a command, or marks the connection as idle.

        Called when all complete commands have been handled.
        """
        memory_pressure = self.listener.handler.memory_pressure
        if self.reader.error:
            self.end_with_error(f"ERR Protocol error: {self.reader.error}")
        elif self.reader.unread_bytes() > memory_pressure.buffer_bytes(MAX_ITEM_BYTES):
            self.listener.counts.rejections[SERVICE_UNAVAILABLE] += 1
            self.end_with_error(MEMORY_IS_SHORT)
        elif self.outstanding.replies:
            return
        elif self.is_ending and not self.reader.unread_bytes():
            self.listener.loop.call_soon(self.finish_if_answered)
        elif self.listener.closes_after_answer and not self.has_input():
            self.finish()
        elif self.reader.unread_bytes():
            if self not in self.listener.awaiting_request:
                self.listener.await_request(self)
        else:
            self.listener.awaiting_request.pop(self, None)
            self.listener.idle[self] = None
            self.listener.trim_idle()

    def end_with_error(self, text: str) -> None:
        """Answers with an error after the outstanding replies, and ends the connection then."""
        self.has_last_command = True
        self.requests_read += self.reader.unread_bytes() > 0  # it is answered, so it counts
        self.reader.discard()
        reply = self.add_reply()
        reply.set_encoded(encode_error(text))
        self.process_input()  # handles nothing more

    def finish_if_answered(self) -> None:
        """Ends the connection if all that has arrived is answered, and no command is incomplete.

        What has arrived by now is read and answered first, in one write right before the end: a
        client that writes a command for each reply would otherwise always have written one more.
        """
        if (
            self.outstanding.replies
            or self.goes_on_next_turn
            or not self.conn.is_open
            or self.conn.closing
        ):
            return
        if self in self.listener.awaiting_request:  # its first command, or the rest of one, is due
            return
        self.holds_replies = True
        read_up_to_us = self.read_arrived()
        self.holds_replies = False
        if self.outstanding.replies:
            self.write_replies()
        is_answered = not (self.outstanding.replies or self.reader.unread_bytes())
        if is_answered and self.conn.is_open and not self.conn.closing:
            self.finish(read_up_to_us)

    def read_arrived(self) -> int:
        """Reads the bytes that have arrived; returns up to when, or 0 if some may be left."""
        for _ in range(MAX_FINAL_READS):
            read_up_to_us = self.listener.loop.clock()
            if not self.conn.has_unread_bytes():
                return read_up_to_us
            self.conn.on_ready(READ)
            if self.goes_on_next_turn:
                return 0
        return 0

    def has_input(self) -> bool:
        """Returns whether a partial command is buffered or the socket has unread bytes."""
        return bool(self.reader.unread_bytes()) or self.conn.has_unread_bytes()

    def held_reply_bytes(self) -> int:
        """Returns the size of the replies that are expected, or that the client has not read."""
        return self.outstanding.expected_bytes() + len(self.conn.write_buffer)

    def schedule_check(self) -> None:
        """Schedules a look at whether clients have read enough, unless one is due."""
        if not self.is_check_due:
            self.is_check_due = True
            self.listener.loop.call_later(WRITE_CHECK_INTERVAL_US, self.check_replies)

    def on_replies_read(self) -> None:
        """Books that the client has read its replies, and resumes processing."""
        self.book_memory()
        self.resume_if_paused()

    def check_replies(self) -> None:
        """Resumes processing if clients have read enough of their replies."""
        self.is_check_due = False
        self.resume_if_paused()

    def resume_if_paused(self) -> None:
        """Handles commands that were left in the kernel, unless the connection ends."""
        if self.conn.closing:
            self.admission.stop_waiting()
        elif self.conn.is_open and self.conn.read_paused:
            self.process_input()

    def handle_command(self, words: list[bytes]) -> None:
        """Answers a command locally, or forwards it."""
        name = words[0].upper()
        reply = self.add_reply()
        if self.session.user is None and name not in COMMANDS_BEFORE_LOGIN:
            reply.set_encoded(encode_error("NOAUTH Authentication required."))
            return
        if local_reply := self.run_local(name, words):
            reply.set_encoded(local_reply)
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

    def add_reply(self) -> Reply:
        """Returns the reply to a command that was read, which is outstanding from now on."""
        reply = Reply(self)
        self.outstanding.add(reply)
        return reply

    def run_local(self, name: bytes, words: list[bytes]) -> bytes | None:
        """Returns the reply to a command that needs no host, or None for any other command."""
        if name == b"QUIT":
            self.has_last_command = True
            return OK
        if name == b"INFO":
            return encode_bulk(
                b"# Server\r\nredis_version:7.0.0\r\nredis_mode:cluster\r\n"
                b"# Clients\r\nconnected_clients:%d\r\n# Cluster\r\ncluster_enabled:1\r\n"
                % len(self.listener.open_clients)
            )
        handler = LOCAL_COMMANDS.get(name)
        return handler(self.session, words) if handler else None

    def forward_by_slots(self, reply: Reply, command: Command, words: list[bytes]) -> None:
        """Forwards a command, split into parts if its keys are in several slots."""
        keys = keys_of(command, words)
        positions_by_slot: dict[int, list[int]] = {}
        for position, key in enumerate(keys):
            positions_by_slot.setdefault(slot_of_key(key), []).append(position)
        is_split = len(positions_by_slot) > 1
        if is_split and not command.join:
            reply.set_encoded(encode_error("CROSSSLOT Keys in request don't hash to the same slot"))
        elif self.is_ending or self.denies_commands:
            self.forwarder.deny(reply)
        elif is_split:
            joined = self.forwarder.start_split(command, words[0], keys, positions_by_slot)
            self.outstanding.replace_last(joined)
        else:
            self.forwarder.forward(reply, command, words, keys[0], next(iter(positions_by_slot)))
