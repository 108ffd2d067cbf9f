"""The capacity of one front: its data path, and what it spends on control in a calm hour. Free of I/O."""

from limepath.scale.capacity_lines import Kind, Lines
from limepath.scale.capacity_size import BUDGET, SIZE
from limepath.scale.estimates import assumed, missing, total

MEAN_BODY = 129_000  # bytes; the measured size next to the mean of an answer
MISSES = 0.3  # share of the requests
FEW_CACHES, FEW_PARENTS = 6, 2  # that the data path was measured with
CORE = "% of a core"
FEW_LISTED = 8  # members of the list that sharing was measured with
THREAD = 100.0  # % of a core, the most of a process
CLIENTS = "front/clients.py, front/caches.py"
RESULTS = "results told to all, duties/shared_results.py"
SWIM = "SWIM with suspicion, membership/members.py"


# The data path


def paced(figures):
    """% of a core for held copies at the rate that is coming."""
    return figures.at("data", "paced", SIZE.front_requests)


def misses(figures):
    """% of a core that misses add."""
    held, lacked = figures.at("data", "held", MEAN_BODY), figures.at("data", "lacked", MEAN_BODY)
    if None in (held.value, lacked.value):
        return missing("not measured")
    added = max(0.0, lacked.value - held.value) * MISSES * SIZE.front_requests / 1e4
    return assumed(added, CORE, f"{MISSES:.0%} of the requests miss")


def decisions(figures, name, few, many):
    """% of a core that decisions cost with `many` members seen in place of `few`."""
    least, most = figures.at("decision", name, few), figures.at("decision", name, many)
    if None in (least.value, most.value):
        return missing("not measured")
    more = max(0.0, most.value - least.value) * SIZE.front_requests / 1e4
    return most._replace(value=more, unit=CORE)


def cores(figures, caches):
    """Cores of a front that sees so many caches: held copies, misses, decisions."""
    parts = [
        paced(figures),
        misses(figures),
        decisions(figures, "parents", FEW_PARENTS, SIZE.parents),
        decisions(figures, "caches", FEW_CACHES, caches),
    ]
    return total(parts, "cores", 0.01)


def data_path(figures):
    """The lines of a front's data path."""
    lines = Lines("a front's data path")
    rate = f"{SIZE.front_requests:,} requests a second"
    parents = decisions(figures, "parents", FEW_PARENTS, SIZE.parents)
    caches = decisions(figures, "caches", FEW_CACHES, SIZE.caches)
    lines.add(Kind.PROCESSOR, f"held copies, {rate}", paced(figures), CLIENTS)
    lines.add(Kind.PROCESSOR, "misses beside them", misses(figures), CLIENTS)
    lines.add(
        Kind.PROCESSOR,
        f"decisions with {SIZE.parents} parents in place of {FEW_PARENTS}",
        parents,
        "hash order over all parents, decisions/",
    )
    lines.add(
        Kind.PROCESSOR,
        f"decisions with all {SIZE.caches:,} caches in place of {FEW_CACHES}",
        caches,
        "hash order over the zone's caches, decisions/",
    )
    for what, seen in (("its zone's", SIZE.caches // SIZE.zones), ("all", SIZE.caches)):
        whole = cores(figures, seen).times(100, CORE)
        what = f"all of it, where it sees {what} caches ({seen:,})"
        lines.add(Kind.PROCESSOR, what, whole, "one thread a process", THREAD)
    lines.add(Kind.MEMORY, "resident after loads", figures.fact("data", "memory"), CLIENTS, BUDGET.memory)
    return lines.lines


# Control


def probes(figures, name, targets=SIZE.caches):
    """Check results of so many targets, at the interval that they were measured at."""
    return figures.at("probes", name, targets)


def membership_bytes(figures):
    """KB a second sent, calm."""
    return figures.at("membership", "bytes", SIZE.fronts).times(1e-3, "KB/s")


def control(figures):
    """The lines of a front's control in a calm hour."""
    lines = Lines("a front's control")
    processor(figures, lines)
    memory(figures, lines)
    messages(figures, lines)
    lines.add(
        Kind.STATE,
        "changes of configuration in force in 3 s",
        missing(
            f"{SIZE.changes:,} a day are wanted; there is a file, SIGHUP for one key, a restart for the rest"
        ),
        "none",
    )
    return lines.lines


def processor(figures, lines):
    loops = figures.at("idle", "cpu", SIZE.caches)
    view, results = figures.at("view", "cpu", SIZE.fronts), probes(figures, "cpu")
    added = [
        (f"idle, a list of {SIZE.caches:,}", loops, "decisions/engine.py handle, front/caches.py sweep"),
        ("membership", view, SWIM),
        (f"check results of {SIZE.caches:,} targets", results, RESULTS),
        ("these together, events of the list not in it", total([loops, view, results], CORE), ""),
    ]
    for what, figure, mechanism in added:
        lines.add(Kind.PROCESSOR, what, figure, mechanism, BUDGET.cpu)


def memory(figures, lines):
    resident = figures.at("idle", "memory", SIZE.caches)
    view = figures.at("view", "memory", SIZE.fronts)
    shared = figures.at("listing", "shared memory", SIZE.caches)
    sharing = code_of_sharing(figures)
    added = [
        (f"resident, idle, a list of {SIZE.caches:,}", resident, "front/, decisions/"),
        (
            "the sharing's code and store",
            sharing,
            "membership/, duties/, discovery/, frequency_exchange/, connection_pacing/",
        ),
        (f"a view of {SIZE.fronts:,}", view, SWIM),
        ("the list kept for sharing", shared, "discovery/endpoint_list.py"),
        ("these together", total([resident, sharing, view, shared], "MB"), ""),
    ]
    for what, figure, mechanism in added:
        lines.add(Kind.MEMORY, what, figure, mechanism, BUDGET.memory)


def code_of_sharing(figures):
    """MB more of a front that shares, alone in its fleet, than of one that does not; with a short list."""
    with_it, without = figures.fact("idle", "sharing"), figures.at("idle", "memory", FEW_LISTED)
    if None in (with_it.value, without.value):
        return missing("not measured")
    return with_it._replace(value=max(0.0, with_it.value - without.value))


def messages(figures, lines):
    swim, results = membership_bytes(figures), probes(figures, "bytes")
    median = figures.at("relay", "median bytes", SIZE.zone_fronts)
    added = [
        ("membership, sent", swim, SWIM),
        (f"check results of {SIZE.caches:,} targets, sent", results, RESULTS),
        ("the list, sent by the median front", median, "subscriptions, discovery/"),
        ("these together", total([swim, results, median], "KB/s"), ""),
        (
            "request counts, connection limits",
            missing("not measured"),
            "frequency_exchange/, connection_pacing/",
        ),
    ]
    for what, figure, mechanism in added:
        lines.add(Kind.MESSAGES, what, figure, mechanism, BUDGET.bytes)
