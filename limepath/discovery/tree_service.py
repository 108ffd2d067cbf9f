"""Simulates the list service for fronts in the tree topology, in virtual time; regions can be cut off."""

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
COMMENT_INTERVAL = SECOND  # between two keep-alive comments
SERVICE_REGION = 0  # the region of the service


class Service:
    """The list service; streams to regions that are cut off from it transmit nothing."""

    def __init__(self, world: World, caches: int) -> None:
        self.world = world
        self.streams: dict[Front, int] = {}  # the serial number of the call, by front
        self.events: list[str] = []  # JSON texts, the first with number 1
        self.added_at: dict[int, int] = {}  # the time when an event was added, by number
        self.calls: list[int] = []  # the time of each call
        self.most_streams: dict[str, int] = {}  # maximum of concurrent streams, by zone
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
        """Send events on a stream, with a delay of 500 microseconds, unless its region is cut off."""
        if not self.world.is_cut(front.region, SERVICE_REGION):
            self.world.at(self.world.now + 500, self.deliver, front, serial, events)

    def deliver(self, front: Front, serial: int, events: Iterable[Any]) -> None:
        """Deliver sent events, unless the stream has been closed since."""
        if front.serial == serial:
            front.handle_events(events)

    def call(self, front: Front, after: int) -> None:
        """Handle the call of a front, and send it the events after number `after`."""
        self.calls.append(self.world.now)
        if self.world.is_cut(front.region, SERVICE_REGION):
            return self.world.at(
                self.world.now + 500 * MS, self.deliver, front, front.serial, (StreamClosed("no answer"),)
            )
        self.streams[front] = front.serial
        count = sum(one.zone == front.zone for one in self.streams)
        self.most_streams[front.zone] = max(count, self.most_streams.get(front.zone, 0))
        self.send(front, front.serial, StreamOpened())
        for number in range(after, len(self.events)):
            self.send(front, front.serial, StreamEventReceived(self.events[number], str(number + 1)))
        self.send(front, front.serial, StreamActive())

    def send_comments(self) -> None:
        """Send a keep-alive comment on every stream, once per COMMENT_INTERVAL."""
        for front, serial in self.streams.items():
            self.send(front, serial, StreamActive())
        self.world.at(self.world.now + COMMENT_INTERVAL, self.send_comments)
