"""Tests of slow start with many fronts: more than N + 2 x root of N + 2 in a window overload a server."""

import socket
import threading
import time

import pytest

from limepath.decisions.endpoints import DEFAULT_CONCURRENCY
from limepath.hashing import mix64
from limepath.interface.commands import ForwardRequest
from limepath.interface.settings import SlowStart
from limepath.testbed.process import free_ports
from tests.cold_ramp import CASES, TWO_CLASSES, Ramp, SaturatedFront, peak_budget_use, peak_load, simulate
from tests.fake_host import SECOND, FakeHost, make_endpoint, make_service
from tests.stand_ins import (
    SETTINGS,
    HttpClient,
    StandInCache,
    address,
    configuration,
    open_listener,
    start_program,
)

SIZES = (2, 20, 30, 200)
DRAWS = 1000


@pytest.mark.parametrize("fronts", SIZES)
@pytest.mark.parametrize("concurrency", [3.0, 20.0])
@pytest.mark.parametrize("classes", [{}, TWO_CLASSES], ids=["one class", "two classes"])
def test_full_demand_at_all_fronts_does_not_overload_a_cold_server_in_1000_draws(
    fronts, concurrency, classes
):
    ratios = peak_budget_use(Ramp(fronts, concurrency=concurrency, **classes), DRAWS)
    assert sum(ratio > 1 for ratio in ratios) == 0


@pytest.mark.parametrize("fronts", SIZES)
def test_a_service_of_six_times_the_mean_sending_time_overloads_at_most_1_of_100_cold_servers(fronts):
    ramp = Ramp(
        fronts, concurrency=6.0, sending_times=(1_000_000, 200_000, 50_000), class_shares=(0.05, 0.5, 0.45)
    )
    assert sum(ratio > 1 for ratio in peak_budget_use(ramp, DRAWS)) <= DRAWS / 100


# Of 40 draws with 200 fronts, 2 and 1 overloaded the server when a front's turn lasted a whole window; these
# are the seeds.
@pytest.mark.parametrize(
    ("case", "seeds"), [("burst, small cache", (7, 9, 1, 2)), ("burst, each class waits", (14, 1))]
)
def test_a_burst_at_200_idle_fronts_does_not_overload_a_cold_cache(case, seeds):
    ramp = Ramp(200, **CASES[case])
    ratios = [peak_load(ramp, *simulate(ramp, seed)) for seed in seeds]
    assert max(limit_ratio for limit_ratio, _ in ratios) < 1


@pytest.mark.parametrize("case", CASES)
@pytest.mark.parametrize("fronts", [2, 20, 30])
def test_a_few_fronts_under_full_demand_stay_within_the_budget_and_use_it(case, fronts):
    ramp = Ramp(fronts, **CASES[case])
    ratios = [peak_load(ramp, *simulate(ramp, seed)) for seed in range(2)]
    assert max(limit_ratio for limit_ratio, _ in ratios) < 1
    assert (
        ramp.busy_share < 1 or not ramp.active_spans or min(budget_ratio for _, budget_ratio in ratios) > 0.5
    )


def test_a_repeated_start_notice_gives_no_other_front_a_budget():
    """The fronts learn of the start from a probe and then from the list, but are drawn only once."""
    ramp, now, began = Ramp(100), 1000 * SECOND, 1000 * SECOND - 1
    fronts = [SaturatedFront(ramp, number, seed=mix64(number)) for number in range(ramp.fronts)]
    sent = []
    for step in range(8):
        for one in fronts:
            one.announce(now + step, began + step)
            one.request(now + step, 0, step + 1)
        sent.append(sum(len(one.sent) for one in fronts))
    assert 5 < sent[0] == sent[-1] < 40


def test_consecutive_seeds_select_fronts_independently():
    """With the crc32 of the seed alone, only 2 fronts had a budget, because similar seeds were correlated."""
    ramp, now, counts = Ramp(200), 1000 * SECOND, []
    for first in range(0, 20_000, 1000):
        fronts = [SaturatedFront(ramp, 0, first + number) for number in range(ramp.fronts)]
        for one in fronts:
            one.announce(now, now - 1)
        counts.append(sum(one.request(now, 0, 1) for one in fronts))
    assert 5 < min(counts) and max(counts) < 35  # the mean is 18, the standard deviation 4


def test_a_front_with_budget_for_one_long_request_may_send_several_short_ones():
    ramp = Ramp(200, concurrency=20.0, **TWO_CLASSES)
    one = next(
        front
        for front in (SaturatedFront(ramp, 0, seed) for seed in range(1000))
        if front.announce(1000 * SECOND, 1000 * SECOND - 1) or front.request(1000 * SECOND, 0, 1)
    )
    now = 1002 * SECOND
    sent = [one.request(now, 1, obj) for obj in range(2, 12)]
    assert sent == [True] * 5 + [False] * 5  # 5 requests of 70 ms instead of one of 400 ms
    assert not one.request(now + ramp.slow_start.overload_window - 1, 0, 12)
    assert one.request(now + ramp.slow_start.overload_window, 0, 13)


def test_few_fronts_have_equal_shares_at_all_places():
    """If the budget has a mean request for each front, the longest one (0.4 s) reduces no front's share."""
    ramp, now = Ramp(3, concurrency=6.0, **TWO_CLASSES), 1000 * SECOND
    for seed in range(50):
        one = SaturatedFront(ramp, 0, seed)
        one.announce(now, now - 1)
        budgets = one.front.budgets
        total = 3.2 * SECOND  # 1.07 s each: two of the longest requests and 0.27 s
        shares = [budgets.share_of_budget(total, 3, place) for place in (0.0, 1.0, 2.9)]
        assert min(shares) >= total / 3


def test_uncacheable_services_do_not_reduce_a_slow_start_budget():
    uncacheable = make_service(latency_objective=60 * SECOND, uncacheable=True)
    sent = []
    for services in ((make_service(),), (make_service(), uncacheable)):
        host = FakeHost(services=services, fronts=40, fronts_in_zone=20)
        host.front.sending_times.mean = 600_000
        sent.append(host.front.budgets.share_of_budget(10 * SECOND, 20, 1.0))
    assert sent[0] == sent[1] == 600_000


def test_an_empty_slow_start_budget_forwards_nothing():
    host = FakeHost(fronts=40, fronts_in_zone=20)
    slow_start = SlowStart(0.0, 10 * SECOND, 2.0, SECOND)
    host.front.budgets.settings = {False: slow_start, True: slow_start}
    host.update_endpoints(make_endpoint(1, started_at=host.now))
    commands = [command for obj in range(40) for command in host.request(obj)]
    assert not any(command.endpoint == 1 for command in commands if isinstance(command, ForwardRequest))


def test_twenty_processes_together_stay_within_the_budget_of_a_cold_cache():
    """With real processes and sockets: counts the requests that the cache receives in any second."""
    processes, cold_for = 20, 1000 * SECOND * 1000  # so long that the capacity stays at its initial share
    safety = SETTINGS["safety"] | {"cold": cold_for, "overload-factor": 6}
    settings = SETTINGS | {"replicas-of-me": processes, "safety": safety}
    allowed = 6 * 0.2 * DEFAULT_CONCURRENCY * 1.0 / 0.6  # N: factor x share x concurrency x window / mean
    cache, parent, log = (
        StandInCache("s-1", "box", "sur"),
        StandInCache("p-1", "parent", "hub"),
        open_listener(),
    )
    began = int(time.time() * 1000)
    members = [cache.entry(up_since_ms=began), parent.entry()]
    known = {"seq": 1, "results": [{"seq": 1, "fleet": {"revision": 1, "members": members}}]}
    arrivals, fronts, clients = [], [], []

    def serve(member, times):
        while True:
            command = member.commands.get()
            times.append(time.monotonic())
            command.answer("DONE", "rev=4be0c1927d55a6f3,since=1764576000123", b"x")

    for member_, times in ((cache, arrivals), (parent, [])):
        threading.Thread(target=serve, args=(member_, times), daemon=True).start()
    try:
        for number, port in enumerate(free_ports(socket.SOCK_STREAM, processes)):
            where = f"127.0.0.1:{port}"
            front_configuration = configuration(
                where,
                known=known,
                changelog=address(log),
                seed=f"{number + 1:x}",
                settings=settings,
            )
            fronts.append((where, start_program(front_configuration)))
        for _, process in fronts:
            while "event=ready" not in process.stderr.readline():
                assert process.poll() is None
        for number in range(3):  # three concurrent requests at each front, for three objects
            for where, _ in fronts:
                clients.append(
                    HttpClient(where).send(f"/invoke/video/{number + 1:016x}", txn=f"{number + 1:016x}")
                )
        answers = [client.answer()[0] for client in clients]
    finally:
        for _, process in fronts:
            process.kill()
            process.wait()
            process.stderr.close()
        for listener in (cache.listener, parent.listener, log):
            listener.close()
    peak = max(sum(at <= arrival < at + 1 for arrival in arrivals) for at in arrivals)
    # Fronts without a budget shed load.
    assert answers.count(200) >= len(arrivals) and set(answers) <= {200, 503}
    assert 1 <= peak <= allowed + 2 * allowed**0.5 + 2
