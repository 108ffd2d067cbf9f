"""`limepath coldstart`: many fronts that start at once."""

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
from limepath.cli.output import conclude

down_option = click.option(
    "--down",
    type=Duration(),
    default="12s",
    show_default=True,
    help="How long the list service refuses calls at first.",
)


@click.group("coldstart")
def command() -> None:
    """Many fronts that start at once with nothing, and share the endpoint list under a budget of calls."""


@command.command("drill")
@click.option("--fronts", type=click.IntRange(2, 400), default=12, show_default=True)
@faults_option
@click.option(
    "--alone", is_flag=True, help="The same fronts without any of it, for comparison; no faults then."
)
@down_option
@click.option(
    "--sites", type=click.IntRange(0, 400), default=0, help="Of the fronts, which stand in trees then."
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
    """Start real fronts on loopback while the list service is away, and cause faults.

    Calls, streams and what each front knows are checked against the stated bounds.
    """
    from limepath.testbed.coldstart import KINDS, TREE_KINDS, run_drill

    known = (*KINDS, *TREE_KINDS) if sites else KINDS
    if kinds == "help":
        click.echo(", ".join(known))
        return
    chosen = () if kinds == "none" else chosen_kinds(kinds, known, "--faults")
    found = run_drill(fronts, seed, chosen, alone, down, keep=folder, sites=sites)
    conclude(found.rows, as_json, found.log, seed=seed, alone=alone)


@command.command("simulate")
@click.option("--fronts", type=click.IntRange(2, 2000), default=200, show_default=True)
@click.option("--zones", type=click.IntRange(1, 50), default=2, show_default=True)
@faults_option
@click.option("--alone", is_flag=True, help="Each front calls for itself, for comparison; no faults then.")
@down_option
@click.option("--loss", type=Share(), default="0", help="Share of datagrams that is lost.")
@click.option(
    "--saved", type=Share(), default="0", help="Share of fronts that hold a saved list, at different numbers."
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
    """Run the same logic in virtual time; the same seed gives the same table."""
    from limepath.discovery.simulate import KINDS, simulated

    if kinds == "help":
        click.echo(", ".join(KINDS))
        return
    chosen = () if kinds == "none" or alone else chosen_kinds(kinds, KINDS, "--faults")
    found = simulated(fronts, zones, seed, down, loss, alone, chosen, saved=saved)
    conclude(found.rows, as_json, found.log, seed=seed, alone=alone, loss=loss)


@command.command("tree")
@click.option("--fronts", type=click.IntRange(2, 5200), default=100, show_default=True)
@click.option("--regions", type=click.IntRange(2, 50), default=2, show_default=True)
@click.option("--zones", type=click.IntRange(1, 100), default=4, show_default=True)
@click.option("--sites", type=click.IntRange(1, 1000), default=16, show_default=True)
@click.option("--purges", type=click.FloatRange(0.1, 200), default=36.0, show_default=True, help="A second.")
@click.option(
    "--span", type=Duration(), default="20s", show_default=True, help="Of the calm that is measured."
)
@click.option("--loss", type=Share(), default="0", help="Share of datagrams that is lost.")
@click.option("--cut", type=Duration(), default="3m", show_default=True, help="For which region-cut lasts.")
@faults_option
@click.option(
    "--broken", type=click.Choice(("fan-out", "window")), help="Break a bound on purpose: status 1 then."
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
    """Send events through trees of fronts in virtual time, under faults.

    The table has what the busiest front sends, and how late an event is.
    """
    from limepath.discovery.simulate_tree import FAULTS, run_tree
    from limepath.discovery.tree_world import Plan

    if kinds == "help":
        click.echo(", ".join(FAULTS))
        return
    chosen = () if kinds == "none" else chosen_kinds(kinds, FAULTS, "--faults")
    plan = Plan(fronts, regions, zones, sites, purges, span, loss, tuple(chosen), cut, broken or "")
    found = run_tree(plan, seed)
    conclude(found.rows, as_json, found.log, seed=seed, loss=loss)


@command.command("measure")
@click.option("--out", type=click.Path(file_okay=False), default="docs/measurements", show_default=True)
@click.option(
    "--sizes", default="10,50,100,200,300,500,1000", show_default=True, help="Fronts, in virtual time."
)
@click.option("--fronts", default="12,50,200", show_default=True, help="Fronts, real processes.")
def measure(out: str, sizes: str, fronts: str) -> None:
    """Measure a cold start over sizes, shared and alone; write a page, a chart and the raw figures.

    Needs the extra 'measure'.
    """
    from limepath.discovery.measure import measured

    click.echo(
        measured(out, integers(sizes), integers(fronts), report=lambda line: click.echo(line, err=True))
    )
