"""Forwards and probes on their way, and the command that a forward becomes."""

from limepath.front.clock import clock

HOW = (
    ("join", "join_fill"),
    ("held", "cached_only"),
    ("nocopy", "no_copy_above"),
    ("renew", "revalidate"),
)


class Attempt:
    """One forward on its way."""

    __slots__ = (
        "get",
        "number",
        "order",
        "at",
        "limit",
        "connection",
        "tag",
        "timer",
        "end",
        "source",
        "send_by",
    )

    def __init__(self, get, order, name_of, decided_at, wait):
        self.get, self.order, self.number, self.tag = get, order, get.attempt_count, get.transaction_id
        self.source = b"" if order.source == order.endpoint else name_of[order.source]
        self.at, self.connection, self.timer = clock(), None, None
        may_wait = min(wait, order.send_within or wait)  # what its rules let it wait, wherever it does
        self.send_by = decided_at + may_wait
        self.limit = min(get.deadline, self.at + order.time_limit) if order.time_limit else get.deadline

    def words(self):
        """The command's first line, written when it is sent, with what is left of its time."""
        get, order = self.get, self.order
        told = [b"queue=%b,path=%b" % (get.service, get.object_id)]
        if get.block is not None:
            told.append(b"blk=%b" % get.block)
        told.append(b"budget=%d" % max(1, (self.limit - clock()) // 1000))
        if self.source:
            told.append(b"up=%b" % self.source)
        if order.keep_rank:
            told.append(b"store=%d" % order.keep_rank)
        if order.max_age:
            told.append(b"cap=%d" % max(1, order.max_age // 1000))
        if how := "+".join(word for word, flag in HOW if getattr(order, flag)):
            told.append(b"do=%b" % how.encode())
        if get.cached_tag:
            told.append(b"inm=%b" % get.cached_tag)
        if get.idempotency_key:
            told.append(b"uniq=%b" % get.idempotency_key)
        return b"ASK %b %b %d\r\n" % (get.transaction_id, b",".join(told), len(get.body))


class Probing:
    """One probe on its way."""

    __slots__ = ("cache", "at", "tag", "timer", "connection", "end", "send_by")

    def __init__(self, cache, tag, wait):
        self.cache, self.at, self.tag, self.timer, self.connection = cache, clock(), tag, None, None
        self.send_by = self.at + wait
