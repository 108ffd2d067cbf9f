"""What the lines of the capacity page are made of: one cost of one role in one kind of hour."""

from enum import Enum
from typing import NamedTuple

from limepath.scale.estimates import Estimate, Provenance, estimate, missing


class Kind(Enum):
    """Of a cost."""

    STATE = "state"
    MESSAGES = "messages"
    PROCESSOR = "processor"
    MEMORY = "memory"


class Hour(Enum):
    """In which a cost falls due."""

    CALM = "a calm hour"
    ZONE_LOST = "the minute of a zone lost"
    REGION_BACK = "a region's return"
    RESTARTS = "370 restarts in an hour"
    ROLLOUT = "a rollout"


class Line(NamedTuple):
    """One cost; `budget`, in the figure's unit, is None where none is stated."""

    role: str
    hour: Hour
    kind: Kind
    what: str
    figure: Estimate
    mechanism: str  # what carries it, with its file
    budget: float | None

    @property
    def share(self):
        """Of the budget, or None."""
        if self.budget is None or self.figure.value is None:
            return None
        return self.figure.value / self.budget


class Lines:
    """The lines of one role in one hour, in the order added."""

    def __init__(self, role, hour=Hour.CALM):
        self.role, self.hour, self.lines = role, hour, []

    def add(self, kind, what, figure, mechanism, budget=None):
        self.lines.append(Line(self.role, self.hour, kind, what, figure, mechanism, budget))


class Figures:
    """Estimates out of one Measured."""

    def __init__(self, measured):
        self.measured = measured

    def at(self, role, name, size):
        """A series at a size."""
        return estimate(self.measured.series(role, name), size)

    def fact(self, role, name):
        """A fact as it was measured."""
        one = self.measured.fact(role, name)
        return missing("not measured") if one is None else Estimate(one.value, Provenance.MEASURED, one.unit)
