"""limepath listing"""

import json
import sys

import click

from limepath.cli.duties import conclude, json_option
from limepath.configuration import peers_file
from limepath.configuration.ini import SettingError
from limepath.membership.control import NoAnswerError, ask


@click.group("listing")
def command():
    """The list of caches, drains and purges, told once to a fleet."""


def opened(file):
    """The peers file with its [listing]; ends with status 2 where there is none."""
    try:
        read = peers_file.read(file)
        if not read.listing:
            raise SettingError(f"{file}: [listing]: missing; each front follows the change log by itself")
        return read
    except SettingError as flaw:
        print(f"limepath: configuration: {flaw}", file=sys.stderr)
        sys.exit(2)


@command.command("bounds")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--fronts", type=click.IntRange(1, 10_000), help="That live; what the file tells otherwise.")
@click.option("--zones", type=click.IntRange(1, 100), default=1, show_default=True)
@click.option("--sites", type=click.IntRange(1, 1000), default=1, show_default=True)
@json_option
def bounds(file, fronts, zones, sites, as_json):
    """What the settings in FILE promise: how late an event may be at any front, calls, streams."""
    from limepath.discovery.bounds import bounds as computed
    from limepath.report_table import Row, seconds

    terms = opened(file).listing
    told = computed(terms, fronts or terms.fronts, zones, sites)
    said = {
        "event": "an event at every front, s",
        "repaired": "the same, its push lost, s",
        "relays_lost": "the same, all relays of a zone gone in that moment, s",
        "stream_still": "the same, their streams standing still, s",
        "restored": "the same, the service going back to an older state, s",
        "alone": "the same, at a front that hears of nobody, s",
        "known_late": "until a front knows that its list may be old, s",
        "ready": "from the service's return until all have the list, s",
        "calls": "calls a second of the whole fleet",
        "streams": "streams of a zone, at most",
    }
    rows = [
        Row(said[name], value if name in ("calls", "streams") else seconds(value))
        for name, value in told._asdict().items()
    ]
    if terms.site:
        rows += tree_rows(terms, fronts or terms.fronts, zones, sites)
    conclude(rows, as_json, fronts=fronts or terms.fronts, zones=zones)


def tree_rows(terms, fronts, zones, sites):
    """What the settings promise of the tree that the front stands in."""
    from limepath.discovery.bounds import tree_bounds
    from limepath.report_table import Row, seconds

    told = tree_bounds(terms, fronts, zones, sites)
    return [
        Row("hops from a root to a front, at the most", told.hops),
        Row("fronts that one sends events to, at the most", told.children),
        Row(
            "an event at every front, a front with children gone in that moment, s", seconds(told.inner_lost)
        ),
        Row("bytes a second sent by any front, whatever others lack", told.max_bytes),
    ]


@command.command("show")
@click.argument("where", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print all as JSON.")
def show(where, as_json):
    """How a running front's list stands, whom it follows, what it passed over.

    WHERE is the instance's control socket, or its peers file, which names it. Status 1 when nobody answers
    there.
    """
    try:
        told = ask(opened(where).control if where.endswith(".ini") else where, "listing")
    except NoAnswerError as flaw:
        print(f"limepath: {flaw}", file=sys.stderr)
        sys.exit(1)
    if as_json:
        return click.echo(json.dumps(told, indent=1))
    ago = (
        "never confirmed"
        if told["confirmed_us_ago"] is None
        else f"confirmed {told['confirmed_us_ago'] / 1e6:.1f} s ago"
    )
    click.echo(
        f"event {told['number']} (generation {told['generation']}), {told['members']} members, {ago}"
        + (", LATE" if told["late"] else "")
    )
    click.echo(
        f"{told['role']} in zone {told['zone']}, stream {told['stream']}, {told['followers']} followers"
    )
    if told["site"]:
        click.echo(
            f"site {told['site']}, {told['hops']} hops at the most, {told['children']} children, events from"
            f" {told['reaches']} on" + (", CUT SHORT by window-bytes" if told["window_cut_short"] else "")
        )
    for one in told["follows"]:
        heard = (
            "not heard yet"
            if one["heard_us_ago"] is None
            else f"heard {one['heard_us_ago'] / 1e6:.1f} s ago, at {one['number']}"
        )
        click.echo(f"follows {one['token']}: {heard}" + (f", {one['flaw']}" if one["flaw"] else ""))
    click.echo(", ".join(f"{name} {count}" for name, count in told["counts"].items()))
