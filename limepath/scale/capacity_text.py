"""Words and tables of the capacity page: numbers in three digits, Markdown tables, fixed texts."""

HEAD = """# Capacity

What limepath costs at the size that is coming, worked out by `limepath scale check` from
`docs/measurements/scale.json`, which `limepath scale measure` writes. The check ends with status 1 where
this page is not what the file gives; `limepath scale check --write` writes it anew. No figure here is
typed by hand.

Each figure bears one word. **measured**: the size lies within the sizes measured. **extrapolated**: by
a fit over at least five sizes, the largest of them predicted and not fitted; `factor` is how far beyond
the largest. **assumed**: worked out, with the reason told below. **missing**: not measured, or no
mechanism. A fit whose prediction is off by over 20% is wrong: its figure is taken in proportion to the
largest size, and stands as assumed.

Processor times are user and system time of the process measured, not wall-clock time, since the machine
was busy with other work; a core that others share is slower, so figures differ by up to twice between
calm and busy spells (the yardstick below shows by how much). Bytes are those of sealed datagrams
without IP and UDP headers (28 bytes a datagram).
"""

CORES = """The program has one thread. Above one core a machine needs several processes; each is a front
of its own to caches, to the list and to membership, so that fronts, views and messages grow by as much,
and each has control's costs again. A process near the whole of its core leaves answers late: the table
takes {full:.0%} of a core (assumed) as the most that one may be given. Held copies, {misses:.0%} of the
requests lacked (assumed), {parents} parents (assumed), decisions by the caches seen; a network card's
work and TLS are not in it.
"""

KNOW = """A front decides by its own caches, so what it must know of caches ends at the caches that it may
send requests to. Today the list holds all caches, hash order goes over those of the front's zone, check
results of all targets go to all, and every front holds a view of all. The columns tell what each scope
costs one front.
"""

MUST = """- Of caches: address, standing and start of those it sends requests to (its site's; its zone's
  while a site's are away), of the parents and of the origin; check results of the same. Not of the others.
- Of purges: all, everywhere, since a copy may lie in any of its caches.
- Of fronts: its zone's, for who passes the list on; of the others only whom to ask where all of the zone
  are gone. Today's view of all carries who divides the checks, which a site can do alone.
"""

FIRST = """Costs over their budget, the worst first, then what has no mechanism at all.
"""

NOT_LOOKED_INTO = "not looked into"
STEPS = (
    "flat up to 64 KB, which the transport reads at once; above it each 64 KB is one more pass of the loop"
)
WALKS = "`Members.seek` walks all members every fifth period: its share is in the profile of `view`"
CROWD = "one pass of the loop takes in more the higher the rate is; measured at the rate itself"
WHOLE_SECONDS = "looked at in whole and half seconds and tenths, so that small values come in steps"
PAGES = "nearly all is Page and Pull, views in pages, which nothing paces (by kind of message, 250 instances)"
STEADS = "most is PingFor, then Ping, of fronts in the part cut off (by kind of message, 250 instances)"
LOOKED_INTO = {
    ("data", "held"): STEPS,
    ("data", "lacked"): STEPS,
    ("data", "paced"): CROWD,
    ("view", "cpu"): WALKS,
    ("membership", "cpu"): WALKS,
    ("membership", "join time"): WHOLE_SECONDS,
    ("membership", "join known"): WHOLE_SECONDS,
    ("membership", "return time"): WHOLE_SECONDS,
    ("membership", "return bytes"): PAGES,
    ("membership", "return worst"): PAGES,
    ("membership", "return multiple"): PAGES,
    ("membership", "cut worst"): STEADS,
}


def number(value):
    """Three digits, with commas; whole numbers as they are.

    Values from 1000 on are rounded to three digits too: a capacity is no exact count.
    """
    if value is None:
        return "-"
    if value == 0:
        return "0"
    if value == int(value) and abs(value) < 1e15 and abs(value) < 10_000:
        return f"{int(value):,}"
    told = float(f"{value:.3g}")
    if abs(told) >= 100:
        return f"{int(told):,}"
    return f"{told:.10f}".rstrip("0").rstrip(".")


def percent(share):
    return "-" if share is None else f"{number(100 * share)}%"


def cell(text):
    return str(text).replace("|", "\\|").replace("\n", " ") or "-"


def table(names, rows):
    """A Markdown table."""
    lines = ["| " + " | ".join(names) + " |", "|" + " --- |" * len(names)]
    return "\n".join(lines + ["| " + " | ".join(cell(one) for one in row) + " |" for row in rows]) + "\n"


def formula(slope):
    """A fit as it is printed."""
    if slope is None:
        return "-"
    model = slope.model.value
    if model == "constant":
        return f"constant {number(slope.base)}"
    sign = "-" if slope.slope < 0 else "+"
    basis = model.removeprefix("a + b ")
    return f"{number(slope.base)} {sign} {number(abs(slope.slope))} {basis}"


def sizes(values):
    return ", ".join(number(value) for value in values) or "-"
