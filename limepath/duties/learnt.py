"""What serving a target told, shared: a result goes to all, with its age and its prober, newest of each
target kept.

Up to NEARBY others get it from its prober alone, twice. Beyond that it spreads as an epidemic: whoever hears
it new passes it on in ROUNDS batches, then no more (Demers et al. 1987; with 2 x 2 sends a part of exp(-4)
misses it). Who misses it asks for a probe if it wants one; the next interval brings the next.
"""

from collections import Counter

from limepath.duties.interface import ProbeResult, ProbeResults, ResultShared, SendToMember
from limepath.interface.events import AttemptOutcome

NEARBY, ROUNDS = 8, 2
CARRIED = 18  # results on one datagram
IN_FLIGHT = 5000  # added to an age for the way, which nobody measures: microseconds
AGREED = 2  # probers whose failures must agree before they serve a third


class Learnt:
    """All that one instance knows of results; `intervals` are those of the duties, by index."""

    def __init__(self, timers, me, intervals, leasing, live, is_live):
        self.timers, self.me, self.intervals, self.leasing = timers, me, intervals, leasing
        self.live, self.is_live, self.serial = live, is_live, 0
        self.known, self.rumours, self.counts = {}, {}, Counter()
        self.going = False

    def own(self, duty, target, verdict, took, load):
        """Keep a result of this instance's own and begin to spread it."""
        self.serial += 1
        result = ProbeResult(duty, target, self.me, self.serial, 0, verdict, took, load)
        self.keep(result, self.timers.now)
        self.spread(result)

    def keep(self, result, at):
        """The newest first, and behind it the newest of another prober."""
        key = result.duty, result.target
        others = [(old, when) for old, when in self.known.get(key, ()) if old.prober != result.prober]
        self.known[key] = sorted([(result, at), *others[:1]], key=lambda kept: -kept[1])

    def spread(self, result):
        live = len(self.live())
        if not live:
            return
        if live <= NEARBY:
            rounds = 2 if result.prober == self.me else 0
        else:
            rounds = ROUNDS
        if rounds:
            self.rumours[result.duty, result.target] = rounds
            if not self.going:
                self.going = True
                self.timers.schedule(self.timers.now + self.leasing.batch, self.flush)

    def flush(self):
        live, now = self.live(), self.timers.now
        self.going = bool(self.rumours)
        if not self.rumours:
            return
        keys = list(self.rumours)
        said = []
        for key in keys:
            held = self.known.get(key)
            self.rumours[key] -= 1
            if self.rumours[key] <= 0 or not held:
                del self.rumours[key]
            if held:
                said.append(held[0][0]._replace(age=now - held[0][1]))
        others = (
            live if len(live) <= NEARBY else self.timers.sample(live, min(self.leasing.copies, len(live)))
        )
        for at in range(0, len(said), CARRIED):
            message = ProbeResults(tuple(said[at : at + CARRIED]))
            for token in others:
                self.timers.emit(SendToMember(token, message))
        self.timers.schedule(now + self.leasing.batch, self.flush)

    def heard(self, results):
        """Take others' results in; give those that are new."""
        new, known, now, counts = [], self.known, self.timers.now - IN_FLIGHT, self.counts
        for result in results:
            duty, target, prober, serial, age, *_ = result
            held = known.get((duty, target))
            if held and (
                held[0][0][2:4] == (prober, serial) or self.is_known(held, prober, serial, now - age, duty)
            ):
                counts["known"] += 1  # most are, where it spreads as an epidemic
            elif not 0 <= result.duty < len(self.intervals) or result.age < 0:
                counts["unknown duty"] += 1
            elif prober == self.me:
                counts["known"] += 1
            elif not self.is_live(result.prober):
                counts["dead prober"] += 1
            elif result.age > self.intervals[result.duty]:
                counts["too old"] += 1
            else:
                at = now - age
                result = result._replace(age=age + IN_FLIGHT)
                self.keep(result, at)
                if self.known[result.duty, result.target][0][0] is result:
                    self.spread(result)
                counts["new"] += 1
                self.timers.emit(ResultShared(result))
                new.append((result, at))
        return new

    def is_known(self, held, prober, serial, at, duty):
        for old, when in held:
            if old.prober == prober:
                return serial <= old.serial
            if when > at + self.intervals[duty]:
                return True
        return False

    def answer(self, target, oldest):
        """The shared result that serves one who asks for a probe and takes an answer learnt within `oldest`,
        or None.

        A failure that one prober alone has met may be of its own way there; it does not serve.
        """
        now, fresh = self.timers.now, []
        for duty, interval in enumerate(self.intervals):
            fresh += [
                (result, at)
                for result, at in self.known.get((duty, target), ())
                if now - at < min(interval, oldest) and self.is_live(result.prober)
            ]
        if not fresh:
            return None
        result, at = max(fresh, key=lambda kept: kept[1])
        if (
            result.outcome != AttemptOutcome.SUCCEEDED
            and sum(other.outcome != AttemptOutcome.SUCCEEDED for other, _ in fresh) < AGREED
        ):
            return None
        return result._replace(age=now - at)

    def only(self, duty, targets):
        targets = set(targets)
        for key in [key for key in self.known if key[0] == duty and key[1] not in targets]:
            del self.known[key]
            self.rumours.pop(key, None)
