"""limepath duties"""

import json
import sys

import click

from limepath.configuration import ini
from limepath.configuration.peers_file import MODES
from limepath.configuration.sharing_settings import DutyMode
from limepath.report_table import all_passed, format_table, json_fields


class Span(click.ParamType):
    name = "duration"

    def convert(self, value, parameter, context):
        if isinstance(value, int):
            return value
        try:
            return ini.parse_duration(value)
        except ValueError as flaw:
            self.fail(str(flaw), parameter, context)


class Share(click.ParamType):
    name = "share"

    def convert(self, value, parameter, context):
        try:
            share = value if isinstance(value, float) else ini.parse_fraction(value)
        except ValueError as flaw:
            self.fail(str(flaw), parameter, context)
        if not 0 <= share < 1:
            self.fail("a share lies between 0 and 1", parameter, context)
        return share


mode_option = click.option(
    "--mode", type=click.Choice(list(MODES)), default="at-least-once", show_default=True
)
seed_option = click.option("--seed", type=int, default=1, show_default=True, help="Chooses the faults.")
json_option = click.option("--json", "as_json", is_flag=True, help="Print as JSON.")


def conclude(rows, as_json, lines=(), **facts):
    """Print the table or JSON; end with status 1 when a bound is broken."""
    if as_json:
        click.echo(json.dumps(json_fields(rows, **facts), indent=1, default=str))
    else:
        for line in lines:
            click.echo(line)
        click.echo(format_table(rows))
        click.echo("all bounds hold" if all_passed(rows) else "a stated bound is BROKEN")
    sys.exit(0 if all_passed(rows) else 1)


def named_kinds(told, kinds, option):
    """The kinds of faults that an option names, all where it is left out."""
    chosen = tuple(told.split(",")) if told else kinds
    for kind in chosen:
        if kind not in kinds:
            raise click.BadParameter(
                f"{kind!r}: no such kind{ini.suggestion(kind, kinds)}", param_hint=option
            )
    return chosen


def numbers(text):
    """The whole numbers of a list with commas."""
    try:
        return tuple(int(number) for number in text.split(","))
    except ValueError:
        raise click.BadParameter("whole numbers with commas are wanted") from None


@click.group("duties")
def command():
    """Periodic duties (probes of caches) that instances divide, each target once per interval."""


def told_faults(faults):
    return [
        f"at {fault.at / 1e6:6.1f} s  {fault.kind}"
        + (f" for {fault.length / 1e6:g} s" if fault.length else "")
        + f"  {', '.join(map(str, fault.who[:8]))}{' …' if len(fault.who) > 8 else ''}"
        for fault in faults
    ]


@command.command("simulate")
@click.option("--instances", type=click.IntRange(1, 5000), default=5, show_default=True)
@click.option("--targets", type=click.IntRange(1, 100_000), default=1000, show_default=True)
@mode_option
@click.option("--interval", type=Span(), default="10s", show_default=True)
@click.option(
    "--length", type=Span(), help="Virtual time in which faults begin; enough for each kind once otherwise."
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
def simulate(instances, targets, mode, interval, length, loss, doubled, late, kinds, cold, seed, as_json):
    """Run the logic of many instances in virtual time under faults; the same seed gives the same table."""
    from limepath.duties.simulate import KINDS, simulated

    if kinds == "help":
        return click.echo(", ".join(KINDS))
    chosen = (
        None
        if kinds is None
        else ()
        if kinds == "none"
        else named_kinds(kinds if kinds != "every" else None, KINDS, "--faults")
    )
    found = simulated(
        instances, targets, MODES[mode], interval, length, seed, loss, doubled, late, chosen, cold=cold
    )
    conclude(
        found.rows,
        as_json,
        told_faults(found.faults),
        seed=seed,
        mode=mode,
        faults=[fault._asdict() for fault in found.faults],
    )


@command.command("drill")
@click.option("--instances", type=click.IntRange(2, 60), default=5, show_default=True)
@click.option("--targets", type=click.IntRange(1, 500), default=40, show_default=True)
@mode_option
@click.option("--interval", type=Span(), default="2s", show_default=True)
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
@click.option("--keep", type=click.Path(file_okay=False), help="Keep settings and logs in this folder.")
def drill(instances, targets, mode, interval, count, sharing, loss, only, seed, as_json, keep):
    """Start real fronts with real datagrams on loopback, kill, stop and restart them, and count probes per
    target.
    """
    from limepath.testbed.duties import KINDS, drilled

    chosen = named_kinds(only, KINDS, "--only")
    found = drilled(instances, targets, MODES[mode], interval, count, seed, sharing, loss, keep, chosen)
    conclude(found.rows, as_json, found.said, seed=seed, mode=mode)


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
def check(instances, depth, states, broken, as_json):
    """Explore every order of delivery, loss, doubling, pause and expiry of the lease logic; one owner at
    most.
    """
    from limepath.duties.check import explored

    found = explored(instances, depth, states, broken)
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
def bounds(file, instances, together, as_json):
    """What the settings in FILE promise: gaps, take-over, disagreement of views."""
    from limepath.configuration import peers_file
    from limepath.duties.bounds import bounds as computed
    from limepath.report_table import CheckResult, seconds

    try:
        read = peers_file.read(file)
    except ini.SettingError as flaw:
        print(f"limepath: configuration: {flaw}", file=sys.stderr)
        sys.exit(2)
    rows = [
        CheckResult(
            f"{plan.name} ({DutyMode(plan.mode).name.lower().replace('_', '-')}): {name}, s", seconds(value)
        )
        for plan in read.plans
        for name, value in computed(read.spans, plan, read.leasing, instances, together)._asdict().items()
    ]
    conclude(rows, as_json, instances=instances)


@command.command("measure")
@click.option("--out", type=click.Path(file_okay=False), default="docs/measurements", show_default=True)
@click.option("--sizes", default="3,30,300,1000", show_default=True, help="Instances, in virtual time.")
@click.option("--fronts", default="3,10,50", show_default=True, help="Fronts, real and in virtual time.")
def measure(out, sizes, fronts):
    """Measure what sharing costs and saves; write a page, a chart and the raw figures. Needs the extra
    'measure'.
    """
    from limepath.duties.measure import measured

    click.echo(measured(out, numbers(sizes), numbers(fronts), say=lambda line: click.echo(line, err=True)))
