"""Tests of the entries of the endpoint list."""

import pytest

from limepath.front.endpoint_entry import endpoint_ident, parse_entries
from limepath.front.reference_clock import ReferenceClock
from limepath.interface.events import EndpointState


def test_an_endpoint_has_the_same_ident_at_every_front():
    assert endpoint_ident("s-00c41f7a") == endpoint_ident("s-00c41f7a") != endpoint_ident("s-00c41f7b")


@pytest.mark.parametrize(
    "malformed", [{"id": [], "phase": "in_service"}, {"id": "s-1", "phase": []}, 7, None]
)
def test_a_malformed_entry_does_not_hide_the_drain_of_another(malformed):
    """Guards against an entry whose name or state is no text, which made the whole event unreadable."""
    line = {
        "id": "s-2",
        "host_port": "127.0.0.1:9",
        "locality": "sur",
        "flavor": "box",
        "phase": "terminating",
    }
    entries, errors = parse_entries([malformed, line], ["sur"], ["box"], {}, ReferenceClock(0), True)
    assert [(entry.name, entry.endpoint.state) for entry in entries] == [("s-2", EndpointState.DRAINING)]
    assert len(errors) == 1
