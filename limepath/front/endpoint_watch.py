"""The watch on the endpoint list: events of the configuration and of the list service, to the decisions."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, NamedTuple
from zlib import crc32

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.protocol import Factory

from limepath.front.clock import clock
from limepath.front.endpoint_entry import STATES, EndpointEntry
from limepath.front.event_stream import EventStream
from limepath.front.watch_error import WatchError
from limepath.interface.events import EndpointListUpdated, EndpointState, PurgeAnnounced, UpdateKind

if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from limepath.configuration.process_limits import Limits
    from limepath.front.decision_loop import DecisionLoop
    from limepath.front.servers import Servers
    from limepath.log import Log

MICROSECONDS = 1e6
MAX_DOUBLINGS = 10  # of the pause between calls
MAX_ERRORS_LOGGED = 3  # of the lines of one event
UNREADABLE = (KeyError, ValueError, TypeError, AttributeError)  # what an event of a wrong form raises


class ReadEntries(NamedTuple):
    """The entries of an event: those that could be read, and what is wrong with the others."""

    entries: list[EndpointEntry]
    errors: list[str]


class EndpointWatch:
    """Owns the endpoint list as received, and the calls to the list service."""

    host: str  # of the list service, set by `follow`
    port: int

    def __init__(
        self,
        reactor,
        decision_loop: DecisionLoop,
        servers: Servers,
        limits: Limits,
        log: Log,
        settings: dict,
        seed: int,
    ):
        self.reactor = reactor
        self.decision_loop = decision_loop
        self.servers = servers
        self.limits = limits
        self.log = log
        self.zones = list(settings["areas"])
        self.kinds = list(settings["models"])
        self.seed = seed
        self.entries: dict[str, EndpointEntry] = {}  # by name
        self.last = 0  # number of the last event taken in
        self.suspect_event: str | None = None  # the number of one that could not be used
        self.pauses = 0  # since the last event
        self.calls = 0
        self.stream: EventStream | None = None  # the call that is up
        self.coming = None  # a call on its way (a Deferred), or the timer of the next
        self.unanswered: list[EventStream] = []  # earlier calls without an answer: the first answered will do

    # Events

    def load_known_events(self, known: dict) -> None:
        """Take in the events of the configuration: first the times in all of them, which ages follow from.

        Raises WatchError for one that cannot be used.
        """
        for event in known["results"]:
            self._observe_times(event)
        for event in known["results"]:
            self._apply_contents(event)
        self.last = max(self.last, known["seq"])

    def handle_event(self, number: str, text: str) -> None:
        """Take the stream's next event in.

        Raises WatchError for a bad event, or one after a gap, so that the service is called again; met again
        it is skipped, or the gap taken for real: a lost event may be a drain or a purge.
        """
        try:
            event = json.loads(text)
            if not isinstance(event, dict) or type(event.get("seq")) is not int:
                raise WatchError("no numbered event")
            if event["seq"] <= self.last:
                return
            if event["seq"] > self.last + 1 and self.suspect_event != number:
                raise WatchError(f"comes after {self.last}")
            self.apply_event(event)
            self.last = event["seq"]
            self.suspect_event = None
        except (WatchError, ValueError) as error:
            if self.suspect_event != number:
                self.suspect_event = number
                raise WatchError(f"event {number}: {error}") from None
            self.log.info("changelog", f"{error}; skipped", number=number)
            self.last = max(self.last, int(number) if number.isdigit() else 0)

    def apply_event(self, event: dict) -> None:
        """Take in an event; raises WatchError where it, or a part of it, cannot be used."""
        self._observe_times(event)
        self._apply_contents(event)

    def _observe_times(self, event: dict) -> None:
        """Hand the reference clock the times in this event, which are of something past."""
        try:
            if "fleet" in event:
                starts = (int(line.get("up_since_ms") or 0) for line in event["fleet"]["members"])
                latest = max(starts, default=0)
            else:
                latest = int(event["invalidate"]["time"])
        except UNREADABLE:
            return  # `_apply_contents` says what is wrong with it
        if latest:
            self.servers.reference.observe(latest * 1000)

    def _apply_contents(self, event: dict) -> None:
        try:
            if "fleet" in event:
                self.apply_update(event["fleet"])
            elif "invalidate" in event:
                self.apply_purge(event["invalidate"])
        except UNREADABLE as error:
            raise WatchError(f"{type(error).__name__}: {error}") from None

    def apply_update(self, update: dict) -> None:
        """Apply an endpoint update, complete or not; raises WatchError where lines of it cannot be read."""
        entries, errors = self._read_entries(update["members"])
        is_complete = update.get("complete", False)
        changed = (self._removed_entries(entries) if is_complete else []) + entries
        for entry in changed:
            self._update_entry(entry)
        unready = {entry.endpoint.id for entry in changed if entry.endpoint.state != EndpointState.READY}
        if unready:  # once for all of them: each asks every endpoint for what waits there
            self.servers.cancel_waiting(
                lambda command, request: not unready.isdisjoint((command.endpoint, command.source))
            )
        kind = UpdateKind.FULL if is_complete else UpdateKind.DELTA
        endpoints = tuple(entry.endpoint for entry in entries)
        self.decision_loop.gather(EndpointListUpdated(kind, int(update.get("revision", 0)), endpoints))
        if errors:
            raise WatchError("; ".join(errors[:MAX_ERRORS_LOGGED]))

    def _removed_entries(self, entries: list[EndpointEntry]) -> list[EndpointEntry]:
        """Those that a complete list names no more."""
        named = {entry.name for entry in entries}
        removed = [entry for name, entry in self.entries.items() if name not in named]
        for entry in removed:
            entry.set_state(EndpointState.REMOVED)
        return removed

    def _update_entry(self, entry: EndpointEntry) -> None:
        endpoint = entry.endpoint
        self.entries[entry.name] = entry
        if endpoint.state == EndpointState.REMOVED:
            del self.entries[entry.name]
        self.servers.update_endpoint(
            endpoint.id, entry.name, entry.address, entry.started_ms, endpoint.state, endpoint.kind
        )

    def _read_entries(self, lines: list) -> ReadEntries:
        """Read the lines of a list: one that cannot be read must not hide the drain of another. Of a known
        endpoint the state is taken all the same.
        """
        entries, errors = [], []
        for line in lines:
            try:
                entry = EndpointEntry(line, self.zones, self.kinds, self.entries, self.servers.reference)
                entries.append(entry)
            except UNREADABLE as error:
                errors.append(f"{type(error).__name__}: {error}")
                known = isinstance(line, dict) and self.entries.get(line.get("id"))
                if known and line.get("phase") in STATES:
                    known.set_state(STATES[line["phase"]])
                    entries.append(known)
        return ReadEntries(entries, errors)

    def apply_purge(self, purge: dict) -> None:
        """Apply a purge of one object or of a group."""
        age = self.servers.reference.age(int(purge["time"]) * 1000)
        if "object" in purge:
            announced = PurgeAnnounced(0, age, int(purge["object"], 16))
        else:
            announced = PurgeAnnounced(int(purge["bucket"]), age, 0)
        self.servers.apply_purge(announced)
        self.decision_loop.gather(announced)

    # Calls

    def follow(self, host: str, port: int) -> None:
        """Watch at this address, from the last event taken in; calls to any other are dropped."""
        self.host = host
        self.port = port
        self.pauses = 0
        self._drop_other_calls(None)
        self._call()

    def _drop_other_calls(self, stream: EventStream | None) -> None:
        """End all calls but this one: those under way, the pause before one, and those not answered yet."""
        others = [one for one in (*self.unanswered, self.stream) if one not in (None, stream)]
        self.stream = stream
        self.unanswered = []
        if self.coming:
            self.coming.cancel()
            self.coming = None
        for one in others:
            one.transport.abortConnection()

    def handle_answer(self, stream: EventStream) -> None:
        """The first answer to any of the calls."""
        self._drop_other_calls(stream)

    def _call(self) -> None:
        timeout = self.limits.connect / MICROSECONDS
        endpoint = TCP4ClientEndpoint(self.reactor, self.host, self.port, timeout=timeout)
        self.coming = endpoint.connect(Factory.forProtocol(lambda: EventStream(self)))
        self.coming.addCallbacks(self.connected, self._connect_failed)

    def connected(self, stream: EventStream) -> None:
        """A call is up."""
        self.coming = None

    def _connect_failed(self, failure: Failure) -> None:
        if not failure.check(ConnectingCancelledError):  # another address is followed now
            self._call_again(failure.getErrorMessage())

    def handle_disconnect(self, stream: EventStream) -> None:
        """A call has ended."""
        if stream in self.unanswered:
            self.unanswered.remove(stream)
        elif stream is self.stream:
            self.stream = None
            self._call_again("the stream ended")

    def _call_again(self, reason: str) -> None:
        """Call again after a backoff that doubles, give or take half."""
        self.log.info("changelog", f"{reason}; calls again", after=self.last)
        backoff = self.limits.feed_pause << min(MAX_DOUBLINGS, self.pauses)
        pause = min(self.limits.feed_longest_pause, backoff)
        self.pauses += 1
        self.calls += 1
        jitter = 0.5 + crc32(b"%d:%d" % (self.seed, self.calls)) / 2**32
        self.coming = self.reactor.callLater(pause * jitter / MICROSECONDS, self._call)

    def sweep(self) -> None:
        """Call again where the service is silent. A call that was never answered is left open beside the new
        one: the service may only be slow, at each call.
        """
        stream = self.stream
        if stream is None or clock() - stream.last_read_at <= self.limits.feed_silence:
            return
        self.log.info("changelog", "silent")
        if stream.is_accepted:
            stream.transport.abortConnection()
            return
        if len(self.unanswered) >= self.limits.feed_unanswered:
            self.unanswered.pop(0).transport.abortConnection()
        self.unanswered.append(stream)
        self.stream = None
        self._call_again("not answered yet")
