"""limepath coldstart"""

import click

from limepath.cli.duties import Share, Span, conclude, json_option, named_kinds, numbers, seed_option


@click.group("coldstart")
def command():
    """Many fronts that start at once with nothing: the list told once to a fleet, under a budget of calls."""


@command.command("drill")
@click.option("--fronts", type=click.IntRange(2, 400), default=12, show_default=True)
@click.option(
    "--faults", "kinds", help="Kinds with commas, or 'none'; --faults help lists them. All otherwise."
)
@click.option(
    "--alone", is_flag=True, help="The same fronts without any of it, for comparison; no faults then."
)
@click.option(
    "--down",
    type=Span(),
    default="12s",
    show_default=True,
    help="For which the list service refuses at first.",
)
@click.option(
    "--sites", type=click.IntRange(0, 400), default=0, help="Of the fronts, which stand in trees then."
)
@seed_option
@json_option
@click.option("--keep", type=click.Path(file_okay=False), help="Keep settings and logs in this folder.")
def drill(fronts, kinds, alone, down, sites, seed, as_json, keep):
    """Start real fronts on loopback while the list service is away, cause faults, look at calls, streams and
    who knows what.
    """
    from limepath.testbed.coldstart import KINDS, TREE_KINDS, drilled

    known = (*KINDS, *TREE_KINDS) if sites else KINDS
    if kinds == "help":
        return click.echo(", ".join(known))
    chosen = () if kinds == "none" else named_kinds(kinds, known, "--faults")
    found = drilled(fronts, seed, chosen, alone, down, keep=keep, sites=sites)
    conclude(found.rows, as_json, found.said, seed=seed, alone=alone)


@command.command("simulate")
@click.option("--fronts", type=click.IntRange(2, 2000), default=200, show_default=True)
@click.option("--zones", type=click.IntRange(1, 50), default=2, show_default=True)
@click.option(
    "--faults", "kinds", help="Kinds with commas, or 'none'; --faults help lists them. All otherwise."
)
@click.option("--alone", is_flag=True, help="Each front calls for itself, for comparison; no faults then.")
@click.option(
    "--down",
    type=Span(),
    default="12s",
    show_default=True,
    help="For which the list service refuses at first.",
)
@click.option("--loss", type=Share(), default="0", help="Share of datagrams that is lost.")
@click.option(
    "--saved", type=Share(), default="0", help="Share of fronts that hold a saved list, at different numbers."
)
@seed_option
@json_option
def simulate(fronts, zones, kinds, alone, down, loss, saved, seed, as_json):
    """The same logic in virtual time; the same seed gives the same table."""
    from limepath.discovery.simulate import KINDS, simulated

    if kinds == "help":
        return click.echo(", ".join(KINDS))
    chosen = () if kinds == "none" or alone else named_kinds(kinds, KINDS, "--faults")
    found = simulated(fronts, zones, seed, down, loss, alone, chosen, saved=saved)
    conclude(found.rows, as_json, found.log, seed=seed, alone=alone, loss=loss)


@command.command("tree")
@click.option("--fronts", type=click.IntRange(2, 5200), default=100, show_default=True)
@click.option("--regions", type=click.IntRange(2, 50), default=2, show_default=True)
@click.option("--zones", type=click.IntRange(1, 100), default=4, show_default=True)
@click.option("--sites", type=click.IntRange(1, 1000), default=16, show_default=True)
@click.option("--purges", type=click.FloatRange(0.1, 200), default=36.0, show_default=True, help="A second.")
@click.option("--span", type=Span(), default="20s", show_default=True, help="Of the calm that is measured.")
@click.option("--loss", type=Share(), default="0", help="Share of datagrams that is lost.")
@click.option("--cut", type=Span(), default="3m", show_default=True, help="For which region-cut lasts.")
@click.option(
    "--faults", "kinds", help="Kinds with commas, or 'none'; --faults help lists them. All otherwise."
)
@click.option(
    "--broken", type=click.Choice(("fan-out", "window")), help="Break a bound on purpose: status 1 then."
)
@seed_option
@json_option
def tree(fronts, regions, zones, sites, purges, span, loss, cut, kinds, broken, seed, as_json):
    """Events to a fleet in trees, in virtual time: what the busiest front sends, how late an event is, under
    faults.
    """
    from limepath.discovery.simulate_tree import FAULTS, run_tree
    from limepath.discovery.tree_world import Plan

    if kinds == "help":
        return click.echo(", ".join(FAULTS))
    chosen = () if kinds == "none" else named_kinds(kinds, FAULTS, "--faults")
    plan = Plan(fronts, regions, zones, sites, purges, span, loss, tuple(chosen), cut, broken or "")
    found = run_tree(plan, seed)
    conclude(found.rows, as_json, found.log, seed=seed, loss=loss)


@command.command("measure")
@click.option("--out", type=click.Path(file_okay=False), default="docs/measurements", show_default=True)
@click.option(
    "--sizes", default="10,50,100,200,300,500,1000", show_default=True, help="Fronts, in virtual time."
)
@click.option("--fronts", default="12,50,200", show_default=True, help="Fronts, real processes.")
def measure(out, sizes, fronts):
    """Measure a cold start over sizes, shared and alone; write a page, a chart and the raw figures. Needs the
    extra 'measure'.
    """
    from limepath.discovery.measure import measured

    click.echo(measured(out, numbers(sizes), numbers(fronts), report=lambda line: click.echo(line, err=True)))
