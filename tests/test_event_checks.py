"""Tests of limepath/discovery/event_checks.py: validation of the list service's events."""

import pytest

from limepath.discovery.event_checks import InvalidEventError, parse_event


def test_a_purge_is_parsed_with_its_number():
    assert parse_event('{"seq": 3, "invalidate": {"bucket": 17, "time": 5}}')["seq"] == 3


@pytest.mark.parametrize(
    "text, reason",
    [
        ("{", "event is not valid JSON"),
        ("[]", "event without 'seq', an integer of 0 or more"),
        ('{"seq": "x"}', "event without 'seq', an integer of 0 or more"),
        (
            '{"seq": 2, "fleet": {"members": [{"id": ""}]}}',
            "member '': 'id' is not a string of 1 to 64 characters",
        ),
        ('{"seq": 2, "invalidate": {"time": 5}}', "purge with neither 'object' nor 'bucket'"),
        (
            '{"seq": 2, "invalidate": {"object": "xyz", "time": 5}}',
            "purge: object 'xyz' is not a hexadecimal number",
        ),
    ],
)
def test_a_malformed_event_is_rejected_with_the_reason(text, reason):
    with pytest.raises(InvalidEventError) as error:
        parse_event(text)
    assert str(error.value) == reason
