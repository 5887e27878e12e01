"""One trial: the balancers under test and all stand-ins around them, on one ground."""

from __future__ import annotations

import json
import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
from binascii import crc_hqx
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from random import Random
from typing import Any, cast

from orchidgap.admin import protocol as admin_protocol
from orchidgap.admin.client import call as call_balancer
from orchidgap.admin.server import AdminServer
from orchidgap.composition import protocol_for
from orchidgap.decisions.hash_ranges import SLOT_COUNT
from orchidgap.net import config
from orchidgap.net.addresses import Address, format_address
from orchidgap.net.event_log import EventLog
from orchidgap.net.handover.coordinator import Handover
from orchidgap.net.loop import Loop
from orchidgap.net.node import Node
from orchidgap.net.request_key import key_number
from orchidgap.peers.gossip_transport import GossipTransport
from orchidgap.simulation.baselines import decider as decider_of
from orchidgap.simulation.baselines import even
from orchidgap.simulation.clients import Callers
from orchidgap.simulation.discovery_server import Agent, Listing
from orchidgap.simulation.environment import Decider
from orchidgap.simulation.invariant_checker import Referee, seconds_of
from orchidgap.simulation.load_evenness import Stretches
from orchidgap.simulation.operations import BINDS_AFTER, Front
from orchidgap.simulation.plan import Plan, Work, micros, millis
from orchidgap.simulation.resp_cluster import Cluster, RespCallers, SlotStore
from orchidgap.simulation.servers import Store
from orchidgap.simulation.virtual_network import Face, Pairs, Share, Shared, Wires, cpu_of

REAL_SLACK = 50_000  # on real sockets each time limit is so much longer
SAMPLE = 500_000
KEPT_LINES = 20_000
EFFECTS = {"replayable": "retryable", "uniqued": "dedup", "non-replayable": "fragile"}


class Lines(EventLog):
    """The log of a balancer in virtual time, kept in memory."""

    def __init__(self, name: str, scene: Scene) -> None:
        self.name, self.scene = name, scene
        self.lines: list[tuple[float, str, dict[str, Any]]] = []
        self.faults: list[str] = []

    def __call__(self, event: str, **facts: Any) -> None:
        if len(self.lines) < KEPT_LINES:
            self.lines.append(((self.scene.loop.now - self.scene.start) / 1e6, event, facts))

    def exception(self, trouble: Exception) -> None:
        where = trouble.__traceback__
        while where and where.tb_next:
            where = where.tb_next
        at = f"{Path(where.tb_frame.f_code.co_filename).name}:{where.tb_lineno}" if where else "?"
        self.faults.append(f"{type(trouble).__name__}: {trouble} ({at})")
        self("fault", what=self.faults[-1])


def place(number: int) -> str:
    """The last two parts of the address of one of many.

    >>> place(0), place(249), place(250)
    ('0.1', '0.250', '1.1')
    """
    return f"{number // 250}.{number % 250 + 1}"


class Post:
    """A balancer's place: its program may end and start again there."""

    def __init__(self, scene: Scene, name: str, number: int, zone: int) -> None:
        self.scene, self.name, self.number, self.zone = scene, name, number, zone
        self.address: Address = (f"127.1.{place(number)}", 7070 + scene.ports)
        self.agent: Address = (f"127.3.{place(number)}", 8500 + scene.ports)
        self.admin: Address = (f"127.4.{place(number)}", 7170)
        # where other balancers are heard
        self.talks: Address = (f"127.200.{place(number)}", 7600 + scene.ports)
        self.life, self.alive, self.ready_at, self.died_at = 0, False, 0, 0
        self.leaving = False  # it was told to end
        self.stood: list[tuple[int, int]] = []

    def ended(self) -> bool:
        """Whether the program has ended by itself."""
        raise NotImplementedError

    def kill(self) -> None:
        raise NotImplementedError

    def hup(self, text: bytes) -> None:
        """The file is replaced by this, and the program told to read it anew."""
        raise NotImplementedError

    def begin_beside(self, known: dict[str, Any]) -> None:
        """A second process, while the first one serves."""
        raise NotImplementedError

    def new_ready(self) -> bool:
        """Whether that says yes."""
        raise NotImplementedError

    def leave_old(self) -> None:
        """The first one is told to end."""
        raise NotImplementedError

    def kill_old(self) -> None:
        """It has had its time; what it holds is cut off."""
        raise NotImplementedError

    def look(self) -> None:
        """After it was told to end: again and again, until it has."""
        if self.alive and self.ended():
            self.kill()
        elif self.alive:
            self.scene.loop.call_later(10_000, self.look)

    def gone(self) -> None:
        self.alive, self.died_at = False, self.scene.loop.now
        self.scene.referee.died(self.name, self.life, self.scene.loop.now)


class VirtualPost(Post):
    """The real `Node` on its share of the one loop."""

    def __init__(self, scene: Scene, name: str, number: int, zone: int, decider: Decider) -> None:
        super().__init__(scene, name, number, zone)
        self.decider = decider
        self.log = Lines(name, scene)
        self.node: Node | None = None
        self.share: Share | None = None
        self.gossip: GossipTransport | None = None
        self.old: tuple[Share, Node] | None = None  # while a newer process is there

    def begin(self, known: dict[str, Any]) -> None:
        scene = self.scene
        assert isinstance(scene.ground, Pairs)
        self.life, self.alive, self.leaving = self.life + 1, True, False
        scene.ground.doors[self.address] = Shared(scene.ground.loop)
        self.make(known).start()
        self.ready_at = scene.loop.now

    def make(self, known: dict[str, Any]) -> Node:
        """One process: a node on a share of its own, that has a hold on the listener."""
        scene = self.scene
        assert isinstance(scene.ground, Pairs)
        share = self.share = Share(scene.ground.loop, self.log.exception)
        station = config.config_from_document(scene.told(self, known))
        ground = scene.ground
        node = self.node = Node(
            share,
            station,
            self.log,
            protocol_for(station),
            lambda address: ground.dial_from(share, self.name, address),
            self.decider,
        )
        door = ground.doors[self.address]
        assert isinstance(door, Shared)
        node.clients.use_listening_socket(
            cast("socket.socket", Face(door))
        )  # it has the face of one
        if station.gossip:
            self.gossip = GossipTransport(
                share, node, self.log, self.name, station.gossip, station.seed, scene.carry
            )
        if scene.front.on:
            admin = AdminServer(
                share,
                {
                    admin_protocol.HEALTH: node.health,
                    admin_protocol.DRAIN: node.drain,
                    admin_protocol.RESUME: node.resume,
                },
            )
            ground.listen(self.admin, lambda sock, who: share.call_soon(admin.accept, sock))
        return node

    def kill(self) -> None:
        if not self.alive:
            return
        self.gone()
        self.scene.ground.unlisten(self.address)
        self.scene.ground.unlisten(self.admin)
        self.kill_old()
        if self.share:
            self.share.kill()

    # --- what operators do

    def hup(self, text: bytes) -> None:
        if self.alive and self.node and self.share:
            self.share.call_soon(self.read, self.node, text)

    @staticmethod
    def read(node: Node, text: bytes) -> None:
        try:
            node.apply_config(config.parse(text, "the file", node.config))
        except config.ConfigError as trouble:
            node.event_log("config rejected", why=str(trouble))

    def begin_beside(self, known: dict[str, Any]) -> None:
        assert self.share and self.node
        self.kill_old()
        self.old = self.share, self.node
        share, node = self.old
        handover = node.handover
        if not isinstance(handover, Handover):
            handover = node.handover = Handover(share, node, None, shared=True)
        new = self.make(known)
        assert self.share
        new_handover = new.handover = Handover(self.share, new, None, shared=True)
        near, far = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        share.call_soon(handover.accept_successor, near)
        self.share.call_soon(new_handover.join_predecessor, far)
        self.share.call_soon(new.start)

    def new_ready(self) -> bool:
        return self.node is not None and self.node.is_ready()

    def leave_old(self) -> None:
        if self.old:
            self.old[0].call_soon(self.old[1].begin_shutdown)
            self.look_old()

    def look_old(self) -> None:
        if self.old and not self.old[0].running:
            self.kill_old()
        elif self.old:
            self.scene.loop.call_later(10_000, self.look_old)

    def kill_old(self) -> None:
        if self.old:
            share, self.old = self.old[0], None
            share.kill()

    def leave(self) -> None:
        """As by SIGTERM."""
        if self.alive and self.node and self.share:
            self.leaving = True
            self.share.call_soon(self.node.begin_shutdown)
            self.look()

    def ended(self) -> bool:
        return self.share is not None and not self.share.running

    def stand(self, until: int) -> None:
        if self.alive and self.share:
            self.stood.append((self.scene.loop.now, until))
            self.share.stand(until)


class RealPost(Post):
    """The program itself, as a process of its own on loopback."""

    def __init__(
        self, scene: Scene, name: str, number: int, zone: int, policy: str, folder: str
    ) -> None:
        super().__init__(scene, name, number, zone)
        self.policy = policy
        self.folder = Path(folder)
        self.process: subprocess.Popen[bytes] | None = None
        self.old: subprocess.Popen[bytes] | None = None
        self.passed: socket.socket | None = (
            None  # the listener that the platform holds, on days of upgrades
        )
        self.processes = 0
        self.cpu = 0.0
        self.peak_kb = 0

    def begin(self, known: dict[str, Any]) -> None:
        if self.passed is None and any(
            trouble.kind == "upgrade" for trouble in self.scene.plan.trouble
        ):
            self.passed = socket.create_server(self.address, backlog=512)
        self.spawn(known)
        self.life, self.alive, self.ready_at, self.leaving = self.life + 1, True, 0, False
        self.until_up()

    def spawn(self, known: dict[str, Any]) -> None:
        self.processes += 1
        self.admin = (self.admin[0], 7170 + self.processes)
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.scene.told(self, known)))
        passed = [self.passed.fileno()] if self.passed else []
        own = self.folder / f"{self.name}.tmp"
        own.mkdir(exist_ok=True)
        more = {"GW_PASSED_SOCKET": str(passed[0]), "TMPDIR": str(own)} if passed else {}
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *self.command(), f"--config={path}"],
                stderr=log,
                stdout=log,
                pass_fds=passed,
                env=os.environ | more,
            )

    def command(self) -> list[str]:
        if self.policy != "orchidgap":
            return ["-m", "orchidgap.simulation.process", self.policy]
        return ["-m", "orchidgap", "serve"]

    def hup(self, text: bytes) -> None:
        if self.alive and self.process:
            (self.folder / f"{self.name}.json").write_bytes(text)
            self.process.send_signal(signal.SIGHUP)

    def begin_beside(self, known: dict[str, Any]) -> None:
        self.kill_old()
        self.old = self.process
        self.spawn(known)

    def new_ready(self) -> bool:
        try:
            return call_balancer(self.admin, admin_protocol.HEALTH).succeeded
        except OSError:
            return False

    def leave_old(self) -> None:
        if self.old:
            self.old.send_signal(signal.SIGTERM)

    def kill_old(self) -> None:
        if self.old:
            self.old.kill()
            self.old.wait()
            self.old = None

    def until_up(self) -> None:
        try:
            with socket.create_connection(self.address, timeout=0.05) as sock:
                sock.sendall(b"GET /up HTTP/1.1\r\nConnection: close\r\n\r\n")
                sock.settimeout(0.2)
                if sock.recv(64).startswith(b"HTTP/1.1 200"):
                    self.ready_at = self.scene.loop.now
                    return
        except OSError:
            pass
        if self.alive:
            self.scene.loop.call_later(50_000, self.until_up)

    def measure(self) -> None:
        """CPU and memory so far, as the system counts them."""
        if self.process:
            with suppress(OSError, ValueError, IndexError):
                self.cpu = cpu_of(self.process.pid)
                for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                    if line.startswith("VmHWM"):
                        self.peak_kb = int(line.split()[1])

    def kill(self) -> None:
        if self.alive and self.process:
            self.measure()
            self.kill_old()
            self.process.kill()
            self.process.wait()
            self.gone()

    def leave(self) -> None:
        if self.alive and self.process:
            self.leaving = True
            self.process.send_signal(signal.SIGTERM)
            self.look()

    def ended(self) -> bool:
        return self.process is not None and self.process.poll() is not None

    def stand(self, until: int) -> None:
        if self.alive and self.process:
            self.stood.append((self.scene.loop.now, until))
            self.process.send_signal(signal.SIGSTOP)
            self.scene.loop.call_at(until, self.process.send_signal, signal.SIGCONT)


class Scene:
    """All that a trial is made of; `play` runs it to its end."""

    ports = 0  # added to all ports, where several play beside each other on one machine

    def __init__(
        self,
        plan: Plan,
        seed: int | None = None,
        real: bool = False,
        policy: str = "orchidgap",
        decider: Decider | None = None,
        disk: str | None = None,
    ) -> None:
        self.plan, self.policy = plan, policy
        decider = self.decider = decider or decider_of(policy, self)
        self.seed = plan.seed if seed is None else seed
        self.rng = Random(self.seed)
        self.ground: Pairs | Wires = Wires() if real else Pairs()
        self.loop: Loop = self.ground.loop
        self.folder = tempfile.TemporaryDirectory(dir=disk) if real else None
        self.start = self.loop.now + (1_500_000 if real else 0)
        self.referee = Referee(plan, self.start, REAL_SLACK if real else 0)
        groups = Counter(work.group for work in plan.works() if work.effect == "uniqued")
        self.grouping = groups.most_common(1)[0][0] if groups else "all"
        self.stores: dict[str, Store] = {}
        self.cluster = Cluster()  # who owns which slots, where servers do
        self.marks: dict[str, dict[bytes, int]] = {}  # by group: what is remembered, until when
        self.misses: dict[bytes, list[Store]] = {}  # by req: the caches that lacked its key
        self.cold_misses: dict[bytes, None] = {}
        self.keys: dict[int | None, int] = {}
        self.listing = Listing(self)
        self.front = Front(self)
        self.most = (
            plan.ceilings.dispatches,
            0,
            plan.ceilings.dispatches,
        )  # now, since when, and before
        self.posts: dict[str, VirtualPost | RealPost] = {}
        zones = plan.cache.zones
        for i in range(plan.balancers):
            name = f"b{i}"
            self.posts[name] = self.post(name, i, i % zones, decider)
        self.set_up()
        self.callers = self.clients()
        self.stretches = Stretches(self, plan.expect)
        if isinstance(self.ground, Pairs):
            self.ground.round_trip = lambda who, address: (
                2 * self.way(self.zone_of(who), self.zone_at.get(address, 0))
            )

    def post(self, name: str, number: int, zone: int, decider: Decider) -> VirtualPost | RealPost:
        if self.folder:
            return RealPost(self, name, number, zone, self.policy, self.folder.name)
        return VirtualPost(self, name, number, zone, decider)

    def clients(self) -> Callers:
        return RespCallers(self) if self.plan.dialect == "resp" else Callers(self)

    def set_up(self) -> None:
        plan, hot = (
            self.plan,
            range(min(self.plan.keys.count, self.plan.cache.keys * self.plan.caches)),
        )
        self.zone_at: dict[Address, int] = {}
        for i in range(plan.caches):
            # of one length: ranges go by the order of ids, and copies are there at the start by that
            id = f"c{i:0{max(2, len(str(plan.caches - 1)))}d}"
            self.add_store(id, (f"127.2.0.{i + 1}", 7071 + self.ports), False, i % plan.cache.zones)
        for i in range(plan.origins if plan.dialect == "http" else 0):
            self.add_store(
                f"o{i}", (f"127.2.1.{i + 1}", 7071 + self.ports), True, i % plan.cache.zones
            )
        ring = [store for store in self.stores.values() if not store.is_origin]
        self.cluster.share([store.id for store in ring])
        if plan.dialect == "resp":
            hot = range(0)
        homes = getattr(self.decider, "homes", even)
        ids = [store.id for store in ring]
        for key in reversed(hot):  # the hottest last: they stay longest
            if self.rng.random() < plan.keys.warm:  # where this decider would have had them kept
                for i in homes(slot_of(b"k%d" % key), ids):
                    ring[i].keep(key)
        for name, post in self.posts.items():
            self.listing.agents[name] = Agent(self.listing, name, post.agent)

    def add_store(self, id: str, address: Address, is_origin: bool, zone: int) -> Store:
        model = self.plan.origin if is_origin else self.plan.cache
        speed = model.speed * (1.0 + model.uneven * self.rng.uniform(-1, 1))
        kind = SlotStore if self.plan.dialect == "resp" else Store
        store = self.stores[id] = kind(self, id, address, model, is_origin, zone, speed)
        self.zone_at[address] = zone
        self.listing.add(id, address, "origin" if is_origin else "cache", zone, 1.0, 0)
        return store

    def told(self, post: Post, known: dict[str, Any]) -> dict[str, Any]:
        """The configuration of one balancer, as the platform would write it."""
        plan, ceilings = self.plan, self.plan.ceilings
        more: dict[str, Any] = {}
        if plan.dialect == "resp":
            seeds = [format_address(store.address) for store in self.stores.values()]
            more["resp"] = {
                "seeds": seeds,
                "timeout-ms": plan.works()[0].timeout_ms,
                "tenant": plan.tenants()[0].name,
            }
            known = {"seq": 1, "whole": True, "hosts": []}
        if plan.pool and self.policy == "orchidgap":
            more["pool"] = self.talk_part(post)
        return more | {
            "name": post.name,
            "listen": format_address(post.address),
            "discovery": format_address(post.agent),
            "seed": f"{Random(f'{self.seed} {post.name} {post.life}').getrandbits(64):x}",
            **({"admin_addr": format_address(post.admin)} if self.front.on else {}),
            "limits": {"cores": 1.0, "memory_mb": ceilings.memory_mb, "sockets": ceilings.sockets},
            "known": known,
            "settings": {
                "instances": plan.balancers,
                "registry-mode": "subscribe",
                "kinds": ["cache", "origin"],
                "family-info": {
                    "mode": "aside" if plan.dialect == "http" else "owned",
                    "origin-kind": 1,
                },
                "ceilings": {
                    "most-dispatches": self.most[0],
                    "may-cancel": ceilings.may_cancel,
                    "may-duplicate": ceilings.may_double,
                    "retry-after": ceilings.retry_after,
                    "max-retry-after": millis(ceilings.most_pause_ms),
                    "connect-timeout": millis(plan.net.connect_timeout_ms),
                    "conn-idle": micros(plan.cache.idle_s),
                },
                "guarantees": {
                    "cold-from": plan.cache.cold_from,
                    "warm-after": micros(plan.cache.warm_s),
                },
                "customers": [
                    {"name": tenant.name, "share": tenant.share} for tenant in plan.tenants()
                ],
                "rule-sets": [
                    {
                        "name": work.name,
                        "effect": EFFECTS[work.effect],
                        "group": work.group,
                        "response-target": millis(work.target_ms),
                        "client-timeout": millis(work.timeout_ms),
                        "repeat-window": millis(work.window_ms),
                    }
                    for work in plan.works()
                    if self.listed(work)
                ],
            },
        }

    def talk_part(self, post: Post) -> dict[str, Any]:
        """What a balancer is told of the others."""
        return {
            "listen": format_address(post.talks),
            "key": "a key of this run",
            "draw-ms": round(self.plan.pool_draw_s * 1000),
            "peers": [
                format_address(other.talks) for other in self.posts.values() if other is not post
            ],
        }

    def carry(self, address: Address, data: bytes) -> None:
        """A datagram from one balancer to another, in virtual time."""
        if self.rng.random() >= self.plan.net.lose:
            self.loop.call_later(self.way(0, 0), self.bring, address, data)

    def bring(self, address: Address, data: bytes) -> None:
        post = next(post for post in self.posts.values() if post.talks == address)
        if isinstance(post, VirtualPost) and post.alive and post.share and post.gossip:
            post.share.call_soon(post.gossip.receive, data)

    def way_to_hosts(self, name: str, known: dict[str, Any]) -> dict[str, Any]:
        """The list as that balancer gets it."""
        return known

    def listed(self, work: Work) -> bool:
        """Whether settings that are written now have it: a little before it is named, and after."""
        second = (self.loop.now - self.start) / 1e6
        return work.from_s - 1.5 <= max(0.0, second) and (
            not work.until_s or second < work.until_s + 3.0
        )

    def known_of(self, name: str) -> dict[str, Any]:
        """The list as this balancer last had it."""
        seq, hosts = self.listing.agents[name].last
        return {"seq": seq, "whole": True, "hosts": hosts or self.listing.since(None, seq)[1]}

    def most_of(self, came: int) -> int:
        """How many dispatches a req of that time may have; either count while new settings come in."""
        most, since, before = self.most
        return most if came > since + BINDS_AFTER else max(most, before) if came > since else before

    # --- what the parts ask

    def lives(self, post: str, life: int = 0) -> bool:
        return self.posts[post].alive and life in (0, self.posts[post].life)

    def life_of(self, post: str) -> int:
        return self.posts[post].life

    def address_of(self, post: str) -> Address:
        return self.posts[post].address

    def zone_of(self, post: str) -> int:
        return self.posts[post].zone if post in self.posts else 0

    def takes(self, post: str, notice: int, now: int) -> bool:
        """Whether the front layer sends clients there: also for some time after it died."""
        at = self.posts[post]
        return at.ready_at > 0 if at.alive else now - at.died_at < notice

    def stood(self, post: str, since: int) -> bool:
        """Whether it stood still after that: what is stopped cannot answer."""
        return any(until > since for _, until in self.posts[post].stood)

    def way(self, zone: int, other: int) -> int:
        """Microseconds from one zone to another, now."""
        net = self.plan.net
        base = net.same_ms if zone == other else net.cross_ms
        return millis(base * (1.0 + net.jitter * self.rng.uniform(-1, 1)))

    def client_way(self) -> int:
        return self.way(0, 0)

    def size_of(self, key: int) -> int:
        """Bytes of a key's value: most are small, one in sixteen is large."""
        keys, bulk = self.plan.keys, self.plan.bulk
        if bulk.share and key * 40_503 % 1_000 < bulk.share * 1_000:
            return bulk.size + key % 1_000
        return keys.most_size if key * 2_654_435_761 % 16 == 0 else keys.size

    def key_of(self, number: int | None) -> int:
        """The key as the stand-ins count them, of the decisions' number for it."""
        if number not in self.keys:
            text = (number or 0).to_bytes(((number or 0).bit_length() + 7) // 8)
            self.keys[number] = int(text[1:] or b"-1")
        return self.keys[number]

    def missed(self, id: bytes, store: Store) -> None:
        self.misses.setdefault(id, []).append(store)
        if store.cold():
            self.cold_misses[id] = None
        if len(self.misses) > 50_000:  # of reqs that never went on to the origin
            del self.misses[next(iter(self.misses))]

    # --- the run

    def sample(self) -> None:
        """What the report draws: hosts' work and, in virtual time, the balancers' ranges and limits."""
        rows: dict[str, Any] = {
            "out": {
                store.id: len(store.running) + len(store.waiting) for store in self.stores.values()
            }
        }
        first = next(iter(self.posts.values()))
        if isinstance(first, VirtualPost) and first.node and first.alive:
            place = getattr(first.node.balancer, "placement", None)
            if place is not None:
                rows["sizes"] = {host.id: host.range_size for host in place.ring}
        self.referee.series.append((self.loop.now - self.start, rows))
        self.loop.call_later(SAMPLE, self.sample)

    def play(self, tick: Callable[[float], None] | None = None) -> dict[str, Any]:
        """Run to the end; the verdict. `tick` is called with the seconds played, each second."""
        from orchidgap.simulation.faults import set_off

        room = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (room[1], room[1]))
        try:
            _, entries = self.listing.since(None, 1)
            for post in self.posts.values():
                post.begin({"seq": 1, "whole": True, "hosts": entries})
            if self.folder:
                self.wait_until_up()
            self.loop.call_at(self.start, self.callers.arrive)
            self.loop.call_at(self.start, self.front.start)
            self.loop.call_at(self.start, self.sample)
            for trouble in self.plan.trouble:
                self.loop.call_at(self.start + micros(trouble.at_s), set_off, self, trouble)
            for one in self.plan.stretch:
                self.loop.call_at(self.start + micros(one.from_s), self.stretches.begin, one.name)
            self.loop.call_at(self.start + micros(self.plan.seconds), self.stretches.begin, "")
            self.run(tick)
            verdict = self.judged()
            return verdict | self.evenness(verdict["verdict"]) if self.plan.stretch else verdict
        finally:
            self.close()

    def run(self, tick: Callable[[float], None] | None) -> None:
        end = self.start + seconds_of(self.plan)
        second = self.start
        while second < end:
            second = min(end, second + 1_000_000)
            if isinstance(self.ground, Pairs):
                self.ground.loop.run_until(second)
            else:
                while self.loop.clock() < second:
                    self.loop.run_once(min(100_000, second - self.loop.clock()))
            if tick:
                tick((second - self.start) / 1e6)

    def wait_until_up(self) -> None:
        until = time.monotonic() + 15
        while not all(post.ready_at for post in self.posts.values()):
            if time.monotonic() > until:
                raise RuntimeError("a balancer did not come up; see its log")
            self.loop.run_once(20_000)
        self.start = self.referee.start = self.loop.clock() + 100_000
        self.callers.end = self.start + micros(self.plan.seconds)

    def evenness(self, verdict: str) -> dict[str, Any]:
        """What the stretches add to the verdict."""
        found: list[tuple[str, float, str]] = []
        told = self.stretches.judge(
            lambda rule, at, text: found.append((rule, (at - self.start) / 1e6, text))
        )
        self.referee.breaches += found
        return {"verdict": "broken" if found else verdict, "uneven": len(found), "stretches": told}

    def judged(self) -> dict[str, Any]:
        verdict = self.referee.verdict()
        logs = [post.log for post in self.posts.values() if isinstance(post, VirtualPost)]
        faults = [fault for log in logs for fault in log.faults]
        verdict["faults"] = len(faults)
        if faults:
            verdict["verdict"] = "broken"
            verdict["first_fault"] = faults[0]
        real = [post for post in self.posts.values() if isinstance(post, RealPost)]
        if real:
            for post in real:
                post.measure()
            reqs = max(1, len(self.referee.asks))
            verdict["cpu_us_a_req"] = round(sum(post.cpu for post in real) * 1e6 / reqs, 1)
            verdict["peak_mb"] = round(max(post.peak_kb for post in real) / 1024, 1)
        return verdict

    def close(self) -> None:
        for post in self.posts.values():
            if isinstance(post, RealPost):
                post.kill_old()
                if post.passed:
                    post.passed.close()
                if post.process and post.process.poll() is None:
                    post.process.send_signal(signal.SIGCONT)
                    post.process.kill()
                    post.process.wait()
            else:
                post.kill_old()
                if post.share:
                    post.share.kill()
        for store in self.stores.values():
            for link in list(store.links):
                link.conn.close()
        for key in list(self.loop.selector.get_map().values()):
            with suppress(KeyError, OSError):
                self.loop.selector.unregister(key.fileobj)
                if isinstance(key.fileobj, socket.socket):
                    key.fileobj.close()
        self.loop.selector.close()
        if self.folder:
            self.folder.cleanup()


def slot_of(key: bytes) -> int:
    """The slot that the decisions will find for a key of the path."""
    return crc_hqx(b"%d" % (key_number(key) or 0), 0) & (SLOT_COUNT - 1)
