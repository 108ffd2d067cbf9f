"""limepath scale run"""

import json
import os
import sys
import tempfile

import click

from limepath.cli.duties import Span, json_option, seed_option

MOST_STRETCH = 20  # at which the longest span of the settings is still one that they take
LONGEST_FOLDER = 80  # characters: a control socket's path below it must fit the system's 107
MEMORY_FOLDER = "/dev/shm"  # where it is there: a thousand stores on one disk would measure that disk


def refuse(error):
    print(f"limepath: {error}", file=sys.stderr)
    sys.exit(2)


def this_machine():
    import psutil

    from limepath.scale.plan import Machine
    from limepath.testbed.process import raise_descriptors

    raise_descriptors()
    memory = psutil.virtual_memory().total
    return Machine(os.cpu_count() or 1, memory, psutil.Process().rlimit(psutil.RLIMIT_NOFILE)[0])


@click.command("run")
@click.option(
    "--fronts", type=int, default=100, show_default=True, help="All fronts, the real ones among them."
)
@click.option("--real", type=int, default=0, show_default=True, help="Of these, processes of the program.")
@click.option("--caches", type=int, default=24, show_default=True)
@click.option("--regions", type=int, default=1, show_default=True)
@click.option("--zones", type=int, default=1, show_default=True)
@click.option("--sites", type=int, default=1, show_default=True)
@click.option("--processes", type=int, default=0, help="Of hollow fronts; by size and cores otherwise.")
@click.option("--purges", type=float, default=1.0, show_default=True, help="A second.")
@click.option("--settings-changes", type=float, default=0.0, show_default=True, help="Drains a second.")
@click.option(
    "--churn", is_flag=True, help="Restart fronts at an ordinary day's rate, sped up; as --faults churn."
)
@click.option("--faults", "kinds", default="", help="Kinds with commas, one after another, or 'all'.")
@click.option("--duration", type=Span(), default="60s", show_default=True, help="Of the measured time.")
@click.option(
    "--stretch",
    type=click.IntRange(1, MOST_STRETCH),
    default=1,
    show_default=True,
    help="Play so much slower: all spans longer, all rates lower, all figures in the run's own time.",
)
@click.option("--broken", type=click.Choice(["fan-out", "window"]), help="Break this setting, not its bound.")
@click.option("--budget-bytes", type=float, help="That a front may send a second, in place of 24,000.")
@seed_option
@json_option
@click.option("--keep", type=click.Path(file_okay=False), help="Keep settings and logs in this folder.")
def command(kinds, churn, duration, stretch, broken, budget_bytes, seed, as_json, keep, **sizes):
    """Run hollow fronts and real processes on loopback, tell events, cause faults, judge by the bounds.

    Status 1 when a bound breaks, 2 for sizes or faults that cannot be.
    """
    from limepath.scale import faults, plan, settings
    from limepath.scale.run import Options

    try:
        layout = plan.plan_of(plan.Sizes(**sizes), this_machine())
        chosen = faults.kinds_of(kinds)
        if churn and faults.Kind.CHURN not in chosen:
            chosen = (faults.Kind.CHURN, *chosen)
        if duration < 5_000_000:
            raise plan.BadSize("--duration: at least 5s is wanted")
        if budget_bytes is not None and budget_bytes <= 0:
            raise plan.BadSize(f"--budget-bytes {budget_bytes:g}: over 0 is wanted")
        if keep and len(os.path.abspath(keep)) > LONGEST_FOLDER:
            raise plan.BadSize(f"--keep {keep}: a path of at most {LONGEST_FOLDER} characters is wanted")
        if keep and os.path.isdir(keep) and os.listdir(keep):
            raise plan.BadSize(f"--keep {keep}: an empty or a new folder is wanted")
        schedule = faults.schedule(layout, chosen, duration, seed)
        settings.broken_of(broken, len(layout.fronts))
    except (plan.BadSize, faults.UnknownFault, settings.UnknownSetting) as error:
        refuse(error)
    options = Options(seed, broken or "", stretch, bool(keep))
    played_and_told(layout, schedule, options, budget_bytes, as_json, keep)


def played_and_told(layout, schedule, options, budget_bytes, as_json, keep):
    """Play, print, end with the status."""
    from limepath.report_table import all_passed
    from limepath.scale import report
    from limepath.scale.bounds import Budget
    from limepath.scale.processes import HollowFailed
    from limepath.scale.run import Stopped, played
    from limepath.testbed.process import NotStarted

    budget = Budget() if budget_bytes is None else Budget(bytes_sent=budget_bytes)
    parent = MEMORY_FOLDER if os.path.isdir(MEMORY_FOLDER) else None
    with tempfile.TemporaryDirectory(prefix="limepath-scale-", dir=parent) as scratch:
        if keep:
            os.makedirs(keep, exist_ok=True)
        folder = os.path.abspath(keep) if keep else scratch
        try:
            run = played(layout, schedule, options, folder, lambda line: click.echo(line, err=True))
        except (HollowFailed, NotStarted, Stopped) as error:
            print(f"limepath: {error}", file=sys.stderr)
            sys.exit(1)
        result = report.result_of(run, budget)
    if as_json:
        told = report.plain_of(result, " ".join(["limepath", "scale", "run", *sys.argv[1:]]))
        click.echo(json.dumps(told, indent=1, default=str))
    else:
        click.echo("\n".join(report.text_of(result)))
    sys.exit(0 if all_passed(result.rows) else 1)


if __name__ == "__main__":
    command(prog_name="limepath scale run")
