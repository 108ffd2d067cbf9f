"""`limepath scale run`: runs a fleet of hollow fronts and real processes on one machine."""

import json
import os
import sys
import tempfile
from typing import TYPE_CHECKING, NoReturn

import click

from limepath.cli.options import Duration, folder_option, json_option, seed_option
from limepath.cli.output import STATUS_FAILED, fail

if TYPE_CHECKING:
    from limepath.scale.faults import Kind, Schedule
    from limepath.scale.plan import Machine, Plan
    from limepath.scale.run import Options

MIN_DURATION = 5_000_000  # minimum --duration, in microseconds
MAX_STRETCH = 20  # a larger factor would exceed the maximum of a duration in the settings
MAX_FOLDER_LENGTH = 80  # characters, because the path of a control socket in it is limited to 107
MEMORY_FOLDER = "/dev/shm"  # used if present, because the disk would limit a run with 1000 stores


def this_machine() -> "Machine":
    """Raise the limit on file descriptors; return the machine's cores, memory and file descriptors."""
    import psutil

    from limepath.scale.plan import Machine
    from limepath.testbed.process import raise_descriptor_limit

    raise_descriptor_limit()
    memory = psutil.virtual_memory().total
    return Machine(os.cpu_count() or 1, memory, psutil.Process().rlimit(psutil.RLIMIT_NOFILE)[0])


@click.command("run")
@click.option(
    "--fronts", type=int, default=100, show_default=True, help="Number of fronts, real ones included."
)
@click.option(
    "--real", type=int, default=0, show_default=True, help="Number of fronts that run as real processes."
)
@click.option("--caches", type=int, default=24, show_default=True)
@click.option("--regions", type=int, default=1, show_default=True)
@click.option("--zones", type=int, default=1, show_default=True)
@click.option("--sites", type=int, default=1, show_default=True)
@click.option(
    "--processes", type=int, default=0, help="Processes of hollow fronts. Default: by fleet size and cores."
)
@click.option("--purges", type=float, default=1.0, show_default=True, help="Purges per second.")
@click.option("--settings-changes", type=float, default=0.0, show_default=True, help="Drains per second.")
@click.option(
    "--churn", is_flag=True, help="Restart fronts at an accelerated normal rate; the same as --faults churn."
)
@click.option(
    "--faults", "kinds", default="", help="Kinds, separated by commas and caused in turn, or 'all'."
)
@click.option(
    "--duration", type=Duration(), default="60s", show_default=True, help="Length of the measurement."
)
@click.option(
    "--stretch",
    type=click.IntRange(1, MAX_STRETCH),
    default=1,
    show_default=True,
    help="Slow the run down by this factor: durations grow, rates fall, results are in the run's time.",
)
@click.option(
    "--broken", type=click.Choice(["fan-out", "window"]), help="Set this setting wrong, but not its bound."
)
@click.option("--budget-bytes", type=float, help="Bytes per second that a front may send, instead of 24,000.")
@seed_option
@json_option
@folder_option
def command(
    fronts: int,
    real: int,
    caches: int,
    regions: int,
    zones: int,
    sites: int,
    processes: int,
    purges: float,
    settings_changes: float,
    kinds: str,
    churn: bool,
    duration: int,
    stretch: int,
    broken: str | None,
    budget_bytes: float | None,
    seed: int,
    as_json: bool,
    folder: str | None,
) -> None:
    """Run hollow fronts and real processes on loopback, send events, cause faults, check the bounds.

    Status 1 if a bound is exceeded, 2 for invalid sizes or faults.
    """
    from limepath.scale import faults, plan, settings
    from limepath.scale.run import Options

    try:
        sizes = plan.Sizes(fronts, real, caches, regions, zones, sites, purges, settings_changes, processes)
        layout = plan.plan_of(sizes, this_machine())
        chosen = chosen_faults(kinds, churn)
        check_options(duration, budget_bytes, folder)
        schedule = faults.schedule(layout, chosen, duration, seed)
        settings.broken_of(broken, len(layout.fronts))
    except (plan.BadSize, faults.UnknownFault, settings.UnknownSetting) as error:
        fail(error)
    options = Options(seed, broken or "", stretch, bool(folder))
    run_and_report(layout, schedule, options, budget_bytes, as_json, folder)


def chosen_faults(kinds: str, churn: bool) -> "tuple[Kind, ...]":
    """Return the kinds in --faults, preceded by churn if only --churn selects it."""
    from limepath.scale.faults import Kind, kinds_of

    chosen = kinds_of(kinds)
    return (Kind.CHURN, *chosen) if churn and Kind.CHURN not in chosen else chosen


def check_options(duration: int, budget_bytes: float | None, folder: str | None) -> None:
    """Raise BadSize with the expected value if an option is invalid."""
    from limepath.scale.plan import BadSize

    if duration < MIN_DURATION:
        raise BadSize("--duration: expected at least 5s")
    if budget_bytes is not None and budget_bytes <= 0:
        raise BadSize(f"--budget-bytes {budget_bytes:g}: expected more than 0")
    if folder and len(os.path.abspath(folder)) > MAX_FOLDER_LENGTH:
        raise BadSize(f"--keep {folder}: expected a path of at most {MAX_FOLDER_LENGTH} characters")
    if folder and os.path.isdir(folder) and os.listdir(folder):
        raise BadSize(f"--keep {folder}: expected a new or empty folder")


def run_and_report(
    layout: "Plan",
    schedule: "Schedule",
    options: "Options",
    budget_bytes: float | None,
    as_json: bool,
    log_folder: str | None,
) -> NoReturn:
    """Run the fleet, print the report and exit with its status."""
    from limepath.report_table import all_passed
    from limepath.scale import report
    from limepath.scale.bounds import Budget
    from limepath.scale.processes import HollowFailed
    from limepath.scale.run import Stopped, played
    from limepath.testbed.process import ProcessStartError

    budget = Budget() if budget_bytes is None else Budget(bytes_sent=budget_bytes)
    parent = MEMORY_FOLDER if os.path.isdir(MEMORY_FOLDER) else None
    with tempfile.TemporaryDirectory(prefix="limepath-scale-", dir=parent) as scratch:
        if log_folder:
            os.makedirs(log_folder, exist_ok=True)
        folder = os.path.abspath(log_folder) if log_folder else scratch
        try:
            run = played(layout, schedule, options, folder, lambda line: click.echo(line, err=True))
        except (HollowFailed, ProcessStartError, Stopped) as error:
            fail(error, STATUS_FAILED)
        result = report.result_of(run, budget)
    if as_json:
        values = report.plain_of(result, " ".join(["limepath", "scale", "run", *sys.argv[1:]]))
        click.echo(json.dumps(values, indent=1, default=str))
    else:
        click.echo("\n".join(report.text_of(result)))
    sys.exit(0 if all_passed(result.rows) else STATUS_FAILED)


if __name__ == "__main__":
    command(prog_name="limepath scale run")
