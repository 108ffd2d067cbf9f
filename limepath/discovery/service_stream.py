"""Handles the stream of the list service: calls, watch events, catching up, and a restored service.

A call requests the events from our last one on, including that one, because a service that was restored from
an older state does not send it again. If this fails, the next call requests a replay of all events, which is
collected separately and replaces our list once it is complete. Performs no I/O.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple
from zlib import crc32

from limepath.discovery.bounds import QUIET_SPAN_US
from limepath.discovery.component import Component
from limepath.discovery.endpoint_list import EndpointList
from limepath.discovery.event_checks import InvalidEventError, json_digest, parse_event
from limepath.discovery.interface import (
    CloseStream,
    LogEvent,
    OpenStream,
    Revision,
    Role,
    ServiceMoved,
    StreamActive,
    StreamClosed,
    StreamEventReceived,
    StreamOpened,
)
from limepath.discovery.replay_detection import EventTimes

if TYPE_CHECKING:
    from limepath.discovery.engine import DiscoveryEngine

LIVE_SPAN_US = 1_000_000  # of events sent as they happen, after which a stream counts as caught up
MAX_REASON_LENGTH = 120  # characters of an error in a log line


class StreamState(StrEnum):
    """The state of the stream; the values appear in reports."""

    CLOSED = "none"
    CALLING = "calling"
    UP = "up"


class ReplayedEvent(NamedTuple):
    """An event of a replay, and its text as received from the service."""

    event: dict[str, Any]
    text: str


class ServiceStream(Component):
    """Manages one stream at a time; timers of earlier streams are recognized by `serial` and ignored."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.state: StreamState = StreamState.CLOSED
        self.serial: int = 0  # incremented at the start and end of each call
        self.active_at: int = 0  # when anything was last received
        self.event_at: int = 0  # when an event was last received
        self.caught_up: bool = False  # this stream has sent all events that the service had
        self.overlap_seen: bool = False  # the stream has sent our last event again, or the one after it
        self.replay_needed: bool = True  # the next call requests all events
        self.suspect_event: int | None = None  # checksum of an event that could not be parsed
        self.times = EventTimes()
        self.replay: EndpointList | None = None  # the list built from the replayed events so far
        self.replay_matches: bool = False  # the replay matched our list at our revision
        self.replay_differs: bool = False  # an event of the replay differs from the one in our window
        self.replayed_after: list[ReplayedEvent] = []  # the events of the replay after our revision

    @property
    def is_open(self) -> bool:
        """Whether a call is in progress or a stream is open."""
        return self.state != StreamState.CLOSED

    # The connection

    def open(self) -> None:
        """Call the service."""
        now = self.timers.now
        self.roles.budget.record_call()
        self.counts["calls"] += 1
        self.serial += 1
        self.state = StreamState.CALLING
        self.active_at = now
        self.event_at = now
        self.caught_up = False
        self.overlap_seen = False
        number = self.replica.list.revision.number
        self.replay_needed |= number not in self.replica.window
        self.replay = self.replica.new_list() if self.replay_needed else None
        self.replay_matches = False
        self.replay_differs = False
        self.replayed_after = []
        # Without a replay, request our last event again. A service restored from an older state does not
        # send it, which reveals the restore; otherwise it would be silent until its numbers pass ours.
        self.timers.emit(OpenStream(0 if self.replay_needed else number - 1))
        self.times.clear()
        self.timers.schedule(now + self.settings.stream_timeout, self._check_silence, self.serial)

    def _check_silence(self, serial: int) -> None:
        if serial != self.serial or not self.is_open:
            return
        silent_at = self.active_at + self.settings.stream_timeout
        if self.timers.now >= silent_at:
            self.close("silent")
        else:
            self.timers.schedule(silent_at, self._check_silence, serial)

    def close(self, reason: str) -> None:
        """Close the stream, or cancel the call."""
        self.timers.emit(CloseStream(reason))
        self._record_end(reason)

    def _record_end(self, reason: str) -> None:
        now = self.timers.now
        number = self.replica.list.revision.number
        self.timers.emit(LogEvent("list-stream", {"ended": reason, "after": number}))
        # The service may have been restored during a silence.
        self.replay_needed |= not self.caught_up or now - self.active_at >= self.settings.stream_timeout
        self.state = StreamState.CLOSED
        self.replay = None
        self.serial += 1
        if self.roles.role != Role.FOLLOWER:
            self.roles.failing_since = self.roles.failing_since or now
            self.roles.decide_role()

    def on_opened(self, _event: StreamOpened) -> None:
        """Record that the service has accepted the call."""
        self.state = StreamState.UP
        self.active_at = self.timers.now
        self.timers.schedule(self.timers.now + QUIET_SPAN_US, self._check_caught_up, self.serial)

    def on_active(self, _event: StreamActive) -> None:
        """Record activity of the stream."""
        self.active_at = self.timers.now
        self._check_caught_up(self.serial)

    def on_closed(self, event: StreamClosed) -> None:
        """Record that the stream has ended or the call has failed."""
        if self.is_open:
            self._record_end(event.reason)

    def on_service_moved(self, _event: ServiceMoved) -> None:
        """Close the stream, so that the next call goes to the new address and continues our numbering."""
        if self.is_open:
            self.close("the address of the service has changed")

    # Events

    def on_event(self, received: StreamEventReceived) -> None:
        """Handle a watch event; one that is invalid twice in a row is skipped."""
        now = self.timers.now
        self.active_at = now
        self.event_at = now
        if not self.is_open:
            return
        try:
            event = parse_event(received.text)
            self.times.add(now, event)
            if self.replay is not None:
                self._add_to_replay(event, received.text)
            else:
                self._continue_list(event, received.text)
            self.suspect_event = None
        except InvalidEventError as error:
            if not self._skip_event(received, error):
                return
        if self.caught_up:
            self.replica.confirm(now)
        else:
            self.timers.schedule(now + QUIET_SPAN_US, self._check_caught_up, self.serial)

    def _skip_event(self, received: StreamEventReceived, error: InvalidEventError) -> bool:
        """Skip an invalid event and return True; at its first arrival request a replay and return False."""
        checksum = crc32(received.text.encode())
        if self.suspect_event != checksum:  # it may have been damaged in transit
            self.suspect_event = checksum
            self.replay_needed = True
            self.close(f"event: {error}"[:MAX_REASON_LENGTH])
            return False
        fields = {"skipped": str(error)[:MAX_REASON_LENGTH], "number": received.number}
        self.timers.emit(LogEvent("list-event", fields))
        self.counts["nonsense"] += 1
        return True

    def _add_to_replay(self, event: dict[str, Any], text: str) -> None:
        """Apply an event of a replay, which must begin with the whole list and have no gaps."""
        replay = self.replay
        number = event["seq"]
        if not replay.revision.number and not replay.members:
            if not event.get("fleet", {}).get("complete"):
                raise InvalidEventError(f"event {number} begins the replay but is not a complete list")
        elif number <= replay.revision.number:
            return
        elif number != replay.revision.number + 1 and self.suspect_event is None:
            raise InvalidEventError(f"{number} comes after {replay.revision.number}")
        replay.apply(event, self.timers.now)
        current = self.replica.list
        self.replay_differs |= self.replica.contradicts(event)
        if self.replay_matches and number > current.revision.number:
            self.replayed_after.append(ReplayedEvent(event, text))
        elif number == current.revision.number and self.tree.enabled:
            self.replay_matches = replay.digest == current.digest and not self.replay_differs

    def _continue_list(self, event: dict[str, Any], text: str) -> None:
        """Apply the next event of our list, or compare an earlier event with ours."""
        number = event["seq"]
        known = self.replica.list.revision.number
        if number == known + 1:
            self.overlap_seen = True
            self.replica.append(event, text)
        elif number > known:
            self.replay_needed = True
            raise InvalidEventError(f"{number} comes after {known}")
        elif self.replica.window.digest(number) != json_digest(event):  # the numbers ran backwards
            self.replay_needed = True
            self.counts["contradictions"] += 1
            self.close(f"event {number} was sent again with different content")
        elif number == known:
            self.overlap_seen = True

    # Catching up

    def _check_caught_up(self, serial: int) -> None:
        """Confirm the list if the stream has sent all events that the service had."""
        if serial != self.serial or self.state != StreamState.UP:
            return
        if self.replay is not None and not self.replay.revision.number:
            return
        if not self.caught_up and (due := self._next_caught_up_check()) is not None:
            self.timers.schedule(due, self._check_caught_up, serial)
            return
        if self.replay is not None:
            replay = self.replay
            self.replay = None
            self._adopt_replay(replay)
        elif not (self.caught_up or self.overlap_seen):
            self.replay_needed = True
            self.close(f"event {self.replica.list.revision.number} was not sent again")
            return
        self.caught_up = True
        self.replay_needed = False
        self.roles.contradiction_seen = False
        self.roles.failing_since = None
        self.replica.confirm(self.timers.now)

    def _next_caught_up_check(self) -> int | None:
        """Return when to check again, or None if the stream was quiet for long enough or sends live events.

        A replay that ends below our revision must be quiet for longer, because it may only be slow.
        """
        now = self.timers.now
        behind = self.replay is not None and self.replay.revision.number < self.replica.list.revision.number
        due = self.event_at + (self.settings.stream_timeout if behind else QUIET_SPAN_US)
        if now < due and not self.times.is_live(
            now, self.settings.stream_timeout if behind else LIVE_SPAN_US
        ):
            return due
        return None

    def _adopt_replay(self, replay: EndpointList) -> None:
        """Replace our list with the service's.

        If the service's numbers are behind ours, they ran backwards, and a new generation starts.
        """
        new = replay.revision
        old = self.replica.list.revision
        if self.replay_matches and new.number >= old.number:
            self._append_replayed()
            return
        generation = old.generation
        is_same_number = new.number == old.number
        if new.number < old.number or is_same_number and replay.digest != self.replica.list.digest:
            generation += 1
            fields = {"was": old.number, "is": new.number, "generation": generation}
            self.timers.emit(LogEvent("list-backwards", fields))
        replay.revision = Revision(generation, new.number)
        if replay.revision != old or replay.digest != self.replica.list.digest:
            self.replica.replace(replay)

    def _append_replayed(self) -> None:
        """Append only the replayed events after our revision, and send them to our subscribers."""
        events = self.replayed_after
        self.replayed_after = []
        for event, text in events:
            if event["seq"] == self.replica.list.revision.number + 1:
                self.replica.append(event, text)
