"""Hollow fronts: the commands and reports of their process, the faults of links, and a process at work."""

import json
import socket
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from limepath.configuration.process_limits import plan_limits
from limepath.discovery.endpoint_list import EndpointList
from limepath.discovery.interface import Subscribe
from limepath.discovery.star_service import member
from limepath.duties.host import clock
from limepath.membership.control import request_view
from limepath.membership.interface import Hello
from limepath.scale import control, hollow_process
from limepath.scale.accounting import Account, Meter
from limepath.scale.arrivals import Arrivals
from limepath.scale.control import Arrival, FrontReport, Reply, Subsystem, Traffic
from limepath.scale.front_reactor import FrontReactor
from limepath.scale.hollow import Life
from limepath.scale.links import Links
from limepath.scale.quiet_log import CountingLog, LogFile
from limepath.testbed.process import HOST
from tests.hollow_fleet import HollowFleet, close_process, start_module

# Commands and reports


def test_commands_round_trip():
    commands = [
        control.Start(["a", "b"]),
        control.Kill(["a"]),
        control.Pause([]),
        control.Resume(["b"]),
        control.Reload(["b"]),
        control.Links(0.05, [("north", "south")]),
        control.Report(),
        control.End(),
    ]
    for command in commands:
        line = control.encode(command)
        assert line.endswith(b"\n") and line.count(b"\n") == 1
        assert control.decode_command(line) == command
    assert control.decode_command(b'{"do": "links", "loss": 0.5, "cuts": [["a", "b"]]}').cuts == [("a", "b")]


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"[]",
        b'{"do": "dance"}',
        b'{"names": []}',
        b'{"do": "start"}',
        b'{"do": "start", "names": [1]}',
        b'{"do": "report", "names": ["a"]}',
        b'{"do": "links", "loss": 1.5}',
        b'{"do": "links", "cuts": [["a"]]}',
        b'{"do": "links", "loss": "\xff"}',
    ],
)
def test_a_bad_command_is_told_by_one_error(line):
    with pytest.raises(control.BadLine):
        control.decode_command(line)


def test_reports_round_trip():
    front = FrontReport(
        cpu_us={Subsystem.LIST: 5},
        sent={Subsystem.MEMBERSHIP: Traffic(1, 80)},
        received={},
        events=[Arrival(0, 7, 123)],
        doubled=2,
        live=3,
    )
    process = control.ProcessReport(9, 10, control.Dropped(1, 2))
    reply = control.decode_reply(control.encode(Reply(True, fronts={"a": front}, process=process)))
    assert reply == Reply(True, fronts={"a": front}, process=process)
    assert reply.fronts["a"].events[0].number == 7
    assert control.encode(Reply(True)) == b'{"ok":true}\n'
    assert control.decode_reply(control.encode(Reply(False, "no front x"))).error == "no front x"


# Parts


def test_a_cut_works_both_ways_and_is_counted_where_it_takes_effect():
    links = Links({("h", 1): "a", ("h", 2): "b", ("h", 3): "c"})
    assert links.passes(("h", 1), "b")
    links.set(0.0, [("a", "b")])
    assert not links.passes(("h", 1), "b") and not links.passes(("h", 2), "a")
    assert links.passes(("h", 1), "a") and links.passes(("h", 3), "b") and links.passes(("h", 9), "a")
    assert links.take() == control.Dropped(0, 2) and links.take() == control.Dropped()
    links.set(0.0, [])
    assert links.passes(("h", 1), "b")


def test_loss_is_drawn_by_its_seed():
    def passed(seed):
        links = Links({}, seed)
        links.set(0.05, [])
        out = [links.passes(("h", 1), "a") for _ in range(2000)]
        assert links.take().loss == out.count(False)
        return out

    assert passed(1) == passed(1) != passed(2)
    assert 60 <= passed(1).count(False) <= 140
    links = Links({})
    links.set(1.0, [])
    assert not links.passes(("h", 1), "a")


def test_processor_time_is_charged_to_whoever_works():
    now = [0]
    account = Account(Meter(lambda: now[0]))

    def work(span):
        now[0] += span

    def outer():
        work(2_000)
        account.charged(work, Subsystem.MEMBERSHIP)(3_000)
        work(4_500)

    work(100)
    account.charged(outer, Subsystem.DUTIES)()
    work(1_000)
    account.meter.switch(account.arriving)
    work(5_000)
    account.opened(Subscribe("sur", 0, 1), 80)
    work(1_000)
    account.meter.switch(account.arriving)
    work(7_000)
    account.opened(Hello(), 60)
    account.meter.switch(account.meter.nobody)
    account.sent(Hello(), 61)
    cpu, sent, received = account.take()
    assert cpu == {
        Subsystem.MEMBERSHIP: 10,
        Subsystem.DUTIES: 6,
        Subsystem.LIST: 6,
        Subsystem.COUNTS: 0,
        Subsystem.LIMITS: 0,
    }
    assert account.meter.nobody.ns == 1_100
    assert received[Subsystem.LIST] == Traffic(1, 80) and received[Subsystem.MEMBERSHIP] == Traffic(1, 60)
    assert sent[Subsystem.MEMBERSHIP] == Traffic(1, 61)
    cpu, sent, received = account.take()
    assert set(cpu.values()) == {0} and received[Subsystem.LIST] == Traffic()


def test_what_is_charged_ends_with_a_fault():
    now = [0]
    account = Account(Meter(lambda: now[0]))

    def fail():
        now[0] += 1_000
        raise ValueError

    with pytest.raises(ValueError):
        account.charged(fail, Subsystem.LIST)()
    now[0] += 5_000
    account.meter.switch(account.meter.nobody)
    assert account.take()[0][Subsystem.LIST] == 1 and account.meter.nobody.ns == 5_000


def test_arrivals_tell_each_event_once_and_count_copies():
    arrivals = Arrivals()
    arrivals.came(0, 5, 3)
    for number in (5, 6, 7):
        arrivals.taken(0, number, 100 + number)
    arrivals.came(0, 6, 3)  # 6 and 7 again, 8 is new
    arrivals.taken(0, 7, 300)
    arrivals.taken(1, 7, 400)
    arrivals.taken(0, 9, 500)  # by the stream
    arrivals.came(0, 9, 1)
    assert arrivals.take() == (
        [Arrival(0, 5, 105), Arrival(0, 6, 106), Arrival(0, 7, 107), Arrival(1, 7, 400), Arrival(0, 9, 500)],
        3,
    )
    assert arrivals.take() == ([], 0)
    arrivals.forget()
    arrivals.taken(0, 5, 600)
    assert arrivals.take() == ([Arrival(0, 5, 600)], 0)


def test_a_paused_fronts_overdue_timers_run_late_and_in_order():
    process, told = Clock(), []
    front = FrontReactor(process, Account(Meter()))
    front.callLater(3, told.append, "third")
    undone = front.callLater(2, told.append, "second")
    front.callLater(1, lambda: (told.append("first"), undone.cancel()))
    front.callLater(9, told.append, "last")
    front.pause()
    set_while_paused = front.callLater(0, told.append, "never")
    process.advance(5)
    assert told == [] and undone.active()
    set_while_paused.cancel()
    front.resume()
    process.advance(0)
    assert told == ["first", "third"] and not undone.active()
    process.advance(4)
    assert told == ["first", "third", "last"]


def test_a_killed_fronts_timers_never_run():
    process, told = Clock(), []
    front = FrontReactor(process, Account(Meter()))
    front.callLater(1, told.append, "never")
    front.kill()
    front.callLater(1, told.append, "nor this")
    process.advance(9)
    assert told == [] and not process.getDelayedCalls()


def test_a_fault_in_a_sweep_is_told_and_the_next_sweep_comes(capsys):
    process, swept = Clock(), []
    life = Life.__new__(Life)
    life.reactor, life.limits = (
        FrontReactor(process, Account(Meter())),
        plan_limits(1024, 192, 8, open_requests=9),
    )
    life.log = CountingLog("h0", LogFile(""))
    life.sweep_sharing, life.caches = (lambda: 1 // 0), SimpleNamespace(sweep=lambda: swept.append(1))
    life.sweep()
    process.advance(life.limits.sweep / 1e6)
    assert len(swept) == 2 and life.log.take() == {"fault": 2}
    assert capsys.readouterr().err.count("ZeroDivisionError") == 2


def test_shared_members_change_nothing_but_memory(monkeypatch):
    def filled():
        one = EndpointList()
        for told in ([member("s-1"), member("s-2")], [member("s-1") | {"size": 9}]):
            one.apply(json.loads(json.dumps({"seq": 1, "fleet": {"members": told}})))
        return one

    plain = filled()
    monkeypatch.setattr(EndpointList, "put", EndpointList.put)  # put back after this test
    hollow_process.share_members()
    one, two = filled(), filled()
    assert one.members == two.members == plain.members and one.digest == two.digest == plain.digest
    assert one.members["s-2"] is two.members["s-2"] is not plain.members["s-2"]
    assert one.members["s-1"]["size"] == 9


# A process at work


def test_fronts_join_and_take_what_the_service_tells(tmp_path):
    with HollowFleet(str(tmp_path), 5) as fleet:
        fronts = fleet.start()
        assert len({front.view for front in fronts.values()}) == 1
        assert len({front.token for front in fronts.values()}) == 5
        assert {front.role for front in fronts.values()} <= {"relays", "follows"}
        began = clock()
        added = fleet.publish({"fleet": {"revision": 2, "members": [member("s-9")]}})
        purged = fleet.purge()
        fleet.wait_for_event(fleet.names, purged)
        fleet.wait_for_values(fleet.names, number=purged, generation=0)
        for name in fleet.names:
            assert began < fleet.event_times[name][0, added] <= fleet.event_times[name][0, purged] < clock()
        counted = {name: (0, 0, 0) for name in fleet.names}

        def enough(fronts):
            for name, front in fronts.items():
                now = (front.cpu_us["membership"], front.received["list"].datagrams, front.cpu_us["duties"])
                counted[name] = tuple(map(sum, zip(counted[name], now, strict=True)))
            return all(min(counts) > 0 for counts in counted.values())

        fleet.wait_for(enough)
        assert fleet.report().process.rss_bytes > 10_000_000
        assert 0 < fleet.subsystems_us <= fleet.cpu_us


def test_a_real_front_and_hollow_ones_are_one_fleet(tmp_path):
    with HollowFleet(str(tmp_path), 3) as fleet:
        fleet.start()
        fleet.start_real("r0")
        fleet.wait_for_values(fleet.names, live=4)
        purged = fleet.purge()
        fleet.wait_for_values(fleet.names, number=purged)
        control_socket = fleet.path("r0", "peers.sock")

        def joined(fronts):
            real, listing = request_view(control_socket, "peers"), request_view(control_socket, "listing")
            tokens = {member["token"] for member in real["members"] if member["state"] == "alive"}
            return {front.token for front in fronts.values()} < tokens and listing["number"] == purged

        fleet.wait_for(joined)
        hollow, real = (request_view(fleet.path(name, "peers.sock"), "listing") for name in ("h0", "r0"))
        assert hollow["digest"] == real["digest"] and hollow["members"] == real["members"] == 3
        assert set(hollow) == set(real) and set(hollow["counts"]) == set(real["counts"])


def test_a_killed_front_is_found_and_comes_back_as_a_new_life(tmp_path):
    with HollowFleet(str(tmp_path), 4) as fleet:
        before = fleet.start()["h3"]
        fleet.execute(control.Kill(["h3"]))
        others = fleet.names[:3]
        fleet.wait_for_values(others, live=3)
        down = fleet.report().fronts["h3"]
        assert (down.live, down.late, down.number) == (None, None, None)
        purged = fleet.purge()
        fleet.wait_for_event(others, purged)
        assert (0, purged) not in fleet.event_times["h3"]
        fleet.execute(control.Start(["h3"]))
        fleet.event_times["h3"].clear()
        fleet.wait_for_values(fleet.names, live=4, late=False, number=purged)
        after = fleet.report().fronts["h3"]
        assert after.token == before.token and (before.life, after.life) == (1, 2)
        assert fleet.event_times["h3"][0, purged]


def test_a_paused_front_is_late_and_catches_up(tmp_path):
    with HollowFleet(str(tmp_path), 4) as fleet:
        fleet.start()
        fleet.execute(control.Pause(["h2"]))
        others = ["h0", "h1", "h3"]
        purged = fleet.purge()
        fleet.wait_for_event(others, purged)
        fleet.wait_for_values(others, live=3)  # it answers nobody
        paused = fleet.report().fronts["h2"]
        assert paused.live is None and paused.life == 1 and not any(paused.cpu_us.values())
        assert (0, purged) not in fleet.event_times["h2"]
        resumed = clock()
        fleet.execute(control.Resume(["h2"]))
        fleet.wait_for_event(["h2"], purged)
        assert fleet.event_times["h2"][0, purged] > resumed
        fronts = fleet.wait_for_values(fleet.names, live=4, late=False, number=purged)
        assert fronts["h2"].life == 1


def test_a_cut_between_regions_takes_effect_and_ends(tmp_path):
    with HollowFleet(str(tmp_path), 5) as fleet:
        fleet.start()
        fleet.execute(control.Links(cuts=[("north", "south")]))
        north, south = fleet.names[::2], fleet.names[1::2]
        fleet.wait_for(
            lambda fronts: (
                all(fronts[name].live == 3 for name in north)
                and all(fronts[name].live == 2 for name in south)
            )
        )
        assert fleet.cut_datagrams > 0 and fleet.lost_datagrams == 0
        fleet.execute(control.Links())
        fronts = fleet.wait_for_values(fleet.names, live=5)
        assert len({front.view for front in fronts.values()}) == 1
        cut = fleet.cut_datagrams
        fleet.report()
        assert fleet.cut_datagrams == cut


def test_a_reload_moves_to_another_address_of_the_list_service(tmp_path):
    with HollowFleet(str(tmp_path), 2) as fleet:
        fleet.start()
        with open(fleet.path("h1", "front.json"), encoding="utf-8") as file:
            told = json.load(file)
        moved = told | {"changelog": f"{HOST}:{fleet.changelogs[0]}", "seed": "99"}
        fleet.write("h1/front.json", json.dumps(moved))
        fleet.execute(control.Reload(["h1"]))
        said = fleet.report().fronts["h1"].said
        assert said["reload"] == 1  # the seed differs, and changes at a restart only
        purged = fleet.purge()
        fleet.wait_for_event(fleet.names, purged)
        fleet.write("h1/front.json", "{")
        reply = fleet.send_line(control.encode(control.Reload(["h1"])))
        assert not reply.ok and reply.error.startswith("h1: ") and "running values stay" in reply.error
        purged = fleet.purge()
        fleet.wait_for_event(fleet.names, purged)


def test_events_reach_all_under_loss(tmp_path):
    with HollowFleet(str(tmp_path), 4) as fleet:
        fleet.start()
        fleet.execute(control.Links(loss=0.2))
        numbers = [fleet.purge(bucket) for bucket in range(20)]
        fleet.wait_for_values(fleet.names, number=numbers[-1])
        fleet.wait_for(lambda _: fleet.lost_datagrams > 0)
        fleet.execute(control.Links())
        for number in numbers:
            fleet.wait_for_event(fleet.names, number)


def test_what_cannot_be_done_is_told_and_the_rest_goes_on(tmp_path):
    with HollowFleet(str(tmp_path), 2) as fleet:
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as holder:
            holder.bind((HOST, fleet.ports[1]))
            reply = fleet.send_line(control.encode(control.Start(["h0", "h1"])))
            assert not reply.ok and reply.error.startswith("h1: ") and str(fleet.ports[1]) in reply.error
        fleet.execute(control.Start(["h1"]))  # h0 runs
        for line, error in (
            (b"nonsense\n", "JSON is malformed"),
            (b'{"do": "start", "names": ["h0"]}\n', "h0: is running"),
            (b'{"do": "resume", "names": ["h0"]}\n', "h0: is running"),
            (b'{"do": "kill", "names": ["h0", "h9"]}\n', "no front 'h9'"),
        ):
            reply = fleet.send_line(line)
            assert not reply.ok and reply.error.startswith(error)
        fleet.wait_for_values(fleet.names, live=2, late=False)
        assert fleet.execute(control.End()) == Reply(True)
        fleet.process.wait(60)


# Bad configuration


def spoil_fronts(told):
    told["fronts"] = []


def spoil_twice(told):
    told["fronts"].append(told["fronts"][0])


def spoil_field(told):
    told["front"] = told.pop("fronts")


def spoil_peers(told):
    told["fronts"][0]["peers"] += ".none"


def spoil_directory(told):
    told["directory"] += ".none"


@pytest.mark.parametrize(
    "spoil, words",
    [
        (spoil_fronts, "fronts: there is none"),
        (spoil_twice, "'h0' is there 2 times"),
        (spoil_field, "front"),
        (spoil_peers, "peers.ini.none"),
        (spoil_directory, "directory.json.none"),
    ],
)
def test_a_bad_configuration_is_one_line_and_status_2(tmp_path, spoil, words):
    with HollowFleet(str(tmp_path), 1) as fleet:
        with open(fleet.config, encoding="utf-8") as file:
            told = json.load(file)
        spoil(told)
        process = start_module("limepath.scale.hollow_process", fleet.write("spoilt.json", json.dumps(told)))
        assert process.stdout.read() == b""
        said = close_process(process)
    assert process.returncode == 2
    assert said.startswith("limepath: configuration: ") and words in said and said.count("\n") == 1


def test_bad_files_are_one_line_and_status_2(tmp_path):
    cases = {
        "missing": (None, "No such file"),
        "no JSON": (b"{", "JSON"),
        "no object": (b"[]", "object"),
    }
    for name, (data, words) in cases.items():
        path = tmp_path / name
        if data is not None:
            path.write_bytes(data)
        process = start_module("limepath.scale.hollow_process", str(path))
        said = close_process(process)
        assert process.returncode == 2 and words in said and said.count("\n") == 1, said


def test_a_front_without_listing_is_refused(tmp_path):
    with HollowFleet(str(tmp_path), 1) as fleet:
        with open(fleet.path("h0", "peers.ini"), encoding="utf-8") as file:
            peers = fleet.write("h0/short.ini", file.read().partition("[listing]")[0])
        with open(fleet.config, encoding="utf-8") as file:
            told = json.load(file)
        told["fronts"][0]["peers"] = peers
        process = start_module("limepath.scale.hollow_process", fleet.write("short.json", json.dumps(told)))
        said = close_process(process)
    assert process.returncode == 2
    assert said.startswith("limepath: configuration: h0: ") and "[listing]: missing" in said
