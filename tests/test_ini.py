"""Tests of the parsers of values in INI files."""

import pytest

from limepath.configuration.ini import parse_address, parse_boolean, parse_duration, parse_fraction


def test_a_duration_requires_a_unit():
    assert parse_duration("250ms") == 250_000
    assert parse_duration("1.5 s") == 1_500_000
    assert parse_duration("2m") == 120_000_000
    with pytest.raises(ValueError) as error:
        parse_duration("250")
    assert str(error.value) == "expected a duration with a unit (us, ms, s, m, h), such as 250ms"


def test_a_fraction_is_a_percentage_or_a_decimal():
    assert (parse_fraction("30%"), parse_fraction("0.5")) == (0.3, 0.5)


def test_a_boolean_is_on_or_off():
    assert (parse_boolean("on"), parse_boolean("no")) == (True, False)


def test_an_address_is_an_ip_address_with_a_port():
    assert parse_address("127.0.0.1:7946") == ("127.0.0.1", 7946)
    assert parse_address("[::1]:7946") == ("::1", 7946)
