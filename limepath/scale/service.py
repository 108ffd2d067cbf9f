"""What stands around the fronts of a scale run: the list service with its events, the caches, the clients of
the real fronts. Built from the testbed's stand-ins.
"""

import time
from collections import Counter
from random import Random

from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.internet.task import LoopingCall

from limepath.testbed.coldstart import GetRequest
from limepath.testbed.process import HOST
from limepath.testbed.regions import RegionalListService
from limepath.testbed.stand_ins import StandInCache

PURGE, LIST = "purge", "list"  # kinds of events
BEAT = 1.0  # seconds between signs of life of the list service
REQUESTS = 4  # a second at each real front
CLIENT_TIMEOUT = 2  # seconds, to connect


class Around:
    """The list service and the caches. `issued` holds of each event its kind and the run's time in
    microseconds; event n is at n - 1.
    """

    def __init__(self, reactor, plan, seed, pace, runs):
        self.reactor, self.plan, self.pace, self.chance = reactor, plan, pace, Random(f"events {seed}")
        self.service = RegionalListService(reactor, len(plan.fronts), lambda who: plan.fronts[who].zone, runs)
        self.caches = {cache.name: StandInCache(reactor) for cache in plan.caches}
        self.upper = {"p-1": StandInCache(reactor), "o-1": StandInCache(reactor)}
        self.zones = {cache.name: cache.zone for cache in plan.caches}
        self.draining, self.issued, self.loops = None, [], []
        self.purges = Paced(plan.sizes.purges / pace.stretch, self.purge)
        self.changes = Paced(plan.sizes.settings_changes / pace.stretch, self.change)

    def begin(self):
        """Tell the whole list, and go on showing that the service lives."""
        members = [self.member(name) for name in (*self.caches, *self.upper)]
        self.tell(LIST, {"fleet": {"revision": 1, "complete": True, "members": members}})
        self.repeat(BEAT * self.pace.stretch, self.service.send_keepalives)

    def repeat(self, seconds, function):
        loop = LoopingCall(function)
        loop.start(seconds, now=False)
        self.loops.append(loop)
        return loop

    def member(self, name, phase="in_service"):
        cache = self.caches.get(name) or self.upper[name]
        flavors = {"p-1": "parent", "o-1": "origin"}
        return {
            "id": name,
            "host_port": f"{HOST}:{cache.port}",
            "flavor": flavors.get(name, "box"),
            "cell": 0,
            "size": 6,
            "up_since_ms": 0,
            "locality": self.zones.get(name, self.plan.zones[0]),
            "phase": phase,
        }

    def tell(self, kind, event):
        self.issued.append((kind, self.pace.now()))
        return self.service.add(event)

    def number(self):
        """Of the last event."""
        return len(self.issued)

    def purge(self):
        target = f"{self.chance.getrandbits(64):016x}"
        self.tell(PURGE, {"invalidate": {"object": target, "time": int(time.time() * 1000)}})

    def change(self):
        """A change of the list: the cache that is drained is back, another one is drained."""
        names = [name for name in self.caches if name != self.draining]
        members = [self.member(self.draining)] if self.draining else []
        self.draining = self.chance.choice(names) if names else None
        if self.draining:
            members.append(self.member(self.draining, "terminating"))
        revision = 1 + len(self.issued)
        self.tell(LIST, {"fleet": {"revision": revision, "complete": False, "members": members}})

    def start_events(self):
        for paced in (self.purges, self.changes):
            paced.start(self.reactor.seconds())
        self.repeat(0.02, self.due)

    def due(self):
        for paced in (self.purges, self.changes):
            paced.run(self.reactor.seconds())

    def stop_events(self):
        for paced in (self.purges, self.changes):
            paced.stop()

    def requests_at_caches(self):
        return sum(len(cache.forwards) for cache in (*self.caches.values(), *self.upper.values()))

    def connections_at_caches(self):
        return sum(len(cache.connection_times) for cache in (*self.caches.values(), *self.upper.values()))

    def close(self):
        for loop in self.loops:
            if loop.running:
                loop.stop()
        self.service.close()
        for cache in (*self.caches.values(), *self.upper.values()):
            cache.close()


class Paced:
    """Calls a function `rate` times a second on average; a late call is made up for."""

    def __init__(self, rate, function):
        self.rate, self.function, self.began, self.made = rate, function, None, 0

    def start(self, now):
        self.began, self.made = now, 0

    def stop(self):
        self.began = None

    def run(self, now):
        while self.began is not None and self.made < (now - self.began) * self.rate:
            self.made += 1
            self.function()


class Clients:
    """Send a light constant load of requests to real fronts. `answers` counts statuses, 0 where none came,
    and leaves out requests to a front that was struck by a fault meanwhile.
    """

    def __init__(self, reactor, seed, ports, pace, well):
        self.reactor, self.ports, self.pace, self.well = reactor, ports, pace, well
        self.chance, self.answers, self.sent, self.loop = Random(f"clients {seed}"), Counter(), 0, None

    def start(self):
        if self.ports:
            self.loop = LoopingCall(self.send_all)
            self.loop.start(self.pace.stretch / REQUESTS, now=False)

    def stop(self):
        if self.loop and self.loop.running:
            self.loop.stop()

    def send_all(self):
        for who in self.ports:
            if self.well(who):
                self.send(who)

    def send(self, who):
        self.sent += 1
        done = Deferred()
        request = (
            f"GET /invoke/video/{self.chance.getrandbits(64):016x} HTTP/1.1\r\nHost: x\r\n"
            f"X-Txn: {self.sent:016x}\r\nX-Ttl-Ms: 1500\r\nX-Family: 17\r\nConnection: close\r\n\r\n"
        ).encode()
        done.addCallback(self.answered, who)
        endpoint = TCP4ClientEndpoint(self.reactor, HOST, self.ports[who], timeout=CLIENT_TIMEOUT)
        coming = endpoint.connect(Factory.forProtocol(lambda: GetRequest(done, request)))
        coming.addErrback(lambda _: done.called or done.callback(0))

    def answered(self, status, who):
        if self.well(who):
            self.answers[status] += 1

    @property
    def served(self):
        return self.answers[200]

    @property
    def failed(self):
        return sum(self.answers.values()) - self.answers[200]
