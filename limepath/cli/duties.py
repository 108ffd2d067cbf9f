"""`limepath duties`: periodic work that is divided among instances."""

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
from limepath.cli.output import exit_with_results, fail_configuration
from limepath.configuration import ini
from limepath.configuration.peers_file import MODES
from limepath.configuration.sharing_settings import DutyMode

if TYPE_CHECKING:
    from limepath.duties.simulate import Fault

SHOWN_NAMES = 8  # maximum number of instances named in the line about a fault


@click.group("duties")
def command() -> None:
    """Periodic duties (probes of caches), divided among instances: one probe per target and interval."""


def fault_lines(faults: "Iterable[Fault]") -> list[str]:
    """Return a line for each fault with its time, kind, length and instances."""
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
    help="Virtual time in which faults begin. Default: enough for one fault of each kind.",
)
@click.option("--loss", type=Share(), default="0", help="Fraction of datagrams that are lost.")
@click.option("--doubled", type=Share(), default="0", help="Fraction of datagrams that arrive twice.")
@click.option(
    "--late",
    type=Share(),
    default="0",
    help="Fraction of datagrams delayed by up to 400 ms, and so reordered.",
)
@click.option(
    "--faults",
    "kinds",
    help="Kinds, separated by commas, 'every' or 'none'; '--faults help' lists them. Default: every kind; "
    "with more than 50 instances two random kinds, with more than 400 one.",
)
@click.option("--cold", is_flag=True, help="Start with instances that have not joined yet.")
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
    """Simulate many instances in virtual time under faults; the same seed gives the same table."""
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
    result = run_simulation(
        instances, targets, MODES[mode], interval, length, seed, loss, doubled, late, chosen, cold=cold
    )
    exit_with_results(
        result.rows,
        as_json,
        fault_lines(result.faults),
        seed=seed,
        mode=mode,
        faults=[fault._asdict() for fault in result.faults],
    )


@command.command("drill")
@click.option("--instances", type=click.IntRange(2, 60), default=5, show_default=True)
@click.option("--targets", type=click.IntRange(1, 500), default=40, show_default=True)
@mode_option
@click.option("--interval", type=Duration(), default="2s", show_default=True)
@click.option("--faults", "count", type=click.IntRange(0, 50), default=6, show_default=True)
@click.option(
    "--sharing/--alone",
    default=True,
    show_default=True,
    help="With --alone, each front probes all targets itself.",
)
@click.option(
    "--loss", type=Share(), default="0", help="Fraction of datagrams between instances that are lost."
)
@click.option("--only", help="Kinds of faults to draw from, separated by commas. Default: all.")
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
    """Start real fronts on loopback; kill, stop and restart them; count the probes of each target."""
    from limepath.testbed.duties import KINDS, run_drill

    chosen = chosen_kinds(only, KINDS, "--only")
    result = run_drill(instances, targets, MODES[mode], interval, count, seed, sharing, loss, folder, chosen)
    exit_with_results(result.rows, as_json, result.log, seed=seed, mode=mode)


@command.command("check")
@click.option("--instances", type=click.IntRange(2, 3), default=2, show_default=True)
@click.option(
    "--depth",
    type=click.IntRange(1, 60),
    default=9,
    show_default=True,
    help="Maximum number of events in a sequence.",
)
@click.option(
    "--states",
    type=click.IntRange(100, 50_000_000),
    default=200_000,
    show_default=True,
    help="Maximum number of states to explore.",
)
@click.option(
    "--broken",
    is_flag=True,
    help="Break the rule on purpose: a voter grants a lease that another instance holds.",
)
@json_option
def check(instances: int, depth: int, states: int, broken: bool, as_json: bool) -> None:
    """Explore all sequences of events of the lease logic and check that there is at most one owner.

    The events are delivery, loss, duplication, pause and expiry.
    """
    from limepath.duties.check import explore

    result = explore(instances, depth, states, broken)
    exit_with_results(
        result.rows,
        as_json,
        result.trace,
        instances=instances,
        depth=depth,
        broken=broken,
        trace=result.trace,
    )


@command.command("bounds")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--instances", type=click.IntRange(1, 5000), default=5, show_default=True)
@click.option(
    "--together",
    type=click.IntRange(1, 100),
    default=1,
    show_default=True,
    help="Number of instances that fail at the same time.",
)
@json_option
def bounds(file: str, instances: int, together: int, as_json: bool) -> None:
    """Compute the bounds that follow from the settings in FILE: gaps, takeover, disagreement of views."""
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
    exit_with_results(rows, as_json, instances=instances)


@command.command("measure")
@click.option("--out", type=click.Path(file_okay=False), default="docs/measurements", show_default=True)
@click.option("--sizes", default="3,30,300,1000", show_default=True, help="Numbers of simulated instances.")
@click.option(
    "--fronts", default="3,10,50", show_default=True, help="Numbers of fronts, both real and simulated."
)
def measure(out: str, sizes: str, fronts: str) -> None:
    """Measure the costs and savings of sharing; write a page, a chart and the raw data.

    Requires the extra 'measure'.
    """
    from limepath.duties.measure import write_measurements

    path = write_measurements(
        out, integers(sizes), integers(fronts), say=lambda line: click.echo(line, err=True)
    )
    click.echo(path)
