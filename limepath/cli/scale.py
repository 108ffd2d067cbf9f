"""limepath scale"""

from importlib import import_module
from importlib.util import find_spec

import click

RUN = "limepath.cli.scale_run"  # `run`; it stands in a file of its own
DAMAGED, DIFFERS = 2, 1  # exit statuses
FILE, PAGE, RUNS = "docs/measurements/scale.json", "docs/CAPACITY.md", "docs/measurements/scale"


class ScaleGroup(click.Group):
    """Loads `run` when it is asked for, and works without it."""

    def list_commands(self, context):
        names = super().list_commands(context)
        return sorted([*names, "run"] if find_spec(RUN) else names)

    def get_command(self, context, name):
        if name == "run" and find_spec(RUN):
            module = import_module(RUN)
            return getattr(module, "run", None) or module.command
        return super().get_command(context, name)


@click.group("scale", cls=ScaleGroup)
def command():
    """What a size costs: hollow fronts beside real ones, slopes of each role, the capacity page."""


file_option = click.option(
    "--file", type=click.Path(dir_okay=False), default=FILE, show_default=True, help="The measured file."
)
page_option = click.option("--page", type=click.Path(dir_okay=False), default=PAGE, show_default=True)
runs_option = click.option(
    "--runs",
    type=click.Path(file_okay=False),
    default=RUNS,
    show_default=True,
    help="Folder of saved scale runs (--json of `scale run`).",
)


@command.command("measure")
@click.option("--role", "roles", multiple=True, help="Only this role, merged into the file; repeatable.")
@click.option("--list", "listing", is_flag=True, help="Tell the roles and end.")
@file_option
@page_option
@runs_option
def measure(roles, listing, file, page, runs):
    """Measure each role alone at five sizes or more; write the file, its charts and the page.

    One measurement runs at a time. Processor times are user and system time of the measured process. Needs
    the extra 'scale'. Status 2: an unknown role, or a file that cannot be used.
    """
    from limepath.scale.capacity import write_page
    from limepath.scale.measure import measure_roles
    from limepath.scale.measured import DamagedFile
    from limepath.scale.roles import ROLES

    if listing:
        return click.echo("\n".join(f"{name:12} {role.purpose}" for name, role in ROLES.items()))
    for name in roles:
        if name not in ROLES:
            raise click.BadParameter(
                f"{name!r}: no such role; there are {', '.join(ROLES)}", param_hint="--role"
            )
    try:
        measure_roles(file, roles or tuple(ROLES), say=lambda line: click.echo(line, err=True))
        write_page(file, page, runs)
    except DamagedFile as flaw:
        fail(flaw, DAMAGED)
    click.echo(page)


@command.command("check")
@click.option("--write", is_flag=True, help="Write the page anew from the file.")
@file_option
@page_option
@runs_option
def check(write, file, page, runs):
    """Work the capacity page out again from the measured file.

    Status 1 where page and file differ, with the first line that does; 2 for a missing or damaged file.
    """
    from limepath.scale.capacity import first_difference, write_page
    from limepath.scale.measured import DamagedFile

    try:
        if write:
            write_page(file, page, runs)
            return click.echo(page)
        difference = first_difference(file, page, runs)
    except DamagedFile as flaw:
        fail(flaw, DAMAGED)
    if difference:
        fail(difference, DIFFERS)
    click.echo(f"{page} is what {file} gives")


def fail(flaw, status):
    click.echo(f"limepath: {flaw}", err=True)
    raise click.exceptions.Exit(status)
