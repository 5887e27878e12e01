"""Stand-in operators, and the front before the balancers: drains, settings, new versions, their calls."""

from __future__ import annotations

import copy
import json
import socket
from collections.abc import Callable
from typing import TYPE_CHECKING, Any

from orchidgap.http1.readers import ResponseReader
from orchidgap.net.attempt_failure import AttemptFailure
from orchidgap.net.connection import Connection
from orchidgap.simulation.environment import AttemptLimit
from orchidgap.simulation.plan import OPERATOR_FAULT_KINDS, Fault, seconds_to_us

if TYPE_CHECKING:
    from orchidgap.simulation.environment import Environment

PROBE = 100_000  # how often the front asks each balancer whether it serves
STILL = 200_000  # after the first no, new connections still come for so long
EMPTY_WITHIN = 4_000_000  # after the call to drain
LATELY = 2_000_000  # a req this old may still be open then
BACK_WITHIN = 2_000_000  # after the call that ends a drain
YES_WITHIN = 6_000_000  # of a new version
ANSWER_WITHIN = 1_000_000  # of a call
SILENT_FOR = 4_000_000  # a caller that says nothing stays
BINDS_AFTER = 1_200_000  # new settings, after SIGHUP


class Probe:
    """One question of the front: do you serve?"""

    def __init__(self, front: Front, post: str, sock: socket.socket, opening: bool) -> None:
        self.front, self.post, self.reader, self.over = front, post, ResponseReader(), False
        self.conn = Connection(front.environment.loop, sock, self, opening=opening)
        self.conn.send(b"GET /up HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
        front.environment.loop.call_later(ANSWER_WITHIN, self.late)

    def opened(self) -> None: ...

    def received(self, view: memoryview) -> None:
        self.reader.feed(view)
        if self.reader.message.complete and not self.over:
            self.over = True
            self.front.heard(self.post, self.reader.message.status == 200)
            self.conn.close_gracefully()

    def ended(self, what: str) -> None:
        if not self.over:
            self.over = True
            self.front.heard(self.post, False)

    def late(self) -> None:
        if not self.over:
            self.conn.fail("late")


class Front:
    """Deals out connections: none to a balancer that has said no for a while."""

    def __init__(self, environment: Environment) -> None:
        self.environment = environment
        self.no_since: dict[str, int] = {}
        self.on = any(trouble.kind in OPERATOR_FAULT_KINDS for trouble in environment.plan.faults)

    def start(self) -> None:
        if self.on:
            self.probe()

    def probe(self) -> None:
        environment = self.environment
        for name, post in environment.balancers.items():
            if post.alive and post.ready_at:
                came = environment.network.dial(post.address)
                if isinstance(came, AttemptFailure):
                    self.heard(name, False)
                else:
                    Probe(self, name, came, not environment.network.virtual)
        environment.loop.call_later(PROBE, self.probe)

    def heard(self, post: str, yes: bool) -> None:
        if yes:
            self.no_since.pop(post, None)
        else:
            self.no_since.setdefault(post, self.environment.loop.now)

    def closed(self, post: str) -> bool:
        """Whether no new connection goes there."""
        return post in self.no_since and self.environment.loop.now - self.no_since[post] > STILL


class CallLink:
    """One call at an operators' door: a line is owed within a second."""

    def __init__(
        self, environment: Environment, post: str, name: str, heard: Callable[[str], None]
    ) -> None:
        self.environment, self.post, self.name, self.heard, self.line = (
            environment,
            post,
            name,
            heard,
            b"",
        )
        self.over = False
        environment.referee.operator_calls += 1
        came = environment.network.dial(environment.balancers[post].admin_address)
        if isinstance(came, AttemptFailure):
            return self.wrong("nobody lets it in")
        self.conn = Connection(
            environment.loop, came, self, opening=not environment.network.virtual
        )
        if name:
            self.conn.send(name.encode() + b"\n")
            environment.loop.call_later(ANSWER_WITHIN, self.late)
        else:
            environment.loop.call_later(SILENT_FOR, self.conn.close)

    def opened(self) -> None: ...

    def received(self, view: memoryview) -> None:
        self.line += bytes(view)
        if self.name and self.line.endswith(b"\n") and not self.over:
            self.over = True
            said = self.line.decode(errors="replace").strip()
            self.environment.loop.call_soon(self.heard, said)
            self.conn.close_gracefully()

    def ended(self, what: str) -> None:
        if self.name and not self.over:
            self.wrong("its connection ended")

    def late(self) -> None:
        if not self.over:
            self.wrong("no answer in time")
            self.conn.close()

    def wrong(self, why: str) -> None:
        self.over = True
        self.environment.referee.record_breach(
            "late", self.environment.loop.now, f"call {self.name} at {self.post}: {why}"
        )


def call(environment: Environment, post: str, name: str, *wanted: str) -> None:
    """A call that is owed one of these words."""

    def heard(said: str) -> None:
        environment.referee.record_event(environment.loop.now, f"{post}: {name}: {said}")
        if not said.startswith(wanted or ("SUCCESS",)):
            environment.referee.record_breach(
                "late", environment.loop.now, f"call {name} at {post}: {said!r}"
            )

    CallLink(environment, post, name, heard)


# --- what they do


def quiesce(environment: Environment, trouble: Fault, names: list[str]) -> None:
    """Drained, looked at after four seconds, and back again when the trouble ends."""
    loop = environment.loop
    for name in names:
        call(environment, name, "quiesce")
        loop.call_later(500_000, call, environment, name, "health", "FAILURE")
        loop.call_later(EMPTY_WITHIN, empty, environment, name, loop.now + EMPTY_WITHIN)
        loop.call_later(
            max(EMPTY_WITHIN + 100_000, seconds_to_us(trouble.duration_s)),
            resume,
            environment,
            name,
        )


def empty(environment: Environment, name: str, now: int) -> None:
    """Four seconds after the call nobody may be sent there, nor be kept without need."""
    referee = environment.referee
    if name not in environment.front.no_since:
        referee.record_breach("lost", now, f"{name}: was told to drain, and still says yes")
    for link in environment.clients.open_connections(name):
        if link.attempt is None:
            referee.record_breach(
                "lost", now, f"{name}: was told to drain, and holds an idle connection"
            )
        elif now - link.attempt.write_started_us < LATELY:
            referee.record_breach(
                "lost", now, f"{name}: was told to drain, and holds {link.attempt.id.decode()}"
            )


def resume(environment: Environment, name: str) -> None:
    call(environment, name, "resume")

    def back() -> None:
        if name in environment.front.no_since and environment.is_alive(name):
            environment.referee.record_breach(
                "lost", environment.loop.now, f"{name}: the drain ended, and it still says no"
            )

    environment.loop.call_later(BACK_WITHIN, back)


def silent_calls(environment: Environment, trouble: Fault, names: list[str]) -> None:
    """`size` callers (100) that say nothing, and a call that is owed its answer beside them."""
    for name in names:
        for _ in range(round(trouble.magnitude or 100)):
            CallLink(environment, name, "", print)
        for at in (0, 1_000_000, 3_000_000):
            environment.loop.call_later(
                at + 50_000, call, environment, name, "health", "SUCCESS", "FAILURE"
            )


def retune(environment: Environment, trouble: Fault, names: list[str]) -> None:
    """The settings as they are to be from now on; `size`, where given, is how many dispatches may be."""
    if trouble.magnitude:
        environment.attempt_limit = AttemptLimit(
            round(trouble.magnitude), environment.loop.now, environment.attempt_limit.current
        )
    for name in names:
        environment.balancers[name].reload(
            json.dumps(
                environment.balancer_settings(
                    environment.balancers[name], environment.latest_endpoint_list(name)
                )
            ).encode()
        )


def bad_settings(environment: Environment, trouble: Fault, names: list[str]) -> None:
    """Files that cannot be used, one after another: nothing of them may count."""
    for name in names:
        tree = environment.balancer_settings(
            environment.balancers[name], environment.latest_endpoint_list(name)
        )
        for number, text in enumerate(broken(tree)):
            environment.loop.call_later(number * 150_000, environment.balancers[name].reload, text)


def broken(tree: dict[str, Any]) -> list[bytes]:
    """The same settings in ways that must not be taken; each would move discovery and rename all classes."""

    def changed(act: Callable[[dict[str, Any]], object]) -> bytes:
        other = copy.deepcopy(tree)
        other["discovery"] = "127.9.9.9:9"
        for work in other["settings"]["rule-sets"]:
            work["name"] += "-x"
        act(other)
        return json.dumps(other).encode()

    def rule_set(key: str, value: object) -> bytes:
        return changed(lambda other: other["settings"]["rule-sets"][-1].update({key: value}))

    whole = changed(lambda other: None)
    return [
        b"",
        b"[]",
        whole[: len(whole) // 2],
        rule_set("client-timeout", 0),
        rule_set("client-timeout", -5),
        rule_set("client-timeout", "soon"),
        rule_set("effect", "unknown"),
        changed(lambda other: other["settings"]["ceilings"].update({"most-dispatches": 0})),
        changed(lambda other: other["settings"]["ceilings"].pop("may-cancel")),
        changed(lambda other: other["settings"]["rule-sets"][0].pop("effect")),
        changed(lambda other: other["settings"].pop("rule-sets")),
        changed(lambda other: other.pop("settings")),
    ]


def upgrade(environment: Environment, trouble: Fault, names: list[str]) -> None:
    """One after another: a new process beside the old one, which is told to end at the new one's yes."""
    for number, name in enumerate(names):
        environment.loop.call_later(
            seconds_to_us(trouble.duration_s) * number // len(names),
            start_successor,
            environment,
            name,
        )


def start_successor(environment: Environment, name: str) -> None:
    post = environment.balancers[name]
    if not post.alive:
        return
    until = environment.loop.now + YES_WITHIN
    post.start_successor(environment.latest_endpoint_list(name))
    longest = max(
        round(work.client_timeout_ms * 1000) for work in environment.plan.request_classes()
    )

    def look() -> None:
        if not post.alive:
            return
        if post.successor_is_ready():
            environment.referee.record_event(
                environment.loop.now, f"{name}: the new process says yes"
            )
            post.shut_down_predecessor()
            environment.loop.call_later(longest + 700_000, post.kill_predecessor)
        elif environment.loop.now > until:
            environment.referee.record_breach(
                "late", environment.loop.now, f"{name}: no yes of the new process in time"
            )
        else:
            environment.loop.call_later(20_000, look)

    look()


OPS_ACTS: dict[str, Callable[[Environment, Fault, list[str]], None]] = {
    "quiesce": quiesce,
    "retune": retune,
    "bad-settings": bad_settings,
    "upgrade": upgrade,
    "silent-calls": silent_calls,
}
