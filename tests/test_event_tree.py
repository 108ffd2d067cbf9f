"""Events to a fleet in trees: the logic by itself, in virtual time under faults, beside the older program."""

import json

import msgspec
import pytest

from limepath.configuration import peers_file
from limepath.configuration.ini import SettingError
from limepath.configuration.sharing_settings import DiscoverySettings
from limepath.discovery.bounds import freshness_limit, max_children, tree_bounds
from limepath.discovery.call_budget import CallBudget
from limepath.discovery.endpoint_list import EndpointList
from limepath.discovery.event_coding import encode_batches, encode_event
from limepath.discovery.interface import (
    ApplyEvent,
    EventBatch,
    Heartbeat,
    ListFreshnessChanged,
    PageChunkRequest,
    PeerMessage,
    Role,
    ScopeAnnouncement,
    ScopeQuery,
    ScopeReport,
    SendToMember,
    StreamActive,
    StreamEventReceived,
    StreamOpened,
    Subscribe,
    SubscriptionMode,
)
from limepath.discovery.replay_detection import EventTimes
from limepath.discovery.service_stream import StreamState
from limepath.discovery.simulate import member
from limepath.discovery.simulate_tree import Plan, run_tree
from limepath.discovery.topology import Scope, Zone
from limepath.interface.commands import ForwardRequest
from limepath.interface.events import AttemptOutcome, EndpointListFreshnessChanged
from limepath.report_table import hold
from tests.fake_host import FakeHost
from tests.test_listing import PEERS, Fronting, command, drill, event, held, of, whole

SECOND, MS = 1_000_000, 1000
TERMS = DiscoverySettings(zone="sur", fronts=30, site="a", fan_out=2)
SCOPE = Scope("sur", "a")


def broken(found):
    return [row for row in found.rows if not row.holds]


def small(**changes):
    return Plan(fronts=48, regions=2, zones=2, sites=8, span=5 * SECOND, caches=10)._replace(**changes)


def batch(first, last, age=0, generation=0, stamp=0):
    texts = [event(number) for number in range(first, last + 1)]
    data = encode_batches([encode_event(json.loads(text), text) for text in texts])
    assert len(data) == 1
    return EventBatch(generation, first, data[0], age, stamp)


class Member(Fronting):
    """A front below the roots of a zone of twelve fronts at one site, whose parent and backup are known."""

    def __init__(self, saved=None, terms=TERMS, fronts=12):
        tokens = range(1, fronts + 1)
        zone = Zone("sur", dict.fromkeys(tokens, SCOPE), terms.relays, terms.fan_out)
        below = [token for token in tokens if token not in zone.roots]
        me = max(below, key=lambda token: len(zone.position(token).candidates))
        super().__init__([token for token in tokens if token != me], saved, terms, me)
        self.position = zone.position(me)
        self.parent, self.backup = self.position.candidates[0], self.position.backups[0]
        self.run(200 * MS)
        self.hear(*(PeerMessage(token, ScopeAnnouncement("sur", False, "a")) for token in self.others))
        self.run(SECOND)

    def asked(self, token):
        """What this front last asked of another."""
        asked = [order.message for order in self.said(SendToMember) if order.token == token]
        return [message for message in asked if isinstance(message, Subscribe)]

    def told(self, token, message):
        return self.hear(PeerMessage(token, message))

    def keep_alive(self, span, *tokens, number=None, age=0):
        """Let these tell where they stand every beat."""
        for _ in range(span // self.logic.settings.beat):
            for token in tokens:
                place, digest = self.logic.replica.list.revision, self.logic.replica.list.digest
                at = place.number if number is None else number
                self.told(token, Heartbeat("sur", 0, at, digest, age, site="a", oldest_available=2))
            self.run(self.logic.settings.beat)


# Whom a front subscribes to


def test_a_front_asks_its_parent_for_events_and_its_backup_for_heartbeats():
    front = Member(held(3).pack())
    assert front.asked(front.parent)[-1].mode == SubscriptionMode.BATCHES
    assert front.asked(front.backup)[-1].mode == SubscriptionMode.HEARTBEATS
    others = set(front.others) - {front.parent, front.backup}
    front.out.clear()
    front.keep_alive(2 * SECOND, front.parent, front.backup)
    assert not [token for token in others if front.asked(token)]


def test_a_silent_parent_is_passed_over_and_taken_again_once_it_answers():
    front = Member(held(3).pack())
    grandparent = front.position.candidates[1]
    front.keep_alive(3 * SECOND, front.backup, grandparent)
    assert front.asked(grandparent)[-1].mode == SubscriptionMode.BATCHES
    assert front.asked(front.parent)[-1].mode == SubscriptionMode.HEARTBEATS
    front.keep_alive(SECOND, front.parent, front.backup, grandparent)
    assert front.asked(front.parent)[-1].mode == SubscriptionMode.BATCHES


def test_one_that_refuses_is_passed_over():
    front = Member(held(3).pack())
    front.told(front.parent, Heartbeat("sur", 0, 3, 0, 0, refused=True, site="a"))
    front.run(front.logic.settings.beat)
    assert front.asked(front.position.candidates[1])[-1].mode == SubscriptionMode.BATCHES
    assert front.asked(front.parent)[-1].mode == SubscriptionMode.HEARTBEATS


def test_no_more_children_are_taken_than_the_bound_whoever_asks():
    front = Member(held(3).pack(), fronts=40)
    front.told(front.parent, Heartbeat("sur", 0, 3, held(3).digest, 0, site="a", oldest_available=2))
    for token in front.others:
        front.told(token, Subscribe("sur", 0, 3, SubscriptionMode.BATCHES, "a", False, 5))
    beats = {
        order.token: order.message
        for order in front.said(SendToMember)
        if isinstance(order.message, Heartbeat)
    }
    refused = [token for token, beat in beats.items() if beat.refused]
    assert (
        len(beats) - len(refused)
        == max_children(TERMS)
        == len(front.logic.tree_subscribers.event_subscribers())
    )
    front.out.clear()
    front.told(front.parent, batch(4, 5))
    front.run(TERMS.gather)
    sent = {order.token for order in front.said(SendToMember) if isinstance(order.message, EventBatch)}
    assert len(sent) == max_children(TERMS) and not sent & set(refused)
    front.told(refused[0], Subscribe("sur", 0, 3, SubscriptionMode.HEARTBEATS, "a", False, 5))
    shown = front.logic.describe()  # who is sent heartbeats only is a follower, and no cost of events
    assert shown["sends_events_to"] == max_children(TERMS) == shown["followers"] - 1


@pytest.mark.parametrize(
    "nonsense",
    [
        EventBatch(0, 4, b"", 0),
        EventBatch(0, 4, b"\x10abc", 0),  # a kind of a later program
        EventBatch(0, 5, batch(4, 5).data, 0),
        EventBatch(0, 4, batch(4, 5).data[:-3], 0),
    ],
)
def test_a_parents_nonsense_is_named_nothing_of_it_taken_and_the_parent_passed_over(nonsense):
    front = Member(held(3).pack())
    front.told(front.parent, nonsense)
    front.run(front.logic.settings.beat)
    assert front.logic.replica.list.revision.number == 3 and front.logic.counts["nonsense"] == 1
    assert front.asked(front.position.candidates[1])[-1].mode == SubscriptionMode.BATCHES


def test_an_older_generation_is_not_taken():
    front = Member(held(3, generation=1).pack())
    front.told(front.parent, batch(4, 5, generation=0))
    assert front.logic.replica.list.revision == (1, 3)


def test_an_event_told_otherwise_than_it_is_held_has_its_teller_passed_over():
    front = Member(held(3).pack())
    front.told(front.parent, batch(4, 5))
    other = json.dumps({"seq": 5, "invalidate": {"bucket": 77, "time": 5}})
    front.told(front.parent, EventBatch(0, 5, encode_batches([encode_event(json.loads(other), other)])[0], 0))
    assert front.logic.upstream.fault_of(front.logic.upstream.sources[front.parent]) == "bad"
    assert front.logic.replica.list.revision.number == 5


# Events


def test_events_go_to_a_child_in_one_datagram_a_tick_and_again_if_it_did_not_get_them():
    front = Member(held(3).pack())
    child = front.others[0]
    front.told(front.parent, Heartbeat("sur", 0, 3, held(3).digest, 0, site="a", oldest_available=2))
    front.told(child, Subscribe("sur", 0, 3, SubscriptionMode.BATCHES, "a", False, 77))
    front.told(front.parent, batch(4, 6))
    front.told(front.parent, batch(7, 9))
    front.out.clear()
    front.run(TERMS.gather)
    (only,) = [order.message for order in front.said(SendToMember) if isinstance(order.message, EventBatch)]
    assert (only.first, only.stamp) == (4, 77) and only.data == batch(4, 9).data
    front.out.clear()
    front.run(2 * TERMS.gather)
    assert not [order for order in front.said(SendToMember) if isinstance(order.message, EventBatch)]
    front.told(child, Subscribe("sur", 0, 3, SubscriptionMode.BATCHES, "a", False, 78))  # it was lost
    front.run(TERMS.gather)
    (again,) = [order.message for order in front.said(SendToMember) if isinstance(order.message, EventBatch)]
    assert again.first == 4


def test_a_gap_is_asked_for_at_once_but_not_where_one_batch_overtook_another():
    front = Member(held(3).pack())
    front.told(front.parent, batch(6, 7))
    front.told(front.parent, batch(4, 5))
    assert front.logic.replica.list.revision.number == 7 and not front.logic.counts["gaps"]
    front.out.clear()
    front.told(front.parent, batch(9, 9))
    front.run(60 * MS)
    (ask,) = front.asked(front.parent)[-1:]
    assert ask.resend and ask.number == 7 and front.logic.counts["gaps"] == 1


def test_one_behind_does_not_have_a_front_send_more_than_a_set_number_in_a_tick():
    front = Member(held(3).pack(), terms=TERMS._replace(window_bytes=10**6))
    front.told(front.parent, Heartbeat("sur", 0, 3, held(3).digest, 0, site="a", oldest_available=2))
    for first in range(4, 4004, 50):
        front.told(front.parent, batch(first, first + 49))
    for token in front.others[:4]:
        front.told(token, Subscribe("sur", 0, 3, SubscriptionMode.BATCHES, "a", False, 5))
    for _ in range(6):
        front.out.clear()
        front.run(TERMS.gather)
        sent = [order for order in front.said(SendToMember) if isinstance(order.message, EventBatch)]
        assert len({order.token for order in sent}) == 4 and len(sent) <= 4 + 4


def test_the_backup_is_asked_for_what_the_parent_does_not_bring():
    front = Member(held(3).pack())
    limit = (front.logic.tree.hops * (TERMS.gather + 100 * MS)) + 2 * TERMS.beat
    for _ in range(limit // TERMS.beat + 1):
        front.told(
            front.parent, Heartbeat("sur", 0, 3, held(3).digest, 50 * MS, site="a", oldest_available=2)
        )
        front.told(front.backup, Heartbeat("sur", 0, 9, 1, 50 * MS, site="a", oldest_available=2))
        front.run(TERMS.beat)
    assert SubscriptionMode.BATCHES in [ask.mode for ask in front.asked(front.backup)]


def test_a_whole_list_is_asked_for_where_the_window_of_the_others_does_not_reach():
    front = Member(held(3).pack())
    front.told(front.parent, Heartbeat("sur", 0, 9000, 1, 50 * MS, site="a", oldest_available=4))
    assert not front.logic.page_transfer.download
    front.told(front.parent, Heartbeat("sur", 0, 9000, 1, 50 * MS, site="a", oldest_available=5))
    assert front.logic.page_transfer.download


# Beyond the window


def large(count, purged):
    """A packed list of so many members and purges."""
    one = EndpointList()
    one.apply(json.loads(whole(1, count)))
    for number in range(2, purged + 2):
        one.apply(json.loads(event(number)))
    return one


def pages_brought(mine, theirs, spoil=lambda chunk: chunk):
    """A front with the list `mine` is told by its parent of `theirs`; give both and the chunks that came."""
    front = Member(mine.pack())
    serving = Fronting([front.logic.me], theirs.pack(), TERMS, front.parent)
    serving.logic.replica.confirm(0)
    front.told(
        front.parent,
        Heartbeat(
            "sur", *theirs.revision, theirs.digest, 0, site="a", oldest_available=theirs.revision.number
        ),
    )
    brought, done = [], 0
    for _ in range(400):
        front.run(50 * MS)
        serving.run(50 * MS)
        asks = [
            o.message
            for o in front.out[done:]
            if isinstance(o, SendToMember) and isinstance(o.message, PageChunkRequest)
        ]
        done = len(front.out)
        for ask in asks:
            answers = of(serving.hear(PeerMessage(front.logic.me, ask)), SendToMember)
            brought += [order.message for order in answers]
        for chunk in brought[len(brought) - len(asks) :] if asks else ():
            front.told(front.parent, spoil(chunk))
        if not front.logic.page_transfer.download:
            break
    return front, brought


def test_beyond_the_window_only_the_pages_that_differ_are_told():
    mine, theirs = large(1400, 40), large(1400, 40)
    for number in range(42, 1042):
        theirs.apply(json.loads(event(number)))
    theirs.apply(json.loads(event(1042, fleet={"members": [member("s-7", "terminating")]})))
    front, brought = pages_brought(mine, theirs)
    assert (
        front.logic.replica.list.revision == theirs.revision
        and front.logic.replica.list.digest == theirs.digest
    )
    assert len(front.logic.replica.list.purges) == len(theirs.purges)
    told = {chunk.page for chunk in brought}
    assert len([page for page in told if 0 <= page < 44]) == 1  # of 44 pages of members
    assert sum(len(chunk.data) for chunk in brought) < 1000 * 20 + 20_000  # purges, and what is beside


def test_a_page_that_does_not_fit_its_digest_is_refused_and_its_teller_passed_over():
    def spoil(chunk):
        return chunk if chunk.page < 0 else msgspec.structs.replace(chunk, data=chunk.data[:-1] + b"x")

    front, _ = pages_brought(large(10, 5), large(90, 300), spoil)
    assert front.logic.replica.list.revision.number == 6 and front.logic.counts["nonsense"] >= 1
    assert front.logic.upstream.fault_of(front.logic.upstream.sources[front.parent]) == "bad"


def test_those_that_ask_for_a_list_are_served_alike_whoever_asks_first():
    children = Member(held(3).pack()).logic.tree_subscribers
    served = dict.fromkeys(range(8), 0)
    for _ in range(10):
        children.timers.now += TERMS.gather
        for token in served:
            served[token] += sum(children.may_send_chunk(token) for _ in range(4))
    assert min(served.values()) >= 9 and sum(served.values()) <= 10 * 8


def test_fronts_that_learn_at_once_that_they_are_few_do_not_call_at_once():
    terms = DiscoverySettings(fronts=1000, site="a")
    budgets = [CallBudget(terms, lambda share=share: share / 40) for share in range(40)]
    called, times = [], []
    for now in range(0, 12 * SECOND, 100 * MS):
        for budget in budgets:
            budget.update_view(now, 1000)
            few = 40 if now >= 5 * SECOND else 0
            if budget not in called and budget.may_call(now, few):
                called.append(budget)
                times.append(now)
    assert len([now for now in times if 5 * SECOND <= now < 6 * SECOND]) <= 10
    assert len(called) == 40


def test_one_of_the_older_program_is_asked_for_pieces():
    front = Member(held(3).pack())
    front.told(front.parent, Heartbeat("sur", 0, 9000, 1, 50 * MS))
    assert front.logic.snapshot_transfer.download and not front.logic.page_transfer.download


# Lateness


def test_what_lay_in_the_network_does_not_make_a_list_younger():
    front = Member(held(3).pack())
    stamp = front.asked(front.parent)[-1].stamp
    asked_at = front.now
    front.run(3 * SECOND)
    front.told(front.parent, Heartbeat("sur", 0, 3, held(3).digest, 0, site="a", stamp=stamp))
    assert front.logic.replica.age() >= 3 * SECOND and stamp <= asked_at


def test_a_front_is_told_when_its_list_is_late_and_when_it_is_not_any_more():
    front = Member(held(3).pack())
    front.told(front.parent, Heartbeat("sur", 0, 3, held(3).digest, 0, site="a", stamp=front.now))
    bound = freshness_limit(TERMS, front.logic.tree.hops)
    front.run(bound)
    assert not front.said(ListFreshnessChanged)
    front.run(1)
    assert front.said(ListFreshnessChanged) == [ListFreshnessChanged(True)]
    front.told(front.parent, Heartbeat("sur", 0, 3, held(3).digest, 0, site="a", stamp=front.now))
    assert front.said(ListFreshnessChanged) == [ListFreshnessChanged(True), ListFreshnessChanged(False)]


def test_a_front_whose_list_is_late_gives_nothing_to_a_cache():
    host = FakeHost()
    (look,) = host.get(5)
    assert look.endpoint != 21
    host.end(look, AttemptOutcome.SUCCEEDED, closed=True)
    host.hear(EndpointListFreshnessChanged(True))
    asked = [order for obj in range(50) for order in host.get(obj) if isinstance(order, ForwardRequest)]
    assert {order.endpoint for order in asked} <= {21} and {order.source for order in asked} <= {21}
    host.hear(EndpointListFreshnessChanged(False))
    assert host.get(99)[0].endpoint != 21


def test_a_fill_that_is_due_while_the_list_is_late_is_not_sent():
    host = FakeHost()
    (look,) = host.get(5)
    host.hear(EndpointListFreshnessChanged(True))
    later = host.end(look, AttemptOutcome.MISS)
    assert not [order for order in later if isinstance(order, ForwardRequest) and order.endpoint != 21]


# A stream on which events never cease


def test_a_stream_has_told_all_though_events_never_cease():
    front = Fronting(terms=TERMS._replace(site="", fronts=1))
    front.streams(whole())
    front.logic.stream.caught_up = False
    number, base = 1, 50_000
    for step in range(80):
        number += 1
        told = {"seq": number, "invalidate": {"bucket": 1, "time": base + step * 28}}
        front.hear(StreamEventReceived(json.dumps(told)))
        front.run(28 * MS)
    assert front.logic.stream.caught_up


def test_a_service_that_went_back_and_told_other_purges_is_not_taken_for_one_that_went_on():
    front = Member(held(3).pack())
    front.told(front.parent, batch(4, 6))
    front.logic.roles.contradiction_seen = True
    while front.logic.stream.state == StreamState.CLOSED:
        front.run(100 * MS)
    other = [
        json.dumps({"seq": number, "invalidate": {"bucket": 70 + number, "time": 5}}) for number in (5, 6, 7)
    ]
    texts = [whole(), *map(event, range(2, 5)), *other]
    front.hear(StreamOpened(), *(StreamEventReceived(text) for text in texts))
    front.run(500 * MS)
    front.hear(StreamActive())
    purged = [
        order.event["invalidate"]["bucket"] for order in front.said(ApplyEvent) if "invalidate" in order.event
    ]
    assert {75, 76, 77} <= set(purged)


def test_a_replay_is_told_from_events_as_they_happen_by_their_own_times():
    live, fast, slow = EventTimes(), EventTimes(), EventTimes()
    for step in range(60):
        for times, rate in ((live, 1), (fast, 20), (slow, 0.2)):
            told = {"invalidate": {"time": int(step * 30 * rate)}}
            times.add(step * 30 * MS, told)
    now = 59 * 30 * MS
    assert live.is_live(now, SECOND) and not fast.is_live(now, SECOND) and not slow.is_live(now, SECOND)


def test_a_stream_opened_anew_that_leads_through_our_list_adds_its_last_events_only():
    front = Member(held(3).pack())
    front.logic.roles.contradiction_seen = True
    while front.logic.stream.state == StreamState.CLOSED:
        front.run(100 * MS)
    front.hear(StreamOpened(), *(StreamEventReceived(text) for text in [whole(), *map(event, range(2, 7))]))
    front.run(500 * MS)
    front.hear(StreamActive())
    assert front.logic.replica.list.revision == (0, 6) and front.logic.replica.window.oldest == 4
    assert [order.event["seq"] for order in front.said(ApplyEvent)][-3:] == [4, 5, 6]


def test_what_is_shown_tells_that_the_bound_in_bytes_cut_the_window_short():
    front = Member(held(3).pack(), terms=TERMS._replace(window_bytes=200))
    front.told(front.parent, batch(4, 20))
    assert not front.logic.describe()["window_cut_short"] and front.logic.describe()["reaches"] == 4
    front.told(front.parent, batch(21, 90))
    shown = front.logic.describe()
    assert shown["window_cut_short"] and shown["reaches"] > 4 and shown["site"] == "a"


# Scopes


def test_a_newcomer_is_asked_by_a_few_of_a_large_fleet():
    asked = 0
    for index in range(60):
        front = Fronting(range(1000, 1600), terms=TERMS, me=index + 1)
        front.hear(
            *(PeerMessage(token, ScopeAnnouncement("norte", False, "b")) for token in range(1001, 1600))
        )
        front.run(3 * SECOND)
        front.out.clear()
        front.run(TERMS.beat)
        asked += sum(isinstance(order.message, ScopeAnnouncement) for order in front.said(SendToMember))
    assert asked <= 8  # of 60 fronts in one beat; all of them before


def test_a_front_that_knows_nobody_of_its_zone_yet_does_not_count_as_one_of_few_relays():
    front = Fronting(range(1000, 1300), terms=TERMS, me=1)
    front.hear(
        *(PeerMessage(token, ScopeAnnouncement(f"z{token % 20}", False, "b")) for token in range(1000, 1040))
    )
    front.run(5 * SECOND)
    assert front.logic.roles.role == Role.RELAYS and not front.logic.scopes.is_settled()
    front.hear(PeerMessage(1299, ScopeAnnouncement("sur", False, "a")))
    front.hear(
        *(PeerMessage(token, ScopeAnnouncement(f"z{token % 20}", False, "b")) for token in range(1040, 1140))
    )
    front.hear(PeerMessage(1299, ScopeReport("sur")))  # it knows the same
    front.run(3 * SECOND)
    assert front.logic.scopes.is_settled()


def test_the_fronts_of_a_zone_are_learnt_by_pages_from_one_that_knows_them():
    tokens = list(range(10**18, 10**18 + 300))
    knowing = Fronting(tokens, terms=TERMS, me=7)
    knowing.hear(*(PeerMessage(token, ScopeAnnouncement("sur", False, f"s{token % 5}")) for token in tokens))
    learning = Fronting([7, *tokens], terms=TERMS, me=8)
    learning.hear(PeerMessage(7, ScopeAnnouncement("sur", False, "a")))
    learning.logic.scopes.send_query(7)
    asks = [order.message for order in learning.logic.timers.take_commands()]
    for _ in range(10):
        if not asks:
            break
        (page,) = [order.message for order in of(knowing.hear(PeerMessage(8, asks.pop())), SendToMember)]
        assert isinstance(page, ScopeReport) and len(page.fronts) <= 100
        asks = [order.message for order in of(learning.hear(PeerMessage(7, page)), SendToMember)]
        asks = [message for message in asks if isinstance(message, ScopeQuery)]
    assert set(tokens) <= set(learning.logic.scopes.zone_members)


# In virtual time


def test_events_reach_all_within_the_bound_and_the_busiest_front_sends_little():
    found = run_tree(small(), 1)
    assert not broken(found), broken(found)


@pytest.mark.parametrize(
    "kind", ["inner-killed", "inner-stopped", "inner-slow", "root-killed", "site-killed"]
)
def test_a_fault_at_an_inner_front_delays_events_by_the_bound_at_most(kind):
    found = run_tree(small(faults=(kind,)), 2)
    assert not broken(found), broken(found)


def test_the_same_where_datagrams_are_lost():
    found = run_tree(small(loss=0.05, faults=("inner-killed",)), 3)
    assert not broken(found), broken(found)


def test_after_a_cut_of_three_minutes_the_window_brings_all_and_no_whole_list_is_fetched():
    found = run_tree(small(fronts=32, faults=("region-cut",)), 4)
    assert not broken(found), broken(found)


def test_beyond_the_window_the_list_is_whole_again_all_the_same():
    found = run_tree(small(fronts=32, faults=("region-cut",), cut=60 * SECOND, broken="window"), 4)
    assert "region-cut: whole lists fetched there" in {row.what for row in broken(found)}
    newest = len(found.world.service.events)
    assert min(front.front for front in found.world.running()) > newest - 40


def test_a_fan_out_without_bound_breaks_the_bounds():
    found = run_tree(small(sites=2, broken="fan-out"), 1)
    assert "most children of any front, ever" in {row.what for row in broken(found)}


def hide(world):
    """Each front takes a fifth of the others for dead."""
    for front in world.fronts:
        hidden = world.chance.sample(world.fronts, len(world.fronts) // 5)
        world.hidden[front.index] = {other.token for other in hidden}


def test_no_front_has_more_children_than_the_bound_where_views_differ():
    found = run_tree(small(), 5, prepare=hide)
    assert (
        max(front.readers_seen for front in found.world.fronts)
        <= tree_bounds(DiscoverySettings(), 48, 2, 8).children
    )
    behind = [front for front in found.world.running() if front.front < len(found.world.service.events) - 200]
    assert not behind


def older(which):
    def prepare(world):
        for zone in {front.zone for front in world.fronts}:
            those = [front for front in world.fronts if front.zone == zone]
            scopes = {front.token: Scope(zone, front.site) for front in those}
            roots = Zone(zone, scopes, world.terms.relays, world.terms.fan_out).roots
            for front in those:
                front.older = which(front, front.token in roots)

    return prepare


@pytest.mark.parametrize(
    "which",
    [lambda front, root: root, lambda front, root: not root, lambda front, root: front.index % 2 == 0],
    ids=["older-roots", "newer-roots", "half"],
)
def test_old_and_new_programs_stand_side_by_side(which):
    found = run_tree(small(fronts=24), 6, prepare=older(which))
    rows = {row.what: row for row in found.rows}
    assert rows["the same, all, s"].holds and rows["events that a front never had"].measured == 0
    assert not any(front.logic.counts["contradictions"] for front in found.world.running())


def test_the_same_seed_gives_the_same_run():
    one, two = (run_tree(small(fronts=24, loss=0.02), 7).rows for _ in range(2))
    assert one == two


def test_the_bounds_follow_from_the_settings_and_the_fleet():
    one = tree_bounds(DiscoverySettings(), 100, 4, 16)
    assert tree_bounds(DiscoverySettings(), 5200, 20, 240).event > one.event
    assert tree_bounds(DiscoverySettings(gather=SECOND), 100, 4, 16).event > one.event
    assert tree_bounds(DiscoverySettings(), 5200, 20, 240).children == one.children == 8
    assert tree_bounds(DiscoverySettings(fan_out=8), 100, 4, 16).max_bytes > one.max_bytes


# Settings


@pytest.mark.parametrize(
    "lines, says",
    [
        ("site = a b", "a name of up to 32"),
        ("fan-out = 1", "at least 2"),
        ("site = a\ngather = 2s", "gather: at most beat"),
        ("window = 1s", "at least"),
        ("window-bytes = 5", "at least"),
    ],
)
def test_settings_of_the_tree_that_cannot_be_used_are_named(tmp_path, lines, says):
    file = tmp_path / "peers.ini"
    file.write_text(f"{PEERS}[listing]\nfronts = 5\n{lines}\n")
    with pytest.raises(SettingError, match=r"\[listing\]") as error:
        peers_file.read(file)
    assert says in str(error.value)


def test_the_settings_of_the_tree_reach_the_logic(tmp_path):
    file = tmp_path / "peers.ini"
    file.write_text(f"{PEERS}[listing]\nfronts = 5\nsite = a\nregion = r\nfan-out = 3\nwindow = 2m\n")
    terms = peers_file.read(file).listing
    assert (terms.site, terms.region, terms.fan_out, terms.window) == ("a", "r", 3, 120 * SECOND)


def test_the_runs_hold_what_they_state():
    assert hold([row for row in run_tree(small(fronts=16), 8).rows if row.bound is not None])


def test_a_purge_is_kept_until_its_copies_are_gone_everywhere_at_a_front_that_was_behind_by_a_whole_window():
    terms = TERMS._replace(window=20 * SECOND, gone=7 * SECOND)
    front = Member(held(3).pack(), terms=terms)
    count = 0
    for first in range(4, 5004, 50):  # more than any count that was kept before
        front.told(front.parent, batch(first, first + 49))
        front.run(10 * MS)
        count += 50
    kept = front.logic.replica.list.purges
    assert len(kept) == 5000 + 2
    front.run(terms.window + terms.gone - 3 * SECOND)
    again = Member(front.logic.replica.list.pack(front.now), terms=terms)
    assert len(again.logic.replica.list.purges) == 5002  # a front that reads the whole list now has them too
    again.told(again.parent, batch(5004, 5004))
    again.run(3 * SECOND)
    again.told(again.parent, batch(5005, 5005))
    assert len(again.logic.replica.list.purges) == 2  # their ages came along, and no copy is left


def test_a_list_saved_by_the_older_program_is_read():
    import zlib

    told = json.loads(zlib.decompress(held(9).pack()[4:]))
    del told["ages"]
    older = b"LPL1" + zlib.compress(json.dumps(told).encode())
    assert len(Fronting([2], older).logic.replica.list.purges) == 8


# Several real processes


def test_real_fronts_in_trees_know_all_while_a_front_with_children_dies_stops_and_is_heard_late():
    kinds = "inner-killed,inner-stopped,inner-held"
    status, rows = drill("--fronts", "10", "--sites", "4", "--faults", kinds, "--seed", "2")
    known = {what: row for what, row in rows.items() if ": a drain and a purge" in what}
    assert len(known) == 3 and all(row["measured"] < row["bound"] + 25 for row in known.values()), known
    assert rows["faults of the ways that took no effect"]["holds"]
    assert rows["most streams of one zone, those of stopped processes aside"]["holds"]
    assert rows["GETs answered before any list was confirmed"]["measured"] == 0


def test_a_run_says_so_when_its_bound_is_broken_and_refuses_a_fault_that_it_does_not_know():
    words = ("coldstart", "tree", "--fronts", "40", "--sites", "2", "--zones", "2", "--faults", "none")
    done = command(*words, "--span", "2s", "--broken", "fan-out")
    assert done.returncode == 1 and "BROKEN" in done.stdout
    done = command("coldstart", "tree", "--faults", "earthquake")
    assert done.returncode == 2 and "earthquake" in done.stderr and not done.stdout


def test_the_bounds_of_the_tree_are_shown_with_a_site(tmp_path):
    file = tmp_path / "peers.ini"
    file.write_text(PEERS + "[listing]\nfronts = 5200\nsite = a\n")
    done = command("listing", "bounds", str(file), "--zones", "20", "--sites", "240", "--json")
    rows = {row["what"]: row["measured"] for row in json.loads(done.stdout)["rows"]}
    assert rows["fronts that one sends events to, at the most"] == 8
