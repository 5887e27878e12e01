"""The recorded exchanges: each function runs one exchange and returns it as plain data.

`record.py` writes the returned data to `data/`; the tests run the exchanges again and compare byte for byte.
Bytes are stored in the data as latin-1 text, one character per byte.
"""

from __future__ import annotations

import json
import shutil
import socket
from contextlib import ExitStack, suppress
from pathlib import Path
from typing import Any

import program
import scripted_peers

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
    """Returns a host list entry as discovery sends it; number 9 is the origin."""
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
    """Returns a call to control, byte for byte as the program sends it."""
    body = json.dumps(content, separators=(",", ":")).encode()
    head = f"PUT {path} HTTP/1.1\r\nHost: control\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body


class ControlScenario:
    """Components of the program on one event loop, which is run until all of them are idle."""

    def __init__(self) -> None:
        self.events = program.EventLoop()
        self.components: list[Any] = []

    def run_until_idle(self) -> None:
        """Runs the loop until no call is in progress, no file is being written and no callback is pending."""
        idle = 0
        while idle < 4:
            self.events.turn()
            busy = self.events.has_pending_callbacks() or any(
                component.is_busy() for component in self.components
            )
            idle = 0 if busy else idle + 1

    def advance(self, microseconds: int) -> None:
        """Advances the clock and runs each timer that expires meanwhile at its own time."""
        end = self.events.now_us + microseconds
        while (due := self.events.next_timer_us()) is not None and due <= end:
            self.events.now_us = max(self.events.now_us, due)
            self.run_until_idle()
        self.events.now_us = end
        self.run_until_idle()


# --- control


def control_calls(folder: Path) -> list[dict[str, str]]:
    """Sends every call that a control process answers, in an order in which each has an effect."""
    scenario, address = ControlScenario(), scripted_peers.free_address()
    control = program.ControlProcess(
        scenario.events, "k0", {"k0": address}, address, folder, LEASE_US
    )
    scenario.components.append(control)
    control.begin(new=True)
    steps: list[dict[str, str]] = []

    def send(sent: bytes) -> None:
        answer = scripted_peers.send_request(address, sent, scenario.events.turn)
        steps.append({"request": sent.decode("latin-1"), "answer": answer.decode("latin-1")})
        scenario.run_until_idle()

    def call(path: str, content: object) -> None:
        send(request(path, content))

    def lease(name: str, last_answer_at_us: int, **more: object) -> None:
        message = {"name": name, "life": "a1", "alone": "leave", "runs": 0, "promised": 0}
        call("/lease", message | {"refused": 0, "why": "", "heard": last_answer_at_us} | more)

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
    lease("b0", scenario.events.now_us)
    lease("b0", scenario.events.now_us, promised=1)
    lease("b1", 0, life="ff", alone="stay")
    call("/status", {})
    scenario.advance(1_200_000)
    call("/waits", {})
    call("/strike", {"name": "b1", "life": "other"})
    call("/strike", {"name": "b1", "life": "ff"})
    scenario.advance(1_200_000)
    call("/change", {"id": "x1"})
    lease("b0", scenario.events.now_us, runs=0, promised=1)
    lease("b0", scenario.events.now_us, runs=1)
    call("/propose", {"id": "x3", "doc": NEW_DOCUMENT, "again": False, "after": 2})
    lease("b0", scenario.events.now_us, runs=1, refused=3, why="no: it does not fit")
    call("/waits", {})
    scenario.advance(300_000)
    call("/change", {"id": "x3"})
    call("/change", {"id": "x9"})
    call("/propose", {"id": "x1", "doc": DOCUMENT, "again": False, "after": 3})
    call("/part", {"name": "b0", "life": "a1"})
    call("/prepare", {"ballot": [1, "k1"]})
    call("/prepare", {"ballot": [99, "k1"]})
    call("/accept", {"ballot": [98, "k1"], "value": {}})
    decided = {"n": 2, "id": "x9", "try": 4, "doc": NEW_DOCUMENT, "next": None, "tries": 4}
    decided |= {"stay": {}, "past": [[2, "x9", "decided", ""]]}
    lease("b0", scenario.events.now_us, runs=1)
    call("/accept", {"ballot": [99, "k1"], "value": decided})
    lease("b0", scenario.events.now_us, runs=1)
    call("/part", {"name": "b0", "life": "a1"})
    call("/accept", {"ballot": [99, "k1"], "value": decided})
    call("/status", {})
    call("/nowhere", {})
    call("/join", {"name": "b1"})
    send(b"PUT /join HTTP/1.1\r\nHost: control\r\nContent-Length: 1\r\n\r\n{")
    send(b"PUT /join HTTP/1.1\r\nHost: control\r\nContent-Length: 2\r\n\r\n[]")
    send(b"GET /status HTTP/1.1\r\nHost: control\r\nContent-Length: 0\r\n\r\n")
    send(b"GET /status HTTP/1.0\r\nHost: control\r\nConnection: close\r\n\r\n")
    send(b"no call at all\r\n\r\n")
    control.close()
    return steps


def lost_control_calls(folder: Path) -> list[dict[str, str]]:
    """Returns the answers of a control process that has lost its disk, while its two peers are down."""
    scenario, steps = ControlScenario(), []
    addresses = {name: scripted_peers.free_address() for name in ("k0", "k1", "k2")}
    control = program.ControlProcess(
        scenario.events, "k0", addresses, addresses["k0"], folder, LEASE_US
    )
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
        sent = request(path, content)
        answer = scripted_peers.send_request(addresses["k0"], sent, scenario.events.turn)
        steps.append({"request": sent.decode("latin-1"), "answer": answer.decode("latin-1")})
    control.close()
    return steps


def control_folders(folder: Path) -> dict[str, bytes]:
    """Returns a control process's file when new, with a version proposed, and with it decided."""
    scenario, address = ControlScenario(), scripted_peers.free_address()
    control = program.ControlProcess(
        scenario.events, "k0", {"k0": address}, address, folder, LEASE_US
    )
    scenario.components.append(control)
    control.begin(new=True)
    files = {"control-new/register": (folder / "register").read_bytes()}
    proposal = {"id": "x1", "doc": DOCUMENT, "again": False, "after": 0}
    scripted_peers.send_request(address, request("/propose", proposal), scenario.events.turn)
    scenario.run_until_idle()
    files["control-proposed/register"] = (folder / "register").read_bytes()
    scenario.advance(1_200_000)
    files["control-decided/register"] = (folder / "register").read_bytes()
    control.close()
    return files


def between_control_processes(folder: Path) -> list[dict[str, str]]:
    """Returns k0's messages to k1 and the answers while a version is proposed and decided; k2 is down."""
    scenario = ControlScenario()
    addresses = {name: scripted_peers.free_address() for name in ("k0", "k1", "k2")}
    with ExitStack() as exit_stack:
        relay = scripted_peers.Relay(addresses["k1"])
        exit_stack.callback(relay.close)
        addresses_by_process = {"k0": addresses | {"k1": relay.address}, "k1": addresses}
        for name, process_addresses in addresses_by_process.items():
            control = program.ControlProcess(
                scenario.events, name, process_addresses, addresses[name], folder / name, LEASE_US
            )
            exit_stack.callback(control.close)
            control.begin(new=True)
            scenario.components.append(control)
        proposal = {"id": "x1", "doc": DOCUMENT, "again": False, "after": 0}
        scripted_peers.send_request(
            addresses["k0"], request("/propose", proposal), scenario.events.turn
        )
        scenario.run_until_idle()
        scenario.advance(1_300_000)
        return list(relay.transcript)


def balancer_and_control(folder: Path) -> tuple[list[dict[str, str]], dict[str, bytes]]:
    """Returns a balancer's calls to control and the files that it has written.

    The calls are all from its first to its last; meanwhile one version is decided and one is rejected. The
    balancer's setting `alone` is "stay", so it keeps serving without a quorum.
    """
    scenario, address = ControlScenario(), scripted_peers.free_address()
    with ExitStack() as exit_stack:
        control = program.ControlProcess(
            scenario.events, "k0", {"k0": address}, address, folder / "k0", LEASE_US
        )
        exit_stack.callback(control.close)
        control.begin(new=True)
        relay = scripted_peers.Relay(address)
        exit_stack.callback(relay.close)
        path = folder / "config.json"
        control_config = {
            "at": [f"127.0.0.1:{relay.address[1]}"],
            "dir": str(folder / "b0"),
            "alone": "stay",
        }
        path.write_text(json.dumps(config(control=control_config)))
        balancer = program.LeaseHolder(scenario.events, path, folder / "b0", seed=1)
        scenario.components += [control, balancer]
        balancer.begin()
        scenario.run_until_idle()
        scenario.advance(1_100_000)
        assert balancer.may_serve() and balancer.version() == 0
        proposal = {"id": "x1", "doc": DOCUMENT, "again": False, "after": 0}
        scripted_peers.send_request(address, request("/propose", proposal), scenario.events.turn)
        scenario.run_until_idle()
        scenario.advance(1_500_000)
        assert balancer.may_serve() and balancer.version() == 1
        rejected_document = {
            "settings": SETTINGS | {"family-info": {"mode": "aside", "origin-kind": "0"}}
        }
        proposal = {"id": "x2", "doc": rejected_document, "again": False}
        scripted_peers.send_request(
            address, request("/propose", proposal | {"after": 1}), scenario.events.turn
        )
        scenario.run_until_idle()
        scenario.advance(600_000)
        balancer.end()
        scenario.run_until_idle()
        files = {f"balancer/{name}": (folder / "b0" / name).read_bytes() for name in BALANCER_FILES}
        return list(relay.transcript), files


BALANCER_FILES = ("policy", "promise")


def settle_call(folder: Path) -> list[str]:
    """Returns a balancer's calls to control processes whose answers differ from each other."""
    scenario = ControlScenario()
    lease_answer = {"grants": True, "at": 5, "lease": LEASE_US, "again": 250_000, "size": 3, "n": 0}
    lease_answer |= {"id": "", "try": 0, "stay": {"b0": None}, "next": None}
    servers = []
    with ExitStack() as exit_stack:
        for i in range(3):
            body = json.dumps({"ballot": [i, f"k{i}"]} | lease_answer).encode()
            servers.append(
                scripted_peers.ScriptedServer(
                    {"/lease": [body], "/settle": [b"{}"], "/part": [b"{}"]}
                )
            )
            exit_stack.callback(servers[-1].close)
        path = folder / "config.json"
        addresses = [f"127.0.0.1:{server.address[1]}" for server in servers]
        path.write_text(json.dumps(config(control={"at": addresses, "dir": str(folder / "b0")})))
        balancer = program.LeaseHolder(scenario.events, path, folder / "b0", seed=1)
        scenario.components.append(balancer)
        balancer.begin()
        scenario.run_until_idle()
        balancer.end()
        requests = [f"{i}: {text}" for i, server in enumerate(servers) for text in server.requests]
        return sorted(requests)


# --- handover


class HandoverSocket:
    """The socket between two processes of one balancer, with the test in place of one of them."""

    def __init__(self) -> None:
        self.process_end, self.test_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.test_end.setblocking(False)
        self.descriptors: list[int] = []

    def receive(self) -> list[dict[str, Any]]:
        """Returns the packets received, each a line and the bytes that follow it."""
        packets = []
        with suppress(BlockingIOError):
            while True:
                text, descriptors, _, _ = socket.recv_fds(self.test_end, 1 << 18, 24)
                if not text:
                    break
                self.descriptors += descriptors
                packets.append({"packet": text.decode("latin-1"), "descriptors": len(descriptors)})
        return packets

    def send(self, packet: str, descriptors: list[int] | None = None) -> None:
        socket.send_fds(self.test_end, [packet.encode("latin-1")], descriptors or [])

    def take_connections(self) -> list[socket.socket]:
        """Returns the connections that were passed with packets, and forgets them."""
        connections = [socket.socket(fileno=number) for number in self.descriptors]
        self.descriptors.clear()
        for sock in connections:
            sock.setblocking(False)
        return connections

    def close(self) -> None:
        self.process_end.close()
        self.test_end.close()
        for sock in self.take_connections():
            sock.close()


class Balancer:
    """One process of a balancer; the test acts as its clients and hosts."""

    def __init__(self, caches: int = 2, starts: bool = True, **more: Any) -> None:
        self.events = program.EventLoop()
        self.process = program.BalancerProcess(self.events, config(caches, **more))
        self.clients: list[socket.socket] = []
        if starts:
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
        balancer_end, test_end = socket.socketpair()
        test_end.setblocking(False)
        test_end.sendall(text)
        self.clients.append(test_end)
        self.process.accept_client(balancer_end)
        self.turn()
        return test_end

    def get(self, key: str, rule_set: str = "read") -> socket.socket:
        return self.client(get(key, rule_set))

    def hosts(self) -> list[socket.socket]:
        return [sock for port, sock in self.process.dialled if port != 8500]

    def answer_all(self, status: int = 200, delay_us: int = 3_000) -> None:
        """Answers, as each host, the request that it has received."""
        self.advance(delay_us)
        for sock in self.hosts():
            if read(sock):
                sock.sendall(b"HTTP/1.1 %d X\r\nContent-Length: 1\r\n\r\nv" % status)
                self.turn()

    def close(self) -> None:
        for sock in [*self.clients, *(sock for _, sock in self.process.dialled)]:
            sock.close()


def get(key: str, rule_set: str = "read") -> bytes:
    return (
        f"GET /{rule_set}/{key}?q=1 HTTP/1.1\r\nHost: s\r\nRequest-Id: r-{key}\r\n"
        f"Tenant: small\r\nRequest-Timeout: 2.0\r\n\r\n"
    ).encode()


def read(sock: socket.socket) -> bytes:
    """Returns the bytes that have arrived at this end; empty if there are none."""
    try:
        return sock.recv(1 << 18)
    except OSError:
        return b""


HELLO = '["hello",1,"b0"]'
LARGE_BODY = bytes(range(256)) * 1_000


def play_predecessor() -> list[dict[str, Any]]:
    """Runs the predecessor's side of a handover: a serving process, with the test as its successor.

    The process sends its snapshots, its counts, and its connections once it shuts down. Each step holds the
    packet sent to the process and the packets received from it.
    """
    balancer, handover_socket = Balancer(), HandoverSocket()
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
    downloading_client = balancer.client(get("large"))
    downloading_host = balancer.hosts()[-1]
    for sock in balancer.hosts():
        if read(sock):
            downloading_host = sock
    downloading_host.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(LARGE_BODY))
    downloading_host.sendall(LARGE_BODY[:20_000])
    balancer.turn()
    read(downloading_client)
    balancer.client(
        b"PUT /mark/up HTTP/1.1\r\nRequest-Id: r-up\r\nIdempotency-Key: m1\r\nTenant: small\r\n"
        b"Request-Timeout: 2.0\r\nContent-Length: %d\r\n\r\n%b"
        % (len(LARGE_BODY), LARGE_BODY[:30_000])
    )
    for offset in range(30_000, 180_000, 30_000):
        balancer.clients[-1].sendall(LARGE_BODY[offset : offset + 30_000])
        balancer.turn()
        for sock in balancer.hosts():
            if sock is not downloading_host:
                read(sock)
    balancer.get("busy")
    listener = socket.create_server(("127.0.0.1", 0))
    balancer.process.share_listener(listener)
    balancer.process.accept_successor(handover_socket.process_end)
    steps: list[dict[str, Any]] = []

    def step(sent: str) -> None:
        balancer.turn()
        steps.append({"said": sent, "heard": handover_socket.receive()})

    step("")
    handover_socket.send(HELLO)
    step(HELLO)
    balancer.advance(6_000)
    step("")
    handover_socket.send('["serving"]')
    step('["serving"]')
    counts = '["now",["r-new"],[],{"c0":2}]'
    handover_socket.send(counts)
    step(counts)
    balancer.process.begin_shutdown()
    balancer.advance(12_000)
    step("")
    steps.append(
        {"clients are told": [read(sock).decode("latin-1") for sock in balancer.clients[-6:]]}
    )
    handover_socket.close()
    balancer.close()
    return steps


def play_successor(packets: list[str], successor_hello: str = HELLO) -> dict[str, Any]:
    """Runs the successor's side of a handover: a starting process that receives these packets.

    Returns the packets that it sends to its predecessor, and those by which it passes the received state on
    to a successor of its own.
    """
    balancer, handover_socket, successor_socket = (
        Balancer(starts=False),
        HandoverSocket(),
        HandoverSocket(),
    )
    listener = socket.create_server(("127.0.0.1", 0))
    balancer.process.share_listener(listener)
    balancer.process.join_predecessor(handover_socket.process_end)
    balancer.process.start()
    balancer.turn()
    seen: dict[str, Any] = {
        "first": handover_socket.receive(),
        "ready before": balancer.process.is_ready(),
    }
    for packet in packets:
        handover_socket.send(packet)
    balancer.turn()
    seen |= {"ready after": balancer.process.is_ready(), "then": handover_socket.receive()}
    balancer.get("own")
    balancer.advance(6_000)
    seen["with a request out"] = handover_socket.receive()
    balancer.process.accept_successor(successor_socket.process_end)
    successor_socket.send(successor_hello)
    balancer.turn()
    seen["passed on"] = successor_socket.receive()
    handover_socket.close()
    successor_socket.close()
    balancer.close()
    return seen


def migrate_requests(predecessor_steps: list[dict[str, Any]]) -> dict[str, Any]:
    """Migrates connections and requests in progress by recorded packets; returns what clients and hosts receive."""
    balancer, handover_socket = Balancer(starts=False), HandoverSocket()
    listener = socket.create_server(("127.0.0.1", 0))
    balancer.process.share_listener(listener)
    balancer.process.join_predecessor(handover_socket.process_end)
    balancer.process.start()
    for packet in predecessor_steps[1]["heard"]:
        handover_socket.send(packet["packet"])
    balancer.turn()
    ends: dict[str, list[socket.socket]] = {}
    for packet in predecessor_steps[-2]["heard"]:
        if not packet["descriptors"]:
            continue
        pairs = [socket.socketpair() for _ in range(packet["descriptors"])]
        handover_socket.send(packet["packet"], [balancer_end.fileno() for balancer_end, _ in pairs])
        for balancer_end, test_end in pairs:
            balancer_end.close()
            test_end.setblocking(False)
        kind = json.loads(packet["packet"].partition("\n")[0])[0]
        ends[kind] = [test_end for _, test_end in pairs]
        balancer.turn()
    seen: dict[str, Any] = {}
    ends["begun"][0].sendall(b"nt: small\r\nRequest-Timeout: 2.0\r\n\r\n")
    ends["clients"][0].sendall(get("after"))
    balancer.turn()
    requests = [read(sock) for sock in (*ends["links"], *balancer.hosts())]
    seen["hosts are asked"] = sorted(text.decode("latin-1") for text in requests if text)
    client, upstream = ends["answer"]
    received = b""
    for offset in range(20_000, len(LARGE_BODY), 30_000):
        upstream.sendall(LARGE_BODY[offset : offset + 30_000])
        balancer.turn()
        received += read(client)
    for _ in range(20):
        balancer.turn()
        received += read(client)
    seen["rest of the answer"] = len(received)
    assert received.endswith(LARGE_BODY[-100_000:])
    client, upstream = ends["upload"]
    received = b""
    for offset in range(180_000, len(LARGE_BODY), 30_000):
        client.sendall(LARGE_BODY[offset : offset + 30_000])
        balancer.turn()
        received += read(upstream)
    for _ in range(20):
        balancer.turn()
        received += read(upstream)
    seen["rest of the upload"] = len(received)
    assert received.endswith(LARGE_BODY[180_000:])
    upstream.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nv")
    balancer.turn()
    seen["upload is answered"] = read(client).decode("latin-1")
    for group in ends.values():
        for sock in group:
            sock.close()
    handover_socket.close()
    balancer.close()
    return seen


def edited_snapshot(packets: list[str]) -> list[str]:
    """Returns a predecessor's packets with snapshot values that a short run does not produce."""
    edited = []
    for packet in packets:
        message = json.loads(packet)
        if message[0] == "estate":
            hosts = message[1]
            hosts["c0"] |= {
                "limit": 2.5,
                "lag": 90_000,
                "credit": 1.25,
                "shun_until": 10**12 + 400_000,
            }
            hosts["c1"] |= {"floor": 0.75, "rate": 12.5, "warm_at": 10**12 + 5_000_000}
            hosts["c0"]["size"] -= 500
            hosts["c1"]["size"] += 500
        elif message[0] == "all":
            message[1]["small"] = [3.5, 0.25]
        edited.append(json.dumps(message, separators=(",", ":")))
    return edited


# --- gossip

KEY = "0123456789abcdef"


def gossip(recorded: list[str] | None = None) -> dict[str, list[str]]:
    """Returns the datagrams that two balancers send each other in ten seconds, with a fixed clock, key and seed.

    Within this time one of them draws a new table of ranges and the other adopts it. With `recorded`, the
    second one receives the first one's recorded datagrams in place of those that are sent; the first one
    receives those that the second one sends.
    """
    events = program.EventLoop()
    names = ("b0", "b1")
    sent: dict[str, list[str]] = {name: [] for name in names}
    gossip_peers: dict[str, program.GossipPeer] = {}

    def send_by(name: str) -> Any:
        def send(address: object, datagram: bytes) -> None:
            sent[name].append(datagram.decode("latin-1"))
            if name == "b0" and recorded is not None:
                datagram = recorded[len(sent[name]) - 1].encode("latin-1")
            gossip_peers["b1" if name == "b0" else "b0"].receive(datagram)

        return send

    balancers = {}
    for i, name in enumerate(names):
        addresses = [f"127.0.0.1:{7400 + j}" for j in range(2)]
        gossip_config = program.parse_gossip_config(
            config(pool={"listen": addresses[i], "peers": addresses, "key": KEY, "draw-ms": 5_000})
        )
        balancer = balancers[name] = Balancer(caches=3, starts=False)
        balancer.events = balancer.process.events = events
        balancer.process = program.BalancerProcess(events, config(3, name=name))
        balancer.process.start()
        gossip_peers[name] = program.GossipPeer(
            balancer.process, name, gossip_config, i, send_by(name)
        )
    for i in range(300):
        for name, step in (("b0", 3), ("b1", 7)):
            balancers[name].get(f"k{i * step % 11}")
            balancers[name].answer_all(delay_us=0)
        if i % 3:
            continue
        balancers["b0"].advance(100_000)
    for name in names:
        assert gossip_peers[name].rejected_count() == 0, name
    for balancer in balancers.values():
        balancer.close()
    return sent


# --- commands


def change_commands(folder: Path) -> dict[str, Any]:
    """Runs each command of `orchidgap change` against a scripted control process."""
    document = folder / "change.json"
    document.write_text(json.dumps(DOCUMENT))
    row = {"name": "b0", "life": "a1", "alone": "leave", "runs": 3, "promised": 5, "refused": 0}
    row |= {"why": "", "heard": 120_000, "until": 880_000}
    expired_row = row | {
        "name": "b1",
        "life": "ff",
        "alone": "stay",
        "runs": 2,
        "promised": 0,
        "until": -5,
    }
    status = {"name": "k0", "controls": ["k0"], "lost": False, "lease": LEASE_US, "disk": ""}
    status |= {"ballot": [7, "k0"], "n": 3, "id": "x3", "stay": {"b1": "ff"}}
    status |= {
        "past": [[1, "x1", "decided", ""], [0, "x2", "nowhere", "b2: no"], [3, "x3", "decided", ""]]
    }
    idle_status = status | {"next": None, "try": 0, "late": [], "refused": [], "rows": [row]}
    proposing_status = status | {
        "next": {"id": "x4", "n": 4, "try": 5},
        "try": 5,
        "rows": [row, expired_row],
    }
    proposing_status |= {
        "late": [["b1", 0], ["b3", 1_500_000]],
        "refused": [["b2", "it does not fit"]],
    }
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
    dropped = {"state": "nowhere", "why": "b2: it does not fit", "tries": 5}
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
            {"/change": [unknown, dropped], "/propose": [proposed]},
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
        "strike": (["strike", "b1"], {"/status": [idle_status], "/strike": [{"struck": True}]}),
        "strike nobody": (["strike", "b7"], {"/status": [idle_status]}),
        "status": (["status"], {"/status": [idle_status]}),
        "status under way": (["status"], {"/status": [proposing_status]}),
        "history": (["history"], {"/status": [idle_status]}),
    }
    results: dict[str, Any] = {}
    for name, (arguments, bodies) in cases.items():
        for more in ([], ["--json"]):
            table = {
                path: [json.dumps(body).encode() for body in answers]
                for path, answers in bodies.items()
            }
            server = scripted_peers.ScriptedServer(table)
            result = scripted_peers.run_command(
                "change", *arguments, f"--at=127.0.0.1:{server.address[1]}", *more
            )
            server.close()
            results[" ".join([name, *more])] = result | {"requests": server.requests}
    unreachable = f"--at=127.0.0.1:{scripted_peers.free_address()[1]}"
    for command in ("status", "history"):
        for more in ([], ["--json"]):
            results[" ".join([command, "of nobody", *more])] = scripted_peers.run_command(
                "change", command, unreachable, *more
            )
    return results


def check_commands(folder: Path) -> dict[str, Any]:
    """Runs `orchidgap check` on a valid file and on invalid ones, and `orchidgap version`."""
    path = folder / "c.json"
    configs = {
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
    results = {}
    for name, content in configs.items():
        path.write_text(json.dumps(content))
        result = scripted_peers.run_command("check", f"--config={path}")
        results[name] = {
            key: text.replace(str(path), "FILE") if isinstance(text, str) else text
            for key, text in result.items()
        }
    results["version"] = scripted_peers.run_command("version")
    return results


def serve_config(listen: tuple[str, int], **more: Any) -> dict[str, Any]:
    """Returns the configuration of a process whose discovery is unreachable."""
    address = f"{listen[0]}:{listen[1]}"
    return config(listen=address, discovery="127.0.0.1:1", **more)


def admin_lines(folder: Path) -> list[dict[str, Any]]:
    """Sends operators' lines to a serving process, directly and by `orchidgap admin`; returns the answers."""
    listen, admin_address = scripted_peers.free_address(), scripted_peers.free_address()
    path = folder / "c.json"
    path.write_text(json.dumps(serve_config(listen, admin_addr=f"127.0.0.1:{admin_address[1]}")))
    process = scripted_peers.start_process("serve", f"--config={path}", log=folder / "log")
    steps: list[dict[str, Any]] = []

    def send_line(line: str) -> str:
        with socket.create_connection(admin_address, scripted_peers.TIMEOUT_S) as sock:
            sock.sendall(line.encode("latin-1"))
            answer = b""
            while chunk := sock.recv(1 << 12):
                answer += chunk
            return answer.decode("latin-1")

    def step(line: str) -> None:
        steps.append({"line": line, "answer": send_line(line)})

    def wait_for(answer: str) -> None:
        while True:
            with suppress(ConnectionError):
                if send_line("health\n") == answer:
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
            | scripted_peers.run_command("admin", "health", f"--addr=127.0.0.1:{admin_address[1]}")
        )
        step("resume\n")
        step("health\n")
        for command in ("health", "quiesce", "resume", "watch"):
            steps.append(
                {"command": command}
                | scripted_peers.run_command(
                    "admin", command, f"--addr=127.0.0.1:{admin_address[1]}"
                )
            )
    finally:
        scripted_peers.stop_process(process)
    return steps


def copy_folder(source: Path, name: str, target: Path) -> Path:
    shutil.copytree(source / name, target / name)
    return target / name
