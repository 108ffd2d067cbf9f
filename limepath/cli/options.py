"""Parameter types and options shared by several command groups."""

from collections.abc import Sequence

import click

from limepath.configuration import ini
from limepath.configuration.peers_file import MODES


class Duration(click.ParamType):
    """A duration with a unit, such as `250ms`. Its value is an integer in microseconds."""

    name = "duration"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> int:
        """Return the duration in microseconds; fail with a usage error for an invalid duration."""
        if isinstance(value, int):
            return value
        try:
            return ini.parse_duration(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)


class Share(click.ParamType):
    """A fraction from 0 to below 1, written as a decimal or a percentage."""

    name = "share"

    def convert(self, value: object, param: click.Parameter | None, ctx: click.Context | None) -> float:
        """Return the fraction; fail with a usage error for an invalid fraction."""
        try:
            share = value if isinstance(value, float) else ini.parse_fraction(value)
        except ValueError as error:
            self.fail(str(error), param, ctx)
        if not 0 <= share < 1:
            self.fail("expected a fraction from 0 to below 1", param, ctx)
        return share


mode_option = click.option(
    "--mode", type=click.Choice(list(MODES)), default="at-least-once", show_default=True
)
seed_option = click.option(
    "--seed", type=int, default=1, show_default=True, help="Seed of the random faults."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
faults_option = click.option(
    "--faults",
    "kinds",
    help="Kinds, separated by commas, or 'none'; '--faults help' lists them. Default: all.",
)
folder_option = click.option(
    "--keep", "folder", type=click.Path(file_okay=False), help="Keep settings and logs in this folder."
)


def chosen_kinds(text: str | None, kinds: Sequence[str], option: str) -> tuple[str, ...]:
    """Return the kinds of faults listed in the value of `option`, or all kinds if there is no value.

    Raises click.BadParameter for a name that is not in `kinds`.
    """
    chosen = tuple(text.split(",")) if text else tuple(kinds)
    for kind in chosen:
        if kind not in kinds:
            raise click.BadParameter(
                f"{kind!r}: unknown kind{ini.suggestion(kind, kinds)}", param_hint=option
            )
    return chosen


def integers(text: str) -> tuple[int, ...]:
    """Return the integers of a list separated by commas; raise click.BadParameter for any other item."""
    try:
        return tuple(int(number) for number in text.split(","))
    except ValueError:
        raise click.BadParameter(f"{text!r}: expected integers separated by commas") from None
