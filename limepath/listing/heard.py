"""What other fronts tell of the list: heartbeats and events, checked against ours.

Free of I/O.
"""

from limepath.listing.component import Component
from limepath.listing.held import KEPT
from limepath.listing.interface import Place, Say
from limepath.listing.state import BadList, parsed, summary
from limepath.listing.upstream import BAD

IN_FLIGHT = 5_000  # microseconds added to an age for the way, which nobody measures


class Heard(Component):
    """`behind_since` is a place of our list and since when another is known to be ahead of it."""

    def __init__(self, listing):
        super().__init__(listing)
        self.behind_since = None

    def beat(self, token, message):
        now, place = self.agenda.now, self.held.list.place
        self.zones[token] = message.zone
        source = self.upstream.sources.get(token)
        if source is None:
            return
        source.beat, source.at, source.owes = message, now, None
        theirs = Place(message.generation, message.number)
        if theirs > place:
            source.behind = None
            few = (
                theirs.generation == place.generation
                and place.number
                and theirs.number - place.number <= KEPT
            )
            if (
                message.age >= 0
                and not self.snapshot.fetch
                and (not few or self.behind_for(theirs) > 2 * self.terms.beat)
            ):
                self.snapshot.begin(token, message.followers)
        elif theirs == place:
            source.behind = None
            if message.digest != self.held.list.digest:
                self.contradicted(token, f"another list at {place.number}")
            elif message.age >= 0 and place.number:
                self.held.confirm(now - message.age - IN_FLIGHT)
        elif 0 <= message.age < (self.held.age() or 0) and not self.held.late():
            source.behind = source.behind or now  # it says that it is up to date, and is not
            if now - source.behind > self.terms.patience:
                self.contradicted(token, f"up to date at {theirs.number}, others are at {place.number}")

    def behind_for(self, theirs):
        """How long we have lacked what another has."""
        if self.behind_since is None or self.behind_since[0] != self.held.list.place:
            self.behind_since = self.held.list.place, self.agenda.now
        return self.agenda.now - self.behind_since[1]

    def contradicted(self, token, why):
        """Two that should agree do not: it is passed over, and the service asked, for it may be us who are
        wrong.
        """
        source = self.upstream.sources.get(token)
        if source:
            source.bad_until, source.behind = self.agenda.now + BAD, None
        self.counts["contradictions"] += 1
        self.agenda.order(Say("list-contradiction", {"peer": f"{token:016x}", "why": why}))
        self.roles.suspicious = self.stream.whole = True
        if self.stream.state and self.stream.caught_up:  # we hold the service's own word
            self.roles.suspicious = self.stream.whole = False

    def nonsense(self, token, why):
        if token in self.upstream.sources:
            self.upstream.sources[token].bad_until = self.agenda.now + BAD
        self.counts["nonsense"] += 1
        self.agenda.order(Say("list-nonsense", {"peer": f"{token:016x}", "why": str(why)[:120]}))

    def events(self, token, message):
        if (
            token not in self.upstream.sources
            or message.generation != self.held.list.place.generation
            or not self.held.list.place.number
        ):
            return
        for at, text in enumerate(message.texts, message.first):
            try:
                told = parsed(text)
                if told["seq"] != at:
                    raise BadList(f"event {told['seq']} told as {at}")
            except BadList as flaw:
                return self.nonsense(token, flaw)
            if at == self.held.list.place.number + 1:
                self.held.advance(told, text)
            elif at in self.held.log and self.held.log[at][1] != summary(told):
                return self.contradicted(token, f"another event {at}")
        if message.first + len(message.texts) - 1 == self.held.list.place.number and message.age >= 0:
            self.held.confirm(self.agenda.now - message.age - IN_FLIGHT)
