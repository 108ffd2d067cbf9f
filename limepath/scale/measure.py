"""Measures roles, merges the results into the measured file and draws a chart of each role."""

import os
import platform
import shlex
import subprocess
import sys
import time
from datetime import UTC, datetime

from limepath.scale.measured import Circumstances, Measured, Role, merge_roles, read, write
from limepath.scale.roles import ROLES
from limepath.scale.slopes import InvalidPointsError, TooFewSizesError, fit_points

UNKNOWN = "unknown"
YARDSTICK_ITERATIONS = 1_000_000  # iterations of the loop
COLUMNS, WIDTH, HEIGHT, DPI = 3, 5.2, 3.4, 80


def revision():
    """Return the git revision, with "+changes" if files were modified; "unknown" outside a clone."""
    directory = os.path.dirname(os.path.abspath(__file__))
    try:
        outputs = [
            subprocess.run(
                ["git", "-C", directory, *arguments], capture_output=True, text=True, check=True
            ).stdout
            for arguments in (("rev-parse", "--short=12", "HEAD"), ("status", "--porcelain", "--", "."))
        ]
    except (OSError, subprocess.CalledProcessError):
        return UNKNOWN
    return outputs[0].strip() + ("+changes" if outputs[1].strip() else "")


def command_line():
    return shlex.join(["limepath", *sys.argv[1:]])


def yardstick():
    """Return the processor time of a fixed calculation in plain Python, in milliseconds."""
    start, total = time.process_time(), 0
    for number in range(YARDSTICK_ITERATIONS):
        total += number % 7
    return round(1000 * (time.process_time() - start), 1)


def measure_role(name):
    """Measure one role; return its Role."""
    load_before, yardstick_before, start = os.getloadavg()[0], yardstick(), time.monotonic()
    result = ROLES[name].measure()
    return Role(
        Circumstances(
            command=command_line(),
            revision=revision(),
            date=datetime.now(UTC).strftime("%Y-%m-%dT%H:%M:%SZ"),
            cores=os.cpu_count() or 0,
            machine=platform.machine(),
            python=platform.python_version(),
            system=platform.system(),
            load=(round(load_before, 1), round(os.getloadavg()[0], 1)),
            yardstick=(yardstick_before, yardstick()),
            seconds=round(time.monotonic() - start, 1),
        ),
        result,
    )


def measure_roles(path, names, say):
    """Measure these roles one after another; write the file after each of them.

    Raises DamagedFileError, before anything is measured, if the file exists and cannot be read.
    """
    measured = read(path) if os.path.exists(path) else Measured()
    for name in names:
        say(f"{name}: {ROLES[name].purpose}")
        role = measure_role(name)
        measured = merge_roles(measured, {name: role})
        write(path, measured)
        for series in role.found.series:
            say(f"  {series.what}: " + ", ".join(f"{size:g}: {value:g}" for size, value in series.points))
        save_chart(name, role, os.path.join(os.path.dirname(path), f"scale-{name}.png"))
        say(f"  {role.circumstances.seconds} s")


def save_chart(name, role, path):
    """Draw all series of a role to a PNG file, each with its fit and the held-out size."""
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
    for axis, one_series in zip(axes.flat, series, strict=False):
        draw_series(axis, one_series)
    figure.suptitle(f"{name} ({role.circumstances.revision}, {role.circumstances.date[:10]})")
    figure.tight_layout()
    figure.savefig(path, dpi=DPI, metadata={"Software": None})
    pyplot.close(figure)


def draw_series(axis, series):
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
