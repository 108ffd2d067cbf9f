"""Tests of the limit on fills and of the window of fetches."""

from limepath.interface.commands import ForwardRequest
from limepath.interface.events import AttemptOutcome, ClientDisconnected
from tests.fake_host import FLEET, SECOND, FakeHost, forwards, kinds, service


def run_fetch(host, obj, outcome, took=1000):
    """Look an object up, miss, fetch it and end the fetch."""
    filled = forwards(host.end(host.get(obj)[0], AttemptOutcome.MISS))[0]
    host.wait(1000)
    host.end(filled, outcome, 1, closed=True, took=took)


def with_open_window(host):
    """The host with its window as after a while of fetches in time."""
    host.front.fetch_window.size = host.front.fetch_window.max_fills
    return host


def test_where_fetches_do_not_come_back_parents_are_asked_for_cached_copies_only():
    host = FakeHost()
    for obj in range(40):
        (lookup,) = host.get(obj)
        fill = forwards(host.end(lookup, AttemptOutcome.MISS))[0]
        host.end(
            fill,
            AttemptOutcome.TIMED_OUT if obj % 2 else AttemptOutcome.SUCCEEDED,
            1,
            closed=not obj % 2,
            took=5 * SECOND,
        )
        host.hear(ClientDisconnected(lookup.request))
    (lookup,) = host.get(90)
    (fetch,) = host.end(lookup, AttemptOutcome.MISS)
    assert not fetch.cached_only
    (lookup,) = host.get(91)
    (held,) = host.end(lookup, AttemptOutcome.MISS)
    assert held.cached_only
    assert kinds(host.end(held, AttemptOutcome.MISS, 1)) == ["RejectRequest"]
    host.end(fetch, AttemptOutcome.SUCCEEDED, 1, closed=True)
    for turn in range(40):
        (lookup,) = host.get(100 + turn)
        (fetch,) = host.end(lookup, AttemptOutcome.MISS)
        host.end(fetch, AttemptOutcome.SUCCEEDED, 1, closed=True)
    (lookup,) = host.get(199)
    host.end(lookup, AttemptOutcome.MISS)
    (lookup,) = host.get(200)
    assert not host.end(lookup, AttemptOutcome.MISS)[0].cached_only


def test_lost_fetches_close_the_window_to_its_least_size_and_time_opens_it():
    host = with_open_window(FakeHost(fronts=200))
    window = host.front.fetch_window
    for obj in range(40):
        fill = forwards(host.end(host.get(obj)[0], AttemptOutcome.MISS))[0]
        host.end(fill, AttemptOutcome.FAILED, 1, closed=True)
    assert window.size == 4 / 200
    host.wait(5000 * SECOND)
    assert window.may_fetch()
    assert window.size == 1
    assert FakeHost(
        fronts=400, nearby=200
    ).front.fetch_window.may_fetch()  # its share of the link is under one fill


def test_a_parent_that_fails_while_others_fetch_in_time_does_not_close_the_window():
    host, errs, held = with_open_window(FakeHost()), 0, []
    run_fetch(host, 40, AttemptOutcome.SUCCEEDED)
    for obj in range(40):  # each ends through the other parent, or stays out
        fetch, number = forwards(host.end(host.get(obj)[0], AttemptOutcome.MISS))[0], 1
        if fetch.source == 11:
            second_lookup = forwards(host.end(fetch, AttemptOutcome.FAILED, 1, took=7000))[0]
            fetch, number, errs = forwards(host.end(second_lookup, AttemptOutcome.MISS, 2))[0], 3, errs + 1
        held.append(fetch.cached_only)
        if obj >= 15:
            host.end(fetch, AttemptOutcome.SUCCEEDED, number, closed=True)
    assert errs > 10
    assert not any(held)


def test_a_time_out_before_the_latency_objective_counts_against_no_server():
    host = with_open_window(FakeHost())
    for obj in range(20):
        run_fetch(host, obj, AttemptOutcome.TIMED_OUT, took=100_000)
    assert host.front.fetch_window.size == host.front.fetch_window.max_fills
    assert {forwards(host.end(host.get(obj)[0], AttemptOutcome.MISS))[0].source for obj in range(20)} == {
        11,
        12,
    }


def test_one_fetch_lost_among_others_in_time_leaves_the_window_open_and_a_wide_one_grows_in_proportion():
    host = with_open_window(FakeHost())
    run_fetch(host, 1, AttemptOutcome.SUCCEEDED)
    run_fetch(host, 2, AttemptOutcome.TIMED_OUT, took=SECOND)
    assert host.front.fetch_window.size > 0.8 * host.front.fetch_window.max_fills  # was a tenth once
    windows = []
    for link in (9000.0, 90_000.0):
        host = with_open_window(FakeHost(link=link))
        for obj in range(8):
            run_fetch(host, obj, AttemptOutcome.TIMED_OUT, took=SECOND)
            host.wait(SECOND)
        for obj in range(300):
            run_fetch(host, obj, AttemptOutcome.SUCCEEDED)
        windows.append(host.front.fetch_window.size)
    assert windows[0] == 19.8
    assert windows[1] > 90


def test_a_fetch_lost_through_an_overloaded_cache_leaves_the_window_open():
    host = FakeHost(fleet=FLEET[:1] + FLEET[3:])
    for obj in range(3):
        host.end(host.get(obj)[0], AttemptOutcome.SUCCEEDED, closed=True, took=4 * SECOND)
    window = host.front.fetch_window.size
    fill = forwards(host.end(forwards(host.get(9))[0], AttemptOutcome.MISS))[0]
    host.end(fill, AttemptOutcome.TIMED_OUT, 1)
    assert host.front.fetch_window.size == window


def test_on_a_full_link_small_requests_go_first_and_large_ones_last():
    def filled(size_kb):
        host = with_open_window(FakeHost(services=(service(), service(latency_objective=SECOND // 10))))
        lookups = [host.get(obj, size_kb=size_kb)[0] for obj in range(60)]
        return sum(
            bool(forwards(host.end(lookup, AttemptOutcome.MISS)))
            for lookup in lookups
            if isinstance(lookup, ForwardRequest)
        )

    assert filled(700.0) < filled(500.0) < filled(100.0)


def test_a_front_that_starts_fetches_one_at_a_time_and_more_as_they_come_in_time():
    host = FakeHost()
    first, second = (forwards(host.end(host.get(obj)[0], AttemptOutcome.MISS))[0] for obj in (1, 2))
    assert not first.cached_only
    assert second.cached_only
    host.end(first, AttemptOutcome.SUCCEEDED, 1, closed=True)
    for obj in range(3, 40):
        run_fetch(host, obj, AttemptOutcome.SUCCEEDED)
    assert host.front.fetch_window.size > 10
