"""Tests of limepath/discovery/endpoint_list.py: packing and unpacking of the list."""

import zlib

import pytest

from limepath.discovery.endpoint_list import EndpointList, unpack_list
from limepath.discovery.event_checks import InvalidEventError, parse_event
from limepath.discovery.interface import Revision

MAX_BYTES = 10_000
FLEET_EVENT = (
    '{"seq": 7, "fleet": {"complete": true, "revision": 2, "members": [{"id": "s-1", '
    '"host_port": "127.0.0.1:9", "locality": "sur", "flavor": "box", "phase": "in_service"}]}}'
)
PURGE_EVENT = '{"seq": 8, "invalidate": {"bucket": 17, "time": 5}}'


@pytest.fixture
def endpoint_list():
    filled_list = EndpointList()
    filled_list.apply(parse_event(FLEET_EVENT))
    filled_list.apply(parse_event(PURGE_EVENT))
    return filled_list


def test_a_packed_list_is_unpacked_unchanged(endpoint_list):
    unpacked = unpack_list(endpoint_list.pack(), MAX_BYTES)
    assert unpacked.revision == Revision(0, 8)
    assert unpacked.digest == endpoint_list.digest
    assert len(unpacked.purges) == 1
    assert unpacked.full_event() == endpoint_list.full_event()


@pytest.mark.parametrize(
    "damage, reason",
    [
        (lambda packed: b"", "not a list of this program"),
        (lambda packed: packed[:-3], "cut or damaged"),
        (lambda packed: b"LPL1" + zlib.compress(b"[1]"), "damaged: TypeError"),
        (lambda packed: packed[:60] + b"x" + packed[60:], "cut or damaged"),
    ],
)
def test_damaged_bytes_are_rejected_with_the_reason(endpoint_list, damage, reason):
    with pytest.raises(InvalidEventError) as error:
        unpack_list(damage(endpoint_list.pack()), MAX_BYTES)
    assert str(error.value) == reason


def test_a_list_over_the_size_limit_is_rejected(endpoint_list):
    with pytest.raises(InvalidEventError, match="^over 100 bytes$"):
        unpack_list(endpoint_list.pack(), 100)
