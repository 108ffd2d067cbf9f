"""`limepath settings`: check settings files."""

import json
import os
from typing import Any

import click

from limepath.cli.output import fail_configuration
from limepath.configuration import peers_file, platform
from limepath.configuration.ini import SettingError


@click.group("settings")
def command() -> None:
    """Settings files: their contents and validity."""


@command.command("check")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print the values as JSON.")
def check(file: str, as_json: bool) -> None:
    """Check a settings FILE: a front's JSON file if its name ends in .json, a peers file (INI) otherwise.

    Opens no socket and writes nothing. At the first error, prints one line that names section and key, and
    exits with status 2.
    """
    try:
        values = front_values(file) if file.endswith(".json") else peers_values(file)
    except (SettingError, platform.ConfigurationError) as error:
        fail_configuration(error)
    if as_json:
        click.echo(json.dumps(values, indent=1))
        return
    click.echo(f"{file}: can be used")
    for name, value in values.items():
        click.echo(f"  {name}: {json.dumps(value)}")


def front_values(file: str) -> dict[str, Any]:
    """Read a front's JSON file; return the values to print."""
    settings = platform.read(os.environ | {platform.CONFIGURATION: file})
    return {
        "name": settings.name,
        "listen": settings.listen,
        "services": [name.decode() for name in settings.services],
    }


def peers_values(file: str) -> dict[str, Any]:
    """Read a peers file; return all settings as values that JSON can represent."""
    settings = peers_file.read(file)
    return settings._asdict() | {
        "spans": settings.spans._asdict(),
        "leasing": settings.leasing._asdict(),
        "plans": [plan._asdict() | {"mode": plan.mode.name} for plan in settings.plans],
    }
