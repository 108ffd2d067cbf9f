"""The listing logic of one front: whom it hears the list from, when it calls the service itself, what it
passes on.

The first `relays` of a zone, by hash over the live view, hold a stream of the service; all others send each
of them a Follow every beat, which is answered by a Beat (where its list stands, when the service last
confirmed that) and by what is missing; news is also pushed at once. Ages add up on the way, so it does not
matter who tells: a list is as old as the service's last word behind it. Whoever is silent, whose stream
stands still, or who contradicts is passed over, and the next by hash acts in its stead. Free of I/O.

One part a job: `held` the list, `upstream` whom to follow, `roles` whether to relay, `stream` the service's
stream, `heard` what others tell, `followers` those who follow, `snapshot` the whole list in pieces. With a
site, `tree` tells whom to follow in the stead of the star, `children` serves those below, `scopes` knows the
zone.
"""

from limepath.discovery.event_intake import EventIntake
from limepath.discovery.held_list import HeldList
from limepath.discovery.interface import (
    EventBatch,
    Events,
    Heartbeat,
    PageChunk,
    PageChunkRequest,
    PeerMessage,
    ScopeAnnouncement,
    ScopeQuery,
    ScopeReport,
    SendToMember,
    ServiceMoved,
    SnapshotChunk,
    SnapshotChunkRequest,
    StreamActive,
    StreamClosed,
    StreamEventReceived,
    StreamOpened,
    Subscribe,
)
from limepath.discovery.page_transfer import PageTransfer
from limepath.discovery.roles import RoleSelection
from limepath.discovery.scopes import ScopeDirectory
from limepath.discovery.service_stream import ServiceStream
from limepath.discovery.snapshot_transfer import SnapshotTransfer
from limepath.discovery.star_subscribers import StarSubscribers
from limepath.discovery.tree import TreeSubscriptions
from limepath.discovery.tree_subscribers import TreeSubscribers
from limepath.discovery.upstream import Upstream
from limepath.timer_queue import TimerQueue

COUNTERS = (
    "calls",
    "pushed",
    "fetched",
    "pages",
    "passed over",
    "contradictions",
    "nonsense",
    "refused",
    "turned away",
    "slow",
    "gaps",
    "sent again",
    "doubled",
)


class DiscoveryEngine:
    """`me` is this instance's token, `live()` the others that live; `saved` what the store held, or None."""

    def __init__(self, me, terms, seed, live, saved=None):
        self.me = me
        self.terms = terms
        self.live = live
        self.timers = TimerQueue(seed)
        self.counts = dict.fromkeys(COUNTERS, 0)
        self.scopes = ScopeDirectory(self)
        self.tree = TreeSubscriptions(self)
        self.held = HeldList(self)
        self.upstream = Upstream(self)
        self.roles = RoleSelection(self)
        self.stream = ServiceStream(self)
        self.heard = EventIntake(self)
        self.pages = PageTransfer(self)
        self.followers = StarSubscribers(self)
        self.children = TreeSubscribers(self)
        self.snapshot = SnapshotTransfer(self)
        self.desks = {
            StreamOpened: self.stream.up,
            StreamActive: self.stream.says,
            StreamEventReceived: self.stream.event,
            StreamClosed: self.stream.lost,
            ServiceMoved: self.stream.moved,
        }
        self.from_peers = {
            ScopeAnnouncement: self.where,
            Subscribe: self.followers.subscribed,
            Heartbeat: self.heard.beat,
            Events: self.heard.events,
            EventBatch: self.heard.batch,
            ScopeQuery: self.scopes.asked_page,
            ScopeReport: self.scopes.told_page,
            SnapshotChunkRequest: self.snapshot.asked,
            SnapshotChunk: self.snapshot.arrived,
            PageChunkRequest: self.pages.asked,
            PageChunk: self.pages.arrived,
        }
        if saved is not None:
            self.held.read(saved)

    def start(self, now):
        self.timers.now = now
        self.timers.schedule(
            now + int(self.timers.random_fraction() * min(self.terms.beat, 100_000)), self.roles.look
        )
        return self.timers.take_commands()

    def handle(self, now, notes=()):
        """Take notes in at `now`, do what is due, give the orders."""
        self.timers.run_due(now)
        for note in notes:
            if isinstance(note, PeerMessage):
                if desk := self.from_peers.get(type(note.message)):
                    desk(note.token, note.message)
            else:
                self.desks[type(note)](note)
        return self.timers.take_commands()

    def next(self):
        return self.timers.next_due()

    def where(self, token, message):
        self.scopes.learn(token, message.zone, message.site)
        if message.asks:
            self.timers.emit(SendToMember(token, ScopeAnnouncement(self.terms.zone, site=self.terms.site)))

    def shown(self):
        """What `limepath listing show` prints, as plain values."""
        now, held = self.timers.now, self.held
        return {
            "generation": held.list.place.generation,
            "number": held.list.place.number,
            "members": len(held.list.members),
            "digest": f"{held.list.digest:016x}",
            "confirmed_us_ago": held.age(),
            "late": held.late(),
            "role": self.roles.role.name.lower(),
            "stream": self.stream.state or "none",
            "zone": self.terms.zone,
            "site": self.terms.site,
            "followers": len(self.followers.known) + len(self.children.known),
            "children": len(self.children.readers()),
            "sends_events_to": len(self.followers.known) + len(self.children.readers()),
            "hops": self.tree.hops,
            "reaches": held.reaches(),
            "window_cut_short": held.window.cut_short(now),
            "follows": [
                {
                    "token": f"{token:016x}",
                    "number": source.beat.number if source.beat else None,
                    "heard_us_ago": now - source.at if source.beat else None,
                    "flaw": self.upstream.flaw_of(source),
                }
                for token, source in self.upstream.sources.items()
            ],
            "counts": dict(self.counts),
        }
