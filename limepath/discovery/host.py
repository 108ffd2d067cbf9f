"""Beside a front that shares: the list comes by `relay`'s word, from the service's stream or from other
fronts; carried out here.
"""

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.protocol import Factory

from limepath.discovery.engine import DiscoveryEngine
from limepath.discovery.interface import (
    MESSAGES,
    ApplyEvent,
    CloseStream,
    FrontReady,
    ListConfirmed,
    ListFreshnessChanged,
    LogEvent,
    OpenStream,
    PeerMessage,
    SaveSnapshot,
    SendToMember,
    ServiceMoved,
    StreamActive,
    StreamClosed,
    StreamEventReceived,
    StreamOpened,
)
from limepath.duties.host import clock
from limepath.frequency_exchange.host import Tallies
from limepath.front.changelog import BadEvent, ChangeLog, Stream
from limepath.interface.events import EndpointListFreshnessChanged, PurgeAnnounced
from limepath.logic_host import LogicHost

SAVED_LIST_ROW = "list"  # of the store


class WatchStream(Stream):
    """A stream that tells when the service has accepted the call, and each time it says that it is alive."""

    def dataReceived(self, data):
        before, events = self.body, self.feed.events_heard
        super().dataReceived(data)
        if self.body and not before:
            self.feed.gather(StreamOpened())
        elif self.body and self.feed.events_heard == events and not (self.reader.rest or self.reader.data):
            self.feed.gather(StreamActive())


class DiscoveryChangeLog(ChangeLog):
    """The list of a front that shares. `cooperation` carries messages to other instances and keeps the
    store.
    """

    def __init__(self, reactor, turn, caches, limits, log, settings, seed, cooperation, terms):
        super().__init__(reactor, turn, caches, limits, log, settings, seed)
        self.cooperation = cooperation
        members = cooperation.instance.members
        self.logic = DiscoveryEngine(
            members.me.token, terms, seed, lambda: members.ring, cooperation.store.all().get(SAVED_LIST_ROW)
        )
        self.logic_host = LogicHost(reactor, clock, self.logic, self.execute, self.failed)
        self.serial = 0
        self.oldest = -1
        self.confirmed = None  # called once the front's list is the service's and its turn has come
        self.paced = None

    def known(self, known):
        """What the configuration holds is as old as its file; the service or a relay tells."""

    def follow(self, host, port):
        """The address of the service; the logic says when to call."""
        moved = hasattr(self, "host")
        self.host = host
        self.port = port
        if moved:
            self.gather(ServiceMoved())
        else:
            self.logic_host.carry_out(self.logic.start(clock()))
            self.tallies.start()

    def gather(self, *notes):
        self.logic_host.submit(*notes)

    def failed(self, error):
        """GETs go on with the list as it is; the next beat tries again."""
        self.log.fault("listing", error)

    def heard(self, sender, message):
        """A message of another instance that is not of the duties."""
        if isinstance(message, MESSAGES):
            self.gather(PeerMessage(sender.token, message))

    def execute(self, order):
        if isinstance(order, SendToMember):
            self.cooperation.reach(order.token, order.message)
        elif isinstance(order, ApplyEvent):
            self.give(order)
        elif isinstance(order, OpenStream):
            self.call_after(order.after)
        elif isinstance(order, CloseStream):
            self.hang_up()
        elif isinstance(order, SaveSnapshot):
            if not self.cooperation.over:
                self.cooperation.writes.put({SAVED_LIST_ROW: order.data})
        elif isinstance(order, ListConfirmed):
            self.log.say(
                "list-confirmed",
                number=order.place.number,
                generation=order.place.generation,
                age_ms=order.age // 1000,
            )
        elif isinstance(order, FrontReady):
            if self.confirmed:
                self.confirmed()
        elif isinstance(order, ListFreshnessChanged):
            self.turn.gather(EndpointListFreshnessChanged(order.late))
            self.log.say("list-late" if order.late else "list-in-time")
        elif isinstance(order, LogEvent):
            self.log.say(order.event, **order.fields)

    def give(self, order):
        self.oldest = order.oldest
        try:
            self.take(order.told)
        except BadEvent as flaw:  # its form was checked; what it names this front does not know
            self.log.say("changelog", f"{flaw}; skipped", number=order.told["seq"])
        self.last = order.told["seq"]

    def fleet(self, told):
        try:
            super().fleet(told)
        finally:  # some of it may have been unreadable
            if self.paced:
                self.paced.look()

    def invalidated(self, told):
        """A purge is no older than this front's list was up to date, whatever the clocks say."""
        if self.oldest < 0:
            return super().invalidated(told)
        plain = self.turn
        self.turn = _PurgeAgeLimit(self.turn, self.oldest)
        try:
            super().invalidated(told)
        finally:
            self.turn = plain

    # The stream

    def call_after(self, after):
        self.serial += 1
        serial = self.serial
        endpoint = TCP4ClientEndpoint(self.reactor, self.host, self.port, timeout=self.limits.connect / 1e6)
        feed = _StreamFeed(self, serial, after)
        self.coming = endpoint.connect(Factory.forProtocol(lambda: WatchStream(feed)))
        self.coming.addCallbacks(self.came_up, lambda failure: self.did_not_come(failure, serial))

    def did_not_come(self, failure, serial):
        self.coming = None
        if not failure.check(ConnectingCancelledError) and serial == self.serial:
            self.gather(StreamClosed(failure.getErrorMessage()[:120]))

    def hang_up(self):
        self.serial += 1  # what still comes of the former call is nobody's
        if self.coming:
            self.coming.cancel()
        if self.stream:
            self.stream.transport.abortConnection()
        self.stream = None
        self.coming = None

    def sweep(self):
        """Silence is the logic's to judge."""

    def shown(self):
        self.logic.timers.now = clock()
        return self.logic.shown()


def create_change_log(reactor, turn, caches, limits, log, front, cooperation, terms):
    """The GuidedChangeLog of a front, whose Opening is `front`; it hears what instances tell each other of
    the list.
    """
    zone = front.settings["areas"][front.settings["az"]]
    gone = int(front.settings.get("family-info", {}).get("gone-everywhere", 0)) // 1000  # told in nanoseconds
    terms = terms._replace(zone=zone, gone=gone or terms.gone)
    changes = DiscoveryChangeLog(
        reactor, turn, caches, limits, log, front.settings, front.seed, cooperation, terms
    )
    cooperation.guests.append(changes)
    changes.tallies = Tallies(reactor, turn, cooperation, front.seed ^ 0x7A11)
    cooperation.hearers.append(changes.tallies)
    if cooperation.told.connections:
        from limepath.connection_pacing.host import Paced

        members = cooperation.instance.members
        changes.paced = Paced(
            reactor,
            turn,
            caches,
            float(cooperation.told.connections),
            lambda: max(terms.fronts, len(members.ring) + 1),
            changes.logic.timers.random_fraction,
        )
    cooperation.views["listing"] = changes.shown
    return changes


class _StreamFeed:
    """What one stream knows of its change log: so that a former call's bytes reach nobody."""

    def __init__(self, changes, serial, last):
        self.changes = changes
        self.serial = serial
        self.last = last
        self.pauses = 0
        self.events_heard = 0
        self.host = changes.host
        self.limits = changes.limits
        self.log = changes.log

    @property
    def stream(self):
        return self.changes.stream

    @stream.setter
    def stream(self, stream):
        if self.serial == self.changes.serial:
            self.changes.stream = stream

    def answered(self, stream):
        """Nothing to let go of: there is one call at a time."""

    def event(self, number, text):
        self.events_heard += 1
        self.gather(StreamEventReceived(text, number))

    def gather(self, *notes):
        if self.serial == self.changes.serial:
            self.changes.gather(*notes)

    def lost(self, stream):
        if self.changes.stream is stream:
            self.changes.stream = None
        self.gather(StreamClosed("the stream ended"))


class _PurgeAgeLimit:
    """A turn to which no purge is older than so many microseconds."""

    def __init__(self, turn, oldest):
        self.turn = turn
        self.oldest = oldest

    def gather(self, *notes):
        self.turn.gather(
            *(
                note._replace(age=min(note.age, self.oldest)) if isinstance(note, PurgeAnnounced) else note
                for note in notes
            )
        )
