"""Tests of shared duties: the hard cases in virtual time, the leases one by one, and real fronts on
loopback.
"""

import json
import os
import subprocess
import sys
from itertools import pairwise

import pytest

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties import simulate
from limepath.duties.bounds import bounds, doubles
from limepath.duties.check import explored
from limepath.duties.interface import (
    EpochReport,
    LeaseRelease,
    LeaseRequest,
    PersistEpochCeiling,
    ProbeResult,
    ResultShared,
    SendToMember,
    ServeTarget,
)
from limepath.duties.learnt import CARRIED, IN_FLIGHT, Learnt
from limepath.duties.leases import Leases, Voter, held_for, silence
from limepath.duties.rounds import Rounds
from limepath.duties.simulate import Day, Fault, findings, simulated
from limepath.duties.world import World
from limepath.interface.commands import ForwardRequest, SendProbe
from limepath.interface.events import AttemptOutcome, ProbeEnded
from limepath.report_table import all_passed
from limepath.timer_queue import TimerQueue
from tests.fake_host import FakeHost

SECOND = 1_000_000
LEASING = LeaseSettings(("a", "b", "c"), 3 * SECOND, 0.01, 4)
MODES = (DutyMode.AT_LEAST_ONCE, DutyMode.ONE_OWNER)


def broken(found):
    return [(row.what, row.measured, row.bound) for row in found.rows if not row.passed]


def value(rows, what):
    (row,) = [row for row in rows if row.what == what]
    return row.measured


# The hard cases, each alone, in both modes


@pytest.mark.parametrize("mode", MODES)
@pytest.mark.parametrize("kind", simulate.KINDS)
def test_each_fault_keeps_the_bounds(kind, mode):
    found = simulated(5, 40, mode, 5 * SECOND, 80 * SECOND, seed=11, kinds=(kind,))
    assert [fault.kind for fault in found.faults] and not broken(found)


@pytest.mark.parametrize("mode", MODES)
def test_loss_doubles_and_reordering_keep_the_bounds(mode):
    found = simulated(
        5,
        40,
        mode,
        5 * SECOND,
        120 * SECOND,
        seed=5,
        loss=0.3,
        doubled=0.1,
        late=0.1,
        kinds=("kill", "minority"),
    )
    assert found.faults and not broken(found)


def test_200_targets_replaced_within_seconds_are_served_and_the_gone_are_not():
    plan, spans = DutySettings("probe", DutyMode.AT_LEAST_ONCE, 5 * SECOND), MembershipTimeouts()
    world = World(4, 200, (plan,), spans, LEASING._replace(voters=("n0", "n1", "n2")), 3)
    faults = [Fault(at * SECOND, "targets", (0,), 0) for at in (11, 12, 13, 14, 15)]
    day = Day(world, faults, 40 * SECOND)
    world.open(True)
    world.run(40 * SECOND)
    rows = findings(day, plan)
    assert all_passed(rows) and len(world.gone) == 200 and len(world.targets) == 200
    assert all(len(world.serves[0, target]) >= 4 for target in world.targets)


def test_the_same_seed_tells_the_same_day():
    one, again, other = (
        simulated(3, 10, DutyMode.ONE_OWNER, length=50 * SECOND, seed=seed, loss=0.1, kinds=("kill",))
        for seed in (4, 4, 5)
    )
    assert one.rows == again.rows and one.faults == again.faults
    assert other.world.messages != one.world.messages


def test_the_owner_may_die_before_during_and_after_its_round():
    plan = DutySettings("probe", DutyMode.ONE_OWNER, 5 * SECOND)
    leasing = LEASING._replace(voters=("n0", "n1", "n2"))
    bound = bounds(MembershipTimeouts(), plan, leasing, 3).gap
    quiet = World(3, 6, (plan,), MembershipTimeouts(), leasing, 9)
    quiet.open(True)
    quiet.run(30 * SECOND)
    at, who = quiet.serves[0, 1][2]
    for dies in (at - 1, at, at + 400, at + 900):  # the answer comes 800 us after the round began
        world = World(3, 6, (plan,), MembershipTimeouts(), leasing, 9)
        world.open(True)
        world.at(dies, world.nodes[who].stop)
        world.run(at + 60 * SECOND)
        times = [when for when, _ in world.serves[0, 1]]
        assert max(b - a for a, b in pairwise(times)) <= bound and not world.both_held
        assert world.serves[0, 1][-1][1] != who


def test_one_that_wakes_up_after_its_lease_does_not_go_on():
    plan = DutySettings("probe", DutyMode.ONE_OWNER, 2 * SECOND)
    world = World(3, 30, (plan,), MembershipTimeouts(), LEASING._replace(voters=("n0", "n1", "n2")), 2)
    world.open(True)
    world.run(12 * SECOND)
    node = world.nodes[0]
    before = {slot for _, slot in node.instance.leases.held}
    assert before
    node.paused = True
    world.run(52 * SECOND)
    node.resume()
    assert not node.instance.leases.slots_held(0)  # the epochs it held are gone with its leases
    world.run(92 * SECOND)
    assert not world.both_held and world.turned_away == 0
    assert node.instance.leases.slots_held(0)


def test_a_minority_stops_and_a_majority_goes_on():
    plan = DutySettings("probe", DutyMode.ONE_OWNER, 2 * SECOND)
    world = World(
        5, 30, (plan,), MembershipTimeouts(), LEASING._replace(voters=tuple(f"n{i}" for i in range(5))), 6
    )
    world.open(True)
    world.run(12 * SECOND)
    few = frozenset({0, 1})
    world.network.cuts = {1: (few, frozenset({2, 3, 4})), 2: (frozenset({2, 3, 4}), few)}
    world.run(60 * SECOND)
    late = {who for served in world.serves.values() for at, who in served if at > 17 * SECOND}
    assert late == {2, 3, 4} and all(served[-1][0] > 55 * SECOND for served in world.serves.values())


def test_bounds_grow_with_what_they_are_made_of():
    plan = DutySettings("probe", DutyMode.AT_LEAST_ONCE, 5 * SECOND)
    plain, slow = (
        bounds(MembershipTimeouts(), plan, LEASING, 5),
        bounds(MembershipTimeouts(suspicion=8), plan, LEASING, 5),
    )
    assert slow.gap > plain.gap and bounds(MembershipTimeouts(), plan, LEASING, 500).gap > plain.gap
    assert bounds(MembershipTimeouts(), plan, LEASING, 5, 3).gap > plain.gap
    leased = plan._replace(mode=DutyMode.ONE_OWNER)
    short, long = (
        bounds(MembershipTimeouts(), leased, LEASING._replace(span=span * SECOND), 5) for span in (3, 60)
    )
    assert long.gap - short.gap >= 25 * SECOND and long.restart - long.gap == silence(
        LEASING._replace(span=60 * SECOND)
    )
    assert doubles(plan, plain, [0]) < doubles(plan, plain, [60 * SECOND]) and doubles(plan, plain, []) == 0


def test_a_bound_that_is_broken_is_told():
    found = simulated(3, 5, length=40 * SECOND, kinds=("kill",))
    world, day = found.world, None
    world.serves[0, 1] = world.serves[0, 1][:1]  # as if nobody had served it again
    day = Day(World(3, 0, world.plans, world.spans, world.leasing, 1), [], 40 * SECOND)
    day.world, day.end = world, world.now
    rows = findings(day, world.plans[0])
    assert [row.what for row in rows if not row.passed] == ["longest gap, s"]


# Leases


class FakeAll:
    """Some holders and voters; messages go where the test lets them."""

    def __init__(self, names=("a", "b", "c"), sure=True, leasing=LEASING):
        self.now, self.out, self.all, self.wants = 0, [], {}, {name: set() for name in names}
        for name in names:
            timers = TimerQueue(ord(name))
            one = self.all[name] = Leases(
                timers,
                name,
                ord(name),
                leasing,
                (0,),
                lambda duty, name=name: self.wants[name],
                lambda duty: None,
                lambda to, message, name=name: self.out.append((name, to, message)),
                0,
                sure,
            )
            one.start()

    def run(self, span, lost=lambda source, to: False):
        end = self.now + span
        while self.now < end:
            self.now += 10_000
            for one in self.all.values():
                one.timers.run_due(self.now)
            while self.out:
                source, to, message = self.out.pop(0)
                if not lost(source, to) and to in self.all:
                    self.all[to].heard(source, ord(source), message)

    def holders(self, slot=0):
        return [name for name, one in self.all.items() if one.may(0, slot)]


def test_a_voter_grants_nothing_for_a_span_after_its_start():
    world = FakeAll()
    world.wants["a"] = {0}
    world.run(silence(LEASING) - 20_000)
    assert world.holders() == []
    world.run(2 * SECOND)
    assert world.holders() == ["a"]


def test_a_lease_lapses_without_a_majority_and_its_epoch_does_not_come_back():
    world = FakeAll()
    world.wants["a"] = {0}
    world.run(8 * SECOND)
    epoch = world.all["a"].may(0, 0)[0]
    world.run(held_for(LEASING) + 20_000, lost=lambda source, to: source != to)
    assert world.holders() == []
    world.wants["b"], world.wants["a"] = {0}, set()
    world.run(8 * SECOND)
    assert world.holders() == ["b"] and world.all["b"].may(0, 0)[0] > epoch


def test_two_that_want_one_slot_never_both_hold_it_and_it_is_handed_over_at_once():
    world = FakeAll()
    world.wants["a"] = world.wants["b"] = {0}
    for _ in range(1000):
        world.run(10_000, lost=lambda source, to: world.now // 70_000 % 3 == 0)
        assert len(world.holders()) < 2
    (holder,) = world.holders()
    other = "ab".replace(holder, "")
    world.wants[holder] = set()
    world.run(2 * SECOND)
    assert world.holders() == [other]  # sooner than the old lease would have ended


def test_a_holder_goes_on_without_a_gap_while_the_voters_restart_one_after_another():
    world = FakeAll()
    world.wants["a"] = {0}
    world.run(8 * SECOND)
    for name in ("b", "c"):
        old = world.all[name].voter
        old.grants.clear()
        old.floor, old.mute_until = old.ceiling, world.now + silence(LEASING)
        for _ in range(50):
            world.run(100_000)
            assert world.holders() == ["a"]


def test_the_ceiling_is_kept_before_an_epoch_above_it_is_granted():
    timers = TimerQueue(1)
    voter = Voter(timers, LEASING, ("b", "c"), 500, True)
    voter.mute_until = 0
    low = voter.claimed(1, LeaseRequest(0, 1, ((0, 500),)))
    assert low.denied == ((0, 500, 0),) and not timers.take_commands()
    assert voter.claimed(1, LeaseRequest(0, 1, ((0, 501),))).granted == (0,)
    (keep,) = timers.take_commands()
    assert isinstance(keep, PersistEpochCeiling) and keep.ceiling > 501
    assert voter.claimed(1, LeaseRequest(0, 2, ((1, 502),))).granted == (1,) and not timers.take_commands()


def test_a_voter_that_lost_its_store_asks_so_many_that_every_majority_is_among_them():
    timers, asked = TimerQueue(1), []
    voter = Voter(timers, LEASING._replace(voters=tuple("abcde")), tuple("bcde"), 0, False)
    voter.begin(lambda name, message: asked.append(name))
    assert asked == list("bcde") and not voter.votes()
    voter.answered("b", EpochReport(1, 7000, True))
    voter.answered("x", EpochReport(1, 9999, True))
    voter.answered("c", EpochReport(1, 100, False))
    voter.answered("d", EpochReport(1, 100, True))
    assert not voter.sure
    voter.answered("e", EpochReport(1, 300, True))
    assert voter.sure and voter.floor == 7000
    timers.run_due(silence(LEASING) + 1)
    assert voter.claimed(1, LeaseRequest(0, 1, ((0, 7000),))).denied == ((0, 7000, 0),)


def test_a_new_fleet_begins_once_all_voters_have_told_that_they_know_nothing():
    world = FakeAll(sure=False)
    world.wants["c"] = {0, 1}
    world.run(10 * SECOND)
    assert world.holders() == world.holders(1) == ["c"]


def test_a_split_vote_frees_the_slot_again():
    timers = TimerQueue(1)
    voter = Voter(timers, LEASING, (), 0, True)
    voter.mute_until = 0
    assert voter.claimed(1, LeaseRequest(0, 1, ((0, 1),))).granted
    assert voter.claimed(2, LeaseRequest(0, 1, ((0, 2),))).denied[0][2] == LEASING.span
    voter.released(2, LeaseRelease(0, ((0, 1),)))  # not the holder's
    assert not voter.claimed(2, LeaseRequest(0, 1, ((0, 2),))).granted
    voter.released(1, LeaseRelease(0, ((0, 1),)))
    assert voter.claimed(2, LeaseRequest(0, 1, ((0, 2),))).granted


def test_the_checker_finds_no_order_that_breaks_the_rule_and_the_broken_rule_at_once():
    good = explored(2, 5, 100_000)
    assert (
        all_passed(good.rows)
        and not good.trace
        and value(good.rows, "events in a row, all orders of them") == 5
    )
    assert value(good.rows, "states in which one holds the slot") > 100
    three = explored(3, 3, 100_000)
    assert all_passed(three.rows)
    bad = explored(2, 9, 100_000, broken=True)
    assert not all_passed(bad.rows) and bad.trace[-1].endswith("both hold the slot") and len(bad.trace) == 7


# Rounds and results


def rounds_of(seed=1, interval=4 * SECOND):
    timers = TimerQueue(seed)
    return timers, Rounds(
        timers, 0, DutySettings("probe", DutyMode.AT_LEAST_ONCE, interval), lambda target: (0, 0)
    )


def served(timers, span, step=10_000):
    out, end = [], timers.now + span
    while timers.now < end:
        timers.run_due(timers.now + step)
        out += [
            (timers.now, order.target) for order in timers.take_commands() if isinstance(order, ServeTarget)
        ]
    return out


def test_one_interval_s_rounds_are_spread_and_missed_ones_not_made_up_at_once():
    timers, rounds = rounds_of()
    rounds.own(range(200))
    first = served(timers, 4 * SECOND)
    assert sorted(target for _, target in first) == list(range(200))
    halves = [sum(at <= 2 * SECOND for at, _ in first), sum(at > 2 * SECOND for at, _ in first)]
    assert min(halves) > 60
    timers.run_due(timers.now + 30 * SECOND)  # it stood still
    assert timers.take_commands() == []
    after = served(timers, 2 * SECOND)
    assert len(after) == 200 and len([at for at, _ in after if at < timers.now - 1.9 * SECOND]) < 40


def test_what_another_has_served_is_due_an_interval_later_and_what_goes_to_and_fro_is_served():
    timers, rounds = rounds_of()
    timers.run_due(10 * SECOND)
    rounds.served(7, 9 * SECOND)
    rounds.own([7])
    assert served(timers, 6 * SECOND)[0][0] == 13 * SECOND
    timers, rounds = rounds_of()
    rounds.own([7])
    told = []
    for _ in range(40):  # owned for half a second at a time
        told += served(timers, SECOND // 2)
        rounds.own([])
        timers.run_due(timers.now + SECOND // 2)
        rounds.own([7])
    times = [at for at, _ in told]
    assert len(times) >= 4 and max(b - a for a, b in pairwise(times)) <= 10 * SECOND


def learnt(live=(2, 3), interval=4 * SECOND):
    timers = TimerQueue(1)
    timers.now = 100 * SECOND
    return timers, Learnt(
        timers, 1, [interval], LEASING, lambda: list(live), lambda token: token in (1, *live)
    )


def result(target=5, prober=2, serial=1, age=SECOND, verdict=0):
    return ProbeResult(0, target, prober, serial, age, verdict, 900, {"util": 0.3})


def test_old_results_and_those_of_the_dead_are_dropped():
    timers, known = learnt()
    known.heard((result(), result(prober=9), result(target=6, age=5 * SECOND), result(), result(serial=0)))
    assert dict(known.counts) == {"new": 1, "dead prober": 1, "too old": 1, "known": 2}
    (shared,) = [o for o in timers.take_commands() if isinstance(o, ResultShared)]
    assert shared.result.target == 5 and shared.result.age == SECOND + IN_FLIGHT


def test_an_answer_serves_who_asks_as_long_as_it_is_new_enough():
    timers, known = learnt()
    known.heard((result(),))
    assert known.answer(5, 3 * SECOND).age == SECOND + IN_FLIGHT
    assert known.answer(5, SECOND) is None and known.answer(6, 3 * SECOND) is None
    timers.now += 4 * SECOND
    assert known.answer(5, 60 * SECOND) is None  # older than the interval


def test_one_prober_s_failure_does_not_serve_but_two_agreeing_do():
    timers, known = learnt()
    known.heard((result(verdict=int(AttemptOutcome.TIMED_OUT)),))
    assert known.answer(5, 3 * SECOND) is None
    known.heard((result(prober=3, verdict=int(AttemptOutcome.TIMED_OUT), age=SECOND // 2),))
    assert known.answer(5, 3 * SECOND).verdict == AttemptOutcome.TIMED_OUT


def test_a_result_goes_to_all_nearby_with_its_age_and_is_passed_on_in_large_fleets():
    timers, known = learnt()
    known.own(0, 5, 0, 900, {})
    timers.run_due(timers.now + LEASING.batch)
    sent = [o for o in timers.take_commands() if isinstance(o, SendToMember)]
    assert {o.token for o in sent} == {2, 3} and sent[0].message.results[0].age == LEASING.batch
    timers, known = learnt(live=tuple(range(2, 60)))
    known.heard(tuple(result(target=target) for target in range(40)))
    timers.run_due(timers.now + LEASING.batch)
    sent = [o for o in timers.take_commands() if isinstance(o, SendToMember)]
    assert len({o.token for o in sent}) == LEASING.copies
    assert all(len(o.message.results) <= CARRIED for o in sent)


# What a shared report means to the decision module


def test_a_shared_answer_that_is_newer_than_the_doubt_ends_it_and_an_older_one_does_not():
    host = FakeHost()
    (forward,) = [o for o in host.get() if isinstance(o, ForwardRequest)]
    asked = [o for o in host.wait(2 * SECOND) if isinstance(o, SendProbe)]
    assert asked[0].endpoint == forward.endpoint and 1_200_000 < asked[0].max_age <= 1_300_000
    host.probe_report(forward.endpoint, AttemptOutcome.TIMED_OUT)
    cache = host.front.caches[forward.endpoint]
    assert cache.missed == 1
    host.hear(ProbeEnded(forward.endpoint, AttemptOutcome.SUCCEEDED, 900, {}, 500_000))  # learnt before that
    assert cache.missed == 1
    host.wait(SECOND // 5)
    host.hear(ProbeEnded(forward.endpoint, AttemptOutcome.SUCCEEDED, 900, {}, 100_000))
    assert cache.missed == 0 and cache.heard == host.now - 100_000


def test_another_s_failure_makes_the_module_see_for_itself_and_counts_when_it_answers():
    host = FakeHost()
    host.wait(SECOND)
    host.hear(ProbeEnded(1, AttemptOutcome.TIMED_OUT, 900, {}, 1000))
    cache = host.front.caches[1]
    assert cache.missed == 0 and cache.suspect
    asked = [o for o in host.wait(SECOND // 5) if isinstance(o, SendProbe)]
    assert [o.endpoint for o in asked] == [1]
    host.hear(ProbeEnded(1, AttemptOutcome.TIMED_OUT, 900, {}, 1000))  # the shared answer that serves
    assert cache.missed == 1


# Real fronts


def drill(*words):
    done = subprocess.run(
        [sys.executable, "-m", "limepath", "duties", "drill", "--json", *words],
        capture_output=True,
        text=True,
        timeout=600,
        env=os.environ | {"PYTHONPATH": os.getcwd()},
    )
    assert done.returncode in (0, 1), done.stderr
    return json.loads(done.stdout)


@pytest.mark.parametrize("mode", ("at-least-once", "one-owner"))
def test_real_fronts_share_their_rounds_while_one_is_killed_and_stopped(mode):
    told = drill(
        "--instances",
        "3",
        "--targets",
        "12",
        "--interval",
        "1s",
        "--faults",
        "2",
        "--seed",
        "4",
        "--mode",
        mode,
        "--only",
        "kill,stop",
    )
    rows = {row["what"]: row["measured"] for row in told["rows"]}
    assert rows["views agree at the end"] is True and rows["rounds served"] >= 12 and rows["gave way"] == 0
    assert rows["rounds at targets gone, after the grace"] == 0
    assert rows.get("moments at which two held one slot", 0) == 0


def test_what_an_owner_said_comes_after_another_took_over_and_is_turned_away():
    told = drill(
        "--instances",
        "3",
        "--targets",
        "24",
        "--interval",
        "500ms",
        "--faults",
        "1",
        "--seed",
        "2",
        "--mode",
        "one-owner",
        "--only",
        "held",
    )
    rows = {row["what"]: row["measured"] for row in told["rows"]}
    assert rows["faults of the ways that took no effect"] == 0
    assert (
        rows["rounds turned away for an older epoch"] > 0 and rows["moments at which two held one slot"] == 0
    )
    assert rows["views agree at the end"] is True
