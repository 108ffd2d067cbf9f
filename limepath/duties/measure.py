"""Measurements of shared duties, as a table, a chart and the raw figures beside them, with the machine's
facts.
"""

import json
import os
import platform
import subprocess
import sys
import time
from datetime import date

from limepath.configuration.sharing_settings import DutyMode
from limepath.duties.saving import WAYS, saved
from limepath.duties.simulate import SECOND, simulate

SIZES, FRONTS = (3, 30, 300, 1000), (3, 10, 50)


def machine():
    return {
        "cores": os.cpu_count(),
        "machine": platform.machine(),
        "python": platform.python_version(),
        "system": platform.system(),
        "day": date.today().isoformat(),
    }


def value(rows, what):
    return next(row.measured for row in rows if row.what == what)


def costs(sizes, say):
    """Messages and bytes by instance and second, in virtual time: of the checks alone, and with 1,000
    targets.
    """
    told = []
    for instances in sizes:
        for targets in (0, 1000):
            began = time.monotonic()
            found = simulate(instances, targets, DutyMode.AT_LEAST_ONCE, 10 * SECOND, 20 * SECOND, kinds=())
            told.append(
                {
                    "instances": instances,
                    "targets": targets,
                    "messages": value(found.rows, "messages per instance and second"),
                    "bytes": value(found.rows, "bytes per instance and second"),
                    "seconds_taken": round(time.monotonic() - began, 1),
                }
            )
            say(str(told[-1]))
    return told


def savings(fronts, say):
    """What caches see, in virtual time with the real decision module (`saving`)."""
    told = []
    for count in fronts:
        for way in WAYS:
            told.append(saved(way, count)._asdict())
            say(str(told[-1]))
    return told


def drills(fronts, say):
    """What caches see from real processes on loopback, shared and each front for itself, 20 targets."""
    told = []
    for count in fronts:
        for way in ("--sharing", "--alone"):
            done = subprocess.run(
                [
                    sys.executable,
                    "-m",
                    "limepath",
                    "duties",
                    "drill",
                    "--instances",
                    str(count),
                    "--targets",
                    "20",
                    "--interval",
                    "2s",
                    "--faults",
                    "0",
                    way,
                    "--json",
                ],
                capture_output=True,
                text=True,
            )
            if done.returncode not in (0, 1):
                raise RuntimeError(done.stderr)
            rows = {row["what"]: row["measured"] for row in json.loads(done.stdout)["rows"]}
            told.append(
                {
                    "fronts": count,
                    "way": way.removeprefix("--"),
                    "probes_per_target_and_interval": rows["probes per target and interval"],
                    "bytes": rows["bytes per instance and second"],
                    "messages": rows["messages per instance and second"],
                }
            )
            say(str(told[-1]))
    return told


def chart(told, path):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    figure, (left, right) = pyplot.subplots(1, 2, figsize=(11, 4))
    for targets, label in ((0, "checks alone"), (1000, "with 1,000 targets' results")):
        rows = [row for row in told["costs"] if row["targets"] == targets]
        left.plot(
            [row["instances"] for row in rows], [row["bytes"] / 1000 for row in rows], marker="o", label=label
        )
    left.set(
        xscale="log",
        yscale="log",
        xlabel="instances",
        ylabel="kB sent by instance and second",
        title="Cost (virtual time)",
    )
    left.legend()
    for way in WAYS:
        rows = [row for row in told["savings"] if row["way"] == way]
        right.plot([row["fronts"] for row in rows], [row["probes"] for row in rows], marker="o", label=way)
    right.set(
        xscale="log",
        yscale="log",
        xlabel="fronts",
        ylabel="probes by second",
        title="A healthy cache sees (virtual time)",
    )
    right.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=90)


def columns(rows, names):
    lines = ["| " + " | ".join(names) + " |", "|" + " --- |" * len(names)]
    return "\n".join(lines + ["| " + " | ".join(str(row[name]) for name in names) + " |" for row in rows])


def page(told, command):
    facts = ", ".join(f"{name} {value}" for name, value in told["machine"].items())
    return f"""# Shared duties, measured

Made by `{command}` ({facts}); the raw figures are in `duties.json`.
Absolute figures are of this machine; read the ratios.

## What it costs (virtual time, the real logic, encoded messages)

At least once, interval 10 s, nothing fails. Bytes are those of sealed datagrams,
without the system's headers.

{columns(told["costs"], ["instances", "targets", "messages", "bytes", "seconds_taken"])}

## What it saves the caches (virtual time, the real decision module)

60 s, 20 caches, 20 GETs a second at each front, rounds every 2 s; one cache is silent for
20 s. `probes` a healthy cache sees
by second, `probes_silent` the silent one, `met` are GETs forwarded to the silent one.

{columns(told["savings"], ["fronts", "way", "probes", "probes_silent", "met", "gets"])}

## Real processes and datagrams on loopback

20 stand-in caches, rounds every 2 s; nothing fails.

{columns(told["drills"], ["fronts", "way", "probes_per_target_and_interval", "messages", "bytes"])}

![cost and saving](duties.png)
"""


def measured(folder, sizes=SIZES, fronts=FRONTS, say=print):
    """Measure all, write page, chart and raw figures to the folder; give the page's path."""
    told = {
        "machine": machine(),
        "drills": drills(fronts, say),
        "savings": savings(fronts, say),
        "costs": costs(sizes, say),
    }
    os.makedirs(folder, exist_ok=True)
    with open(os.path.join(folder, "duties.json"), "w", encoding="utf-8") as file:
        json.dump(told, file, indent=1)
    chart(told, os.path.join(folder, "duties.png"))
    path = os.path.join(folder, "duties.md")
    with open(path, "w", encoding="utf-8") as file:
        file.write(page(told, f"limepath duties measure --sizes {','.join(map(str, sizes))}"))
    return path
