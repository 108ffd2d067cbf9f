"""Stories of the list told once to a fleet: the logic by itself, in virtual time, and in several real
processes.
"""

import json
import subprocess
import sys

import pytest

from limepath.configuration import peers_file
from limepath.configuration.ini import SettingError
from limepath.configuration.sharing_settings import (
    DiscoverySettings,
    DutyMode,
    DutySettings,
    LeaseSettings,
    MembershipTimeouts,
)
from limepath.discovery.bounds import QUIET_SPAN_US, bounds, freshness_limit
from limepath.discovery.call_budget import CallBudget
from limepath.discovery.endpoint_list import CHUNK_BYTES, EndpointList, snapshot_digest
from limepath.discovery.engine import DiscoveryEngine
from limepath.discovery.interface import (
    ApplyEvent,
    CloseStream,
    Events,
    Heartbeat,
    ListConfirmed,
    LogEvent,
    OpenStream,
    PeerMessage,
    Revision,
    Role,
    SaveSnapshot,
    SendToMember,
    SnapshotChunk,
    SnapshotChunkRequest,
    StreamActive,
    StreamClosed,
    StreamEventReceived,
    StreamOpened,
    Subscribe,
)
from limepath.discovery.service_stream import StreamState
from limepath.discovery.simulate import KINDS, member, simulated
from limepath.discovery.upstream import BAD_PEER_US
from limepath.duties.world import World
from limepath.membership.members import spread
from limepath.report_table import hold

SECOND, MS = 1_000_000, 1000
TERMS = DiscoverySettings(zone="sur", fronts=2)


def event(number, **told):
    return json.dumps({"seq": number} | (told or {"invalidate": {"bucket": number, "time": 5}}))


def whole(number=1, caches=2):
    return event(
        number, fleet={"complete": True, "revision": 1, "members": [member(f"s-{i}") for i in range(caches)]}
    )


def held(numbers=1, generation=0):
    """A list after so many events."""
    one = EndpointList()
    for text in [whole(), *map(event, range(2, numbers + 1))]:
        one.apply(json.loads(text))
    one.revision = Revision(generation, numbers)
    return one


class Fronting:
    """One front's logic, with `others` that live, by their tokens; `out` keeps all orders."""

    def __init__(self, others=(), saved=None, terms=TERMS, me=1):
        self.others, self.now, self.out = list(others), 0, []
        self.logic = DiscoveryEngine(me, terms, 7, lambda: self.others, saved)
        self.take(self.logic.start(0))

    def take(self, orders):
        self.out += orders

    def run(self, span):
        end = self.now + span
        while (due := self.logic.next()) is not None and due <= end:
            self.now = max(self.now, due)
            self.take(self.logic.handle(self.now))
        self.now = end
        return self

    def hear(self, *notes):
        before = len(self.out)
        self.take(self.logic.handle(self.now, notes))
        return self.out[before:]

    def said(self, kind):
        return [order for order in self.out if isinstance(order, kind)]

    def streams(self, *texts):
        """Run until it calls; the service tells these and that it is alive."""
        while not self.said(OpenStream):
            self.run(100 * MS)
        self.hear(StreamOpened(), *(StreamEventReceived(text) for text in texts))
        self.run(QUIET_SPAN_US)
        return self.hear(StreamActive())


def of(orders, kind):
    return [order for order in orders if isinstance(order, kind)]


def test_a_saved_list_reaches_the_front_only_once_somebody_has_confirmed_it():
    front = Fronting([2], held(5).pack()).run(SECOND)
    assert (
        not front.said(ApplyEvent)
        and front.logic.replica.list.revision.number == 5
        and front.logic.replica.is_stale()
    )
    told = front.hear(
        PeerMessage(2, Heartbeat("sur", 0, 5, held(5).digest, -1))
    )  # one that knows no better itself
    assert not of(told, ApplyEvent)
    told = front.hear(PeerMessage(2, Heartbeat("sur", 0, 5, held(5).digest, 200 * MS)))
    assert (
        of(told, ApplyEvent)[0].event["fleet"]["complete"]
        and len(of(told, ApplyEvent)) == 5
        and of(told, ListConfirmed)
    )
    assert 200 * MS <= front.logic.replica.age() < 300 * MS and not front.logic.replica.is_stale()


def test_a_saved_list_is_brought_up_to_date_by_the_events_that_it_lacks():
    front = Fronting([2], held(3).pack()).run(SECOND)
    asked = [order.message for order in front.said(SendToMember) if isinstance(order.message, Subscribe)]
    assert asked[0] == Subscribe("sur", 0, 3)
    told = front.hear(PeerMessage(2, Events(0, 4, (event(4), event(5)), 100 * MS)))
    assert of(told, ListConfirmed)[0].revision == (0, 5) and of(told, ApplyEvent)[0].event["seq"] == 5


@pytest.mark.parametrize("spoilt", [b"", b"LPL1", held(3).pack()[:-4], b"LPL1" + held(3).pack()[9:]])
def test_a_damaged_saved_list_is_named_and_not_used(spoilt):
    front = Fronting([], spoilt).run(SECOND)
    assert "begins without" in front.said(LogEvent)[0].fields[
        "flaw"
    ] and front.logic.replica.list.revision == (
        0,
        0,
    )
    front.streams(whole())
    assert front.said(ListConfirmed)[0].revision == (0, 1)


def test_a_front_that_hears_of_nobody_takes_the_service_at_its_word_and_saves_it():
    front = Fronting()
    front.streams(whole(1), event(2))
    assert front.said(OpenStream) == [OpenStream(0)] and front.said(ListConfirmed)[0].revision == (0, 2)
    front.run(2 * SECOND)
    again = Fronting(saved=front.said(SaveSnapshot)[-1].data)
    assert (
        again.logic.replica.list.revision == (0, 2)
        and again.logic.replica.list.digest == front.logic.replica.list.digest
    )


def test_a_service_restored_from_an_older_state_is_found_out_though_it_says_nothing():
    front = Fronting()
    front.streams(whole(1), event(2), event(3))
    front.hear(StreamEventReceived(event(4)))
    front.hear(StreamClosed("the stream ended"))
    while len(front.said(OpenStream)) < 2:
        front.run(100 * MS)
    assert front.said(OpenStream)[-1] == OpenStream(3)  # one before the last that it holds
    front.hear(StreamOpened())
    front.run(QUIET_SPAN_US)  # it is at 2 now, and tells nothing above 3
    front.hear(StreamActive())
    assert "not told again" in front.said(CloseStream)[-1].reason
    while len(front.said(OpenStream)) < 3:
        front.run(100 * MS)
    assert front.said(OpenStream)[-1] == OpenStream(0)
    front.hear(StreamOpened(), StreamEventReceived(whole(1)), StreamEventReceived(event(2)))
    front.run(QUIET_SPAN_US)
    assert front.logic.replica.list.revision == (0, 4)  # it may be telling all slowly
    front.run(TERMS.silence - QUIET_SPAN_US - 1)
    front.hear(StreamActive())
    front.run(10)
    assert front.logic.replica.list.revision == (1, 2) and any(
        said.event == "list-backwards" for said in front.said(LogEvent)
    )


def test_an_event_told_anew_and_otherwise_is_no_duplicate():
    front = Fronting()
    front.streams(whole(1), event(2))
    front.hear(StreamEventReceived(event(3)))
    assert not of(front.hear(StreamEventReceived(event(3))), CloseStream)
    assert of(front.hear(StreamEventReceived(event(3, invalidate={"bucket": 99, "time": 6}))), CloseStream)


def test_a_gap_in_the_stream_has_the_whole_list_called_anew():
    front = Fronting()
    front.streams(whole(1), event(2))
    assert "5 comes after 2" in of(front.hear(StreamEventReceived(event(5))), CloseStream)[0].reason
    assert front.logic.replica.list.revision.number == 2 and front.logic.stream.replay_needed


def test_an_event_that_cannot_be_read_twice_is_skipped_by_name():
    front = Fronting()
    front.streams(whole(1), event(2))
    for _ in range(2):
        front.hear(StreamEventReceived('{"seq": 3, "fleet": {"members": [{"id": "s-9"}]}}', "3"))
        while front.logic.stream.state == StreamState.CLOSED:
            front.run(100 * MS)
    assert any(
        said.event == "list-event" and "s-9" in said.fields["skipped"] for said in front.said(LogEvent)
    )
    assert front.logic.replica.list.revision.number == 2


def test_a_purge_is_no_older_than_the_list_was_up_to_date_whatever_the_clocks_say():
    front = Fronting()
    front.streams(whole(1))
    front.run(300 * MS)
    taken = of(front.hear(StreamEventReceived(event(2))), ApplyEvent)
    assert taken[0].max_purge_age == 300 * MS


def test_two_relays_that_tell_different_lists_are_not_believed_and_the_service_is_asked():
    front = Fronting([2, 3], held(4).pack(), TERMS._replace(fronts=3)).run(SECOND)
    front.hear(PeerMessage(2, Heartbeat("sur", 0, 4, held(4).digest, 10 * MS)))
    assert front.logic.roles.role != Role.ALONE and not front.logic.roles.contradiction_seen
    front.hear(PeerMessage(3, Heartbeat("sur", 0, 4, held(4).digest ^ 1, 10 * MS)))
    assert (
        front.logic.roles.contradiction_seen
        and front.logic.upstream.fault_of(front.logic.upstream.sources[3]) == "bad"
    )
    front.streams(whole(1), event(2), event(3), event(4))
    assert not front.logic.roles.contradiction_seen and front.logic.replica.list.digest == held(4).digest


def test_a_relay_that_says_it_is_up_to_date_and_stays_behind_is_passed_over():
    front = Fronting([2, 3], held(6).pack(), TERMS._replace(relays=3)).run(SECOND)
    for _ in range(6):
        front.hear(
            PeerMessage(2, Heartbeat("sur", 0, 6, held(6).digest, 400 * MS)),
            PeerMessage(3, Heartbeat("sur", 0, 4, held(4).digest, 10 * MS)),
        )
        front.run(TERMS.beat)
    assert front.logic.upstream.fault_of(
        front.logic.upstream.sources[3]
    ) == "bad" and not front.logic.upstream.fault_of(front.logic.upstream.sources[2])
    front.run(BAD_PEER_US)
    assert front.logic.upstream.fault_of(front.logic.upstream.sources[3]) != "bad"


@pytest.mark.parametrize(
    "nonsense",
    [
        Events(0, 4, ("{",), 0),
        Events(0, 4, (event(9),), 0),
        Events(0, 4, (event(4, fleet={"members": [{"id": ""}]}),), 0),
    ],
)
def test_a_relays_nonsense_is_named_and_nothing_of_it_is_taken(nonsense):
    front = Fronting([2], held(3).pack()).run(SECOND)
    front.hear(PeerMessage(2, nonsense))
    assert (
        front.logic.replica.list.revision.number == 3
        and front.logic.counts["nonsense"] == 1
        and front.logic.upstream.fault_of(front.logic.upstream.sources[2]) == "bad"
    )
    assert front.logic.replica.list.digest == held(3).digest


def test_what_one_that_is_not_followed_tells_is_not_taken():
    front = Fronting([2], held(3).pack()).run(SECOND)
    front.hear(PeerMessage(9, Events(0, 4, (event(4),), 0)), PeerMessage(9, Heartbeat("sur", 0, 9, 1, 0)))
    assert front.logic.replica.list.revision.number == 3 and not front.logic.snapshot_transfer.download


def fetched(served, longest=4_000_000, spoil=lambda chunk: chunk):
    """A newcomer gets a whole list from one that holds it; give the newcomer."""
    newcomer = Fronting([2], terms=TERMS._replace(longest=longest)).run(SECOND)
    newcomer.hear(
        PeerMessage(2, Heartbeat("sur", *served.replica.list.revision, served.replica.list.digest, 10 * MS))
    )
    done = 0
    for _ in range(3000):
        newcomer.run(10 * MS)
        asked = [
            order.message
            for order in newcomer.out[done:]
            if isinstance(order, SendToMember) and isinstance(order.message, SnapshotChunkRequest)
        ]
        done = len(newcomer.out)
        if not newcomer.logic.snapshot_transfer.download:
            break
        for ask in asked:
            for answer in of(served.handle(newcomer.now + 10**9, [PeerMessage(1, ask)]), SendToMember):
                if isinstance(answer.message, SnapshotChunk):
                    newcomer.hear(PeerMessage(2, spoil(answer.message)))
    return newcomer


def full(caches):
    front = Fronting()
    front.streams(whole(1, caches))
    return front.logic


def test_a_list_of_ten_thousand_members_comes_whole_in_pieces():
    served = full(10_000)
    newcomer = fetched(served)
    assert (
        len(served.replica.list.pack()) > 25 * CHUNK_BYTES
        and newcomer.logic.replica.list.digest == served.replica.list.digest
    )
    assert len(newcomer.said(ApplyEvent)[0].event["fleet"]["members"]) == 10_000 and newcomer.said(
        ListConfirmed
    )


def test_a_list_that_is_too_long_or_does_not_fit_its_digest_is_refused_by_name():
    served = full(500)
    assert "over 1000 bytes" in fetched(served, 1000).said(LogEvent)[-1].fields["why"]
    spoilt = fetched(
        served,
        spoil=lambda chunk: (
            chunk._replace(data=b"x" * len(chunk.data))
            if hasattr(chunk, "_replace")
            else SnapshotChunk(
                chunk.generation, chunk.number, chunk.chunk, chunk.count, snapshot_digest(b""), chunk.data
            )
        ),
    )
    assert (
        not spoilt.said(ApplyEvent) and "does not fit its digest" in spoilt.said(LogEvent)[-1].fields["why"]
    )


def test_a_small_view_does_not_make_a_front_think_that_it_is_nearly_alone():
    budget = CallBudget(DiscoverySettings(fronts=200), lambda: 0.0)
    budget.update_view(0, 3)
    assert (
        budget.count_sharing(0, 2) == 200
        and budget.count_sharing(3 * SECOND, 2) == 2
        and budget.count_sharing(3 * SECOND, 0) == 200
    )
    lonely = Fronting([], terms=TERMS._replace(fronts=200)).run(120 * SECOND)
    for _ in range(3):
        lonely.hear(StreamClosed("refused"))
        lonely.run(20 * SECOND)
    assert len(lonely.said(OpenStream)) <= 180 // 12  # one of 200, not one of one


def test_a_fleet_that_starts_without_the_list_service_spares_it_and_knows_all_after_every_fault():
    found = simulated(40, 2, seed=3, kinds=KINDS, saved=0.5)
    assert hold(found.rows), [row for row in found.rows if not row.holds]


@pytest.mark.parametrize("seed", range(3))
def test_the_same_on_ways_that_lose_three_datagrams_of_ten(seed):
    found = simulated(24, 2, seed=seed, kinds=KINDS[seed::3], loss=0.3)
    assert hold(found.rows), [row for row in found.rows if not row.holds]


def test_alone_the_same_fleet_breaks_the_bounds():
    broken = {row.what for row in simulated(60, 2, alone=True).rows if not row.holds}
    assert {"most calls at the list service in a second", "most streams of one zone"} <= broken


def test_calls_and_streams_do_not_grow_with_the_fleet():
    few, many = ({row.what: row.measured for row in simulated(fronts, 2).rows} for fronts in (50, 200))
    for what in ("most calls at the list service in a second", "most streams of one zone"):
        assert many[what] <= 1.3 * few[what]


def test_the_bounds_follow_from_the_settings():
    one = bounds(DiscoverySettings(fronts=10), 10)
    assert bounds(
        DiscoverySettings(fronts=10, silence=5 * SECOND), 10
    ).relays_lost > one.relays_lost and one.known_late == freshness_limit(DiscoverySettings())
    assert (
        bounds(DiscoverySettings(fronts=300), 300).alone > one.alone and one.calls <= DiscoverySettings().rate
    )


# Membership, on which it stands


def test_views_of_a_cold_fleet_are_one_after_the_time_in_which_news_spreads():
    world = World(
        100,
        4,
        (DutySettings("probe", DutyMode.AT_LEAST_ONCE, 5 * SECOND),),
        MembershipTimeouts(),
        LeaseSettings(),
        1,
    )
    world.open(False)
    world.run(spread(MembershipTimeouts(), 100))
    assert world.views_agree()  # after 2 s; 9.5 s where a page a period was pulled


def test_halves_that_suspected_each_other_declare_nobody_dead_who_lives():
    world = World(
        150,
        4,
        (DutySettings("probe", DutyMode.AT_LEAST_ONCE, 20 * SECOND),),
        MembershipTimeouts(),
        LeaseSettings(),
        1,
    )
    world.open(True)
    world.run(3 * SECOND)
    one = frozenset(range(75))
    world.network.cuts["split"] = one, frozenset(range(150)) - one
    world.network.cuts["back"] = frozenset(range(150)) - one, one
    world.run(9 * SECOND)
    world.network.cuts.clear()
    world.run(40 * SECOND)
    assert not world.false_deaths and world.views_agree()


# Settings and commands


PEERS = """[instance]
name = n1
store = n1.db
[peers]
listen = 127.0.0.1:7946
keys = peers.keys
[duty probe]
interval = 5s
"""


@pytest.mark.parametrize(
    "lines, says",
    [
        ("calls = 20", "fronts: missing"),
        ("fronts = 0", "at least 1"),
        ("fronts = 5\npatience = 600ms", "at least twice beat"),
        ("fronts = 5\nrelay = 2", "did you mean 'relays'"),
        ("fronts = 5\nrelays = 9", "at most 8"),
    ],
)
def test_settings_of_the_list_that_cannot_be_used_are_named(tmp_path, lines, says):
    file = tmp_path / "peers.ini"
    file.write_text(f"{PEERS}[listing]\n{lines}\n")
    with pytest.raises(SettingError, match=r"\[listing\]") as flaw:
        peers_file.read(file)
    assert says in str(flaw.value)


def test_without_its_section_each_front_follows_the_log_by_itself(tmp_path):
    file = tmp_path / "peers.ini"
    file.write_text(PEERS)
    assert peers_file.read(file).listing is None
    file.write_text(PEERS + "[listing]\nfronts = 200\n")
    assert peers_file.read(file).listing == DiscoverySettings(fronts=200)


def command(*words):
    return subprocess.run(
        [sys.executable, "-m", "limepath", *words], capture_output=True, text=True, timeout=400
    )


def test_the_bounds_are_shown_and_what_is_missing_is_named(tmp_path):
    file = tmp_path / "peers.ini"
    file.write_text(PEERS)
    done = command("listing", "bounds", str(file))
    assert done.returncode == 2 and "[listing]: missing" in done.stderr
    file.write_text(PEERS + "[listing]\nfronts = 200\n")
    done = command("listing", "bounds", str(file), "--zones", "2", "--json")
    assert (
        done.returncode == 0
        and json.loads(done.stdout)["rows"][0]["measured"]
        == bounds(DiscoverySettings(fronts=200), 200, 2).event / SECOND
    )


# Several real processes


def drill(*words):
    done = command("coldstart", "drill", "--json", "--down", "3s", *words)
    assert done.stdout, done.stderr
    told = json.loads(done.stdout)
    return done.returncode, {row["what"]: row for row in told["rows"]}


def test_real_fronts_start_cold_and_know_all_while_relays_die_stop_and_are_heard_late():
    kinds = "start-killed,relays-killed,relay-held,slow,restored,stores-cut"
    status, rows = drill("--fronts", "6", "--faults", kinds, "--seed", "2")
    known = {what: row for what, row in rows.items() if ": a drain and a purge" in what}
    assert len(known) == 5 and all(
        row["measured"] < row["bound"] + 25 for row in known.values()
    )  # all came to know, however slow
    assert (
        rows["faults of the ways that took no effect"]["holds"]
        and rows["most streams of one zone, those of stopped processes aside"]["holds"]
    )
    assert "200: " in rows["GETs answered, shed, errored or not taken"]["measured"]
    assert rows["GETs answered before any list was confirmed"]["measured"] == 0


def test_the_drill_says_so_when_the_service_is_not_spared():
    status, rows = drill("--fronts", "16", "--alone")
    assert status == 1 and not rows["most streams of one zone, those of stopped processes aside"]["holds"]
