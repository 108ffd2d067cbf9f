"""A cache of TLS sessions that decides which session to offer. Does no I/O.

A resumed handshake skips the verification, so a session is offered only while every condition of the
verification that it rests on still holds. The number of sessions is limited in all and for each member; the
least recently used are dropped first.
"""

from collections import OrderedDict, deque

from limepath.tls.interface import Session


class SessionCache:
    """At most `capacity` sessions, `per_member` of them for one member.

    Attributes:
        max_lifetime: microseconds until a session is dropped, whatever its own lifetime.
        by_scope: the sessions by VerificationScope, least recently used scope first, newest session last.
        count: the number of sessions.
        trust_generation: the generation of the trusted roots and revocation lists.
        key_generation: the generation of the client's certificate and key.
        counts: sessions by what happened to them.
    """

    def __init__(self, capacity, per_member, max_lifetime):
        self.capacity, self.per_member, self.max_lifetime = capacity, per_member, max_lifetime
        self.by_scope, self.count, self.trust_generation, self.key_generation = OrderedDict(), 0, 0, 0
        self.counts = {"kept": 0, "offered": 0, "dropped": 0}

    def add(self, now, wall, session):
        """Add a session and return True; return False if it is of another generation or has expired."""
        scope = session.scope
        session = session._replace(expires_at=min(session.expires_at, now + self.max_lifetime))
        if (scope.trust_generation, scope.key_generation) != (
            self.trust_generation,
            self.key_generation,
        ) or not self.is_valid(now, wall, session):
            return False
        sessions = self.by_scope.setdefault(scope, deque())
        self.by_scope.move_to_end(scope)
        sessions.append(session)
        self.count += 1
        self.counts["kept"] += 1
        of_member = [cached for cached in self.by_scope if cached.member == scope.member]
        while sum(len(self.by_scope[cached]) for cached in of_member) > self.per_member:
            self.drop_oldest(next(cached for cached in of_member if self.by_scope.get(cached)))
            of_member = [cached for cached in of_member if cached in self.by_scope]
        while self.count > self.capacity:
            self.drop_oldest(next(iter(self.by_scope)))
        return True

    def offer(self, now, wall, scope):
        """Return the newest session that may be offered, or None. A single-use session is removed."""
        if (scope.trust_generation, scope.key_generation) != (self.trust_generation, self.key_generation):
            return None
        sessions = self.by_scope.get(scope, ())
        while sessions:
            session = sessions[-1]
            if not self.is_valid(now, wall, session):
                sessions.pop()
                self.count -= 1
                self.counts["dropped"] += 1
                continue
            self.by_scope.move_to_end(scope)
            if session.single_use:
                sessions.pop()
                self.count -= 1
            self.counts["offered"] += 1
            if not sessions:
                del self.by_scope[scope]
            return session
        self.by_scope.pop(scope, None)
        return None

    @staticmethod
    def is_valid(now, wall, session):
        return now < session.expires_at and session.valid_from <= wall < session.valid_until

    def resumable(self, now, wall, scope):
        """Whether `offer` would return a session."""
        return (scope.trust_generation, scope.key_generation) == (
            self.trust_generation,
            self.key_generation,
        ) and any(self.is_valid(now, wall, session) for session in self.by_scope.get(scope, ()))

    def drop_member(self, member):
        """Drop all sessions of a server that rejected one, because it has lost its ticket keys."""
        for scope in [scope for scope in self.by_scope if scope.member == member]:
            self.drop_scope(scope)

    def set_generations(self, trust_generation, key_generation):
        """Set the generations in force; drop all sessions if they changed."""
        if (trust_generation, key_generation) != (self.trust_generation, self.key_generation):
            self.trust_generation, self.key_generation = trust_generation, key_generation
            for scope in list(self.by_scope):
                self.drop_scope(scope)

    def drop_scope(self, scope):
        dropped_count = len(self.by_scope.pop(scope))
        self.count -= dropped_count
        self.counts["dropped"] += dropped_count

    def drop_oldest(self, scope):
        sessions = self.by_scope[scope]
        sessions.popleft()
        self.count -= 1
        self.counts["dropped"] += 1
        if not sessions:
            del self.by_scope[scope]


__all__ = ["Session", "SessionCache"]
