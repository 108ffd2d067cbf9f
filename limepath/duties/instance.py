"""One instance whole: membership and duties in one `handle`, for the host, the virtual-time run and the drill
alike.

Notes in are those of `peers.interface` and `duties.interface`; orders out too. Free of I/O.
"""

from collections import Counter
from typing import NamedTuple

from limepath.configuration.sharing_settings import DutyMode
from limepath.duties.interface import (
    EpochQuery,
    EpochReport,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    ProbeResults,
    SendToMember,
    TargetServed,
    TargetsUpdated,
)
from limepath.duties.learnt import Learnt
from limepath.duties.leases import Leases
from limepath.duties.ring import Ring, key_of
from limepath.duties.rounds import Rounds
from limepath.membership.interface import (
    NEWEST_VERSION,
    LeaveCompleted,
    LeaveRequested,
    MemberJoined,
    MemberLeft,
    MessageReceived,
    MessageRelayed,
    YieldIdentity,
)
from limepath.membership.members import Members
from limepath.timer_queue import TimerQueue

FEW = 3  # changes of the view that are taken in at once; for more it waits, as far as GATHERED goes
REBUILD = 16  # changes cost less than a ring built anew up to this part of its members
GATHERED = 100_000  # microseconds in which a view that changes much (a cold start) has its ring built once
LEASE_MESSAGES = (LeaseRequest, LeaseGrant, LeaseRelease, EpochQuery, EpochReport)


class View(NamedTuple):
    """What a running instance tells of itself: plain values."""

    me: dict
    members: list
    duties: list
    counts: dict


class Shares:
    """One duty's share: the targets, whose they are, the rounds."""

    def __init__(self, timers, duty, plan, slots, leases):
        self.duty, self.plan, self.slots, self.leases = duty, plan, slots, leases
        self.keyed, self.stale = [], True
        self.rounds = Rounds(timers, duty, plan, self.allowed)

    def allowed(self, target):
        if self.plan.mode == DutyMode.AT_LEAST_ONCE:
            return 0, 0
        return self.leases.may(self.duty, self.slot_of(target))

    def slot_of(self, target):
        return key_of(target) % self.slots

    def targets(self, targets):
        self.keyed = sorted((key_of(target), target) for target in set(targets))
        self.rounds.only(targets)
        self.stale = True

    def divide(self, ring, token):
        """Whose targets are whose has changed: take and leave what follows."""
        self.stale = False
        if self.plan.mode == DutyMode.AT_LEAST_ONCE:
            own = ring.own(token, self.keyed)
        else:
            held = self.leases.slots_held(self.duty)
            own = [target for _, target in self.keyed if self.slot_of(target) in held]
        self.rounds.own(own)


class Instance:
    """`me` is its News; `ceiling` and `sure` are the store's word on epochs."""

    def __init__(self, me, seeds, spans, plans, leasing, seed, ceiling=0, sure=True, speaks=NEWEST_VERSION):
        self.members = Members(me, seeds, spans, seed, speaks)
        self.timers, self.plans, self.leasing, self.token = (
            TimerQueue(seed ^ 0x5EED),
            plans,
            leasing,
            me.token,
        )
        self.whole, self.names, self.over, self.leaving = Ring.of([me.token]), {}, False, False
        self.came, self.went, self.divided = [], [], None
        leased = [duty for duty, plan in enumerate(plans) if plan.mode == DutyMode.ONE_OWNER]
        self.slot_keys = [(key_of(slot + 1), slot) for slot in range(leasing.slots)]
        self.leases = (
            Leases(
                self.timers,
                me.name,
                me.session_token,
                leasing,
                leased,
                self.wanted,
                self.lease_changed,
                self.to_voter,
                ceiling,
                sure,
            )
            if leased
            else None
        )
        self.shares = [
            Shares(self.timers, duty, plan, leasing.slots, self.leases) for duty, plan in enumerate(plans)
        ]
        self.learnt = Learnt(
            self.timers,
            me.token,
            [plan.interval for plan in plans],
            leasing,
            lambda: self.members.ring,
            self.members.is_live,
        )
        self.looped, self.counts, self.slots_wanted = [], Counter(), None

    # The host's side

    def start(self, now):
        self.timers.now = now
        if self.leases:
            self.leases.start()
        return self.settle(now, self.members.start(now))

    def handle(self, now, notes):
        """Take in what the host heard at `now`; give the orders that follow, in sequence."""
        peers = [note for note in notes if isinstance(note, (MessageReceived, LeaveRequested))]
        if any(isinstance(note, LeaveRequested) for note in peers) and not self.leaving:
            self.leave()
        orders = self.settle(now, self.members.handle(now, peers))
        if len(peers) == len(notes):
            return orders
        self.timers.now = now
        for note in notes:
            if isinstance(note, TargetServed):
                self.served(note)
            elif isinstance(note, TargetsUpdated):
                self.targets(note)
        return orders + self.settle(now, [])

    def next(self):
        """When to call `handle` again at the latest, or None."""
        dues = [due for due in (self.members.next(), self.timers.next_due()) if due is not None]
        return min(dues) if dues and not self.over else None

    def answer(self, target, oldest):
        """A shared result for one who asks for a probe (see Learnt.answer)."""
        return self.learnt.answer(target, oldest)

    def set_out(self, others):
        """Know these from the start, without joining by messages."""
        self.members.add_known_members(others)
        for one in self.members.timers.take_commands():
            if isinstance(one, MemberJoined):
                self.joined(one.member)

    # Inside

    def settle(self, now, orders):
        """Take the orders of the membership in turn, then do what the duties have due, until nothing is
        left.
        """
        out = []
        self.timers.now = now
        while True:
            for order in orders:
                if isinstance(order, MessageRelayed) and self.passed(order.sender, order.message):
                    pass
                elif isinstance(order, MemberJoined):
                    self.joined(order.member)
                elif isinstance(order, MemberLeft):
                    self.parted(order.member)
                else:
                    if isinstance(order, (YieldIdentity, LeaveCompleted)):
                        self.over = True
                    out.append(order)
            if self.over:
                return out
            while self.looped:
                message = self.looped.pop(0)
                self.leases.heard(self.members.me.name, self.members.me.session_token, message)
            self.timers.run_due(now)
            for share in self.shares:
                if share.stale and not self.leaving and self.may_divide():
                    share.divide(self.ring, self.token)
            self.timers.run_due(now)
            for order in self.timers.take_commands():
                if isinstance(order, SendToMember):
                    self.members.send_to_member(order.token, order.message)
                else:
                    out.append(order)
            orders = self.members.timers.take_commands()
            if not orders and not self.looped:
                return out

    def may_divide(self):
        now = self.timers.now
        if len(self.came) + len(self.went) > FEW:
            if self.divided is not None and now < self.divided + GATHERED:
                self.timers.schedule(self.divided + GATHERED, int)  # looked at again then
                return False
            self.divided = now
        return True

    def passed(self, sender, message):
        """Take a message in; False where it is not of the duties, and goes on to the host."""
        if isinstance(message, ProbeResults):
            for result, at in self.learnt.heard(message.results):
                self.shares[result.duty].rounds.served(result.target, at)
        elif self.leases and isinstance(message, LEASE_MESSAGES):
            self.leases.heard(sender.name, sender.session_token, message)
        else:
            return False
        return True

    def to_voter(self, name, message):
        if name == self.members.me.name:
            self.looped.append(message)
        elif (token := self.names.get(name)) is not None:
            self.members.send_to_member(token, message)

    @property
    def ring(self):
        """The ring of the view as it is now."""
        if len(self.came) + len(self.went) > max(FEW, self.whole.members // REBUILD):
            self.whole = Ring.of([self.token, *self.members.ring])
        elif self.came or self.went:
            self.whole = self.whole.changed(self.went, self.came)
        self.came, self.went = [], []
        return self.whole

    def joined(self, news):
        (self.went.remove if news.token in self.went else self.came.append)(news.token)
        self.names[news.name] = news.token
        self.view_changed()

    def parted(self, news):
        (self.came.remove if news.token in self.came else self.went.append)(news.token)
        if self.names.get(news.name) == news.token:
            del self.names[news.name]
        self.view_changed()

    def view_changed(self):
        self.slots_wanted = None
        for share in self.shares:
            share.stale = True

    def wanted(self, duty):
        if self.slots_wanted is None:
            self.slots_wanted = self.ring.own(self.token, sorted(self.slot_keys))
        return self.slots_wanted

    def lease_changed(self, duty):
        self.shares[duty].stale = True

    def targets(self, note):
        self.shares[note.duty].targets(note.targets)
        self.learnt.only(note.duty, note.targets)

    def served(self, note):
        """This instance's own result, of a round or because the decision module asked."""
        self.learnt.own(note.duty, note.target, note.verdict, note.took, note.load)
        self.shares[note.duty].rounds.served(note.target, self.timers.now - note.took)

    def leave(self):
        """Hand over before going: leases back, no more rounds."""
        self.leaving = True
        if self.leases:
            self.leases.leave()
        for share in self.shares:
            share.rounds.own(())

    def view(self):
        """The instance's view as plain values, for the control socket."""
        members, now = self.members, self.timers.now
        duties = []
        for share in self.shares:
            told = {
                "name": share.plan.name,
                "mode": share.plan.mode.name.lower().replace("_", "-"),
                "interval_us": share.plan.interval,
                "targets": len(share.keyed),
                "owned": len(share.rounds.owned),
            }
            if share.plan.mode == DutyMode.ONE_OWNER:
                told["slots"] = {
                    slot: self.leases.held[share.duty, slot].epoch
                    for slot in sorted(self.leases.slots_held(share.duty))
                }
                told["epoch"] = max(told["slots"].values(), default=0)
            duties.append(told)
        rows = [members.me, *members.table.values()]
        voter = self.leases.voter if self.leases else None
        return View(
            {
                "name": members.me.name,
                "token": f"{members.me.token:016x}",
                "life": members.me.generation,
                "incarnation": members.me.incarnation,
                "joined": not members.joining,
                "leaving": self.leaving,
                "votes": voter.votes() if voter else False,
                "epoch_ceiling": voter.ceiling if voter else 0,
                "now_us": now,
            },
            [
                {
                    "name": row.name,
                    "token": f"{row.token:016x}",
                    "address": f"{row.host}:{row.port}",
                    "state": members_state(row),
                    "incarnation": row.incarnation,
                    "life": row.generation,
                }
                for row in sorted(rows, key=lambda row: (row.name, row.token))
            ],
            duties,
            members.counts
            | {"view": len(members.ring) + 1}
            | {f"results {k}": v for k, v in self.learnt.counts.items()}
            | {"rounds missed": sum(share.rounds.missed for share in self.shares)},
        )


def members_state(news):
    return ("alive", "suspect", "dead", "left")[news.state]
