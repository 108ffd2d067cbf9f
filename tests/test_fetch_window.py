"""Tests of the limit on fills and of the fetch window."""

from limepath.interface.commands import ForwardRequest
from limepath.interface.events import AttemptOutcome, ClientDisconnected
from tests.fake_host import ENDPOINTS, SECOND, FakeHost, forwards, kinds, make_service


def run_fetch(host, obj, outcome, duration=1000):
    """Request an object, end its lookup with a miss and end the fetch that follows."""
    fetch = forwards(host.end_attempt(host.request(obj)[0], AttemptOutcome.MISS))[0]
    host.wait(1000)
    host.end_attempt(fetch, outcome, 1, answered=True, duration=duration)


def with_open_window(host):
    """Return the host with its window at the maximum, as after many fetches in time."""
    host.front.fetch_window.size = host.front.fetch_window.max_fills
    return host


def test_while_fetches_time_out_parents_may_serve_only_cached_copies():
    host = FakeHost()
    for obj in range(40):
        (lookup,) = host.request(obj)
        fill = forwards(host.end_attempt(lookup, AttemptOutcome.MISS))[0]
        host.end_attempt(
            fill,
            AttemptOutcome.TIMED_OUT if obj % 2 else AttemptOutcome.SUCCEEDED,
            1,
            answered=not obj % 2,
            duration=5 * SECOND,
        )
        host.handle(ClientDisconnected(lookup.request))
    (lookup,) = host.request(90)
    (fetch,) = host.end_attempt(lookup, AttemptOutcome.MISS)
    assert not fetch.cached_only
    (lookup,) = host.request(91)
    (cached_only_fill,) = host.end_attempt(lookup, AttemptOutcome.MISS)
    assert cached_only_fill.cached_only
    assert kinds(host.end_attempt(cached_only_fill, AttemptOutcome.MISS, 1)) == ["RejectRequest"]
    host.end_attempt(fetch, AttemptOutcome.SUCCEEDED, 1, answered=True)
    for index in range(40):
        (lookup,) = host.request(100 + index)
        (fetch,) = host.end_attempt(lookup, AttemptOutcome.MISS)
        host.end_attempt(fetch, AttemptOutcome.SUCCEEDED, 1, answered=True)
    (lookup,) = host.request(199)
    host.end_attempt(lookup, AttemptOutcome.MISS)
    (lookup,) = host.request(200)
    assert not host.end_attempt(lookup, AttemptOutcome.MISS)[0].cached_only


def test_lost_fetches_narrow_the_window_to_its_minimum_and_time_widens_it():
    host = with_open_window(FakeHost(fronts=200))
    window = host.front.fetch_window
    for obj in range(40):
        fill = forwards(host.end_attempt(host.request(obj)[0], AttemptOutcome.MISS))[0]
        host.end_attempt(fill, AttemptOutcome.FAILED, 1, answered=True)
    assert window.size == 4 / 200
    host.wait(5000 * SECOND)
    assert window.may_fetch()
    assert window.size == 1
    # A front may fetch even if its share of the link is less than one fill.
    assert FakeHost(fronts=400, fronts_in_zone=200).front.fetch_window.may_fetch()


def test_a_parent_that_fails_while_others_fetch_in_time_does_not_narrow_the_window():
    host, failures, cached_only = with_open_window(FakeHost()), 0, []
    run_fetch(host, 40, AttemptOutcome.SUCCEEDED)
    for obj in range(40):  # each fetch ends at the other parent or stays in flight
        fetch, number = forwards(host.end_attempt(host.request(obj)[0], AttemptOutcome.MISS))[0], 1
        if fetch.source == 11:
            second_lookup = forwards(host.end_attempt(fetch, AttemptOutcome.FAILED, 1, duration=7000))[0]
            fetch, number, failures = (
                forwards(host.end_attempt(second_lookup, AttemptOutcome.MISS, 2))[0],
                3,
                failures + 1,
            )
        cached_only.append(fetch.cached_only)
        if obj >= 15:
            host.end_attempt(fetch, AttemptOutcome.SUCCEEDED, number, answered=True)
    assert failures > 10
    assert not any(cached_only)


def test_a_time_out_before_the_latency_objective_counts_against_no_server():
    host = with_open_window(FakeHost())
    for obj in range(20):
        run_fetch(host, obj, AttemptOutcome.TIMED_OUT, duration=100_000)
    assert host.front.fetch_window.size == host.front.fetch_window.max_fills
    assert {
        forwards(host.end_attempt(host.request(obj)[0], AttemptOutcome.MISS))[0].source for obj in range(20)
    } == {
        11,
        12,
    }


def test_one_lost_fetch_among_others_in_time_hardly_narrows_the_window_and_a_wide_window_grows_faster():
    host = with_open_window(FakeHost())
    run_fetch(host, 1, AttemptOutcome.SUCCEEDED)
    run_fetch(host, 2, AttemptOutcome.TIMED_OUT, duration=SECOND)
    # The window must not fall to a tenth, as it does after a loss without other fetches in time.
    assert host.front.fetch_window.size > 0.8 * host.front.fetch_window.max_fills
    windows = []
    for link_kb_s in (9000.0, 90_000.0):
        host = with_open_window(FakeHost(link_kb_s=link_kb_s))
        for obj in range(8):
            run_fetch(host, obj, AttemptOutcome.TIMED_OUT, duration=SECOND)
            host.wait(SECOND)
        for obj in range(300):
            run_fetch(host, obj, AttemptOutcome.SUCCEEDED)
        windows.append(host.front.fetch_window.size)
    assert windows[0] == 19.8
    assert windows[1] > 90


def test_a_fetch_lost_at_an_overloaded_cache_does_not_narrow_the_window():
    host = FakeHost(endpoints=ENDPOINTS[:1] + ENDPOINTS[3:])
    for obj in range(3):
        host.end_attempt(host.request(obj)[0], AttemptOutcome.SUCCEEDED, answered=True, duration=4 * SECOND)
    window = host.front.fetch_window.size
    fill = forwards(host.end_attempt(forwards(host.request(9))[0], AttemptOutcome.MISS))[0]
    host.end_attempt(fill, AttemptOutcome.TIMED_OUT, 1)
    assert host.front.fetch_window.size == window


def test_a_full_link_accepts_more_small_requests_than_large_ones():
    def count_fills(size_kb):
        host = with_open_window(
            FakeHost(services=(make_service(), make_service(latency_objective=SECOND // 10)))
        )
        lookups = [host.request(obj, size_kb=size_kb)[0] for obj in range(60)]
        return sum(
            bool(forwards(host.end_attempt(lookup, AttemptOutcome.MISS)))
            for lookup in lookups
            if isinstance(lookup, ForwardRequest)
        )

    assert count_fills(700.0) < count_fills(500.0) < count_fills(100.0)


def test_a_front_starts_with_one_fetch_and_adds_more_as_they_complete_in_time():
    host = FakeHost()
    first, second = (
        forwards(host.end_attempt(host.request(obj)[0], AttemptOutcome.MISS))[0] for obj in (1, 2)
    )
    assert not first.cached_only
    assert second.cached_only
    host.end_attempt(first, AttemptOutcome.SUCCEEDED, 1, answered=True)
    for obj in range(3, 40):
        run_fetch(host, obj, AttemptOutcome.SUCCEEDED)
    assert host.front.fetch_window.size > 10
