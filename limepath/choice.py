"""All decisions of a limepath front: Greedy-Dual-Size-Frequency (docs/design.md) and the guards around it.

A host makes one `Front` per instance; `handle(now, notes)` gives the orders to carry out
(see limepath.interface).
Times are whole microseconds. Inside, actors with inboxes, which `Loop` empties in the order of the notes put.
A GET goes Door -> Shelf (rank) -> Door -> Cache (has it room?) -> Gate (the five rules) -> order.
"""

from collections import OrderedDict, deque
from math import log, sqrt
from zlib import crc32

from sortedcontainers import SortedList

from limepath.hashing import MASK_64, mix64
from limepath.interface.commands import (
    CancelAttempt,
    FailRequest,
    ForwardRequest,
    RejectRequest,
    ReportRequestCounts,
    ScheduleWakeup,
    SendProbe,
    SetSubscription,
)
from limepath.interface.events import (
    NEVER_EXECUTED,
    AttemptEnded,
    AttemptOutcome,
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
from limepath.interface.settings import Idempotency, KeyScope

TABLE = 1024  # entries of the table (the design starts at 4096): 512 to 4096 score alike, fewer lose hits
THIRDS = (1 / 3, 2 / 3)  # of the table by key, above which copies ask for ranks 2 and 3
TOPS = (0.85, 0.95)  # the same where sizes are untold: what a count alone keeps outlives its demand
ROOM, LEAST_ROOM = 2.1, 2  # transfers a member may hold per lane, of one front at least, at parents one more
EASED, LEAST_EASE = 0.7, 0.02  # share of its room that a strained member keeps each time, and at the least
FILLS = 2.2  # fills out, in this front's share of the link: less sheds, more is late; 2 to 2.5 are alike
LIGHT, HEAVY = 1.5, 0.7  # times that for GETs under half their latency objective in size, and over it
GROW, USUAL = 5, 40  # a window gains GROW / window by a fetch in time, in proportion to a room over USUAL
YIELD, LOST = 0.85, 0.1  # of it kept after a late fetch, or one lost among timely ones, and after others lost
FIRST = 1  # window of a front that starts: all shares of many that start at once would sate the origin
LEAST_FETCHES, DOUBLING = 4, 3_000_000  # least window of all fronts; time in which one below 1 doubles
LANES = 5.0  # transfers at full pace that a member of untold size is taken for
QUIET, PACE = 200_000, 1_000_000  # least silence with an answer owed before a probe, and between probes
SILENCE = 2  # times that in which something out should be heard of, until silence is one
UNPROBED = 4  # times that again where no probe can tell a slow answer from none
DOUBT_AFTER, STRIKES = 2, 3  # probes unanswered in a row before a recall, connections broken before doubt
SATED, LONG_GONE = 0.95, 2_000_000  # load above which room shrinks; silence after which one is back empty
MARGIN, SPREAD = 0.8, 5  # share of the cold budget spent; deviations kept to what topples a member
DEARER = 0.75  # share of a cold budget and of its variance that a dearer class may take before cheaper ones
TICK, COME_BACK = 50_000, 0.1  # of the longest wait, give or take half: a repeat is in time; 0.75 far worse
BROKEN = (AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED)
STUCK = (AttemptOutcome.SUCCEEDED, AttemptOutcome.TIMED_OUT, AttemptOutcome.FAILED, AttemptOutcome.FULL)


def hash_order(name, members):
    """Weighted rendezvous: the members by falling score for `name`, the same at every front."""
    key = mix64(name[0] * 64 + name[1] + 1)
    return sorted(members, key=lambda m: (m.share / log((mix64(key ^ m.salt) + 1.5) / (MASK_64 + 2.0)), m.id))


class Loop:
    """One queue of who has mail, one ordered structure of due times, and the orders of this call."""

    def __init__(self, seed):
        self.seed, self.drawn, self.serial, self.now = seed, 0, 0, 0
        self.ready, self.orders, self.calendar = deque(), [], SortedList()

    def put(self, actor, note, *said):
        actor.inbox.append((note, said))
        self.ready.append(actor)

    def put_at(self, due, actor, note, *said):
        self.serial += 1
        self.calendar.add((due, self.serial, actor, note, said))

    def run(self):
        while self.calendar and self.calendar[0][0] <= self.now:
            _, _, actor, note, said = self.calendar.pop(0)
            self.put(actor, note, *said)
        while self.ready:
            actor = self.ready.popleft()
            note, said = actor.inbox.popleft()
            getattr(actor, note)(*said)

    def chance(self):
        self.drawn += 1
        return crc32(b"%d:%d" % (self.seed, self.drawn)) / 2**32


class Actor:
    def __init__(self, loop):
        self.loop, self.inbox = loop, deque()


class OpenGet:
    """One GET that is owed a final answer."""

    def __init__(self, get, ds, due, own):
        self.id, self.dsi, self.ds, self.due, self.own = get.id, get.service, ds, due, own
        self.name, self.group, self.size_kb = (get.object, get.part), get.group, get.size_kb
        self.rank, self.sent, self.out, self.at, self.passed = 0, 0, None, None, set()
        self.closed = self.filling = self.direct = self.stale = self.held = False
        self.ran_at = self.ran_by = self.ran_in = None  # first forward that may have run: when, which, where
        known = get.has_key or ds.idempotency != Idempotency.KEYED  # without a token nobody can tell a repeat
        self.repeats = ds.idempotency if known else Idempotency.NON_IDEMPOTENT
        large = get.size_kb and own > ds.latency_objective
        self.claim = LIGHT if own < ds.latency_objective / 2 else HEAVY if large else 1


class Shelf(Actor):
    """The table of the design: count Fr and key Pr = Clock + Fr x Cost / Size for each object."""

    def __init__(self, loop, door):
        super().__init__(loop)
        self.door, self.clock, self.seen = door, 0.0, 0
        self.entries, self.keys, self.side = {}, SortedList(), OrderedDict()

    def count(self, get):
        self.loop.put(self.door, "ranked", get, 0 if get.ds.uncacheable else self.rank(get.name, get.size_kb))

    def rank(self, name, size_kb):
        self.seen += 1
        size = size_kb * 1024
        gain = (2 + size / 536) / size if size else 1.0
        fr, key = self.entries.get(name, (0, None))
        if key is not None:
            self.keys.remove((key, name))
        else:
            waiting, since = self.side.pop(name, (0, 0))
            fr = waiting * 0.5 ** ((self.seen - since) / TABLE)
        fr, key = fr + 1, self.clock + (fr + 1) * gain
        if len(self.keys) >= TABLE:
            if size and key <= self.keys[0][0]:  # it would itself go: it stays out, its count waits
                self.side[name] = (fr, self.seen)
                if len(self.side) > TABLE:
                    self.side.popitem(last=False)
                return 0
            self.clock, gone = self.keys.pop(0)
            del self.entries[gone]
        self.entries[name] = (fr, key)
        self.keys.add((key, name))
        below = self.keys.bisect_left((key,)) / len(self.keys)
        return 1 + sum(below >= cut for cut in (THIRDS if size else TOPS))

    def learnt(self, note):
        """Another front's counts wait beside the table, as those do that went out of it."""
        for *name, fr in note.counts[:TABLE]:
            if (name := tuple(name)) not in self.entries and name not in self.side:
                self.side[name] = (fr, self.seen)
        while len(self.side) > TABLE:
            self.side.popitem(last=False)

    def tell(self, note):
        top = (name for _, name in self.keys.islice(max(0, len(self.keys) - note.limit), reverse=True))
        self.loop.orders.append(
            ReportRequestCounts(note.cookie, tuple((*name, self.entries[name][0]) for name in top))
        )


class Cache(Actor):
    """One cache, parent or the origin: what it holds of ours, and whether it is to be trusted."""

    def __init__(self, loop, door, gate, ident, probing, upper, warming):
        super().__init__(loop)
        self.upper, self.warming, self.warm_at, self.ease = upper, warming, 0, 1.0
        self.door, self.gate, self.id, self.salt, self.probing = door, gate, ident, mix64(ident), probing
        self.out, self.heard, self.probe_at, self.asked, self.suspect = {}, 0, None, 0, False
        self.member, self.missed, self.strikes, self.struck, self.unsure = None, 0, 0, None, None
        self.doubted, self.way = 0, True

    def listed(self, member, sharing, lanes, weighted):
        if member.started_at:
            self.warm_at = max(self.warm_at, member.started_at + self.warming)
        if self.member is None or member.started_at > self.member.started_at:
            self.missed, self.strikes, self.struck, self.unsure, self.heard = 0, 0, None, None, self.loop.now
        self.member, self.sharing, self.lanes, self.share = member, sharing, lanes, lanes if weighted else 1.0

    def share_of_room(self):
        return max(LEAST_ROOM + self.upper, ROOM * self.lanes / self.sharing)

    def offer(self, get):
        """Take the GET, as cache or source, unless in doubt or full; warming, spare the forward of a look."""
        room = self.share_of_room()
        if not get.ds.uncacheable:  # what can go nowhere else is not turned away for fills
            room *= self.ease ** (1 / get.claim)
        doubted = self.missed or self.unsure is not None and self.strikes > 1
        away = doubted and not self.tries(get) or not (self.way or get.filling)
        if away or len(self.out) >= room or room < 1 and self.loop.chance() > room:
            self.loop.put(self.door, "declined", get, self)
        else:
            self.loop.put(self.door, "accepted", get, self, self.loop.now < self.warm_at)

    def tries(self, get):
        """Whether this GET goes to a doubted member in a probe's place, where there are none: now and then
        one that may run again, more seldom the longer it is away. Nothing else would bring it back."""
        due = max(self.asked, self.doubted) + (PACE << min(3, max(0, self.missed - 1)))
        if self.probing or get.repeats != Idempotency.IDEMPOTENT or self.loop.now < due:
            return False
        self.asked = self.loop.now
        return True

    def took(self, flight, sending):
        self.heard = self.heard if self.out else self.loop.now
        self.out[flight] = sending

    def ended(self, flight, verdict, mine, strained):
        self.out.pop(flight, None)
        if strained is not None:
            self.eased(strained)
        self.suspect |= (
            verdict == AttemptOutcome.FULL and not mine
        )  # down, sated, or its own fetches stick: ask
        if verdict in BROKEN if mine else verdict == AttemptOutcome.TIMED_OUT:
            self.broke(verdict)
        elif (
            verdict == AttemptOutcome.SUCCEEDED
            or mine
            and verdict in (AttemptOutcome.MISS, AttemptOutcome.FULL)
        ):
            self.alive(self.loop.now)

    def broke(self, verdict):
        self.strikes += self.struck != self.loop.now  # what breaks at one moment may be one connection
        self.struck = self.loop.now
        if verdict == AttemptOutcome.CONNECT_FAILED:  # ask until it answers, to know how long it was away
            self.suspect, self.unsure = True, self.loop.now if self.unsure is None else self.unsure
        if self.strikes >= STRIKES:
            self.silent(verdict)

    def eased(self, strained):
        """What many fronts ask of one member shows in its answers: late, turned away, sated. What others
        leave of a cache shows as well: one in time takes more than this front's share, up to all its room."""
        if strained:
            self.ease = max(LEAST_EASE, self.ease * EASED)
        elif self.ease < 1 or self.upper:
            self.ease = min(1, self.ease / EASED**0.3)
        elif len(self.out) + 1 >= self.share_of_room() * self.ease:  # only a full one tells of more
            self.ease = max(1, min(ROOM * self.lanes / self.share_of_room(), self.ease / EASED**0.1))

    def alive(self, at):
        self.heard = at
        if self.warming and self.unsure is not None and self.heard - self.unsure > LONG_GONE:
            self.warm_at = self.heard + self.warming
            self.loop.put(self.gate, "started", self.id, self.heard)
        self.missed, self.strikes, self.struck, self.unsure = 0, 0, None, None

    def silent(self, verdict):
        self.missed += 1
        self.doubted = self.loop.now
        if self.unsure is None:
            self.unsure = self.loop.now
        if self.missed >= DOUBT_AFTER or verdict in BROKEN:
            self.loop.put(self.door, "recall", self)

    def patience(self):
        """Of so many out one ends in a part of its sending time: only well past that is silence a sign."""
        return max(QUIET, SILENCE * sum(self.out.values()) // len(self.out) ** 2)

    def tick(self):
        now, able = self.loop.now, self.probing and self.member.state == EndpointState.READY
        waiting = self.missed or self.suspect or self.out and now - self.heard > self.patience()
        if able and waiting and self.probe_at is None and (self.missed == 1 or now - self.asked > PACE):
            self.probe_at, self.asked, self.suspect = now, now, False
            self.loop.orders.append(SendProbe(self.id, now - max(self.heard, self.doubted)))
        elif not self.probing and self.out:  # nothing can be asked: the silence itself has to tell
            if now - max(self.heard, self.doubted) > UNPROBED * self.patience():
                self.silent(AttemptOutcome.TIMED_OUT)

    def probed(self, report):
        sent, self.probe_at = self.probe_at, None
        at = self.loop.now - report.age
        if report.age and at <= max(self.heard, self.doubted):
            return  # another front's, older than what this one has seen itself
        if report.outcome == AttemptOutcome.SUCCEEDED:
            self.eased(report.load.get("util", 0) > SATED)
            self.alive(at)
        elif report.outcome == AttemptOutcome.FULL:  # proves neither life nor silence, but strain
            self.eased(True)
        elif sent is None:  # nobody asked: another front's failure may be of its own way there, so see
            self.suspect |= report.age > 0
        elif self.heard <= (at if report.age else sent):
            (self.broke if report.outcome in BROKEN else self.silent)(report.outcome)


class Gate(Actor):
    """Every forward and every final answer passes here; the five rules are enforced here and nowhere else."""

    def __init__(self, loop, door, allowance, warmups, grace):
        super().__init__(loop)
        self.door, self.allowance, self.warmups, self.grace = door, allowance, warmups, grace
        self.members, self.purges, self.starts, self.stale = {}, {}, {}, False

    def listed(self, member, sharing, lanes, upper):
        old = self.members.get(member.id)
        self.members[member.id] = (member, sharing, lanes, upper)
        if member.started_at and (old is None or member.started_at > old[0].started_at):
            self.started(member.id, member.started_at)

    def purged(self, purge):
        """Rule 5: remember the latest purge of an object or group until its copies are gone everywhere."""
        name, when = (purge.object, 0) if purge.object else (None, purge.group), self.loop.now - purge.age
        if when > self.purges.get(name, when - 1):
            self.purges[name] = when
            self.loop.put_at(when + self.grace.purge_complete + 1000, self, "forget", name, when)

    def forget(self, name, when):
        if self.purges.get(name) == when:
            del self.purges[name]

    def oldest(self, get):
        """The oldest copy that will do: the tighter of freshness and purges; 0 (any) where neither is."""
        limit = get.ds.max_age + (get.ds.stale_grace if get.stale else 0) if get.ds.max_age else 0
        for name in ((get.name[0], 0), (None, get.group)):
            if name in self.purges:
                since = max(1, self.loop.now - self.purges[name] - 2)
                limit = min(limit, since) if limit else since
        return limit

    def spared(self, ident, work):
        """Rule 4: whether this front's part of what a warming member can still take has room for `work`."""
        if ident not in self.starts:
            return True
        _, sharing, lanes, upper = self.members[ident]
        (since, ledger), warmup = self.starts[ident], self.warmups[upper]
        age = self.loop.now - since
        if age > warmup.duration:
            del self.starts[ident]
            return True
        risen = max(0, age - warmup.overload_window) / warmup.duration
        able = lanes * (warmup.initial_share + (1 - warmup.initial_share) * risen)
        whole = MARGIN * warmup.overload_factor * able * warmup.overload_window
        while ledger and ledger[0][0] <= self.loop.now - warmup.overload_window:
            ledger.popleft()
        place = (
            mix64(self.loop.seed ^ mix64(ident)) / MASK_64 * sharing
        )  # for good: a new one is a second turn
        return self.part(whole, sharing, place) - sum(spent for _, spent in ledger) >= work

    def part(self, whole, sharing, place):
        """What the front at this place among `sharing` may send in a window: as many of the dearest class as
        all can; of the rest of `whole` those in the first places one more, those after them one of a class
        at half of that or less, and so on. Who is there falls by chance: how many (docs/design.md)."""
        straight = self.allowance.direct  # what is uncacheable then goes to the origin, never cold
        works = zip(self.door.work, self.door.services, strict=True)
        works = sorted({max(1, work) for work, ds in works if not (straight and ds.uncacheable)}) or [1]
        each = whole / sharing // works[-1] * works[-1]
        equal = whole / sharing if whole >= sharing * self.door.mean else 0  # few fronts: no matter of chance
        left, grain, mean, limit = whole - each * sharing, 2 * works[-1], self.door.mean, whole / MARGIN
        variance = ((limit - whole + 2 * sqrt(limit * mean) + 2 * mean) / SPREAD) ** 2
        while works and left < sharing * works[-1]:
            work = works.pop()
            if 2 * work <= grain:
                part = DEARER if works and 2 * works[0] <= work else 1
                free = 1 - 4 * part * variance / work**2 / sharing  # over 0: not all may be drawn
                drawn = min(part * left / work, sharing / 2 * (1 - sqrt(free)) if free > 0 else sharing)
                if place < drawn:
                    return max(equal, each + work)
                variance = max(0, variance - drawn * (1 - drawn / sharing) * work**2)
                left, sharing, place, grain = left - drawn * work, sharing - drawn, place - drawn, work
        return max(equal, each + left / sharing)

    def started(self, ident, when):
        before, ledger = self.starts.get(ident, (when, deque()))
        self.starts[ident] = max(when, before), ledger

    def barred(self, get, cache, source):
        """The rule that a forward would break and at which member, or None."""
        now, ds = self.loop.now, get.ds
        if get.closed or now >= get.due or get.sent >= self.allowance.max_attempts:
            return "answer", cache
        if get.out is not None and not self.allowance.hedging:
            return "effect", cache
        if get.ran_at is not None and get.repeats != Idempotency.IDEMPOTENT:
            group = (cache.member.zone, cache.member.cell)[: ds.key_scope] == get.ran_in[: ds.key_scope]
            if get.repeats == Idempotency.NON_IDEMPOTENT or not group or now - get.ran_at >= ds.retry_window:
                return "effect", cache
        for actor in dict.fromkeys((cache, source)):
            if self.stale and actor is not self.door.origin:  # a drain or purge may not be known here
                return "stale", actor
            if actor.id not in self.members or self.members[actor.id][0].state != EndpointState.READY:
                return "drain", actor  # the grace is not used: the list is late enough as it is
            if not self.spared(actor.id, self.door.work[get.dsi]):
                return "cold", actor
        return None

    def lateness(self, note):
        self.stale = note.is_stale

    def forward(self, get, cache, source):
        if barred := self.barred(get, cache, source):
            return self.loop.put(self.door, "barred", get, *barred)
        for ident in dict.fromkeys((cache.id, source.id)):
            if ident in self.starts:
                self.starts[ident][1].append((self.loop.now, self.door.work[get.dsi]))
        join = self.allowance.join_fills and source is not cache and not get.direct
        member = self.members[cache.id][0]
        get.out = (get.id, get.sent)
        tokened = get.ran_at is not None and get.repeats == Idempotency.KEYED
        within = get.ran_at + get.ds.retry_window - self.loop.now if tokened else 0
        if get.ran_at is None:
            get.ran_at, get.ran_by, get.ran_in = self.loop.now, get.sent, (member.zone, member.cell)
        get.sent += 1
        self.loop.orders.append(
            ForwardRequest(
                get.id,
                cache.id,
                0,
                source.id,
                get.rank,
                self.oldest(get),
                join,
                get.held and not get.direct,
                send_within=within,
            )
        )
        self.loop.put(self.door, "left_for", get, cache, source)

    def final(self, get, come_back):
        """Rule 1: one answer. Rule 2: shed says that asking again does no harm."""
        if get.closed:
            return
        get.closed = True
        harmless = (
            get.ran_at is None
            or get.repeats == Idempotency.IDEMPOTENT
            or (get.repeats == Idempotency.KEYED and get.ds.key_scope == KeyScope.ALL)
        )
        self.loop.orders.append(RejectRequest(get.id, come_back) if harmless else FailRequest(get.id))


class Door(Actor):
    """Keeps the open GETs and takes each from step to step."""

    def __init__(self, loop, services, allowance, footprint):
        super().__init__(loop)
        self.services, self.allowance, self.flow_kb_s = services, allowance, footprint.transfer_kb_s
        link = footprint.link_kb_s[footprint.zone] if footprint.zone < len(footprint.link_kb_s) else 0
        self.fill_room = max(1, FILLS * link / self.flow_kb_s / footprint.fronts_in_zone) if link else 1e9
        self.least, self.looked, self.fetched = min(1, LEAST_FETCHES / footprint.fronts), 0, 0
        self.window, self.grow = min(FIRST, self.fill_room), GROW * max(1, min(link, self.fill_room) / USUAL)
        self.open, self.flights, self.fills, self.fetches = {}, {}, set(), set()
        self.caches, self.parents, self.origin, self.shelf, self.gate = [], [], None, None, None
        self.work = [ds.latency_objective for ds in services]  # mean sending time, learned
        self.mean = min(self.work, default=0)  # the same over all that go to caches

    def members(self, caches, parents, origin):
        self.caches, self.parents, self.origin = caches, parents, origin

    def arrived(self, note):
        ds, work = self.services[note.service], self.work[note.service]
        own = int(note.size_kb / self.flow_kb_s * 1_000_000) if note.size_kb and self.flow_kb_s else work
        self.work[note.service] += (own - work) // 32
        self.mean += 0 if ds.uncacheable else (work - self.mean) / 32
        get = self.open[note.id] = OpenGet(note, ds, self.loop.now + note.time_left, own)
        self.loop.put(self.shelf, "count", get)

    def ranked(self, get, rank):
        get.rank = rank
        get.walk, get.above = hash_order(get.name, self.caches), hash_order(get.name, self.parents)
        if get.ds.uncacheable:  # passes through untouched: straight, or by a cache with the origin as source
            get.above = [self.origin] if self.origin else []
            get.walk = get.above if self.allowance.direct else get.walk
        self.step(get)

    def step(self, get):
        """Offer the GET to the next in hash order: first a look at a cache, then a parent to fill from."""
        above = get.filling or get.direct
        if above and not get.ds.uncacheable and len(self.fills) >= self.fill_room * get.claim:
            return self.fall_back(get)  # one more on a jammed link makes all fills late, whatever jams it
        line = get.above if above else get.walk
        left = next((m for m in line if m not in get.passed), None)
        if left:
            self.loop.put(left, "offer", get)
        elif get.filling and self.origin not in {None, *line} | get.passed and self.may_fetch():
            get.passed.add(self.origin)  # no parent is up, or none that is has room
            self.loop.put(self.origin, "offer", get)
        else:
            self.fall_back(get)

    def may_fetch(self):
        if self.window < 1:  # a narrowed window opens again by itself, so that now and then a fetch tells
            self.window = min(1, self.window * 2 ** min(9, (self.loop.now - self.looked) / DOUBLING))
        self.looked = self.loop.now
        return len(self.fetches) < self.window and (self.window >= 1 or self.loop.chance() < self.window)

    def fall_back(self, get):
        """No fill is to be had: an ageing copy will do. No cache has room: to a parent. Else give it up."""
        if get.filling and get.ds.stale_grace and not get.stale:
            get.stale, get.filling, get.passed = True, False, set()
            self.step(get)
        elif self.allowance.direct and self.origin and not (get.filling or get.direct or get.ds.uncacheable):
            get.direct = True
            self.step(get)
        else:
            self.give_up(get)

    def declined(self, get, member):
        get.passed.add(member)
        self.step(get)

    def accepted(self, get, member, sourced):
        # Where fills do not come back, wherever above they stick: beyond the window ask for held copies only.
        get.held = (get.filling or get.direct) and member is not self.origin and not self.may_fetch()
        if get.filling:
            self.loop.put(self.gate, "forward", get, get.at, member)
        elif get.direct:
            self.loop.put(self.gate, "forward", get, member, member if get.held else self.origin)
        else:
            get.at, get.filling = member, sourced or get.ds.uncacheable and member is not self.origin
            following = (self, "step", get) if get.filling else (self.gate, "forward", get, member, member)
            self.loop.put(*following)

    def barred(self, get, rule, member):
        get.filling = get.filling and member is not get.at  # a warming cache may have enough, not the source
        if rule in ("answer", "effect") or get.direct and member is self.origin:
            self.give_up(get)
        else:
            self.declined(get, member)

    def left_for(self, get, cache, source):
        self.flights[get.out] = (get, cache, source)
        for member in dict.fromkeys((cache, source)):
            self.loop.put(member, "took", get.out, get.own)
        if source is not cache or get.direct:
            self.fills.add(get.out)
            if not get.held:
                self.fetches.add(get.out)

    def ended(self, note):
        if (flight := (note.request, note.attempt)) not in self.flights:
            return
        get, cache, source = self.flights.pop(flight)
        if note.outcome == AttemptOutcome.TIMED_OUT and note.duration < get.ds.latency_objective:
            note = note._replace(
                outcome=AttemptOutcome.CANCELLED
            )  # its GET's time was short: nobody is at fault
        in_time = (
            note.outcome == AttemptOutcome.SUCCEEDED
            and note.duration < get.ds.latency_objective + get.ds.objective_stretch * get.own
        )
        strained = note.outcome == AttemptOutcome.FULL or None
        late = not in_time if note.outcome == AttemptOutcome.SUCCEEDED else strained
        self.loop.put(cache, "ended", flight, note.outcome, True, late if source is cache else None)
        if source is not cache:  # a late fill strains its source only once its own report has
            strained = late if get.held and strained or source.ease < 1 and not strained else None
            self.loop.put(source, "ended", flight, note.outcome, False, strained)
        get.out = None
        self.fills.discard(flight)
        others = self.loop.now - self.fetched < QUIET  # fetches come in time beside this one
        if flight in self.fetches:
            self.fetches.remove(flight)
            if in_time:
                self.window = min(self.fill_room, self.window + min(self.window, self.grow / self.window))
                self.fetched = self.loop.now
            elif (
                note.outcome in STUCK
                and source.ease >= 1
                and not source.missed
                and cache.ease > 0.5
                and not (others and note.outcome == AttemptOutcome.FAILED)
            ):  # its object errs, or one parent
                mild = (
                    note.outcome == AttemptOutcome.SUCCEEDED
                    or others
                    and note.outcome == AttemptOutcome.TIMED_OUT
                )
                self.window = max(self.least, self.window * (YIELD if mild else LOST))
        if (
            note.outcome == AttemptOutcome.SUCCEEDED and source is cache and not get.size_kb
        ):  # it was held there
            self.work[get.dsi] += (note.duration - self.work[get.dsi]) // 32
        if note.outcome in NEVER_EXECUTED and get.ran_by == note.attempt:
            get.ran_at = None
        get.closed |= note.answered
        if get.closed:
            return self.open.pop(get.id, None)
        self.again(get, cache, source, note)

    def again(self, get, cache, source, note):
        if note.outcome == AttemptOutcome.MISS and get.held:
            return self.fall_back(get)
        get.filling = note.outcome == AttemptOutcome.MISS and source is cache
        broken = note.outcome in BROKEN  # says nothing of the source, and once, nothing of the cache
        moot = (
            note.outcome == AttemptOutcome.SUPERSEDED
        )  # called off by news before it was sent: nobody is at fault
        if not get.filling and not moot and not (broken and cache.struck in (None, self.loop.now)):
            get.passed.update((cache,) if broken else (cache, source))
        self.step(get)

    def give_up(self, get):
        self.open.pop(get.id, None)  # answered at once, with a time to come back where that is heard
        wait = int(self.allowance.max_retry_after * COME_BACK * (0.5 + self.loop.chance()))
        self.loop.put(self.gate, "final", get, wait)

    def recall(self, member):
        for get, cache, source in list(self.flights.values()):
            if member in (cache, source) and get.repeats == Idempotency.IDEMPOTENT and not get.closed:
                self.withdraw(get)

    def withdraw(self, get):
        if self.allowance.cancellation and get.out:
            self.loop.orders.append(CancelAttempt(*get.out))

    def shutting_down(self, note):
        for get in self.open.values():
            get.due = min(get.due, self.loop.now + note.time_left)

    def left(self, note):
        if get := self.open.pop(note.request, None):
            get.closed = True
            if get.repeats == Idempotency.IDEMPOTENT and isinstance(
                note, ClientDisconnected
            ):  # a stream that began goes on
                self.withdraw(get)


class Front:
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
