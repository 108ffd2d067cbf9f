"""The end of the capacity page: all slopes, saved scale runs, reasons, how it was measured."""

from limepath.scale import capacity_text as text
from limepath.scale.capacity_runs import broken_rows
from limepath.scale.slopes import InvalidPointsError, TooFewSizesError, fit_points


def slopes_section(measured):
    rows = []
    for name, role in measured.roles.items():
        for series in role.found.series:
            rows.append((name, *slope_row(series)))
    head = ("role", "cost", "size", "unit", "slope", "fitted", "kept out", "measured", "predicted", "error")
    parts = ["## All slopes\n", text.table(head, rows), looked_into(measured)]
    parts += [f"![{name}](measurements/scale-{name}.png)\n" for name in measured.roles]
    return "\n".join(parts)


def looked_into(measured):
    """For each model that is wrong, what was found."""
    rows = []
    for name, role in measured.roles.items():
        for series in role.found.series:
            try:
                wrong = fit_points(series.points).wrong
            except (TooFewSizesError, InvalidPointsError):
                continue
            if wrong:
                found = text.LOOKED_INTO.get((name, series.name), text.NOT_LOOKED_INTO)
                rows.append((name, series.what, found))
    if not rows:
        return "No model is wrong.\n"
    return "Models that are wrong, and what was found:\n\n" + text.table(("role", "cost", "found"), rows)


def slope_row(series):
    start = (series.what, series.size, series.unit)
    try:
        slope = fit_points(series.points)
    except (TooFewSizesError, InvalidPointsError) as flaw:
        return (*start, f"none: {flaw}", text.sizes(size for size, _ in series.points), *"----")
    return (
        *start,
        text.formula(slope),
        text.sizes(slope.sizes),
        text.number(slope.held_out_size),
        text.number(slope.measured),
        text.number(slope.predicted),
        text.percent(slope.error) + (", **the model is wrong**" if slope.wrong else ""),
    )


def runs_section(saved):
    if not saved:
        return "## Scale runs\n\nNone is saved beside the measured file.\n"
    rows = []
    for name, run in saved:
        worst, datagrams, cpu = (run.busiest(measure) for measure in ("sent_bytes", "sent_datagrams", "cpu"))
        broken = broken_rows(run)
        rows.append(
            (
                name,
                text.number(run.sizes.get("fronts")),
                run.broken or "-",
                ", ".join(run.faults) or "none",
                text.number(worst and worst / 1000),
                text.number(datagrams),
                text.number(cpu and 100 * cpu),
                f"{len(run.rows) - len(broken)} of {len(run.rows)}",
                "; ".join(broken) or "-",
            )
        )
    head = (
        "file",
        "fronts",
        "broken on purpose",
        "faults",
        "busiest front, calm, KB/s",
        "its datagrams/s",
        "its % of a core",
        "rows that hold",
        "rows that do not",
    )
    return "## Scale runs\n\nOf `limepath scale run --json`, all subsystems together.\n\n" + text.table(
        head, rows
    )


def reasons_section(lines):
    rows = [
        (line.role, line.hour.value, line.what, line.figure.provenance.value, line.figure.reason)
        for line in lines
        if line.figure.reason
    ]
    return "## Assumed, missing, and why\n\n" + text.table(("role", "hour", "cost", "word", "reason"), rows)


def circumstances_section(measured):
    rows = []
    for name, role in measured.roles.items():
        by = role.circumstances
        rows.append(
            (
                name,
                by.revision,
                by.date,
                f"{by.cores} cores, {by.machine}, {by.system}, Python {by.python}",
                " to ".join(f"{load:g}" for load in by.load),
                " to ".join(f"{speed:g}" for speed in by.yardstick),
                f"{by.seconds:g}",
                f"`{by.command}`",
                "; ".join(role.found.notes),
            )
        )
    head = (
        "role",
        "revision",
        "date",
        "machine",
        "load average",
        "yardstick, ms",
        "took, s",
        "command",
        "how",
    )
    parts = ["## How it was measured\n", text.table(head, rows)]
    for name, role in measured.roles.items():
        profile = [fact for fact in role.found.facts if fact.name.startswith("profile")]
        if profile:
            told = "\n".join(f"- {fact.what}: {fact.value:g} {fact.unit}" for fact in profile)
            parts.append(f"Where the time of `{name}` goes (functions' own time):\n\n{told}\n")
    return "\n".join(parts)
