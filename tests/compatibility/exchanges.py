"""What is recorded: each function plays one exchange and returns it as plain data.

`record.py` writes what these return to `data/`; the tests play them again and compare byte for byte.
Bytes stand in the data as text in latin-1, one letter a byte.
"""

from __future__ import annotations

import json
import shutil
import socket
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Any

import other_sides
import program

LEASE_US = 1_000_000
SETTINGS = {
    "kinds": ["cache", "origin"],
    "family-info": {"mode": "aside", "origin-kind": "1"},
    "rule-sets": [
        {"name": "read", "effect": "retryable", "client-timeout": 2_000_000},
        {"name": "mark", "effect": "dedup", "client-timeout": 2_000_000, "group": "all"},
    ],
    "customers": [{"name": "big", "share": 0.5}, {"name": "small", "share": 0.5}],
}
NEW_SETTINGS = SETTINGS | {"ceilings": {"most-dispatches": 3}}
DOCUMENT = {"settings": SETTINGS}
NEW_DOCUMENT = {"settings": NEW_SETTINGS, "needs": 1}


def host(number: int, health: str = "Ready") -> dict[str, Any]:
    """An entry of discovery's list; number 9 is the origin."""
    return {
        "host": f"c{number}" if number < 9 else "o",
        "dial": f"127.0.0.1:{100 + number}",
        "site": "z",
        "class": "cache" if number < 9 else "origin",
        "block": 1,
        "health": health,
        "share": 1.0,
        "born_ms": 0,
    }


def config(caches: int = 2, **more: Any) -> dict[str, Any]:
    return {
        "name": "b0",
        "listen": "127.0.0.1:1",
        "discovery": "127.0.0.1:8500",
        "seed": "7",
        "limits": {"sockets": 1024, "memory_mb": 192},
        "known": {"seq": 7, "whole": True, "hosts": [host(i) for i in range(caches)] + [host(9)]},
        "settings": SETTINGS,
    } | more


def request(path: str, content: object) -> bytes:
    """A call to control, byte for byte as the program sends it."""
    body = json.dumps(content, separators=(",", ":")).encode()
    head = f"PUT {path} HTTP/1.1\r\nHost: control\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class Stage:
    """Parts of the program on one event loop, driven until nothing is left to be done."""

    def __init__(self) -> None:
        self.events = program.EventLoop()
        self.parts: list[Any] = []

    def settle(self) -> None:
        """Nothing is on its way: no call is out, no file is being written, no callback waits."""
        idle = 0
        while idle < 4:
            self.events.turn()
            busy = self.events.has_pending_callbacks() or any(p.is_busy() for p in self.parts)
            idle = 0 if busy else idle + 1

    def advance(self, microseconds: int) -> None:
        """Time passes; what is due on the way happens, each thing at its time."""
        end = self.events.now_us + microseconds
        while (due := self.events.next_timer_us()) is not None and due <= end:
            self.events.now_us = max(self.events.now_us, due)
            self.settle()
        self.events.now_us = end
        self.settle()


# --- control


def control_calls(folder: Path) -> list[dict[str, str]]:
    """Every call that a control process answers, in an order in which each means something."""
    stage, address = Stage(), other_sides.free_address()
    control = program.ControlProcess(stage.events, "k0", {"k0": address}, address, folder, LEASE_US)
    stage.parts.append(control)
    control.begin(new=True)
    steps: list[dict[str, str]] = []

    def say(text: bytes) -> None:
        answer = other_sides.ask(address, text, stage.events.turn)
        steps.append({"request": text.decode("latin-1"), "answer": answer.decode("latin-1")})
        stage.settle()

    def call(path: str, content: object) -> None:
        say(request(path, content))

    def lease(name: str, heard: int, **more: object) -> None:
        told = {"name": name, "life": "a1", "alone": "leave", "runs": 0, "promised": 0}
        call("/lease", told | {"refused": 0, "why": "", "heard": heard} | more)

    call("/status", {})
    call("/check", {"doc": DOCUMENT})
    call("/check", {"doc": {"settings": {}}})
    call("/check", {"doc": {"settings": SETTINGS, "needs": 7}})
    lease("b0", 0)
    call("/join", {"name": "b1", "life": "ff"})
    call("/settle", {})
    call("/change", {"id": "x1"})
    call("/propose", {"id": "x0", "doc": {}, "again": False, "after": 0})
    call("/propose", {"id": "x1", "doc": DOCUMENT, "again": False, "after": 0})
    call("/change", {"id": "x1"})
    call("/propose", {"id": "x2", "doc": NEW_DOCUMENT, "again": False, "after": 1})
    call("/waits", {})
    lease("b0", stage.events.now_us)
    lease("b0", stage.events.now_us, promised=1)
    lease("b1", 0, life="ff", alone="stay")
    call("/status", {})
    stage.advance(1_200_000)
    call("/waits", {})
    call("/strike", {"name": "b1", "life": "other"})
    call("/strike", {"name": "b1", "life": "ff"})
    stage.advance(1_200_000)
    call("/change", {"id": "x1"})
    lease("b0", stage.events.now_us, runs=0, promised=1)
    lease("b0", stage.events.now_us, runs=1)
    call("/propose", {"id": "x3", "doc": NEW_DOCUMENT, "again": False, "after": 2})
    lease("b0", stage.events.now_us, runs=1, refused=3, why="no: it does not fit")
    call("/waits", {})
    stage.advance(300_000)
    call("/change", {"id": "x3"})
    call("/change", {"id": "x9"})
    call("/propose", {"id": "x1", "doc": DOCUMENT, "again": False, "after": 3})
    call("/part", {"name": "b0", "life": "a1"})
    call("/prepare", {"ballot": [1, "k1"]})
    call("/prepare", {"ballot": [99, "k1"]})
    call("/accept", {"ballot": [98, "k1"], "value": {}})
    decided = {"n": 2, "id": "x9", "try": 4, "doc": NEW_DOCUMENT, "next": None, "tries": 4}
    decided |= {"stay": {}, "past": [[2, "x9", "decided", ""]]}
    lease("b0", stage.events.now_us, runs=1)
    call("/accept", {"ballot": [99, "k1"], "value": decided})
    lease("b0", stage.events.now_us, runs=1)
    call("/part", {"name": "b0", "life": "a1"})
    call("/accept", {"ballot": [99, "k1"], "value": decided})
    call("/status", {})
    call("/nowhere", {})
    call("/join", {"name": "b1"})
    say(b"PUT /join HTTP/1.1\r\nHost: control\r\nContent-Length: 1\r\n\r\n{")
    say(b"PUT /join HTTP/1.1\r\nHost: control\r\nContent-Length: 2\r\n\r\n[]")
    say(b"GET /status HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n")
    say(b"GET /status HTTP/1.0\r\nHost: control\r\nConnection: close\r\n\r\n")
    say(b"no call at all\r\n\r\n")
    control.close()
    return steps


def lost_control_calls(folder: Path) -> list[dict[str, str]]:
    """What one of three control processes says that has lost its disk, while the others are away."""
    stage, steps = Stage(), []
    at = {name: other_sides.free_address() for name in ("k0", "k1", "k2")}
    control = program.ControlProcess(stage.events, "k0", at, at["k0"], folder, LEASE_US)
    control.begin(new=False)
    lease = {"name": "b0", "life": "a1", "alone": "leave", "runs": 0, "promised": 0, "refused": 0}
    calls: dict[str, object] = {
        "/lease": lease | {"why": "", "heard": 0},
        "/waits": {},
        "/prepare": {"ballot": [1, "k1"]},
        "/accept": {"ballot": [1, "k1"], "value": {}},
        "/status": {},
    }
    for path, content in calls.items():
        text = request(path, content)
        answer = other_sides.ask(at["k0"], text, stage.events.turn)
        steps.append({"request": text.decode("latin-1"), "answer": answer.decode("latin-1")})
    control.close()
    return steps


def control_folders(folder: Path) -> dict[str, bytes]:
    """A control process's file with a version proposed, then decided."""
    stage, address = Stage(), other_sides.free_address()
    control = program.ControlProcess(stage.events, "k0", {"k0": address}, address, folder, LEASE_US)
    stage.parts.append(control)
    control.begin(new=True)
    found = {"control-new/register": (folder / "register").read_bytes()}
    proposal = {"id": "x1", "doc": DOCUMENT, "again": False, "after": 0}
    other_sides.ask(address, request("/propose", proposal), stage.events.turn)
    stage.settle()
    found["control-proposed/register"] = (folder / "register").read_bytes()
    stage.advance(1_200_000)
    found["control-decided/register"] = (folder / "register").read_bytes()
    control.close()
    return found


def between_control_processes(folder: Path) -> list[dict[str, str]]:
    """What k0 says to k1 and hears from it while a version is proposed and decided. k2 is away."""
    stage = Stage()
    at = {name: other_sides.free_address() for name in ("k0", "k1", "k2")}
    with ExitStack() as closing:
        relay = other_sides.Relay(at["k1"])
        closing.callback(relay.close)
        seen = {"k0": at | {"k1": relay.address}, "k1": at}
        for name, addresses in seen.items():
            control = program.ControlProcess(
                stage.events, name, addresses, at[name], folder / name, LEASE_US
            )
            closing.callback(control.close)
            control.begin(new=True)
            stage.parts.append(control)
        proposal = {"id": "x1", "doc": DOCUMENT, "again": False, "after": 0}
        other_sides.ask(at["k0"], request("/propose", proposal), stage.events.turn)
        stage.settle()
        stage.advance(1_300_000)
        return list(relay.transcript)


def balancer_and_control(folder: Path) -> tuple[list[dict[str, str]], dict[str, bytes]]:
    """What a balancer that stays alone says to control, from its first call to its last, while a version is
    decided, and what it has written."""
    stage, address = Stage(), other_sides.free_address()
    with ExitStack() as closing:
        control = program.ControlProcess(
            stage.events, "k0", {"k0": address}, address, folder / "k0", LEASE_US
        )
        closing.callback(control.close)
        control.begin(new=True)
        relay = other_sides.Relay(address)
        closing.callback(relay.close)
        path = folder / "config.json"
        held = {"at": [f"127.0.0.1:{relay.address[1]}"], "dir": str(folder / "b0"), "alone": "stay"}
        path.write_text(json.dumps(config(control=held)))
        balancer = program.LeaseHolder(stage.events, path, folder / "b0", seed=1)
        stage.parts += [control, balancer]
        balancer.begin()
        stage.settle()
        stage.advance(1_100_000)
        assert balancer.may_serve() and balancer.version() == 0
        proposal = {"id": "x1", "doc": DOCUMENT, "again": False, "after": 0}
        other_sides.ask(address, request("/propose", proposal), stage.events.turn)
        stage.settle()
        stage.advance(1_500_000)
        assert balancer.may_serve() and balancer.version() == 1
        refused = {"settings": SETTINGS | {"family-info": {"mode": "aside", "origin-kind": "0"}}}
        proposal = {"id": "x2", "doc": refused, "again": False}
        other_sides.ask(address, request("/propose", proposal | {"after": 1}), stage.events.turn)
        stage.settle()
        stage.advance(600_000)
        balancer.end()
        stage.settle()
        files = {f"balancer/{name}": (folder / "b0" / name).read_bytes() for name in FILES}
        return list(relay.transcript), files


FILES = ("policy", "promise")


def settle_call(folder: Path) -> list[str]:
    """What a balancer says to control processes that each tell something else."""
    stage = Stage()
    told = {"grants": True, "at": 5, "lease": LEASE_US, "again": 250_000, "size": 3, "n": 0}
    told |= {"id": "", "try": 0, "stay": {"b0": None}, "next": None}
    servers = []
    with ExitStack() as closing:
        for i in range(3):
            body = json.dumps({"ballot": [i, f"k{i}"]} | told).encode()
            servers.append(
                other_sides.ScriptedServer({"/lease": [body], "/settle": [b"{}"], "/part": [b"{}"]})
            )
            closing.callback(servers[-1].close)
        path = folder / "config.json"
        at = [f"127.0.0.1:{server.address[1]}" for server in servers]
        path.write_text(json.dumps(config(control={"at": at, "dir": str(folder / "b0")})))
        balancer = program.LeaseHolder(stage.events, path, folder / "b0", seed=1)
        stage.parts.append(balancer)
        balancer.begin()
        stage.settle()
        balancer.end()
        said = [f"{i}: {text}" for i, server in enumerate(servers) for text in server.requests]
        return sorted(said)


# --- handover


class Wire:
    """The test's end of the socket between two processes of one balancer."""

    def __init__(self) -> None:
        self.near, self.far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.far.setblocking(False)
        self.descriptors: list[int] = []

    def heard(self) -> list[dict[str, Any]]:
        """Packets that have come, each a line and what is behind it."""
        packets = []
        with suppress(BlockingIOError):
            while True:
                text, descriptors, _, _ = socket.recv_fds(self.far, 1 << 18, 24)
                if not text:
                    break
                self.descriptors += descriptors
                packets.append({"packet": text.decode("latin-1"), "descriptors": len(descriptors)})
        return packets

    def say(self, packet: str, descriptors: list[int] | None = None) -> None:
        socket.send_fds(self.far, [packet.encode("latin-1")], descriptors or [])

    def taken(self) -> list[socket.socket]:
        """The connections that came with packets."""
        found = [socket.socket(fileno=number) for number in self.descriptors]
        self.descriptors.clear()
        for sock in found:
            sock.setblocking(False)
        return found

    def close(self) -> None:
        self.near.close()
        self.far.close()
        for sock in self.taken():
            sock.close()


class Balancer:
    """One process of a balancer with clients and hosts that the test plays."""

    def __init__(self, caches: int = 2, begins: bool = True, **more: Any) -> None:
        self.events = program.EventLoop()
        self.process = program.BalancerProcess(self.events, config(caches, **more))
        self.kept: list[socket.socket] = []
        if begins:
            self.process.start()
            self.turn()

    def turn(self) -> None:
        for _ in range(6):
            self.events.turn(0)

    def advance(self, microseconds: int) -> None:
        end = self.events.now_us + microseconds
        while (due := self.events.next_timer_us()) is not None and due <= end:
            self.events.now_us = max(self.events.now_us, due)
            self.turn()
        self.events.now_us = end
        self.turn()

    def client(self, text: bytes = b"") -> socket.socket:
        near, far = socket.socketpair()
        far.setblocking(False)
        far.sendall(text)
        self.kept.append(far)
        self.process.accept_client(near)
        self.turn()
        return far

    def get(self, key: str, rule_set: str = "read") -> socket.socket:
        return self.client(get(key, rule_set))

    def hosts(self) -> list[socket.socket]:
        return [sock for port, sock in self.process.dialled if port != 8500]

    def answer_all(self, status: int = 200, delay_us: int = 3_000) -> None:
        """Each host answers what it was asked."""
        self.advance(delay_us)
        for sock in self.hosts():
            if read(sock):
                sock.sendall(b"HTTP/1.1 %d X\r\nContent-Length: 1\r\n\r\nv" % status)
                self.turn()

    def close(self) -> None:
        for sock in [*self.kept, *(sock for _, sock in self.process.dialled)]:
            sock.close()


def get(key: str, rule_set: str = "read") -> bytes:
    return (
        f"GET /{rule_set}/{key}?q=1 HTTP/1.1\r\nHost: s\r\nRequest-Id: r-{key}\r\n"
        f"Tenant: small\r\nRequest-Timeout: 2.0\r\n\r\n"
    ).encode()


def read(sock: socket.socket) -> bytes:
    """What has come to this end; empty where nothing has."""
    try:
        return sock.recv(1 << 18)
    except OSError:
        return b""


HELLO = '["hello",1,"b0"]'
LARGE = bytes(range(256)) * 1_000


def old_side() -> list[dict[str, Any]]:
    """A process that serves, as a newer one hears it: what it knows, what it holds, and its connections once
    it leaves. Each step tells what was said to it and what it said."""
    balancer, wire = Balancer(), Wire()
    for i in range(12):
        balancer.get(f"k{i}")
        balancer.answer_all()
    balancer.get("bad")
    balancer.answer_all(status=500)
    balancer.answer_all()
    for i in range(3):
        balancer.get(f"idle{i}")
    balancer.answer_all()
    balancer.client(b"GET /read/half HTTP/1.1\r\nRequest-Id: r-half\r\nTena")
    flowing = balancer.client(get("large"))
    host_of_flowing = balancer.hosts()[-1]
    for sock in balancer.hosts():
        if read(sock):
            host_of_flowing = sock
    host_of_flowing.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE))
    host_of_flowing.sendall(LARGE[:20_000])
    balancer.turn()
    read(flowing)
    balancer.client(
        b"PUT /mark/up HTTP/1.1\r\nRequest-Id: r-up\r\nIdempotency-Key: m1\r\nTenant: small\r\n"
        b"Request-Timeout: 2.0\r\nContent-Length: %d\r\n\r\n%b" % (len(LARGE), LARGE[:30_000])
    )
    for at in range(30_000, 180_000, 30_000):
        balancer.kept[-1].sendall(LARGE[at : at + 30_000])
        balancer.turn()
        for sock in balancer.hosts():
            if sock is not host_of_flowing:
                read(sock)
    balancer.get("busy")
    listener = socket.create_server(("127.0.0.1", 0))
    balancer.process.share_listener(listener)
    balancer.process.accept_successor(wire.near)
    steps: list[dict[str, Any]] = []

    def step(said: str) -> None:
        balancer.turn()
        steps.append({"said": said, "heard": wire.heard()})

    step("")
    wire.say(HELLO)
    step(HELLO)
    balancer.advance(6_000)
    step("")
    wire.say('["serving"]')
    step('["serving"]')
    now = '["now",["r-new"],[],{"c0":2}]'
    wire.say(now)
    step(now)
    balancer.process.leave()
    balancer.advance(12_000)
    step("")
    steps.append(
        {"clients are told": [read(sock).decode("latin-1") for sock in balancer.kept[-6:]]}
    )
    wire.close()
    balancer.close()
    return steps


def new_side(packets: list[str], again: str = HELLO) -> dict[str, Any]:
    """A process that starts and is told these packets by an older one; what it says to that, and what it
    tells a still newer process of what it was told."""
    balancer, wire, next_wire = Balancer(begins=False), Wire(), Wire()
    listener = socket.create_server(("127.0.0.1", 0))
    balancer.process.share_listener(listener)
    balancer.process.call_predecessor(wire.near)
    balancer.process.start()
    balancer.turn()
    found: dict[str, Any] = {"first": wire.heard(), "ready before": balancer.process.is_ready()}
    for packet in packets:
        wire.say(packet)
    balancer.turn()
    found |= {"ready after": balancer.process.is_ready(), "then": wire.heard()}
    balancer.get("own")
    balancer.advance(6_000)
    found["with a request out"] = wire.heard()
    balancer.process.accept_successor(next_wire.near)
    next_wire.say(again)
    balancer.turn()
    found["passed on"] = next_wire.heard()
    wire.close()
    next_wire.close()
    balancer.close()
    return found


def moved_requests(old: list[dict[str, Any]]) -> dict[str, Any]:
    """Connections and requests under way come over by recorded packets; what clients and hosts then see."""
    balancer, wire = Balancer(begins=False), Wire()
    listener = socket.create_server(("127.0.0.1", 0))
    balancer.process.share_listener(listener)
    balancer.process.call_predecessor(wire.near)
    balancer.process.start()
    for packet in old[1]["heard"]:
        wire.say(packet["packet"])
    balancer.turn()
    ends: dict[str, list[socket.socket]] = {}
    for packet in old[-2]["heard"]:
        if not packet["descriptors"]:
            continue
        pairs = [socket.socketpair() for _ in range(packet["descriptors"])]
        wire.say(packet["packet"], [near.fileno() for near, _ in pairs])
        for near, far in pairs:
            near.close()
            far.setblocking(False)
        word = json.loads(packet["packet"].partition("\n")[0])[0]
        ends[word] = [far for _, far in pairs]
        balancer.turn()
    found: dict[str, Any] = {}
    ends["begun"][0].sendall(b"nt: small\r\nRequest-Timeout: 2.0\r\n\r\n")
    ends["clients"][0].sendall(get("after"))
    balancer.turn()
    asked = [read(sock) for sock in (*ends["links"], *balancer.hosts())]
    found["hosts are asked"] = sorted(text.decode("latin-1") for text in asked if text)
    client, upstream = ends["answer"]
    got = b""
    for at in range(20_000, len(LARGE), 30_000):
        upstream.sendall(LARGE[at : at + 30_000])
        balancer.turn()
        got += read(client)
    for _ in range(20):
        balancer.turn()
        got += read(client)
    found["rest of the answer"] = len(got)
    assert got.endswith(LARGE[-100_000:])
    client, upstream = ends["upload"]
    got = b""
    for at in range(180_000, len(LARGE), 30_000):
        client.sendall(LARGE[at : at + 30_000])
        balancer.turn()
        got += read(upstream)
    for _ in range(20):
        balancer.turn()
        got += read(upstream)
    found["rest of the upload"] = len(got)
    assert got.endswith(LARGE[180_000:])
    upstream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
    balancer.turn()
    found["upload is answered"] = read(client).decode("latin-1")
    for group in ends.values():
        for sock in group:
            sock.close()
    wire.close()
    balancer.close()
    return found


def edited_snapshot(packets: list[str]) -> list[str]:
    """The packets of an older process with other values in the snapshot than a short run brings about."""
    made = []
    for packet in packets:
        words = json.loads(packet)
        if words[0] == "estate":
            hosts = words[1]
            hosts["c0"] |= {
                "limit": 2.5,
                "lag": 90_000,
                "credit": 1.25,
                "shun_until": 10**12 + 400_000,
            }
            hosts["c1"] |= {"floor": 0.75, "rate": 12.5, "warm_at": 10**12 + 5_000_000}
            hosts["c0"]["size"] -= 500
            hosts["c1"]["size"] += 500
        elif words[0] == "all":
            words[1]["small"] = [3.5, 0.25]
        made.append(json.dumps(words, separators=(",", ":")))
    return made


# --- gossip

KEY = "0123456789abcdef"


def gossip(recorded: list[str] | None = None) -> dict[str, list[str]]:
    """What two balancers tell each other in ten seconds, by a fixed clock, key and seed, until one draws a new
    table of ranges and the other takes it. With `recorded`,
    the second one is told what the first one said in the record, and the first one what it hears."""
    events = program.EventLoop()
    names = ("b0", "b1")
    sent: dict[str, list[str]] = {name: [] for name in names}
    members: dict[str, program.GossipPeer] = {}

    def send_by(name: str) -> Any:
        def send(address: object, datagram: bytes) -> None:
            sent[name].append(datagram.decode("latin-1"))
            if name == "b0" and recorded is not None:
                datagram = recorded[len(sent[name]) - 1].encode("latin-1")
            members["b1" if name == "b0" else "b0"].receive(datagram)

        return send

    balancers = {}
    for i, name in enumerate(names):
        at = [f"127.0.0.1:{7400 + j}" for j in range(2)]
        part = program.gossip_part(
            config(pool={"listen": at[i], "peers": at, "key": KEY, "draw-ms": 5_000})
        )
        balancer = balancers[name] = Balancer(caches=3, begins=False)
        balancer.events = balancer.process.events = events
        balancer.process = program.BalancerProcess(events, config(3, name=name))
        balancer.process.start()
        members[name] = program.GossipPeer(balancer.process, name, part, i, send_by(name))
    for i in range(300):
        for name, step in (("b0", 3), ("b1", 7)):
            balancers[name].get(f"k{i * step % 11}")
            balancers[name].answer_all(delay_us=0)
        if i % 3:
            continue
        balancers["b0"].advance(100_000)
    for name in names:
        assert members[name].rejected_count() == 0, name
    for balancer in balancers.values():
        balancer.close()
    return sent


# --- commands


def change_commands(folder: Path) -> dict[str, Any]:
    """Each command of `orchidgap change` against a control process that answers by a table."""
    document = folder / "change.json"
    document.write_text(json.dumps(DOCUMENT))
    row = {"name": "b0", "life": "a1", "alone": "leave", "runs": 3, "promised": 5, "refused": 0}
    row |= {"why": "", "heard": 120_000, "until": 880_000}
    old = row | {"name": "b1", "life": "ff", "alone": "stay", "runs": 2, "promised": 0, "until": -5}
    status = {"name": "k0", "controls": ["k0"], "lost": False, "lease": LEASE_US, "disk": ""}
    status |= {"ballot": [7, "k0"], "n": 3, "id": "x3", "stay": {"b1": "ff"}}
    status |= {
        "past": [[1, "x1", "decided", ""], [0, "x2", "nowhere", "b2: no"], [3, "x3", "decided", ""]]
    }
    quiet = status | {"next": None, "try": 0, "late": [], "refused": [], "rows": [row]}
    going = status | {"next": {"id": "x4", "n": 4, "try": 5}, "try": 5, "rows": [row, old]}
    going |= {"late": [["b1", 0], ["b3", 1_500_000]], "refused": [["b2", "it does not fit"]]}
    unknown = {"state": "unknown", "why": "no such change", "tries": 4}
    proposed = {
        "state": "proposed",
        "n": 4,
        "try": 5,
        "late": [["b1", 0]],
        "refused": [],
        "tries": 5,
    }
    decided = {"state": "decided", "n": 4, "now": 4, "lease": LEASE_US, "tries": 5}
    nowhere = {"state": "nowhere", "why": "b2: it does not fit", "tries": 5}
    busy = {"state": "busy", "why": "x9 is proposed and not decided yet", "tries": 5}
    unfit = {"state": "unfit", "why": "settings must be an object"}
    cases: dict[str, tuple[list[str], dict[str, list[Any]]]] = {
        "check": (["check", str(document)], {"/check": [{"why": ""}]}),
        "check unfit": (["check", str(document)], {"/check": [{"why": "no"}]}),
        "propose": (
            ["propose", str(document), "--id=x4"],
            {"/change": [unknown, proposed, decided], "/propose": [proposed]},
        ),
        "propose without id": (
            ["propose", str(document)],
            {"/change": [unknown, decided], "/propose": [proposed]},
        ),
        "propose again": (
            ["propose", str(document), "--id=x4", "--again"],
            {"/change": [decided | {"now": 5}, decided], "/propose": [proposed]},
        ),
        "propose decided before": (
            ["propose", str(document), "--id=x4"],
            {"/change": [decided | {"now": 5}]},
        ),
        "propose nowhere": (
            ["propose", str(document), "--id=x4"],
            {"/change": [unknown, nowhere], "/propose": [proposed]},
        ),
        "propose busy": (
            ["propose", str(document), "--id=x4"],
            {"/change": [unknown], "/propose": [busy]},
        ),
        "propose unfit": (
            ["propose", str(document), "--id=x4"],
            {"/change": [unknown], "/propose": [unfit]},
        ),
        "propose not known": (
            ["propose", str(document), "--id=x4", "--wait=0"],
            {"/change": [proposed]},
        ),
        "strike": (["strike", "b1"], {"/status": [quiet], "/strike": [{"struck": True}]}),
        "strike nobody": (["strike", "b7"], {"/status": [quiet]}),
        "status": (["status"], {"/status": [quiet]}),
        "status under way": (["status"], {"/status": [going]}),
        "history": (["history"], {"/status": [quiet]}),
    }
    found: dict[str, Any] = {}
    for name, (arguments, bodies) in cases.items():
        for more in ([], ["--json"]):
            table = {
                path: [json.dumps(one).encode() for one in told] for path, told in bodies.items()
            }
            server = other_sides.ScriptedServer(table)
            done = other_sides.run_command(
                "change", *arguments, f"--at=127.0.0.1:{server.address[1]}", *more
            )
            server.close()
            found[" ".join([name, *more])] = done | {"requests": server.requests}
    dead = f"--at=127.0.0.1:{other_sides.free_address()[1]}"
    for act in ("status", "history"):
        for more in ([], ["--json"]):
            found[" ".join([act, "of nobody", *more])] = other_sides.run_command(
                "change", act, dead, *more
            )
    return found


def check_commands(folder: Path) -> dict[str, Any]:
    """`orchidgap check` of a good file and of bad ones, and what else ends at once."""
    path = folder / "c.json"
    bad = {
        "good": config(),
        "no settings": {"name": "b0", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"},
        "no rule sets": config(settings={}),
        "unlike effect": config(
            settings={"rule-sets": [{"name": "a", "effect": "x", "client-timeout": 9}]}
        ),
        "bad address": config(listen="somewhere:1"),
        "bad control": config(control={"at": []}),
        "bad alone": config(control={"at": ["127.0.0.1:1"], "dir": "/x", "alone": "run"}),
        "short key": config(pool={"listen": "127.0.0.1:1", "peers": [], "key": "short"}),
        "bad watch": config(watch={}),
        "few descriptors": config(limits={"sockets": 9}),
        "bad timeout": config(settings=SETTINGS | {"ceilings": {"connect-timeout": 0}}),
    }
    found = {}
    for name, content in bad.items():
        path.write_text(json.dumps(content))
        done = other_sides.run_command("check", f"--config={path}")
        found[name] = {
            key: text.replace(str(path), "FILE") if isinstance(text, str) else text
            for key, text in done.items()
        }
    found["version"] = other_sides.run_command("version")
    return found


def serve_config(listen: tuple[str, int], **more: Any) -> dict[str, Any]:
    """Of a process whose discovery is never there."""
    at = f"{listen[0]}:{listen[1]}"
    return config(listen=at, discovery="127.0.0.1:1", **more)


def admin_lines(folder: Path) -> list[dict[str, Any]]:
    """Operators' lines to a process that serves, and its answers; then the same by `orchidgap admin`."""
    listen, door = other_sides.free_address(), other_sides.free_address()
    path = folder / "c.json"
    path.write_text(json.dumps(serve_config(listen, admin_addr=f"127.0.0.1:{door[1]}")))
    process = other_sides.start_process("serve", f"--config={path}", log=folder / "log")
    steps: list[dict[str, Any]] = []

    def ask(line: str) -> str:
        with socket.create_connection(door, other_sides.PATIENCE_S) as sock:
            sock.sendall(line.encode("latin-1"))
            answer = b""
            while part := sock.recv(1 << 12):
                answer += part
            return answer.decode("latin-1")

    def step(line: str) -> None:
        steps.append({"line": line, "answer": ask(line)})

    def wait_for(answer: str) -> None:
        while True:
            with suppress(ConnectionError):
                if ask("health\n") == answer:
                    return
            assert process.poll() is None

    try:
        wait_for("SUCCESS serving\n")
        for line in (
            "health\n",
            "watch\n",
            "  health \r\n",
            "HEALTH\n",
            "\n",
            "\x00\xff\n",
            "x" * 256 + "\n",
        ):
            step(line)
        step("x" * 257)
        step("quiesce\n")
        step("quiesce\n")
        wait_for("FAILURE drained\n")
        step("health\n")
        steps.append(
            {"command": "health"}
            | other_sides.run_command("admin", "health", f"--addr=127.0.0.1:{door[1]}")
        )
        step("resume\n")
        step("health\n")
        for act in ("health", "quiesce", "resume", "watch"):
            steps.append(
                {"command": act}
                | other_sides.run_command("admin", act, f"--addr=127.0.0.1:{door[1]}")
            )
    finally:
        other_sides.stop_process(process)
    return steps


def copy_folder(data: Path, name: str, to: Path) -> Path:
    shutil.copytree(data / name, to / name)
    return to / name
