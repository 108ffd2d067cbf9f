"""What a drill or a run in virtual time states: rows of what was measured, the bound where there is one, the
verdict.
"""

from typing import Any, NamedTuple


class Row(NamedTuple):
    """`bound` None where none is stated; `holds` tells whether `measured` keeps it."""

    what: str
    measured: Any
    bound: Any = None
    holds: bool = True


def at_most(what, measured, bound):
    return Row(what, measured, bound, measured <= bound)


def seconds(span):
    """Whole microseconds in seconds, for a table."""
    return None if span is None else round(span / 1e6, 3)


def table(rows):
    """Rows as text: what, measured, bound and verdict, in columns."""
    drawn = [
        (
            row.what,
            shown(row.measured),
            shown(row.bound),
            "-" if row.bound is None else "holds" if row.holds else "BROKEN",
        )
        for row in rows
    ]
    wide = [max(len(row[i]) for row in drawn) for i in range(3)]
    return "\n".join(
        f"{what:<{wide[0]}}  {value:>{wide[1]}}  {bound:>{wide[2]}}  {verdict}"
        for what, value, bound, verdict in drawn
    )


def shown(value):
    if value is None:
        return "-"
    return (
        f"{value:,.3f}".rstrip("0").rstrip(".")
        if isinstance(value, float) and value != int(value)
        else (f"{value:,.1f}" if isinstance(value, float) else str(value))
    )


def hold(rows):
    return all(row.holds for row in rows)


def plain(rows, **facts):
    """For --json."""
    return facts | {"holds": hold(rows), "rows": [row._asdict() for row in rows]}
