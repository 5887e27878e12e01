"""Judges a change of policy by what clients were answered and callers of control were told.

A req of the class that only one version has is answered 200 under that version, and under no other.

`undecided`: a req was answered under a version that was decided nowhere, or not yet.
`old`: a req that was sent later than the bound after a decision was answered under an earlier version.
`untrue`: one caller was told another outcome of a change than another, or than the history says.
`uneven`: a stretch was not as even as the plan expects.
`stuck`: with all faults healed, a balancer did not serve under what counts, or a proposal had no outcome.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from orchidgap.simulation.invariant_checker import InvariantChecker
from orchidgap.simulation.observations import ClientAttempt

RULES = ("undecided", "old", "untrue", "uneven", "stuck")


@dataclass(slots=True)
class Fate:
    """What became of one proposal, as its callers were told. Times in microseconds."""

    number: int
    began: int
    outcome: str = ""  # decided, nowhere or unknown
    n: int = 0  # as which version
    why: str = ""
    ended: int = 0  # when its caller was told
    not_before: int = 0  # a majority of control had not taken it yet at this time


class Judge:
    def __init__(self, referee: InvariantChecker, bound: int, slack: int) -> None:
        self.referee, self.bound, self.slack = referee, bound, slack
        self.fates: dict[int, Fate] = {0: Fate(0, 0, "decided", 0)}
        self.counts = dict.fromkeys(RULES, 0)
        self.took: list[
            int
        ] = []  # from a decision to the last client answered under an earlier version
        # reqs answered under an earlier version after a decision, within the bound
        self.mixed = 0

    def breach(self, rule: str, at: int, text: str) -> None:
        self.counts[rule] += 1
        self.referee.breaches.append((rule, (at - self.referee.started_at_us) / 1e6, text))

    def told(self, fate: Fate, outcome: str, n: int, why: str, at: int) -> None:
        """Some caller was told this."""
        if fate.outcome in ("decided", "nowhere") and outcome in ("decided", "nowhere"):
            if (fate.outcome, fate.n) != (outcome, n):
                self.breach(
                    "untrue", at, f"v{fate.number}: {outcome} {n}, after {fate.outcome} {fate.n}"
                )
            return
        if outcome in ("decided", "nowhere") or not fate.outcome:
            fate.outcome, fate.n, fate.why, fate.ended = outcome, n, why, at

    def governed(self) -> list[tuple[ClientAttempt, Fate]]:
        """The reqs that tell which version governed them, with it."""
        found = []
        for ask in self.referee.client_attempts.values():
            name = ask.operation.request_class.name
            if (
                ask.status == 200
                and name[0] == "v"
                and name[1:].isdigit()
                and int(name[1:]) in self.fates
            ):
                found.append((ask, self.fates[int(name[1:])]))
        return found

    def judge(self) -> None:
        governed = self.governed()
        since: dict[int, int] = {}  # by version: when it was certainly decided, at the latest
        for fate in self.fates.values():
            if fate.outcome == "decided" and fate.number:
                seen = [ask.answered_at_us for ask, by in governed if by is fate]
                since[fate.n] = min([fate.ended, *seen])
        last: dict[int, int] = {}
        for ask, fate in governed:
            who = f"{ask.id.decode()} at {ask.balancer}: answered under v{fate.number}"
            if fate.outcome != "decided":
                self.breach(
                    "undecided",
                    ask.answered_at_us,
                    f"{who}, which holds {fate.outcome or 'nowhere'}",
                )
                continue
            if fate.number and ask.answered_at_us < fate.not_before:
                self.breach("undecided", ask.answered_at_us, f"{who} before it was decided")
            for n, when in since.items():
                if n > fate.n and ask.arrived_at_us > when + self.bound + self.slack:
                    late = f"sent {(ask.arrived_at_us - when) / 1e6:.2f} s after version {n} was decided"
                    self.breach("old", ask.answered_at_us, f"{who}, {late}")
                    break
            later = [n for n, when in since.items() if n > fate.n and ask.arrived_at_us > when]
            if later:
                self.mixed += 1
                last[min(later)] = max(
                    last.get(min(later), 0), ask.arrived_at_us - since[min(later)]
                )
        self.took = [last.get(n, 0) for n in since]

    def verdict(self, verdict: dict[str, Any]) -> dict[str, Any]:
        broken = verdict["verdict"] == "broken" or any(self.counts.values())
        fates = [fate.outcome for number, fate in sorted(self.fates.items()) if number]
        took = sorted(
            fate.ended - fate.began
            for fate in self.fates.values()
            if fate.outcome == "decided" and fate.number
        )
        return verdict | {
            "verdict": "broken" if broken else "kept",
            **self.counts,
            "mixed": self.mixed,
            "decided": fates.count("decided"),
            "nowhere": fates.count("nowhere"),
            "decided_ms": [round(one / 1e3) for one in took],
            "taken_ms": [round(one / 1e3) for one in sorted(self.took)],
        }
