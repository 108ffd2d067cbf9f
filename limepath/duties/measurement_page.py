"""Renders the page and the chart of the measurements of shared duties."""

from collections.abc import Iterable, Sequence
from typing import Any

from limepath.duties.savings import ProbeMode

COST_LABELS = {0: "membership alone", 1000: "with 1,000 targets' results"}
"""The labels of the curves, by the number of targets."""


def draw_chart(figures: dict[str, Any], path: str) -> None:
    """Draw costs and savings by the size of the fleet. Requires the extra `measure`."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    _draw_costs(left, figures["costs"])
    _draw_savings(right, figures["savings"])
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def _draw_costs(axes: Any, costs: Sequence[dict[str, Any]]) -> None:
    for targets, label in COST_LABELS.items():
        rows = [row for row in costs if row["targets"] == targets]
        instances = [row["instances"] for row in rows]
        kilobytes = [row["bytes"] / 1000 for row in rows]
        axes.plot(instances, kilobytes, marker="o", label=label)
    axes.set(
        xscale="log",
        yscale="log",
        xlabel="instances",
        ylabel="kB sent per instance and second",
        title="Cost (virtual time)",
    )
    axes.legend()


def _draw_savings(axes: Any, savings: Sequence[dict[str, Any]]) -> None:
    for mode in ProbeMode:
        rows = [row for row in savings if row["way"] == mode]
        fronts = [row["fronts"] for row in rows]
        probes = [row["probes"] for row in rows]
        axes.plot(fronts, probes, marker="o", label=mode.value)
    axes.set(
        xscale="log",
        yscale="log",
        xlabel="fronts",
        ylabel="probes per second",
        title="Probes of a healthy cache (virtual time)",
    )
    axes.legend()


def columns(rows: Iterable[dict[str, Any]], names: Sequence[str]) -> str:
    """Return the rows as a Markdown table with these columns."""
    lines = ["| " + " | ".join(names) + " |", "|" + " --- |" * len(names)]
    lines += ["| " + " | ".join(str(row[name]) for name in names) + " |" for row in rows]
    return "\n".join(lines)


def render_page(figures: dict[str, Any], command: str) -> str:
    """Return the page of the measurements as Markdown; `command` is the command that created it."""
    facts = ", ".join(f"{name} {value}" for name, value in figures["machine"].items())
    return f"""# Measurements of shared duties

Created by `{command}` ({facts}); the raw figures are in `duties.json`.
Absolute figures depend on this machine; compare the ratios.

## Cost (virtual time, the real logic, encoded messages)

Mode at-least-once, interval 10 s, no faults. Bytes are those of sealed datagrams
without IP and UDP headers.

{columns(figures["costs"], ["instances", "targets", "messages", "bytes", "seconds_taken"])}

## Probes saved (virtual time, the real decision module)

60 s, 20 caches, 20 GETs per second at each front, a round every 2 s; one cache does not
answer for 20 s. `probes` are the probes per second that a healthy cache receives,
`probes_silent` those of the silent cache, `met` the GETs forwarded to the silent cache.

{columns(figures["savings"], ["fronts", "way", "probes", "probes_silent", "met", "gets"])}

## Real processes and datagrams on loopback

20 simulated caches, a round every 2 s, no faults.

{columns(figures["drills"], ["fronts", "way", "probes_per_target_and_interval", "messages", "bytes"])}

![cost and savings](duties.png)
"""
