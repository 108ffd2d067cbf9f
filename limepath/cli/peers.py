"""limepath peers"""

import json
import sys

import click

from limepath.configuration import peers_file
from limepath.configuration.ini import SettingError
from limepath.membership.control import NoAnswerError, ask


@click.group("peers")
def command():
    """The instances that share."""


def columns(rows, names):
    drawn = [names, *([str(row.get(name, "")) for name in names] for row in rows)]
    wide = [max(len(row[i]) for row in drawn) for i in range(len(names))]
    return "\n".join(
        "  ".join(f"{cell:<{width}}" for cell, width in zip(row, wide, strict=True)).rstrip() for row in drawn
    )


@command.command("show")
@click.argument("where", type=click.Path())
@click.option("--json", "as_json", is_flag=True, help="Print the whole view as JSON.")
def show(where, as_json):
    """What a running instance sees: members, states, incarnations, duties owned, epochs.

    WHERE is the instance's control socket, or its peers file, which names it. Status 1 when nobody answers
    there.
    """
    try:
        if where.endswith(".ini"):
            read = peers_file.read(where)
            if not read.control:
                raise SettingError(
                    f"{where}: [instance] control: missing; this instance has no control socket"
                )
            where = read.control
        told = ask(where, "peers")
    except SettingError as flaw:
        print(f"limepath: configuration: {flaw}", file=sys.stderr)
        sys.exit(2)
    except NoAnswerError as flaw:
        print(f"limepath: {flaw}", file=sys.stderr)
        sys.exit(1)
    if as_json:
        return click.echo(json.dumps(told, indent=1))
    me = told["me"]
    click.echo(
        f"{me['name']} ({me['token']}), life {me['life']}"
        + (", leaving" if me["leaving"] else "")
        + ("" if me["joined"] else ", not joined yet")
        + (", votes" if me["votes"] else "")
    )
    click.echo("\n" + columns(told["members"], ["name", "state", "address", "life", "incarnation", "token"]))
    click.echo("\n" + columns(told["duties"], ["name", "mode", "targets", "owned", "epoch"]))
    click.echo(
        "\n"
        + columns(
            [{"count": name, "value": value} for name, value in told["counts"].items()], ["count", "value"]
        )
    )
