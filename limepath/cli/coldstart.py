"""`limepath coldstart`: simultaneous starts of many fronts."""

import click

from limepath.cli.options import (
    Duration,
    Share,
    chosen_kinds,
    faults_option,
    folder_option,
    integers,
    json_option,
    seed_option,
)
from limepath.cli.output import exit_with_results

down_option = click.option(
    "--down",
    type=Duration(),
    default="12s",
    show_default=True,
    help="How long the list service refuses calls at the beginning.",
)


@click.group("coldstart")
def command() -> None:
    """Simultaneous starts of many fronts without a list, under a budget of calls to the list service."""


@command.command("drill")
@click.option("--fronts", type=click.IntRange(2, 400), default=12, show_default=True)
@faults_option
@click.option("--alone", is_flag=True, help="Do not share the list, for comparison. No faults are caused.")
@down_option
@click.option(
    "--sites", type=click.IntRange(0, 400), default=0, help="Sites of the fronts, which then form trees."
)
@seed_option
@json_option
@folder_option
def drill(
    fronts: int,
    kinds: str | None,
    alone: bool,
    down: int,
    sites: int,
    seed: int,
    as_json: bool,
    folder: str | None,
) -> None:
    """Start real fronts on loopback while the list service is down, and cause faults.

    The calls, the streams and the list of each front are checked against the stated bounds.
    """
    from limepath.testbed.coldstart import KINDS, TREE_KINDS, run_drill

    known = (*KINDS, *TREE_KINDS) if sites else KINDS
    if kinds == "help":
        click.echo(", ".join(known))
        return
    chosen = () if kinds == "none" else chosen_kinds(kinds, known, "--faults")
    result = run_drill(fronts, seed, chosen, alone, down, keep=folder, sites=sites)
    exit_with_results(result.rows, as_json, result.log, seed=seed, alone=alone)


@command.command("simulate")
@click.option("--fronts", type=click.IntRange(2, 2000), default=200, show_default=True)
@click.option("--zones", type=click.IntRange(1, 50), default=2, show_default=True)
@faults_option
@click.option(
    "--alone",
    is_flag=True,
    help="Each front calls the list service itself, for comparison. No faults are caused.",
)
@down_option
@click.option("--loss", type=Share(), default="0", help="Fraction of datagrams that are lost.")
@click.option(
    "--saved", type=Share(), default="0", help="Fraction of fronts with saved lists, of different ages."
)
@seed_option
@json_option
def simulate(
    fronts: int,
    zones: int,
    kinds: str | None,
    alone: bool,
    down: int,
    loss: float,
    saved: float,
    seed: int,
    as_json: bool,
) -> None:
    """Simulate a cold start in virtual time; the same seed gives the same table."""
    from limepath.discovery.simulate import KINDS, simulate_star

    if kinds == "help":
        click.echo(", ".join(KINDS))
        return
    chosen = () if kinds == "none" or alone else chosen_kinds(kinds, KINDS, "--faults")
    result = simulate_star(fronts, zones, seed, down, loss, alone, chosen, saved=saved)
    exit_with_results(result.rows, as_json, result.log, seed=seed, alone=alone, loss=loss)


@command.command("tree")
@click.option("--fronts", type=click.IntRange(2, 5200), default=100, show_default=True)
@click.option("--regions", type=click.IntRange(2, 50), default=2, show_default=True)
@click.option("--zones", type=click.IntRange(1, 100), default=4, show_default=True)
@click.option("--sites", type=click.IntRange(1, 1000), default=16, show_default=True)
@click.option(
    "--purges", type=click.FloatRange(0.1, 200), default=36.0, show_default=True, help="Purges per second."
)
@click.option(
    "--span",
    type=Duration(),
    default="20s",
    show_default=True,
    help="Length of the measured period without faults.",
)
@click.option("--loss", type=Share(), default="0", help="Fraction of datagrams that are lost.")
@click.option(
    "--cut", type=Duration(), default="3m", show_default=True, help="Length of the fault region-cut."
)
@faults_option
@click.option(
    "--broken",
    type=click.Choice(("fan-out", "window")),
    help="Exceed a bound on purpose, which gives status 1.",
)
@seed_option
@json_option
def tree(
    fronts: int,
    regions: int,
    zones: int,
    sites: int,
    purges: float,
    span: int,
    loss: float,
    cut: int,
    kinds: str | None,
    broken: str | None,
    seed: int,
    as_json: bool,
) -> None:
    """Simulate the distribution of events through trees of fronts in virtual time, under faults.

    The table shows the traffic of the busiest front and the delays of events.
    """
    from limepath.discovery.simulate_tree import FAULTS, run_tree
    from limepath.discovery.tree_world import Plan

    if kinds == "help":
        click.echo(", ".join(FAULTS))
        return
    chosen = () if kinds == "none" else chosen_kinds(kinds, FAULTS, "--faults")
    plan = Plan(fronts, regions, zones, sites, purges, span, loss, tuple(chosen), cut, broken or "")
    result = run_tree(plan, seed)
    exit_with_results(result.rows, as_json, result.log, seed=seed, loss=loss)


@command.command("measure")
@click.option("--out", type=click.Path(file_okay=False), default="docs/measurements", show_default=True)
@click.option(
    "--sizes", default="10,50,100,200,300,500,1000", show_default=True, help="Numbers of simulated fronts."
)
@click.option("--fronts", default="12,50,200", show_default=True, help="Numbers of fronts in real processes.")
def measure(out: str, sizes: str, fronts: str) -> None:
    """Measure cold starts of several sizes, with and without sharing; write a page, a chart and the raw data.

    Requires the extra 'measure'.
    """
    from limepath.discovery.measure import write_measurements

    click.echo(
        write_measurements(
            out, integers(sizes), integers(fronts), report=lambda line: click.echo(line, err=True)
        )
    )
