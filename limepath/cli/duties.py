"""`limepath duties`: periodic work that instances divide among themselves."""

from collections.abc import Iterable
from typing import TYPE_CHECKING

import click

from limepath.cli.options import (
    Duration,
    Share,
    chosen_kinds,
    folder_option,
    integers,
    json_option,
    mode_option,
    seed_option,
)
from limepath.cli.output import conclude, fail_configuration
from limepath.configuration import ini
from limepath.configuration.peers_file import MODES
from limepath.configuration.sharing_settings import DutyMode

if TYPE_CHECKING:
    from limepath.duties.simulate import Fault

SHOWN_NAMES = 8  # instances that a line about a fault names


@click.group("duties")
def command() -> None:
    """Periodic duties (probes of caches) that instances divide, each target once per interval."""


def fault_lines(faults: "Iterable[Fault]") -> list[str]:
    """Return a line for each fault: when, what, for how long, where."""
    return [
        f"at {fault.at / 1e6:6.1f} s  {fault.kind}"
        + (f" for {fault.length / 1e6:g} s" if fault.length else "")
        + f"  {', '.join(map(str, fault.who[:SHOWN_NAMES]))}{' …' if len(fault.who) > SHOWN_NAMES else ''}"
        for fault in faults
    ]


@command.command("simulate")
@click.option("--instances", type=click.IntRange(1, 5000), default=5, show_default=True)
@click.option("--targets", type=click.IntRange(1, 100_000), default=1000, show_default=True)
@mode_option
@click.option("--interval", type=Duration(), default="10s", show_default=True)
@click.option(
    "--length",
    type=Duration(),
    help="Virtual time in which faults begin; enough for each kind once otherwise.",
)
@click.option("--loss", type=Share(), default="0", help="Share of all datagrams that is lost.")
@click.option("--doubled", type=Share(), default="0", help="Share that arrives twice.")
@click.option(
    "--late", type=Share(), default="0", help="Share that is up to 400 ms late, and so out of order."
)
@click.option(
    "--faults",
    "kinds",
    help="Kinds with commas, 'every' or 'none'; --faults help lists them. Otherwise every kind, "
    "and beyond 50 instances two, beyond 400 one, drawn by the seed.",
)
@click.option("--cold", is_flag=True, help="Instances begin without knowing each other.")
@seed_option
@json_option
def simulate(
    instances: int,
    targets: int,
    mode: str,
    interval: int,
    length: int | None,
    loss: float,
    doubled: float,
    late: float,
    kinds: str | None,
    cold: bool,
    seed: int,
    as_json: bool,
) -> None:
    """Run the logic of many instances in virtual time under faults; the same seed gives the same table."""
    from limepath.duties.simulate import KINDS
    from limepath.duties.simulate import simulate as run_simulation

    if kinds == "help":
        click.echo(", ".join(KINDS))
        return
    chosen: tuple[str, ...] | None = None
    if kinds == "none":
        chosen = ()
    elif kinds is not None:
        chosen = chosen_kinds(None if kinds == "every" else kinds, KINDS, "--faults")
    found = run_simulation(
        instances, targets, MODES[mode], interval, length, seed, loss, doubled, late, chosen, cold=cold
    )
    conclude(
        found.rows,
        as_json,
        fault_lines(found.faults),
        seed=seed,
        mode=mode,
        faults=[fault._asdict() for fault in found.faults],
    )


@command.command("drill")
@click.option("--instances", type=click.IntRange(2, 60), default=5, show_default=True)
@click.option("--targets", type=click.IntRange(1, 500), default=40, show_default=True)
@mode_option
@click.option("--interval", type=Duration(), default="2s", show_default=True)
@click.option("--faults", "count", type=click.IntRange(0, 50), default=6, show_default=True)
@click.option(
    "--sharing/--alone", default=True, show_default=True, help="--alone: each front probes for itself."
)
@click.option(
    "--loss", type=Share(), default="0", help="Share of datagrams that the way between instances loses."
)
@click.option("--only", help="Kinds of faults to draw from, with commas; all otherwise.")
@seed_option
@json_option
@folder_option
def drill(
    instances: int,
    targets: int,
    mode: str,
    interval: int,
    count: int,
    sharing: bool,
    loss: float,
    only: str | None,
    seed: int,
    as_json: bool,
    folder: str | None,
) -> None:
    """Start real fronts on loopback, kill, stop and restart them, and count probes per target."""
    from limepath.testbed.duties import KINDS, run_drill

    chosen = chosen_kinds(only, KINDS, "--only")
    found = run_drill(instances, targets, MODES[mode], interval, count, seed, sharing, loss, folder, chosen)
    conclude(found.rows, as_json, found.log, seed=seed, mode=mode)


@command.command("check")
@click.option("--instances", type=click.IntRange(2, 3), default=2, show_default=True)
@click.option("--depth", type=click.IntRange(1, 60), default=9, show_default=True, help="Events in a row.")
@click.option(
    "--states",
    type=click.IntRange(100, 50_000_000),
    default=200_000,
    show_default=True,
    help="States after which to stop.",
)
@click.option(
    "--broken", is_flag=True, help="Break the lease rule on purpose: a voter grants what another holds."
)
@json_option
def check(instances: int, depth: int, states: int, broken: bool, as_json: bool) -> None:
    """Explore every order of events of the lease logic: at most one owner in each.

    Events are delivery, loss, duplication, pause and expiry.
    """
    from limepath.duties.check import explore

    found = explore(instances, depth, states, broken)
    conclude(
        found.rows, as_json, found.trace, instances=instances, depth=depth, broken=broken, trace=found.trace
    )


@command.command("bounds")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--instances", type=click.IntRange(1, 5000), default=5, show_default=True)
@click.option(
    "--together", type=click.IntRange(1, 100), default=1, show_default=True, help="That die at once."
)
@json_option
def bounds(file: str, instances: int, together: int, as_json: bool) -> None:
    """Compute what the settings in FILE promise: gaps, takeover, disagreement of views."""
    from limepath.configuration import peers_file
    from limepath.duties.bounds import bounds as compute_bounds
    from limepath.report_table import CheckResult, seconds

    try:
        settings = peers_file.read(file)
    except ini.SettingError as error:
        fail_configuration(error)
    rows = [
        CheckResult(
            f"{plan.name} ({DutyMode(plan.mode).name.lower().replace('_', '-')}): {name}, s", seconds(value)
        )
        for plan in settings.plans
        for name, value in compute_bounds(settings.spans, plan, settings.leasing, instances, together)
        ._asdict()
        .items()
    ]
    conclude(rows, as_json, instances=instances)


@command.command("measure")
@click.option("--out", type=click.Path(file_okay=False), default="docs/measurements", show_default=True)
@click.option("--sizes", default="3,30,300,1000", show_default=True, help="Instances, in virtual time.")
@click.option("--fronts", default="3,10,50", show_default=True, help="Fronts, real and in virtual time.")
def measure(out: str, sizes: str, fronts: str) -> None:
    """Measure what sharing costs and saves; write a page, a chart and the raw figures.

    Needs the extra 'measure'.
    """
    from limepath.duties.measure import write_measurements

    path = write_measurements(
        out, integers(sizes), integers(fronts), say=lambda line: click.echo(line, err=True)
    )
    click.echo(path)
