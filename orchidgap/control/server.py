"""A control process: one acceptor of the register, the leases it grants, and whoever drives what is
proposed."""

from __future__ import annotations

import ipaddress
import signal
import time
from collections import deque
from collections.abc import Callable, Mapping
from functools import partial
from itertools import islice, takewhile
from pathlib import Path
from random import Random
from typing import Any

import orjson

from orchidgap.control.rpc import Heard, RpcClient, RpcServer
from orchidgap.control.validation import fit
from orchidgap.decisions import policy_rollout
from orchidgap.decisions.cas_register import NONE, Acceptor, Ballot, Kept, Round, Value, majority
from orchidgap.decisions.policy_rollout import Leases, Row
from orchidgap.net.addresses import Address, format_address, parse_address
from orchidgap.net.config import ConfigError
from orchidgap.net.event_log import EventLog
from orchidgap.net.loop import Loop, boot_clock
from orchidgap.net.signals import watch_signals
from orchidgap.state.background_writer import BackgroundWriter
from orchidgap.state.durable_store import CorruptFileError, DurableStore

Turn = Callable[[Acceptor, Heard], None]

WITHIN = 500_000  # for a control process to answer another, or itself
HOLD = 30.0  # seconds for a process before this one to end
TICK = 100_000
TRIES = 6  # rounds for one change, before its caller is told that it is not known
QUEUE = 256  # changes of the register that may wait here
RANK = 1_000_000  # so much later each further control process drives what another one began
# one call of a balancer, as reckoned for how often they may come while something is proposed
CALL_US = 2_500
SOONEST, LEASE_PART = (
    50_000,
    4,
)  # how often balancers call: at most, and in a lease while nothing is proposed


def kept_of(found: Any) -> Kept:
    """As it was written."""
    (count, who), (of, by), value = found
    return Kept((int(count), str(who)), (int(of), str(by)), value)


class Control:
    def __init__(
        self,
        loop: Loop,
        name: str,
        peers: Mapping[str, Address],
        lease: int,
        give_up: int,
        files: DurableStore,
        log: EventLog,
        rng: Random,
        clock: Callable[[], int] = boot_clock,
    ) -> None:
        self.loop, self.name, self.files, self.log, self.rng, self.clock = (
            loop,
            name,
            files,
            log,
            rng,
            clock,
        )
        self.names = sorted(peers)
        self.others = {
            other: RpcClient(loop, peers[other], WITHIN) for other in self.names if other != name
        }
        self.lease, self.give_up = lease, give_up
        self.leases = Leases(lease, clock())
        self.acceptor: Acceptor | None = None  # none while it has lost its disk and is not back yet
        self.highest = 0  # count of any ballot seen
        self.ballot = NONE  # of the round of its own that ended last
        self.queue: deque[tuple[Callable[[Value], Value], Heard, bool]] = deque()
        self.shared = 1  # how many of them the round under way is for
        self.running = False  # a round of this process
        self.disk = BackgroundWriter(loop, files)
        # what its own acceptor is asked, one write after another: when, what, who hears
        self.turns: deque[tuple[int, Turn, Heard]] = deque()
        self.writes = 0  # since when it writes, 0 for not now
        self.disk_state = ""  # slow or fails
        self.seen = (0, 0)  # the try that is proposed, and since when it is known here
        self.own = 0  # the try that was proposed here
        self.driving = False
        self.server = RpcServer(
            loop,
            {
                "/lease": self.on_lease,
                "/part": self.on_part,
                "/prepare": self.on_prepare,
                "/accept": self.on_accept,
                "/waits": self.on_waits,
                "/join": self.on_join,
                "/settle": self.on_settle,
                "/propose": self.on_propose,
                "/change": self.on_change,
                "/strike": self.on_strike,
                "/status": self.on_status,
                "/check": self.on_check,
            },
        )

    @property
    def value(self) -> Value:
        """As taken here, which need not be chosen."""
        return self.acceptor.kept.value if self.acceptor else policy_rollout.EMPTY

    # --- its disk

    def begin(self, new: bool) -> None:
        """Raises ConfigError where it cannot be what it was."""
        lost = ""
        try:
            kept = self.files.read("register")
        except CorruptFileError as trouble:
            lost, kept = str(trouble), None
            self.files.set_aside("register")
        if kept is not None:
            self.stand(kept_of(kept))
        elif new and not lost:
            try:
                self.files.write("register", tuple(Kept(NONE, NONE, policy_rollout.EMPTY)))
            except OSError as trouble:
                raise ConfigError(f"{self.files.folder}: {trouble.strerror}") from None
            self.stand(Kept(NONE, NONE, policy_rollout.EMPTY))
        elif not self.others:
            lost = lost or f"{self.files.folder} holds no register"
            raise ConfigError(f"{lost}; --new begins with none decided")
        else:
            self.log("register lost", why=lost or "nothing there")
        self.tick()

    def stand(self, kept: Kept) -> None:
        self.acceptor = Acceptor(kept)
        self.highest = max(self.highest, kept.promised[0])

    def write(self, kept: Kept, done: Callable[[bool], None]) -> None:
        """`done` is told whether it is durable. Leases are granted meanwhile, however long the disk takes."""
        self.writes = self.clock()
        self.disk("register", tuple(kept), partial(self.written, done))

    def written(self, done: Callable[[bool], None], why: str) -> None:
        spent, self.writes = self.clock() - self.writes, 0
        if why:
            self.disk_is("fails", why=why)
        else:
            self.disk_is("slow" if spent > WITHIN else "", ms=spent // 1000)
        done(not why)
        self.step()

    def disk_is(self, state: str, **facts: Any) -> None:
        if state != self.disk_state:
            self.disk_state = state
            self.log(f"disk {state or 'back'}", **facts)

    def asks(self, turn: Turn, done: Heard) -> None:
        """Its own acceptor, when what was asked before is written."""
        if len(self.turns) >= QUEUE:
            return done(None)
        self.turns.append((self.clock(), turn, done))
        if not self.writes:
            self.loop.call_soon(self.step)

    def step(self) -> None:
        while self.turns and not self.writes:
            _, turn, done = self.turns.popleft()
            if self.acceptor is None:
                done(None)
            else:
                turn(self.acceptor, done)

    def look_at_disk(self) -> None:
        """A disk that stands still: who asked has given up, and what it asked must not pile up."""
        now = self.clock()
        while self.turns and now - self.turns[0][0] > WITHIN:
            self.turns.popleft()[2](None)
        if self.writes and now - self.writes > WITHIN and not self.disk_state:
            self.disk_is("slow", ms=(now - self.writes) // 1000)

    # --- what balancers say

    def on_lease(self, told: dict[str, Any], done: Heard) -> None:
        if self.acceptor is None:
            return done(None)
        row = Row(
            str(told["name"])[:100],
            str(told["life"])[:40],
            str(told["alone"])[:5],
            int(told["runs"]),
            int(told["promised"]),
            int(told["refused"]),
            str(told["why"])[:500],
            0,
            0,
        )
        now = self.clock()
        grants = self.leases.hear(row, now, int(told["heard"]))
        value, new = self.value, self.value["next"]
        said = {
            "ballot": self.acceptor.kept.ballot,
            "grants": grants,
            "at": now,
            "lease": self.lease,
            "again": self.again(),
            "size": len(self.names),
            "n": value["n"],
            "id": value["id"],
            "try": value["try"],
            "stay": {row.name: value["stay"].get(row.name)},
            "next": None,
        }
        if value["n"] > row.runs:
            said["doc"] = value["doc"]
        if new:
            said["next"] = (
                new
                if new["try"] not in (row.promised, row.refused)
                else {"try": new["try"], "n": new["n"], "id": new["id"]}
            )
        done(said)

    def again(self) -> int:
        """When a balancer is to call next: often while something is proposed, as far as one process can
        hear all."""
        if self.value["next"]:
            return min(max(SOONEST, len(self.leases.rows) * CALL_US), self.lease // LEASE_PART)
        return self.lease // LEASE_PART

    def on_part(self, told: dict[str, Any], done: Heard) -> None:
        name, life = str(told["name"]), str(told["life"])
        self.leases.part(name, life)
        if self.value["stay"].get(name) == life:
            self.cas(
                lambda value: policy_rollout.struck(value, name, life) or value,
                lambda value: None,
                True,
            )
        done({})

    def on_join(self, told: dict[str, Any], done: Heard) -> None:
        name, life = str(told["name"]), str(told["life"])
        self.cas(
            lambda value: policy_rollout.joined(value, name, life) or value,
            lambda value: done(value and {}),
            True,
        )

    def on_settle(self, told: dict[str, Any], done: Heard) -> None:
        """Somebody is told different things by different control processes."""
        self.cas(lambda value: value, lambda value: done(value and {}), True)

    # --- what control processes say to each other

    def on_prepare(self, told: dict[str, Any], done: Heard) -> None:
        self.asks(partial(self.prepare, tuple(told["ballot"])), done)

    def prepare(self, ballot: Ballot, acceptor: Acceptor, done: Heard) -> None:
        self.highest = max(self.highest, ballot[0])
        kept = acceptor.prepare(ballot)
        if kept is None:
            return done({"ok": False, "promised": acceptor.kept.promised})

        def written(durable: bool) -> None:
            if durable:
                acceptor.stands(kept)
            done({"ok": True, **kept._asdict()} if durable else None)

        self.write(kept, written)

    def on_accept(self, told: dict[str, Any], done: Heard) -> None:
        self.asks(partial(self.accept, tuple(told["ballot"]), told["value"]), done)

    def accept(self, ballot: Ballot, value: Value, acceptor: Acceptor, done: Heard) -> None:
        kept = acceptor.accept(ballot, value)
        if kept is None:
            return done({"ok": False})
        old = acceptor.kept.value
        if late := self.leases.takes(old, value, self.clock()):
            return done({"ok": False, "late": late})

        def written(durable: bool) -> None:
            if durable:
                self.leases.written()
                acceptor.stands(kept)
                if value["n"] != old["n"]:
                    self.log("version taken", n=value["n"], id=value["id"], ballot=ballot[0])
            done({"ok": True} if durable else None)

        self.write(kept, written)

    def on_waits(self, told: dict[str, Any], done: Heard) -> None:
        done(self.waits() if self.acceptor else None)

    def waits(self) -> dict[str, Any]:
        """Of what is proposed, as far as this process knows: who is waited for, who refused."""
        now, new = self.clock(), self.value["next"]
        return {
            "try": new["try"] if new else 0,
            "late": self.leases.waits(self.value, now),
            "refused": self.leases.refusals(self.value, now),
        }

    # --- a change of the register

    def cas(self, make: Callable[[Value], Value], done: Heard, light: bool = False) -> None:
        """`done` gets the value that is chosen now, or None where that is not known. Light ones, which no
        acceptor waits for anybody with, share a round: hundreds of balancers register at once."""
        if len(self.queue) >= QUEUE:
            return done(None)
        self.queue.append((make, done, light))
        if not self.running:
            self.running = True
            self.loop.call_soon(self.begin_round, TRIES)

    def begin_round(self, tries: int) -> None:
        if not self.queue:
            self.running = False
            return
        self.highest += 1
        ballot = (self.highest, self.name)
        lost = self.acceptor is None
        light = list(takewhile(lambda one: one[2], self.queue))
        self.shared = max(1, len(light))

        def make(value: Value) -> Value:
            for one, _, _ in islice(self.queue, self.shared):
                value = one(value)
            return value

        Attempt(self, Round(ballot, len(self.names), make, self.name if lost else ""), tries)

    def round_over(self, value: Value | None, tries: int, ballot: Ballot) -> None:
        self.ballot = ballot
        if value is None and tries > 1:
            # at a random time, as another proposer would
            pause = self.rng.randrange(10_000, 40_000 << (TRIES - tries))
            self.loop.call_later(pause, self.begin_round, tries - 1)
            return
        over = [self.queue.popleft() for _ in range(self.shared)]
        self.loop.call_soon(self.begin_round, TRIES)
        for _, done, _ in over:
            done(value)

    def call_all(self, path: str, told: dict[str, Any], heard: Callable[[str, Any], None]) -> None:
        """Every control process, itself among them, which is given as long as the others."""
        for other, calls in self.others.items():
            calls(path, told, partial(heard, other))

        def once(said: Any) -> None:
            if timer.callback is not None:
                timer.cancel()
                heard(self.name, said)

        timer = self.loop.call_later(WITHIN, once, None)
        self.loop.call_soon(self.server.acts[path], told, once)

    # --- driving what is proposed

    def tick(self) -> None:
        self.loop.call_later(TICK + self.rng.randrange(TICK // 4), self.tick)
        now = self.clock()
        self.leases.sweep(now)
        self.look_at_disk()
        if self.acceptor is None:
            if not self.running and not self.writes:
                self.come_back()
            return
        new = self.value["next"]
        number = new["try"] if new else 0
        if number != self.seen[0]:
            self.seen = number, now
        rank = 0 if number == self.own else self.names.index(self.name) * RANK
        if number and not self.driving and not self.running and now - self.seen[1] >= rank:
            self.drive(number)

    def come_back(self) -> None:
        """Its disk was lost, and with it what it had promised: a round of all others, under a ballot higher
        than any that it may have had a part in, and only what that finds is taken up."""

        def back(value: Value | None) -> None:
            if value is None or self.acceptor:
                return
            # the round's own ballot: under a higher one something else may be chosen
            kept = Kept(self.ballot, self.ballot, value)

            def written(durable: bool) -> None:
                if durable:
                    self.stand(kept)
                    self.log("register back", n=value["n"])

            self.write(kept, written)

        self.cas(lambda value: value, back)

    def drive(self, number: int) -> None:
        self.driving = True
        asked: dict[str, Any] = {}
        late: dict[str, int] = {}
        refused: dict[str, str] = {}

        def over() -> None:
            self.driving = False
            agreed = [one for one in asked.values() if one and one["try"] == number]
            if len(agreed) < majority(len(self.names)):
                return
            if refused:
                why = "; ".join(f"{name}: {why}" for name, why in refused.items())
            elif late and self.clock() - self.seen[1] > self.give_up:
                why = "no promise in time from " + ", ".join(late)
            elif late:
                return
            else:
                return self.cas(
                    lambda value: policy_rollout.decided(value, number) or value, self.driven
                )
            self.cas(lambda value: policy_rollout.dropped(value, number, why) or value, self.driven)

        def heard(name: str, said: Any) -> None:
            asked[name] = said
            if said and said["try"] == number:
                late.update(dict(said["late"]))
                refused.update(dict(said["refused"]))
            if len(asked) == len(self.names):
                over()

        self.call_all("/waits", {}, heard)

    def driven(self, value: Value | None) -> None:
        if value and value["past"] and not value["next"]:
            n, id, word, why = value["past"][-1]
            self.log("change " + word, id=id, n=n, **({"why": why} if why else {}))

    # --- operators' acts

    def on_check(self, told: dict[str, Any], done: Heard) -> None:
        done({"why": fit(told["doc"])})

    def on_propose(self, told: dict[str, Any], done: Heard) -> None:
        id, doc, again, after = (
            str(told["id"]),
            told["doc"],
            bool(told["again"]),
            int(told["after"]),
        )
        if why := fit(doc):
            return done({"state": "unfit", "why": why})

        def made(value: Value | None) -> None:
            if value and value["next"] and value["next"]["id"] == id:
                self.own = value["next"]["try"]
            done(value and self.told(value, id))

        self.cas(lambda value: policy_rollout.asked(value, id, doc, again, after), made)

    def on_change(self, told: dict[str, Any], done: Heard) -> None:
        """What became of one: how far it is by what is known here, its end only from a majority."""
        id = str(told["id"])
        if self.value["next"] and self.value["next"]["id"] == id:
            return done(self.told(self.value, id))
        self.cas(lambda value: value, lambda value: done(value and self.told(value, id)))

    def told(self, value: Value, id: str) -> dict[str, Any]:
        return self.state(value, id) | {"tries": value["tries"]}

    def state(self, value: Value, id: str) -> dict[str, Any]:
        new, known = value["next"], policy_rollout.outcome(value, id)
        if new and new["id"] == id:
            return {"state": "proposed", "n": new["n"], "try": new["try"], **self.waits()}
        if known and known[2] == "decided":
            return {"state": "decided", "n": known[0], "now": value["n"], "lease": self.lease}
        if known:
            return {"state": "nowhere", "why": known[3]}
        if new:
            return {"state": "busy", "why": f"{new['id']} is proposed and not decided yet"}
        return {"state": "unknown", "why": "no such change"}

    def on_strike(self, told: dict[str, Any], done: Heard) -> None:
        """Of one life only: a call that comes late must not strike off who has come back."""
        name, life = str(told["name"]), str(told["life"])
        self.cas(
            lambda value: policy_rollout.struck(value, name, life) or value,
            lambda value: done(value and {"struck": value["stay"].get(name) != life}),
            True,
        )

    def on_status(self, told: dict[str, Any], done: Heard) -> None:
        now, value, new = self.clock(), self.value, self.value["next"]
        done(
            {
                "name": self.name,
                "controls": self.names,
                "lost": self.acceptor is None,
                "lease": self.lease,
                "disk": self.disk_state,
                "ballot": self.acceptor.kept.ballot if self.acceptor else NONE,
                "n": value["n"],
                "id": value["id"],
                "stay": value["stay"],
                "past": value["past"],
                "next": new and {"id": new["id"], "n": new["n"], "try": new["try"]},
                **self.waits(),
                "rows": [
                    row._replace(heard=now - row.heard, until=row.until - now)._asdict()
                    for row in self.leases.rows.values()
                ],
            }
        )


class Attempt:
    """One round on the network."""

    def __init__(self, control: Control, round: Round, tries: int) -> None:
        self.control, self.round, self.tries, self.over = control, round, tries, False
        self.heard = self.heard_accept = 0
        control.call_all("/prepare", {"ballot": round.ballot}, self.prepared)

    def prepared(self, name: str, said: Any) -> None:
        self.heard += 1
        if said:
            self.control.highest = max(self.control.highest, said["promised"][0])
        if self.over:
            return
        if said and said["ok"]:
            if self.round.prepared(name, tuple(said["ballot"]), said["value"]):
                value, ballot = self.round.value, self.round.ballot
                assert value is not None
                return self.control.call_all(
                    "/accept", {"ballot": ballot, "value": value}, self.accepted
                )
        if self.heard == len(self.control.names) and self.round.value is None:
            self.end(None)

    def accepted(self, name: str, said: Any) -> None:
        self.heard_accept += 1
        if self.over:
            return
        if said and said["ok"] and self.round.accepted(name):
            return self.end(self.round.value)
        if self.heard_accept == len(self.control.names):
            # waiting for balancers is not for the next round: who drives asks first
            self.end(None, 1 if said and said.get("late") else self.tries)

    def end(self, value: Value | None, tries: int = 0) -> None:
        self.over = True
        self.control.round_over(value, tries or self.tries, self.round.ballot)


def own(files: DurableStore, log: EventLog) -> None:
    """The folder is this process's alone. Raises ConfigError where another one's it stays."""
    until = 0.0
    try:
        while not files.hold():
            if not until:
                until = time.monotonic() + HOLD
                log("waits for its folder", why="a process before it still writes")
            if time.monotonic() > until:
                raise ConfigError(f"{files.folder} is another process's")
            time.sleep(0.05)
    except OSError as trouble:
        raise ConfigError(f"{files.folder}: {trouble.strerror}") from None


def run(
    path: str | None, new: bool, make_files: Callable[[Path], DurableStore] = DurableStore
) -> None:
    """A control process, until SIGTERM or SIGINT. Raises ConfigError."""
    if not path:
        raise ConfigError("--config names no file")
    try:
        told = orjson.loads(Path(path).read_bytes())
        name, peers = (
            str(told["name"]),
            {str(one): parse_address(at) for one, at in told["control"].items()},
        )
        lease, folder = int(told.get("lease-ms", 10_000)) * 1000, str(told["dir"])
        give_up = int(told.get("give-up-ms", lease // 1000 * 6)) * 1000
        beyond = told.get("beyond-loopback", False)
    except OSError as trouble:
        raise ConfigError(f"{path}: {trouble.strerror}") from None
    except KeyError as trouble:
        raise ConfigError(f"{path}: {trouble.args[0]} is missing") from None
    except (ValueError, TypeError, AttributeError) as trouble:
        raise ConfigError(f"{path}: {trouble}") from None
    if name not in peers:
        raise ConfigError(f"{path}: control has no address for {name}")
    if len(peers) not in (1, 3, 5):
        raise ConfigError(f"{path}: {len(peers)} control processes; 1, 3 or 5 can be")
    if not 1_000_000 <= lease <= 600_000_000 or give_up < lease:
        raise ConfigError(f"{path}: lease-ms goes from 1000 to 600000, and give-up-ms is no less")
    if not ipaddress.IPv4Address(peers[name][0]).is_loopback and beyond is not True:
        raise ConfigError(
            f"{path}: {format_address(peers[name])} is beyond loopback; set beyond-loopback to true, as "
            "whoever reaches it can change the policy"
        )
    log = EventLog(name)
    loop = Loop(on_error=log.exception)
    try:
        files = make_files(Path(folder))
    except OSError as trouble:
        raise ConfigError(f"{folder}: {trouble.strerror}") from None
    own(files, log)
    control = Control(loop, name, peers, lease, give_up, files, log, Random())
    control.begin(new)
    try:
        control.server.listen(peers[name])
    except OSError as trouble:
        raise ConfigError(
            f"cannot listen on {format_address(peers[name])}: {trouble.strerror}"
        ) from None
    bell = watch_signals(
        loop, (signal.SIGTERM, signal.SIGINT), lambda told: setattr(loop, "running", False)
    )
    log(
        "control",
        listen=format_address(peers[name]),
        of=len(peers),
        n=control.value["n"],
        lease_ms=lease // 1000,
    )
    loop.run()
    bell.close()
    log("stopped")
