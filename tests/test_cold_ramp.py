"""A cold member under the sum of what a fleet sends: it falls beyond N + 2 x root of N + 2 in a window."""

import socket
import threading
import time

import pytest

from limepath.decisions.endpoints import DEFAULT_CONCURRENCY
from limepath.hashing import mix64
from limepath.interface.commands import ForwardRequest
from limepath.interface.settings import SlowStart
from limepath.testbed.process import free_ports
from tests.cold_ramp import CASES, TWO, OfferedFront, Ramp, sent_in, spent_at_most, worst
from tests.fake_host import SECOND, FakeHost, make_endpoint, make_service
from tests.stand_ins import (
    SETTINGS,
    StandInCache,
    Viewer,
    address,
    configuration,
    listening,
    started,
)

SIZES = (2, 20, 30, 200)
DRAWS = 1000


@pytest.mark.parametrize("fronts", SIZES)
@pytest.mark.parametrize("lanes", [3.0, 20.0])
@pytest.mark.parametrize("classes", [{}, TWO], ids=["one class", "two classes"])
def test_no_demand_at_all_fronts_topples_a_cold_member_in_a_thousand_draws(fronts, lanes, classes):
    parts = spent_at_most(Ramp(fronts, lanes=lanes, **classes), DRAWS)
    assert sum(part > 1 for part in parts) == 0


@pytest.mark.parametrize("fronts", SIZES)
def test_a_class_six_times_the_mean_topples_a_cold_member_in_one_ramp_of_a_hundred_at_most(fronts):
    ramp = Ramp(fronts, lanes=6.0, works=(1_000_000, 200_000, 50_000), shares=(0.05, 0.5, 0.45))
    assert sum(part > 1 for part in spent_at_most(ramp, DRAWS)) <= DRAWS / 100


# Draws of 200 fronts in which the member fell while each front took turns a window long: 2 and 1 of 40.
@pytest.mark.parametrize(
    ("case", "seeds"), [("burst, small cache", (7, 9, 1, 2)), ("burst, each class waits", (14, 1))]
)
def test_a_burst_at_200_fronts_that_were_silent_does_not_topple_a_cold_cache(case, seeds):
    ramp = Ramp(200, **CASES[case])
    parts = [worst(ramp, *sent_in(ramp, seed)) for seed in seeds]
    assert max(of_limit for of_limit, _ in parts) < 1


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("fronts", [2, 20, 30])
def test_a_few_fronts_under_full_demand_stay_within_the_budget_and_use_it(case, fronts):
    ramp = Ramp(fronts, **CASES[case])
    parts = [worst(ramp, *sent_in(ramp, seed)) for seed in range(2)]
    assert max(of_limit for of_limit, _ in parts) < 1
    assert ramp.busy < 1 or not ramp.moments or min(of_budget for _, of_budget in parts) > 0.5


def test_a_member_told_anew_while_it_warms_gives_no_front_a_second_turn():
    """From a probe, then from the list: fronts that were not in turn are not drawn again."""
    ramp, now, began = Ramp(100), 1000 * SECOND, 1000 * SECOND - 1
    fronts = [OfferedFront(ramp, number, seed=mix64(number)) for number in range(ramp.fronts)]
    sent = []
    for moment in range(8):
        for one in fronts:
            one.told(now + moment, began + moment)
            one.request(now + moment, 0, moment + 1)
        sent.append(sum(len(one.sent) for one in fronts))
    assert 5 < sent[0] == sent[-1] < 40


def test_fronts_with_seeds_in_a_row_are_drawn_as_by_chance():
    """By crc32 of the seed alone as few as 2 of them were: near seeds came out together."""
    ramp, now, counts = Ramp(200), 1000 * SECOND, []
    for first in range(0, 20_000, 1000):
        fronts = [OfferedFront(ramp, 0, first + number) for number in range(ramp.fronts)]
        for one in fronts:
            one.told(now, now - 1)
        counts.append(sum(one.request(now, 0, 1) for one in fronts))
    assert 5 < min(counts) and max(counts) < 35  # 18 in the mean, 4 a deviation


def test_a_front_in_turn_sends_requests_of_a_cheaper_class_as_far_as_one_of_the_dearest_goes():
    ramp = Ramp(200, lanes=20.0, **TWO)
    one = next(
        front
        for front in (OfferedFront(ramp, 0, seed) for seed in range(1000))
        if front.told(1000 * SECOND, 1000 * SECOND - 1) or front.request(1000 * SECOND, 0, 1)
    )
    now = 1002 * SECOND
    sent = [one.request(now, 1, obj) for obj in range(2, 12)]
    assert sent == [True] * 5 + [False] * 5  # 5 of 70 ms in place of one of 400
    assert not one.request(now + ramp.warmup.overload_window - 1, 0, 12)
    assert one.request(now + ramp.warmup.overload_window, 0, 13)


def test_few_fronts_have_equal_parts_wherever_their_places_lie():
    """With room for a request of mean work each, the dearest class (0.4 s) leaves no front less than that."""
    ramp, now = Ramp(3, lanes=6.0, **TWO), 1000 * SECOND
    for seed in range(50):
        one = OfferedFront(ramp, 0, seed)
        one.told(now, now - 1)
        budgets = one.front.budgets
        whole = 3.2 * SECOND  # 1.07 s each: two of the dearest and a rest of 0.27 s
        parts = [budgets.share_of_budget(whole, 3, place) for place in (0.0, 1.0, 2.9)]
        assert min(parts) >= whole / 3


def test_what_goes_straight_to_the_origin_takes_no_part_of_a_cold_budget():
    passing = make_service(latency_objective=60 * SECOND, uncacheable=True)
    sent = []
    for services in ((make_service(),), (make_service(), passing)):
        host = FakeHost(services=services, fronts=40, fronts_in_zone=20)
        host.front.sending_times.mean = 600_000
        sent.append(host.front.budgets.share_of_budget(10 * SECOND, 20, 1.0))
    assert sent[0] == sent[1] == 600_000


def test_a_cold_budget_of_nothing_lets_nothing_pass():
    host = FakeHost(fronts=40, fronts_in_zone=20)
    warmup = SlowStart(0.0, 10 * SECOND, 2.0, SECOND)
    host.front.budgets.settings = {False: warmup, True: warmup}
    host.update_endpoints(make_endpoint(1, started_at=host.now))
    orders = [order for obj in range(40) for order in host.request(obj)]
    assert not any(order.endpoint == 1 for order in orders if isinstance(order, ForwardRequest))


def test_twenty_processes_with_requests_for_a_cold_cache_keep_its_budget_together():
    """On sockets: the requests that the cache gets are counted, by any second, as they come."""
    processes, cold_for = 20, 1000 * SECOND * 1000  # it stays at its least capacity
    safety = SETTINGS["safety"] | {"cold": cold_for, "overload-factor": 6}
    settings = SETTINGS | {"replicas-of-me": processes, "safety": safety}
    allowed = 6 * 0.2 * DEFAULT_CONCURRENCY * 1.0 / 0.6  # N: multiple x share x lanes x window / mean work
    cache, parent, log = StandInCache("s-1", "box", "sur"), StandInCache("p-1", "parent", "hub"), listening()
    began = int(time.time() * 1000)
    members = [cache.entry(up_since_ms=began), parent.entry()]
    known = {"seq": 1, "results": [{"seq": 1, "fleet": {"revision": 1, "members": members}}]}
    came, fronts, viewers = [], [], []

    def serve(member, times):
        while True:
            asked = member.asked.get()
            times.append(time.monotonic())
            asked.answer("DONE", "rev=4be0c1927d55a6f3,since=1764576000123", b"x")

    for member_, times in ((cache, came), (parent, [])):
        threading.Thread(target=serve, args=(member_, times), daemon=True).start()
    try:
        for number, port in enumerate(free_ports(socket.SOCK_STREAM, processes)):
            where = f"127.0.0.1:{port}"
            told = configuration(
                where,
                known=known,
                changelog=address(log),
                seed=f"{number + 1:x}",
                settings=settings,
            )
            fronts.append((where, started(told)))
        for _, process in fronts:
            while "event=ready" not in process.stderr.readline():
                assert process.poll() is None
        for number in range(3):  # three at once at each front, for as many objects
            for where, _ in fronts:
                viewers.append(
                    Viewer(where).send(f"/invoke/video/{number + 1:016x}", txn=f"{number + 1:016x}")
                )
        answers = [viewer.answer()[0] for viewer in viewers]
    finally:
        for _, process in fronts:
            process.kill()
            process.wait()
            process.stderr.close()
        for listener in (cache.listener, parent.listener, log):
            listener.close()
    most = max(sum(at <= one < at + 1 for one in came) for at in came)
    assert answers.count(200) >= len(came) and set(answers) <= {200, 503}  # who is not in turn sheds here
    assert 1 <= most <= allowed + 2 * allowed**0.5 + 2
