"""Measures the cold start of fleets of several sizes, with relays and with each front alone.

Writes a page with tables and the facts of the machine, a chart, and the raw figures.
"""

import json
import os
import subprocess
import sys
from collections.abc import Callable, Sequence
from typing import Any

from limepath.discovery.simulate import simulate_star
from limepath.duties.measure import machine, value
from limepath.duties.measurement_page import columns

SIZES, FRONTS = (10, 50, 100, 200, 300, 500, 1000), (12, 50, 200)
WHAT = {
    "calls_a_second": "most calls at the list service in a second",
    "calls_in_100_ms": "most calls in 100 ms",
    "ready_95_s": "the same, 95%, s",
    "ready_all_s": "the same, all, s",
}
DRILL_COLUMNS = [
    "fronts",
    "way",
    *WHAT,
    "streams_of_a_zone",
    "kB_of_the_service",
    "connections_in_100_ms",
    "forwards_in_1_s",
    "answered",
]


def measure_virtual(sizes: Sequence[int], report: Callable[[str], object]) -> list[dict[str, Any]]:
    """Simulate each size with relays ("shared") and without ("alone"), and return the figures."""
    results = []
    for fronts in sizes:
        for way in ("shared", "alone"):
            rows = simulate_star(fronts, alone=way == "alone").rows
            results.append(
                {"fronts": fronts, "way": way, "streams_of_a_zone": value(rows, "most streams of one zone")}
                | {name: value(rows, what) for name, what in WHAT.items()}
                | {"messages": value(rows, "all messages per front and second")}
            )
            report(str(results[-1]))
    return results


def measure_drills(fronts: Sequence[int], report: Callable[[str], object]) -> list[dict[str, Any]]:
    """Run drills of real processes with no fault other than the initial outage of the service."""
    results = []
    for count in fronts:
        for way in ((), ("--alone",)):
            completed = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "limepath",
                    "coldstart",
                    "drill",
                    "--fronts",
                    str(count),
                    "--faults",
                    "none",
                    "--json",
                    *way,
                ],
                capture_output=True,
                text=True,
            )
            if completed.returncode not in (0, 1):
                raise RuntimeError(completed.stderr)
            rows = {row["what"]: row["measured"] for row in json.loads(completed.stdout)["rows"]}
            results.append(
                {"fronts": count, "way": "alone" if way else "shared"}
                | {name: rows.get(what, "-") for name, what in WHAT.items()}
                | {
                    "streams_of_a_zone": rows["most streams of one zone, those of stopped processes aside"],
                    "kB_of_the_service": round(rows["bytes that the list service sent"] / 1000),
                    "connections_in_100_ms": rows["most new connections at one cache in 100 ms"],
                    "forwards_in_1_s": rows["most forwards to one cache in a second"],
                    "answered": next(value for what, value in rows.items() if what.startswith("share of")),
                }
            )
            report(str(results[-1]))
    return results


def draw_chart(results: dict[str, Any], path: str) -> None:
    """Write the chart of calls and streams to a file."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    for way in ("shared", "alone"):
        rows = [row for row in results["virtual"] if row["way"] == way]
        left.plot(
            [row["fronts"] for row in rows], [row["calls_a_second"] for row in rows], marker="o", label=way
        )
        right.plot(
            [row["fronts"] for row in rows], [row["streams_of_a_zone"] for row in rows], marker="o", label=way
        )
    left.set(
        xscale="log",
        yscale="log",
        xlabel="fronts",
        ylabel="most calls in a second",
        title="List service unavailable for 12 s (virtual time)",
    )
    right.set(
        xscale="log",
        yscale="log",
        xlabel="fronts",
        ylabel="most streams of a zone",
        title="Streams of the list service (virtual time)",
    )
    left.legend()
    right.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def format_page(results: dict[str, Any], command: str) -> str:
    """Return the page in Markdown."""
    facts = ", ".join(f"{name} {value}" for name, value in results["machine"].items())
    return f"""# A cold start, measured

Made by `{command}` ({facts}); the raw figures are in `coldstart.json`. Two zones; the list
service refuses for the first 12 s.
`ready` counts from its return. Absolute figures depend on the machine; compare the ratios.

## Simulation in virtual time with the real logic

{columns(results["virtual"], ["fronts", "way", *WHAT, "streams_of_a_zone", "messages"])}

## Real processes on loopback

Once it is ready (alone: one second after the service's return), each front receives ten GETs within one
second, all for the same ten objects. `connections` and
`forwards` are the maximum at one cache, `answered` is the share of these GETs that were answered.

{columns(results["drills"], DRILL_COLUMNS)}

![calls and streams](coldstart.png)
"""


def write_measurements(
    folder: str,
    sizes: Sequence[int] = SIZES,
    fronts: Sequence[int] = FRONTS,
    report: Callable[[str], object] = print,
) -> str:
    """Run all measurements, write page, chart and raw figures to the folder, and return the page's path."""
    results = {
        "machine": machine(),
        "virtual": measure_virtual(sizes, report),
        "drills": measure_drills(fronts, report),
    }
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, "coldstart.json"), "w", encoding="utf-8") as file:
        json.dump(results, file, indent=1)
    draw_chart(results, os.path.join(folder, "coldstart.png"))
    path = os.path.join(folder, "coldstart.md")
    with open(path, "w", encoding="utf-8") as file:
        file.write(format_page(results, f"limepath coldstart measure --sizes {','.join(map(str, sizes))}"))
    return path
