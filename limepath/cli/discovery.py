"""`limepath discovery`: the endpoint list that the fronts of a fleet share."""

import json
from typing import Any

import click

from limepath.cli.options import json_option
from limepath.cli.output import STATUS_FAILED, conclude, fail, fail_configuration
from limepath.configuration import peers_file
from limepath.configuration.ini import SettingError
from limepath.configuration.peers_file import PeersSettings
from limepath.configuration.sharing_settings import DiscoverySettings
from limepath.membership.control import ControlSocketError, request_view
from limepath.report_table import CheckResult, seconds


@click.group("discovery")
def command() -> None:
    """The endpoint list (caches, drains, purges), sent once to a fleet and passed on inside it."""


def read_settings(file: str) -> PeersSettings:
    """Read a peers file that has a [listing]; end with status 2 where it can't be used or has none."""
    try:
        settings = peers_file.read(file)
        if not settings.listing:
            raise SettingError(f"{file}: [listing]: missing; each front follows the change log by itself")
    except SettingError as error:
        fail_configuration(error)
    return settings


@command.command("bounds")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--fronts", type=click.IntRange(1, 10_000), help="Fronts alive; by default as the file says.")
@click.option("--zones", type=click.IntRange(1, 100), default=1, show_default=True)
@click.option("--sites", type=click.IntRange(1, 1000), default=1, show_default=True)
@json_option
def bounds(file: str, fronts: int | None, zones: int, sites: int, as_json: bool) -> None:
    """Compute what the settings in FILE promise: the delay of an event, calls and streams."""
    from limepath.discovery.bounds import bounds as compute_bounds

    settings = read_settings(file).listing
    fleet_size = fronts or settings.fronts
    computed = compute_bounds(settings, fleet_size, zones, sites)
    labels = {
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
        CheckResult(labels[name], value if name in ("calls", "streams") else seconds(value))
        for name, value in computed._asdict().items()
    ]
    if settings.site:
        rows += tree_rows(settings, fleet_size, zones, sites)
    conclude(rows, as_json, fronts=fleet_size, zones=zones)


def tree_rows(settings: DiscoverySettings, fronts: int, zones: int, sites: int) -> list[CheckResult]:
    """Compute what the settings promise of the tree of subscribers that the front is part of."""
    from limepath.discovery.bounds import tree_bounds

    computed = tree_bounds(settings, fronts, zones, sites)
    return [
        CheckResult("hops from a root to a front, at the most", computed.hops),
        CheckResult("fronts that one sends events to, at the most", computed.children),
        CheckResult(
            "an event at every front, a front with children gone in that moment, s",
            seconds(computed.inner_lost),
        ),
        CheckResult("bytes a second sent by any front, whatever others lack", computed.max_bytes),
    ]


@command.command("show")
@click.argument("where", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print all as JSON.")
def show(where: str, as_json: bool) -> None:
    """Show a running front's endpoint list: revision, age, subscriptions, counts.

    WHERE is the front's control socket, or its peers file, which names the socket. Status 1 when nothing
    answers there.
    """
    try:
        view = request_view(read_settings(where).control if where.endswith(".ini") else where, "listing")
    except ControlSocketError as error:
        fail(error, STATUS_FAILED)
    if as_json:
        click.echo(json.dumps(view, indent=1))
    else:
        print_view(view)


def print_view(view: dict[str, Any]) -> None:
    """Print a view of the endpoint list, as the control socket gives it, for people to read."""
    age = (
        "never confirmed"
        if view["confirmed_us_ago"] is None
        else f"confirmed {view['confirmed_us_ago'] / 1e6:.1f} s ago"
    )
    click.echo(
        f"event {view['number']} (generation {view['generation']}), {view['members']} members, {age}"
        + (", LATE" if view["late"] else "")
    )
    click.echo(
        f"{view['role']} in zone {view['zone']}, stream {view['stream']}, {view['followers']} followers"
    )
    if view["site"]:
        click.echo(
            f"site {view['site']}, {view['hops']} hops at the most, {view['children']} children, events from"
            f" {view['reaches']} on" + (", CUT SHORT by window-bytes" if view["window_cut_short"] else "")
        )
    for source in view["follows"]:
        last_message = (
            "not heard yet"
            if source["heard_us_ago"] is None
            else f"heard {source['heard_us_ago'] / 1e6:.1f} s ago, at {source['number']}"
        )
        error = f", {source['flaw']}" if source["flaw"] else ""
        click.echo(f"follows {source['token']}: {last_message}{error}")
    click.echo(", ".join(f"{name} {count}" for name, count in view["counts"].items()))
