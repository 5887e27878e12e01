"""Forwards the commands of one client connection to servers, and denies those that are not."""

from __future__ import annotations

from collections.abc import Iterable
from functools import partial
from typing import Protocol

from orchidgap.net.client_listener import ClientListener
from orchidgap.resp.command_scheduler import CommandScheduler
from orchidgap.resp.commands import Command
from orchidgap.resp.config import RespConfig
from orchidgap.resp.outstanding_replies import OutstandingReplies
from orchidgap.resp.replies import Reply, ReplyQueue
from orchidgap.resp.session import Session
from orchidgap.resp.split_command import SplitCommand
from orchidgap.resp.writers import encode_command

SERVICE_UNAVAILABLE = 503


class ForwardingClient(ReplyQueue, Protocol):
    """The client connection whose commands are forwarded."""

    listener: ClientListener
    config: RespConfig
    session: Session
    outstanding: OutstandingReplies


class CommandForwarder:
    """The commands of one client that servers get.

    Attributes:
        client: the client connection.
        scheduler: forwards commands in their order.
        command_count: commands for servers so far, counting each part of a split command.
        split: a split command of which some parts are not forwarded yet; None if there is none.
    """

    __slots__ = ("client", "command_count", "scheduler", "split")

    def __init__(self, client: ForwardingClient) -> None:
        """Starts without commands."""
        self.client = client
        self.scheduler = CommandScheduler(client.listener.loop, client.listener.handler.slot_owner)
        self.command_count = 0
        self.split: SplitCommand | None = None

    def forward(
        self, reply: Reply, command: Command, words: list[bytes], key: bytes, slot: int
    ) -> None:
        """Forwards a command for one slot as soon as earlier commands permit it."""
        client = self.client
        config = client.config
        if client.listener.loop.now >= reply.received_at_us + config.timeout_us:
            self.deny(reply)
            return
        self.command_count += 1
        reply.position = self.command_count
        request_id = b"%d-%d" % (client.session.number, self.command_count)
        request_class = config.write_class if command.is_write else config.read_class
        encoded = encode_command(*words)
        reply.command_bytes = len(encoded)
        client.outstanding.on_forwarded(reply)
        reply.slot = slot
        reply.is_write = command.is_write
        reply.forward = partial(
            client.listener.handler.handle_request,
            reply,
            request_id,
            request_class,
            config.timeout_us,
            command.is_write,
            key,
            client.session.tenant,
            encoded,
            b"",
            slot,
            idempotency=command.idempotency,
        )
        self.scheduler.add(reply)

    def start_split(
        self,
        command: Command,
        name: bytes,
        keys: list[bytes],
        positions_by_slot: dict[int, list[int]],
    ) -> Reply:
        """Splits a command by the slots of its keys; returns the reply to the whole command.

        Its parts are forwarded by `forward_parts`.
        """
        self.split = SplitCommand(self.client, command, name, keys, positions_by_slot)
        return self.split.joined

    def forward_parts(self, handle_until_us: int) -> None:
        """Forwards parts of a split command, at least one, for no longer than until this time."""
        while self.split:
            part = self.split.take_next()
            if part is None:
                self.split = None
                return
            self.forward(part.reply, self.split.command, part.words, part.words[1], part.slot)
            if self.client.listener.loop.clock() >= handle_until_us:
                return

    def deny(self, reply: Reply) -> None:
        """Answers a command that was not forwarded: nothing was done, and it may be sent again."""
        listener = self.client.listener
        listener.counts.rejections[SERVICE_UNAVAILABLE] += 1
        retry_after_us = listener.handler.rejection_retry_after_us()
        reply.answer(SERVICE_UNAVAILABLE, retry_after_us=retry_after_us)

    def deny_waiting(self, replies: Iterable[Reply]) -> None:
        """Denies all commands, among those with these replies, that were not forwarded yet."""
        if self.split:
            for part in self.split.take_replies():
                self.deny(part)
        waiting = [part for reply in replies for part in reply.unforwarded()]
        for reply in waiting:
            reply.forward = None
            self.deny(reply)

    def on_answered(self, reply: Reply) -> None:
        """Lets the commands be forwarded that the answered one has blocked."""
        self.scheduler.on_answered(reply)

    def close(self) -> None:
        """Forgets all commands, as the client has disconnected."""
        self.split = None
        self.scheduler.close()
