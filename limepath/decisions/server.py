"""One cache, parent or the origin: what is in flight there and whether it is healthy."""

from limepath.decisions.event_queue import Actor
from limepath.hashing import mix64
from limepath.interface.commands import SendProbe
from limepath.interface.events import AttemptOutcome, EndpointState
from limepath.interface.settings import Idempotency

ROOM, LEAST_ROOM = 2.1, 2  # transfers a member may hold per lane, of one front at least, at parents one more
EASED, LEAST_EASE = 0.7, 0.02  # share of its room that a strained member keeps each time, and at the least
QUIET, PACE = 200_000, 1_000_000  # least silence with an answer owed before a probe, and between probes
SILENCE = 2  # times that in which something out should be heard of, until silence is one
UNPROBED = 4  # times that again where no probe can tell a slow answer from none
DOUBT_AFTER, STRIKES = 2, 3  # probes unanswered in a row before a recall, connections broken before doubt
SATED, LONG_GONE = 0.95, 2_000_000  # load above which room shrinks; silence after which one is back empty
BROKEN = (AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED)


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
