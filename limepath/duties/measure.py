"""Measures shared duties; writes raw figures with a description of the machine, a page and a chart."""

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
"""One row of raw figures; the keys are written to `duties.json`."""
Progress = Callable[[str], object]
"""A function that is called with the text of each row once it has been measured."""


class DrillError(Exception):
    """A drill ended without figures; the text includes its error output."""


def machine() -> Figures:
    """Return a description of the machine that the measurements run on."""
    return {
        "cores": os.cpu_count(),
        "machine": platform.machine(),
        "python": platform.python_version(),
        "system": platform.system(),
        "day": date.today().isoformat(),
    }


def value(rows: Iterable[CheckResult], what: str) -> Any:
    """Return the measured value of the row with this name."""
    return next(row.measured for row in rows if row.what == what)


def measure_costs(sizes: Sequence[int], progress: Progress) -> list[Figures]:
    """Measure messages and bytes per instance and second, in virtual time without faults.

    Each size is measured with the membership alone, and with 1,000 targets.
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
    """Measure the probes that caches receive, in virtual time with the real decision module."""
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
    """Measure the probes of real processes on loopback, shared and without sharing."""
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
    """Run a drill in its own process; return the measured values by row. Raises DrillError."""
    command = [sys.executable, "-m", "limepath", "duties", "drill", "--instances", str(instances)]
    completed = subprocess.run([*command, *DRILL_OPTIONS, option], capture_output=True, text=True)
    if completed.returncode not in (0, 1):
        raise DrillError(f"status {completed.returncode} of the drill, expected 0 or 1: {completed.stderr}")
    return {row["what"]: row["measured"] for row in json.loads(completed.stdout)["rows"]}


def write_measurements(
    folder: str,
    sizes: Sequence[int] = SIZES,
    fronts: Sequence[int] = FRONTS,
    progress: Progress = print,
) -> str:
    """Run all measurements; write page, chart and raw figures to the folder; return the page's path."""
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
