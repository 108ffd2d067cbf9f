"""Slopes: the model by rule, the largest size predicted and not fitted, errors stated."""

from math import log2

import pytest

from limepath.scale.slopes import BadPoints, Model, TooFewSizes, fitted

SIZES = (6, 20, 70, 200, 500, 1400)
NOISE = (1.02, 0.99, 1.01, 0.98, 1.015, 1.0)  # of the measured value, by size


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
def test_the_model_that_made_the_points_is_found(model, cost):
    slope = fitted(points(cost))
    assert slope.model is model
    assert slope.error < 0.05 and not slope.wrong
    assert slope.at(5200) == pytest.approx(cost(5200), rel=0.1)


def test_the_largest_size_is_kept_out_of_the_fit():
    straight = points(lambda n: 45 + 1.1 * n)
    bent = [*straight[:-1], (1400, 10 * straight[-1][1])]
    assert fitted(bent)[:4] == fitted(straight)[:4]
    assert fitted(straight).sizes == SIZES[:-1] and fitted(straight).kept_out == 1400


def test_an_error_over_a_fifth_says_that_the_model_is_wrong():
    def stepped(n):
        return 100.0 if n < 1000 else 126.0

    slope = fitted([(size, stepped(size)) for size in SIZES])
    assert slope.wrong and slope.error == pytest.approx(26 / 126)
    assert not fitted([(size, 100.0 if size < 1000 else 124.0) for size in SIZES]).wrong


def test_fewer_than_five_sizes_are_refused():
    with pytest.raises(TooFewSizes, match="4 sizes"):
        fitted(points(lambda n: 1.0 * n)[:4])
    assert len(fitted(points(lambda n: 1.0 * n)[:5]).sizes) == 4


@pytest.mark.parametrize(
    "bad", [(1400, float("nan")), (1400, 0.0), (1400, -3.0), (0, 5.0), (500, 7.0), (float("inf"), 1.0)]
)
def test_points_that_no_fit_can_use_are_refused(bad):
    with pytest.raises(BadPoints):
        fitted([*points(lambda n: 1.0 * n)[:5], bad])


def test_the_order_of_points_does_not_matter():
    straight = points(lambda n: 45 + 1.1 * n)
    assert fitted(straight[::-1]) == fitted(straight)
