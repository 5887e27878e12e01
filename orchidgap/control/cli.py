"""What operators ask of control, from a shell: a table or JSON, and an exit code."""

from __future__ import annotations

import json
import sys
import time
from hashlib import blake2b
from pathlib import Path
from typing import Any

import orjson

from orchidgap.control.rpc import RpcClient
from orchidgap.net.addresses import Address, parse_address
from orchidgap.net.loop import Loop

WITHIN = 3_000_000  # for control to answer, who may have to ask the others
EACH = 0.1  # seconds between looks at how far a change is
DECIDED, BAD, NOWHERE, UNKNOWN = 0, 1, 2, 3


class Shell:
    """Calls from outside of any loop."""

    def __init__(self, addresses: list[Address]) -> None:
        loop = Loop()
        self.calls = [RpcClient(loop, address, WITHIN) for address in addresses]
        self.lost = False  # a call had no answer, and may have been heard

    def any(self, path: str, told: Any) -> Any:
        """Of the first that answers: they all know the same, or find out."""
        for calls in list(self.calls):
            said = calls.wait(path, told)
            if said is not None:
                return said
            self.lost = True
            self.calls.append(self.calls.pop(0))
        return None

    def all(self, path: str) -> list[Any]:
        return [said for calls in self.calls if (said := calls.wait(path, {})) is not None]


def main(act: str, told: dict[str, Any]) -> int | str:
    """One act; what to exit with."""
    try:
        shell = Shell([parse_address(one.strip()) for one in told["--at"].split(",")])
        wait = float(told["--wait"])
        doc = orjson.loads(Path(told["FILE"]).read_bytes()) if told["FILE"] else None
    except (OSError, ValueError) as trouble:
        print(f"orchidgap: {trouble}", file=sys.stderr)
        return BAD
    if act == "check":
        return check(shell, doc, told["--json"])
    if act == "propose":
        text = orjson.dumps(doc, option=orjson.OPT_SORT_KEYS)
        id = told["--id"] or blake2b(text, digest_size=6).hexdigest()
        return propose(shell, id, doc, told["--again"], wait, told["--json"])
    if act == "strike":
        return strike(shell, told["NAME"], told["--json"])
    return status(shell, act == "history", told["--json"])


def show(said: Any, as_json: bool, text: str) -> None:
    print(json.dumps(said) if as_json else text)


def unknown(as_json: bool) -> int:
    show(
        {"state": "unknown", "why": "control does not answer"},
        as_json,
        "not known: control does not answer, or too few of its processes do; ask again",
    )
    return UNKNOWN


def check(shell: Shell, doc: Any, as_json: bool) -> int:
    said = shell.any("/check", {"doc": doc})
    if said is None:
        return unknown(as_json)
    show(
        said,
        as_json,
        f"cannot be: {said['why']}"
        if said["why"]
        else "can be proposed; each balancer looks closer then",
    )
    return NOWHERE if said["why"] else DECIDED


def waited_for(said: Any) -> str:
    return ", ".join(
        f"{name} ({f'{left / 1e6:.1f} s at most' if left else 'until it is back or struck off'})"
        for name, left in said["late"]
    )


def propose(shell: Shell, id: str, doc: Any, again: bool, wait: float, as_json: bool) -> int:
    until = time.monotonic() + wait
    after, shown = -1, ""
    said = shell.any("/change", {"id": id})
    while True:
        state = said["state"] if said else "unknown"
        # whether this may be about this call, and not an earlier one of the same name
        mine = after >= 0 and (bool(shown) or shell.lost)
        if state == "decided" and (mine or not again or said["now"] == said["n"]):
            since = (
                f"; {said['now']} counts now, --again decides it anew"
                if said["now"] != said["n"]
                else ""
            )
            show(
                {"id": id, **said},
                as_json,
                f"{id} decided as version {said['n']}, in force everywhere "
                f"within {said['lease'] / 1e6:g} s{since}",
            )
            return DECIDED
        if state == "unfit" or state == "busy" and after >= 0 or state == "nowhere" and mine:
            show({"id": id, **said}, as_json, f"{id} holds nowhere: {said['why']}")
            return NOWHERE
        if state == "proposed":
            after = said["tries"]
            names = ", ".join(name for name, _ in said["late"]) or "the decision"
            if names != shown and not as_json:
                now = waited_for(said) or names
                print(f"{id} proposed as version {said['n']}; waits for {now}", flush=True)
            shown = names
        if time.monotonic() > until:
            return unknown(as_json)
        if shown:
            time.sleep(EACH)
            said = shell.any("/change", {"id": id})
        elif said is not None or after < 0:
            if said is None:
                time.sleep(EACH)
                said = shell.any("/change", {"id": id})
            if said is not None:
                after, shell.lost = said["tries"], False
                said = shell.any("/propose", {"id": id, "doc": doc, "again": again, "after": after})
        else:  # not known whether it was heard: the same call, which counts once
            time.sleep(EACH)
            said = shell.any("/propose", {"id": id, "doc": doc, "again": again, "after": after})


def strike(shell: Shell, name: str, as_json: bool) -> int:
    there = shell.any("/status", {})
    if there is None:
        return unknown(as_json)
    life = there["stay"].get(name)
    said = shell.any("/strike", {"name": name, "life": life}) if life else {"struck": False}
    if said is None:
        return unknown(as_json)
    show(
        said,
        as_json,
        f"{name} struck off: no change waits for it. Make sure that it serves no client: it "
        "goes on under the old version until it hears of control"
        if said["struck"]
        else f"{name} is not among those that stay alone; a lease runs out by itself",
    )
    return DECIDED if said["struck"] else NOWHERE


def status(shell: Shell, past: bool, as_json: bool) -> int:
    """Of all control processes that answer, laid together."""
    told = shell.all("/status")
    if not told:
        return unknown(as_json)
    newest = max(told, key=lambda one: one["ballot"])
    rows: dict[tuple[str, str], Any] = {}
    for one in told:
        for row in one["rows"]:
            key = row["name"], row["life"]
            if key not in rows or row["heard"] < rows[key]["heard"]:
                rows[key] = row | {"until": max(row["until"], rows.get(key, row)["until"])}
    count, up = len(newest["controls"]), len([one for one in told if not one["lost"]])
    late: dict[str, int] = {}
    refused: dict[str, str] = {}
    for one in told:
        if one["try"] == newest["try"]:
            late.update(dict(one["late"]))
            refused.update(dict(one["refused"]))
    said = {
        "n": newest["n"],
        "id": newest["id"],
        "next": newest["next"],
        "late": late,
        "refused": refused,
        "control": {"of": count, "up": up, "decides": up > count // 2},
        "lease": newest["lease"],
        "balancers": sorted(rows.values(), key=lambda row: (row["name"], row["life"])),
        "stay": newest["stay"],
        "past": newest["past"],
    }
    if as_json:
        print(json.dumps(said))
        return 0
    if past:
        for n, id, word, why in newest["past"]:
            print(f"{id:<14} {word if not n else f'version {n}'}{': ' + why if why else ''}")
        return 0
    print(
        f"version {said['n']} {said['id']} counts; control: {up} of {count} answer"
        + ("" if up > count // 2 else ", too few: leases run out, nothing can be decided")
    )
    if said["next"]:
        print(
            f"proposed as version {said['next']['n']}: {said['next']['id']}; waits for "
            + (waited_for({"late": late.items()}) or "the decision")
        )
    for name, why in refused.items():
        print(f"refused by {name}: {why}")
    print(f"{'balancer':<16} {'version':>7} {'promised':>8} {'alone':>6} {'heard':>8} {'lease':>8}")
    for row in said["balancers"]:
        left = "none" if row["until"] <= 0 else f"{row['until'] / 1e6:.1f} s"
        print(
            f"{row['name']:<16} {row['runs']:>7} {row['promised'] or '':>8} {row['alone']:>6} "
            f"{row['heard'] / 1e6:>6.1f} s {left:>8}"
        )
    return 0
