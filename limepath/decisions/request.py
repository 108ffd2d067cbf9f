"""One request that is owed a final answer."""

from limepath.interface.settings import Idempotency

LIGHT, HEAVY = 1.5, 0.7  # times that for GETs under half their latency objective in size, and over it


class OpenGet:
    """One GET that is owed a final answer."""

    def __init__(self, get, ds, due, own):
        self.id, self.dsi, self.ds, self.due, self.own = get.id, get.service, ds, due, own
        self.name, self.group, self.size_kb = (get.object, get.part), get.group, get.size_kb
        self.rank, self.sent, self.out, self.at, self.passed = 0, 0, None, None, set()
        self.closed = self.filling = self.direct = self.stale = self.held = False
        self.ran_at = self.ran_by = self.ran_in = None  # first forward that may have run: when, which, where
        known = get.has_key or ds.idempotency != Idempotency.KEYED  # without a token nobody can tell a repeat
        self.repeats = ds.idempotency if known else Idempotency.NON_IDEMPOTENT
        large = get.size_kb and own > ds.latency_objective
        self.claim = LIGHT if own < ds.latency_objective / 2 else HEAVY if large else 1
