"""`limepath scale`: measures resource use by fleet size and writes the capacity page."""

from importlib import import_module
from importlib.util import find_spec

import click

from limepath.cli.output import fail

RUN = "limepath.cli.scale_run"  # module of the command `run`
DAMAGED, DIFFERS = 2, 1  # exit statuses
FILE, PAGE, RUNS = "docs/measurements/scale.json", "docs/CAPACITY.md", "docs/measurements/scale"


class ScaleGroup(click.Group):
    """Imports the module of `run` when that command is used, and works without that module."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return all names, with `run` if its module exists."""
        names = super().list_commands(ctx)
        return sorted([*names, "run"] if find_spec(RUN) else names)

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return the command with that name, or None for an unknown name."""
        if cmd_name == "run" and find_spec(RUN):
            module = import_module(RUN)
            return getattr(module, "run", None) or module.command
        return super().get_command(ctx, cmd_name)


@click.group("scale", cls=ScaleGroup)
def command() -> None:
    """Resource use by fleet size: runs of hollow and real fronts, slopes of each role, the capacity page."""


file_option = click.option(
    "--file",
    type=click.Path(dir_okay=False),
    default=FILE,
    show_default=True,
    help="File of the measurements.",
)
page_option = click.option("--page", type=click.Path(dir_okay=False), default=PAGE, show_default=True)
runs_option = click.option(
    "--runs",
    type=click.Path(file_okay=False),
    default=RUNS,
    show_default=True,
    help="Folder of saved runs (output of `scale run --json`).",
)


@command.command("measure")
@click.option(
    "--role", "roles", multiple=True, help="Measure only this role and merge it into the file; repeatable."
)
@click.option("--list", "list_roles", is_flag=True, help="List the roles and exit.")
@file_option
@page_option
@runs_option
def measure(roles: tuple[str, ...], list_roles: bool, file: str, page: str, runs: str) -> None:
    """Measure each role alone at five or more sizes; write the file, its charts and the page.

    One measurement runs at a time. Processor times are user plus system time of the measured process.
    Requires the extra 'scale'. Status 2 for an unknown role or an invalid file.
    """
    from limepath.scale.capacity import write_page
    from limepath.scale.measure import measure_roles
    from limepath.scale.measured import DamagedFileError
    from limepath.scale.roles import ROLES

    if list_roles:
        click.echo("\n".join(f"{name:12} {role.purpose}" for name, role in ROLES.items()))
        return
    for name in roles:
        if name not in ROLES:
            raise click.BadParameter(
                f"{name!r}: unknown role; expected one of {', '.join(ROLES)}", param_hint="--role"
            )
    try:
        measure_roles(file, roles or tuple(ROLES), say=lambda line: click.echo(line, err=True))
        write_page(file, page, runs)
    except DamagedFileError as error:
        fail(error, DAMAGED)
    click.echo(page)


@command.command("check")
@click.option("--write", is_flag=True, help="Write the page from the file.")
@file_option
@page_option
@runs_option
def check(write: bool, file: str, page: str, runs: str) -> None:
    """Compare the capacity page with the page computed from the measured file.

    Status 1 and the first differing line if they differ; 2 for a missing or damaged file.
    """
    from limepath.scale.capacity import first_difference, write_page
    from limepath.scale.measured import DamagedFileError

    try:
        if write:
            write_page(file, page, runs)
            click.echo(page)
            return
        difference = first_difference(file, page, runs)
    except DamagedFileError as error:
        fail(error, DAMAGED)
    if difference:
        fail(difference, DIFFERS)
    click.echo(f"{page} matches {file}")
