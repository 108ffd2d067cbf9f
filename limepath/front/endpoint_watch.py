"""Watches the endpoint list: passes events of the configuration and of the list service to the decisions."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING
from zlib import crc32

from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.protocol import Factory

from limepath.front.address_owners import AddressOwners, incarnation_of
from limepath.front.clock import clock
from limepath.front.endpoint_entry import MALFORMED_EVENT_ERRORS, EndpointEntry, parse_entries
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
MAX_BACKOFF_DOUBLINGS = 10  # of the reconnect backoff
MAX_ERRORS_LOGGED = 3  # per event


class EndpointWatch:
    """Owns the endpoint list as received, and the streams of the list service."""

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
        self.address_owners = AddressOwners()
        self.last_seq = 0  # number of the last event applied
        self.is_loaded = False  # whether the events of the configuration have been applied
        self.suspect_event: str | None = None  # number of an event that was rejected once
        self.reconnects_without_event = 0  # reconnects since the last event
        self.reconnect_count = 0  # reconnects since the start
        self.stream: EventStream | None = None  # the current connection
        self.pending_connect = None  # the Deferred of a pending connect, or the timer of the next one
        self.unanswered_streams: list[EventStream] = []  # older connections; the first to be answered is used

    # Events

    def load_known_events(self, known: dict) -> None:
        """Apply the events of the configuration.

        The reference clock observes the times in all events first, because ages are computed from them.

        Raises WatchError for a malformed event.
        """
        for event in known["results"]:
            self._observe_times(event)
        for event in known["results"]:
            self._apply_contents(event)
        self.last_seq = max(self.last_seq, known["seq"])
        self.is_loaded = True

    def handle_event(self, number: str, text: str) -> None:
        """Apply the next event of the stream.

        Raises WatchError for a malformed event, or an event after a gap in the numbers, so that the front
        reconnects and receives it again: a lost event may be a drain or a purge. The second time, a malformed
        event is skipped and a gap is accepted.
        """
        try:
            event = json.loads(text)
            if not isinstance(event, dict) or type(event.get("seq")) is not int:
                raise WatchError("not an object with an integer seq")
            if event["seq"] <= self.last_seq:
                return
            if event["seq"] > self.last_seq + 1 and self.suspect_event != number:
                raise WatchError(f"gap in the numbers: the last event was {self.last_seq}")
            self.apply_event(event)
            self.last_seq = event["seq"]
            self.suspect_event = None
        except (WatchError, ValueError) as error:
            if self.suspect_event != number:
                self.suspect_event = number
                raise WatchError(f"event {number}: {error}") from None
            self.log.info("changelog", f"{error}; skipped", number=number)
            self.last_seq = max(self.last_seq, int(number) if number.isdigit() else 0)

    def apply_event(self, event: dict, purge_age: int = 0) -> None:
        """Apply an event; raises WatchError if it is malformed, or a part of it.

        A purge in it counts as `purge_age` microseconds old; see `apply_purge`.
        """
        self._observe_times(event)
        self._apply_contents(event, purge_age)

    def _observe_times(self, event: dict) -> None:
        """Pass the times in this event, all of which are in the past, to the reference clock."""
        try:
            if "fleet" in event:
                starts = (int(line.get("up_since_ms") or 0) for line in event["fleet"]["members"])
                latest = max(starts, default=0)
            else:
                latest = int(event["invalidate"]["time"])
        except MALFORMED_EVENT_ERRORS:
            return  # `_apply_contents` raises the error
        if latest:
            self.servers.reference.observe(latest * 1000)

    def _apply_contents(self, event: dict, purge_age: int = 0) -> None:
        try:
            if "fleet" in event:
                self.apply_update(event["fleet"])
            elif "invalidate" in event:
                self.apply_purge(event["invalidate"], purge_age)
        except MALFORMED_EVENT_ERRORS as error:
            raise WatchError(f"{type(error).__name__}: {error}") from None

    def apply_update(self, update: dict) -> None:
        """Apply a full or partial endpoint update; raises WatchError if some of its entries are malformed."""
        is_complete = update.get("complete", False)
        entries, errors = parse_entries(
            update["members"],
            self.zones,
            self.kinds,
            self.entries,
            self.servers.reference,
            self.is_loaded and not is_complete,
        )
        entries = self._replaced_entries(entries, is_complete) + entries
        changed = (self._removed_entries(entries) if is_complete else []) + entries
        obsolete = {entry.endpoint.id for entry in changed if self._makes_attempts_obsolete(entry)}
        for entry in changed:
            self._update_entry(entry)
        if obsolete:  # one call for all endpoints, because each call scans the queues of all endpoints
            self.servers.cancel_waiting(
                lambda command, request: not obsolete.isdisjoint((command.endpoint, command.source))
            )
        kind = UpdateKind.FULL if is_complete else UpdateKind.DELTA
        endpoints = tuple(entry.endpoint for entry in entries)
        self.decision_loop.gather(EndpointListUpdated(kind, int(update.get("revision", 0)), endpoints))
        if errors:
            raise WatchError("; ".join(errors[:MAX_ERRORS_LOGGED]))

    def _makes_attempts_obsolete(self, entry: EndpointEntry) -> bool:
        """Return whether attempts that wait for this endpoint were decided on by a state that has changed.

        A server that has started anew holds no copies, and slow start limits the work for it.
        """
        known = self.entries.get(entry.name)
        has_started_anew = known is not None and incarnation_of(known) != incarnation_of(entry)
        return has_started_anew or entry.endpoint.state != EndpointState.READY

    def _replaced_entries(self, entries: list[EndpointEntry], is_complete: bool) -> list[EndpointEntry]:
        """Mark the entries that lost their address to another as removed; return those not in `entries`."""
        names = self.address_owners.apply(entries, is_complete)
        told = {entry.name for entry in entries}
        replaced = [self.entries[name] for name in names if name in self.entries and name not in told]
        for entry in replaced:
            entry.set_state(EndpointState.REMOVED)
        for name in names & self.entries.keys():
            self.log.info("changelog", "another server has its address; counts as removed", cache=name)
        return replaced

    def _removed_entries(self, entries: list[EndpointEntry]) -> list[EndpointEntry]:
        """Mark as removed, and return, the known entries that a complete list does not contain."""
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

    def apply_purge(self, purge: dict, age: int = 0) -> None:
        """Apply a purge of one object or of a group, which a front received at least `age` microseconds ago.

        Its timestamp is not used: clocks may be stepped, and a purge that counts as older than it is would be
        forgotten too early, and allow copies from before it.
        """
        if "object" in purge:
            announced = PurgeAnnounced(0, age, int(purge["object"], 16))
        else:
            announced = PurgeAnnounced(int(purge["bucket"]), age, None)
        self.servers.apply_purge(announced)
        self.decision_loop.gather(announced)

    # Connections to the list service

    def follow(self, host: str, port: int) -> None:
        """Connect to this address and watch from the last event applied; all other streams are closed."""
        self.host = host
        self.port = port
        self.reconnects_without_event = 0
        self._close_other_streams(None)
        self._connect()

    def _close_other_streams(self, stream: EventStream | None) -> None:
        """Close all streams but this one, unanswered ones too, and cancel a pending connect or timer."""
        others = [other for other in (*self.unanswered_streams, self.stream) if other not in (None, stream)]
        self.stream = stream
        self.unanswered_streams = []
        if self.pending_connect:
            self.pending_connect.cancel()
            self.pending_connect = None
        for other in others:
            other.transport.abortConnection()

    def handle_answer(self, stream: EventStream) -> None:
        """Keep the stream that was answered first, and close the others."""
        self._close_other_streams(stream)

    def _connect(self) -> None:
        timeout = self.limits.connect / MICROSECONDS
        endpoint = TCP4ClientEndpoint(self.reactor, self.host, self.port, timeout=timeout)
        self.pending_connect = endpoint.connect(Factory.forProtocol(lambda: EventStream(self)))
        self.pending_connect.addCallbacks(self.connected, self._connect_failed)

    def connected(self, stream: EventStream) -> None:
        """Note that no connect is pending any more."""
        self.pending_connect = None

    def _connect_failed(self, failure: Failure) -> None:
        if not failure.check(ConnectingCancelledError):  # cancelled by `follow`
            self._schedule_reconnect(failure.getErrorMessage())

    def handle_disconnect(self, stream: EventStream) -> None:
        """Reconnect after the current stream has ended; an older, unanswered stream needs no reconnect."""
        if stream in self.unanswered_streams:
            self.unanswered_streams.remove(stream)
        elif stream is self.stream:
            self.stream = None
            self._schedule_reconnect("stream ended")

    def _schedule_reconnect(self, reason: str) -> None:
        """Reconnect after an exponential backoff with a jitter of 50 %."""
        self.log.info("changelog", f"{reason}; reconnecting", after=self.last_seq)
        backoff = self.limits.change_log_min_backoff << min(
            MAX_BACKOFF_DOUBLINGS, self.reconnects_without_event
        )
        pause = min(self.limits.change_log_max_backoff, backoff)
        self.reconnects_without_event += 1
        self.reconnect_count += 1
        jitter = 0.5 + crc32(b"%d:%d" % (self.seed, self.reconnect_count)) / 2**32
        self.pending_connect = self.reactor.callLater(pause * jitter / MICROSECONDS, self._connect)

    def sweep(self) -> None:
        """Reconnect if the service has been silent for too long.

        A stream that was never answered is left open beside the new one, because a service that answers
        slowly would otherwise never be waited for long enough.
        """
        stream = self.stream
        if stream is None or clock() - stream.last_read_at <= self.limits.change_log_silence_timeout:
            return
        self.log.info("changelog", "no data received within the limit")
        if stream.is_accepted:
            stream.transport.abortConnection()
            return
        if len(self.unanswered_streams) >= self.limits.max_unanswered_calls:
            self.unanswered_streams.pop(0).transport.abortConnection()
        self.unanswered_streams.append(stream)
        self.stream = None
        self._schedule_reconnect("no answer yet")
