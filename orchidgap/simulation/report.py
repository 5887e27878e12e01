"""Writes an HTML report of a recorded run: verdict, plots over time, faults, breaches, log events.

Reads `trial.json` as written by `runner`. The plots are embedded in the page.
"""

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

PLOT_SIZE_INCHES = (10.5, 2.5)  # width and height
HOST_COLOURS = "tab20"
HOST_COLOUR_COUNT = 20
FAULT_COLOUR = "#a00"
REJECTION_BAR_HEIGHT = 0.3  # height of the bar of the second with the most rejections
PLOTTED_PERCENTILES = (0.5, 0.99)
MAX_EVENNESS_RATIO = 3.0  # upper end of the heat map's scale
MAX_LABELLED_CACHES = 12
MAX_LOG_ROWS = 300

Recording = dict[str, Any]
STYLE = """body{font:15px/1.45 sans-serif;max-width:1080px;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .8em;text-align:left}
img{max-width:100%}pre{background:#f5f5f5;padding:.8em;overflow:auto}.broken{color:#a00}.kept{color:#060}"""


def read_recording(folder: Path) -> Recording:
    """Return the recording of a run in a folder.

    Raises:
        ScenarioError: There is no recording, or it cannot be read.
    """
    path = folder / "trial.json"
    try:
        recording: Recording = msgspec.json.decode(path.read_bytes())
        return recording | {"verdict": dict(recording["verdict"])}
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, KeyError, TypeError, ValueError) as error:
        raise ScenarioError(f"{path}: not the recording of a trial ({error})") from None


def percentile_ms(sorted_us: list[int], fraction: float) -> float:
    """Return a percentile, in milliseconds, of sorted microseconds.

    >>> percentile_ms([1000, 2000, 3000], 0.5), percentile_ms([5000], 0.99)
    (2.0, 5.0)
    """
    index = min(len(sorted_us) - 1, int(fraction * len(sorted_us)))
    return sorted_us[index] / 1000


def embed_figure(figure: Any) -> str:
    """Return the figure as an `img` element with an embedded picture."""
    picture = io.BytesIO()
    figure.savefig(picture, format="png", dpi=90, bbox_inches="tight")
    pyplot.close(figure)
    encoded = base64.b64encode(picture.getvalue()).decode()
    return f'<img alt="" src="data:image/png;base64,{encoded}">'


def time_axes(recording: Recording, title: str) -> tuple[Any, Any]:
    """Return an empty plot over the time of the run, with its faults marked."""
    figure, axes = pyplot.subplots(figsize=PLOT_SIZE_INCHES)
    axes.set_title(title, loc="left", fontsize=11)
    axes.set_xlabel("seconds")
    for at, text in recording["events"]:
        if not text.startswith("list:"):
            axes.axvline(at, color=FAULT_COLOUR, linewidth=0.8, linestyle=":")
    return figure, axes


def plot_service(recording: Recording) -> str:
    """Plot the value answered in time over the offered value, and rejections, by second."""
    figure, axes = time_axes(
        recording, "service: value answered in time over offered value, by second"
    )
    rows = sorted((int(second), row) for second, row in recording["seconds"].items())
    axes.plot(
        [second for second, _ in rows],
        [in_time / offered if offered else 1.0 for _, (offered, in_time, *_) in rows],
    )
    rejections = recording["denials"]
    most = max(1, *rejections.values()) if rejections else 1
    axes.bar(
        [int(second) for second in rejections],
        [min(1.0, count / most) * REJECTION_BAR_HEIGHT for count in rejections.values()],
        color="#c80",
        alpha=0.5,
        label=f"denied or aborted (maximum: {REJECTION_BAR_HEIGHT})",
    )
    axes.set_ylim(0, 1.05)
    axes.legend(loc="lower right", fontsize=8)
    return embed_figure(figure)


def plot_latency(recording: Recording) -> str:
    """Plot latency percentiles of successful answers, by second."""
    figure, axes = time_axes(recording, "latency of successful answers, ms")
    seconds = sorted(int(second) for second in recording["waits"])
    for fraction in PLOTTED_PERCENTILES:
        axes.plot(
            seconds,
            [percentile_ms(recording["waits"][str(second)], fraction) for second in seconds],
            label=f"p{fraction * 100:g}",
        )
    axes.set_yscale("log")
    axes.legend(loc="upper right", fontsize=8)
    return embed_figure(figure)


def plot_in_flight(recording: Recording) -> str:
    """Plot the number of queued and running requests at each host."""
    figure, axes = time_axes(recording, "queued and running requests of each host")
    host_ids = sorted({host_id for _, rows in recording["series"] for host_id in rows["out"]})
    colours = pyplot.get_cmap(HOST_COLOURS)
    for i, host_id in enumerate(host_ids):
        axes.plot(
            [at for at, _ in recording["series"]],
            [rows["out"].get(host_id, 0) for _, rows in recording["series"]],
            label=host_id,
            color="black" if host_id.startswith("o") else colours(i % HOST_COLOUR_COUNT),
            linewidth=1,
        )
    axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=7)
    return embed_figure(figure)


def plot_ranges(recording: Recording) -> str:
    """Plot the sizes of the first balancer's hash ranges."""
    rows = [(at, row["sizes"]) for at, row in recording["series"] if row.get("sizes")]
    if not rows:
        return (
            "<p>Ranges are internal to a balancer: "
            "none are drawn for this policy or on real sockets.</p>"
        )
    figure, axes = time_axes(recording, "ranges of the first balancer, slots")
    host_ids = sorted({host_id for _, sizes in rows for host_id in sizes})
    colours = pyplot.get_cmap(HOST_COLOURS)
    axes.stackplot(
        [at for at, _ in rows],
        [[sizes.get(host_id, 0) for _, sizes in rows] for host_id in host_ids],
        labels=host_ids,
        colors=[colours(i % HOST_COLOUR_COUNT) for i in range(len(host_ids))],
        step="post",
    )
    axes.legend(loc="upper left", bbox_to_anchor=(1.0, 1.0), fontsize=7)
    return embed_figure(figure)


def plot_reads(recording: Recording) -> str:
    """Draw a heat map of each cache's reads by second, relative to an even load."""
    host_ids = sorted(recording["reads"])
    rows = [recording["reads"][host_id] for host_id in host_ids]
    even_loads = [max(sum(second) / len(host_ids), 1e-9) for second in zip(*rows)]
    figure, axes = time_axes(recording, "reads of each cache, relative to an even load")
    picture = axes.imshow(
        [[count / even for count, even in zip(row, even_loads)] for row in rows],
        aspect="auto",
        origin="lower",
        vmin=0.0,
        vmax=MAX_EVENNESS_RATIO,
        cmap="magma",
        interpolation="nearest",
        extent=(0, len(even_loads), -0.5, len(host_ids) - 0.5),
    )
    step = max(1, len(host_ids) // MAX_LABELLED_CACHES)
    axes.set_yticks(range(0, len(host_ids), step), host_ids[::step])
    figure.colorbar(picture, ax=axes)
    return embed_figure(figure)


def plot_breaches(recording: Recording) -> str:
    """Plot each breach of a rule at its time."""
    figure, axes = time_axes(recording, "breaches by rule")
    for i, rule in enumerate(RULES):
        times = [at for name, at, _ in recording["breaches"] if name == rule]
        axes.plot(times, [i] * len(times), "x", color=FAULT_COLOUR)
    axes.set_yticks(range(len(RULES)), RULES)
    axes.set_ylim(-0.5, len(RULES) - 0.5)
    axes.set_xlim(0, max([1, *(at for at, _ in recording["series"])]))
    return embed_figure(figure)


def html_table(rows: list[tuple[object, ...]], head: tuple[str, ...]) -> str:
    """Return a table with its cells escaped.

    >>> html_table([(1, "<")], ("n", "what"))
    '<table><tr><th>n</th><th>what</th></tr><tr><td>1</td><td>&lt;</td></tr></table>'
    """
    return (
        "<table>"
        + _html_row("th", head)
        + "".join(_html_row("td", row) for row in rows)
        + "</table>"
    )


def _html_row(tag: str, cells: tuple[object, ...]) -> str:
    escaped = "".join(f"<{tag}>{html.escape(str(cell))}</{tag}>" for cell in cells)
    return f"<tr>{escaped}</tr>"


def evenness_table(figures_by_phase: dict[str, dict[str, float]]) -> str:
    """Return a table of the evenness figures of each phase, or "" if there are none.

    >>> evenness_table({}), evenness_table({"calm": {"most": 1.2}}).count("<td>")
    ('', 2)
    """
    if not figures_by_phase:
        return ""
    names = tuple(next(iter(figures_by_phase.values())))
    rows: list[tuple[object, ...]] = [
        (name, *row.values()) for name, row in figures_by_phase.items()
    ]
    return html_table(rows, ("phase", *names))


def _heading(recording: Recording) -> str:
    verdict = recording["verdict"]
    outcome = verdict["verdict"]
    policy = html.escape(recording["policy"])
    on_sockets = ", real sockets" if recording["real"] else ""
    return (
        f"<!doctype html><meta charset=utf-8><title>{outcome}</title><style>{STYLE}</style>\n"
        f"<h1>{policy}, seed {recording['seed']}{on_sockets}: "
        f"<span class={outcome}>{outcome}</span>, service {verdict['service']:.3f}</h1>"
    )


def _verdict_table(verdict: dict[str, Any]) -> str:
    rows: list[tuple[object, ...]] = [
        (name, value) for name, value in verdict.items() if name != "stretches"
    ]
    return html_table(rows, ("figure", ""))


def _breaches_section(breaches: list[list[object]]) -> str:
    if not breaches:
        return "<h2>No breaches</h2>"
    return "<h2>Breaches</h2>" + _table_of(breaches, ("rule", "second", "description"))


def _table_of(rows: list[list[object]], head: tuple[str, ...]) -> str:
    return html_table([tuple(row) for row in rows], head)


def write_report(folder: Path) -> Path:
    """Write `report.html` in a run's folder and return its path.

    Raises:
        ScenarioError: There is no recording in the folder, or it cannot be read.
    """
    recording = read_recording(folder)
    verdict = recording["verdict"]
    parts = [
        _heading(recording),
        _verdict_table(verdict),
        evenness_table(verdict.get("stretches", {})),
        plot_service(recording),
        plot_latency(recording),
        plot_in_flight(recording),
        plot_reads(recording),
        plot_ranges(recording),
        plot_breaches(recording),
        _breaches_section(recording["breaches"]),
        "<h2>Faults and host list changes</h2>"
        + _table_of(recording["events"], ("second", "event")),
        "<h2>Log events of the balancers</h2>"
        + _table_of(recording["modes"][:MAX_LOG_ROWS], ("balancer", "second", "event", "details")),
        f"<h2>Plan</h2><pre>{html.escape(recording['plan'])}</pre>",
    ]
    path = folder / "report.html"
    path.write_text("\n".join(parts))
    return path
