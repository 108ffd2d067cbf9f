"""`limepath membership`: the members of the group that a running instance belongs to."""

import json
from typing import Any

import click

from limepath.cli.output import STATUS_FAILED, fail, fail_configuration
from limepath.configuration import peers_file
from limepath.configuration.ini import SettingError
from limepath.membership.control import ControlSocketError, request_view


@click.group("membership")
def command() -> None:
    """The members of the group of instances that share work."""


def columns(rows: list[dict[str, Any]], names: list[str]) -> str:
    """Return the fields `names` of `rows` as a table with a heading and aligned columns."""
    lines = [names, *([str(row.get(name, "")) for name in names] for row in rows)]
    widths = [max(len(line[column]) for line in lines) for column in range(len(names))]
    return "\n".join(
        "  ".join(f"{cell:<{width}}" for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )


@command.command("show")
@click.argument("where", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print the whole view as JSON.")
def show(where: str, as_json: bool) -> None:
    """Show the view of a running instance: members, states, incarnations, owned duties, epochs.

    WHERE is the instance's control socket, or its peers file, which names the socket. Status 1 if nothing
    answers there.
    """
    try:
        view = request_view(control_socket(where), "peers")
    except SettingError as error:
        fail_configuration(error)
    except ControlSocketError as error:
        fail(error, STATUS_FAILED)
    if as_json:
        click.echo(json.dumps(view, indent=1))
    else:
        print_view(view)


def control_socket(where: str) -> str:
    """Return the path of a control socket; `where` is that path, or a peers file that names it.

    Raises SettingError if the peers file is invalid or names no control socket.
    """
    if not where.endswith(".ini"):
        return where
    settings = peers_file.read(where)
    if not settings.control:
        raise SettingError(f"{where}: [instance] control: missing; expected the path of a control socket")
    return settings.control


def print_view(view: dict[str, Any]) -> None:
    """Print a view of the membership from the control socket as text."""
    me = view["me"]
    click.echo(
        f"{me['name']} ({me['token']}), life {me['life']}"
        + (", leaving" if me["leaving"] else "")
        + ("" if me["joined"] else ", not joined yet")
        + (", votes" if me["votes"] else "")
    )
    click.echo("\n" + columns(view["members"], ["name", "state", "address", "life", "incarnation", "token"]))
    click.echo("\n" + columns(view["duties"], ["name", "mode", "targets", "owned", "epoch"]))
    counts = [{"count": name, "value": value} for name, value in view["counts"].items()]
    click.echo("\n" + columns(counts, ["count", "value"]))
