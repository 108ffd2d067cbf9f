"""A figure at the size that is coming, from a measured series: how it was got, and how far it may be trusted.

Measured where the size lies within the sizes that were measured (between two of them on a straight line),
extrapolated by the fit beyond them; where the fit's model is wrong, or the fit falls below the largest
measured figure, the figure is assumed in proportion to the largest size. Free of I/O.
"""

from enum import Enum
from typing import NamedTuple

from limepath.scale.slopes import BadPoints, Slope, TooFewSizes, fitted


class Word(Enum):
    """How a figure was got."""

    MEASURED = "measured"
    EXTRAPOLATED = "extrapolated"
    ASSUMED = "assumed"
    MISSING = "missing"


class Estimate(NamedTuple):
    """A value at a size; `slope` None where no fit is to be had, `factor` is size by the largest measured."""

    value: float | None
    word: Word
    unit: str = ""
    size: float = 0
    sizes: tuple = ()
    factor: float = 1.0
    slope: Slope | None = None
    reason: str = ""

    def times(self, factor, unit, reason=""):
        """The same in another unit; with a reason, of several, which is assumed."""
        if self.value is None:
            return self
        word = Word.ASSUMED if reason else self.word
        told = "; ".join(filter(None, (self.reason, reason)))
        return self._replace(value=self.value * factor, unit=unit, word=word, reason=told)


MISSING = Estimate(None, Word.MISSING)


def assumed(value, unit, reason):
    """A figure that is worked out and not measured."""
    return Estimate(value, Word.ASSUMED, unit, reason=reason)


def missing(reason):
    return Estimate(None, Word.MISSING, reason=reason)


def between(points, size):
    """The value on the straight line between the two points around a size."""
    for (low, one), (high, other) in zip(points, points[1:], strict=False):
        if low <= size <= high:
            return one + (other - one) * (size - low) / (high - low)
    return points[0][1]


def below(told, points):
    """The Estimate for a size under the least that was measured."""
    slope = told.slope
    if slope and not slope.wrong and 0 < slope.at(told.size) <= points[0][1]:
        return told._replace(value=slope.at(told.size), word=Word.EXTRAPOLATED)
    return told._replace(value=points[0][1], word=Word.ASSUMED, reason="no less than the least size measured")


def estimate(series, size):
    """The Estimate of a Series, or None, at a size."""
    if series is None:
        return missing("not measured")
    points = sorted(series.points)
    sizes = tuple(at for at, _ in points)
    try:
        slope = fitted(points)
    except (TooFewSizes, BadPoints):
        slope = None
    told = Estimate(0.0, Word.MEASURED, series.unit, size, sizes, max(1.0, size / sizes[-1]), slope)
    if size < sizes[0]:
        return below(told, points)
    if size <= sizes[-1]:
        return told._replace(value=between(points, size))
    largest = points[-1][1]
    if slope is None:
        value, reason = largest * told.factor, f"{len(sizes)} sizes only: in proportion to the largest"
    elif slope.wrong:
        value, reason = largest * told.factor, "the model is wrong: in proportion to the largest size"
    elif slope.at(size) < largest * (1 - slope.error):
        value, reason = largest * told.factor, "the fit falls: in proportion to the largest size"
    else:
        return told._replace(value=slope.at(size), word=Word.EXTRAPOLATED)
    return told._replace(value=value, word=Word.ASSUMED, reason=reason)


def total(estimates, unit, factor=1.0):
    """The sum; as little to be trusted as its least trusted part. None among them counts as missing."""
    present = [one for one in estimates if one.value is not None]
    if not present:
        return missing("no part of it is measured")
    order = list(Word)
    word = max((one.word for one in present), key=order.index)
    lacking = len(present) < len(estimates)
    return Estimate(
        factor * sum(one.value for one in present),
        word,
        unit,
        factor=max(one.factor for one in present),
        reason="without what is not measured" if lacking else "",
    )
