"""The stream of the list service: calls, watch events, whether all was received, numbers that run backwards.

A call asks for the events after our revision, the last of them once more: a service that was restored from an
older state does not send it again. Otherwise the service replays all events from the start; the replay is
gathered apart and takes the place of our list once it is complete. Free of I/O.
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

LIVE_SPAN_US = 1_000_000  # for which events come as they happen, until all was received
MAX_REASON_LENGTH = 120  # characters of an error in a log line


class StreamState(StrEnum):
    """The values stand in reports."""

    CLOSED = "none"
    CALLING = "calling"
    UP = "up"


class ReplayedEvent(NamedTuple):
    """An event of a replay with its text as the service worded it."""

    event: dict[str, Any]
    text: str


class ServiceStream(Component):
    """One stream at a time; what comes of an earlier one is known by its `serial` and ignored."""

    def __init__(self, engine: DiscoveryEngine):
        super().__init__(engine)
        self.state: StreamState = StreamState.CLOSED
        self.serial: int = 0  # grows with each call and its end
        self.active_at: int = 0  # when anything was last received
        self.event_at: int = 0  # when an event was last received
        self.caught_up: bool = False  # this stream has sent all that the service had
        self.overlap_seen: bool = False  # it has sent our last event again, or the one after it
        self.replay_needed: bool = True  # the next call asks for all
        self.suspect_event: int | None = None  # checksum of an event that could not be read
        self.times = EventTimes()
        self.replay: EndpointList | None = None  # the list of the replayed events so far
        self.replay_joins: bool = False  # the replay leads through our list
        self.replay_differs: bool = False  # one of its events is not as we have it
        self.replayed_after: list[ReplayedEvent] = []  # its events beyond our list

    @property
    def is_open(self) -> bool:
        """Whether a call is under way or a stream is up."""
        return self.state != StreamState.CLOSED

    # The connection

    def open(self) -> None:
        """Call the service now."""
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
        self.replay_joins = False
        self.replay_differs = False
        self.replayed_after = []
        # Else from one that we hold: a service restored from an older state, which would send nothing until
        # its numbers pass ours, does not send it again.
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
        """Close the stream, or give the call up."""
        self.timers.emit(CloseStream(reason))
        self._record_end(reason)

    def _record_end(self, reason: str) -> None:
        now = self.timers.now
        number = self.replica.list.revision.number
        self.timers.emit(LogEvent("list-stream", {"ended": reason, "after": number}))
        # After a silence the service may have been restored meanwhile.
        self.replay_needed |= not self.caught_up or now - self.active_at >= self.settings.stream_timeout
        self.state = StreamState.CLOSED
        self.replay = None
        self.serial += 1
        if self.roles.role != Role.FOLLOWER:
            self.roles.failing_since = self.roles.failing_since or now
            self.roles.decide_role()

    def on_opened(self, _event: StreamOpened) -> None:
        """The service has accepted the call."""
        self.state = StreamState.UP
        self.active_at = self.timers.now
        self.timers.schedule(self.timers.now + QUIET_SPAN_US, self._check_caught_up, self.serial)

    def on_active(self, _event: StreamActive) -> None:
        """The stream is alive."""
        self.active_at = self.timers.now
        self._check_caught_up(self.serial)

    def on_closed(self, event: StreamClosed) -> None:
        """The stream ended, or the call failed."""
        if self.is_open:
            self._record_end(event.reason)

    def on_service_moved(self, _event: ServiceMoved) -> None:
        """Open the stream anew; the numbers of the other address go on, as far as it says."""
        if self.is_open:
            self.close("another address")

    # Events

    def on_event(self, received: StreamEventReceived) -> None:
        """Take a watch event in; one that cannot be read twice is skipped."""
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
        """Skip an event that was as bad before; else have all sent once more, and return False."""
        checksum = crc32(received.text.encode())
        if self.suspect_event != checksum:  # it may have been damaged on the way
            self.suspect_event = checksum
            self.replay_needed = True
            self.close(f"event: {error}"[:MAX_REASON_LENGTH])
            return False
        fields = {"skipped": str(error)[:MAX_REASON_LENGTH], "number": received.number}
        self.timers.emit(LogEvent("list-event", fields))
        self.counts["nonsense"] += 1
        return True

    def _add_to_replay(self, event: dict[str, Any], text: str) -> None:
        """Apply an event of a replay: the first holds the whole list, no number is left out."""
        replay = self.replay
        number = event["seq"]
        if not replay.revision.number and not replay.members:
            if not event.get("fleet", {}).get("complete"):
                raise InvalidEventError("the first event holds no whole list")
        elif number <= replay.revision.number:
            return
        elif number != replay.revision.number + 1 and self.suspect_event is None:
            raise InvalidEventError(f"{number} comes after {replay.revision.number}")
        replay.apply(event, self.timers.now)
        current = self.replica.list
        self.replay_differs |= self.replica.contradicts(event)
        if self.replay_joins and number > current.revision.number:
            self.replayed_after.append(ReplayedEvent(event, text))
        elif number == current.revision.number and self.tree.enabled:
            self.replay_joins = replay.digest == current.digest and not self.replay_differs

    def _continue_list(self, event: dict[str, Any], text: str) -> None:
        """Apply the event that follows our list, or compare one that we have."""
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
            self.close(f"event {number} is told anew, and otherwise")
        elif number == known:
            self.overlap_seen = True

    # Whether all was received

    def _check_caught_up(self, serial: int) -> None:
        """Confirm the list once the stream has sent all that the service had."""
        if serial != self.serial or self.state != StreamState.UP:
            return
        if self.replay is not None and not self.replay.revision.number:
            return
        if not self.caught_up and (due := self._due_caught_up()) is not None:
            self.timers.schedule(due, self._check_caught_up, serial)
            return
        if self.replay is not None:
            replay = self.replay
            self.replay = None
            self._adopt_replay(replay)
        elif not (self.caught_up or self.overlap_seen):
            self.replay_needed = True
            self.close(f"event {self.replica.list.revision.number} is not told again")
            return
        self.caught_up = True
        self.replay_needed = False
        self.roles.contradiction_seen = False
        self.roles.failing_since = None
        self.replica.confirm(self.timers.now)

    def _due_caught_up(self) -> int | None:
        """When to look again, or None if all was received: no event came for a while.

        A longer while is needed before we believe that numbers ran backwards; it may be a slow replay.
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
        """Put the service's whole list in the place of ours.

        Where its numbers are behind ours, they ran backwards: a new generation begins.
        """
        new = replay.revision
        old = self.replica.list.revision
        if self.replay_joins and new.number >= old.number:
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
        """Append the replay's last events, which alone are new, to us and to our subscribers."""
        events = self.replayed_after
        self.replayed_after = []
        for event, text in events:
            if event["seq"] == self.replica.list.revision.number + 1:
                self.replica.append(event, text)
