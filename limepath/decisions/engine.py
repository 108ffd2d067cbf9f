"""The decisions of one front, wired together: events in, commands out."""

from collections import deque

from limepath.decisions.event_queue import Loop
from limepath.decisions.frequency_table import Shelf
from limepath.decisions.guard import Gate
from limepath.decisions.router import Door
from limepath.decisions.server import Cache
from limepath.interface.commands import ScheduleWakeup, SetSubscription
from limepath.interface.events import (
    AttemptEnded,
    ClientDisconnected,
    ConnectionAvailabilityChanged,
    EndpointListFreshnessChanged,
    EndpointListUpdated,
    EndpointState,
    ProbeEnded,
    PurgeAnnounced,
    RequestArrived,
    RequestCountsReceived,
    RequestCountsWanted,
    ResponseStarted,
    ShutdownStarted,
    TimerFired,
    UpdateKind,
)

LANES = 5.0  # transfers at full pace that a member of untold size is taken for
TICK = 50_000  # between two looks at the members with something out or in doubt


class DecisionEngine:
    """One instance: the parts above, wired together, and the list of members as this front holds it."""

    def __init__(self, *, seed, services, footprint, allowance, cache_warmup, parent_warmup, grace):
        self.loop, self.footprint, self.allowance = Loop(seed), footprint, allowance
        self.warmups = {False: cache_warmup, True: parent_warmup}
        self.door = Door(self.loop, services, allowance, footprint)
        self.gate = self.door.gate = Gate(self.loop, self.door, allowance, self.warmups, grace)
        self.shelf = self.door.shelf = Shelf(self.loop, self.door)
        self.caches, self.next_tick, self.armed, self.inbox = {}, 0, None, deque()
        self.desks = {
            RequestArrived: (self.door, "arrived"),
            AttemptEnded: (self.door, "ended"),
            ClientDisconnected: (self.door, "left"),
            ResponseStarted: (self.door, "left"),
            ShutdownStarted: (self.door, "shutting_down"),
            PurgeAnnounced: (self.gate, "purged"),
            EndpointListUpdated: (self, "roster"),
            ProbeEnded: (self, "probed"),
            ConnectionAvailabilityChanged: (self, "room"),
            EndpointListFreshnessChanged: (self.gate, "lateness"),
            RequestCountsReceived: (self.shelf, "learnt"),
            RequestCountsWanted: (self.shelf, "tell"),
        }

    def handle(self, now, notes):
        """Take in what the host heard at `now`; give the orders that follow."""
        self.loop.now, self.loop.orders = now, []
        for note in notes:
            if isinstance(note, TimerFired):
                self.armed = None
            elif type(note) in self.desks:
                self.loop.put(*self.desks[type(note)], note)
                self.loop.run()
        if now >= self.next_tick:
            self.next_tick = now + TICK
            for cache in self.caches.values():
                if cache.out or cache.missed or cache.suspect:
                    self.loop.put(cache, "tick")
        self.loop.run()
        due = min(self.next_tick, self.loop.calendar[0][0]) if self.loop.calendar else self.next_tick
        if self.armed is None or due < self.armed:
            self.armed = due
            self.loop.orders.append(ScheduleWakeup(0, max(1, due - now)))
        return self.loop.orders

    def roster(self, note):
        if self.allowance.subscribe and note.kind in (UpdateKind.CACHED, UpdateKind.UNAVAILABLE):
            self.loop.orders.append(SetSubscription(True))
        if note.kind == UpdateKind.UNAVAILABLE:
            return
        place = self.footprint  # caches elsewhere are none of this front's business
        upper = (place.parent_kind, place.origin_kind)
        gone = (
            {}
            if note.kind == UpdateKind.DELTA
            else {
                ident: cache.member._replace(state=EndpointState.REMOVED)
                for ident, cache in self.caches.items()
            }
        )
        members = gone | {
            m.id: m
            for m in note.endpoints
            if m.id in self.caches
            or m.state != EndpointState.REMOVED
            and (m.zone == place.zone or m.kind in upper)
        }
        known = {i: cache.member for i, cache in self.caches.items()} | members
        parents = sum(member.kind == place.parent_kind for member in known.values())
        for member in members.values():
            self.enlist(member, parents)
        for ident in [
            i for i, c in self.caches.items() if c.member.state == EndpointState.REMOVED and not c.out
        ]:
            del self.caches[ident], self.gate.members[ident]
            self.gate.starts.pop(ident, None)
        ready = [c for c in self.caches.values() if c.member.state == EndpointState.READY]
        self.loop.put(
            self.door,
            "members",
            [c for c in ready if c.member.zone == place.zone and c.member.kind not in upper],
            [c for c in ready if c.member.kind == place.parent_kind],
            next((c for c in ready if c.member.kind == place.origin_kind), None),
        )

    def enlist(self, member, parents):
        place = self.footprint
        upper = member.kind in (place.parent_kind, place.origin_kind)
        warming = 0 if member.kind == place.origin_kind else self.warmups[upper].duration
        member = member if warming else member._replace(started_at=0)  # the origin is never cold
        sharing = place.fronts if upper else place.fronts_in_zone
        carried = sum(place.link_kb_s) / (parents or 1) if upper and place.transfer_kb_s else 0
        lanes = member.weight if place.weighted else carried / place.transfer_kb_s if carried else LANES
        if member.id not in self.caches:
            self.caches[member.id] = Cache(
                self.loop, self.door, self.gate, member.id, self.allowance.probing, upper, warming
            )
        cache = self.caches[member.id]
        self.loop.put(cache, "listed", member, sharing, lanes, place.weighted)
        self.loop.put(self.gate, "listed", member, sharing, lanes, upper)
        self.loop.run()

    def probed(self, note):
        if note.endpoint in self.caches:
            self.loop.put(self.caches[note.endpoint], "probed", note)

    def room(self, note):
        if note.endpoint in self.caches:
            self.caches[note.endpoint].way = note.available
