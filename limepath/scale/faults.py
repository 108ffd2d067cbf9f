"""The faults of a scale run, drawn from its seed: what fails, when, for how long. Free of I/O.

Times are whole microseconds since the measured time begins. Which front relays to the most others is known
only while the run goes on: the faults of a relay name no front, the run asks for it when they begin.
"""

from enum import StrEnum
from random import Random
from typing import NamedTuple

from limepath.configuration.ini import suggestion

SECOND = 1_000_000
DAY = 86_400 * SECOND
RESTARTS_A_DAY = 370  # of the fleet at its full size (issue 35)
FLEET = 5_200  # fronts at that size
LEAST_RESTARTS = 3  # in a run, or it shows nothing
SPEED_UP = 60  # of the day's rate of restarts, at least
DOWN = 2 * SECOND  # for which a front that is restarted is away
LOSS = 0.05  # share of datagrams lost
CALM_SHARE = 0.3  # of the measured time, before the first fault, where there are any
FAULT_SHARE = 0.55  # of a fault's part of the time, for which it lasts; the rest shows the return


class Kind(StrEnum):
    CHURN = "churn"  # fronts killed and started again, all through the time after the calm
    RACK = "rack"  # all fronts of a site killed, then started again
    ZONE = "zone"  # all fronts of a zone killed, then started again
    CUT = "cut"  # two regions hear nothing of each other; the list service stands in the first
    RELAY_STOPPED = "relay-stopped"  # the front with the most followers stopped (SIGSTOP), then woken
    RELAY_KILLED = "relay-killed"  # the same killed, then started again
    LOSS = "loss"  # a share of all datagrams lost


class UnknownFault(Exception):
    """The text names it and those that are known."""


class Fault(NamedTuple):
    """One fault in force from `at` to `until`. `names` are the fronts it strikes, empty where the run chooses
    the busiest relay; `regions` are the two that a cut parts; `share` is the share of datagrams lost.
    """

    kind: Kind
    at: int
    until: int
    names: tuple[str, ...] = ()
    regions: tuple[str, str] | None = None
    share: float = 0.0


class Schedule(NamedTuple):
    """All faults by time. `calm` is how long nothing fails; `end` the whole measured time; `speed_up` how
    much faster than on an ordinary day fronts are restarted (0: none are).
    """

    faults: tuple[Fault, ...]
    calm: int
    end: int
    speed_up: float = 0.0


def kinds_of(text):
    """The Kinds that a list with commas names, in its order; all for "all"; UnknownFault."""
    if text == "all":
        return tuple(Kind)
    known = {kind.value: kind for kind in Kind}
    names = [name.strip() for name in text.split(",") if name.strip()]
    for name in names:
        if name not in known:
            raise UnknownFault(
                f"--faults {name!r}: no such fault{suggestion(name, known)}; "
                f"known are all, {', '.join(known)}"
            )
    return tuple(dict.fromkeys(known[name] for name in names))


def schedule(plan, kinds, duration, seed):
    """The Schedule of a run of `duration`. Churn goes on beside the others; these follow one another, each in
    an equal part of the time after the calm. UnknownFault where the layout has nothing that could fail so.
    """
    check_layout(plan, kinds)
    chance = Random(seed)
    calm = int(duration * CALM_SHARE) if kinds else duration
    churn = Kind.CHURN in kinds
    rest = [kind for kind in kinds if kind != Kind.CHURN]
    faults, speed_up = [], 0.0
    if churn:
        restarts, speed_up = churned(plan, calm, duration, chance)
        faults += restarts
    part = (duration - calm) // max(1, len(rest))
    for number, kind in enumerate(rest):
        begins = calm + number * part
        faults.append(drawn(plan, kind, begins, begins + int(part * FAULT_SHARE), chance))
    return Schedule(tuple(sorted(faults, key=lambda fault: fault.at)), calm, duration, speed_up)


def check_layout(plan, kinds):
    for kind, option, count in (
        (Kind.CUT, "--regions", plan.sizes.regions),
        (Kind.ZONE, "--zones", plan.sizes.zones),
        (Kind.RACK, "--sites", plan.sizes.sites),
    ):
        if kind in kinds and count < 2:
            raise UnknownFault(f"--faults {kind}: {option} {count} leaves no other; at least 2 is wanted")


def churned(plan, begins, ends, chance):
    """Restarts at the fleet's rate of a day, sped up; and by how much."""
    daily = RESTARTS_A_DAY * len(plan.fronts) / FLEET
    in_time = daily * (ends - begins) / DAY
    count = max(LEAST_RESTARTS, round(in_time * SPEED_UP))
    latest = max(begins + 1, ends - 5 * DOWN)
    at = sorted(chance.randrange(begins, latest) for _ in range(count))
    names = [place.name for place in plan.fronts]
    faults = [Fault(Kind.CHURN, when, when + DOWN, (chance.choice(names),)) for when in at]
    return faults, count / in_time


def drawn(plan, kind, at, until, chance):
    """One fault, by chance what it strikes."""
    if kind == Kind.RACK:
        site = chance.choice(sorted({place.site for place in plan.fronts}))
        return Fault(kind, at, until, tuple(one.name for one in plan.fronts if one.site == site))
    if kind == Kind.ZONE:
        zone = chance.choice(plan.zones)
        return Fault(kind, at, until, tuple(one.name for one in plan.fronts if one.zone == zone))
    if kind == Kind.CUT:  # the list service is in the first region, so that the other one's fronts grow late
        return Fault(kind, at, until, regions=(plan.regions[0], chance.choice(plan.regions[1:])))
    if kind == Kind.LOSS:
        return Fault(kind, at, until, share=LOSS)
    return Fault(kind, at, until)
