"""The command line: `limepath SUBSYSTEM VERB`, one file a subsystem, loaded when it is asked for."""

import sys
from importlib import import_module

try:
    import click
except ImportError:  # the lean set of `run` is without it
    click = None

COMMANDS = {
    "run": "Run one front.",
    "duties": "Periodic duties that instances divide among themselves.",
    "listing": "The list of caches, told once to a fleet.",
    "coldstart": "Many fronts that start at once.",
    "scale": "What a size costs: slopes of each role, the capacity page.",
    "peers": "The instances that share.",
    "opening": "Settings files.",
    "keys": "Certificates and keys for TLS to servers.",
}

if click:

    class Lazy(click.Group):
        def list_commands(self, context):
            return list(COMMANDS)

        def get_command(self, context, name):
            return import_module(f"limepath.cli.{name}").command if name in COMMANDS else None

        def format_commands(self, context, formatter):
            with formatter.section("Commands"):
                formatter.write_dl(list(COMMANDS.items()))

    @click.command(
        cls=Lazy, context_settings={"help_option_names": ["-h", "--help"], "max_content_width": 110}
    )
    @click.version_option(package_name="limepath", message="limepath %(version)s")
    def root():
        """A front for caches of large objects behind thin links.

        `limepath COMMAND --help` tells more of each. Exit status: 0 all well, 1 a stated bound is broken or
        nothing was found where it was asked for, 2 settings or words on the command line that can't be used.
        """


def main():
    if not click:
        print(
            "limepath: the command line needs the extra 'operator': pip install 'limepath[operator]'",
            file=sys.stderr,
        )
        return 2
    return root(prog_name="limepath")
