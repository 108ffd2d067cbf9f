"""`limepath discovery`: the endpoint list that the fronts of a fleet share."""

import json
from typing import Any

import click

from limepath.cli.options import json_option
from limepath.cli.output import STATUS_FAILED, exit_with_results, fail, fail_configuration
from limepath.configuration import peers_file
from limepath.configuration.ini import SettingError
from limepath.configuration.peers_file import PeersSettings
from limepath.configuration.sharing_settings import DiscoverySettings
from limepath.membership.control import ControlSocketError, request_view
from limepath.report_table import CheckResult, seconds


@click.group("discovery")
def command() -> None:
    """The endpoint list (caches, drains, purges), sent to a few fronts that distribute it to the fleet."""


def read_settings(file: str) -> PeersSettings:
    """Read a peers file; exit with status 2 if it is invalid or has no section [listing]."""
    try:
        settings = peers_file.read(file)
        if not settings.listing:
            raise SettingError(
                f"{file}: [listing]: missing; without it each front follows the change log by itself"
            )
    except SettingError as error:
        fail_configuration(error)
    return settings


@command.command("bounds")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--fronts", type=click.IntRange(1, 10_000), help="Number of fronts. Default: the value of fronts in FILE."
)
@click.option("--zones", type=click.IntRange(1, 100), default=1, show_default=True)
@click.option("--sites", type=click.IntRange(1, 1000), default=1, show_default=True)
@json_option
def bounds(file: str, fronts: int | None, zones: int, sites: int, as_json: bool) -> None:
    """Compute the bounds that follow from the settings in FILE: delays of events, calls and streams."""
    from limepath.discovery.bounds import bounds as compute_bounds

    settings = read_settings(file).listing
    fleet_size = fronts or settings.fronts
    computed = compute_bounds(settings, fleet_size, zones, sites)
    labels = {
        "event": "until an event is at every front, s",
        "repaired": "until an event is at every front if its push is lost, s",
        "relays_lost": "until an event is at every front if all relays of a zone fail, s",
        "stream_still": "until an event is at every front if the streams of all relays stall, s",
        "restored": "until an event is at every front if the service returns to an older state, s",
        "alone": "until an event is at a front that receives nothing from other fronts, s",
        "known_late": "until a front considers its list stale, s",
        "ready": "from the service's return until all fronts have the list, s",
        "calls": "calls per second of the whole fleet",
        "streams": "streams of a zone, at most",
    }
    rows = [
        CheckResult(labels[name], value if name in ("calls", "streams") else seconds(value))
        for name, value in computed._asdict().items()
    ]
    if settings.site:
        rows += tree_rows(settings, fleet_size, zones, sites)
    exit_with_results(rows, as_json, fronts=fleet_size, zones=zones)


def tree_rows(settings: DiscoverySettings, fronts: int, zones: int, sites: int) -> list[CheckResult]:
    """Compute the bounds that follow from the settings for the tree of subscribers."""
    from limepath.discovery.bounds import tree_bounds

    computed = tree_bounds(settings, fronts, zones, sites)
    return [
        CheckResult("hops from a root to a front, at most", computed.hops),
        CheckResult("fronts that one front sends events to, at most", computed.children),
        CheckResult(
            "until an event is at every front if a front with children fails, s",
            seconds(computed.inner_lost),
        ),
        CheckResult("bytes per second sent by a front, repairs included, at most", computed.max_bytes),
    ]


@command.command("show")
@click.argument("where", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print the whole view as JSON.")
def show(where: str, as_json: bool) -> None:
    """Show the endpoint list of a running front: revision, age, subscriptions, counters.

    WHERE is the front's control socket, or its peers file, which names the socket. Status 1 if nothing
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
    """Print a view of the endpoint list from the control socket as text."""
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
            f"site {view['site']}, at most {view['hops']} hops, {view['children']} children, events from"
            f" {view['reaches']} on" + (", CUT SHORT by window-bytes" if view["window_cut_short"] else "")
        )
    for source in view["follows"]:
        last_message = (
            "no message yet"
            if source["heard_us_ago"] is None
            else f"last message {source['heard_us_ago'] / 1e6:.1f} s ago, at event {source['number']}"
        )
        error = f", {source['flaw']}" if source["flaw"] else ""
        click.echo(f"follows {source['token']}: {last_message}{error}")
    click.echo(", ".join(f"{name} {count}" for name, count in view["counts"].items()))
