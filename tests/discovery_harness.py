"""Shared helpers for tests of limepath/discovery: the logic of a single front, and events for it."""

import json
import subprocess
import sys

from limepath.configuration.sharing_settings import (
    DiscoverySettings,
)
from limepath.discovery.bounds import QUIET_SPAN_US
from limepath.discovery.endpoint_list import EndpointList
from limepath.discovery.engine import DiscoveryEngine
from limepath.discovery.event_coding import encode_batches, encode_event
from limepath.discovery.interface import (
    EventBatch,
    Heartbeat,
    OpenStream,
    PeerMessage,
    Revision,
    ScopeAnnouncement,
    SendToMember,
    StreamActive,
    StreamEventReceived,
    StreamOpened,
    Subscribe,
)
from limepath.discovery.star_service import member
from limepath.discovery.topology import Scope, Zone

SECOND, MS = 1_000_000, 1000


STAR_SETTINGS = DiscoverySettings(zone="sur", fronts=2)


def event_text(number, **fields):
    """Return the JSON text of an event, which is a purge if no fields are given."""
    return json.dumps({"seq": number} | (fields or {"invalidate": {"bucket": number, "time": 5}}))


def full_event_text(number=1, caches=2):
    """Return the JSON text of an event that holds the whole list."""
    members = [member(f"s-{index}") for index in range(caches)]
    return event_text(number, fleet={"complete": True, "revision": 1, "members": members})


def list_at(numbers=1, generation=0):
    """Return a list after events 1 to `numbers`."""
    endpoint_list = EndpointList()
    for text in [full_event_text(), *map(event_text, range(2, numbers + 1))]:
        endpoint_list.apply(json.loads(text))
    endpoint_list.revision = Revision(generation, numbers)
    return endpoint_list


class EngineHarness:
    """Runs the logic of one front in virtual time.

    `others` are the tokens of the other live fronts; `commands` collects all commands that it emitted.
    """

    def __init__(self, others=(), saved=None, settings=STAR_SETTINGS, me=1):
        self.others = list(others)
        self.now = 0  # microseconds
        self.commands = []
        self.logic = DiscoveryEngine(me, settings, 7, lambda: self.others, saved)
        self.record(self.logic.start(0))

    def record(self, commands):
        self.commands += commands

    def run(self, span):
        end = self.now + span
        while (due := self.logic.next()) is not None and due <= end:
            self.now = max(self.now, due)
            self.record(self.logic.handle(self.now))
        self.now = end
        return self

    def handle(self, *events):
        """Pass events to the logic and return the commands that it emits."""
        before = len(self.commands)
        self.record(self.logic.handle(self.now, events))
        return self.commands[before:]

    def emitted(self, kind):
        """Return all commands of a type so far."""
        return commands_of(self.commands, kind)

    def sent(self, kind):
        """Return all messages of a type sent so far."""
        messages = [command.message for command in self.emitted(SendToMember)]
        return [message for message in messages if isinstance(message, kind)]

    def open_stream(self, *texts):
        """Run until the front calls; the service then sends these events and a comment."""
        while not self.emitted(OpenStream):
            self.run(100 * MS)
        self.handle(StreamOpened(), *(StreamEventReceived(text) for text in texts))
        self.run(QUIET_SPAN_US)
        return self.handle(StreamActive())


def commands_of(commands, kind):
    """Return the commands of a type."""
    return [command for command in commands if isinstance(command, kind)]


PEERS = """[instance]
name = n1
store = n1.db
[peers]
listen = 127.0.0.1:7946
keys = peers.keys
[duty probe]
interval = 5s
"""


def command(*words):
    return subprocess.run(
        [sys.executable, "-m", "limepath", *words], capture_output=True, text=True, timeout=400
    )


def drill(*words):
    done = command("coldstart", "drill", "--json", "--down", "3s", *words)
    assert done.stdout, done.stderr
    rows = json.loads(done.stdout)["rows"]
    return done.returncode, {row["what"]: row for row in rows}


TREE_SETTINGS = DiscoverySettings(zone="sur", fronts=30, site="a", fan_out=2)


SCOPE = Scope("sur", "a")


def batch(first, last, age=0, generation=0, stamp=0):
    texts = [event_text(number) for number in range(first, last + 1)]
    data = encode_batches([encode_event(json.loads(text), text) for text in texts])
    assert len(data) == 1
    return EventBatch(generation, first, data[0], age, stamp)


class TreeHarness(EngineHarness):
    """Runs a non-root front, with known parent and backup, of a zone with `fronts` fronts at one site."""

    def __init__(self, saved=None, settings=TREE_SETTINGS, fronts=12):
        tokens = range(1, fronts + 1)
        zone = Zone("sur", dict.fromkeys(tokens, SCOPE), settings.relays, settings.fan_out)
        below = [token for token in tokens if token not in zone.roots]
        me = max(below, key=lambda token: len(zone.position(token).candidates))
        super().__init__([token for token in tokens if token != me], saved, settings, me)
        self.position = zone.position(me)
        self.parent, self.backup = self.position.candidates[0], self.position.backups[0]
        self.run(200 * MS)
        self.handle(*(PeerMessage(token, ScopeAnnouncement("sur", False, "a")) for token in self.others))
        self.run(SECOND)

    def subscriptions_to(self, token):
        """Return all Subscribe messages that this front has sent to another one."""
        messages = [command.message for command in self.emitted(SendToMember) if command.token == token]
        return [message for message in messages if isinstance(message, Subscribe)]

    def receive(self, token, message):
        return self.handle(PeerMessage(token, message))

    def keep_alive(self, span, *tokens, number=None, age=0):
        """Receive a heartbeat from each of these fronts every heartbeat interval of the span."""
        for _ in range(span // self.logic.settings.beat):
            for token in tokens:
                revision, digest = self.logic.replica.list.revision, self.logic.replica.list.digest
                at = revision.number if number is None else number
                self.receive(token, Heartbeat("sur", 0, at, digest, age, site="a", oldest_available=2))
            self.run(self.logic.settings.beat)
