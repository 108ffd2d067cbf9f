"""Requests of clients: a head parsed and checked, and what has become of each."""

from limepath.front.clock import clock
from limepath.interface.events import RequestArrived

PATH = b"/invoke/"
READ = frozenset(
    (
        b"host",
        b"connection",
        b"content-length",
        b"transfer-encoding",
        b"x-txn",
        b"x-ttl-ms",
        b"x-family",
        b"x-txn-key",
        b"if-none-match",
        b"expect",
    )
)
HEX = frozenset(b"0123456789abcdef")
KEY = frozenset(b"0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ-_.:")


class Flaw(Exception):
    """What a client sent cannot be taken: the status that says so, and why."""

    def __init__(self, status, why):
        super().__init__(why)
        self.status = status


def read_head(buffer, longest, most):
    """Parse a head where it lies: (method, target, fields, its length), or None while it is not whole."""
    end = buffer.find(b"\r\n\r\n", 0, longest)
    if end < 0:
        if len(buffer) >= longest:
            raise Flaw(431, "over-long head")
        return None
    lines = bytes(buffer[:end]).split(b"\r\n")
    words = lines[0].split(b" ")
    if len(words) != 3 or not words[0].isalpha() or not words[1]:
        raise Flaw(400, "malformed first line")
    if words[2] != b"HTTP/1.1":
        raise Flaw(505 if words[2].startswith(b"HTTP/") else 400, "another version of HTTP")
    if len(lines) - 1 > most:
        raise Flaw(431, "too many fields")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(b":")
        name = name.lower()
        if not colon or not name or name.strip() != name or b" " in name:
            raise Flaw(400, "malformed field")
        if name in fields:
            raise Flaw(400, "twofold field")
        if name in READ:
            fields[name] = value.strip()
    return words[0], words[1], fields, end + 4


def whole_number(text, most, what):
    if not text.isdigit() or len(text) > 15 or int(text) > most:
        raise Flaw(400, what)
    return int(text)


class Request:
    """One GET as the client worded it, and what has become of it."""

    __slots__ = (
        "id",
        "connection",
        "txn",
        "key",
        "service",
        "object",
        "part",
        "have",
        "body",
        "note",
        "due",
        "sent",
        "begun",
        "attempts",
        "closed",
        "timer",
    )

    def __init__(self, ident, connection, method, target, fields, body, services, arrived_at):
        if target.startswith(b"http://"):
            target = b"/" + target[7:].partition(b"/")[2]
        path, mark, query = target.partition(b"?")
        service, slash, obj = path[len(PATH) :].partition(b"/")
        if not path.startswith(PATH) or not slash or service not in services:
            raise Flaw(404, "no such target")
        ds, writes, longest = services[service]
        if method != (b"PUT" if writes else b"GET"):
            raise Flaw(405, "not this method here")
        part = None
        if mark:
            name, _, part = query.partition(b"=")
            if name != b"block":
                raise Flaw(400, "query")
        txn, have = fields.get(b"x-txn", b""), fields.get(b"if-none-match", b"")
        if len(txn) != 16 or not HEX.issuperset(txn.lower()):
            raise Flaw(400, "X-Txn")
        if not obj or len(obj) > 16 or not HEX.issuperset(obj.lower()):
            raise Flaw(404, "no such object")
        if not (have[:1] == have[-1:] == b'"' and have[1:-1].isalnum() and len(have) < 100):
            have = b""  # no tag that could be one of ours: the whole answer serves as well
        patience = whole_number(fields.get(b"x-ttl-ms", b""), longest // 1000, "X-Ttl-Ms") * 1000
        if not patience:
            raise Flaw(400, "X-Ttl-Ms")
        due = arrived_at + patience  # the client's time runs from its last byte
        patience = max(1, due - clock())
        group = whole_number(fields.get(b"x-family", b""), 255, "X-Family")
        number = whole_number(part, 1 << 24, "block") if part is not None else 0
        self.key = fields.get(
            b"x-txn-key", b""
        )  # goes on unchanged, as all that makes the request what it is
        if len(self.key) > 64 or not KEY.issuperset(self.key):  # others could end the field it becomes
            raise Flaw(400, "X-Txn-Key")
        self.id, self.connection, self.txn, self.service, self.object = ident, connection, txn, service, obj
        self.part, self.have, self.body, self.due = part, have.strip(b'"'), body, due
        self.sent, self.attempts, self.closed, self.timer = 0, {}, False, None
        self.begun = []  # when its attempts were handed to the system
        self.note = RequestArrived(
            ident, ds, 0, int(obj, 16), patience, 0.0, group, number, False, writes, bool(self.key)
        )

    def shorten(self, due):
        """Its time ends at `due`, sooner than its client told."""
        self.due, self.note = due, self.note._replace(time_left=max(1, due - clock()))
