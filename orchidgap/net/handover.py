"""Two processes of one balancer, while a new version takes the place of an old one.

The newcomer calls the process that serves on a Unix socket of packets, and is told what that knows. From then
on each tells the other what it holds; once the newcomer serves and the old one leaves, connections go too.
"""

from __future__ import annotations

import errno
import os
import socket
import struct
from collections import deque
from collections.abc import Callable, Iterable, Sequence
from contextlib import suppress
from typing import TYPE_CHECKING, Any, NamedTuple
from zlib import crc32

import orjson

from orchidgap.decisions import warm_snapshot
from orchidgap.net.config import ConfigError
from orchidgap.net.connection import OUT_OF_RESOURCES_ERRNOS
from orchidgap.net.loop import READ, WRITE, Loop

if TYPE_CHECKING:
    from orchidgap.net.node import Node

FORM = 1  # of the packets; a process that speaks another one is left alone
MOST = 1 << 18  # bytes of a packet
AT_ONCE = 24  # descriptors in a packet
BEHIND = 256  # packets that may wait for a process that does not read
PART = 32  # hosts in a packet
ESTATE_WITHIN = 1_500_000  # for the other process to tell what it knows; then it is done without
TICK = 5_000  # how often each tells the other what it holds
LEAST = 64  # descriptors that a newcomer is left in any case
LATER = OUT_OF_RESOURCES_ERRNOS | {
    errno.ETOOMANYREFS,
    errno.EMSGSIZE,
}  # not now, and perhaps not at all
CREDENTIALS = struct.Struct("3i")


def inherited_listener(number: str) -> socket.socket:
    """The listening socket that this process was given, by its descriptor's number. Raises ConfigError."""
    try:
        listener = socket.socket(fileno=int(number))
    except (ValueError, OverflowError, OSError) as trouble:
        raise ConfigError(
            f"GW_PASSED_SOCKET is {number!r}, which is no open socket: {trouble}"
        ) from None
    try:
        listens = listener.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
    except OSError:
        listens = 0
    if not listens or (listener.family, listener.type) != (socket.AF_INET, socket.SOCK_STREAM):
        listener.detach()
        raise ConfigError(f"GW_PASSED_SOCKET is {number}, which is no listening TCP socket")
    listener.setblocking(False)
    return listener


class MigratingRequest(NamedTuple):
    """A req that goes on in another process."""

    words: list[Any]
    raw: bytes  # what goes with them
    socks: list[socket.socket]  # its connections
    let_go: Callable[[], None]  # called once they have gone


class PacketChannel:
    """Packets between two processes, with the descriptors that go with them. Each is a line that holds a list
    (a word and more), and what is behind that line."""

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        heard: Callable[[list[Any], bytes, list[int]], None],
        ended: Callable[[str], None],
    ) -> None:
        self.loop, self.sock, self.heard, self.over = loop, sock, heard, ended
        self.behind: deque[bytes] = deque()
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4 * MOST)
        self.mask = READ
        loop.watch(sock, READ, self.ready)

    def send(self, *words: Any) -> None:
        """In their order, as soon as the other reads."""
        self.behind.append(orjson.dumps(words))
        self.flush()

    def flush(self) -> None:
        try:
            while self.behind:
                self.sock.send(self.behind[0])
                self.behind.popleft()
        except BlockingIOError:
            pass
        except OSError as error:
            return self.end(error.strerror or "broken")
        if len(self.behind) > BEHIND:
            return self.end("does not read")
        mask = READ | (WRITE if self.behind else 0)
        if mask != self.mask:
            self.mask = mask
            self.loop.rewatch(self.sock, mask, self.ready)

    def hand(self, words: Sequence[Any], socks: Sequence[socket.socket], raw: bytes = b"") -> bool:
        """Descriptors go at once, or not at all; whether they went."""
        if self.behind or self.sock.fileno() < 0:
            return False
        try:
            socket.send_fds(
                self.sock, [orjson.dumps(words), b"\n", raw], [sock.fileno() for sock in socks]
            )
        except BlockingIOError:
            return False
        except OSError as error:
            if error.errno not in LATER:
                self.end(error.strerror or "broken")
            return False
        return True

    def ready(self, mask: int) -> None:
        if mask & WRITE:
            self.flush()
        for _ in range(AT_ONCE):
            if self.sock.fileno() < 0:
                return
            fds: list[int] = []
            try:
                text, fds, flags, _ = socket.recv_fds(
                    self.sock, MOST, AT_ONCE, socket.MSG_CMSG_CLOEXEC
                )
            except BlockingIOError:
                return
            except OSError as error:
                return self.end(error.strerror or "broken")
            if not text:
                return self.end("closed")
            try:
                line, _, raw = text.partition(b"\n")
                words = orjson.loads(line)
                if (
                    flags & (socket.MSG_TRUNC | socket.MSG_CTRUNC)
                    or not isinstance(words, list)
                    or not words
                ):
                    raise ValueError("cut off")
                self.heard(words, raw, fds)
            except (ValueError, TypeError, LookupError, AttributeError) as trouble:
                return self.end(f"spoke oddly: {trouble}"[:120])
            finally:
                for fd in fds:
                    with suppress(OSError):
                        os.close(fd)

    def end(self, why: str) -> None:
        if self.sock.fileno() >= 0:
            self.close()
            self.over(why)

    def close(self) -> None:
        if self.sock.fileno() >= 0:
            self.loop.unwatch(self.sock)
            self.sock.close()


class SiblingProcess:
    """The other process, as far as it has told."""

    def __init__(self) -> None:
        self.channel: PacketChannel
        self.open_request_ids: set[str] = set()  # ids of the reqs that are open there
        self.in_flight: dict[str, int] = {}  # by host: its dispatches that are out
        self.told: tuple[set[str], dict[str, int], int] = (set(), {}, 0)  # what it was told last
        self.is_serving = False


class Handover:
    """This process's side. `elder` was here before it, `heir` came after."""

    def __init__(
        self, loop: Loop, node: Node, folder: str | None = None, shared: bool = False
    ) -> None:
        """`folder` is common to all processes of this balancer; `shared` where they share its listener."""
        self.loop, self.node, self.shared = loop, node, shared
        self.predecessor: SiblingProcess | None = None
        self.successor: SiblingProcess | None = None
        self.active = False  # there is another process
        self.awaiting_snapshot = False  # for what the elder knows
        name = f"orchidgap-{crc32(node.config.name.encode()):08x}"
        self.path = os.path.join(folder, name) if folder else ""
        self.listener: socket.socket | None = None
        self.fleet: dict[str, tuple[Any, Any]] = {}  # the elder's list, while it is told
        self.known: dict[str, Any] = {}  # what it knows of its hosts, while that is told

    # --- how they find each other

    def find_predecessor(self) -> None:
        """Look for a process that serves already. Where that could not be seen, both must do with half."""
        if not self.shared:
            return
        if not (self.path and os.path.isdir(os.path.dirname(self.path))):
            half = self.node.config.descriptors // 2
            self.node.event_log("companion unseen", why="no folder that both see", descriptors=half)
            return self.node.set_descriptor_limit(half)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with At(self.path) as path:
                sock.setblocking(False)
                sock.connect(path)
        except OSError:  # nobody there, or nobody who answers
            return sock.close()
        self.join_predecessor(sock)

    def join_predecessor(self, sock: socket.socket) -> None:
        """There is one: it lets clients in until this one can."""
        self.predecessor, self.active = (kin := SiblingProcess()), True
        kin.channel = PacketChannel(self.loop, sock, self.from_elder, self.elder_gone)
        self.awaiting_snapshot = True
        self.node.clients.leave_listener()
        self.node.set_descriptor_limit(LEAST)
        kin.channel.send("hello", FORM, self.node.config.name)
        self.loop.call_later(ESTATE_WITHIN, self.wait_no_more)
        self.tick()

    def announce_serving(self) -> None:
        """From now on clients come here, and a newer process finds this one."""
        self.node.clients.return_to_listener()
        if self.predecessor:
            self.predecessor.channel.send("serving")
        if self.path and self.shared and not self.listener:
            listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            try:
                listener.setblocking(False)
                with At(f"{self.path}.{os.getpid()}") as path, suppress(FileNotFoundError):
                    os.unlink(path)
                with At(f"{self.path}.{os.getpid()}") as path:
                    listener.bind(path)
                listener.listen(8)
                os.replace(f"{self.path}.{os.getpid()}", self.path)
            except OSError as trouble:
                listener.close()
                return self.node.event_log(
                    "companion unseen", why=f"{self.path}: {trouble.strerror}"
                )
            self.listener = listener
            self.loop.watch(listener, READ, self.accept)

    def accept(self, mask: int = READ) -> None:
        while self.listener:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            who = sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, CREDENTIALS.size)
            if CREDENTIALS.unpack(who)[1] != os.getuid():
                sock.close()
                continue
            self.accept_successor(sock)

    def accept_successor(self, sock: socket.socket) -> None:
        """A newer process is there. Should there have been one before, it has failed."""
        if self.successor:
            self.successor.channel.end("another came")
        self.successor, self.active = (kin := SiblingProcess()), True
        kin.channel = PacketChannel(self.loop, sock, self.from_heir, self.heir_gone)

    # --- what they say

    def from_heir(self, words: list[Any], raw: bytes, fds: list[int]) -> None:
        kin, node = self.successor, self.node
        assert kin
        if words[0] == "hello":
            if words[1:] != [FORM, node.config.name]:
                raise ValueError(f"not of this balancer: {words!r}")
            node.event_log(
                "heir found", reqs=len(node.exchanges), clients=len(node.clients.open_clients)
            )
            self.bound()
            kin.channel.send("room", node.config.descriptors - node.descriptor_limit)
            ids = list(node.endpoints)
            for at in range(0, len(ids), PART):
                kin.channel.send("list", [[*node.endpoints[id]] for id in ids[at : at + PART]])
            known = (
                warm_snapshot.export_snapshot(node.balancer)
                if node.has_warm_state
                else {"hosts": {}, "tenants": {}}
            )
            hosts = list(known["hosts"].items())
            for at in range(0, len(hosts), PART):
                kin.channel.send("estate", dict(hosts[at : at + PART]))
            kin.channel.send("all", known["tenants"])
            self.tick()
        elif words[0] == "serving":
            kin.is_serving = True
            node.lifecycle.set_successor_accepts(True)
            node.clients.leave_listener()
            node.event_log(
                "heir serves", reqs=len(node.exchanges), clients=len(node.clients.open_clients)
            )
        elif words[0] == "now":
            self.hear(kin, *words[1:])
        else:
            raise ValueError(f"what is {words[0]!r}?")

    def from_elder(self, words: list[Any], raw: bytes, fds: list[int]) -> None:
        kin, node = self.predecessor, self.node
        assert kin
        if words[0] == "room":
            node.set_descriptor_limit(max(LEAST, min(int(words[1]), node.config.descriptors)))
        elif words[0] == "list":
            for entry, (id, state, (host, port)) in words[1]:
                if [type(value) for value in entry[:6]] != [str, str, int, str, str, str] or len(
                    entry
                ) != 7:
                    raise ValueError("no entry of a list")
                self.fleet[id] = (
                    (*entry[:6], float(entry[6])),
                    (str(id), str(state), (str(host), int(port))),
                )
        elif words[0] == "estate":
            self.known.update(words[1])
        elif words[0] == "all":
            if self.awaiting_snapshot:
                self.inherit(words[1])
        elif words[0] == "clients":
            for fd in fds:
                node.clients.adopt_connection(socket.socket(fileno=os.dup(fd)))
        elif words[0] == "links":
            for fd, tag in zip(fds, words[1]):
                node.pools.adopt_connection(tag, socket.socket(fileno=os.dup(fd)))
        elif words[0] in ("begun", "answer", "upload"):
            node.protocol.accept_migrated(
                node, words, raw, [socket.socket(fileno=os.dup(fd)) for fd in fds]
            )
        elif words[0] == "now":
            self.hear(kin, *words[1:])
        else:
            raise ValueError(f"what is {words[0]!r}?")

    def inherit(self, tenants: Any) -> None:
        """All is told: the list, which is newer than what this process was started with, and the rest."""
        node = self.node
        if self.fleet:
            entries, found = zip(*self.fleet.values())
            node.on_list(True, list(entries), list(found))
        taken = 0
        if node.has_warm_state:
            node.balancer.now = self.loop.now
            taken = warm_snapshot.restore_snapshot(
                node.balancer, {"hosts": self.known, "tenants": tenants}
            )
        self.fleet, self.known = {}, {}
        node.event_log("estate taken", hosts=taken)
        self.wait_no_more()

    def hear(
        self, kin: SiblingProcess, added: list[str], gone: list[str], outs: dict[str, int]
    ) -> None:
        kin.open_request_ids.update(added)
        kin.open_request_ids.difference_update(gone)
        if outs != kin.in_flight:
            kin.in_flight = {str(id): int(out) for id, out in outs.items()}
            self.weigh()

    def weigh(self) -> None:
        """What other processes have out at a host counts there."""
        outs: dict[str, int] = {}
        for kin in self.kin():
            for id, out in kin.in_flight.items():
                outs[id] = outs.get(id, 0) + out
        self.node.call_decisions(self.node.balancer.on_sibling_in_flight, outs)

    # --- what each keeps telling

    def kin(self) -> Iterable[SiblingProcess]:
        return [kin for kin in (self.predecessor, self.successor) if kin]

    def is_request_open(self, id: bytes) -> bool:
        """Whether a req of this id is open in another process."""
        name = id.decode("latin-1")
        return any(name in kin.open_request_ids for kin in self.kin())

    def tick(self) -> None:
        """As long as there is another process."""
        kins = self.kin()
        if not kins:
            return
        names = {name.decode("latin-1") for name in self.node.open_request_ids}
        outs = {
            host.id: host.in_flight for host in self.node.balancer.hosts.values() if host.in_flight
        }
        if self.successor:
            self.bound()
        for kin in kins:
            room = (
                self.node.config.descriptors - self.node.descriptor_limit
                if kin is self.successor
                else 0
            )
            if (names, outs, room) != kin.told:
                if room != kin.told[2]:
                    kin.channel.send("room", room)
                kin.channel.send(
                    "now", sorted(names - kin.told[0]), sorted(kin.told[0] - names), outs
                )
                kin.told = names, outs, room
        if self.successor and self.node.lifecycle.migrates_connections:
            self.hand()
        self.loop.call_later(TICK, self.tick)

    def bound(self) -> None:
        """While a newer process is there, this one keeps what it holds, or half; the other has the rest."""
        node = self.node
        total, held = node.config.descriptors, node.descriptors_needed()
        half = 0 if node.lifecycle.migrates_connections else total // 2
        node.set_descriptor_limit(min(total - LEAST, max(half, held + 8)))

    def hand(self) -> None:
        """Connections on which no req is go over as they are."""
        assert self.successor
        passage = self.successor.channel
        clients = self.node.clients.transferable()
        for at in range(0, len(clients), AT_ONCE):
            group = clients[at : at + AT_ONCE]
            if not passage.hand(["clients"], [client.conn.sock for client in group]):
                return
            for client in group:
                client.close()
        links = self.node.pools.transferable()
        for at in range(0, len(links), AT_ONCE):
            some = links[at : at + AT_ONCE]
            if not passage.hand(
                ["links", [tag for tag, _, _ in some]], [sock for _, sock, _ in some]
            ):
                return
            for _, _, close in some:
                close()
        for moving in self.node.protocol.migrating_requests(self.node):
            if not passage.hand(moving.words, moving.socks, moving.raw):
                return
            moving.let_go()

    # --- how they part

    def wait_no_more(self) -> None:
        if self.awaiting_snapshot:
            self.awaiting_snapshot = False
            self.node.check_ready()

    def elder_gone(self, why: str) -> None:
        self.node.event_log(
            "elder gone",
            why=why,
            reqs=len(self.predecessor.open_request_ids) if self.predecessor else 0,
        )
        self.predecessor = None
        self.awaiting_snapshot, waited = False, self.awaiting_snapshot
        self.alone()
        self.node.clients.return_to_listener()
        if waited:
            self.node.check_ready()

    def heir_gone(self, why: str) -> None:
        """It failed, or left before this one did: all is as before it came."""
        self.node.event_log("heir gone", why=why)
        self.successor = None
        self.node.lifecycle.set_successor_accepts(False)
        self.alone()
        self.node.clients.return_to_listener()

    def alone(self) -> None:
        self.active = bool(self.kin())
        if not self.active:
            self.node.set_descriptor_limit(self.node.config.descriptors)
        self.weigh()

    def close(self) -> None:
        """This process ends."""
        for kin in self.kin():
            kin.channel.close()
        if self.listener:
            with suppress(OSError):
                if not self.successor:  # else the file is the heir's by now
                    os.unlink(self.path)
            self.loop.unwatch(self.listener)
            self.listener.close()
            self.listener = None


class At:
    """A path that a Unix socket's address has room for: by its folder's descriptor where it is too long."""

    def __init__(self, path: str) -> None:
        self.path, self.folder = path, -1

    def __enter__(self) -> str:
        if len(self.path.encode()) < 100:
            return self.path
        self.folder = os.open(os.path.dirname(self.path), os.O_PATH | os.O_DIRECTORY)
        return f"/proc/self/fd/{self.folder}/{os.path.basename(self.path)}"

    def __exit__(self, *_: Any) -> None:
        if self.folder >= 0:
            os.close(self.folder)
