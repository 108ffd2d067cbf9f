"""Tests of the limit on fills and of the window of fetches."""

from limepath.interface.commands import ForwardRequest
from limepath.interface.events import AttemptOutcome, ClientDisconnected
from tests.fake_host import ENDPOINTS, SECOND, FakeHost, forwards, kinds, make_service


def run_fetch(host, obj, outcome, duration=1000):
    """Look an object up, miss, fetch it and end the fetch."""
    filled = forwards(host.end_attempt(host.request(obj)[0], AttemptOutcome.MISS))[0]
    host.wait(1000)
    host.end_attempt(filled, outcome, 1, answered=True, duration=duration)


def with_open_window(host):
    """The host with its window as after a while of fetches in time."""
    host.front.fetch_window.size = host.front.fetch_window.max_fills
    return host


def test_where_fetches_do_not_come_back_parents_are_asked_for_cached_copies_only():
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
    (held,) = host.end_attempt(lookup, AttemptOutcome.MISS)
    assert held.cached_only
    assert kinds(host.end_attempt(held, AttemptOutcome.MISS, 1)) == ["RejectRequest"]
    host.end_attempt(fetch, AttemptOutcome.SUCCEEDED, 1, answered=True)
    for turn in range(40):
        (lookup,) = host.request(100 + turn)
        (fetch,) = host.end_attempt(lookup, AttemptOutcome.MISS)
        host.end_attempt(fetch, AttemptOutcome.SUCCEEDED, 1, answered=True)
    (lookup,) = host.request(199)
    host.end_attempt(lookup, AttemptOutcome.MISS)
    (lookup,) = host.request(200)
    assert not host.end_attempt(lookup, AttemptOutcome.MISS)[0].cached_only


def test_lost_fetches_close_the_window_to_its_least_size_and_time_opens_it():
    host = with_open_window(FakeHost(fronts=200))
    window = host.front.fetch_window
    for obj in range(40):
        fill = forwards(host.end_attempt(host.request(obj)[0], AttemptOutcome.MISS))[0]
        host.end_attempt(fill, AttemptOutcome.FAILED, 1, answered=True)
    assert window.size == 4 / 200
    host.wait(5000 * SECOND)
    assert window.may_fetch()
    assert window.size == 1
    assert FakeHost(
        fronts=400, fronts_in_zone=200
    ).front.fetch_window.may_fetch()  # its share of the link is under one fill


def test_a_parent_that_fails_while_others_fetch_in_time_does_not_close_the_window():
    host, errs, held = with_open_window(FakeHost()), 0, []
    run_fetch(host, 40, AttemptOutcome.SUCCEEDED)
    for obj in range(40):  # each ends through the other parent, or stays out
        fetch, number = forwards(host.end_attempt(host.request(obj)[0], AttemptOutcome.MISS))[0], 1
        if fetch.source == 11:
            second_lookup = forwards(host.end_attempt(fetch, AttemptOutcome.FAILED, 1, duration=7000))[0]
            fetch, number, errs = (
                forwards(host.end_attempt(second_lookup, AttemptOutcome.MISS, 2))[0],
                3,
                errs + 1,
            )
        held.append(fetch.cached_only)
        if obj >= 15:
            host.end_attempt(fetch, AttemptOutcome.SUCCEEDED, number, answered=True)
    assert errs > 10
    assert not any(held)


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


def test_one_fetch_lost_among_others_in_time_leaves_the_window_open_and_a_wide_one_grows_in_proportion():
    host = with_open_window(FakeHost())
    run_fetch(host, 1, AttemptOutcome.SUCCEEDED)
    run_fetch(host, 2, AttemptOutcome.TIMED_OUT, duration=SECOND)
    assert host.front.fetch_window.size > 0.8 * host.front.fetch_window.max_fills  # was a tenth once
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


def test_a_fetch_lost_through_an_overloaded_cache_leaves_the_window_open():
    host = FakeHost(endpoints=ENDPOINTS[:1] + ENDPOINTS[3:])
    for obj in range(3):
        host.end_attempt(host.request(obj)[0], AttemptOutcome.SUCCEEDED, answered=True, duration=4 * SECOND)
    window = host.front.fetch_window.size
    fill = forwards(host.end_attempt(forwards(host.request(9))[0], AttemptOutcome.MISS))[0]
    host.end_attempt(fill, AttemptOutcome.TIMED_OUT, 1)
    assert host.front.fetch_window.size == window


def test_on_a_full_link_small_requests_go_first_and_large_ones_last():
    def filled(size_kb):
        host = with_open_window(
            FakeHost(services=(make_service(), make_service(latency_objective=SECOND // 10)))
        )
        lookups = [host.request(obj, size_kb=size_kb)[0] for obj in range(60)]
        return sum(
            bool(forwards(host.end_attempt(lookup, AttemptOutcome.MISS)))
            for lookup in lookups
            if isinstance(lookup, ForwardRequest)
        )

    assert filled(700.0) < filled(500.0) < filled(100.0)


def test_a_front_that_starts_fetches_one_at_a_time_and_more_as_they_come_in_time():
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
