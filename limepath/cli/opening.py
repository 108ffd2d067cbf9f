"""limepath opening"""

import json
import os
import sys

import click

from limepath.configuration import peers_file, platform
from limepath.configuration.ini import SettingError


@click.group("opening")
def command():
    """Settings files: what they say, and whether they can be used."""


@command.command("check")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print what was read as JSON.")
def check(file, as_json):
    """Check a settings FILE: a peers file (INI), or a front's JSON where its name ends in .json.

    No socket is opened and nothing is written. Status 2 and one line with section and key at the first flaw.
    """
    try:
        if file.endswith(".json"):
            read = platform.read(os.environ | {platform.CONFIGURATION: file})
            told = {
                "name": read.name,
                "listen": read.listen,
                "services": [name.decode() for name in read.services],
            }
        else:
            read = peers_file.read(file)
            told = read._asdict() | {
                "spans": read.spans._asdict(),
                "leasing": read.leasing._asdict(),
                "plans": [plan._asdict() for plan in read.plans],
            }
            told["plans"] = [plan | {"mode": plan["mode"].name} for plan in told["plans"]]
    except (SettingError, platform.ConfigurationError) as flaw:
        print(f"limepath: configuration: {flaw}", file=sys.stderr)
        sys.exit(2)
    if as_json:
        click.echo(json.dumps(told, indent=1))
    else:
        click.echo(f"{file}: can be used")
        for name, value in told.items():
            click.echo(f"  {name}: {json.dumps(value)}")
