"""The layout of a scale run: which front and cache stands where, and whether this machine can hold the run.

Free of I/O: the machine's size is handed in. Regions hold zones, zones hold sites, sites hold fronts; caches
stand in zones. What does not divide evenly differs by one at most between neighbours.
"""

from typing import NamedTuple

from limepath.scale.control import Place

MOST_PROCESSES = 300  # started by one run, the run itself among them
MEMORY_SHARE = 0.5  # of the machine's memory, that a run may plan with
FRONTS_A_PROCESS = 25  # hollow fronts in one process: each waits while another one computes
PROCESSES_A_CORE = 4  # hollow processes, at most
MOST_FRONTS = 10_000  # as many as a peers file may tell ([listing] fronts)

# The memory model, bytes of resident memory, rounded up. Measured by trial runs of this program on the star
# of relays: hollow processes of 20 fronts among 40 (lists of 24 and of 1,400 caches: 63.6 and 110.3 MB), of
# 80 among 160 (107.5 MB) and of 75 among 300 (136.3 MB), and real ones at lists of 24 to 140 caches (58 to 61
# MB).
PROCESS_BYTES = 60_000_000  # one hollow process without fronts
FRONT_BYTES = 300_000  # one hollow front: its store, sockets, logic
MEMBER_BYTES = 2_000  # one member of the cache list at one front
VIEW_BYTES = 3_200  # one other front in one front's view, at the height of the joining
REAL_BYTES = 60_000_000  # one process of the program, without its list
RUN_BYTES = 150_000_000  # the run itself with the stand-ins
CACHE_BYTES = 20_000  # one stand-in cache


LEAST = {"fronts": 2, "real": 0, "caches": 1, "regions": 1, "zones": 1, "sites": 1, "processes": 0}


class BadSize(Exception):
    """A size that cannot be; the text names the option and says what would fit."""


class Sizes(NamedTuple):
    """What the command line asks for. `fronts` includes the `real` ones; `purges` and `settings_changes` are
    by second; `processes` 0 lets the plan choose.
    """

    fronts: int
    real: int = 0
    caches: int = 24
    regions: int = 1
    zones: int = 1
    sites: int = 1
    purges: float = 1.0
    settings_changes: float = 0.0
    processes: int = 0


class Machine(NamedTuple):
    """What the run may use: cores, bytes of memory, files that one process may hold open."""

    cores: int
    memory: int
    descriptors: int = 65_536


class CachePlace(NamedTuple):
    name: str
    zone: str


class Plan(NamedTuple):
    """`fronts` by index; `real` are the indexes of fronts that are processes of the program; `hollow` are the
    indexes of each hollow process.
    """

    sizes: Sizes
    regions: tuple[str, ...]
    zones: tuple[str, ...]
    fronts: tuple[Place, ...]
    caches: tuple[CachePlace, ...]
    real: tuple[int, ...]
    hollow: tuple[tuple[int, ...], ...]
    memory: int  # bytes, as the model tells


def check_sizes(sizes):
    """Raise BadSize at the first size that cannot be, whatever the machine."""
    for name, smallest in LEAST.items():
        if getattr(sizes, name) < smallest:
            raise BadSize(f"{option(name)} {getattr(sizes, name)}: at least {smallest} is wanted")
    for name in ("purges", "settings_changes"):
        if not 0 <= getattr(sizes, name) <= 10_000:
            raise BadSize(f"{option(name)} {getattr(sizes, name)}: from 0 to 10,000 a second is wanted")
    if sizes.fronts > MOST_FRONTS:
        raise BadSize(f"--fronts {sizes.fronts}: at most {MOST_FRONTS} is wanted")
    if sizes.real > sizes.fronts:
        raise BadSize(f"--real {sizes.real}: more than --fronts {sizes.fronts}; it counts among these")
    for inner, outer in (("zones", "regions"), ("sites", "zones")):
        small, large = getattr(sizes, outer), getattr(sizes, inner)
        if large % small:
            fits = max(small, large - large % small)
            raise BadSize(
                f"--{inner} {large}: every one lies in one of --{outer} {small}, as many in each; "
                f"{fits} would fit"
            )
    if sizes.sites > sizes.fronts:
        raise BadSize(f"--sites {sizes.sites}: more than --fronts {sizes.fronts}; every site has a front")


def option(name):
    return "--" + name.replace("_", "-")


def process_count(sizes, cores):
    """How many hollow processes: few enough that the machine holds them, so many that fronts of one process
    do not wait long for one another.
    """
    hollow = sizes.fronts - sizes.real
    if not hollow:
        return 0
    if sizes.processes:
        return min(sizes.processes, hollow)
    return min(PROCESSES_A_CORE * cores, -(-hollow // FRONTS_A_PROCESS))


def memory_of(sizes, processes):
    """Bytes of resident memory of the whole run, by the model."""
    front = MEMBER_BYTES * sizes.caches + VIEW_BYTES * sizes.fronts
    hollow = (sizes.fronts - sizes.real) * (FRONT_BYTES + front) + processes * PROCESS_BYTES
    real = sizes.real * (REAL_BYTES + front)
    return hollow + real + RUN_BYTES + CACHE_BYTES * sizes.caches


def descriptors_of(sizes, processes):
    """Files that the run itself holds open: a port and a stream of the list service for each front, ports and
    connections of caches, pipes.
    """
    return 2 * sizes.fronts + sizes.caches * (1 + 2 * sizes.real) + 4 * processes + 100


def largest(sizes, machine, name):
    """The largest value of one size, all else as it is, that fits; None where none does."""
    low, high = LEAST[name], getattr(sizes, name)
    if obstacle(sizes._replace(**{name: low}), machine):
        return None
    while low < high:
        middle = (low + high + 1) // 2
        if obstacle(sizes._replace(**{name: middle}), machine):
            high = middle - 1
        else:
            low = middle
    return low


def obstacle(sizes, machine):
    """Why a run of these sizes does not fit this machine, or None."""
    processes = process_count(sizes, machine.cores)
    if (count := processes + sizes.real + 1) > MOST_PROCESSES:
        return f"{count} processes, of at most {MOST_PROCESSES}"
    needed, allowed = memory_of(sizes, processes), int(MEMORY_SHARE * machine.memory)
    if needed > allowed:
        return f"about {needed / 1e9:.1f} GB of memory, of at most {allowed / 1e9:.1f} GB"
    if (files := descriptors_of(sizes, processes)) > machine.descriptors:
        return f"{files} open files, of at most {machine.descriptors}"
    return None


def check_machine(sizes, machine):
    """Raise BadSize where the machine cannot hold the run, with what would fit."""
    reason = obstacle(sizes, machine)
    if reason is None:
        return
    many = sizes.real + 1 + process_count(sizes, machine.cores) > MOST_PROCESSES
    for name in ("real",) if many else ("fronts", "caches"):
        fits = largest(sizes, machine, name)
        if fits is not None and (name != "fronts" or fits >= max(sizes.sites, sizes.real)):
            raise BadSize(
                f"{option(name)} {getattr(sizes, name)}: needs {reason}; {option(name)} {fits} would fit"
            )
    raise BadSize(f"--fronts {sizes.fronts}: needs {reason}; no size would fit with these sites and caches")


def spread(count, groups):
    """The group of each of `count`, in blocks whose sizes differ by one at most."""
    return [index * groups // count for index in range(count)]


def plan_of(sizes, machine):
    """The Plan of a run; BadSize where it cannot be, or not here."""
    check_sizes(sizes)
    check_machine(sizes, machine)
    regions = tuple(f"r{number}" for number in range(sizes.regions))
    zones = tuple(f"z{number}" for number in range(sizes.zones))
    fronts = tuple(place(sizes, who, site) for who, site in enumerate(spread(sizes.fronts, sizes.sites)))
    caches = tuple(
        CachePlace(f"s-{number}", zones[zone])
        for number, zone in enumerate(spread(sizes.caches, sizes.zones))
    )
    real = tuple(number * sizes.fronts // sizes.real for number in range(sizes.real))
    hollow = [who for who in range(sizes.fronts) if who not in set(real)]
    processes = process_count(sizes, machine.cores)
    shares = [[] for _ in range(processes)]
    for who, process in zip(hollow, spread(len(hollow), processes), strict=True) if processes else ():
        shares[process].append(who)
    memory = memory_of(sizes, processes)
    return Plan(sizes, regions, zones, fronts, caches, real, tuple(map(tuple, shares)), memory)


def place(sizes, who, site):
    zone = site // (sizes.sites // sizes.zones)
    region = zone // (sizes.zones // sizes.regions)
    return Place(f"n{who}", f"r{region}", f"z{zone}", f"s{site}")
