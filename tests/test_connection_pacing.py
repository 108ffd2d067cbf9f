"""Tests of the limit on new connections to an endpoint, and of its effect on the decision module."""

from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limepath.configuration import peers_file
from limepath.configuration.ini import SettingError
from limepath.connection_pacing.connections import ConnectionPacer, most_expected
from limepath.discovery.simulate import most_in
from limepath.interface.commands import ForwardRequest, RejectRequest
from limepath.interface.events import (
    AttemptEnded,
    AttemptOutcome,
    CacheStatus,
    ConnectionAvailabilityChanged,
    RequestArrived,
)
from tests.discovery_harness import PEERS
from tests.fake_host import PARENT, SECOND, FakeHost


@settings(max_examples=40, deadline=None, derandomize=True)
@given(fronts=st.integers(1, 300), seed=st.integers(0, 999))
def test_any_number_of_simultaneous_starts_causes_no_burst_of_connections_to_an_endpoint(fronts, seed):
    random, times = Random(seed), []
    for _ in range(fronts):
        pacer = ConnectionPacer(100.0, lambda: fronts, random.random)
        pacer.update_endpoints(0, [1])
        for now in range(0, 3_000_000, 10_000):  # each front connects whenever it may
            if pacer.may_connect(1, now):
                pacer.connection_started(1, now)
                times.append(now)
    assert most_in(sorted(times), 99_999) <= 28  # ten on average
    assert most_in(sorted(times), 999_999) <= 150


def test_an_endpoint_with_an_open_connection_is_available_while_no_other_may_be_opened():
    pacer = ConnectionPacer(10.0, lambda: 100, lambda: 0.5)
    pacer.update_endpoints(0, [1, 2])
    assert dict(pacer.availability_changes(0)) == {1: False, 2: False} and pacer.next() == 5 * SECOND
    pacer.connection_started(1, 5 * SECOND)
    pacer.set_open_connections(1, 1)
    assert (
        dict(pacer.availability_changes(5 * SECOND)) == {1: True, 2: True}
        and not pacer.may_connect(1, 14 * SECOND)
        and pacer.may_connect(1, 15 * SECOND)
    )
    pacer.set_open_connections(1, 0)
    assert pacer.availability_changes(6 * SECOND) == [(1, False)] and pacer.next() == 15 * SECOND
    pacer.update_endpoints(6 * SECOND, [2])
    assert (
        pacer.may_connect(1, 6 * SECOND) and pacer.next() is None
    )  # not limited, because it is no longer listed


def get(ident, obj=7):
    return RequestArrived(ident, 0, 0, obj, 5 * SECOND, 0.0, 0, 0, False, False)


def forwards(commands):
    return [command for command in commands if isinstance(command, ForwardRequest)]


def test_requests_avoid_unavailable_caches_and_are_rejected_at_once_if_no_cache_is_available():
    host = FakeHost()
    home = forwards(host.handle(get(1)))[0].endpoint
    host.handle(ConnectionAvailabilityChanged(home, False))
    other = forwards(host.handle(get(2)))[0].endpoint
    assert other != home
    host.handle(ConnectionAvailabilityChanged(home, True))
    assert forwards(host.handle(get(3)))[0].endpoint == home
    host = FakeHost()
    host.handle(
        *(ConnectionAvailabilityChanged(cache.id, False) for cache in host.front.endpoints.servers.values())
    )
    commands = host.handle(get(4))
    assert [type(command) for command in commands] == [RejectRequest] and commands[0].retry_after > 0


def test_a_parent_that_is_unavailable_to_the_front_is_still_a_fill_source():
    host = FakeHost()
    host.handle(
        *(
            ConnectionAvailabilityChanged(cache.id, False)
            for cache in host.front.endpoints.servers.values()
            if cache.is_upstream
        )
    )
    first = forwards(host.handle(get(1)))[0]
    commands = host.handle(
        AttemptEnded(1, 0, AttemptOutcome.MISS, first.endpoint, 1000, 0, False, CacheStatus.NONE, {})
    )
    assert host.front.endpoints.servers[forwards(commands)[0].source].endpoint.kind == PARENT


def test_a_connection_rate_requires_the_number_of_fronts_that_share_it(tmp_path):
    file = tmp_path / "peers.ini"
    file.write_text(PEERS + "[caches]\nconnections = 100\n")
    with pytest.raises(SettingError, match=r"\[caches\]: requires \[listing\] fronts"):
        peers_file.read(file)
    file.write_text(PEERS + "[listing]\nfronts = 9\n[caches]\nconnections = 100\nready = 50\n")
    settings = peers_file.read(file)
    assert settings.connections == 100 and settings.listing.ready == 50.0


def test_most_expected_is_three_standard_deviations_above_the_mean():
    assert (most_expected(100.0, 100_000), most_expected(100.0, 1_000_000)) == (20, 130)


def test_a_front_connects_to_an_endpoint_when_its_interval_has_passed():
    pacer = ConnectionPacer(100.0, lambda: 200, lambda: 0.25)  # each front may open one connection in 2 s
    pacer.update_endpoints(0, ["s-1"])
    assert not pacer.may_connect("s-1", 499_999) and pacer.may_connect("s-1", 500_000)
    assert pacer.availability_changes(0) == [("s-1", False)] and pacer.next() == 500_000
    assert (
        pacer.availability_changes(500_000) == [("s-1", True)] and pacer.availability_changes(500_001) == []
    )
    pacer.connection_started("s-1", 500_000)
    assert pacer.may_connect("s-1", 2_499_999) is False and pacer.availability_changes(600_000) == [
        ("s-1", False)
    ]
    assert pacer.set_open_connections("s-1", 1) is None and pacer.availability_changes(700_000) == [
        ("s-1", True)
    ]
