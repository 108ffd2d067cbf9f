"""Tests the fits of limepath.scale.slopes: model selection, the held-out largest size, rejected input."""

from math import log2

import pytest

from limepath.scale.slopes import InvalidPointsError, Model, TooFewSizesError, fit_points

SIZES = (6, 20, 70, 200, 500, 1400)
NOISE = (1.02, 0.99, 1.01, 0.98, 1.015, 1.0)  # factor on the value of each size


def points(cost, sizes=SIZES):
    return [(size, cost(size) * noise) for size, noise in zip(sizes, NOISE, strict=False)]


@pytest.mark.parametrize(
    ("model", "cost"),
    [
        (Model.CONSTANT, lambda n: 352.0),
        (Model.LOGARITHMIC, lambda n: 10 + 30 * log2(n)),
        (Model.LINEAR, lambda n: 45 + 1.1 * n),
        (Model.LINEARITHMIC, lambda n: 20 + 2.0 * n * log2(n)),
    ],
)
def test_selects_the_model_that_generated_the_points(model, cost):
    slope = fit_points(points(cost))
    assert slope.model is model
    assert slope.error < 0.05 and not slope.wrong
    assert slope.at(5200) == pytest.approx(cost(5200), rel=0.1)


def test_largest_size_is_held_out_of_the_fit():
    straight = points(lambda n: 45 + 1.1 * n)
    bent = [*straight[:-1], (1400, 10 * straight[-1][1])]
    assert fit_points(bent)[:4] == fit_points(straight)[:4]
    assert fit_points(straight).sizes == SIZES[:-1] and fit_points(straight).held_out_size == 1400


def test_model_is_wrong_if_prediction_error_exceeds_20_percent():
    def stepped(n):
        return 100.0 if n < 1000 else 126.0

    slope = fit_points([(size, stepped(size)) for size in SIZES])
    assert slope.wrong and slope.error == pytest.approx(26 / 126)
    assert not fit_points([(size, 100.0 if size < 1000 else 124.0) for size in SIZES]).wrong


def test_fewer_than_five_sizes_are_rejected():
    with pytest.raises(TooFewSizesError, match="4 sizes"):
        fit_points(points(lambda n: 1.0 * n)[:4])
    assert len(fit_points(points(lambda n: 1.0 * n)[:5]).sizes) == 4


@pytest.mark.parametrize(
    "bad", [(1400, float("nan")), (1400, 0.0), (1400, -3.0), (0, 5.0), (500, 7.0), (float("inf"), 1.0)]
)
def test_invalid_points_are_rejected(bad):
    with pytest.raises(InvalidPointsError):
        fit_points([*points(lambda n: 1.0 * n)[:5], bad])


def test_order_of_points_does_not_matter():
    straight = points(lambda n: 45 + 1.1 * n)
    assert fit_points(straight[::-1]) == fit_points(straight)
