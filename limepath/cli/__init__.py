"""The command line: `limepath GROUP VERB`, one file a group, imported when the group is used."""

import sys
from importlib import import_module

try:
    import click
except ImportError:  # the small set of libraries that `run` needs is without it
    click = None  # type: ignore[assignment]

COMMANDS = {
    "run": "Run one front.",
    "duties": "Periodic duties that instances divide among themselves.",
    "discovery": "The endpoint list, shared by the fronts of a fleet.",
    "coldstart": "Many fronts that start at once.",
    "scale": "What a size costs: slopes of each role, the capacity page.",
    "membership": "The instances that know each other and share work.",
    "settings": "Settings files.",
    "keys": "Certificates and keys for TLS to servers.",
}
# Former names of groups; they work, and `--help` does not list them.
FORMER_NAMES = {"listing": "discovery", "peers": "membership", "opening": "settings"}

if click:

    class LazyGroup(click.Group):
        """Imports the file of a group when the group is used, under its present or its former name."""

        def list_commands(self, ctx: click.Context) -> list[str]:
            """Return the present names, in the sequence of `COMMANDS`."""
            return list(COMMANDS)

        def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
            """Return the group or command with that name, or None where there is none."""
            name = FORMER_NAMES.get(cmd_name, cmd_name)
            return import_module(f"limepath.cli.{name}").command if name in COMMANDS else None

        def resolve_command(
            self, ctx: click.Context, args: list[str]
        ) -> tuple[str | None, click.Command | None, list[str]]:
            """Resolve a former name to the present one, so that help and errors show the present one."""
            return super().resolve_command(ctx, [FORMER_NAMES.get(args[0], args[0]), *args[1:]])

        def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
            """Write the list of commands without importing them."""
            with formatter.section("Commands"):
                formatter.write_dl(list(COMMANDS.items()))

    @click.command(
        cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110}
    )
    @click.version_option(package_name="limepath", message="limepath %(version)s")
    def root() -> None:
        """A caching reverse proxy for large objects behind links of little bandwidth.

        `limepath COMMAND --help` describes each command. Exit status: 0 success; 1 a stated bound is broken,
        or nothing answered or was found; 2 settings or a command line that cannot be used.
        """


def main() -> int:
    """Run the command line; return the exit status where click does not end the program itself."""
    if not click:
        print(
            "limepath: the command line needs the extra 'operator': pip install 'limepath[operator]'",
            file=sys.stderr,
        )
        return 2
    return root(prog_name="limepath")
