"""What fronts used in a scale run, by phase, role and subsystem, and as a table."""

import numpy

from limepath.report_table import format_value

STATISTICS = ("median", "99%", "worst")
MEASURES = {
    "cpu": "processor time, % of a core",
    "sent_bytes": "sent, bytes a second",
    "sent_datagrams": "sent, datagrams a second",
    "received_bytes": "received, bytes a second",
    "received_datagrams": "received, datagrams a second",
}


def statistics(values):
    """{"median", "99%", "worst"} of some numbers; None where there are none."""
    if not values:
        return None
    held = numpy.asarray(values, dtype=float)
    return {
        "median": float(numpy.median(held)),
        "99%": float(numpy.percentile(held, 99)),
        "worst": float(held.max()),
    }


def role_of(run, name):
    """What a hollow front is to the others: "root relay", "inner node", "leaf"; or "real"."""
    if run.fleet.who[name] in run.fleet.real:
        return "real"
    return run.roles.get(name, "leaf")


def use_by_role(run):
    """{phase: {role: {measure: {subsystem: statistics}}}}; the role "all" holds every hollow front."""
    told = {}
    for phase, uses in run.seen.uses.items():
        groups = {"all": []}
        for name, use in uses.items():
            groups["all"].append(use)
            groups.setdefault(role_of(run, name), []).append(use)
        told[phase] = {role: use_of(group) for role, group in groups.items()}
    return told


def use_of(uses):
    rates = [use.rates() for use in uses]
    told = {"fronts": len(uses)}
    for measure in MEASURES:
        told[measure] = {
            subsystem: statistics([rate[measure][subsystem] for rate in rates])
            for subsystem in rates[0][measure]
        }
    told["peak_bytes"] = statistics([use.peak_bytes for use in uses])
    told["peak_datagrams"] = statistics([use.peak_datagrams for use in uses])
    return told


def memory_by_role(run):
    groups = {}
    for name, size in run.seen.memory.items():
        groups.setdefault(role_of(run, name), []).append(size)
    return {role: statistics(sizes) for role, sizes in groups.items()}


def use_table(use, phase="calm"):
    """What fronts used in a phase, by subsystem and by role, as lines."""
    roles = use.get(phase)
    if not roles:
        return []
    lines = [f"{phase}: per hollow front, " + ", ".join(STATISTICS)]
    for measure, title in MEASURES.items():
        lines.append(f"  {title}")
        for subsystem, values in roles["all"][measure].items():
            lines.append(f"    {subsystem:<12}" + three(values, measure))
        for role, told in roles.items():
            if role != "all":
                lines.append(
                    f"    {role:<12}" + three(told[measure]["all"], measure) + f"  of {told['fronts']}"
                )
    return lines


def three(values, measure):
    scale = 100 if measure == "cpu" else 1
    return "".join(f"{format_value(round(values[one] * scale, 2)):>14}" for one in STATISTICS)
