"""Values of settings files."""

import pytest

from limepath.configuration.ini import address, share, span, yes


def test_a_duration_has_its_unit():
    assert (span("250ms"), span("1.5 s"), span("2m")) == (250_000, 1_500_000, 120_000_000)
    with pytest.raises(ValueError) as error:
        span("250")
    assert str(error.value) == "a duration with its unit (us, ms, s, m, h) is wanted, as in 250ms"


def test_a_share_is_told_in_percent_or_as_a_part_of_one():
    assert (share("30%"), share("0.5")) == (0.3, 0.5)


def test_on_and_off_have_their_words():
    assert (yes("on"), yes("no")) == (True, False)


def test_an_address_is_a_numeric_host_with_a_port():
    assert address("127.0.0.1:7946") == ("127.0.0.1", 7946)
    assert address("[::1]:7946") == ("::1", 7946)
