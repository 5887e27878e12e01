"""Connections from clients that speak RESP: commands in, answers out in the order they were asked."""

from __future__ import annotations

import hmac
import socket
from binascii import crc_hqx
from collections import deque
from collections.abc import Callable
from functools import partial
from hashlib import sha256
from typing import TYPE_CHECKING

from orchidgap.decisions.hash_ranges import SLOT_COUNT
from orchidgap.decisions.slot_map import hash_tag
from orchidgap.net.client_listener import ClientConnection, ClientListener
from orchidgap.net.request_handler import PendingRequest
from orchidgap.resp import codec
from orchidgap.resp.commands import COMMANDS, REFUSED, Command, fits, keys

if TYPE_CHECKING:
    from orchidgap.resp import Resp

MOST_WAITING = 1_024  # commands of one connection that wait for their answer: then it is not read
MOST_HELD = 1 << 20  # bytes of answers that one connection may have coming
LOOK_AGAIN = 20_000
NAME = b"orchidgap"
OK = b"+OK\r\n"


def slot_of(key: bytes) -> int:
    """By the public specification: CRC16 (XMODEM) of the hash tag.

    >>> slot_of(b"123456789"), slot_of(b"{user1000}.following") == slot_of(b"{user1000}.followers")
    (12739, True)
    """
    return crc_hqx(hash_tag(key), 0) & (SLOT_COUNT - 1)


class Answer:
    """The place of one command in the order of answers; what the decisions answer comes here."""

    __slots__ = (
        "after",
        "bytes",
        "caller",
        "pending_request",
        "received_at_us",
        "slot",
        "whole",
        "write",
    )

    def __init__(self, caller: RespCaller, whole: Joined | None = None) -> None:
        self.caller, self.whole = caller, whole
        self.pending_request: PendingRequest | None = None
        self.bytes: bytes | None = None
        self.received_at_us = caller.conn.received_at_us
        self.slot, self.write = -1, False
        self.after: Callable[[], None] | None = None  # asks, once it may

    def answer(
        self, status: int, body: bytes = b"", retry_after_us: int = 0, length: int | None = None
    ) -> None:
        """The outcome codes that all protocols share, as RESP words them."""
        self.pending_request = None
        if status == 503:
            when = f"; come back in {retry_after_us // 1000} ms" if retry_after_us else ""
            body = codec.error(f"TRYAGAIN turned away, nothing was done{when}")
        elif status == 500:
            body = codec.error("ERR given up, it may have run")
        elif status not in (200, 400):
            body = codec.error(f"ERR {status}")
        elif self.caller.resp3:
            body = for_resp3(body)
        self.put(body)

    def hangup(self) -> None:
        if self.pending_request:
            self.pending_request.on_client_gone()

    def has_disconnected(self) -> bool:
        return self.caller.has_disconnected()

    def put(self, body: bytes) -> None:
        self.bytes = body
        if self.slot >= 0:
            self.caller.done(self)
        if self.whole:
            self.whole.gather()
        else:
            self.caller.flush()


class Joined(Answer):
    """One command that was split by slots: answered when all its parts are. If one fails, its error is the
    answer, and the others may have run: the client is told so.
    """

    __slots__ = (
        "how",
        "parts",
        "places",
    )

    def __init__(self, caller: RespCaller, how: str) -> None:
        super().__init__(caller)
        self.how = how
        self.parts: list[Answer] = []
        self.places: list[list[int]] = []  # of each part's keys among all

    def gather(self) -> None:
        if any(part.bytes is None for part in self.parts):
            return
        told = [part.bytes or b"" for part in self.parts]
        failed = next((text for text in told if text[:1] in (b"-", b"!")), None)
        if failed:
            return self.put(failed[:-2] + b" (a part of several slots; others may have run)\r\n")
        if self.how == "sum":
            return self.put(b":%d\r\n" % sum(codec.number(text[1:-2]) or 0 for text in told))
        items: list[bytes] = [b""] * sum(map(len, self.places))
        for text, places in zip(told, self.places):
            for place, item in zip(places, split_array(text)):
                items[place] = item
        self.put(codec.array(items))

    def hangup(self) -> None:
        for part in self.parts:
            part.hangup()


def split_array(text: bytes) -> list[bytes]:
    """The entries of an array as they came.

    >>> split_array(b"*2\\r\\n$1\\r\\na\\r\\n$-1\\r\\n")
    [b'$1\\r\\na\\r\\n', b'$-1\\r\\n']
    """
    data, items = bytearray(text), []
    at = data.index(b"\r\n") + 2
    while at < len(data):
        end = codec.span(data, at, len(data))
        if not isinstance(end, int):
            break
        items.append(bytes(data[at:end]))
        at = end
    return items


def for_resp3(text: bytes) -> bytes:
    """An answer of a server that speaks RESP2, for a client that speaks RESP3: there a null has one form.

    >>> for_resp3(b"$-1\\r\\n"), for_resp3(b"*2\\r\\n$-1\\r\\n$5\\r\\n$-1\\r\\n\\r\\n")
    (b'_\\r\\n', b'*2\\r\\n_\\r\\n$5\\r\\n$-1\\r\\n\\r\\n')
    """
    if text in (b"$-1\r\n", b"*-1\r\n"):
        return b"_\r\n"
    if text[:1] == b"*" and b"-1\r\n" in text:
        return codec.array([for_resp3(item) for item in split_array(text)])
    return text


class RespCaller(ClientConnection):
    """One connection from a client."""

    __slots__ = (
        "busy",
        "count",
        "large",
        "name",
        "number",
        "parts",
        "reader",
        "resp3",
        "tenant",
        "user",
        "waiting",
    )

    def __init__(self, clients: ClientListener, sock: socket.socket, parts: Resp) -> None:
        self.parts, self.reader = parts, codec.Reader()
        self.waiting: deque[Answer] = deque()
        self.busy: dict[
            int, list[Answer]
        ] = {}  # by slot: what is asked and not answered, in its order
        self.large = (
            MOST_HELD // 16
        )  # bytes of its answers, smoothed: few are let out until that is known
        self.resp3, self.name = False, b""
        parts.count += 1
        self.number, self.count = parts.count, 0
        self.tenant = parts.users.get(b"default", ("", ""))[1] if parts.open else ""
        self.user: bytes | None = b"default" if parts.open else None
        super().__init__(clients, sock)

    # --- what all callers answer for

    @property
    def request_begun(self) -> bool:
        return self.reader.waiting() > 0 or bool(self.waiting)

    def reject(self, status: int) -> None:
        self.listener.awaiting_request.pop(self, None)
        if self.conn.is_open and not self.conn.closing:
            self.conn.send(
                codec.error(
                    {
                        408: "ERR a command that does not end",
                        503: "ERR max number of clients reached",
                    }.get(status, f"ERR {status}")
                )
            )
            self.finish()

    def on_disconnect(self) -> None:
        waiting, self.waiting, self.busy = list(self.waiting), deque(), {}
        for answer in waiting:
            answer.hangup()

    def is_quiet(self) -> bool:
        return not self.waiting and super().is_quiet()

    def received(self, view: memoryview) -> None:
        self.listener.idle.pop(self, None)
        self.reader.feed(view)
        self.go_on()

    def go_on(self) -> None:
        """Take what has come, as far as there is room for its answers."""
        while self.conn.is_open and not self.conn.closing:
            if (
                len(self.conn.write_buffer) > MOST_HELD
            ):  # it does not read: look again, as nobody tells when it does
                self.conn.pause_reading(True)
                self.listener.loop.call_later(LOOK_AGAIN, self.look)
                return
            if len(self.waiting) >= MOST_WAITING or len(self.waiting) * self.large > MOST_HELD:
                return self.conn.pause_reading(True)
            words = self.reader.command()
            if words is None:
                break
            if words:
                self.listener.awaiting_request.pop(self, None)
                self.take(words)
        self.conn.pause_reading(False)
        if self.reader.broken and self.conn.is_open and not self.conn.closing:
            self.waiting.append(Answer(self))
            self.waiting[-1].put(codec.error(f"ERR Protocol error: {self.reader.broken}"))
            self.finish()
        elif self.conn.is_open and not self.conn.closing and not self.waiting:
            if self.reader.waiting():
                if self not in self.listener.awaiting_request:
                    self.listener.await_request(self)
            else:
                self.listener.awaiting_request.pop(self, None)
                self.listener.idle[self] = None
                self.listener.trim_idle()

    def look(self) -> None:
        if self.conn.is_open and self.conn.read_paused:
            self.go_on()

    def flush(self) -> None:
        """Write what is answered, in order: an answer waits for all that were asked for before it."""
        out = []
        while self.waiting and self.waiting[0].bytes is not None:
            out.append(self.waiting.popleft().bytes or b"")
            self.large += (len(out[-1]) - self.large) // 8
        if out and self.conn.is_open:
            self.conn.send(b"".join(out))
            if self.listener.closes_after_response and not self.waiting:
                return self.finish()
        if (
            out
            and self.conn.is_open
            and not self.conn.closing
            and (self.conn.read_paused or not self.waiting)
        ):
            self.listener.loop.call_soon(self.go_on)

    # --- commands

    def take(self, words: list[bytes]) -> None:
        name = words[0].upper()
        local = LOCAL.get(name)
        answer = Answer(self)
        self.waiting.append(answer)
        if self.user is None and name not in (b"AUTH", b"HELLO", b"QUIT", b"RESET"):
            return answer.put(codec.error("NOAUTH Authentication required."))
        if local:
            return answer.put(local(self, words))
        command = COMMANDS.get(name)
        if command is None:
            shown = words[0][:60].decode(errors="replace")
            return answer.put(
                codec.error(
                    f"ERR '{shown}' is not served here"
                    if name in REFUSED
                    else f"ERR unknown command '{shown}'"
                )
            )
        if not fits(command, words):
            return answer.put(
                codec.error(f"ERR wrong number of arguments for '{name.decode().lower()}' command")
            )
        by_slot: dict[int, list[int]] = {}
        asked = keys(command, words)
        for place, key in enumerate(asked):
            by_slot.setdefault(slot_of(key), []).append(place)
        if len(by_slot) == 1:
            return self.ask(answer, command, words, asked[0], next(iter(by_slot)))
        if not command.split:
            return answer.put(codec.error("CROSSSLOT Keys in request don't hash to the same slot"))
        joined = Joined(self, command.split)
        self.waiting[-1] = joined
        joined.places = list(by_slot.values())
        joined.parts = [Answer(self, joined) for _ in by_slot]
        for part, (slot, places) in zip(joined.parts, by_slot.items()):
            few = [words[0], *(asked[place] for place in places)]
            self.ask(part, command, few, few[1], slot)

    def ask(
        self, answer: Answer, command: Command, words: list[bytes], key: bytes, slot: int
    ) -> None:
        self.count += 1
        rule_set, left = self.parts.terms_of(command)
        answer.slot, answer.write = slot, command.write
        id = b"%d-%d" % (self.number, self.count)
        answer.after = partial(
            self.listener.handler.handle_request,
            answer,
            id,
            rule_set,
            left,
            command.write,
            key,
            self.tenant,
            codec.command(*words),
            b"",
            slot,
        )
        line = self.busy.setdefault(slot, [])
        line.append(answer)
        self.go_if_may(line, answer)

    @staticmethod
    def go_if_may(line: list[Answer], answer: Answer) -> None:
        """Commands of one connection for one slot act in their order: only reads may be out together."""
        before = line[: line.index(answer)]
        if answer.after and (
            not before or not answer.write and not any(other.write for other in before)
        ):
            act, answer.after = answer.after, None
            act()

    def done(self, answer: Answer) -> None:
        """The next commands for its slot may go, once this call is over."""
        line = self.busy.get(answer.slot, [])
        if answer in line:
            line.remove(answer)
        if not line:
            self.busy.pop(answer.slot, None)
        else:
            self.listener.loop.call_soon(self.release, answer.slot)

    def release(self, slot: int) -> None:
        for answer in list(self.busy.get(slot, ())):
            if self.conn.is_open and answer in self.busy.get(slot, ()):
                self.go_if_may(self.busy[slot], answer)

    # --- what needs no host

    def hello(self, words: list[bytes]) -> bytes:
        more = [word.upper() for word in words[2:]]
        if len(words) > 1 and words[1] not in (b"2", b"3"):
            return codec.error("NOPROTO unsupported protocol version")
        if b"AUTH" in more:
            at = 2 + more.index(b"AUTH")
            if len(words) < at + 3 or not self.let(words[at + 1], words[at + 2]):
                return codec.error("WRONGPASS invalid username-password pair or user is disabled.")
        if self.user is None:
            return codec.error("NOAUTH HELLO must be called with the client already authenticated.")
        if b"SETNAME" in more and len(words) > 3 + more.index(b"SETNAME"):
            self.name = words[3 + more.index(b"SETNAME")]
        if len(words) > 1:
            self.resp3 = words[1] == b"3"
        text = codec.bulk
        return codec.mapping(
            [
                (text(b"server"), text(NAME)),
                (text(b"version"), text(b"7.0.0")),
                (text(b"proto"), b":%d\r\n" % (3 if self.resp3 else 2)),
                (text(b"id"), b":%d\r\n" % self.number),
                (text(b"mode"), text(b"cluster")),
                (text(b"role"), text(b"master")),
                (text(b"modules"), codec.array([])),
            ],
            self.resp3,
        )

    def let(self, user: bytes, secret: bytes) -> bool:
        """Whether the pair is known; takes the same time whichever of the two is wrong."""
        kept, tenant = self.parts.users.get(user, ("", ""))
        right = hmac.compare_digest(
            sha256(secret).hexdigest(), kept or sha256(b"").hexdigest()
        ) and bool(kept)
        if right:
            self.user, self.tenant = user, tenant
        return right

    def auth(self, words: list[bytes]) -> bytes:
        if len(words) not in (2, 3):
            return codec.error("ERR wrong number of arguments for 'auth' command")
        if self.let(words[1] if len(words) == 3 else b"default", words[-1]):
            return OK
        return codec.error("WRONGPASS invalid username-password pair or user is disabled.")

    def ping(self, words: list[bytes]) -> bytes:
        return codec.bulk(words[1]) if len(words) > 1 else b"+PONG\r\n"

    def echo(self, words: list[bytes]) -> bytes:
        return (
            codec.bulk(words[1])
            if len(words) == 2
            else codec.error("ERR wrong number of arguments for 'echo' command")
        )

    def select(self, words: list[bytes]) -> bytes:
        return (
            OK if words[1:] == [b"0"] else codec.error("ERR SELECT is not allowed in cluster mode")
        )

    def client(self, words: list[bytes]) -> bytes:
        what = words[1].upper() if len(words) > 1 else b""
        if what == b"ID":
            return b":%d\r\n" % self.number
        if what == b"SETNAME" and len(words) == 3:
            self.name = words[2]
            return OK
        if what == b"GETNAME":
            return codec.bulk(self.name or None, self.resp3)
        if what in (b"SETINFO", b"NO-EVICT", b"NO-TOUCH"):
            return OK
        return codec.error("ERR unknown subcommand or wrong number of arguments for 'CLIENT'")

    def command(self, words: list[bytes]) -> bytes:
        what = words[1].upper() if len(words) > 1 else b""
        if what == b"COUNT":
            return b":%d\r\n" % len(COMMANDS)
        if what == b"DOCS":
            return codec.mapping([], self.resp3)
        if what == b"GETKEYS" and len(words) > 2:
            command = COMMANDS.get(words[2].upper())
            if command is None or not fits(command, words[2:]):
                return codec.error("ERR Invalid command specified")
            return codec.array([codec.bulk(key) for key in keys(command, words[2:])])
        if what in (b"", b"INFO"):
            named = [word.upper() for word in words[2:]] or list(COMMANDS)
            return codec.array(
                [entry_of(COMMANDS[name]) if name in COMMANDS else b"*-1\r\n" for name in named]
            )
        return codec.error("ERR unknown subcommand or wrong number of arguments for 'COMMAND'")

    def info(self, words: list[bytes]) -> bytes:
        clients = len(self.listener.open_clients)
        return codec.bulk(
            b"# Server\r\nredis_version:7.0.0\r\nredis_mode:cluster\r\n"
            b"# Clients\r\nconnected_clients:%d\r\n# Cluster\r\ncluster_enabled:1\r\n" % clients
        )

    def cluster(self, words: list[bytes]) -> bytes:
        """To its clients the balancer is one server that owns all slots."""
        what = words[1].upper() if len(words) > 1 else b""
        host, port = self.parts.shown
        me, last = self.parts.me, b":%d\r\n" % (SLOT_COUNT - 1)
        where = [codec.bulk(host.encode()), b":%d\r\n" % port, codec.bulk(me)]
        if what == b"SLOTS":
            return codec.array(
                [codec.array([b":0\r\n", last, codec.array([*where, codec.array([])])])]
            )
        if what == b"SHARDS":
            text = codec.bulk
            node = codec.mapping(
                [
                    (text(b"id"), text(me)),
                    (text(b"port"), b":%d\r\n" % port),
                    (text(b"ip"), text(host.encode())),
                    (text(b"endpoint"), text(host.encode())),
                    (text(b"role"), text(b"master")),
                    (text(b"replication-offset"), b":0\r\n"),
                    (text(b"health"), text(b"online")),
                ],
                self.resp3,
            )
            return codec.array(
                [
                    codec.mapping(
                        [
                            (text(b"slots"), codec.array([b":0\r\n", last])),
                            (text(b"nodes"), codec.array([node])),
                        ],
                        self.resp3,
                    )
                ]
            )
        if what == b"NODES":
            return codec.bulk(
                b"%b %b:%d@%d myself,master - 0 0 1 connected 0-%d\n"
                % (me, host.encode(), port, port + 10_000, SLOT_COUNT - 1)
            )
        if what == b"MYID":
            return codec.bulk(me)
        if what == b"KEYSLOT" and len(words) == 3:
            return b":%d\r\n" % slot_of(words[2])
        if what == b"INFO":
            return codec.bulk(
                b"cluster_state:ok\r\ncluster_slots_assigned:%d\r\ncluster_known_nodes:1\r\n"
                b"cluster_size:1\r\n" % SLOT_COUNT
            )
        return codec.error("ERR unknown subcommand or wrong number of arguments for 'CLUSTER'")

    def okay(self, words: list[bytes]) -> bytes:
        return OK

    def reset(self, words: list[bytes]) -> bytes:
        self.resp3, self.name = False, b""
        if not self.parts.open:
            self.user = None
        return b"+RESET\r\n"

    def quit(self, words: list[bytes]) -> bytes:
        self.listener.loop.call_soon(self.finish)
        return OK


# categories, tips, key specifications, subcommands: clients count on them
EMPTY = (codec.array([]),) * 4


def entry_of(command: Command) -> bytes:
    flags = codec.array([b"+write\r\n" if command.write else b"+readonly\r\n"])
    return codec.array(
        [
            codec.bulk(command.name.lower()),
            b":%d\r\n" % -command.least,
            flags,
            b":%d\r\n" % command.first,
            b":%d\r\n" % command.last,
            b":%d\r\n" % command.step,
            *EMPTY,
        ]
    )


LOCAL = {
    b"HELLO": RespCaller.hello,
    b"AUTH": RespCaller.auth,
    b"PING": RespCaller.ping,
    b"ECHO": RespCaller.echo,
    b"SELECT": RespCaller.select,
    b"CLIENT": RespCaller.client,
    b"COMMAND": RespCaller.command,
    b"INFO": RespCaller.info,
    b"CLUSTER": RespCaller.cluster,
    b"READONLY": RespCaller.okay,
    b"READWRITE": RespCaller.okay,
    b"ASKING": RespCaller.okay,
    b"RESET": RespCaller.reset,
    b"QUIT": RespCaller.quit,
}
