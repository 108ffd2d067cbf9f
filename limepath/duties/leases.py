"""At most one owner: leases on slots of targets, granted by a majority of fixed voters, with epochs.

As Gray and Cheriton's leases (1989), with the majority of Paxos in place of one server. A voter's grant
counts from when the claim came, the holder's lease from when the claim was sent and by `drift` less: it ends
first, whatever wall clocks do. An epoch is granted to one holder only and above all that were granted before.
What must survive a crash is the ceiling of epochs: it is kept in blocks, before any grant above it. A voter
that has just started grants nothing for a span, since its former life may have; one whose store is new or
lost grants nothing either until it has learnt from so many others that every majority is among them. Free of
I/O.
"""

from limepath.duties.interface import (
    DeniedSlot,
    EpochQuery,
    EpochReport,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    PersistEpochCeiling,
    SlotEpoch,
)

BLOCK = 1000  # epochs by which the ceiling is kept ahead


def held_for(leasing):
    """How long a holder may act on a lease, from when it sent the claim."""
    return int(leasing.span * (1 - leasing.drift))


def silence(leasing):
    """How long a voter grants nothing after a start."""
    return int(leasing.span * (1 + leasing.drift))


def claim_every(leasing):
    return leasing.span // 4


class Grant:
    __slots__ = ("holder", "epoch", "until")

    def __init__(self, holder, epoch, until):
        self.holder, self.epoch, self.until = holder, epoch, until


class Voter:
    """Grants and denies. `ceiling` and `sure` come from the store; `holder` names one life of an instance."""

    def __init__(self, timers, leasing, others, ceiling, sure):
        self.timers, self.leasing, self.others, self.sure = timers, leasing, others, sure
        self.floor = self.ceiling = ceiling
        self.grants, self.mute_until = {}, None
        self.asked, self.told = 0, {}

    def begin(self, reach):
        """A lease that was granted before this start may hold: grant nothing for as long."""
        self.mute_until = self.timers.now + silence(self.leasing)
        self.ask(reach)

    def votes(self):
        return self.sure and self.timers.now >= self.mute_until

    def stands(self, grant):
        return self.timers.now < grant.until

    def claimed(self, holder, claim):
        """Give the Vote on a claim, or None while this voter grants nothing."""
        if not self.votes():
            return None
        now, granted, denied = self.timers.now, [], []
        for slot, epoch in claim.slots:
            key = claim.duty, slot
            grant = self.grants.get(key)
            highest = max(grant.epoch if grant else 0, self.floor)
            if grant and (grant.holder, grant.epoch) == (holder, epoch):
                grant.until = now + self.leasing.span
                granted.append(slot)
            elif grant and grant.holder != holder and self.stands(grant):
                denied.append(DeniedSlot(slot, grant.epoch, grant.until - now))
            elif epoch > highest:
                if epoch > self.ceiling:
                    self.ceiling = epoch + BLOCK
                    self.timers.emit(PersistEpochCeiling(self.ceiling))
                self.grants[key] = Grant(holder, epoch, now + self.leasing.span)
                granted.append(slot)
            else:
                denied.append(DeniedSlot(slot, highest, 0))
        return LeaseGrant(claim.duty, claim.round, tuple(granted), tuple(denied))

    def released(self, holder, message):
        for slot, epoch in message.slots:
            grant = self.grants.get((message.duty, slot))
            if grant and (grant.holder, grant.epoch) == (holder, epoch):
                grant.until = self.timers.now

    def highest(self):
        return max([self.ceiling, *(grant.epoch for grant in self.grants.values())])

    def ask(self, reach):
        """Ask the other voters for their ceilings, again and again until enough have told."""
        if self.sure:
            return
        if not self.others:
            return self.learn()
        self.asked += 1
        for name in self.others:
            reach(name, EpochQuery(self.asked))
        self.timers.schedule(self.timers.now + claim_every(self.leasing), self.ask, reach)

    def answered(self, name, message):
        """Enough: so many sure ones that each majority holds one of them, or all there are (a new fleet)."""
        if self.sure or name not in self.others:
            return
        self.told[name] = message
        voters = len(self.others) + 1
        enough = voters - (voters // 2 + 1) + 1
        if sum(one.sure for one in self.told.values()) >= enough or len(self.told) == len(self.others):
            self.learn()

    def learn(self):
        self.ceiling = max([self.ceiling, *(one.ceiling for one in self.told.values())])
        self.floor, self.sure = self.ceiling, True
        self.timers.emit(PersistEpochCeiling(self.ceiling))


class Lease:
    __slots__ = ("epoch", "until")

    def __init__(self, epoch, until):
        self.epoch, self.until = epoch, until


class Claiming:
    """One round of claims on its way."""

    __slots__ = ("sent", "duty", "slots", "votes")

    def __init__(self, sent, duty, slots):
        self.sent, self.duty, self.slots, self.votes = sent, duty, dict(slots), {}


class Leases:
    """Holder and voter of one instance. `wanted(duty)` gives the slots that it should hold as it sees the
    view; `changed(duty)` is called when what it holds has changed; `reach(name, message)` sends to a
    voter.
    """

    def __init__(self, timers, name, door, leasing, duties, wanted, changed, reach, ceiling=0, sure=True):
        self.timers, self.name, self.door, self.leasing, self.duties = (
            timers,
            name,
            door,
            leasing,
            tuple(duties),
        )
        self.wanted, self.changed, self.reach = wanted, changed, reach
        others = [voter for voter in leasing.voters if voter != name]
        self.voter = Voter(timers, leasing, others, ceiling, sure) if name in leasing.voters else None
        self.majority = len(leasing.voters) // 2 + 1
        self.held, self.claims, self.seen, self.blocked, self.round = {}, {}, {}, {}, 0
        self.leaving = False

    def start(self):
        if self.voter:
            self.voter.begin(self.reach)
        first = int(self.timers.random_fraction() * claim_every(self.leasing))
        self.timers.schedule(self.timers.now + first, self.claim)

    def may(self, duty, slot):
        """(epoch, until) of the lease that holds now, else None."""
        lease = self.held.get((duty, slot))
        return (lease.epoch, lease.until) if lease and self.timers.now < lease.until else None

    def slots_held(self, duty):
        now = self.timers.now
        return {slot for (of, slot), lease in self.held.items() if of == duty and now < lease.until}

    def claim(self):
        """Go on with what is held and still ours, claim what is ours and free, give back what is
        another's.
        """
        if self.leaving:
            return
        now = self.timers.now
        self.timers.schedule(now + claim_every(self.leasing), self.claim)
        self.lapse()
        for duty in self.duties:
            wanted, slots = set(self.wanted(duty)), []
            under_way = {slot for one in self.claims.values() if one.duty == duty for slot in one.slots}
            self.give_back(duty, self.slots_held(duty) - wanted)
            for slot in sorted(wanted):
                lease = self.held.get((duty, slot))
                if lease:  # where a voter has started anew, a higher epoch is wanted to go on
                    seen = self.seen.get((duty, slot), 0)
                    slots.append(SlotEpoch(slot, lease.epoch if seen <= lease.epoch else seen + 1))
                elif slot not in under_way and self.blocked.get((duty, slot), 0) <= now:
                    slots.append(SlotEpoch(slot, self.seen.get((duty, slot), 0) + 1))
            if slots:
                self.ask(duty, slots)

    def ask(self, duty, slots):
        self.round += 1
        self.claims[self.round] = Claiming(self.timers.now, duty, slots)
        message = LeaseRequest(duty, self.round, tuple(slots))
        for voter in self.leasing.voters:
            self.reach(voter, message)
        self.timers.schedule(self.timers.now + claim_every(self.leasing) - 1, self.closed, self.round)

    def closed(self, number):
        """What no majority has granted by now is given back, so that a split vote does not block the slot."""
        one = self.claims.pop(number, None)
        if one is None:
            return
        lost = [
            SlotEpoch(slot, epoch) for slot, epoch in one.slots.items() if (one.duty, slot) not in self.held
        ]
        for slot, epoch in lost:
            self.seen[one.duty, slot] = max(epoch, self.seen.get((one.duty, slot), 0))
            wait = int(self.timers.random_fraction() * claim_every(self.leasing))
            self.blocked[one.duty, slot] = max(self.blocked.get((one.duty, slot), 0), self.timers.now + wait)
        self.release(one.duty, lost)

    def release(self, duty, slots):
        if slots:
            for voter in self.leasing.voters:
                self.reach(voter, LeaseRelease(duty, tuple(slots)))

    def give_back(self, duty, slots):
        given = [SlotEpoch(slot, self.held.pop((duty, slot)).epoch) for slot in sorted(slots)]
        for slot, epoch in given:
            self.seen[duty, slot] = max(epoch, self.seen.get((duty, slot), 0))
        if given:
            self.changed(duty)
            self.release(duty, given)

    def voted(self, name, vote):
        one = self.claims.get(vote.round)
        if one is None or one.duty != vote.duty or name not in self.leasing.voters:
            return
        for slot, epoch, left in vote.denied:
            if slot in one.slots:
                key = vote.duty, slot
                self.seen[key] = max(epoch, self.seen.get(key, 0))
                self.blocked[key] = max(
                    self.blocked.get(key, 0), self.timers.now + min(left, self.leasing.span)
                )
        fresh, until = False, one.sent + held_for(self.leasing)
        for slot in vote.granted:
            if slot not in one.slots:
                continue
            voters = one.votes.setdefault(slot, set())
            voters.add(name)
            if len(voters) < self.majority or until <= self.timers.now or self.leaving:
                continue
            key, epoch = (vote.duty, slot), one.slots[slot]
            lease = self.held.get(key)
            if lease is None:
                if epoch > self.seen.get(key, 0):  # not one that was given back meanwhile
                    self.held[key] = Lease(epoch, until)
                    self.seen[key] = epoch
                    self.blocked.pop(key, None)
                    fresh = True
            elif lease.epoch == epoch or epoch > self.seen.get(key, 0):
                lease.epoch = self.seen[key] = epoch
                lease.until = max(lease.until, until)
        if fresh:
            self.changed(vote.duty)

    def lapse(self):
        """Leases that have run out are gone, and with them their epochs."""
        over = [key for key, lease in self.held.items() if lease.until <= self.timers.now]
        for key in over:
            self.seen[key] = max(self.held.pop(key).epoch, self.seen.get(key, 0))
        for duty in sorted({duty for duty, _ in over}):
            self.changed(duty)

    def heard(self, name, door, message):
        """A message of another instance, or of this one to itself; `door` names its life."""
        if isinstance(message, LeaseGrant):
            self.voted(name, message)
        elif self.voter is None:
            return
        elif isinstance(message, LeaseRequest):
            if (vote := self.voter.claimed(door, message)) is not None:
                self.reach(name, vote)
        elif isinstance(message, LeaseRelease):
            self.voter.released(door, message)
        elif isinstance(message, EpochQuery):
            self.reach(name, EpochReport(message.round, self.voter.highest(), self.voter.sure))
        elif isinstance(message, EpochReport):
            self.voter.answered(name, message)

    def leave(self):
        """Give all back; nothing is claimed any more."""
        self.leaving = True
        for duty in self.duties:
            self.give_back(duty, {slot for of, slot in self.held if of == duty})
