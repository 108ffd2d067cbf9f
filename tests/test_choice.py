"""Short scenarios, one for each rule and each failure met."""

from limepath.hashing import mix64
from limepath.interface.commands import CancelAttempt, FailRequest, ForwardRequest, RejectRequest, SendProbe
from limepath.interface.events import (
    AttemptOutcome,
    ClientDisconnected,
    EndpointState,
    ProbeEnded,
    RequestArrived,
)
from limepath.interface.settings import Idempotency, KeyScope
from tests.fake_host import FLEET, ORIGIN, PARENT, SECOND, FakeHost, member, service

V = AttemptOutcome


def forwards(orders):
    return [o for o in orders if isinstance(o, ForwardRequest)]


def probed(orders):
    return [o.endpoint for o in orders if isinstance(o, SendProbe)]


def kinds(orders):
    return [type(o).__name__ for o in orders]


def test_a_miss_is_filled_from_a_parent_that_the_hash_names():
    host = FakeHost()
    (look,) = host.get()
    assert look.source == look.endpoint
    (fill,) = host.end(look, V.MISS)
    assert fill.endpoint == look.endpoint and fill.source in (11, 12)
    assert host.end(fill, V.SUCCEEDED, 1, closed=True) == []


def test_one_final_answer_and_nothing_after_it():
    host = FakeHost()
    (look,) = host.get()
    host.hear(ClientDisconnected(look.request))
    assert not forwards(host.end(look, V.CANCELLED)) and not forwards(host.wait(6 * SECOND))
    assert not any(isinstance(o, (RejectRequest, FailRequest)) for o in host.told)


def test_a_non_idempotent_get_that_may_have_run_ends_errored():
    host = FakeHost(services=(service(idempotency=Idempotency.NON_IDEMPOTENT, uncacheable=True),))
    (only,) = host.get()
    assert only.endpoint == 21 and only.keep_rank == 0
    assert kinds(host.end(only, V.RESET)) == ["FailRequest"]
    host = FakeHost(services=(service(idempotency=Idempotency.NON_IDEMPOTENT, uncacheable=True),))
    (second,) = host.get()
    assert kinds(host.end(second, V.FULL)) == ["RejectRequest"]


def test_a_draining_cache_gets_nothing_new_neither_as_source():
    host = FakeHost()
    host.roster(
        member(1, standing=EndpointState.DRAINING), member(11, PARENT, standing=EndpointState.REMOVED)
    )
    for obj in range(60):
        (look,) = host.get(obj)
        (fill,) = host.end(look, V.MISS)
        host.end(fill, V.SUCCEEDED, 1, closed=True)
        assert 1 not in (look.endpoint, fill.endpoint) and fill.source == 12


def test_a_started_cache_is_not_pushed_over_at_once():
    host = FakeHost()
    host.roster(member(1, started=host.now))
    sent = 0
    for obj in range(200):
        orders = host.get(obj)
        sent += any(o.endpoint == 1 for o in forwards(orders))
        for forward in forwards(orders):
            host.end(forward, V.SUCCEEDED, closed=True, took=600_000)
    assert 0 < sent <= 3  # 0.8 of 2 x 0.2 x 6 lanes for 1 s, at 0.6 s each


def test_no_copy_older_than_a_purge():
    host = FakeHost()
    host.purge(obj=5, age=200_000)
    assert 0 < host.get(5)[0].max_age <= 200_000
    assert host.get(6)[0].max_age == 0
    host.purge(group=4)
    assert 0 < host.get(6, group=4)[0].max_age <= 10
    host.wait(7 * SECOND)
    assert host.get(5, group=4)[0].max_age == 0


def test_a_silent_cache_is_probed_and_its_gets_called_back():
    host = FakeHost()
    (look,) = host.get()
    assert not probed(host.wait(SECOND)) and probed(host.wait(SECOND)) == [
        look.endpoint
    ]  # a transfer takes 0.6 s in the mean
    host.probe_report(look.endpoint, V.TIMED_OUT)
    host.wait(SECOND // 2)
    assert CancelAttempt(look.request, 0) in host.probe_report(look.endpoint, V.TIMED_OUT)
    (again,) = forwards(host.end(look, V.CANCELLED))
    assert again.endpoint != look.endpoint


def test_the_origin_fills_only_when_no_parent_is_up():
    host = FakeHost()
    host.roster(
        member(11, PARENT, standing=EndpointState.REMOVED), member(12, PARENT, standing=EndpointState.REMOVED)
    )
    (look,) = host.get()
    assert host.end(look, V.MISS)[0].source == 21 and ORIGIN == 3


def test_a_first_broken_connection_moves_no_get_three_in_a_row_put_the_cache_in_doubt():
    host = FakeHost()
    looks = [host.get()[0] for _ in range(9)]
    home = looks[0].endpoint
    for look in looks:  # all on one connection: three such GETs once put their cache in doubt
        assert host.end(look, V.RESET)[0].endpoint == home
    for _ in range(2):
        host.wait(1000)
        look = host.get()[0]
        assert look.endpoint == home
        assert forwards(host.end(look, V.RESET))[-1].endpoint != home
    assert host.get()[0].endpoint != home


def test_a_probe_that_breaks_with_its_connection_calls_nobody_back():
    host = FakeHost()
    home = host.get()[0].endpoint
    assert probed(host.wait(2 * SECOND)) == [home]
    assert not host.probe_report(home, V.RESET) and host.get()[0].endpoint == home


def test_a_full_origin_is_offered_a_get_once():
    host = FakeHost(services=(service(uncacheable=True),), fleet=(member(21, ORIGIN, weight=1.0),))
    assert {type(o) for _ in range(40) for o in host.get()} == {ForwardRequest, RejectRequest}


def test_a_jammed_link_takes_no_more_fills_and_an_ageing_copy_will_do():
    host = FakeHost(services=(service(max_age=8 * SECOND, stale_grace=30 * SECOND), service()))
    for obj in range(60):
        (look,) = host.get(obj, ds=1)
        last = host.end(look, V.MISS)
    assert kinds(last) == ["RejectRequest"]
    (look,) = host.get(70)
    (aged,) = host.end(look, V.MISS)
    assert aged.source == aged.endpoint and look.max_age == 8 * SECOND and aged.max_age == 38 * SECOND
    assert kinds(host.end(aged, V.MISS, 1)) == ["RejectRequest"]


def test_with_no_cache_left_gets_go_straight_to_a_parent_until_the_link_is_full():
    host = FakeHost()
    host.roster(*(member(cache, standing=EndpointState.REMOVED) for cache in (1, 2, 3)))
    straight = host.get()[0]
    assert straight.endpoint in (11, 12) and straight.source == 21
    assert any(kinds(host.get(obj)) == ["RejectRequest"] for obj in range(60))


def test_a_warming_parent_over_its_budget_ends_in_one_answer():
    host = FakeHost()
    host.roster(*(member(cache, standing=EndpointState.REMOVED) for cache in (1, 2, 3)))
    host.roster(*(member(ident, PARENT, started=host.now, weight=1.0) for ident in (11, 12)))
    assert kinds(host.get()) == ["RejectRequest"]


def test_where_fills_do_not_come_back_parents_are_asked_for_held_copies_only():
    host = FakeHost()
    for obj in range(40):
        (look,) = host.get(obj)
        fill = forwards(host.end(look, V.MISS))[0]
        host.end(fill, V.TIMED_OUT if obj % 2 else V.SUCCEEDED, 1, closed=not obj % 2, took=5 * SECOND)
        host.hear(ClientDisconnected(look.request))
    (look,) = host.get(90)
    (fetch,) = host.end(look, V.MISS)
    assert not fetch.cached_only
    (look,) = host.get(91)
    (held,) = host.end(look, V.MISS)
    assert held.cached_only and kinds(host.end(held, V.MISS, 1)) == ["RejectRequest"]
    host.end(fetch, V.SUCCEEDED, 1, closed=True)
    for turn in range(40):
        (look,) = host.get(100 + turn)
        (fetch,) = host.end(look, V.MISS)
        host.end(fetch, V.SUCCEEDED, 1, closed=True)
    (look,) = host.get(199)
    host.end(look, V.MISS)
    (look,) = host.get(200)
    assert not host.end(look, V.MISS)[0].cached_only


def test_a_probe_turned_away_proves_neither_life_nor_silence():
    host = FakeHost()
    (look,) = host.get()
    for _ in range(4):
        host.wait(SECOND // 2)
        assert not host.probe_report(look.endpoint, V.FULL)
    assert host.get()[0].endpoint == look.endpoint
    for verdict in (V.TIMED_OUT, V.TIMED_OUT, V.FULL):
        host.wait(SECOND // 2)
        host.probe_report(look.endpoint, verdict)
    assert host.get()[0].endpoint != look.endpoint


def test_a_parent_that_loses_three_fills_in_a_row_is_passed_over():
    host = FakeHost(fleet=FLEET[:5])
    (look,) = host.get()
    home = host.end(look, V.MISS)[0].source
    host.end(ForwardRequest(look.request, look.endpoint, 0, home, 1, 0), V.TIMED_OUT, 1, took=SECOND)
    for _ in range(2):
        host.wait(1000)
        (look,) = forwards(host.get())
        (fill,) = host.end(look, V.MISS)
        assert fill.source == home
        host.end(fill, V.TIMED_OUT, 1, took=SECOND)
    (look,) = forwards(host.get())
    assert host.end(look, V.MISS)[0].source != home


def test_a_parent_that_reports_itself_sated_gets_less_until_it_is_not():
    def taken(loads):
        host = FakeHost(fleet=tuple(m._replace(weight=40.0) for m in FLEET[:3]) + FLEET[4:])
        host.front.fetch_window.max_fills = host.front.fetch_window.size = 100
        for util in loads:
            host.probe_report(12, util=util)
        return sum(o.source == 12 for obj in range(60) for o in forwards(host.end(host.get(obj)[0], V.MISS)))

    assert taken([1.0] * 9) < taken([]) / 2 and taken([1.0] * 9 + [0.5] * 40) == taken([])


def test_a_tokened_get_is_repeated_only_within_its_group_and_window():
    tokened = service(idempotency=Idempotency.KEYED, key_scope=KeyScope.CELL, retry_window=SECOND // 10)
    host = FakeHost(services=(tokened,))
    (look,) = host.get()
    assert forwards(host.end(look, V.FAILED))
    (look,) = host.get()
    host.wait(SECOND // 5)
    assert kinds(host.end(look, V.FAILED)) == ["FailRequest"]
    fleet = tuple(m._replace(cell=m.id) for m in (member(1), member(2), member(3)))
    host = FakeHost(services=(tokened,), fleet=fleet)
    (look,) = host.get()
    assert kinds(host.end(look, V.FAILED)) == ["FailRequest"]
    (look,) = host.get()
    assert forwards(host.end(look, V.FULL))


def test_no_second_forward_beside_one_that_is_out_and_none_after_the_viewer_timeout():
    host = FakeHost()
    (look,) = host.get(patience=SECOND)
    assert not forwards(host.wait(SECOND * 2))
    assert kinds(host.end(look, V.TIMED_OUT)) == ["RejectRequest"]


def test_doubt_ends_with_an_answer_and_a_long_silence_makes_cold():
    host = FakeHost()
    (look,) = host.get()
    for _ in range(6):
        host.wait(2 * SECOND)
        host.probe_report(look.endpoint, V.TIMED_OUT)
    assert host.get()[0].endpoint != look.endpoint
    host.wait(SECOND // 2)
    host.probe_report(look.endpoint)
    back = host.get()[0]
    assert back.endpoint == look.endpoint and back.source in (11, 12)  # cold: no look
    host.end(back, V.SUCCEEDED, closed=True)
    host.wait(11 * SECOND)
    assert host.get()[0].source == look.endpoint


def test_a_budget_ends_when_its_cache_is_warm():
    host = FakeHost(fleet=(member(1, started=100 * SECOND), member(11, PARENT), member(21, ORIGIN)))
    host.wait(11 * SECOND)
    assert [host.get(obj)[0].endpoint for obj in range(8)] == [1] * 8 and not host.front.budgets.warmups


def push(host, get, cache=1):
    """Put a forward to the gate past all that would not ask for it; give what it lets through."""
    front = host.front
    front.queue.commands = []
    front.guard.forward(get, front.endpoints.servers[cache], front.endpoints.servers[cache])
    return forwards(front.queue.commands)


def test_the_gate_alone_bars_what_a_rule_forbids():
    host = FakeHost(services=(service(), service(idempotency=Idempotency.NON_IDEMPOTENT)))
    (look,) = host.get(patience=SECOND)
    get = host.front.router.open[look.request]
    assert not push(host, get)  # one is out
    get.active_attempt = None
    assert push(host, get)
    get.active_attempt, get.is_answered = None, True
    assert not push(host, get)  # answered
    get.is_answered, host.front.queue.now = False, host.now + SECOND
    assert not push(host, get)  # too late
    (look,) = forwards(host.get(ds=1))
    get = host.front.router.open[look.request]
    get.active_attempt = None
    assert not push(host, get)  # may have run
    (look,) = forwards(host.get())
    get = host.front.router.open[look.request]
    get.active_attempt = None
    host.roster(member(1, standing=EndpointState.DRAINING))
    assert not push(host, get) and push(host, get, 2)  # draining
    host.front.queue.commands = []
    host.front.guard.finish(get, 0)
    host.front.guard.finish(get, 0)
    assert kinds(host.front.queue.commands) == ["RejectRequest"]


def test_a_parent_left_alone_and_full_passes_fills_to_the_origin():
    host = FakeHost(fleet=tuple(m._replace(weight=40.0) for m in FLEET[:3]) + FLEET[4:])
    host.front.fetch_window.max_fills = host.front.fetch_window.size = 100
    sources = [host.end(forwards(host.get(obj))[0], V.MISS)[0].source for obj in range(50)]
    assert sources[:20] == [12] * 20 and 21 in sources


def test_a_broken_cache_does_not_rule_out_the_parent():
    host = FakeHost(fleet=FLEET[:3] + FLEET[4:])
    (look,) = host.get()
    (fill,) = host.end(look, V.MISS)
    host.wait(1000)
    (look,) = host.end(fill, V.RESET, 1)  # the first break is the connection's
    assert look.endpoint == fill.endpoint
    host.wait(1000)
    (look,) = host.end(look, V.RESET, 2)
    assert look.endpoint != fill.endpoint and host.end(look, V.MISS, 3)[0].source == 12


def test_an_origin_that_was_silent_is_not_taken_for_cold():
    host = FakeHost(services=(service(uncacheable=True),))
    (straight,) = host.get()
    for _ in range(8):
        host.wait(SECOND // 2)
        host.probe_report(straight.endpoint, V.TIMED_OUT)
    assert kinds(host.get())[-1] == "RejectRequest"
    host.wait(SECOND // 2)
    host.probe_report(straight.endpoint)
    assert all(forwards(host.get(obj)) for obj in range(8))


def test_a_cache_with_its_cold_budget_spent_is_passed_over_and_not_the_sources_of_its_fill():
    host = FakeHost()
    host.roster(member(1, started=host.now))
    firsts = [host.get(obj)[0] for obj in range(30)]
    assert 0 < sum(first.endpoint == 1 for first in firsts) <= 3 and all(forwards(firsts))


def test_many_fronts_spend_a_cold_budget_together_and_each_does_its_part():
    def sent(seed):
        host = FakeHost(seed=mix64(seed), fronts=40, nearby=20, fleet=FLEET[1:])
        host.roster(member(1, started=host.now))
        times = []
        for obj in range(400):
            host.wait(25_000)
            for forward in forwards(host.get(1000 * seed + obj)):
                times += [host.now] * (forward.endpoint == 1)
                host.end(forward, V.SUCCEEDED, closed=True, took=600_000)
        return times

    told = sorted(time for seed in range(20) for time in sent(seed))
    able = [6 * (0.2 + 0.8 * (time - 100 * SECOND) / (10 * SECOND)) for time in told]
    assert len(told) > 20  # at 0.6 s each, under 2 x what it can do, in every window of a second
    assert all(
        0.6 * sum(then - SECOND < t <= then for t in told) <= 2 * can
        for then, can in zip(told, able, strict=True)
    )


def test_lost_fetches_close_the_window_to_the_fleets_least_and_time_opens_it():
    host = opened(FakeHost(fronts=200))
    window = host.front.fetch_window
    for obj in range(40):
        fill = forwards(host.end(host.get(obj)[0], V.MISS))[0]
        host.end(fill, V.FAILED, 1, closed=True)
    assert window.size == 4 / 200
    host.wait(5000 * SECOND)
    assert window.may_fetch() and window.size == 1
    assert FakeHost(
        fronts=400, nearby=200
    ).front.fetch_window.may_fetch()  # its share of the link is under one fill


def opened(host):
    """As after a while of timely fetches."""
    host.front.fetch_window.size = host.front.fetch_window.max_fills
    return host


def fill(host, obj, verdict, took=1000):
    filled = forwards(host.end(host.get(obj)[0], V.MISS))[0]
    host.wait(1000)
    host.end(filled, verdict, 1, closed=True, took=took)


def test_a_parent_that_errs_while_others_fetch_does_not_close_the_window():
    host, errs, held = opened(FakeHost()), 0, []
    fill(host, 40, V.SUCCEEDED)
    for obj in range(40):  # each ends through the other parent, or stays out
        fetch, number = forwards(host.end(host.get(obj)[0], V.MISS))[0], 1
        if fetch.source == 11:
            looked = forwards(host.end(fetch, V.FAILED, 1, took=7000))[0]
            fetch, number, errs = forwards(host.end(looked, V.MISS, 2))[0], 3, errs + 1
        held.append(fetch.cached_only)
        if obj >= 15:
            host.end(fetch, V.SUCCEEDED, number, closed=True)
    assert errs > 10 and not any(held)


def test_gets_of_little_patience_that_time_out_tell_nothing_of_a_member():
    host = opened(FakeHost())
    for obj in range(20):
        fill(host, obj, V.TIMED_OUT, took=100_000)
    assert host.front.fetch_window.size == host.front.fetch_window.max_fills
    assert {forwards(host.end(host.get(obj)[0], V.MISS))[0].source for obj in range(20)} == {11, 12}


def test_one_fetch_lost_among_timely_ones_leaves_the_window_open_and_a_wide_one_grows_in_proportion():
    host = opened(FakeHost())
    fill(host, 1, V.SUCCEEDED)
    fill(host, 2, V.TIMED_OUT, took=SECOND)
    assert host.front.fetch_window.size > 0.8 * host.front.fetch_window.max_fills  # kept a tenth once
    windows = []
    for link in (9000.0, 90_000.0):
        host = opened(FakeHost(link=link))
        for obj in range(8):
            fill(host, obj, V.TIMED_OUT, took=SECOND)
            host.wait(SECOND)
        for obj in range(300):
            fill(host, obj, V.SUCCEEDED)
        windows.append(host.front.fetch_window.size)
    assert windows[0] == 19.8 and windows[1] > 90  # was 55


def test_a_fill_through_a_strained_cache_says_nothing_of_the_origin():
    host = FakeHost(fleet=FLEET[:1] + FLEET[3:])
    for obj in range(3):
        host.end(host.get(obj)[0], V.SUCCEEDED, closed=True, took=4 * SECOND)
    window = host.front.fetch_window.size
    fill = forwards(host.end(forwards(host.get(9))[0], V.MISS))[0]
    host.end(fill, V.TIMED_OUT, 1)
    assert host.front.fetch_window.size == window


def test_on_a_full_link_small_gets_go_first_and_large_ones_last():
    def filled(size_kb):
        host = opened(FakeHost(services=(service(), service(latency_objective=SECOND // 10))))
        looks = [host.get(obj, size_kb=size_kb)[0] for obj in range(60)]
        return sum(
            bool(forwards(host.end(look, V.MISS))) for look in looks if isinstance(look, ForwardRequest)
        )

    assert filled(700.0) < filled(500.0) < filled(100.0)


def test_late_answers_ease_a_cache_and_timely_ones_bring_it_back():
    host = FakeHost(fleet=FLEET[:1] + FLEET[3:])
    eased = host.front.endpoints.servers[1]
    for took in (4 * SECOND,) * 6 + (1000,) * 60:
        for forward in forwards(host.get()):
            host.end(forward, V.SUCCEEDED, closed=True, took=took)
        assert eased.limit.factor < 1 or took == 1000
    assert eased.limit.factor == 1


def test_a_write_is_not_turned_away_where_the_origin_is_eased_for_fills():
    host = FakeHost(services=(service(uncacheable=True, idempotency=Idempotency.NON_IDEMPOTENT),), fronts=200)
    host.hear(*[ProbeEnded(21, V.SUCCEEDED, 1000, {"util": 1.0})] * 12)
    assert forwards(host.get()) and forwards(host.get())


def test_a_fill_turned_away_asks_for_a_probe_of_its_source_and_probes_are_paced():
    host = FakeHost()
    (fill,) = host.end(host.get()[0], V.MISS)
    host.end(fill, V.FULL, 1)
    assert probed(host.wait(SECOND // 10)).count(fill.source) == 1
    host.probe_report(fill.source)
    (again,) = host.end(host.get()[0], V.MISS)
    assert again.source == fill.source and fill.source not in probed(host.wait(SECOND // 2))


def test_a_cache_that_turns_probes_away_is_taken_by_chance_once_its_room_is_under_one():
    host, looks = FakeHost(fleet=FLEET[:1] + FLEET[3:]), 0
    host.hear(*[ProbeEnded(1, V.FULL, 1000, {})] * 12)
    assert host.front.endpoints.servers[1].limit.factor < 0.1
    for obj in range(40):
        for forward in forwards(host.get(obj)):
            looks += forward.endpoint == 1
            host.end(forward, V.SUCCEEDED, closed=True, took=4 * SECOND)
    assert 0 < looks < 20


def test_late_fills_strain_a_parent_only_once_its_own_report_has():
    host = FakeHost(fleet=FLEET[:3] + FLEET[4:])
    parent, eases = host.front.endpoints.servers[12], []
    for obj in range(2):
        (fill,) = host.end(host.get(obj)[0], V.MISS)
        host.end(fill, V.SUCCEEDED, 1, closed=True, took=4 * SECOND)
        eases.append(parent.limit.factor)
        host.probe_report(12, util=1.0)
    assert eases[0] == 1 and eases[1] < 0.6


def test_odd_rosters_end_in_answers_and_caches_elsewhere_are_left_alone():
    for fleet in ((), FLEET[5:], FLEET[3:], FLEET[:3], (member(4)._replace(zone=1),)):
        assert [type(o) for o in FakeHost(fleet=fleet).get()] in ([ForwardRequest], [RejectRequest])
    host = FakeHost(fleet=FLEET + (member(4)._replace(zone=1),))
    assert 4 not in host.front.endpoints.servers
    host.roster(member(1)._replace(zone=1))
    assert all(host.get(obj)[0].endpoint != 1 for obj in range(20))


def test_a_parent_of_untold_size_is_taken_for_its_part_of_all_links():
    host = FakeHost(weighted=False)
    assert [host.front.endpoints.servers[ident].limit.base_concurrency for ident in (11, 12)] == [4.5, 4.5]


def test_counts_alone_ask_for_the_top_ranks_only_for_few():
    for size_kb, asked_twice in ((0.0, [3, 3, 2, 2, 2, 2, 1]), (8.0, [3] * 7)):
        table = FakeHost().front.frequency_table
        for obj in range(40):
            table.count_request((obj, 0), size_kb)
        assert [table.count_request((obj, 0), size_kb) for obj in range(7)] == asked_twice


def test_many_transfers_out_make_a_short_silence_a_sign_and_one_does_not():
    host = FakeHost(fleet=FLEET[:1] + FLEET[3:])
    for obj in range(6):
        host.get(obj)
    assert len(host.front.endpoints.servers[1].active_attempts) == 6 and probed(
        host.wait(SECOND // 4 + 50_000)
    ) == [1]


def test_a_front_that_starts_fetches_one_at_a_time_and_opens_as_they_come_in_time():
    host = FakeHost()
    first, second = (forwards(host.end(host.get(obj)[0], V.MISS))[0] for obj in (1, 2))
    assert not first.cached_only and second.cached_only
    host.end(first, V.SUCCEEDED, 1, closed=True)
    for obj in range(3, 40):
        fill(host, obj, V.SUCCEEDED)
    assert host.front.fetch_window.size > 10


def test_without_probes_a_silent_cache_is_found_out_and_tried_again_more_and_more_seldom():
    host = FakeHost(probing=False)
    (look,) = host.get(patience=40 * SECOND)
    (back,) = [
        o for o in host.wait(12 * SECOND) if isinstance(o, CancelAttempt)
    ]  # its GET is called back, nothing asked
    assert back.request == look.request and not probed(host.told)
    (again,) = forwards(host.end(look, V.CANCELLED))
    assert again.endpoint != look.endpoint
    host.end(again, V.SUCCEEDED, 1, closed=True)
    tried = []
    for _ in range(300):  # a GET each tenth of a second
        host.wait(SECOND // 10)
        (forward,) = forwards(host.get())
        if forward.endpoint == look.endpoint:
            tried.append(host.now)
            host.wait(5 * SECOND)
            host.end(forward, V.TIMED_OUT, took=5 * SECOND, closed=True)
        else:
            host.end(forward, V.SUCCEEDED, closed=True)
    assert 2 <= len(tried) <= 6  # never, where only a probe brought a member back


def test_without_probes_an_answer_to_a_try_brings_a_member_back():
    host = FakeHost(probing=False)
    (look,) = (forward,) = host.get()
    while forward.endpoint == look.endpoint:  # its connections break until it is in doubt
        number = 0
        while forward.endpoint == look.endpoint:
            host.wait(1000)
            (forward,) = forwards(host.end(forward, V.RESET, number))
            number += 1
        host.end(forward, V.SUCCEEDED, number, closed=True)
        (forward,) = forwards(host.get())
    host.end(forward, V.SUCCEEDED, closed=True)
    caches = []
    for _ in range(30):
        host.wait(SECOND // 10)
        (forward,) = forwards(host.get())
        caches.append(forward.endpoint)
        host.end(forward, V.SUCCEEDED, closed=True)
    assert caches[0] != look.endpoint and caches[-10:] == [look.endpoint] * 10 and not probed(host.told)


def test_what_may_not_run_again_is_never_the_try_of_a_doubted_member():
    host = FakeHost(probing=False, services=(service(idempotency=Idempotency.NON_IDEMPOTENT),))
    (look,) = host.get(patience=20 * SECOND)
    host.wait(6 * SECOND)
    host.end(look, V.TIMED_OUT, took=6 * SECOND, closed=True)
    for _ in range(100):
        host.wait(SECOND // 10)
        (forward,) = forwards(host.get())
        assert forward.endpoint != look.endpoint
        host.end(forward, V.SUCCEEDED, closed=True)


def test_news_calls_a_forward_back_and_no_member_is_passed_for_it():
    host = FakeHost()
    (look,) = host.get()
    (again,) = forwards(host.end(look, V.SUPERSEDED))
    assert again.endpoint == look.endpoint


def test_a_get_without_its_token_is_not_repeated_by_a_tokened_service():
    told = service(idempotency=Idempotency.KEYED, retry_window=60 * SECOND)
    for keyed in (False, True):
        host = FakeHost(services=(told,))
        (look,) = host.hear(RequestArrived(1, 0, 0, 5, 5 * SECOND, 0.0, 0, 0, False, False, keyed))
        orders = host.end(look, V.RESET)
        assert kinds(orders) == (["ForwardRequest"] if keyed else ["FailRequest"])
        assert not keyed or 0 < orders[0].send_within <= 60 * SECOND
