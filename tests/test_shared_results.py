"""Results that instances share, and their effect on the decision module."""

from limepath.configuration.sharing_settings import LeaseSettings
from limepath.duties.interface import (
    ProbeResult,
    ResultShared,
    SendToMember,
)
from limepath.duties.shared_results import RESULTS_PER_MESSAGE, TRANSIT_TIME, SharedResults
from limepath.interface.commands import ForwardRequest, SendProbe
from limepath.interface.events import AttemptOutcome, ProbeEnded
from limepath.timer_queue import TimerQueue
from tests.fake_host import FakeHost

SECOND = 1_000_000
LEASE_SETTINGS = LeaseSettings(("a", "b", "c"), 3 * SECOND, 0.01, 4)


def shared_results(live=(2, 3), interval=4 * SECOND):
    timers = TimerQueue(1)
    timers.now = 100 * SECOND
    return timers, SharedResults(
        timers, 1, [interval], LEASE_SETTINGS, lambda: list(live), lambda token: token in (1, *live)
    )


def result(target=5, prober=2, serial=1, age=SECOND, outcome=0):
    return ProbeResult(0, target, prober, serial, age, outcome, 900, {"util": 0.3})


def test_old_results_and_those_of_dead_probers_are_dropped():
    timers, results = shared_results()
    results.receive(
        (result(), result(prober=9), result(target=6, age=5 * SECOND), result(), result(serial=0))
    )
    assert dict(results.counts) == {"new": 1, "dead prober": 1, "too old": 1, "known": 2}
    (shared,) = [command for command in timers.take_commands() if isinstance(command, ResultShared)]
    assert shared.result.target == 5 and shared.result.age == SECOND + TRANSIT_TIME


def test_a_result_replaces_a_probe_while_it_is_recent_enough():
    timers, results = shared_results()
    results.receive((result(),))
    assert results.find_recent_result(5, 3 * SECOND).age == SECOND + TRANSIT_TIME
    assert results.find_recent_result(5, SECOND) is None and results.find_recent_result(6, 3 * SECOND) is None
    timers.now += 4 * SECOND
    assert results.find_recent_result(5, 60 * SECOND) is None  # older than the interval


def test_a_failure_replaces_a_probe_only_if_two_probers_report_one():
    timers, results = shared_results()
    results.receive((result(outcome=int(AttemptOutcome.TIMED_OUT)),))
    assert results.find_recent_result(5, 3 * SECOND) is None
    results.receive((result(prober=3, outcome=int(AttemptOutcome.TIMED_OUT), age=SECOND // 2),))
    assert results.find_recent_result(5, 3 * SECOND).outcome == AttemptOutcome.TIMED_OUT


def test_a_result_is_sent_to_all_in_small_fleets_and_spreads_by_epidemic_in_large_ones():
    timers, results = shared_results()
    results.add_own(0, 5, 0, 900, {})
    timers.run_due(timers.now + LEASE_SETTINGS.batch)
    sent = [command for command in timers.take_commands() if isinstance(command, SendToMember)]
    assert {command.token for command in sent} == {2, 3} and sent[0].message.results[
        0
    ].age == LEASE_SETTINGS.batch
    timers, results = shared_results(live=tuple(range(2, 60)))
    results.receive(tuple(result(target=target) for target in range(40)))
    timers.run_due(timers.now + LEASE_SETTINGS.batch)
    sent = [command for command in timers.take_commands() if isinstance(command, SendToMember)]
    assert len({command.token for command in sent}) == LEASE_SETTINGS.copies
    assert all(len(command.message.results) <= RESULTS_PER_MESSAGE for command in sent)


def test_a_shared_result_newer_than_the_missed_probe_ends_the_suspicion_and_an_older_one_does_not():
    host = FakeHost()
    (forward,) = [command for command in host.request() if isinstance(command, ForwardRequest)]
    probes = [command for command in host.wait(2 * SECOND) if isinstance(command, SendProbe)]
    assert probes[0].endpoint == forward.endpoint and 1_200_000 < probes[0].max_age <= 1_300_000
    host.end_probe(forward.endpoint, AttemptOutcome.TIMED_OUT)
    cache = host.front.endpoints.servers[forward.endpoint]
    assert cache.health.missed_probes == 1
    # This result is older than the missed probe.
    host.handle(ProbeEnded(forward.endpoint, AttemptOutcome.SUCCEEDED, 900, {}, 500_000))
    assert cache.health.missed_probes == 1
    host.wait(SECOND // 5)
    host.handle(ProbeEnded(forward.endpoint, AttemptOutcome.SUCCEEDED, 900, {}, 100_000))
    assert cache.health.missed_probes == 0 and cache.health.last_contact_at == host.now - 100_000


def test_a_shared_failure_triggers_a_probe_and_then_counts_as_its_answer():
    host = FakeHost()
    host.wait(SECOND)
    host.handle(ProbeEnded(1, AttemptOutcome.TIMED_OUT, 900, {}, 1000))
    cache = host.front.endpoints.servers[1]
    assert cache.health.missed_probes == 0 and cache.health.needs_probe
    probes = [command for command in host.wait(SECOND // 5) if isinstance(command, SendProbe)]
    assert [command.endpoint for command in probes] == [1]
    # This shared result counts as the answer to the probe.
    host.handle(ProbeEnded(1, AttemptOutcome.TIMED_OUT, 900, {}, 1000))
    assert cache.health.missed_probes == 1
