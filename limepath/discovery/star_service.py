"""Simulates the list service for fronts in the star topology, in virtual time and with failures."""

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

if TYPE_CHECKING:
    from limepath.discovery.star_world import Node, World

SECOND, MS = 1_000_000, 1000


def member(name: str, phase: str = "in_service") -> dict[str, Any]:
    """Return a member of the list in the format of the service."""
    return {
        "id": name,
        "host_port": "127.0.0.1:9001",
        "locality": "z0",
        "flavor": "box",
        "phase": phase,
        "up_since_ms": 0,
        "cell": 0,
        "size": 6,
    }


class Service:
    """The list service.

    `mode` is "up", "down" (refuses calls), "silent" (accepts calls and sends nothing) or "still" (sends
    nothing more on its streams).
    """

    def __init__(self, world: World, caches: int) -> None:
        self.world = world
        self.mode: str = "up"
        self.events: list[str] = []  # JSON texts, the first with number 1
        self.streams: dict[Node, int] = {}  # the serial number of the call, by front
        self.calls: list[int] = []  # the time of each call
        self.most_streams: dict[str, int] = {}  # maximum of concurrent streams, by zone
        self.added_at: dict[tuple[int, int], int] = {}  # the time when an event was added, by (epoch, number)
        self.add(
            {"fleet": {"complete": True, "revision": 1, "members": [member(f"s-{i}") for i in range(caches)]}}
        )

    def add(self, event: dict[str, Any]) -> None:
        """Add the next event and send it on all streams."""
        number = len(self.events) + 1
        self.events.append(json.dumps({"seq": number} | event))
        self.added_at[self.world.epoch, number] = self.world.now
        if self.mode == "up":
            for node, serial in list(self.streams.items()):
                self.send(node, serial, StreamEventReceived(self.events[-1], str(number)))

    def send(self, node: Node, serial: int, *events: Any) -> None:
        """Send events on a stream, with a delay of 500 microseconds."""
        self.world.at(self.world.now + 500, self.deliver, node, serial, events)

    def deliver(self, node: Node, serial: int, events: Iterable[Any]) -> None:
        """Deliver sent events, unless the stream has been closed since."""
        if node.serial == serial:
            node.handle_events(events)

    def call(self, node: Node, after: int) -> None:
        """Handle the call of a front, and send it the events after number `after`."""
        self.calls.append(self.world.now)
        if self.mode == "down":
            return self.send(node, node.serial, StreamClosed("refused"))
        self.streams[node] = node.serial
        zone = node.zone
        self.most_streams[zone] = max(
            self.most_streams.get(zone, 0), sum(one.zone == zone for one in self.streams)
        )
        if self.mode == "up":
            self.replay(node, after)

    def replay(self, node: Node, after: int) -> None:
        """Accept a call and send the events after number `after`."""
        self.send(node, node.serial, StreamOpened())
        for number in range(after, len(self.events)):
            self.send(node, node.serial, StreamEventReceived(self.events[number], str(number + 1)))
        self.send(node, node.serial, StreamActive())

    def send_comments(self) -> None:
        """Send a keep-alive comment on every stream, once per second."""
        if self.mode == "up":
            for node, serial in self.streams.items():
                self.send(node, serial, StreamActive())
        self.world.at(self.world.now + SECOND, self.send_comments)

    def set_mode(self, mode: str) -> None:
        """Change the mode; the service closes its streams when it goes down."""
        self.mode = mode
        if mode == "down":
            for node, serial in list(self.streams.items()):
                self.send(node, serial, StreamClosed("ended"))
            self.streams = {}

    def restore(self, number: int) -> None:
        """Restore the state after event `number`, so that numbers are reused, and close all streams."""
        self.set_mode("down")
        self.world.epoch += 1
        del self.events[number:]
        self.mode = "up"
