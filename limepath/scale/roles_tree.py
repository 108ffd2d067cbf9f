"""Measures events at the fronts of one zone with sites, in virtual time: trees instead of stars.

The fleet is that of `limepath.discovery.simulate_tree`, with a single view that all fronts share. Every
datagram is sealed as on the socket, and the processor time of each front's logic and sealing is measured.
"""

import os
import time

from limepath.discovery.interface import MESSAGES as LIST_MESSAGES
from limepath.duties.interface import MESSAGES as DUTY_MESSAGES
from limepath.membership.guard import Guard, Key
from limepath.membership.interface import MESSAGES
from limepath.scale.roles_relay import (
    ARRIVAL_LIMIT_US,
    EVENTS_PER_S,
    MEASURE_US,
    SECOND_US,
    START_LIMIT_US,
    EventRun,
    Traffic,
)

FRONTS_PER_SITE = 21.7  # with 5,200 fronts at 240 sites
SETTLING_US = 20 * SECOND_US  # events sent after all fronts have the list and before the measurement


class DatagramCounter:
    """Counts the datagrams that a world's fronts send; `traffic` may be replaced at any time."""

    def __init__(self, world):
        types, key = (*MESSAGES, *LIST_MESSAGES, *DUTY_MESSAGES), (Key(b"abcd", os.urandom(32)),)
        self.guards = [Guard(key, types) for _ in world.fronts]
        self.traffic, self.world, self.send_to_world = Traffic(), world, world.send
        world.send = self.send

    def send(self, front, order):
        start = time.thread_time_ns()
        sealed = self.guards[front.index].seal(front.me, 1, order.message)
        self.traffic.cpu[front.index] += time.thread_time_ns() - start
        self.traffic.count_datagram(front.index, self.world.by_token[order.token].index, len(sealed))
        self.send_to_world(front, order)


def zone(fronts):
    """Return the world of one zone with FRONTS_PER_SITE fronts per site, all of which have the list."""
    from limepath.discovery.tree_world import Plan, World

    sites = max(1, round(fronts / FRONTS_PER_SITE))
    world = World(Plan(fronts=fronts, regions=1, zones=1, sites=sites, rate=EVENTS_PER_S), 1)
    world.at(SECOND_US // 2, world.service.send_comments)
    for front in world.fronts:
        world.at(world.random.randrange(SECOND_US), front.start)
    while not world.is_complete() and world.now < START_LIMIT_US:
        world.run(world.now + SECOND_US)
    return world


def measure_events(fronts):
    """Run a zone with EVENTS_PER_S purges per second; return the EventRun of MEASURE_US."""
    from limepath.discovery.simulate_tree import lateness, purge_every

    world = zone(fronts)
    counter, start = DatagramCounter(world), world.now
    world.at(start, purge_every, world, SECOND_US // EVENTS_PER_S, start + SETTLING_US + MEASURE_US)
    world.run(start + SETTLING_US)
    counter.traffic = traffic = Traffic()
    for front in world.fronts:
        traffic.time_logic(front.index, front.logic)
    since = world.now
    world.run(since + MEASURE_US)
    until, counter.traffic = world.now, Traffic()
    world.run(until + ARRIVAL_LIMIT_US)
    late, lost = lateness(world, world.fronts, since, until)
    settling, _ = lateness(world, world.fronts, start, since)
    return EventRun(fronts, traffic, late, lost, settling[-1])
