"""Measures roles, merges what was found into the measured file, draws its charts."""

import os
import platform
import shlex
import subprocess
import sys
import time
from datetime import UTC, datetime

from limepath.scale.measured import Circumstances, Measured, Role, merged, read, write
from limepath.scale.roles import ROLES
from limepath.scale.slopes import InvalidPointsError, TooFewSizesError, fit_points

UNKNOWN = "unknown"
YARDSTICK = 1_000_000  # turns of a loop
COLUMNS, WIDTH, HEIGHT, DPI = 3, 5.2, 3.4, 80


def revision():
    """The text's git revision, with "+changes" where files differ from it; "unknown" outside a clone."""
    here = os.path.dirname(os.path.abspath(__file__))
    try:
        told = [
            subprocess.run(["git", "-C", here, *words], capture_output=True, text=True, check=True).stdout
            for words in (("rev-parse", "--short=12", "HEAD"), ("status", "--porcelain", "--", "."))
        ]
    except (OSError, subprocess.CalledProcessError):
        return UNKNOWN
    return told[0].strip() + ("+changes" if told[1].strip() else "")


def command_line():
    return shlex.join(["limepath", *sys.argv[1:]])


def yardstick():
    """Milliseconds of processor time for a fixed piece of work in plain Python."""
    began, total = time.process_time(), 0
    for number in range(YARDSTICK):
        total += number % 7
    return round(1000 * (time.process_time() - began), 1)


def measured_role(name):
    """Measure one role; give the Role."""
    load, speed, began = os.getloadavg()[0], yardstick(), time.monotonic()
    found = ROLES[name].measure()
    return Role(
        Circumstances(
            command=command_line(),
            revision=revision(),
            date=datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ"),
            cores=os.cpu_count() or 0,
            machine=platform.machine(),
            python=platform.python_version(),
            system=platform.system(),
            load=(round(load, 1), round(os.getloadavg()[0], 1)),
            yardstick=(speed, yardstick()),
            seconds=round(time.monotonic() - began, 1),
        ),
        found,
    )


def measure_roles(path, names, say):
    """Measure these roles one after another; the file holds each as soon as it is there.

    Raises DamagedFile, before anything is measured, where the file exists and cannot be read.
    """
    measured = read(path) if os.path.exists(path) else Measured()
    for name in names:
        say(f"{name}: {ROLES[name].purpose}")
        role = measured_role(name)
        measured = merged(measured, {name: role})
        write(path, measured)
        for series in role.found.series:
            say(f"  {series.what}: " + ", ".join(f"{size:g}: {value:g}" for size, value in series.points))
        chart(name, role, os.path.join(os.path.dirname(path), f"scale-{name}.png"))
        say(f"  {role.circumstances.seconds} s")


def chart(name, role, path):
    """All series of a role, each with its fit and the size that was kept out of it."""
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    series = role.found.series
    rows = -(-len(series) // COLUMNS)
    figure, axes = pyplot.subplots(
        rows,
        min(COLUMNS, len(series)),
        figsize=(WIDTH * min(COLUMNS, len(series)), HEIGHT * rows),
        squeeze=False,
    )
    for axis in axes.flat[len(series) :]:
        axis.set_visible(False)
    for axis, one in zip(axes.flat, series, strict=False):
        draw(axis, one)
    figure.suptitle(f"{name} ({role.circumstances.revision}, {role.circumstances.date[:10]})")
    figure.tight_layout()
    figure.savefig(path, dpi=DPI, metadata={"Software": None})
    pyplot.close(figure)


def draw(axis, series):
    sizes, values = zip(*series.points, strict=True)
    axis.plot(sizes[:-1], values[:-1], "o", label="measured")
    axis.plot(sizes[-1:], values[-1:], "s", color="tab:red", label="kept out of the fit")
    try:
        fit = fit_points(series.points)
        axis.plot(sizes, [fit.at(size) for size in sizes], "-", linewidth=1, label=fit.model.value)
    except (TooFewSizesError, InvalidPointsError):
        pass
    axis.set_xlabel(series.size)
    axis.set_ylabel(series.unit)
    axis.set_title(series.what, fontsize=8)
    axis.legend(fontsize=7)
