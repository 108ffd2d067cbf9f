"""The five rules, checked at every attempt and every final answer."""

from collections import deque
from math import sqrt

from limepath.decisions.event_queue import Actor
from limepath.hashing import MASK_64, mix64
from limepath.interface.commands import FailRequest, ForwardRequest, RejectRequest
from limepath.interface.events import EndpointState
from limepath.interface.settings import Idempotency, KeyScope

MARGIN, SPREAD = 0.8, 5  # share of the cold budget spent; deviations kept to what topples a member
DEARER = 0.75  # share of a cold budget and of its variance that a dearer class may take before cheaper ones


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
