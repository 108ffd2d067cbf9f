"""Events at the fronts of one zone whose fronts have sites, in virtual time: trees in place of stars.

The fleet is that of `limepath.discovery.simulate_tree`, with one view on which all agree. Every datagram is
sealed here as on the socket, and what a front's logic and its seals cost is timed.
"""

import os
import time

from limepath.discovery.interface import MESSAGES as LIST_MESSAGES
from limepath.duties.interface import MESSAGES as DUTY_MESSAGES
from limepath.membership.guard import Guard, Key
from limepath.membership.interface import MESSAGES
from limepath.scale.roles_relay import ARRIVE, EVENTS, LIMIT, SECOND, SPAN, Played, Traffic

SITE = 21.7  # fronts of a site at 5,200 fronts and 240 sites
SETTLING = 20 * SECOND  # of events, from the moment that all have the list, before anything is measured


class Counted:
    """Counts what a world's fronts send from now on; `traffic` may be replaced at any time."""

    def __init__(self, world):
        types, key = (*MESSAGES, *LIST_MESSAGES, *DUTY_MESSAGES), (Key(b"abcd", os.urandom(32)),)
        self.guards = [Guard(key, types) for _ in world.fronts]
        self.traffic, self.world, self.pass_on = Traffic(), world, world.send
        world.send = self.send

    def send(self, front, order):
        began = time.thread_time_ns()
        sealed = self.guards[front.index].seal(front.me, 1, order.message)
        self.traffic.cpu[front.index] += time.thread_time_ns() - began
        self.traffic.counted(front.index, self.world.by_token[order.token].index, len(sealed))
        self.pass_on(front, order)


def zone(fronts):
    """The world of one zone, its fronts at as many sites as they fill, all of them with the list."""
    from limepath.discovery.tree_world import Plan, World

    sites = max(1, round(fronts / SITE))
    world = World(Plan(fronts=fronts, regions=1, zones=1, sites=sites, rate=EVENTS), 1)
    world.at(SECOND // 2, world.service.send_comments)
    for front in world.fronts:
        world.at(world.random.randrange(SECOND), front.start)
    while not world.is_complete() and world.now < LIMIT:
        world.run(world.now + SECOND)
    return world


def played(fronts):
    """A zone with EVENTS purges a second; give what was Played after SPAN of them."""
    from limepath.discovery.simulate_tree import lateness, purge_every

    world = zone(fronts)
    counted, began = Counted(world), world.now
    world.at(began, purge_every, world, SECOND // EVENTS, began + SETTLING + SPAN)
    world.run(began + SETTLING)
    counted.traffic = traffic = Traffic()
    for front in world.fronts:
        traffic.timed(front.index, front.logic)
    since = world.now
    world.run(since + SPAN)
    until, counted.traffic = world.now, Traffic()
    world.run(until + ARRIVE)
    late, lost = lateness(world, world.fronts, since, until)
    settling, _ = lateness(world, world.fronts, began, since)
    return Played(fronts, traffic, late, lost, settling[-1])
