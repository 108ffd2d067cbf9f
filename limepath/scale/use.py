"""Resource use of the fronts in a scale run by phase, role and subsystem, as statistics and as a table."""

import numpy

from limepath.report_table import format_value

STATISTICS = ("median", "99%", "worst")
MEASURE_TITLES = {
    "cpu": "processor time, % of a core",
    "sent_bytes": "sent, bytes a second",
    "sent_datagrams": "sent, datagrams a second",
    "received_bytes": "received, bytes a second",
    "received_datagrams": "received, datagrams a second",
}


def statistics(values):
    """Return the median, the 99th percentile and the maximum of the values; None if there are none."""
    if not values:
        return None
    array = numpy.asarray(values, dtype=float)
    return {
        "median": float(numpy.median(array)),
        "99%": float(numpy.percentile(array, 99)),
        "worst": float(array.max()),
    }


def front_role(run, name):
    """Return the role of a hollow front ("root relay", "inner node", "leaf"), or "real"."""
    if run.fleet.who[name] in run.fleet.real:
        return "real"
    return run.roles.get(name, "leaf")


def use_by_role(run):
    """Return {phase: {role: {measure: {subsystem: statistics}}}}; the role "all" covers all hollow fronts."""
    result = {}
    for phase, uses in run.seen.uses.items():
        groups = {"all": []}
        for name, use in uses.items():
            groups["all"].append(use)
            groups.setdefault(front_role(run, name), []).append(use)
        result[phase] = {role: use_statistics(group) for role, group in groups.items()}
    return result


def use_statistics(uses):
    rates = [use.rates() for use in uses]
    result = {"fronts": len(uses)}
    for measure in MEASURE_TITLES:
        result[measure] = {
            subsystem: statistics([rate[measure][subsystem] for rate in rates])
            for subsystem in rates[0][measure]
        }
    result["peak_bytes"] = statistics([use.peak_bytes for use in uses])
    result["peak_datagrams"] = statistics([use.peak_datagrams for use in uses])
    return result


def memory_by_role(run):
    groups = {}
    for name, size in run.seen.memory.items():
        groups.setdefault(front_role(run, name), []).append(size)
    return {role: statistics(sizes) for role, sizes in groups.items()}


def use_table(use, phase="calm"):
    """Format the use of the fronts in a phase, by subsystem and by role, as lines of a table."""
    roles = use.get(phase)
    if not roles:
        return []
    lines = [f"{phase}: per hollow front, " + ", ".join(STATISTICS)]
    for measure, title in MEASURE_TITLES.items():
        lines.append(f"  {title}")
        for subsystem, values in roles["all"][measure].items():
            lines.append(f"    {subsystem:<12}" + format_statistics(values, measure))
        for role, result in roles.items():
            if role != "all":
                lines.append(
                    f"    {role:<12}"
                    + format_statistics(result[measure]["all"], measure)
                    + f"  of {result['fronts']}"
                )
    return lines


def format_statistics(values, measure):
    scale = 100 if measure == "cpu" else 1
    return "".join(f"{format_value(round(values[statistic] * scale, 2)):>14}" for statistic in STATISTICS)
