"""The change log: its events from the configuration and from its stream, to notes and addresses."""

import json
from hashlib import blake2b
from zlib import crc32

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.protocol import Factory, Protocol

from limepath.configuration.addresses import address_of
from limepath.front.clock import clock
from limepath.interface.events import Endpoint, EndpointListUpdated, EndpointState, PurgeAnnounced, UpdateKind

STANDINGS = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}


class BadEvent(Exception):
    """An event that cannot be used, or not all of it: the members in it that can be read are applied."""


def ident_of(name):
    """The member's number, the same at every front and start."""
    return int.from_bytes(blake2b(name.encode(), digest_size=6).digest(), "big")


class Entry:
    """One line of the list: the module's member, and what the network code needs beside it."""

    __slots__ = ("member", "name", "address", "since")

    def __init__(self, told, zones, kinds, known, reference):
        self.name, self.address = told["id"], address_of(told["host_port"])
        self.since = int(told.get("up_since_ms") or 0)
        ident, old = ident_of(self.name), known.get(self.name)
        if old and old.since == self.since:
            started = old.member.started_at  # on the same clock as before, to the microsecond
        else:
            started = max(1, clock() - reference.age(self.since * 1000)) if self.since else 0
        self.member = Endpoint(
            STANDINGS[told["phase"]],
            ident,
            started,
            int(told.get("cell") or 0),
            zones.index(told["locality"]),
            kinds.index(told["flavor"]),
            float(told.get("size") or 1),
        )

    def turned(self, state):
        """The same member in this state."""
        self.member = self.member._replace(state=state)
        return self


class EventReader:
    """Server-sent events out of a stream split anywhere."""

    def __init__(self, longest):
        self.longest, self.rest, self.id, self.data = longest, b"", "", []
        self.line_feed_follows = False  # the bytes before ended in CR, which may be half of a line end

    def feed(self, data):
        if not data:
            return []
        if self.line_feed_follows:
            data = data.removeprefix(b"\n")
        self.line_feed_follows = data.endswith(b"\r")
        data = data.replace(b"\r\n", b"\n").replace(b"\r", b"\n")
        *lines, self.rest = (self.rest + data).split(b"\n")
        if len(self.rest) > self.longest:
            raise BadEvent("over-long line")
        events = []
        for raw in lines:
            line = raw.decode("utf-8", "replace")
            if not line:
                if self.data:
                    events.append((self.id, "\n".join(self.data)))
                self.data = []
                continue
            name, _, value = line.partition(":")
            value = value.removeprefix(" ")
            if name == "id":
                self.id = value
            elif name == "data":
                self.data.append(value)
                if sum(map(len, self.data)) > self.longest:
                    raise BadEvent("over-long event")
        return events


class Chunks:
    """Undoes the chunked transfer coding."""

    def __init__(self):
        self.rest, self.left = b"", 0

    def feed(self, data):
        self.rest += data
        out = []
        while self.rest:
            if self.left > 2:
                piece = self.rest[: self.left - 2]
                out.append(piece)
                self.left -= len(piece)
                self.rest = self.rest[len(piece) :]
            elif self.left:
                piece = self.rest[: self.left]
                self.left -= len(piece)
                self.rest = self.rest[len(piece) :]
            else:
                line, end, rest = self.rest.partition(b"\r\n")
                if not end:
                    break
                try:
                    self.left = int(line.split(b";")[0], 16) + 2
                except ValueError:
                    raise BadEvent("malformed chunk") from None
                self.rest = rest
        return b"".join(out)


def transfer_codings(head):
    """The words of a head's Transfer-Encoding fields, in small letters."""
    fields = [line.lower().partition(b":") for line in head.split(b"\r\n")[1:]]
    told = [value for name, _, value in fields if name == b"transfer-encoding"]
    return [word.strip() for value in told for word in value.split(b",")]


class Stream(Protocol):
    """One call of the change log."""

    def __init__(self, feed):
        self.feed, self.head, self.chunks = feed, b"", None
        self.reader, self.body, self.heard = EventReader(feed.limits.event), False, clock()

    def connectionMade(self):
        self.feed.stream = self
        self.transport.writeSequence(
            (
                b"GET /changes HTTP/1.1\r\nHost: ",
                self.feed.host.encode(),
                b"\r\nAccept: text/event-stream\r\nLast-Event-ID: %d\r\n\r\n" % self.feed.last,
            )
        )

    def dataReceived(self, data):
        self.heard = clock()
        try:
            if not self.body:
                self.head += data
                head, end, data = self.head.partition(b"\r\n\r\n")
                if not end:
                    if len(self.head) > self.feed.limits.head:
                        raise BadEvent("over-long head")
                    return
                status = head.split(b"\r\n")[0].split(b" ")
                if len(status) < 2 or status[1] != b"200":
                    raise BadEvent(f"answered {head[:40]!r}")
                self.body = True
                self.feed.answered(self)
                if b"chunked" in transfer_codings(head):
                    self.chunks = Chunks()
            if self.chunks:
                data = self.chunks.feed(data)
            for number, text in self.reader.feed(data):
                self.feed.event(number, text)
                self.feed.pauses = 0
        except BadEvent as flaw:
            self.feed.log.say("changelog", f"{flaw}; called anew")
            self.transport.abortConnection()

    def connectionLost(self, reason):
        self.feed.lost(self)


class ChangeLog:
    """Follows the change log from the last event that is known."""

    def __init__(self, reactor, turn, caches, limits, log, settings, seed):
        self.reactor, self.turn, self.caches, self.limits, self.log = reactor, turn, caches, limits, log
        self.zones, self.kinds, self.seed = list(settings["areas"]), list(settings["models"]), seed
        self.entries, self.last, self.pauses, self.calls = {}, 0, 0, 0
        self.stream, self.coming, self.doubted = None, None, None
        self.unanswered = []  # earlier calls without an answer: the first that is answered will do

    def known(self, known):
        """Take in the events of the start: first the times in all of them, from which their ages follow."""
        for told in known["results"]:
            self.hear_times(told)
        for told in known["results"]:
            self.apply(told)
        self.last = max(self.last, known["seq"])

    def event(self, number, text):
        """Take the next event in. A bad one, or one after a gap, has the log called anew; met again it is
        skipped, or the gap taken for real: a lost event may be a drain or a purge."""
        told = None
        try:
            told = json.loads(text)
            if not isinstance(told, dict) or type(told.get("seq")) is not int:
                raise BadEvent("no numbered event")
            if told["seq"] <= self.last:
                return
            if told["seq"] > self.last + 1 and self.doubted != number:
                raise BadEvent(f"comes after {self.last}")
            self.take(told)
            self.last, self.doubted = told["seq"], None
        except (BadEvent, ValueError) as flaw:
            if self.doubted != number:
                self.doubted = number
                raise BadEvent(f"event {number}: {flaw}") from None
            self.log.say("changelog", f"{flaw}; skipped", number=number)
            self.last = max(self.last, int(number) if number.isdigit() else 0)

    def hear_times(self, told):
        """Tell the reference clock when what this event speaks of was."""
        try:
            if "fleet" in told:
                since = max(
                    (int(line.get("up_since_ms") or 0) for line in told["fleet"]["members"]), default=0
                )
            else:
                since = int(told["invalidate"]["time"])
        except (KeyError, ValueError, TypeError, AttributeError):
            return  # `take` says what is wrong with it
        if since:
            self.caches.reference.hear(since * 1000)

    def take(self, told):
        self.hear_times(told)
        self.apply(told)

    def apply(self, told):
        try:
            if "fleet" in told:
                self.fleet(told["fleet"])
            elif "invalidate" in told:
                self.invalidated(told["invalidate"])
        except (KeyError, ValueError, TypeError, AttributeError) as flaw:
            raise BadEvent(f"{type(flaw).__name__}: {flaw}") from None

    def fleet(self, told):
        entries, flaws = self.entries_of(told["members"])
        whole = told.get("complete", False)
        news = list(entries)
        if whole:
            named = {entry.name for entry in entries}
            news = [
                self.entries[name].turned(EndpointState.REMOVED) for name in self.entries if name not in named
            ] + news
        for entry in news:
            self.entries[entry.name] = entry
            if entry.member.state == EndpointState.REMOVED:
                del self.entries[entry.name]
            self.caches.listed(
                entry.member.id,
                entry.name,
                entry.address,
                entry.since,
                entry.member.state,
                entry.member.kind,
            )
        out = {entry.member.id for entry in news if entry.member.state != EndpointState.READY}
        if out:  # once for all of them: each asks every member for what waits there
            self.caches.cancel_waiting(
                lambda command, request: not out.isdisjoint((command.endpoint, command.source))
            )
        listing = UpdateKind.FULL if whole else UpdateKind.DELTA
        self.turn.gather(
            EndpointListUpdated(
                listing, int(told.get("revision", 0)), tuple(entry.member for entry in entries)
            )
        )
        if flaws:
            raise BadEvent("; ".join(flaws[:3]))

    def entries_of(self, lines):
        """The members of a list that can be read, and what is wrong with the others: one that cannot must not
        hide the drain of another. Of a known member its state is taken all the same.
        """
        entries, flaws = [], []
        for line in lines:
            try:
                entries.append(Entry(line, self.zones, self.kinds, self.entries, self.caches.reference))
            except (KeyError, ValueError, TypeError, AttributeError) as flaw:
                flaws.append(f"{type(flaw).__name__}: {flaw}")
                known = isinstance(line, dict) and self.entries.get(line.get("id"))
                if known and line.get("phase") in STANDINGS:
                    entries.append(known.turned(STANDINGS[line["phase"]]))
        return entries, flaws

    def invalidated(self, told):
        age = self.caches.reference.age(int(told["time"]) * 1000)
        purge = (
            PurgeAnnounced(0, age, int(told["object"], 16))
            if "object" in told
            else PurgeAnnounced(int(told["bucket"]), age, 0)
        )
        self.caches.purged(purge)
        self.turn.gather(purge)

    def follow(self, host, port):
        """Follow the log at this address, from the last event taken in, and none before it any more."""
        self.host, self.port, self.pauses = host, port, 0
        self.let_go_of_others(None)
        self.call()

    def let_go_of_others(self, stream):
        """End all calls but this one: those under way, the pause before one, and those not answered yet."""
        others = [one for one in (*self.unanswered, self.stream) if one not in (None, stream)]
        self.stream, self.unanswered = stream, []
        if self.coming:
            self.coming.cancel()
            self.coming = None
        for one in others:
            one.transport.abortConnection()

    def answered(self, stream):
        """The first answer to any of the calls."""
        self.let_go_of_others(stream)

    def call(self):
        endpoint = TCP4ClientEndpoint(self.reactor, self.host, self.port, timeout=self.limits.connect / 1e6)
        self.coming = endpoint.connect(Factory.forProtocol(lambda: Stream(self)))
        self.coming.addCallbacks(self.came_up, self.never_came_up)

    def came_up(self, stream):
        self.coming = None

    def never_came_up(self, failure):
        if not failure.check(ConnectingCancelledError):  # another address is followed now
            self.again(failure.getErrorMessage())

    def lost(self, stream):
        if stream in self.unanswered:
            self.unanswered.remove(stream)
        elif stream is self.stream:
            self.stream = None
            self.again("the stream ended")

    def again(self, why):
        """Call again after a pause that doubles, give or take half."""
        self.log.say("changelog", f"{why}; calls again", after=self.last)
        pause = min(self.limits.feed_longest_pause, self.limits.feed_pause << min(10, self.pauses))
        self.pauses, self.calls = self.pauses + 1, self.calls + 1
        share = 0.5 + crc32(b"%d:%d" % (self.seed, self.calls)) / 2**32
        self.coming = self.reactor.callLater(pause * share / 1e6, self.call)

    def sweep(self):
        """Call anew where the log is silent. A call that was never answered is left open beside the new one:
        the log may only be slow, at each call.
        """
        stream = self.stream
        if stream is None or clock() - stream.heard <= self.limits.feed_silence:
            return
        self.log.say("changelog", "silent")
        if stream.body:
            stream.transport.abortConnection()
            return
        if len(self.unanswered) >= self.limits.feed_unanswered:
            self.unanswered.pop(0).transport.abortConnection()
        self.unanswered.append(stream)
        self.stream = None
        self.again("not answered yet")
