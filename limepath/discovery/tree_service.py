"""The list service of the trees in virtual time, which regions can be cut off from."""

from __future__ import annotations

import json
from collections.abc import Iterable
from typing import TYPE_CHECKING, Any

from limepath.discovery.interface import (
    StreamActive,
    StreamClosed,
    StreamEventReceived,
    StreamOpened,
)
from limepath.discovery.star_service import member

if TYPE_CHECKING:
    from limepath.discovery.tree_world import Front, World

SECOND, MS = 1_000_000, 1000
COMMENT = SECOND  # between the service's signs of life
SERVICE_REGION = 0


class Service:
    """The list service; a stream of a region that is cut off from it stands still."""

    def __init__(self, world: World, caches: int) -> None:
        self.world = world
        self.streams: dict[Front, int] = {}  # the serial of the call by front
        self.events: list[str] = []  # JSON texts, the first with number 1
        self.added_at: dict[int, int] = {}  # when, by number
        self.calls: list[int] = []  # when each came
        self.most_streams: dict[str, int] = {}  # at once, by zone
        members = [member(f"s-{index}") for index in range(caches)]
        self.add({"fleet": {"complete": True, "revision": 1, "members": members}})

    def add(self, event: dict[str, Any]) -> int:
        """Add the next event, send it on all streams, and return its number."""
        number = len(self.events) + 1
        self.events.append(json.dumps({"seq": number} | event))
        self.added_at[number] = self.world.now
        for front, serial in list(self.streams.items()):
            self.send(front, serial, StreamEventReceived(self.events[-1], str(number)))
        return number

    def send(self, front: Front, serial: int, *events: Any) -> None:
        """Send events on a stream, unless its region is cut off."""
        if not self.world.cut(front.region, SERVICE_REGION):
            self.world.at(self.world.now + 500, self.arrive, front, serial, events)

    def arrive(self, front: Front, serial: int, events: Iterable[Any]) -> None:
        """What was sent has arrived, unless the stream was closed meanwhile."""
        if front.serial == serial:
            front.handle_events(events)

    def call(self, front: Front, after: int) -> None:
        """A front calls; send it the events after the one that it names."""
        self.calls.append(self.world.now)
        if self.world.cut(front.region, SERVICE_REGION):
            return self.world.at(
                self.world.now + 500 * MS, self.arrive, front, front.serial, (StreamClosed("no answer"),)
            )
        self.streams[front] = front.serial
        count = sum(one.zone == front.zone for one in self.streams)
        self.most_streams[front.zone] = max(count, self.most_streams.get(front.zone, 0))
        self.send(front, front.serial, StreamOpened())
        for number in range(after, len(self.events)):
            self.send(front, front.serial, StreamEventReceived(self.events[number], str(number + 1)))
        self.send(front, front.serial, StreamActive())

    def comment(self) -> None:
        """Show each second that the service is alive."""
        for front, serial in self.streams.items():
            self.send(front, serial, StreamActive())
        self.world.at(self.world.now + COMMENT, self.comment)
