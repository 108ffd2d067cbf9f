"""The schedule of a scale run's faults, and what comes of samples: who was away, when an event was where."""

from random import Random
from types import SimpleNamespace

import numpy
import pytest
from twisted.internet.testing import MemoryReactorClock, StringTransport

from limepath.configuration.sharing_settings import DiscoverySettings, MembershipTimeouts
from limepath.scale import bounds, faults, plan
from limepath.scale.control import Arrival, FrontReport, Subsystem, Traffic
from limepath.scale.faults import Kind, UnknownFault
from limepath.scale.observations import Observations
from limepath.scale.report import at_most_if_stated, fault_rows
from limepath.testbed.regions import LinkFaults, RegionalListService, RegionProxies

SECOND = 1_000_000
MACHINE = plan.Machine(cores=8, memory=24 << 30)
LAYOUT = plan.plan_of(plan.Sizes(fronts=40, regions=2, zones=4, sites=8), MACHINE)
OTHERS = tuple(kind for kind in Kind if kind != Kind.CHURN)


def test_kinds_by_name():
    assert faults.kinds_of("") == ()
    assert faults.kinds_of("cut, loss,cut") == (Kind.CUT, Kind.LOSS)
    assert faults.kinds_of("all") == tuple(Kind)


def test_an_unknown_fault_is_named_with_those_that_are_known():
    with pytest.raises(UnknownFault) as caught:
        faults.kinds_of("loss,rak")
    assert str(caught.value).startswith("--faults 'rak': no such fault; did you mean 'rack'?")
    assert all(kind.value in str(caught.value) for kind in Kind) and "\n" not in str(caught.value)


def test_the_same_seed_gives_the_same_schedule():
    one, same, other = (faults.schedule(LAYOUT, tuple(Kind), 300 * SECOND, seed) for seed in (1, 1, 2))
    assert one == same != other


def test_without_faults_all_is_calm():
    made = faults.schedule(LAYOUT, (), 60 * SECOND, 1)
    assert made.faults == () and made.calm == made.end == 60 * SECOND


def test_faults_follow_one_another_after_the_calm():
    made = faults.schedule(LAYOUT, OTHERS, 300 * SECOND, 1)
    assert [fault.kind for fault in made.faults] == list(OTHERS)
    assert made.faults[0].at == made.calm > 0
    for fault, following in zip(made.faults, made.faults[1:], strict=False):
        assert fault.at < fault.until < following.at
    assert made.faults[-1].until < made.end


def test_a_longer_run_has_a_longer_cut():
    short, long = (faults.schedule(LAYOUT, (Kind.CUT,), span * SECOND, 1).faults[0] for span in (60, 480))
    assert long.until - long.at == 8 * (short.until - short.at) > 180 * SECOND


def test_what_is_struck():
    by_kind = {fault.kind: fault for fault in faults.schedule(LAYOUT, OTHERS, 300 * SECOND, 1).faults}
    places = {place.name: place for place in LAYOUT.fronts}
    assert len({places[name].site for name in by_kind[Kind.RACK].names}) == 1
    assert len(by_kind[Kind.RACK].names) == 5
    assert len({places[name].zone for name in by_kind[Kind.ZONE].names}) == 1
    assert len(by_kind[Kind.ZONE].names) == 10
    assert by_kind[Kind.CUT].regions == ("r0", "r1")  # the list service is in the first
    assert by_kind[Kind.LOSS].share == 0.05
    assert by_kind[Kind.RELAY_STOPPED].names == by_kind[Kind.RELAY_KILLED].names == ()


def test_churn_is_the_days_rate_sped_up_by_a_stated_factor():
    made = faults.schedule(LAYOUT, (Kind.CHURN,), 100 * SECOND, 1)
    span = made.end - made.calm
    daily = 370 * 40 / 5200
    assert len(made.faults) == pytest.approx(daily * span / (86_400 * SECOND) * made.speed_up)
    assert len(made.faults) >= faults.LEAST_RESTARTS
    assert all(made.calm <= fault.at < fault.until < made.end for fault in made.faults)


@pytest.mark.parametrize(
    "kind, sizes",
    [
        (Kind.CUT, plan.Sizes(fronts=4)),
        (Kind.ZONE, plan.Sizes(fronts=4)),
        (Kind.RACK, plan.Sizes(fronts=4)),
    ],
)
def test_a_fault_that_the_layout_cannot_have_is_refused(kind, sizes):
    with pytest.raises(UnknownFault, match="at least 2 is wanted"):
        faults.schedule(plan.plan_of(sizes, MACHINE), (kind,), 60 * SECOND, 1)


# What samples bring


def report(*arrivals, late=False, number=None, doubled=0):
    return FrontReport(
        cpu_us={Subsystem.LIST: 10_000},
        sent={Subsystem.LIST: Traffic(20, 3000), Subsystem.MEMBERSHIP: Traffic(5, 500)},
        received={},
        events=[Arrival(0, number, at) for number, at in arrivals],
        doubled=doubled,
        late=late,
        number=number,
    )


def test_use_is_by_second_and_subsystem():
    seen = Observations(["a"])
    seen.begin("calm", 0)
    seen.take("a", report(), 2 * SECOND, 2 * SECOND)
    seen.take("a", report(), 2 * SECOND, 4 * SECOND)
    rates = seen.uses["calm"]["a"].rates()
    assert rates["cpu"]["list"] == pytest.approx(0.005)
    assert rates["sent_bytes"] == {
        "membership": 250.0,
        "duties": 0.0,
        "list": 1500.0,
        "counts": 0.0,
        "limits": 0.0,
        "all": 1750.0,
    }
    assert rates["sent_datagrams"]["all"] == 12.5


def test_a_peak_is_of_a_second_however_short_the_samples():
    seen = Observations(["a"])
    seen.begin("calm", 0)
    for moment in range(1, 11):
        seen.take("a", report(), SECOND // 10, moment * SECOND // 10)
    assert seen.uses["calm"]["a"].peak_bytes == pytest.approx(35_000)


def test_a_later_event_covers_those_before_it_and_what_never_came_is_told():
    seen = Observations(["a", "b"])
    seen.take("a", report((1, 110), (3, 330)), 0, 400)
    seen.take("b", report((1, 120)), 0, 400)
    times, counts = seen.times([100, 200, 300], 1000, ["a", "b"])
    assert times[:, 0].tolist() == [10, 130, 30]
    assert times[:, 1].tolist() == [20, numpy.inf, numpy.inf]
    assert counts.all()


def test_events_do_not_count_at_a_front_from_before_a_fault_until_it_is_whole():
    seen = Observations(["a"])
    seen.begin("rack", 0)
    seen.struck(Kind.RACK, ["a"], 1000)
    assert not seen.well("a")
    seen.ended(["a"], 2000, 7)
    seen.take("a", report((6, 2050), number=6), 0, 2100)
    assert not seen.well("a")  # behind
    seen.take("a", report((7, 2150), late=True, number=7), 0, 2200)
    assert not seen.well("a")  # not sure of its list
    seen.take("a", report(number=7), 0, 2300)
    assert seen.well("a") and seen.whole_again[Kind.RACK] == {"a": 300}
    _, counts = seen.times([400, 600, 1500, 2250, 2300], 500, ["a"])
    assert counts[:, 0].tolist() == [True, False, False, False, True]


def test_lateness_is_known_from_the_first_sample_that_tells_it():
    seen = Observations(["a"])
    seen.begin("cut", 0)
    seen.struck(Kind.CUT, ["a"], 1000)
    seen.take("a", report(number=3), 0, 1500)
    seen.take("a", report(number=3, late=True), 0, 2500)
    seen.take("a", report(number=3, late=True), 0, 3500)
    assert seen.late_known[Kind.CUT] == {"a": 1500}


def test_who_never_comes_back_is_away_for_good():
    seen = Observations(["a"])
    seen.begin("rack", 0)
    seen.struck(Kind.RACK, ["a"], 1000)
    seen.ended(["a"], 2000, 7)
    seen.finish()
    _, counts = seen.times([5000], 500, ["a"])
    assert not counts.any()


def test_events_that_came_in_a_snapshot_are_counted_as_skipped():
    seen = Observations(["a"])
    seen.take("a", report((1, 100), (2, 200), (9, 500), (10, 600)), 0, 700)
    assert seen.arrivals["a"].skipped(0, 1000) == 6
    assert seen.arrivals["a"].skipped(0, 499) == 0


# Links by region


def test_proxies_lose_a_share_and_cut_pairs_of_regions_and_count_both():
    proxies = RegionProxies(None, Random(1), {1: "r0", 2: "r1", 3: "r2"})
    assert all(proxies.passes(port, "r0") for port in (1, 2, 3))
    proxies.link_faults = LinkFaults(0.0, (("r1", "r0"),))
    assert [proxies.passes(port, "r0") for port in (1, 2, 3)] == [True, False, True]
    assert not proxies.passes(1, "r1") and proxies.passes(3, "r1")
    assert (proxies.lost, proxies.cut) == (0, 2)
    proxies.link_faults = LinkFaults(0.05)
    passed = sum(proxies.passes(1, "r0") for _ in range(10_000))
    assert passed == 10_000 - proxies.lost and 400 < proxies.lost < 600


def stream_of(service, who, after=0):
    """A call of the list service by one front, over an in-memory transport."""
    stream = service.factory(who).buildProtocol(None)
    stream.makeConnection(StringTransport())
    stream.dataReceived(b"GET /changes HTTP/1.1\r\nLast-Event-ID: %d\r\n\r\n" % after)
    return stream


@pytest.fixture
def service():
    made = RegionalListService(MemoryReactorClock(), 3, lambda who: "z0")
    made.add({"invalidate": {"bucket": 1, "time": 1}})
    yield made
    made.streams.clear()


def test_the_list_service_sends_nothing_to_fronts_that_are_cut_off(service):
    streams = [stream_of(service, who) for who in range(2)]
    service.cut_off_fronts([1])
    service.add({"invalidate": {"bucket": 2, "time": 2}})
    service.send_keepalives()
    told = [stream.transport.value().count(b"data:") for stream in streams]
    assert told == [2, 1] and service.held == 2


def test_data_held_by_a_cut_arrives_when_the_cut_ends(service):
    open_before = stream_of(service, 1)
    service.cut_off_fronts([1])
    called_meanwhile = stream_of(service, 1)
    service.add({"invalidate": {"bucket": 2, "time": 2}})
    assert not called_meanwhile.transport.value()
    service.rejoin()
    assert open_before.transport.value().count(b"data:") == 2
    assert called_meanwhile.transport.value().count(b"data:") == 2


def test_a_call_that_is_none_of_the_list_is_hung_up(service):
    stream = service.factory(0).buildProtocol(None)
    stream.makeConnection(StringTransport())
    stream.dataReceived(b"INFO p1-e0\r\n\r\n")
    assert stream.transport.disconnecting


# Bounds


def test_the_more_pieces_the_longer_a_run_of_losses_is_expected():
    assert bounds.longest_loss_run(100, 0.05) == 2
    assert bounds.longest_loss_run(1000 * 36 * 60, 0.05) == 5


def promise_of(listing, kinds=(), purge=7_300_000):
    peers = SimpleNamespace(listing=listing, spans=MembershipTimeouts())
    made = faults.schedule(LAYOUT, kinds, 100 * SECOND, 1)
    phases = ["calm", *(kind.value for kind in kinds)]
    shape = bounds.Shape(40, 4, 8, 36.0)
    return bounds.compute_run_bounds(peers, shape, phases, made, bounds.Budget(purge=purge))


def test_an_event_has_the_time_that_the_settings_promise_and_never_more_than_the_operators():
    promise = promise_of(DiscoverySettings(fronts=40), (Kind.LOSS, Kind.RACK))
    assert promise.event["calm"] < promise.event["loss"] < promise.event["rack"] == 7_300_000
    assert set(promise.recovery_time) == {Kind.LOSS, Kind.RACK}
    assert promise_of(DiscoverySettings(fronts=40), purge=1_000_000).event == {"calm": 1_000_000}


def test_a_longer_heartbeat_is_a_longer_bound():
    quick, slow = (
        promise_of(DiscoverySettings(fronts=40, beat=beat), (Kind.LOSS,)) for beat in (100_000, 400_000)
    )
    assert quick.event["loss"] < slow.event["loss"]


def test_a_star_states_nothing_of_children_and_windows():
    promise = promise_of(DiscoverySettings(fronts=40))
    assert promise.children is None and promise.list_bytes is None and promise.window is None


def test_a_fault_that_took_no_effect_breaks_the_run():
    run = SimpleNamespace(
        seen=Observations(["a"]), schedule=faults.Schedule((), SECOND, SECOND), fleet=None, plan=LAYOUT
    )
    promise = promise_of(DiscoverySettings(fronts=40))
    felt, unfelt = (fault_rows(run, promise, {Kind.LOSS: count}) for count in (3, 0))
    assert all(row.passed for row in felt) and not any(row.passed for row in unfelt)


def test_a_bound_that_nothing_states_is_not_judged():
    assert at_most_if_stated("x", 5, None).passed and not at_most_if_stated("x", 5, 4).passed
