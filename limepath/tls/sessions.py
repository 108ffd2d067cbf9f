"""Which session to offer. A resumption skips the verification, so every condition of the one it rests on must
hold.

Bounded in all and by member, the one unused for longest goes first. Free of I/O.
"""

from collections import OrderedDict, deque

from limepath.tls.interface import Session


class Sessions:
    """At most `most` sessions, `each` for one member, none for longer than `longest` microseconds."""

    def __init__(self, most, each, longest):
        self.most, self.each, self.longest = most, each, longest
        self.kept, self.count, self.trust, self.client = OrderedDict(), 0, 0, 0
        self.counts = {"kept": 0, "offered": 0, "dropped": 0}

    def keep(self, now, wall, session):
        """Keep a session; give whether it was: not one of another generation, or whose time is over."""
        under = session.under
        session = session._replace(until=min(session.until, now + self.longest))
        if (under.trust, under.client) != (self.trust, self.client) or not self.holds(now, wall, session):
            return False
        line = self.kept.setdefault(under, deque())
        self.kept.move_to_end(under)
        line.append(session)
        self.count += 1
        self.counts["kept"] += 1
        of_member = [known for known in self.kept if known.member == under.member]
        while sum(len(self.kept[known]) for known in of_member) > self.each:
            self.drop_oldest(next(known for known in of_member if self.kept.get(known)))
            of_member = [known for known in of_member if known in self.kept]
        while self.count > self.most:
            self.drop_oldest(next(iter(self.kept)))
        return True

    def offer(self, now, wall, under):
        """The newest session that may be offered, or None. One that may be used once is gone with that."""
        if (under.trust, under.client) != (self.trust, self.client):
            return None
        line = self.kept.get(under, ())
        while line:
            session = line[-1]
            if not self.holds(now, wall, session):
                line.pop()
                self.count -= 1
                self.counts["dropped"] += 1
                continue
            self.kept.move_to_end(under)
            if session.once:
                line.pop()
                self.count -= 1
            self.counts["offered"] += 1
            if not line:
                del self.kept[under]
            return session
        self.kept.pop(under, None)
        return None

    @staticmethod
    def holds(now, wall, session):
        return now < session.until and session.wall_since <= wall < session.wall_until

    def resumable(self, now, wall, under):
        """Whether one could be offered, without taking it."""
        return (under.trust, under.client) == (self.trust, self.client) and any(
            self.holds(now, wall, session) for session in self.kept.get(under, ())
        )

    def forget(self, member):
        """A server fell back to a full handshake: it has lost its ticket keys, all that it gave is void."""
        for under in [under for under in self.kept if under.member == member]:
            self.drop(under)

    def swap(self, trust, client):
        """Other generations are in force: nothing that was verified before may be offered."""
        if (trust, client) != (self.trust, self.client):
            self.trust, self.client = trust, client
            for under in list(self.kept):
                self.drop(under)

    def drop(self, under):
        gone = len(self.kept.pop(under))
        self.count -= gone
        self.counts["dropped"] += gone

    def drop_oldest(self, under):
        line = self.kept[under]
        line.popleft()
        self.count -= 1
        self.counts["dropped"] += 1
        if not line:
            del self.kept[under]


__all__ = ["Session", "Sessions"]
