"""Estimates a figure at a given size from a measured series, with the provenance of the figure.

Within the measured sizes the figure is measured (interpolated linearly between two sizes); beyond them it is
extrapolated by the fit. Where the fit's model is wrong, or the fit is below the figure of the largest
measured size, the figure is assumed to be in proportion to that of the largest size. This module does no I/O.
"""

from enum import Enum
from typing import NamedTuple

from limepath.scale.slopes import InvalidPointsError, Slope, TooFewSizesError, fit_points


class Provenance(Enum):
    """How a figure was obtained, from the most to the least reliable."""

    MEASURED = "measured"
    EXTRAPOLATED = "extrapolated"
    ASSUMED = "assumed"
    MISSING = "missing"


class Estimate(NamedTuple):
    """A value at a size; `slope` is None without a fit, `factor` is size / largest measured, at least 1."""

    value: float | None
    provenance: Provenance
    unit: str = ""
    size: float = 0
    sizes: tuple = ()
    factor: float = 1.0
    slope: Slope | None = None
    reason: str = ""

    def times(self, factor, unit, reason=""):
        """Return the estimate multiplied by `factor`, in another unit; assumed if a reason is given."""
        if self.value is None:
            return self
        provenance = Provenance.ASSUMED if reason else self.provenance
        reasons = "; ".join(filter(None, (self.reason, reason)))
        return self._replace(value=self.value * factor, unit=unit, provenance=provenance, reason=reasons)


MISSING = Estimate(None, Provenance.MISSING)


def assumed(value, unit, reason):
    """Return an Estimate of a value that was calculated and not measured."""
    return Estimate(value, Provenance.ASSUMED, unit, reason=reason)


def missing(reason):
    return Estimate(None, Provenance.MISSING, reason=reason)


def interpolate(points, size):
    """Return the value at a size, interpolated linearly between the two nearest points."""
    for (low, one), (high, other) in zip(points, points[1:], strict=False):
        if low <= size <= high:
            return one + (other - one) * (size - low) / (high - low)
    return points[0][1]


def estimate_below_range(result, points):
    """Return the Estimate for a size below the smallest measured one."""
    slope = result.slope
    if slope and not slope.wrong and 0 < slope.at(result.size) <= points[0][1]:
        return result._replace(value=slope.at(result.size), provenance=Provenance.EXTRAPOLATED)
    return result._replace(
        value=points[0][1], provenance=Provenance.ASSUMED, reason="no less than the least size measured"
    )


def estimate(series, size):
    """Return the Estimate of a Series at a size; `series` is None where nothing was measured."""
    if series is None:
        return missing("not measured")
    points = sorted(series.points)
    sizes = tuple(at for at, _ in points)
    try:
        slope = fit_points(points)
    except (TooFewSizesError, InvalidPointsError):
        slope = None
    result = Estimate(0.0, Provenance.MEASURED, series.unit, size, sizes, max(1.0, size / sizes[-1]), slope)
    if size < sizes[0]:
        return estimate_below_range(result, points)
    if size <= sizes[-1]:
        return result._replace(value=interpolate(points, size))
    largest = points[-1][1]
    if slope is None:
        value, reason = largest * result.factor, f"{len(sizes)} sizes only: in proportion to the largest"
    elif slope.wrong:
        value, reason = largest * result.factor, "the model is wrong: in proportion to the largest size"
    elif slope.at(size) < largest * (1 - slope.error):
        value, reason = largest * result.factor, "the fit falls: in proportion to the largest size"
    else:
        return result._replace(value=slope.at(size), provenance=Provenance.EXTRAPOLATED)
    return result._replace(value=value, provenance=Provenance.ASSUMED, reason=reason)


def total(estimates, unit, factor=1.0):
    """Return the sum of the estimates with a value, with the provenance of the least reliable one."""
    measured_parts = [one for one in estimates if one.value is not None]
    if not measured_parts:
        return missing("no part of it is measured")
    order = list(Provenance)
    provenance = max((one.provenance for one in measured_parts), key=order.index)
    incomplete = len(measured_parts) < len(estimates)
    return Estimate(
        factor * sum(one.value for one in measured_parts),
        provenance,
        unit,
        factor=max(one.factor for one in measured_parts),
        reason="without what is not measured" if incomplete else "",
    )
