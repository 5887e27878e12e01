"""One HTML file out of what a trial kept: plots over time, verdict, troubles, breaches, changes of mode."""

from __future__ import annotations

import base64
import html
import io
from pathlib import Path
from typing import Any

import matplotlib
import msgspec

matplotlib.use("Agg")
from matplotlib import pyplot

from orchidgap.errors import ScenarioError
from orchidgap.simulation.invariant_checker import RULES

WIDE, HIGH = 10.5, 2.5  # inches of a plot
SHADES = "tab20"
STYLE = """body{font:15px/1.45 sans-serif;max-width:1080px;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;text-align:left}
img{max-width:100%}pre{background:#f5f5f5;padding:.8em;overflow:auto}.broken{color:#a00}.kept{color:#060}"""


def read(folder: Path) -> dict[str, Any]:
    """What a trial kept there. Raises ScenarioError in one line."""
    path = folder / "trial.json"
    try:
        told: dict[str, Any] = msgspec.json.decode(path.read_bytes())
        return told | {"verdict": dict(told["verdict"])}
    except OSError as trouble:
        raise ScenarioError(f"{path}: {trouble.strerror}") from None
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as trouble:
        raise ScenarioError(f"{path}: not what a trial keeps ({trouble})") from None


def part_of(sorted_: list[int], part: float) -> float:
    """A percentile in milliseconds of sorted microseconds.

    >>> part_of([1000, 2000, 3000], 0.5), part_of([5000], 0.99)
    (2.0, 5.0)
    """
    return sorted_[min(len(sorted_) - 1, int(part * len(sorted_)))] / 1000


def drawn(figure: Any) -> str:
    """The figure as a picture in the page itself."""
    file = io.BytesIO()
    figure.savefig(file, format="png", dpi=90, bbox_inches="tight")
    pyplot.close(figure)
    return f'<img alt="" src="data:image/png;base64,{base64.b64encode(file.getvalue()).decode()}">'


def framed(told: dict[str, Any], title: str) -> tuple[Any, Any]:
    """A plot over the trial's time, with its troubles marked."""
    figure, axes = pyplot.subplots(figsize=(WIDE, HIGH))
    axes.set_title(title, loc="left", fontsize=11)
    axes.set_xlabel("seconds")
    for at, text in told["events"]:
        if not text.startswith("list:"):
            axes.axvline(at, color="#a00", linewidth=0.8, linestyle=":")
    return figure, axes


def service(told: dict[str, Any]) -> str:
    figure, axes = framed(told, "service: value in time over value asked, by second")
    rows = sorted((int(second), row) for second, row in told["seconds"].items())
    axes.plot(
        [second for second, _ in rows], [row[1] / row[0] if row[0] else 1.0 for _, row in rows]
    )
    axes.bar(
        [int(second) for second in told["denials"]],
        [
            min(1.0, count / max(1, max(told["denials"].values()))) * 0.3
            for count in told["denials"].values()
        ],
        color="#c80",
        alpha=0.5,
        label="denied or aborted (their most: 0.3)",
    )
    axes.set_ylim(0, 1.05)
    axes.legend(loc="lower right", fontsize=8)
    return drawn(figure)


def latency(told: dict[str, Any]) -> str:
    figure, axes = framed(told, "time to a done answer, ms")
    seconds = sorted(int(second) for second in told["waits"])
    for part in (0.5, 0.99):
        axes.plot(
            seconds,
            [part_of(told["waits"][str(second)], part) for second in seconds],
            label=f"p{part * 100:g}",
        )
    axes.set_yscale("log")
    axes.legend(loc="upper right", fontsize=8)
    return drawn(figure)


def out(told: dict[str, Any]) -> str:
    figure, axes = framed(told, "at each host, waiting and running")
    ids = sorted({id for _, rows in told["series"] for id in rows["out"]})
    shades = pyplot.get_cmap(SHADES)
    for i, id in enumerate(ids):
        axes.plot(
            [at for at, _ in told["series"]],
            [rows["out"].get(id, 0) for _, rows in told["series"]],
            label=id,
            color="black" if id.startswith("o") else shades(i % 20),
            linewidth=1,
        )
    axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=7)
    return drawn(figure)


def ranges(told: dict[str, Any]) -> str:
    rows = [(at, row["sizes"]) for at, row in told["series"] if row.get("sizes")]
    if not rows:
        return "<p>Ranges are not seen from outside: none are drawn for this policy or on real sockets.</p>"
    figure, axes = framed(told, "ranges as the first balancer has them, slots")
    ids = sorted({id for _, sizes in rows for id in sizes})
    shades = pyplot.get_cmap(SHADES)
    axes.stackplot(
        [at for at, _ in rows],
        [[sizes.get(id, 0) for _, sizes in rows] for id in ids],
        labels=ids,
        colors=[shades(i % 20) for i in range(len(ids))],
        step="post",
    )
    axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=7)
    return drawn(figure)


def heat(told: dict[str, Any]) -> str:
    """Caches over time, each second of each by its reads over the even share."""
    ids = sorted(told["reads"])
    rows = [told["reads"][id] for id in ids]
    evens = [max(sum(second) / len(ids), 1e-9) for second in zip(*rows)]
    figure, axes = framed(told, "reads of each cache, over the even share of that second")
    picture = axes.imshow(
        [[count / even for count, even in zip(row, evens)] for row in rows],
        aspect="auto",
        origin="lower",
        vmin=0.0,
        vmax=3.0,
        cmap="magma",
        interpolation="nearest",
        extent=(0, len(evens), -0.5, len(ids) - 0.5),
    )
    step = max(1, len(ids) // 12)
    axes.set_yticks(range(0, len(ids), step), ids[::step])
    figure.colorbar(picture, ax=axes)
    return drawn(figure)


def rules(told: dict[str, Any]) -> str:
    figure, axes = framed(told, "rules broken")
    for i, rule in enumerate(RULES):
        times = [at for name, at, _ in told["breaches"] if name == rule]
        axes.plot(times, [i] * len(times), "x", color="#a00")
    axes.set_yticks(range(len(RULES)), RULES)
    axes.set_ylim(-0.5, len(RULES) - 0.5)
    axes.set_xlim(0, max([1, *(at for at, _ in told["series"])]))
    return drawn(figure)


def table(rows: list[tuple[object, ...]], head: tuple[str, ...]) -> str:
    """
    >>> table([(1, "<")], ("n", "what"))
    '<table><tr><th>n</th><th>what</th></tr><tr><td>1</td><td>&lt;</td></tr></table>'
    """

    def line(tag: str, cells: tuple[object, ...]) -> str:
        return (
            "<tr>" + "".join(f"<{tag}>{html.escape(str(cell))}</{tag}>" for cell in cells) + "</tr>"
        )

    return "<table>" + line("th", head) + "".join(line("td", row) for row in rows) + "</table>"


def evenness(stretches: dict[str, dict[str, float]]) -> str:
    """
    >>> evenness({}), evenness({"calm": {"most": 1.2}}).count("<td>")
    ('', 2)
    """
    if not stretches:
        return ""
    names = tuple(next(iter(stretches.values())))
    return table([(name, *row.values()) for name, row in stretches.items()], ("stretch", *names))


def write(folder: Path) -> Path:
    """Draws `report.html` in the folder; its path. Raises ScenarioError."""
    told = read(folder)
    verdict = told["verdict"]
    words = verdict["verdict"]
    parts = [
        f"<!doctype html><meta charset=utf-8><title>{words}</title><style>{STYLE}</style>",
        f"<h1>{html.escape(told['policy'])}, seed {told['seed']}{', real sockets' * told['real']}: "
        f"<span class={words}>{words}</span>, service {verdict['service']:.3f}</h1>",
        table(
            [(name, value) for name, value in verdict.items() if name != "stretches"],
            ("figure", ""),
        ),
        evenness(verdict.get("stretches", {})),
        service(told),
        latency(told),
        out(told),
        heat(told),
        ranges(told),
        rules(told),
        "<h2>Rules broken</h2>"
        + table([tuple(row) for row in told["breaches"]], ("rule", "second", "what"))
        if told["breaches"]
        else "<h2>No rule was broken</h2>",
        "<h2>Troubles and the list</h2>"
        + table([tuple(row) for row in told["events"]], ("second", "what")),
        "<h2>What the balancers logged</h2>"
        + table(
            [tuple(row) for row in told["modes"][:300]], ("balancer", "second", "event", "what")
        ),
        f"<h2>The plan</h2><pre>{html.escape(told['plan'])}</pre>",
    ]
    path = folder / "report.html"
    path.write_text("\n".join(parts))
    return path
