"""What other fronts tell of the list: heartbeats and events, checked against ours.

Free of I/O.
"""

from limepath.discovery.component import Component
from limepath.discovery.event_checks import InvalidEventError, parse_event
from limepath.discovery.event_coding import CodingError, decode_batch
from limepath.discovery.interface import LogEvent, Revision, SendToMember, SubscriptionMode
from limepath.discovery.upstream import BAD_PEER_US

ASSUMED_DELAY_US = 5_000  # microseconds added to an age for the way, where no stamp measures it
DEFAULT_HELD_EVENTS = 512  # events that one keeps at the least who does not tell how far it reaches
REORDERING_TIMEOUT_US = 50_000  # until a batch that another has overtaken counts as lost
MAX_EARLY_BATCHES = 16  # batches kept meanwhile
MAX_STAMP_AGE_US = 60_000_000  # for which an answer to a Follow counts as one


class EventIntake(Component):
    """`behind_since` is a place of our list and since when another is known to be ahead of it."""

    def __init__(self, listing):
        super().__init__(listing)
        self.behind_since = None
        self.early = {}
        self.waits = False  # batches that came before those before them, by first event

    def beat(self, token, message):
        now, place = self.timers.now, self.held.list.place
        self.scopes.learn(token, message.zone, message.site)
        source = self.upstream.sources.get(token)
        if source is None:
            return
        source.beat = message
        source.at = now
        source.owes = None
        theirs = Revision(message.generation, message.number)
        if message.refused:
            return self.tree.turned_away(token)
        if theirs > place:
            source.behind = None
            few = self.can_tell(message, theirs)
            if few:
                self.tree.heard_of(theirs.number)
            if (
                message.age >= 0
                and not self.snapshot.fetch
                and not self.pages.transfer
                and (not few or self.behind_for(theirs) > 2 * self.terms.beat + self.tree.patience())
            ):
                self.fetch(token, message)
        elif theirs == place:
            source.behind = None
            if message.digest != self.held.list.digest:
                self.contradicted(token, f"another list at {place.number}")
            elif message.age >= 0 and place.number:
                self.held.confirm(self.vouched(message.age, message.stamp))
        elif self.tree.on and message.age + ASSUMED_DELAY_US >= (self.held.age() or 0) - self.tree.patience():
            source.behind = None  # it told this before the last events came
        elif 0 <= message.age < (self.held.age() or 0) and not self.held.late():
            source.behind = source.behind or now  # it says that it is up to date, and is not
            if now - source.behind > self.terms.patience:
                self.contradicted(token, f"up to date at {theirs.number}, others are at {place.number}")

    def fetch(self, token, message):
        """Ask for the whole list, packed as one; or for what differs of it, if the other can tell that."""
        if self.tree.on and message.site and self.held.list.place.number:
            self.pages.begin(token)
        else:
            self.snapshot.begin(token, message.followers)

    def can_tell(self, message, theirs):
        """Whether the sender of a Beat holds all events that we lack."""
        place = self.held.list.place
        if theirs.generation != place.generation or not place.number:
            return False
        if message.reaches < 0:
            return theirs.number - place.number <= DEFAULT_HELD_EVENTS
        return place.number + 1 >= message.reaches

    def vouched(self, age, stamp, since=0):
        """When the service stood where a message says: `age` before it was sent, which was `since` after our
        Follow of that stamp had come, so not before that.
        """
        now = self.timers.now
        if 0 < stamp and 0 <= now - stamp - since < MAX_STAMP_AGE_US:
            return stamp + since - age
        return now - age - ASSUMED_DELAY_US

    def behind_for(self, theirs):
        """How long we have lacked what another has."""
        if self.behind_since is None or self.behind_since[0] != self.held.list.place:
            self.behind_since = self.held.list.place, self.timers.now
        return self.timers.now - self.behind_since[1]

    def contradicted(self, token, why):
        """Two that should agree do not: it is passed over, and the service asked, for it may be us who are
        wrong.
        """
        source = self.upstream.sources.get(token)
        if source:
            source.bad_until = self.timers.now + BAD_PEER_US
            source.behind = None
        self.counts["contradictions"] += 1
        self.timers.emit(LogEvent("list-contradiction", {"peer": f"{token:016x}", "why": why}))
        self.roles.suspicious = True
        self.stream.whole = True
        if self.stream.state and self.stream.caught_up:  # we hold the service's own word
            self.roles.suspicious = False
            self.stream.whole = False

    def nonsense(self, token, why):
        if token in self.upstream.sources:
            self.upstream.sources[token].bad_until = self.timers.now + BAD_PEER_US
        self.counts["nonsense"] += 1
        self.timers.emit(LogEvent("list-nonsense", {"peer": f"{token:016x}", "why": str(why)[:120]}))

    def events(self, token, message):
        if (
            token not in self.upstream.sources
            or message.generation != self.held.list.place.generation
            or not self.held.list.place.number
        ):
            return
        for at, text in enumerate(message.texts, message.first):
            try:
                told = parse_event(text)
                if told["seq"] != at:
                    raise InvalidEventError(f"event {told['seq']} told as {at}")
            except InvalidEventError as flaw:
                return self.nonsense(token, flaw)
            if at == self.held.list.place.number + 1:
                self.held.advance(told, text)
            elif self.held.contradicts(told):
                return self.contradicted(token, f"another event {at}")
        if message.first + len(message.texts) - 1 == self.held.list.place.number and message.age >= 0:
            self.held.confirm(self.timers.now - message.age - ASSUMED_DELAY_US)

    def batch(self, token, message):
        """Events from the parent, or from the backup that was asked for them."""
        held = self.held
        if (
            token not in self.upstream.sources
            or message.generation != held.list.place.generation
            or not held.list.place.number
        ):
            return
        try:
            events = decode_batch(message.data)
        except CodingError as error:
            return self.nonsense(token, error)
        first, last = events[0].told["seq"], events[-1].told["seq"]
        if first != message.first:
            return self.nonsense(token, f"events from {first} told as {message.first}")
        self.tree.heard_of(last)
        if first > held.list.place.number + 1:
            return self.came_early(token, message)
        self.counts["doubled"] += sum(event.told["seq"] <= held.list.place.number for event in events)
        for told, text in events:
            if told["seq"] == held.list.place.number + 1:
                held.advance(told, text)
            elif held.contradicts(told):
                return self.contradicted(token, f"another event {told['seq']}")
        if last == held.list.place.number and message.age >= 0:
            held.confirm(self.vouched(message.age, message.stamp, message.since))
        if (following := self.early.pop(held.list.place.number + 1, None)) is not None:
            self.batch(*following)

    def came_early(self, token, message):
        """Keep a batch that another has overtaken, for a while; or that one was lost."""
        if len(self.early) < MAX_EARLY_BATCHES:
            self.early[message.first] = token, message
        if not self.waits:
            self.waits = True
            self.timers.schedule(self.timers.now + REORDERING_TIMEOUT_US, self.ask_again, token)

    def ask_again(self, token):
        """Unless what was overtaken has come, it was lost: ask for it."""
        self.waits = False
        number = self.held.list.place.number
        self.early = {first: kept for first, kept in self.early.items() if first > number + 1}
        if self.early:
            self.counts["gaps"] += 1
            self.early.clear()
            self.timers.emit(
                SendToMember(token, self.roles.subscription(SubscriptionMode.BATCHES, lacks=True))
            )
