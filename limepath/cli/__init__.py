"""The command line `limepath GROUP VERB`. Each group has its own module, which is imported on first use."""

import sys
from importlib import import_module

try:
    import click
except ImportError:  # click belongs to the extra 'operator', which is not always installed
    click = None  # type: ignore[assignment]

COMMANDS = {
    "run": "Run one front.",
    "duties": "Periodic duties, divided among instances.",
    "discovery": "The endpoint list that the fronts of a fleet share.",
    "coldstart": "Simultaneous starts of many fronts.",
    "scale": "Resource use by fleet size, and the capacity page.",
    "membership": "The members of the group of instances that share work.",
    "settings": "Settings files.",
    "keys": "Certificates and keys for TLS to servers.",
}
# Present names by former names. Former names still work, but `--help` does not list them.
FORMER_NAMES = {"listing": "discovery", "peers": "membership", "opening": "settings"}

if click:

    class LazyGroup(click.Group):
        """Imports the module of a group when the group is used by its present or former name."""

        def list_commands(self, ctx: click.Context) -> list[str]:
            """Return the present names in the order of `COMMANDS`."""
            return list(COMMANDS)

        def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
            """Return the group or command with a present or former name, or None for an unknown name."""
            name = FORMER_NAMES.get(cmd_name, cmd_name)
            return import_module(f"limepath.cli.{name}").command if name in COMMANDS else None

        def resolve_command(
            self, ctx: click.Context, args: list[str]
        ) -> tuple[str | None, click.Command | None, list[str]]:
            """Resolve a former name to the present name, which help and errors then show."""
            return super().resolve_command(ctx, [FORMER_NAMES.get(args[0], args[0]), *args[1:]])

        def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
            """Write the list of commands without importing their modules."""
            with formatter.section("Commands"):
                formatter.write_dl(list(COMMANDS.items()))

    @click.command(
        cls=LazyGroup, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110}
    )
    @click.version_option(package_name="limepath", message="limepath %(version)s")
    def root() -> None:
        """A caching reverse proxy for large objects behind links of little bandwidth.

        `limepath COMMAND --help` describes each command. Exit status: 0 for success; 1 if a stated bound is
        exceeded, nothing answered or nothing was found; 2 for invalid settings or an invalid command line.
        """


def main() -> int:
    """Run the command line; return the exit status unless click exits the process itself."""
    if not click:
        print(
            "limepath: the command line requires the extra 'operator': pip install 'limepath[operator]'",
            file=sys.stderr,
        )
        return 2
    return root(prog_name="limepath")
