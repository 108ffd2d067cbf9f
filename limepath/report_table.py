"""Formats the measured values of a drill or simulation and their bounds as a table or for `--json`.

This module defines the printed words (`holds`, `BROKEN`) and the keys in the output of `--json`, which other
programs read.
"""

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

MICROSECONDS_PER_SECOND = 1e6


class CheckResult(NamedTuple):
    """A measured value and its bound.

    Attributes:
        what: the name of the measured quantity, with its unit.
        measured: the measured value.
        bound: the bound that the value was compared with, or None for no bound.
        passed: whether the value satisfies the bound.
    """

    what: str
    measured: Any
    bound: Any = None
    passed: bool = True


def at_most(what: str, measured: Any, bound: Any) -> CheckResult:
    """Return the result of checking that a value is at most its bound."""
    return CheckResult(what, measured, bound, measured <= bound)


def seconds(duration_us: float | None) -> float | None:
    """Convert microseconds to seconds, rounded to milliseconds; None stays None."""
    return None if duration_us is None else round(duration_us / MICROSECONDS_PER_SECOND, 3)


def format_table(results: Iterable[CheckResult]) -> str:
    """Format the results as a table with the columns what, measured, bound and status."""
    rows = [
        (
            result.what,
            format_value(result.measured),
            format_value(result.bound),
            _status(result),
        )
        for result in results
    ]
    widths = [max(len(row[column]) for row in rows) for column in range(3)]
    return "\n".join(
        f"{what:<{widths[0]}}  {measured:>{widths[1]}}  {bound:>{widths[2]}}  {status}"
        for what, measured, bound, status in rows
    )


def _status(result: CheckResult) -> str:
    if result.bound is None:
        return "-"
    return "holds" if result.passed else "BROKEN"


def format_value(value: Any) -> str:
    """Format a value: None as `-`, floats with one to three decimals, everything else with `str`."""
    if value is None:
        return "-"
    if not isinstance(value, float):
        return str(value)
    if value == int(value):
        return f"{value:,.1f}"
    return f"{value:,.3f}".rstrip("0").rstrip(".")


def all_passed(results: Iterable[CheckResult]) -> bool:
    """Return whether all results satisfy their bounds."""
    return all(result.passed for result in results)


def json_fields(results: Sequence[CheckResult], /, **facts: Any) -> dict[str, Any]:
    """Return the object that `--json` prints: the facts, whether all bounds hold, and the results."""
    rows = [
        {
            "what": result.what,
            "measured": result.measured,
            "bound": result.bound,
            "holds": result.passed,
        }
        for result in results
    ]
    return facts | {"holds": all_passed(results), "rows": rows}
