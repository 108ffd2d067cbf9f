"""How commands end: a table or JSON with the status that follows from it, or one line with an error."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import NoReturn

import click

from limepath.report_table import CheckResult, all_passed, format_table, json_fields

STATUS_FAILED = 1  # a stated bound is broken, or nothing answered
STATUS_UNUSABLE = 2  # settings or a command line that cannot be used


def conclude(
    rows: Sequence[CheckResult], as_json: bool, lines: Iterable[str] = (), **facts: object
) -> NoReturn:
    """Print the table or JSON; end with status 1 when a bound is broken, 0 otherwise."""
    if as_json:
        click.echo(json.dumps(json_fields(rows, **facts), indent=1, default=str))
    else:
        for line in lines:
            click.echo(line)
        click.echo(format_table(rows))
        click.echo("all bounds hold" if all_passed(rows) else "a stated bound is BROKEN")
    sys.exit(0 if all_passed(rows) else STATUS_FAILED)


def fail(error: object, status: int = STATUS_UNUSABLE) -> NoReturn:
    """Print one line with the error on standard error; end with `status`."""
    click.echo(f"limepath: {error}", err=True)
    sys.exit(status)


def fail_configuration(error: object) -> NoReturn:
    """End with status 2 over settings that cannot be used."""
    fail(f"configuration: {error}")
