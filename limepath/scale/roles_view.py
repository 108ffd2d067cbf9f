"""Membership of one front alone, at the whole fleet's size: its view's memory, set-up and running cost.

One real `Members` with datagrams sealed and opened; all others are played: they answer each check at once and
check it as often as a fleet does. Nothing fails. Processor time is that of the logic and of the datagrams'
seals, without the socket's.
"""

import cProfile
import os
import pstats
import time
import tracemalloc
from random import Random

import msgspec

from limepath.configuration.sharing_settings import MembershipTimeouts
from limepath.membership.guard import Guard, Key
from limepath.membership.interface import (
    REFUTATION_BITS,
    Ack,
    MemberRecord,
    MessageReceived,
    Ping,
    SendMessage,
)
from limepath.membership.members import Members
from limepath.scale.measured import RoleResult, Series
from limepath.scale.roles import hottest_functions

SIZES = (125, 250, 500, 1000, 2000, 5200)
SECOND = 1_000_000
SPAN = 300 * SECOND
CHECKED = 2  # checks a second by others: each front sends as many
REPEATS = 5


def fleet(size):
    """News of so many instances, each as it was read from a datagram, so that no two share an object."""
    chance = Random(1)
    told = [
        MemberRecord(
            chance.getrandbits(63),
            f"front-{at}",
            f"10.{at >> 8}.{at & 255}.7",
            7946,
            1 << REFUTATION_BITS,
            at,
        )
        for at in range(size)
    ]
    one = msgspec.msgpack.Decoder(MemberRecord)
    return [one.decode(msgspec.msgpack.encode(news)) for news in told]


class View:
    """One instance among played ones."""

    def __init__(self, news):
        self.me, *self.others = news
        self.members = Members(self.me, [("10.0.0.1", 7946)], MembershipTimeouts(), 1)
        key = (Key(b"abcd", os.urandom(32)),)
        self.guard, self.others_guard, self.spent, self.now = Guard(key), Guard(key), 0, 0
        self.by_address = {(one.host, one.port): one for one in self.others}
        self.chance, self.seq = Random(2), 0

    def set_up(self):
        began = time.thread_time_ns()
        self.members.add_known_members(self.others)
        return time.thread_time_ns() - began

    def tell(self, sender, message):
        """A datagram from another: opened, taken in, what follows sealed; then answered in turn."""
        sealed = self.others_guard.seal(sender, self.me.session_token, message)
        began = time.thread_time_ns()
        heard = MessageReceived(*self.guard.open(sealed))
        orders = self.carried(self.members.handle(self.now, (heard,)))
        self.spent += time.thread_time_ns() - began
        self.answer(orders)

    def carried(self, orders):
        sent = [order for order in orders if isinstance(order, SendMessage)]
        for order in sent:
            self.guard.seal(self.me, order.to, order.message)
        return sent

    def answer(self, sent):
        for order in sent:
            if isinstance(order.message, Ping):
                other = self.by_address[order.host, order.port]
                self.tell(other, Ack(order.message.seq, (), self.members.digest_to_send()))

    def wake(self):
        began = time.thread_time_ns()
        orders = self.carried(self.members.handle(self.now, ()))
        self.spent += time.thread_time_ns() - began
        self.answer(orders)

    def run(self, until):
        checked = self.now
        while self.now < until:
            due = self.members.next()
            self.now = min(until, max(self.now, due), checked + SECOND // CHECKED)
            if self.now - checked >= SECOND // CHECKED:
                checked, self.seq = self.now, self.seq + 1
                self.tell(self.chance.choice(self.others), Ping(self.seq, (), self.members.digest_to_send()))
            if due is not None and due <= self.now:
                self.wake()


def costs(size):
    """(set-up in ms, running % of a core)."""
    view = View(fleet(size))
    set_up = view.set_up() / 1e6
    view.members.start(0)
    view.run(2 * SECOND)  # the round of checks is shuffled in it
    view.spent = 0
    view.run(2 * SECOND + SPAN)
    if len(view.members.ring) != size - 1:
        raise ValueError(f"{size - 1 - len(view.members.ring)} members lost")
    return set_up, view.spent / SPAN / 10


def profiled(size):
    """Where the running cost of so large a view goes."""
    view = View(fleet(size))
    view.set_up()
    view.members.start(0)
    view.run(2 * SECOND)
    profile = cProfile.Profile()
    profile.runcall(view.run, 2 * SECOND + SPAN)
    return hottest_functions(pstats.Stats(profile).stats)


def memory(size):
    """Megabytes of a view with its News."""
    tracemalloc.start()
    try:
        view = View(fleet(size))
        view.by_address.clear()
        view.set_up()
        view.others.clear()
        held, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return held / 1e6


def measure():
    """Return the RoleResult of one view."""
    costs(SIZES[0])  # the interpreter warms up
    rounds = [[costs(size) for size in SIZES] for _ in range(REPEATS)]
    least = [tuple(map(min, zip(*runs, strict=True))) for runs in zip(*rounds, strict=True)]
    rows = [(size, *spent, memory(size)) for size, spent in zip(SIZES, least, strict=True)]
    told = (
        ("set-up", "a view made whole at once", "ms of CPU"),
        ("cpu", "running, calm", "% of a core"),
        ("memory", "a view with what it knows of each", "MB"),
    )
    return RoleResult(
        tuple(
            Series(
                name,
                what,
                unit,
                "instances",
                tuple((row[0], round(row[at], 5)) for row in rows),
                "real logic",
            )
            for at, (name, what, unit) in enumerate(told, 1)
        ),
        profiled(SIZES[-1]),
        (
            f"{SPAN // SECOND} s, nothing fails; the least of {REPEATS} runs; sealed datagrams, no socket; "
            f"profile at {SIZES[-1]:,} instances",
        ),
    )
