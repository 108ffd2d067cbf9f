"""When each own target is due: spread over the interval, handed over without a gap, never made up in a heap.

A target that another instance has served is due an interval later. One that is overdue when it is taken over,
or after this instance stood still, is due within half an interval, at a place of its own.
"""

from limepath.duties.interface import ServeTarget
from limepath.hashing import mix64

LATE = 4  # a part of the interval by which a round may be late before it counts as missed
CATCH_UP = 2  # a part of the interval over which missed rounds are spread
PRESSED = (
    8  # the same for what has been overdue for long, so that what goes to and fro is served all the same
)


class Rounds:
    """One duty at one instance. `allowed(target)` gives (epoch, until) while it may be served, else None."""

    def __init__(self, timers, duty, plan, allowed):
        self.timers, self.duty, self.plan, self.allowed = timers, duty, plan, allowed
        self.owned, self.due, self.last, self.version = set(), {}, {}, 0
        self.salt = mix64(timers.seed + duty)
        self.missed = 0

    def place(self, target, span):
        """A place of its own in a span, other for each instance."""
        return mix64(target ^ self.salt) * span >> 64

    def own(self, targets):
        """These are this instance's from now on, and no others."""
        targets = set(targets)
        for target in targets - self.owned:
            self.take(target)
        self.owned = targets

    def only(self, targets):
        """These are all that there are; others are forgotten, so that none is served again."""
        targets = set(targets)
        self.owned &= targets
        for known in (self.due, self.last):
            for target in [target for target in known if target not in targets]:
                del known[target]

    def take(self, target):
        now, interval = self.timers.now, self.plan.interval
        due = self.due.get(target)
        if (last := self.last.get(target)) is not None:
            due = max(last + interval, due or 0) if due is None or last + interval > due else due
        if due is None:
            due = now + self.place(target, interval)
        elif due < now:
            pressed = now - due > interval // CATCH_UP
            due = now + self.place(target, interval // (PRESSED if pressed else CATCH_UP))
        self.plan_at(target, due)

    def plan_at(self, target, due):
        self.due[target] = due
        self.timers.schedule(due, self.fire, target, due)

    def fire(self, target, due):
        if self.due.get(target) != due or target not in self.owned:
            return
        now, interval = self.timers.now, self.plan.interval
        if now - due > interval // LATE:  # this instance stood still
            self.missed += 1
            return self.plan_at(target, now + self.place(target, interval // CATCH_UP))
        if (leave := self.allowed(target)) is None:
            return self.plan_at(target, now + interval // PRESSED)
        self.last[target] = now
        self.timers.emit(ServeTarget(self.duty, target, *leave))
        self.plan_at(target, due + interval)

    def served(self, target, at):
        """Someone has served it then."""
        if at <= self.last.get(target, at - 1):
            return
        self.last[target] = at
        due = at + self.plan.interval
        if target not in self.owned:
            self.due[target] = due
        elif due > self.due.get(target, 0) + self.plan.interval // LATE:
            self.plan_at(target, due)
