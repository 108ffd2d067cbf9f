"""Results of a drill or simulation: what was measured, its bound if there is one, and whether it was kept.

The printed words (`holds`, `BROKEN`) and the keys of `--json`, which other programs read, are mapped here.
"""

from collections.abc import Iterable, Sequence
from typing import Any, NamedTuple

MICROSECONDS_PER_SECOND = 1e6


class CheckResult(NamedTuple):
    """One measured value.

    Attributes:
        what: what was measured, with its unit.
        measured: the value.
        bound: the bound that it is checked against, or None where none is stated.
        passed: whether `measured` keeps the bound.
    """

    what: str
    measured: Any
    bound: Any = None
    passed: bool = True


def at_most(what: str, measured: Any, bound: Any) -> CheckResult:
    """Check that a value is no larger than its bound."""
    return CheckResult(what, measured, bound, measured <= bound)


def seconds(duration_us: float | None) -> float | None:
    """Return microseconds as seconds for a table; None stays None."""
    return None if duration_us is None else round(duration_us / MICROSECONDS_PER_SECOND, 3)


def format_table(results: Iterable[CheckResult]) -> str:
    """Return the results as text in four columns: what, measured, bound, and whether the bound holds."""
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
    """Return a value as a table shows it: `-` for None, a float with one decimal or up to three."""
    if value is None:
        return "-"
    if not isinstance(value, float):
        return str(value)
    if value == int(value):
        return f"{value:,.1f}"
    return f"{value:,.3f}".rstrip("0").rstrip(".")


def all_passed(results: Iterable[CheckResult]) -> bool:
    """Return whether every stated bound was kept."""
    return all(result.passed for result in results)


def json_fields(results: Sequence[CheckResult], /, **facts: Any) -> dict[str, Any]:
    """Return what `--json` prints: the facts, whether all bounds hold, and the results."""
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
