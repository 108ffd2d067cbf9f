"""Measures membership of a single front at the size of the whole fleet: memory, set-up and running cost.

One real `Members` with datagrams sealed and opened; all other members are simulated: they answer each check
immediately and check the real one as often as a fleet does. Nothing fails. Processor time is that of the
logic and of sealing and opening the datagrams, without the socket.
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
SECOND_US = 1_000_000
MEASURE_US = 300 * SECOND_US
CHECKS_PER_S = 2  # checks per second received from others; each front sends as many
REPEATS = 5


def member_records(size):
    """Return the records of this many instances, each decoded separately so that none share an object."""
    random = Random(1)
    records = [
        MemberRecord(
            random.getrandbits(63),
            f"front-{at}",
            f"10.{at >> 8}.{at & 255}.7",
            7946,
            1 << REFUTATION_BITS,
            at,
        )
        for at in range(size)
    ]
    decoder = msgspec.msgpack.Decoder(MemberRecord)
    return [decoder.decode(msgspec.msgpack.encode(record)) for record in records]


class MembershipView:
    """One real instance among simulated members."""

    def __init__(self, records):
        self.local_member, *self.remote_members = records
        self.members = Members(self.local_member, [("10.0.0.1", 7946)], MembershipTimeouts(), 1)
        key = (Key(b"abcd", os.urandom(32)),)
        self.guard, self.remote_guard, self.cpu_ns, self.now = Guard(key), Guard(key), 0, 0
        self.by_address = {(member.host, member.port): member for member in self.remote_members}
        self.random, self.ping_seq = Random(2), 0

    def set_up(self):
        start = time.thread_time_ns()
        self.members.add_known_members(self.remote_members)
        return time.thread_time_ns() - start

    def receive(self, sender, message):
        """Receive a datagram: open and handle it, seal the messages that follow, and answer those."""
        sealed = self.remote_guard.seal(sender, self.local_member.session_token, message)
        start = time.thread_time_ns()
        received = MessageReceived(*self.guard.open(sealed))
        commands = self.seal_messages(self.members.handle(self.now, (received,)))
        self.cpu_ns += time.thread_time_ns() - start
        self.answer(commands)

    def seal_messages(self, commands):
        sent = [command for command in commands if isinstance(command, SendMessage)]
        for command in sent:
            self.guard.seal(self.local_member, command.to, command.message)
        return sent

    def answer(self, sent):
        for command in sent:
            if isinstance(command.message, Ping):
                other = self.by_address[command.host, command.port]
                self.receive(other, Ack(command.message.seq, (), self.members.digest_to_send()))

    def wake(self):
        start = time.thread_time_ns()
        commands = self.seal_messages(self.members.handle(self.now, ()))
        self.cpu_ns += time.thread_time_ns() - start
        self.answer(commands)

    def run(self, until):
        last_check = self.now
        while self.now < until:
            due = self.members.next()
            self.now = min(until, max(self.now, due), last_check + SECOND_US // CHECKS_PER_S)
            if self.now - last_check >= SECOND_US // CHECKS_PER_S:
                last_check, self.ping_seq = self.now, self.ping_seq + 1
                self.receive(
                    self.random.choice(self.remote_members),
                    Ping(self.ping_seq, (), self.members.digest_to_send()),
                )
            if due is not None and due <= self.now:
                self.wake()


def measure_costs(size):
    """Return (set-up in ms, running cost in % of a core)."""
    view = MembershipView(member_records(size))
    set_up = view.set_up() / 1e6
    view.members.start(0)
    view.run(2 * SECOND_US)  # the order of checks is shuffled in this time
    view.cpu_ns = 0
    view.run(2 * SECOND_US + MEASURE_US)
    if len(view.members.ring) != size - 1:
        raise ValueError(f"{size - 1 - len(view.members.ring)} members lost")
    return set_up, view.cpu_ns / MEASURE_US / 10


def profile_view(size):
    """Profile the running cost of a view of this size; return Facts of the hottest functions."""
    view = MembershipView(member_records(size))
    view.set_up()
    view.members.start(0)
    view.run(2 * SECOND_US)
    profile = cProfile.Profile()
    profile.runcall(view.run, 2 * SECOND_US + MEASURE_US)
    return hottest_functions(pstats.Stats(profile).stats)


def memory(size):
    """Return the memory of a view with its records, in megabytes."""
    tracemalloc.start()
    try:
        view = MembershipView(member_records(size))
        view.by_address.clear()
        view.set_up()
        view.remote_members.clear()
        allocated, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    return allocated / 1e6


def measure():
    """Return the RoleResult of a single view."""
    measure_costs(SIZES[0])  # warms up the interpreter
    rounds = [[measure_costs(size) for size in SIZES] for _ in range(REPEATS)]
    minimum = [tuple(map(min, zip(*runs, strict=True))) for runs in zip(*rounds, strict=True)]
    rows = [(size, *cpu_ns, memory(size)) for size, cpu_ns in zip(SIZES, minimum, strict=True)]
    texts = (
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
            for at, (name, what, unit) in enumerate(texts, 1)
        ),
        profile_view(SIZES[-1]),
        (
            f"{MEASURE_US // SECOND_US} s, nothing fails; the least of {REPEATS} runs; sealed datagrams, "
            f"no socket; profile at {SIZES[-1]:,} instances",
        ),
    )
