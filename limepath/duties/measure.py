"""Measurements of shared duties: raw figures with the machine's facts, a page and a chart."""

import json
import os
import platform
import subprocess
import sys
import time
from collections.abc import Callable, Iterable, Sequence
from datetime import date
from typing import Any

from limepath.configuration.sharing_settings import DutyMode
from limepath.duties.measurement_page import draw_chart, render_page
from limepath.duties.savings import ProbeMode, measure_savings
from limepath.duties.simulate import SECOND, simulate
from limepath.report_table import CheckResult

SIZES = (3, 30, 300, 1000)
FRONTS = (3, 10, 50)
COST_TARGETS = (0, 1000)
COST_INTERVAL = 10 * SECOND
COST_LENGTH = 20 * SECOND
DRILL_MODES = ("--sharing", "--alone")
DRILL_OPTIONS = ("--targets", "20", "--interval", "2s", "--faults", "0", "--json")

Figures = dict[str, Any]
"""One row of raw figures. The keys stand in `duties.json`."""
Progress = Callable[[str], object]
"""Told of each row as it is measured."""


class DrillError(Exception):
    """A drill that ended without figures; the text is what it wrote."""


def machine() -> Figures:
    """Return facts about the machine that measures."""
    return {
        "cores": os.cpu_count(),
        "machine": platform.machine(),
        "python": platform.python_version(),
        "system": platform.system(),
        "day": date.today().isoformat(),
    }


def value(rows: Iterable[CheckResult], what: str) -> Any:
    """Return what was measured in the row of that name."""
    return next(row.measured for row in rows if row.what == what)


def measure_costs(sizes: Sequence[int], progress: Progress) -> list[Figures]:
    """Measure messages and bytes by instance and second, in virtual time without faults.

    Once for the membership alone, and once with 1,000 targets.
    """
    figures: list[Figures] = []
    for instances in sizes:
        for targets in COST_TARGETS:
            began = time.monotonic()
            found = simulate(instances, targets, DutyMode.AT_LEAST_ONCE, COST_INTERVAL, COST_LENGTH, kinds=())
            row = {
                "instances": instances,
                "targets": targets,
                "messages": value(found.rows, "messages per instance and second"),
                "bytes": value(found.rows, "bytes per instance and second"),
                "seconds_taken": round(time.monotonic() - began, 1),
            }
            figures.append(row)
            progress(str(row))
    return figures


def measure_all_savings(fronts: Sequence[int], progress: Progress) -> list[Figures]:
    """Measure what caches see, in virtual time with the real decision module."""
    figures: list[Figures] = []
    for count in fronts:
        for mode in ProbeMode:
            savings = measure_savings(mode, count)
            row = {
                "way": savings.mode.value,
                "fronts": savings.fronts,
                "probes": savings.probes,
                "probes_silent": savings.probes_silent,
                "met": savings.forwarded_to_silent,
                "gets": savings.requests,
            }
            figures.append(row)
            progress(str(row))
    return figures


def measure_drills(fronts: Sequence[int], progress: Progress) -> list[Figures]:
    """Measure what caches see from real processes on loopback, shared and each front for itself."""
    figures: list[Figures] = []
    for count in fronts:
        for option in DRILL_MODES:
            rows = run_drill(count, option)
            row = {
                "fronts": count,
                "way": option.removeprefix("--"),
                "probes_per_target_and_interval": rows["probes per target and interval"],
                "bytes": rows["bytes per instance and second"],
                "messages": rows["messages per instance and second"],
            }
            figures.append(row)
            progress(str(row))
    return figures


def run_drill(instances: int, option: str) -> Figures:
    """Run a drill in a process of its own; return what was measured, by row. Raises DrillError."""
    command = [sys.executable, "-m", "limepath", "duties", "drill", "--instances", str(instances)]
    done = subprocess.run([*command, *DRILL_OPTIONS, option], capture_output=True, text=True)
    if done.returncode not in (0, 1):
        raise DrillError(f"status {done.returncode} in place of 0 or 1: {done.stderr}")
    return {row["what"]: row["measured"] for row in json.loads(done.stdout)["rows"]}


def write_measurements(
    folder: str,
    sizes: Sequence[int] = SIZES,
    fronts: Sequence[int] = FRONTS,
    progress: Progress = print,
) -> str:
    """Measure all; write page, chart and raw figures to the folder. Return the page's path."""
    figures: Figures = {
        "machine": machine(),
        "drills": measure_drills(fronts, progress),
        "savings": measure_all_savings(fronts, progress),
        "costs": measure_costs(sizes, progress),
    }
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, "duties.json"), "w", encoding="utf-8") as file:
        json.dump(figures, file, indent=1)
    draw_chart(figures, os.path.join(folder, "duties.png"))
    path = os.path.join(folder, "duties.md")
    command = f"limepath duties measure --sizes {','.join(map(str, sizes))}"
    with open(path, "w", encoding="utf-8") as file:
        file.write(render_page(figures, command))
    return path
