"""A drill's processes: balancers and control as the program starts them, relays between, and whoever calls
control."""

from __future__ import annotations

import ctypes
import fcntl
import json
import os
import resource
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from contextlib import suppress
from functools import partial
from pathlib import Path
from random import Random
from typing import IO, Any

import orjson

from orchidgap.control.messages import (
    CHANGE,
    SETTLE,
    STATUS,
    ChangeRequest,
    ChangeState,
    EmptyMessage,
    StatusAnswer,
)
from orchidgap.control.messages.base import AnswerT, RequestT, RpcMethod
from orchidgap.control.rpc_client import RpcClient
from orchidgap.fault_tests.datagram_relay import ANY_SENDER, DatagramRelay
from orchidgap.fault_tests.plan import DO, SEEN, Drill, versions_of, words
from orchidgap.fault_tests.relay import HEALTHY, LinkCondition, Relay
from orchidgap.fault_tests.rollout_checker import Fate, Judge
from orchidgap.net.addresses import Address, format_address
from orchidgap.simulation.balancer_instance import (
    BalancerInstance,
    Pause,
    VirtualBalancer,
    address_suffix,
)
from orchidgap.simulation.balancer_process import BalancerProcess
from orchidgap.simulation.clients import Callers
from orchidgap.simulation.environment import Decider
from orchidgap.simulation.faults import start_fault
from orchidgap.simulation.loopback_network import LoopbackNetwork, cpu_seconds_of
from orchidgap.simulation.observations import ClientAttempt, Operation
from orchidgap.simulation.plan import Fault, RequestClassSpec, milliseconds_to_us, seconds_to_us
from orchidgap.simulation.simulation import Simulation

LOOK = 50_000  # between looks at what is seen
WATCH = 50_000  # between questions to control whether a version is decided
# a client's req is on its way, and answers are seen, with this much delay in a busy drill
SLACK = 250_000
DAMAGE = b"torn"
TRIED = 1.2  # how long a proposer waits, of the time after which control gives up
SLOTS = 64
MEMORY = "/dev/shm"
HOSTS = 110  # the second part of the addresses in the place of hosts begins there
TALKS = 201  # the second part of the addresses in the place of those where balancers are heard
LIBC = ctypes.CDLL(None)
OUTCOMES = {0: "decided", 2: "nowhere", 3: "unknown"}


def die_with_parent() -> None:
    """A drill that is killed leaves no process behind."""
    LIBC.prctl(1, signal.SIGKILL)


def memory_folder() -> str | None:
    """A disk that takes no time: what a shared one does is another drill each time."""
    return MEMORY if os.access(MEMORY, os.W_OK) else None


def slot() -> tuple[IO[str], int]:
    """Ports that no other drill on this machine uses, as long as the file is held."""
    for number in range(SLOTS):
        file = open(Path(tempfile.gettempdir()) / f"orchidgap-drill-{number}.lock", "w")  # noqa: SIM115
        try:
            fcntl.flock(file, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return file, number + 1  # a trial with real balancers has the ports themselves
        except OSError:
            file.close()
    raise RuntimeError(f"{SLOTS} drills run already")


def has_taken(status: StatusAnswer, change_id: str) -> bool:
    """Whether that control process has taken the change as decided."""
    if status.change_id == change_id:
        return True
    return any(record.change_id == change_id and record.version for record in status.history)


class Witnesses(Callers):
    """Clients that ask, beside the usual, for the classes of the versions that may govern now."""

    environment: Town

    def draw(self) -> Operation:
        op = super().draw()
        # what is long replaced is asked for too: whoever comes back may have it still
        numbers = (
            self.environment.recent()
            if self.rng.random() < 0.8
            else list(self.environment.judge.fates)
        )
        name = "base" if self.rng.random() < 0.3 else f"v{self.rng.choice(numbers)}"
        op.request_class = next(work for work in self.works if work.name == name)
        op.counted = name == "base"
        return op

    def unknown(self, ask: ClientAttempt) -> None:
        self.environment.referee.aborted -= 1  # it asked which version counts, and was told
        if ask.operation.request_class.name == "base":
            super().unknown(ask)

    def choose(self, but: str = "", key: int = 0) -> str | None:
        """Every balancer alike, also one that denies: which version governs it is what is asked."""
        there = [
            name
            for name, post in self.environment.balancers.items()
            if post.alive and post.ready_at and name != but
        ]
        return self.rng.choice(there) if there else None


class Process(BalancerProcess):
    """A balancer of the program."""

    environment: Town

    def command(self) -> list[str]:
        return (
            super().command() if self.policy != "orchidgap" else self.environment.command("serve")
        )

    def spawn(self, known: dict[str, Any]) -> None:
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.environment.balancer_settings(self, known)))
        self.process = self.environment.start_process(
            self.name, [*self.command(), f"--config={path}"]
        )

    def poll_readiness(self) -> None:
        """Its listener opens when it holds a lease; looked for again and again, by many."""
        if self.alive and not self.ready_at:
            calls = RpcClient(self.environment.loop, self.address, 200_000)

            def heard(is_up: bool) -> None:
                calls.close()
                if is_up:
                    self.ready_at = self.environment.loop.now
                else:
                    self.environment.loop.call_later(
                        50_000 + 2_000 * len(self.environment.balancers), self.poll_readiness
                    )

            calls.probe("/up", heard)

    def mark_ended(self) -> None:
        super().mark_ended()
        self.ready_at = 0


class ControlPost:
    """A control process."""

    def __init__(self, town: Town, number: int) -> None:
        self.town, self.number, self.name = town, number, f"k{number}"
        self.address: Address = (f"127.5.0.{number + 1}", 7500 + town.port_offset)
        self.process: subprocess.Popen[bytes] | None = None
        self.new = True
        self.alive = False

    def begin(self) -> None:
        town, folder = self.town, self.town.place
        path = folder / f"{self.name}.json"
        path.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "dir": str(folder / f"{self.name}.disk"),
                    "control": {
                        post.name: format_address(
                            post.address if post is self else town.way_to(self.name, post)
                        )
                        for post in town.controls
                    },
                    "lease-ms": town.drill.control.lease_ms,
                    "give-up-ms": town.drill.control.give_up_ms,
                }
            )
        )
        new, self.new = ["--new"] if self.new else [], False
        self.process = town.start_process(
            self.name, [*town.command("control"), f"--config={path}", *new]
        )
        self.alive = True


class Town(Simulation):
    """All processes of one drill, and its steps."""

    def __init__(
        self,
        drill: Drill,
        seed: int | None = None,
        defect: str = "",
        disk: str = "",
        policy: str = "orchidgap",
    ) -> None:
        room = resource.getrlimit(resource.RLIMIT_NOFILE)
        resource.setrlimit(resource.RLIMIT_NOFILE, (room[1], room[1]))
        self.drill, self.defect = drill, defect
        self.versions = versions_of(drill.steps)  # that are proposed
        self.slot, self.port_offset = slot()
        self.telling = 0  # the version whose settings are written
        self.relays: dict[tuple[str, str], Relay] = {}
        self.latest = 0
        super().__init__(drill.plan, seed, real=True, policy=policy, disk=disk or memory_folder())
        self.broke = self.referee.on_connection_lost
        setattr(self.referee, "on_connection_lost", self.broke_off)  # noqa: B010
        assert self.folder
        self.place = Path(self.folder.name)
        self.controls = [ControlPost(self, number) for number in range(drill.control.count)]
        self.judge = Judge(self.referee, milliseconds_to_us(drill.control.lease_ms), SLACK)
        self.shells: list[tuple[Fate, subprocess.Popen[bytes]]] = []
        self.watches = [RpcClient(self.loop, post.address, 300_000) for post in self.controls]
        self.questions = [RpcClient(self.loop, post.address, 500_000) for post in self.controls]
        self.weights: list[tuple[int, float, int, int]] = []  # when, CPU, bytes moved, balancers
        self.started, self.held = 0.0, 0  # seconds until all were up, kilobytes that they held then
        self.logs: dict[str, tuple[int, list[str]]] = {}  # by process: how far read, its lines
        self.log_from: dict[str, int] = {}  # lines there when the step before was done
        self.zones = [f"z{zone}" for zone in range(drill.plan.cache.zones)]
        if drill.links:
            self.link_hosts()
        self.talks: dict[str, DatagramRelay] = {}
        for name, post in self.balancers.items() if drill.plan.gossip else ():
            at = (f"127.{TALKS}.{address_suffix(post.number)}", post.gossip_address[1])
            self.talks[name] = DatagramRelay(self.loop, at, post.gossip_address, self.rng)

    # --- what the trial's parts ask

    def make_balancer(
        self, name: str, number: int, zone: int, decider: Decider
    ) -> VirtualBalancer | BalancerProcess:
        assert self.folder
        return Process(self, name, number, zone, self.policy, self.folder.name)

    def make_clients(self) -> Callers:
        return Witnesses(self) if self.versions else Callers(self)

    def balancer_settings(
        self, balancer: BalancerInstance, known: dict[str, Any]
    ) -> dict[str, Any]:
        told = super().balancer_settings(balancer, known)
        told["known"] = self.endpoint_list_for(balancer.name, told["known"])
        if self.controls:
            told["control"] = {
                "at": [format_address(self.way_to(balancer.name, one)) for one in self.controls],
                "dir": str(self.place / f"{balancer.name}.disk"),
                "alone": self.drill.control.alone,
            }
        return told

    def gossip_settings(self, balancer: BalancerInstance) -> dict[str, Any]:
        others = [
            format_address(talk.address)
            for name, talk in self.talks.items()
            if name != balancer.name
        ]
        return super().gossip_settings(balancer) | {"peers": others}

    def is_rule_set_listed(self, work: RequestClassSpec) -> bool:
        if not self.versions:
            return super().is_rule_set_listed(work)
        return work.name in ("base", f"v{self.telling}")

    def recent(self) -> list[int]:
        """Versions that may govern now: those proposed last, and what was decided before them."""
        decided = [number for number, fate in self.judge.fates.items() if fate.outcome == "decided"]
        return sorted({*list(self.judge.fates)[-2:], *decided[-2:]})

    def broke_off(self, ask: ClientAttempt, at: int) -> None:
        """A connection ended unanswered. That its process died may be seen a moment later."""

        def judged() -> None:
            self.look()
            if not ask.abandoned and self.is_alive(ask.balancer, ask.incarnation):
                self.broke(ask, at)

        self.loop.call_later(SLACK, judged)

    # --- processes

    def command(self, kind: str) -> list[str]:
        if self.drill.failing or self.defect:
            return ["-m", "orchidgap.fault_tests.process", kind]
        return ["-m", "orchidgap", kind]

    def start_process(self, name: str, command: list[str]) -> subprocess.Popen[bytes]:
        more = {"DRILL_DISK": str(self.place / f"{name}.orders"), "DRILL_DEFECT": self.defect}
        with open(self.place / f"{name}.log", "ab") as log:
            return subprocess.Popen(
                [sys.executable, *command],
                stderr=log,
                stdout=log,
                env=os.environ | more,
                preexec_fn=die_with_parent,
            )

    def way_to(self, who: str, post: ControlPost) -> Address:
        """Where this process finds that control process: a relay between the two."""
        if (who, post.name) not in self.relays:
            at = (
                f"127.{100 + post.number}.{address_suffix(len(self.relays))}",
                7500 + self.port_offset,
            )
            self.relays[who, post.name] = Relay(self.loop, at, post.address, self.rng)
        return self.relays[who, post.name].address

    def endpoint_list_for(self, name: str, known: dict[str, Any]) -> dict[str, Any]:
        """The list as that balancer gets it, with a relay of its own in the place of each host."""
        if not self.drill.links:
            return known
        return known | {
            "hosts": [
                entry | {"dial": format_address(self.relays[name, entry["host"]].address)}
                for entry in known["hosts"]
            ]
        }

    def link_hosts(self) -> None:
        stores = {store.address: store.id for store in self.servers.values()}
        for i, store in enumerate(self.servers.values()):
            for name, post in self.balancers.items():
                at = (f"127.{HOSTS + i}.{address_suffix(post.number)}", 7071 + self.port_offset)
                self.relays[name, store.id] = Relay(
                    self.loop, at, store.address, self.rng, delivers_after_close=False
                )

        def heeds(address: Address, there: bool) -> None:
            for name in self.balancers if address in stores else ():
                self.relays[name, stores[address]].set_server_listens(there)

        assert isinstance(self.network, LoopbackNetwork)
        self.network.on_listener_change = heeds

    def process_of(self, name: str) -> subprocess.Popen[bytes]:
        post = self.balancers[name] if name in self.balancers else self.controls[int(name[1:])]
        assert isinstance(post, Process | ControlPost) and post.process
        return post.process

    def lines(self, name: str) -> list[str]:
        """The events of its log so far."""
        at, events = self.logs.get(name, (0, []))
        with suppress(OSError), open(self.place / f"{name}.log", "rb") as file:
            file.seek(at)
            text = file.read()
            whole = text.rpartition(b"\n")[0]
            at += len(whole) + (1 if whole else 0)
            for line in whole.splitlines():
                with suppress(ValueError):
                    events.append(str(orjson.loads(line).get("event")))
        self.logs[name] = at, events
        return events

    # --- what is seen

    def seen(self, when: str, since: int) -> bool:
        what, *more = words(when, SEEN, when)
        if what == "seconds":
            return self.loop.now - since >= seconds_to_us(float(more[0]))
        if what == "up":
            return all(post.ready_at > 0 for post in self.balancers.values() if post.alive)
        if what == "ended":
            return not self.shells
        if what == "log":
            names = [
                name
                for name in (*self.balancers, *(post.name for post in self.controls))
                if more[0] in (name, "any")
            ]
            return any(more[1] in self.lines(name)[self.log_from.get(name, 0) :] for name in names)
        if what == "gone":
            return self.process_of(more[0]).poll() is not None
        asks = [
            ask
            for ask in reversed(self.referee.client_attempts.values())
            if ask.arrived_at_us > since
        ]
        if what == "takes":  # some balancer answers under that version
            return any(
                ask.status == 200 and ask.operation.request_class.name == more[0] for ask in asks
            )
        asks = [ask for ask in asks if ask.balancer == more[0]]
        if what == "serves":
            return any(
                ask.status == 200 and ask.operation.request_class.name == more[1] for ask in asks
            )
        return any(ask.status == 503 for ask in asks)

    # --- what is done

    def act(self, text: str) -> None:
        what, *more = words(text, DO, text)
        if more and more[0].endswith("%"):  # the first so many of a hundred balancers
            names = list(self.balancers)
            for name in names[: len(names) * int(more[0][:-1]) // 100]:
                self.act(f"{what} {name}")
        elif what in ("draw", "mend"):
            getattr(self, what)()
        elif what != "nothing":
            self.referee.record_event(self.loop.now, text)
            getattr(self, f"do_{what}")(*more)

    def do_propose(self, how: str, by: str = "") -> None:
        """`how` is good or bad; `by` is the control process asked, or the version proposed once more."""
        anew = by.startswith("v")
        number = int(by[1:]) if anew else self.latest + 1
        self.latest = max(self.latest, number)
        self.telling = number
        doc = {
            "settings": super().balancer_settings(next(iter(self.balancers.values())), {})[
                "settings"
            ]
        }
        self.telling = 0
        if how == "bad":
            doc["settings"]["registry-mode"] = "poll"
        path = self.place / f"v{number}.doc"
        path.write_text(json.dumps(doc))
        if not anew or self.judge.fates[number].outcome == "nowhere":
            self.judge.fates[number] = Fate(number, self.loop.now)
        asked = [post for post in self.controls if by in ("", post.name) or anew]
        at = ",".join(format_address(self.way_to("shell", post)) for post in asked)
        wait = self.drill.control.give_up_ms / 1e3 * TRIED
        shell = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "orchidgap",
                "change",
                "propose",
                str(path),
                f"--at={at}",
                f"--id=v{number}",
                f"--wait={wait}",
                "--json",
            ],
            stdout=subprocess.PIPE,
            stderr=subprocess.DEVNULL,
            preexec_fn=die_with_parent,
        )
        self.shells.append((self.judge.fates[number], shell))

    def do_kill(self, name: str) -> None:
        process = self.process_of(name)
        process.kill()
        process.wait()
        if name in self.balancers:
            self.balancers[name].mark_ended()
        else:
            self.controls[int(name[1:])].alive = False

    def do_term(self, name: str) -> None:
        if name in self.balancers:
            return self.balancers[name].shut_down()
        self.process_of(name).terminate()
        self.process_of(name).wait()
        self.controls[int(name[1:])].alive = False

    def do_start(self, name: str) -> None:
        if name not in self.balancers:
            return self.controls[int(name[1:])].begin()
        post = self.balancers[name]
        if post.alive:
            post.kill()
        post.start(self.latest_endpoint_list(name))

    def do_stop(self, name: str) -> None:
        self.process_of(name).send_signal(signal.SIGSTOP)
        if name in self.balancers:
            self.balancers[name].pauses.append(Pause(self.loop.now, 1 << 62))

    def do_go(self, name: str) -> None:
        self.process_of(name).send_signal(signal.SIGCONT)
        if name in self.balancers:
            post = self.balancers[name]
            post.pauses.append(Pause(post.pauses.pop().start_us, self.loop.now + 1_000_000))
            for ask in self.referee.client_attempts.values():
                if (
                    ask.balancer == name and not ask.status
                ):  # it could not answer in time, and may say so now
                    ask.deadline_us, ask.last_attempt_ended_us = (
                        self.loop.now
                        + milliseconds_to_us(ask.operation.request_class.client_timeout_ms),
                        self.loop.now,
                    )

    def do_wipe(self, name: str) -> None:
        shutil.rmtree(self.place / f"{name}.disk", ignore_errors=True)

    def do_tear(self, name: str, file: str) -> None:
        path = self.place / f"{name}.disk" / file
        text = path.read_bytes() if path.exists() else DAMAGE
        path.write_bytes(text[: max(1, len(text) // 2)])

    def do_full(self, name: str) -> None:
        """The system itself says that there is no room."""
        folder = self.place / f"{name}.disk"
        folder.mkdir(exist_ok=True)
        for file in ("policy", "promise", "register"):
            beside = folder / f"{file}.new"
            beside.unlink(missing_ok=True)
            beside.symlink_to("/dev/full")

    def do_room(self, name: str) -> None:
        for file in ("policy", "promise", "register"):
            (self.place / f"{name}.disk" / f"{file}.new").unlink(missing_ok=True)

    def do_disk(self, name: str, step: str, number: str, what: str) -> None:
        orders = self.place / f"{name}.orders"
        beside = orders.with_suffix(".beside")
        beside.write_text(f"{step} {number} {what}\n")
        beside.replace(orders)

    def means(self, word: str, name: str, link: str) -> bool:
        """Whether a plan's word is that end of a link to `link`: `all` are control processes and whoever
        calls them, `hosts` all hosts, `z1` all that is in that zone."""
        if word == "all":
            return link not in self.servers
        if word == "hosts":
            return name in self.servers
        if word in self.zones:
            there = self.servers[name] if name in self.servers else self.balancers.get(name)
            return there is not None and f"z{there.zone}" == word
        return word == name

    def between(self, one: str, other: str) -> list[tuple[Relay, bool]]:
        """The relays on which these two meet; whether it is the first of them that calls."""
        return [
            (relay, there)
            for (who, far), relay in self.relays.items()
            for there in (True, False)
            if self.means(one if there else other, who, far)
            and self.means(other if there else one, far, far)
        ]

    def do_cut(self, one: str, other: str) -> None:
        for relay, _ in self.between(one, other):
            relay.set_condition(LinkCondition(cut=True))

    def do_stall(self, one: str, other: str) -> None:
        """What `one` sends to `other` does not arrive; the other way it does."""
        for relay, there in self.between(one, other):
            relay.set_condition(
                LinkCondition(
                    stalled_to_server=relay.condition.stalled_to_server or there,
                    stalled_to_client=relay.condition.stalled_to_client or not there,
                )
            )

    def do_slow(self, one: str, other: str, delay_ms: str, loss: str = "0") -> None:
        """Each way, and a part of what goes there is lost."""
        for relay, _ in self.between(one, other):
            relay.set_condition(
                LinkCondition(delay_us=milliseconds_to_us(float(delay_ms)), loss_ratio=float(loss))
            )

    def do_lose(self, name: str, part: str) -> None:
        """Of the datagrams to and from that balancer, or all."""
        share = float(part.rstrip("%")) / 100
        if name == "all":
            for talk in self.talks.values():
                talk.loss_ratios[ANY_SENDER] = share
            return
        self.talks[name].loss_ratios[ANY_SENDER] = share
        for talk in self.talks.values():
            talk.loss_ratios[self.balancers[name].gossip_address[0]] = share

    def do_noise(self, name: str, count: str) -> None:
        """So many datagrams that nobody signed, within a second."""
        noise = Random(self.seed)
        for i in range(100):
            self.loop.call_later(i * 10_000, self.shout, self.talks[name], noise, int(count) // 100)

    @staticmethod
    def shout(talk: DatagramRelay, noise: Random, count: int) -> None:
        for _ in range(count):
            talk.deliver(noise.randbytes(noise.randrange(1_400)))

    def do_heal(self, one: str = "", other: str = "") -> None:
        for talk in self.talks.values():
            talk.loss_ratios.clear()
        for relay in (
            [relay for relay, _ in self.between(one, other)] if one else self.relays.values()
        ):
            relay.set_condition(HEALTHY)

    def do_strike(self, name: str) -> None:
        at = ",".join(format_address(self.way_to("shell", post)) for post in self.controls)
        shell = subprocess.Popen(
            [sys.executable, "-m", "orchidgap", "change", "strike", name, f"--at={at}"],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            preexec_fn=die_with_parent,
        )
        self.until(lambda: shell.poll() is not None, 20, "struck off")
        shell.kill()
        self.referee.record_event(self.loop.now, f"{name} struck off: {shell.returncode}")

    def do_hup(self, name: str) -> None:
        """The file gets settings of its own, which control's go before."""
        self.telling = 999
        post = self.balancers[name]
        text = json.dumps(self.balancer_settings(post, self.latest_endpoint_list(name)))
        self.telling = 0
        post.reload(text.encode())

    def do_sighup(self) -> None:
        """The way without control: a loop over all that are there, one file and one signal after another."""
        self.latest += 1
        fate = self.judge.fates[self.latest] = Fate(self.latest, self.loop.now)
        self.telling = self.latest
        for name, post in self.balancers.items():
            if post.alive:
                post.reload(
                    json.dumps(
                        self.balancer_settings(post, self.latest_endpoint_list(name))
                    ).encode()
                )
                self.loop.run_once(0)  # clients go on meanwhile
        self.telling = 0
        self.judge.told(fate, "decided", self.latest, "", self.loop.now)

    def do_hosts(self, host: str, health: str) -> None:
        """The list changes beside it."""
        self.listing.put(host, health)

    def do_measure(self, name: str) -> None:
        """The stretch before ends, this one begins."""
        self.stretches.begin(name)

    def do_trouble(self, kind: str, seconds: str, whom: str = "", size: str = "0") -> None:
        """What trials have: `whom` is a part of the hosts, or one by name."""
        part, target = (float(whom[:-1]) / 100, "") if whom.endswith("%") else (0.0, whom)
        start_fault(self, Fault(kind, 0.0, float(seconds), part, target, float(size)))

    def draw(self) -> None:
        """A fault by chance, on whoever; `mend` ends them all."""
        rng, balancers = self.rng, list(self.balancers)
        b, k = rng.choice(balancers), rng.choice([post.name for post in self.controls])
        faults = [
            f"cut {b} all",
            f"stall {b} all",
            f"stall all {b}",
            f"full {b}",
            f"slow {b} all {rng.randrange(20, 300)}",
        ]
        if self.drill.links:
            host = rng.choice(list(self.servers))
            faults += [
                f"cut {b} hosts",
                f"stall {b} {host}",
                f"stall {host} {b}",
                f"stall hosts {b}",
                f"slow {b} hosts {rng.randrange(5, 60)} 0.1",
            ]
        if self.balancers[b].alive:
            faults += [f"kill {b}", f"stop {b}", f"term {b}"] * 2
        if len(self.controls) > 1 and all(post.alive for post in self.controls):
            faults += [f"kill {k}", f"stop {k}", f"cut all {k}", f"full {k}", f"stall {k} all"]
        elif len(self.controls) == 1 and self.controls[0].alive:
            faults += [f"kill {k}", f"stop {k}", f"full {k}"]
        if self.drill.failing:
            step = rng.choice(("open", "write", "fsync", "rename"))
            what = rng.choice(("ENOSPC", "EIO", "kill", "short" if step == "write" else "EIO"))
            faults += [f"disk {name} {step} {rng.randrange(1, 4)} {what}" for name in (b, k)]
        self.act(rng.choice(faults))
        if rng.random() < 0.5:
            self.loop.call_later(rng.randrange(200_000, 2_000_000), self.mend)

    def mend(self) -> None:
        """All faults end: links heal, what stands still goes on, what is dead starts again."""
        self.do_heal()
        for name in self.balancers:
            self.do_room(name)
            post = self.balancers[name]
            if post.alive and post.pauses and post.pauses[-1].end_us > self.loop.now + 2_000_000:
                self.do_go(name)
            if post.alive and self.process_of(name).poll() is not None:
                post.mark_ended()
            if not post.alive:
                post.start(self.latest_endpoint_list(name))
        for control in self.controls:
            self.do_room(control.name)
            assert control.process
            with suppress(ProcessLookupError):
                control.process.send_signal(signal.SIGCONT)
            if control.process.poll() is not None:
                control.begin()
        for orders in self.place.glob("*.orders"):
            orders.unlink()

    # --- the run

    def look(self) -> None:
        """Callers of control that have ended, and processes that a disk's order has killed."""
        for fate, shell in list(self.shells):
            if shell.poll() is not None:
                self.shells.remove((fate, shell))
                assert shell.stdout
                with shell.stdout as out:
                    text = out.read().splitlines()
                said = orjson.loads(text[-1]) if text else {}
                outcome = OUTCOMES.get(shell.returncode, "unknown")
                self.judge.told(
                    fate,
                    outcome,
                    int(said.get("n", 0)) if outcome == "decided" else 0,
                    str(said.get("why", "")),
                    self.loop.now,
                )
        for post in self.balancers.values():
            if (
                post.alive
                and not post.is_shutting_down
                and self.process_of(post.name).poll() is not None
            ):
                post.mark_ended()
        for control in self.controls:
            control.alive = (
                control.alive and control.process is not None and control.process.poll() is None
            )

    def watch(self) -> None:
        """Until when a version was certainly not decided: a majority of control had not taken it."""
        self.loop.call_later(WATCH, self.watch)
        asked = self.loop.clock()
        heard: list[StatusAnswer] = []
        open_ = [fate for fate in self.judge.fates.values() if fate.number and not fate.outcome]

        def told(status: StatusAnswer | None) -> None:
            if status and not status.lost_register:
                heard.append(status)
            if len(heard) == len(self.controls) // 2 + 1:
                for fate in open_:
                    if not any(has_taken(status, f"v{fate.number}") for status in heard):
                        fate.not_before = max(fate.not_before, asked)

        if open_:
            for calls in self.watches:
                calls.call(STATUS, EmptyMessage(), told)

    def play(self, tick: Callable[[float], None] | None = None) -> dict[str, Any]:
        """The steps in their order, then all healed; the verdict."""
        began = time.monotonic()
        try:
            for control in self.controls:
                self.way_to("shell", control)  # there to be cut before the first call
                control.begin()
            _, entries = self.listing.since(None, 1)
            for post in self.balancers.values():
                post.start({"seq": 1, "whole": True, "hosts": entries})
            self.until(
                lambda: all(post.ready_at for post in self.balancers.values()), 30.0, "all up"
            )
            self.started, self.held = time.monotonic() - began, self.memory()
            self.start = self.referee.started_at_us = self.loop.clock()
            self.loop.call_later(LOOK, self.weigh)
            self.clients.end = self.start + seconds_to_us(3_600)
            self.loop.call_soon(self.clients.arrive)
            self.loop.call_soon(self.watch)
            steps = [
                (i, step) for i, step in enumerate(self.drill.steps) for _ in range(step.times)
            ]
            all(
                self.step(i, step.when, step.do, step.within_s) for i, step in steps
            )  # to the first not seen
            self.stretches.begin("")
            self.mend()
            leaving = [post for post in self.balancers.values() if post.is_shutting_down]
            self.until(
                lambda: not any(post.alive for post in leaving), 6, "all ended that were told to"
            )
            self.mend()  # they start again
            wait = self.drill.control.give_up_ms / 1e3 * TRIED + 5
            self.until(lambda: not self.shells, wait, "no proposal open")
            self.settle()
            self.judge.judge()
            found = self.stretches.finish(self.judge.breach)
            told = self.judge.verdict(self.build_verdict()) | self.costs()
            return told | {"stretches": found} if found else told
        finally:
            self.close()

    def step(self, number: int, when: str, do: str, within: float) -> bool:
        """Whether it was seen, and what is to be done then is done."""
        since = self.loop.now
        if not self.until(lambda: self.seen(when, since), within, f"step {number}, {when}"):
            return False
        for name in self.logs:
            self.log_from[name] = len(self.lines(name))
        for act in do.split(";"):
            self.act(act)
        return True

    def weigh(self) -> None:
        """CPU of all balancers, as the system counts it, and bytes between them and control."""
        self.loop.call_later(2_000_000, self.weigh)
        names = [name for name, post in self.balancers.items() if post.alive]
        cpu = 0.0
        for name in names:
            with suppress(OSError, IndexError, ValueError):
                cpu += cpu_seconds_of(self.process_of(name).pid)
        moved = sum(
            relay.relayed_bytes
            for (who, far), relay in self.relays.items()
            if who in self.balancers and far not in self.servers
        )
        self.weights.append((self.loop.now, cpu, moved, len(names)))

    def memory(self) -> int:
        """Kilobytes of all processes, what they share counted once."""
        total = 0
        for name in [*self.balancers, *(post.name for post in self.controls)]:
            with suppress(OSError):
                for line in (
                    Path(f"/proc/{self.process_of(name).pid}/smaps_rollup").read_text().splitlines()
                ):
                    if line.startswith("Pss:"):
                        total += int(line.split()[1])
        return total

    def costs(self) -> dict[str, Any]:
        """Of one balancer in a second, over the longest stretch in which none came or went."""
        rows = self.weights
        pairs = [
            (one, other)
            for i, one in enumerate(rows)
            for other in rows[i + 1 : i + 8]
            if one[3] == other[3] > 0 and other[1] >= one[1]
        ]
        told: dict[str, Any] = {
            "started_s": round(self.started, 1),
            "memory_mb": round(self.held / 1e3),
        }
        if pairs:
            one, other = max(pairs, key=lambda pair: pair[1][0] - pair[0][0])
            each = (other[0] - one[0]) / 1e6 * one[3]
            told["cpu_ms"] = round((other[1] - one[1]) * 1e3 / each, 2)
            told["bytes"] = round((other[2] - one[2]) / each)
        return told

    def until(self, seen: Callable[[], bool], within: float, what: str) -> bool:
        """Whether it was seen in time; if not, that is told, and the drill is broken."""
        end, next_look = time.monotonic() + within, 0
        while True:
            self.loop.run_once(10_000)
            if self.loop.now >= next_look:
                next_look = self.loop.now + LOOK
                self.look()
                if seen():
                    return True
            if time.monotonic() > end:
                self.judge.breach("stuck", self.loop.now, f"not seen in {within:g} s: {what}")
                return False

    def settle(self) -> None:
        """All is healed: what counts has to be what all serve under, and what all callers are told."""
        numbers = [number for number in self.judge.fates if number]
        if self.controls and self.ask(SETTLE, EmptyMessage()) is None:
            return self.judge.breach("stuck", self.loop.now, "control does not come back")
        if self.controls:
            wait = self.drill.control.give_up_ms / 1e3 * TRIED + 5
            self.until(self.nothing_proposed, wait, "none proposed")
        for number in numbers:
            fate = self.judge.fates[number]
            if not self.controls:
                continue
            answer = self.ask(CHANGE, ChangeRequest(change_id=f"v{number}"))
            state = answer.state if answer else None
            if answer and state in (ChangeState.DECIDED, ChangeState.DROPPED):
                version, reason = answer.version or 0, answer.reason or ""
                self.judge.told(fate, answer.state.value, version, reason, self.loop.now)
            elif state is ChangeState.UNKNOWN and fate.outcome != "decided":
                fate.outcome = "nowhere"  # nobody took it, and nobody was told otherwise
            else:
                rule = "stuck" if state in (None, ChangeState.PROPOSED) else "untrue"
                was, word = fate.outcome or "nothing", state.value if state else "nothing"
                self.judge.breach(rule, self.loop.now, f"v{number}: {word}, after {was}")
        if not numbers:
            return
        best = max(
            self.judge.fates.values(), key=lambda fate: fate.n if fate.outcome == "decided" else -1
        )
        since = self.loop.now
        for name in [name for name, post in self.balancers.items() if post.alive]:
            spent = (self.loop.now - since) / 1e6
            within = max(0.5, self.drill.settle_s + 3 * self.drill.control.lease_ms / 1e3 - spent)
            wanted = f"serves {name} v{best.number}"
            self.until(partial(self.seen, wanted, since), within, wanted)
        found = tuple(self.judge.fates[number].outcome for number in numbers)
        if self.drill.outcomes and found != self.drill.outcomes:
            whys = "; ".join(self.judge.fates[number].why for number in numbers)
            self.judge.breach("stuck", self.loop.now, f"outcomes {', '.join(found)}: {whys}")

    def nothing_proposed(self) -> bool:
        status = self.ask(STATUS, EmptyMessage())
        return status is not None and status.proposal is None

    def ask(self, method: RpcMethod[RequestT, AnswerT], request: RequestT) -> AnswerT | None:
        """Of any control process, now that all are there."""
        for _ in range(10):
            for calls in self.questions:
                if (answer := calls.call_and_wait(method, request)) is not None:
                    return answer
            end = self.loop.clock() + 200_000
            while self.loop.clock() < end:
                self.loop.run_once(10_000)
        return None

    def close(self) -> None:
        for _, shell in self.shells:
            shell.kill()
            shell.wait()
            if shell.stdout:
                shell.stdout.close()
        for control in self.controls:
            if control.process:
                control.process.kill()
                control.process.wait()
        for post in self.balancers.values():
            if isinstance(post, Process) and post.process:
                post.process.kill()
                post.process.wait()
        for relay in self.relays.values():
            relay.close()
        for talk in self.talks.values():
            talk.close()
        super().close()
        self.slot.close()

    def tails(self) -> dict[str, list[str]]:
        """The last events of each process's log, for whoever has to explain a breach."""
        return {name: events[-6:] for name, (_, events) in self.logs.items()}
