"""How a cost grows with a size: a fit over at least five sizes, the largest of them predicted and not fitted.

The models, from simple to steep: constant, a + b log2 n, a + b n, a + b n log2 n. Residuals are relative to
the measured values, since sizes span decades. The rule that chooses: each model's cross-validation error is
the mean relative error with which it predicts each fitted size from the others; the simplest model is taken
whose error is within one standard error of the best one's (the one-standard-error rule of Breiman, Friedman,
Olshen and Stone, Classification and Regression Trees, 1984). The largest size has no part in it. An error of
its prediction over `WRONG` says that the model is wrong: the figure is looked into, and nothing is to be
extrapolated with it. Free of I/O.
"""

from enum import Enum
from typing import NamedTuple

import numpy

LEAST_SIZES = 5
WRONG = 0.20  # of the measured value: an error of the prediction over it


class TooFewSizes(ValueError):
    """Fewer sizes than a fit wants; the text tells how many there are."""


class BadPoints(ValueError):
    """Sizes or values that no fit can use: not finite, not positive, or one size twice."""


class Model(Enum):
    """Growth with the size n; the value is how it is printed."""

    CONSTANT = "constant"
    LOGARITHMIC = "a + b log2 n"
    LINEAR = "a + b n"
    LINEARITHMIC = "a + b n log2 n"

    def basis(self, sizes):
        """The column that `slope` multiplies."""
        sizes = numpy.asarray(sizes, dtype=float)
        if self is Model.CONSTANT:
            return numpy.zeros_like(sizes)
        if self is Model.LOGARITHMIC:
            return numpy.log2(sizes)
        return sizes if self is Model.LINEAR else sizes * numpy.log2(sizes)


class Coefficients(NamedTuple):
    """value = base + slope * basis(size)."""

    base: float
    slope: float


class Slope(NamedTuple):
    """A fit and how well it predicted the size that was kept out."""

    model: Model
    base: float
    slope: float
    sizes: tuple  # fitted
    kept_out: float  # the largest size
    measured: float  # there
    predicted: float  # there

    @property
    def error(self):
        """Of the prediction, relative to what was measured."""
        return abs(self.predicted - self.measured) / self.measured

    @property
    def wrong(self):
        """Whether the model is wrong."""
        return self.error > WRONG

    def at(self, size):
        """The value that the fit gives for a size."""
        return self.base + self.slope * float(self.model.basis([size])[0])


def checked(points):
    """The points (size, value) by size; raise TooFewSizes or BadPoints."""
    points = sorted((float(size), float(value)) for size, value in points)
    if any(not (numpy.isfinite(size) and numpy.isfinite(value)) for size, value in points):
        raise BadPoints("a size or value that is not finite")
    if any(size < 1 or value <= 0 for size, value in points):
        raise BadPoints("a size below 1, or a value that is not above 0")
    if len({size for size, _ in points}) < len(points):
        raise BadPoints("one size twice")
    if len(points) < LEAST_SIZES:
        raise TooFewSizes(f"{len(points)} sizes; a slope wants {LEAST_SIZES} at least")
    return points


def coefficients(model, sizes, values):
    """Least squares of the relative residuals."""
    values = numpy.asarray(values, dtype=float)
    columns = [1 / values]
    if model is not Model.CONSTANT:
        columns.append(model.basis(sizes) / values)
    found, *_ = numpy.linalg.lstsq(numpy.stack(columns, axis=1), numpy.ones_like(values), rcond=None)
    return Coefficients(float(found[0]), float(found[1]) if len(found) > 1 else 0.0)


def cross_validation(model, sizes, values):
    """Mean and standard error of the relative errors with which each point is predicted from the others."""
    errors = []
    for index, (size, value) in enumerate(zip(sizes, values, strict=True)):
        others = [at for at in range(len(sizes)) if at != index]
        fit = coefficients(model, [sizes[at] for at in others], [values[at] for at in others])
        predicted = fit.base + fit.slope * float(model.basis([size])[0])
        errors.append(abs(predicted - value) / value)
    return float(numpy.mean(errors)), float(numpy.std(errors, ddof=1)) / len(errors) ** 0.5


def chosen(sizes, values):
    """The model, by the rule in this module's head."""
    errors = {model: cross_validation(model, sizes, values) for model in Model}
    least, spread = min(errors.values())
    return next(model for model in Model if errors[model][0] <= least + spread)


def fitted(points):
    """Give the Slope of points (size, value); raise TooFewSizes or BadPoints."""
    *fit, (kept_out, measured) = checked(points)
    sizes, values = [size for size, _ in fit], [value for _, value in fit]
    model = chosen(sizes, values)
    base, slope = coefficients(model, sizes, values)
    predicted = base + slope * float(model.basis([kept_out])[0])
    return Slope(model, base, slope, tuple(sizes), kept_out, measured, predicted)
