"""Fits how a cost grows with a size, over at least five sizes; the largest is held out and predicted.

The models, from simple to steep: constant, a + b log2 n, a + b n, a + b n log2 n. Residuals are relative to
the measured values, because sizes span several orders of magnitude. A model is selected by cross-validation:
the error of a model is the mean relative error with which it predicts each fitted size from the others. The
simplest model whose error is within one standard error of the lowest one is selected (the one-standard-error
rule of Breiman, Friedman, Olshen and Stone, Classification and Regression Trees, 1984). The largest size is
not used in the selection. If the error of its prediction exceeds `MAX_PREDICTION_ERROR`, the model is wrong:
the figure needs investigation and must not be extrapolated with this model. This module does no I/O.
"""

from enum import Enum
from typing import NamedTuple

import numpy

MIN_SIZES = 5
MAX_PREDICTION_ERROR = 0.20  # relative to the measured value of the largest size


class TooFewSizesError(ValueError):
    """There are fewer sizes than a fit needs; the message holds their number."""


class InvalidPointsError(ValueError):
    """A fit cannot use the sizes or values: one is not finite or not positive, or a size occurs twice."""


class Model(Enum):
    """A model of growth with the size n; the value of each member is its printed form."""

    CONSTANT = "constant"
    LOGARITHMIC = "a + b log2 n"
    LINEAR = "a + b n"
    LINEARITHMIC = "a + b n log2 n"

    def basis(self, sizes):
        """Return the regressor of each size, which `Coefficients.slope` multiplies."""
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
    """A fit, and its prediction for the size that was held out of it."""

    model: Model
    base: float
    slope: float
    sizes: tuple  # the fitted sizes
    held_out_size: float  # the largest size, not fitted
    measured: float  # value at the held-out size
    predicted: float  # value at the held-out size

    @property
    def error(self):
        """The error of the prediction, relative to the measured value."""
        return abs(self.predicted - self.measured) / self.measured

    @property
    def wrong(self):
        """Whether the error of the prediction is too large to extrapolate with this model."""
        return self.error > MAX_PREDICTION_ERROR

    def at(self, size):
        """Return the value of the fit at a size."""
        return self.base + self.slope * float(self.model.basis([size])[0])


def validated_points(points):
    """Return the points (size, value) sorted by size; raise TooFewSizesError or InvalidPointsError."""
    points = sorted((float(size), float(value)) for size, value in points)
    if any(not (numpy.isfinite(size) and numpy.isfinite(value)) for size, value in points):
        raise InvalidPointsError("a size or value that is not finite")
    if any(size < 1 or value <= 0 for size, value in points):
        raise InvalidPointsError("a size below 1, or a value that is not above 0")
    if len({size for size, _ in points}) < len(points):
        raise InvalidPointsError("one size twice")
    if len(points) < MIN_SIZES:
        raise TooFewSizesError(f"{len(points)} sizes; a slope wants {MIN_SIZES} at least")
    return points


def fit_coefficients(model, sizes, values):
    """Return the Coefficients with the least squares of the relative residuals."""
    values = numpy.asarray(values, dtype=float)
    columns = [1 / values]
    if model is not Model.CONSTANT:
        columns.append(model.basis(sizes) / values)
    found, *_ = numpy.linalg.lstsq(numpy.stack(columns, axis=1), numpy.ones_like(values), rcond=None)
    return Coefficients(float(found[0]), float(found[1]) if len(found) > 1 else 0.0)


def cross_validation(model, sizes, values):
    """Return the mean and standard error of the relative errors of predicting each point from the others."""
    errors = []
    for index, (size, value) in enumerate(zip(sizes, values, strict=True)):
        others = [at for at in range(len(sizes)) if at != index]
        fit = fit_coefficients(model, [sizes[at] for at in others], [values[at] for at in others])
        predicted = fit.base + fit.slope * float(model.basis([size])[0])
        errors.append(abs(predicted - value) / value)
    return float(numpy.mean(errors)), float(numpy.std(errors, ddof=1)) / len(errors) ** 0.5


def select_model(sizes, values):
    """Return the model selected by the rule in the module's docstring."""
    errors = {model: cross_validation(model, sizes, values) for model in Model}
    least, spread = min(errors.values())
    return next(model for model in Model if errors[model][0] <= least + spread)


def fit_points(points):
    """Return the Slope of points (size, value); raise TooFewSizesError or InvalidPointsError."""
    *fit, (held_out_size, measured) = validated_points(points)
    sizes, values = [size for size, _ in fit], [value for _, value in fit]
    model = select_model(sizes, values)
    base, slope = fit_coefficients(model, sizes, values)
    predicted = base + slope * float(model.basis([held_out_size])[0])
    return Slope(model, base, slope, tuple(sizes), held_out_size, measured, predicted)
