"""A tree's subscribers of this front: how many are taken, what each has acknowledged, what goes out.

Every `gather` each child is sent what came since, one datagram at least; those behind share a number of
further datagrams, so that a front sends no more than a set number whatever others lack. What was sent and is
not acknowledged in time is sent again. Free of I/O.
"""

import msgspec

from limepath.discovery.bounds import (
    EXTRA_BATCHES_PER_TICK,
    ONE_WAY_DELAY_US,
    SNAPSHOT_CHUNKS_PER_TICK,
    max_children,
    max_watchers,
)
from limepath.discovery.component import Component
from limepath.discovery.event_coding import MAX_BATCH_BYTES, encode_batches
from limepath.discovery.event_window import CompactedError
from limepath.discovery.interface import EventBatch, SendToMember, SubscriptionMode
from limepath.discovery.varint import ByteReader

LEASE_HEARTBEATS = 4  # beats for which a subscriber counts as one


class TreeSubscriber:
    """`sent` is the last event sent, None where the next that it needs is not kept; `unanswered` are (time,
    number) of what was sent lately.
    """

    __slots__ = ("until", "reads", "sent", "unanswered", "stamp", "stamp_at")

    def __init__(self):
        self.until = 0
        self.reads = SubscriptionMode.HEARTBEATS
        self.sent = None
        self.unanswered = []
        self.stamp = 0
        self.stamp_at = 0

    def overdue(self, now):
        """The last event that must have been acknowledged by now, or None."""
        past = [number for at, number in self.unanswered if at <= now - 2 * ONE_WAY_DELAY_US]
        self.unanswered = [(at, number) for at, number in self.unanswered if at > now - 2 * ONE_WAY_DELAY_US]
        return past[-1] if past else None


class TreeSubscribers(Component):
    def __init__(self, listing):
        super().__init__(listing)
        self.known = {}
        self.ticking = False
        self.further = EXTRA_BATCHES_PER_TICK
        self.refilled = 0
        self.pieces = {}
        self.askers = 0  # of lists sent in this tick, by token; who asked for any in the last

    def readers(self):
        return [child for child in self.known.values() if child.reads == SubscriptionMode.BATCHES]

    def keep(self, live, now):
        self.known = {
            token: child for token, child in self.known.items() if child.until > now and token in live
        }

    def may_join(self, token, reads):
        """Whether one more subscriber of its kind is taken; one that is known stays."""
        known = self.known.get(token)
        if known and known.reads == reads:
            return True
        readers = len(self.readers())
        if reads == SubscriptionMode.BATCHES:
            return readers < max_children(self.terms)
        return len(self.known) - readers < max_watchers(self.terms)

    def subscribed(self, token, message):
        """Answer with where the list stands; note what the child has."""
        now, place = self.timers.now, self.held.list.place
        if not self.may_join(token, message.reads):
            self.counts["turned away"] += 1
            self.known.pop(token, None)
            beat = self.followers.my_beat()
            return self.timers.emit(SendToMember(token, reply_heartbeat(beat, message.stamp, refused=True)))
        child = self.known.setdefault(token, TreeSubscriber())
        child.until = now + LEASE_HEARTBEATS * self.terms.beat
        child.reads = message.reads
        child.stamp = message.stamp
        child.stamp_at = now
        self.timers.emit(SendToMember(token, reply_heartbeat(self.followers.my_beat(), message.stamp)))
        if message.reads != SubscriptionMode.BATCHES:
            child.sent = None
        elif message.generation != place.generation or not self.held.window.covers(message.number):
            child.sent = None
        else:
            self.acknowledged(child, message)
            if child.sent < place.number:
                self.tick_soon()

    def acknowledged(self, child, message):
        """Send again from where the child stands, if something that was sent is not there."""
        overdue = child.overdue(self.timers.now)
        lost = overdue is not None and message.number < overdue
        if child.sent is None or message.lacks or lost or message.number > child.sent:
            self.counts["sent again"] += child.sent is not None and child.sent > message.number
            child.sent = message.number
            child.unanswered = []

    # Sending

    def tick_soon(self):
        if not self.ticking and self.known:
            self.ticking = True
            self.timers.schedule(self.timers.now + self.terms.gather, self.tick)

    def tick(self):
        """Send each child the next datagram, and those behind more of them in turn, as far as that goes."""
        self.ticking = False
        self.refill()
        number = self.held.list.place.number
        waiting, prepared = [child for child in self.known.items() if child[1].sent is not None], {}
        first = True
        while waiting and (first or self.further > 0):
            behind = []
            for token, child in waiting:
                if not first:
                    self.further -= 1
                if self.send_next(token, child, prepared) and child.sent < number:
                    behind.append((token, child))
                if self.further <= 0 and not first:
                    break
            waiting, first = behind, False
        if any(child.sent is not None and child.sent < number for child in self.known.values()):
            self.tick_soon()

    def send_next(self, token, child, prepared):
        """Send the next batch; give whether there was one."""
        if child.sent is None or child.sent >= self.held.list.place.number:
            return False
        if child.sent not in prepared:
            prepared[child.sent] = self.next_batch(child.sent)
        data, last = prepared[child.sent]
        if not data:  # the window has moved on: the child asks for the whole list
            child.sent = None
            return False
        now, held = self.timers.now, self.held
        age = held.age() if held.confirmed_at is not None and last == held.list.place.number else -1
        since = now - child.stamp_at if child.stamp else 0
        message = EventBatch(held.list.place.generation, child.sent + 1, data, age, child.stamp, since)
        child.sent = last
        child.unanswered.append((now, last))
        self.counts["pushed"] += 1
        self.timers.emit(SendToMember(token, message))
        return True

    def next_batch(self, sent):
        """Events after `sent` in one datagram: (bytes, the last number); no bytes if one is not held."""
        try:
            coded = self.held.window.since(sent, 2 * MAX_BATCH_BYTES)
        except CompactedError:
            return b"", sent
        data = encode_batches(coded)[0]
        return data, sent + batch_size(data)

    def tell(self):
        for token in self.known:
            self.timers.emit(SendToMember(token, self.followers.my_beat()))

    def may_serve_piece(self, token):
        """Whether one more datagram of a list may go out before the next tick, to one of those that share
        what goes out of lists.
        """
        self.refill()
        sent = self.pieces.setdefault(token, 0)
        if sum(self.pieces.values()) >= SNAPSHOT_CHUNKS_PER_TICK or sent >= max(
            1, SNAPSHOT_CHUNKS_PER_TICK // max(1, self.askers)
        ):
            return False
        self.pieces[token] = sent + 1
        return True

    def refill(self):
        """So many further datagrams of events and so many of lists in each span of a tick."""
        if self.timers.now - self.refilled >= self.terms.gather:
            self.further = EXTRA_BATCHES_PER_TICK
            self.refilled = self.timers.now
            self.pieces, self.askers = {}, len(self.pieces)


def batch_size(batch):
    """How many events a batch holds, by its head."""
    reader = ByteReader(batch)
    reader.take(1)
    reader.integer(), reader.integer()
    return reader.integer()


def reply_heartbeat(beat, stamp, refused=False):
    return msgspec.structs.replace(beat, stamp=stamp, refused=refused)
