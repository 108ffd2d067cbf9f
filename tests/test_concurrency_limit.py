"""Tests of how many attempts a server may hold."""

from limepath.interface.events import AttemptOutcome, ProbeEnded
from limepath.interface.settings import Idempotency
from tests.fake_host import FLEET, SECOND, FakeHost, forwards, service


def test_a_parent_that_reports_overload_receives_less_until_it_reports_none():
    def taken(loads):
        host = FakeHost(fleet=tuple(m._replace(weight=40.0) for m in FLEET[:3]) + FLEET[4:])
        host.front.fetch_window.max_fills = host.front.fetch_window.size = 100
        for util in loads:
            host.probe_report(12, util=util)
        return sum(
            command.source == 12
            for obj in range(60)
            for command in forwards(host.end(host.get(obj)[0], AttemptOutcome.MISS))
        )

    assert taken([1.0] * 9) < taken([]) / 2
    assert taken([1.0] * 9 + [0.5] * 40) == taken([])


def test_late_answers_lower_the_limit_of_a_cache_and_answers_in_time_restore_it():
    host = FakeHost(fleet=FLEET[:1] + FLEET[3:])
    eased = host.front.endpoints.servers[1]
    for took in (4 * SECOND,) * 6 + (1000,) * 60:
        for forward in forwards(host.get()):
            host.end(forward, AttemptOutcome.SUCCEEDED, closed=True, took=took)
        assert eased.limit.factor < 1 or took == 1000
    assert eased.limit.factor == 1


def test_a_write_is_not_rejected_where_the_limit_of_the_origin_is_lowered_for_fills():
    host = FakeHost(services=(service(uncacheable=True, idempotency=Idempotency.NON_IDEMPOTENT),), fronts=200)
    host.hear(*[ProbeEnded(21, AttemptOutcome.SUCCEEDED, 1000, {"util": 1.0})] * 12)
    assert forwards(host.get())
    assert forwards(host.get())


def test_a_cache_that_rejects_probes_is_used_by_chance_once_its_limit_is_under_one():
    host, lookups = FakeHost(fleet=FLEET[:1] + FLEET[3:]), 0
    host.hear(*[ProbeEnded(1, AttemptOutcome.FULL, 1000, {})] * 12)
    assert host.front.endpoints.servers[1].limit.factor < 0.1
    for obj in range(40):
        for forward in forwards(host.get(obj)):
            lookups += forward.endpoint == 1
            host.end(forward, AttemptOutcome.SUCCEEDED, closed=True, took=4 * SECOND)
    assert 0 < lookups < 20


def test_late_fills_lower_the_limit_of_a_parent_only_once_its_own_report_has():
    host = FakeHost(fleet=FLEET[:3] + FLEET[4:])
    parent, eases = host.front.endpoints.servers[12], []
    for obj in range(2):
        (fill,) = host.end(host.get(obj)[0], AttemptOutcome.MISS)
        host.end(fill, AttemptOutcome.SUCCEEDED, 1, closed=True, took=4 * SECOND)
        eases.append(parent.limit.factor)
        host.probe_report(12, util=1.0)
    assert eases[0] == 1
    assert eases[1] < 0.6
