"""The interface of the duties: plans at start, notes in, orders out, and the messages between instances.

Times are whole microseconds of the instance's own monotonic clock. A target is an integer, the same
everywhere.
"""

from enum import IntEnum
from typing import NamedTuple

import msgspec

from limepath.membership.interface import Message


class Mode(IntEnum):
    AT_LEAST_ONCE = 0
    ONE_OWNER = 1


class Plan(NamedTuple):
    """A duty: each of its targets is served once in `interval`."""

    name: str
    mode: Mode
    interval: int


class Leasing(NamedTuple):
    """`voters` are names, fixed: a majority is counted of them. Clocks run apart by `drift` of a span at
    most. Results are passed on every `batch`, to `copies` others at a time.
    """

    voters: tuple = ()
    span: int = 3_000_000
    drift: float = 0.01
    slots: int = 32
    batch: int = 250_000
    copies: int = 2


# Messages


class Result(NamedTuple):
    """What serving one target told, `age` microseconds ago; a prober numbers its results."""

    duty: int
    target: int
    prober: int
    serial: int
    age: int
    verdict: int
    took: int
    load: dict[str, float] = {}


class Results(Message, tag="r"):
    results: tuple[Result, ...]


class Claim(Message, tag="c"):
    """I want these slots, or go on with them: (slot, epoch); the lease counts from when I sent this."""

    duty: int
    round: int
    slots: tuple[tuple[int, int], ...]


class Vote(Message, tag="v"):
    """Granted slots, and of those turned down (slot, the epoch that is in the way, what is left of its
    lease).
    """

    duty: int
    round: int
    granted: tuple[int, ...]
    denied: tuple[tuple[int, int, int], ...] = ()


class Release(Message, tag="e"):
    """Given back before the end: (slot, epoch)."""

    duty: int
    slots: tuple[tuple[int, int], ...]


class AskEpochs(Message, tag="q"):
    """From a voter whose store is new or lost."""

    round: int


class Epochs(Message, tag="k"):
    """No epoch above this one was ever granted here; `sure` unless this voter's own store is new or lost."""

    round: int
    ceiling: int
    sure: bool


MESSAGES = (Results, Claim, Vote, Release, AskEpochs, Epochs)


# Notes in


class Targets(NamedTuple):
    """All targets of a duty, by its index, as the list of members tells now."""

    duty: int
    targets: tuple


class Served(NamedTuple):
    """What serving a target told this instance, `took` microseconds after it began."""

    duty: int
    target: int
    verdict: int
    took: int
    load: dict


# Orders out


class Serve(NamedTuple):
    """Serve the target now; `epoch` is 0 where the mode has none. Not later than `until`, if that is told."""

    duty: int
    target: int
    epoch: int
    until: int = 0


class Reach(NamedTuple):
    """Send to a live member."""

    token: int
    message: msgspec.Struct


class Shared(NamedTuple):
    """Another instance's result, new here."""

    result: Result


class Keep(NamedTuple):
    """Write the ceiling of epochs to the store, and have it there before anything after this order is
    done.
    """

    ceiling: int
