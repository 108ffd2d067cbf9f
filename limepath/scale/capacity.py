"""The capacity page, worked out from the measured file and saved scale runs; written, or compared.

The page is a function of both and of the program's own constants: the same input gives the same text.
"""

import os
from itertools import zip_longest

from limepath.scale import capacity_appendix as appendix
from limepath.scale import capacity_front, capacity_hours, capacity_roles
from limepath.scale import capacity_text as text
from limepath.scale.capacity_lines import Figures
from limepath.scale.capacity_runs import read_runs
from limepath.scale.capacity_size import BUDGET, SIZE
from limepath.scale.estimates import Provenance
from limepath.scale.measured import read

FULL = 0.7  # of a core, the most that one process may be given
COLUMNS = (
    "cost",
    "figure",
    "word",
    "slope",
    "measured at",
    "error",
    "factor",
    "budget",
    "share",
    "mechanism",
)
CALM = (
    capacity_front.data_path,
    capacity_front.control,
    capacity_roles.relay,
    capacity_roles.list_service,
    capacity_roles.voter,
    capacity_roles.cache,
    capacity_roles.machines,
    capacity_roles.console,
)


def page(file, runs):
    """Give the page's text; raise DamagedFileError."""
    measured, saved = read(file), read_runs(runs)
    figures = Figures(measured)
    calm = [lines(figures) for lines in CALM]
    other = capacity_hours.other_hours(figures)
    parts = [
        text.HEAD,
        size_section(),
        first_section([line for lines in calm for line in lines] + other),
        calm_section(calm),
        hours_section(other),
        cores_section(figures),
        know_section(figures),
        appendix.slopes_section(measured),
        appendix.runs_section(saved),
        appendix.reasons_section([line for lines in calm for line in lines] + other),
        appendix.circumstances_section(measured),
    ]
    return "\n".join(parts)


def size_section():
    size = SIZE
    rows = [
        ("fronts", f"{size.fronts:,} at {size.sites} sites, {size.zones} zones, {size.regions} regions"),
        (
            "fronts of a site, zone, region",
            f"{size.site_fronts:.1f}, {size.zone_fronts}, {size.region_fronts}",
        ),
        (
            "caches",
            f"{size.caches:,}; {size.caches / size.sites:.1f} by site, {size.caches // size.zones} by zone",
        ),
        ("parents", f"{size.parents} (assumed)"),
        ("requests", f"{size.requests:,} a second, {size.front_requests:,} by front"),
        ("answers", f"{size.front_bits / 1e9:.2f} Gbit/s by front, {size.body / 1000:.0f} KB in the mean"),
        ("purges", f"{size.purges} a second, everywhere within {size.everywhere} s"),
        (
            "budget of a front's control",
            f"{BUDGET.cpu}% of a core, {BUDGET.memory:g} MB, {BUDGET.bytes:g} KB a second",
        ),
    ]
    return "## The size\n\n" + text.table(("what", "figure"), rows)


def first_section(lines):
    over = [line for line in lines if line.share is not None and line.share > 1]
    over.sort(key=lambda line: -line.share)
    rows = [
        (
            line.role,
            line.hour.value,
            line.what,
            f"{text.number(line.figure.value)} {line.figure.unit}",
            f"{text.number(line.share)} times its budget",
            line.figure.provenance.value,
        )
        for line in over
    ]
    lacking = [line for line in lines if line.mechanism == "none"]
    rows += [(line.role, line.hour.value, line.what, "-", "**no mechanism**", "missing") for line in lacking]
    head = ("role", "hour", "cost", "figure", "by how much", "word")
    return f"## What breaks first\n\n{text.FIRST}\n" + text.table(head, rows)


def row_of(line):
    figure, slope = line.figure, line.figure.slope
    word = (
        f"**{figure.provenance.value}**"
        if figure.provenance is Provenance.MISSING
        else figure.provenance.value
    )
    budget = "-" if line.budget is None else f"{line.budget:g}"
    error = "-" if slope is None else text.percent(slope.error) + (", wrong" if slope.wrong else "")
    return (
        f"{line.kind.value}: {line.what}",
        "-" if figure.value is None else f"{text.number(figure.value)} {figure.unit}",
        word,
        text.formula(slope),
        text.sizes(figure.sizes),
        error,
        text.number(figure.factor) if figure.factor > 1 else "-",
        budget,
        text.percent(line.share),
        line.mechanism or "-",
    )


def calm_section(groups):
    parts = ["## A calm hour, by role\n"]
    for lines in groups:
        role = lines[0].role
        parts += [f"### {role[0].upper()}{role[1:]}\n", text.table(COLUMNS, [row_of(line) for line in lines])]
    return "\n".join(parts)


def hours_section(lines):
    parts = ["## The other hours\n"]
    for hour in dict.fromkeys(line.hour for line in lines):
        rows = [(line.role, *row_of(line)) for line in lines if line.hour is hour]
        parts += [f"### {hour.value[0].upper()}{hour.value[1:]}\n", text.table(("role", *COLUMNS), rows)]
    hours = capacity_hours.least_rollout()
    parts.append(
        f"News of restarts fits into a calm hour's checks only if all fronts take {text.number(hours)} hours "
        "at the least (assumed, by the program's constants); faster, news piles up and views are late.\n"
    )
    return "\n".join(parts)


def cores_section(figures):
    held, lacked = (figures.measured.series("data", name) for name in ("held", "lacked"))
    parts = ["## What a request costs\n"]
    if held and lacked:
        lacking = dict(lacked.points)
        rows = [
            (text.number(size), text.number(cost), text.number(1e6 / cost), text.number(lacking.get(size)))
            for size, cost in held.points
        ]
        head = ("body, bytes", "held, us of CPU", "held, requests a second and core", "lacked, us of CPU")
        parts.append(text.table(head, rows))
    misses, parents = capacity_front.MISSES, SIZE.parents
    parts.append(text.CORES.format(full=FULL, misses=misses, parents=parents))
    rows = []
    for what, caches in scopes():
        cores = capacity_front.cores(figures, caches)
        processes = (
            "-" if cores.value is None else f"{max(1, -(-int(cores.value * 1000) // int(FULL * 1000)))}"
        )
        rows.append((what, text.number(caches), text.number(cores.value), processes, cores.provenance.value))
    head = (f"a front of {SIZE.front_requests:,} requests/s sees", "caches", "cores", "processes", "word")
    parts.append(text.table(head, rows))
    return "\n".join(parts)


def scopes():
    """What a front may see: (scope, caches)."""
    return (
        ("its site's caches", round(SIZE.caches / SIZE.sites)),
        ("its zone's", SIZE.caches // SIZE.zones),
        ("its region's", SIZE.caches // SIZE.regions),
        ("all", SIZE.caches),
    )


def know_section(figures):
    fronts = (SIZE.site_fronts, SIZE.zone_fronts, SIZE.region_fronts, SIZE.fronts)
    rows = []
    for (what, caches), others in zip(scopes(), fronts, strict=True):
        rows.append(
            (
                what.removesuffix("'s caches").removesuffix("'s"),
                text.number(caches),
                text.number(figures.at("decision", "caches", caches).value),
                text.number(figures.at("idle", "cpu", caches).value),
                text.number(figures.at("listing", "memory", caches).value),
                text.number(capacity_front.probes(figures, "bytes", caches).value),
                text.number(round(others)),
                text.number(figures.at("view", "memory", others).value),
                text.number(figures.at("membership", "join bytes", others).value),
            )
        )
    head = (
        "scope",
        "caches",
        "decision, us",
        "idle, % of a core",
        "list, MB",
        "check results, KB/s",
        "fronts",
        "view, MB",
        "a join, KB",
    )
    return f"## What one front must know\n\n{text.KNOW}\n{text.table(head, rows)}\n{text.MUST}"


# The page's file


def write_page(file, path, runs):
    """Write the page; raise DamagedFileError, with nothing written, where its input cannot be used."""
    told = page(file, runs)
    os.makedirs(os.path.dirname(os.path.abspath(path)), exist_ok=True)
    with open(path + ".new", "w", encoding="utf-8") as out:
        out.write(told)
    os.replace(path + ".new", path)


def first_difference(file, path, runs):
    """The first line in which the page is not what its input gives, told in a line, or None."""
    wanted = page(file, runs).splitlines()
    try:
        with open(path, encoding="utf-8") as told:
            held = told.read().splitlines()
    except (OSError, UnicodeDecodeError) as flaw:
        return f"{path}: {flaw}"
    for at, (one, other) in enumerate(zip_longest(held, wanted), 1):
        if one != other:
            return f"{path}: line {at} differs: {shown(one)}; {file} gives {shown(other)}"
    return None


def shown(line):
    return "nothing" if line is None else repr(line if len(line) < 160 else line[:157] + "...")
