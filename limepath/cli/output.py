"""Prints the results or the error of a command and exits with the matching status."""

import json
import sys
from collections.abc import Iterable, Sequence
from typing import NoReturn

import click

from limepath.report_table import CheckResult, all_passed, format_table, json_fields

STATUS_FAILED = 1  # a stated bound is exceeded, or nothing answered
STATUS_INVALID = 2  # invalid settings or an invalid command line


def exit_with_results(
    rows: Sequence[CheckResult], as_json: bool, lines: Iterable[str] = (), **facts: object
) -> NoReturn:
    """Print the results as a table or JSON; exit with status 1 if a bound is exceeded, 0 otherwise."""
    if as_json:
        click.echo(json.dumps(json_fields(rows, **facts), indent=1, default=str))
    else:
        for line in lines:
            click.echo(line)
        click.echo(format_table(rows))
        click.echo("all bounds hold" if all_passed(rows) else "a stated bound is BROKEN")
    sys.exit(0 if all_passed(rows) else STATUS_FAILED)


def fail(error: object, status: int = STATUS_INVALID) -> NoReturn:
    """Print the error in one line on standard error; exit with `status`."""
    click.echo(f"limepath: {error}", err=True)
    sys.exit(status)


def fail_configuration(error: object) -> NoReturn:
    """Print an error about invalid settings; exit with status 2."""
    fail(f"configuration: {error}")
