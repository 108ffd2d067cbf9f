"""The way of a request: look it up in a cache, fill it, fall back, retry, give it up."""

from limepath.decisions.event_queue import Actor
from limepath.decisions.rendezvous import hash_order
from limepath.decisions.request import OpenGet
from limepath.decisions.server import BROKEN, QUIET
from limepath.interface.commands import CancelAttempt
from limepath.interface.events import NEVER_EXECUTED, AttemptOutcome, ClientDisconnected
from limepath.interface.settings import Idempotency

FILLS = 2.2  # fills out, in this front's share of the link: less sheds, more is late; 2 to 2.5 are alike
GROW, USUAL = 5, 40  # a window gains GROW / window by a fetch in time, in proportion to a room over USUAL
YIELD, LOST = 0.85, 0.1  # of it kept after a late fetch, or one lost among timely ones, and after others lost
FIRST = 1  # window of a front that starts: all shares of many that start at once would sate the origin
LEAST_FETCHES, DOUBLING = 4, 3_000_000  # least window of all fronts; time in which one below 1 doubles
COME_BACK = 0.1  # of the longest wait, give or take half: a repeat is in time; 0.75 far worse
STUCK = (AttemptOutcome.SUCCEEDED, AttemptOutcome.TIMED_OUT, AttemptOutcome.FAILED, AttemptOutcome.FULL)


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
