"""The membership logic: SWIM with suspicion (Das, Gupta, Motivala 2002) and the later refinements on local
health.

Each period an instance checks its ring successor and one more, alternately the successor's successor and one
in a shuffled round. No answer within `direct`: others are asked to check. None by the end of the period: it
is suspected, and when the suspicion's time is over and nobody has heard it refute, checked once more, with
the suspicion told to it, and then declared dead: by those that missed its answers themselves; all others
leave them the time for that. So many that were parted and refute at once need not outrun old suspicions as
news. News travels on the checks. Whoever does not know the life it speaks to says Hello and learns it: what
is meant for a former life changes nothing. Free of I/O; docs/duties.md has the options weighed.
"""

from bisect import bisect_left, insort
from collections import OrderedDict
from itertools import islice
from math import ceil, log, log2, log10

from limepath.agenda import Agenda, mixed
from limepath.peers.interface import (
    NEWEST,
    REFUTALS,
    Ack,
    Depart,
    Departed,
    GiveWay,
    Heard,
    Hello,
    Joined,
    Page,
    Parted,
    Passed,
    Ping,
    PingFor,
    Pull,
    Say,
    Send,
    State,
    Welcome,
)

CARRIED = 8  # news on one message
PAGE, PAGES = 12, 8  # news on a page; pages in a row that bring no member
BUCKETS = 32  # ranges of tokens, each with a digest, so that of two views only what differs is pulled
DIFFERING = 1  # looks at another digest in a row before a page is pulled
COPIES = 3  # times log2 of the view, that a piece of news is passed on
CONFIRMED = 3  # others that suspect the same, at which the shortest suspicion holds
LONGEST = 3  # times the shortest suspicion, while nobody confirms it
ILL = 4  # by how much own missed answers stretch own time limits, at most
SEEK = 5  # periods between looks for whom the view has lost
GREETINGS = 8  # Hellos by period to those that are out of date
FAREWELLS, FAREWELL_ROUNDS = 4, 3
TOMBS = 4096  # dead and left that are remembered at most
REPLACED = "another instance goes on under this identity"
DOUBLED = "an older instance of this name is alive"


def shortest(spans, live):
    """The shortest suspicion at so many live instances, in microseconds.

    >>> from limepath.peers.interface import Spans
    >>> shortest(Spans(), 5), shortest(Spans(), 1000)
    (4000000, 12000000)
    """
    return int(spans.suspicion * spans.period * max(1.0, log10(max(1, live))))


def spread(spans, live):
    """The time in which news reaches all of a healthy view: log2 rounds of the checks and two to spare."""
    return spans.period * (ceil(log2(max(2, live))) + 2)


def detection(spans, live, together=1):
    """The longest time from a death until all of a healthy view know it, with so many dying together.

    Its ring predecessor checks it within a period and suspects it by the end of the next, or ILL later if it
    has missed answers itself; where nobody confirms the suspicion it is at its longest; `together` neighbours
    on the ring are found one after another. The last check before it is declared takes a period.
    """
    one = (3 + ILL) * spans.period + LONGEST * shortest(spans, live)
    return one * together + spread(spans, live)


def digest_of(news):
    return mixed(news.token ^ news.incarnation * 0x9E3779B97F4A7C15 & (1 << 64) - 1)


def bucket_of(token):
    """Tokens have 63 bits; a bucket is a range of them.

    >>> bucket_of(0), bucket_of((1 << 63) - 1)
    (0, 31)
    """
    return token * BUCKETS >> 63


class Suspicion:
    """Who suspects one at one incarnation, and since when we do; whether its last check is under way."""

    __slots__ = ("incarnation", "since", "by", "last")

    def __init__(self, incarnation, since, by):
        self.incarnation, self.since, self.by, self.last = incarnation, since, {by}, False


class Members:
    """One instance's view. `me` is its own News, alive; `seeds` are addresses."""

    def __init__(self, me, seeds, spans, seed, speaks=NEWEST):
        self.me, self.seeds, self.spans, self.speaks = me, tuple(seeds), spans, speaks
        self.agenda = Agenda(seed)
        self.table, self.names, self.suspicions, self.gossip = {}, {}, {}, OrderedDict()
        self.buried, self.table_since = {}, {}
        self.ring, self.round, self.periods, self.seq, self.ill = [], [], 0, 0, 0
        self.checks, self.relays, self.greeted, self.digest = {}, {}, {}, digest_of(me)
        self.leaving = self.over = False
        self.buckets = [0] * BUCKETS
        self.buckets[bucket_of(me.token)] = self.digest
        self.cursor, self.pulled, self.joining, self.differing, self.pages = -1, -1, True, 0, 0
        self.counts = {"misaddressed": 0, "former": 0, "refuted": 0, "suspected": 0, "declared": 0}
        self.desks = {
            Ping: self.pinged,
            Ack: self.acked,
            PingFor: self.asked_to_check,
            Hello: self.greeted_by,
            Welcome: self.welcomed,
            Pull: self.pulled_from,
            Page: self.paged,
        }

    # What the host and other logic use

    def handle(self, now, notes):
        """Take notes in at `now`, do what is due, give the orders."""
        agenda = self.agenda
        agenda.run(now)
        for note in notes:
            if isinstance(note, Heard):
                self.heard(note)
            elif isinstance(note, Depart) and not self.leaving:
                self.depart()
        return agenda.taken()

    def start(self, now):
        self.agenda.now = now
        for address in self.agenda.some(self.seeds, min(3, len(self.seeds))):
            self.greet(*address)
        self.agenda.at(now + int(self.agenda.chance() * self.spans.period), self.period)
        return self.agenda.taken()

    def known(self, news):
        """Take in what is known from elsewhere (a fleet set up by hand, in virtual time)."""
        for one in news:
            self.apply(one)
        self.gossip.clear()
        self.joining = False

    def next(self):
        return self.agenda.next()

    def ring_tokens(self):
        return [(token, self.table[token]) for token in self.ring]

    def reach(self, token, message):
        """Send a message of another logic to a member that counts as alive."""
        if (news := self.table.get(token)) and news.state <= State.SUSPECT:
            self.send(news, message)

    def is_live(self, token):
        return token == self.me.token or token in self.table and self.table[token].state <= State.SUSPECT

    # Sending

    def send(self, news, message):
        self.agenda.order(Send(news.host, news.port, news.door, message))

    def greet(self, host, port):
        """Hello, once a `direct` span to one address and so many a period in all."""
        now, last = self.agenda.now, self.greeted.get((host, port))
        if (host, port) == (self.me.host, self.me.port) or self.over:
            return
        if (
            last is not None
            and now - last < self.spans.direct
            or len(self.greeted) >= GREETINGS
            and last is None
        ):
            return
        self.greeted[host, port] = now
        self.agenda.order(Send(host, port, 0, Hello()))

    def told(self, to):
        """News to carry: the newest, then each in its turn; and what the receiver itself should refute."""
        own = self.table.get(to)
        carried = [own] if own and own.state not in (State.ALIVE, State.LEFT) else []
        for token in list(islice(self.gossip, CARRIED - len(carried))):
            news, left = self.gossip.pop(token)
            carried.append(news)
            if left > 1:
                self.gossip[token] = news, left - 1  # behind all others
        return tuple(carried)

    def pass_on(self, news):
        self.gossip[news.token] = news, COPIES * ceil(log2(len(self.ring) + 2))
        self.gossip.move_to_end(news.token, last=False)  # the newest goes first, then each in its turn

    # The round of checks

    def period(self):
        if self.over:
            return
        agenda, spans = self.agenda, self.spans
        self.periods += 1
        agenda.at(agenda.now + spans.period, self.period)
        self.greeted = {address: at for address, at in self.greeted.items() if agenda.now - at < spans.period}
        for token in self.due_for_checks():
            self.check(self.table[token])
        if self.periods % SEEK == 0 or not self.ring:
            self.seek()
        self.forget()

    def due_for_checks(self):
        """The ring successor, and in turn the one after it or the next of a shuffled round."""
        if not self.ring:
            return ()
        at = bisect_left(self.ring, self.me.token)
        first = self.ring[at % len(self.ring)]
        second = self.ring[(at + 1) % len(self.ring)]
        if self.periods % 2:
            while self.round and not self.is_live(self.round[-1]):
                self.round.pop()
            if not self.round:
                self.round = self.agenda.some(self.ring, len(self.ring))
            second = self.round.pop()
        return dict.fromkeys((first, second))

    def check(self, news):
        self.seq += 1
        self.checks[self.seq] = news
        patience = 1 + self.ill
        self.send(news, Ping(self.seq, self.told(news.token), self.shown()))
        self.agenda.at(self.agenda.now + self.spans.direct * patience, self.unanswered, self.seq)
        self.agenda.at(self.agenda.now + self.spans.period * patience, self.failed, self.seq)

    def shown(self):
        return self.digest if self.speaks >= 2 else 0

    def unanswered(self, seq):
        """No answer yet: ask others to check, for the way between us may be all that is broken."""
        if (news := self.checks.get(seq)) is None or not self.is_live(news.token):
            return
        others = [token for token in self.ring if token != news.token]
        for token in self.agenda.some(others, min(self.spans.indirect, len(others))):
            self.send(self.table[token], PingFor(seq, news, self.told(token)))

    def failed(self, seq):
        if (news := self.checks.pop(seq, None)) is None:
            return
        known = self.table.get(news.token)
        self.ill = min(ILL, self.ill + (known is not None and known.state == State.ALIVE))
        if known and known.state <= State.SUSPECT and known.incarnation == news.incarnation:
            self.suspect(known, self.me.token)

    def suspect(self, news, by):
        """One more that suspects it; the more do, the shorter is its time to refute."""
        doubt = self.suspicions.get(news.token)
        if doubt is None or doubt.incarnation < news.incarnation:
            doubt = self.suspicions[news.token] = Suspicion(news.incarnation, self.agenda.now, by)
            self.counts["suspected"] += by == self.me.token
            self.put(news._replace(state=State.SUSPECT, by=by))
        elif by not in doubt.by and (len(doubt.by) <= CONFIRMED or by == self.me.token):
            doubt.by.add(by)
            self.pass_on(news._replace(state=State.SUSPECT, by=by))
        else:
            return
        least = shortest(self.spans, len(self.ring) + 1)
        able = min(CONFIRMED, max(0, len(self.ring) - 1))
        part = log(len(doubt.by)) / log(able + 1) if able else 1.0
        until = doubt.since + int(max(least, LONGEST * least - (LONGEST - 1) * least * part))
        if (
            self.me.token not in doubt.by
        ):  # who missed its answers looks once more and tells; time for that and the news
            until += 2 * self.spans.period + spread(self.spans, len(self.ring) + 1)
        self.agenda.at(max(self.agenda.now, until), self.declare, news.token, news.incarnation, len(doubt.by))

    def declare(self, token, incarnation, confirmed):
        doubt, news = self.suspicions.get(token), self.table.get(token)
        if (
            not doubt
            or doubt.incarnation != incarnation
            or len(doubt.by) != confirmed
            or doubt.last
            or self.over
        ):
            return
        doubt.last = True
        self.seq += 1
        self.checks[self.seq] = news
        self.send(
            news, Ping(self.seq, self.told(token), self.shown())
        )  # `told` bears the suspicion: it can refute
        self.agenda.at(self.agenda.now + self.spans.direct, self.unanswered, self.seq)
        self.agenda.at(self.agenda.now + self.spans.period, self.checked_last, self.seq, token, incarnation)

    def checked_last(self, seq, token, incarnation):
        self.checks.pop(seq, None)
        doubt, news = self.suspicions.get(token), self.table.get(token)
        if not doubt or doubt.incarnation != incarnation or self.over:
            return
        self.counts["declared"] += 1
        self.agenda.order(
            Say("peer-dead", {"peer": news.name, "incarnation": incarnation, "suspected_by": len(doubt.by)})
        )
        self.put(news._replace(state=State.DEAD, by=self.me.token))

    def seek(self):
        """Hello to a seed or to one declared dead: two halves that lost each other find together again."""
        lost = [(news.host, news.port) for news in self.buried.values() if news.state == State.DEAD]
        here = {(news.host, news.port) for _, news in self.ring_tokens()}
        lost += [address for address in self.seeds if address not in here]
        for address in self.agenda.some(lost, min(2, len(lost))):
            self.greet(*address)

    def forget(self):
        over = (
            [
                token
                for token, news in self.buried.items()
                if self.agenda.now - self.table_since[token] > self.spans.forget
            ]
            if self.buried
            else []
        )
        over += list(self.buried)[: max(0, len(self.buried) - TOMBS)]
        for token in over:
            self.buried.pop(token, None)
            if (news := self.table.pop(token, None)) and self.names.get(news.name) == token:
                del self.names[news.name]
            self.table_since.pop(token, None)

    # The view

    def put(self, news):
        """Write news into the table, tell the view's change, pass it on."""
        token, old = news.token, self.table.get(news.token)
        was, now_live = old is not None and old.state <= State.SUSPECT, news.state <= State.SUSPECT
        self.table[token] = news
        if was:
            self.mark(old)
        if now_live:
            self.mark(news)
        if news.state != State.SUSPECT:
            self.suspicions.pop(token, None)
        if now_live and not was:
            insort(self.ring, token)
            self.buried.pop(token, None)
            self.table_since.pop(token, None)
            self.agenda.order(Joined(news))
        elif was and not now_live:
            del self.ring[bisect_left(self.ring, token)]
            self.agenda.order(Parted(news))
        elif was and old.life != news.life:  # it started anew before we missed it
            self.agenda.order(Parted(old))
            self.agenda.order(Joined(news))
        if not now_live:
            self.buried[token] = news
            self.table_since.setdefault(token, self.agenda.now)
        self.pass_on(news)

    def mark(self, news):
        """Put a living one into the digests, or take it out."""
        digest = digest_of(news)
        self.digest ^= digest
        self.buckets[bucket_of(news.token)] ^= digest

    def apply(self, news):
        """Take one piece of news in, if it is newer than what is known (the order of SWIM, section 4.2)."""
        if news.token == self.me.token:
            return self.about_me(news)
        old = self.table.get(news.token)
        if old is None:
            if news.state <= State.SUSPECT:
                self.put(news._replace(state=State.ALIVE))
                if news.state == State.SUSPECT:
                    self.suspect(news, news.by)
            return
        if news.incarnation < old.incarnation:
            return
        if news.state == State.SUSPECT:
            if news.incarnation > old.incarnation:
                self.put(news._replace(state=State.ALIVE))
            if self.table[news.token].state <= State.SUSPECT:
                self.suspect(news, news.by)
        elif news.state == State.ALIVE:
            if news.incarnation > old.incarnation:
                self.put(news)
        elif news.state > old.state or news.incarnation > old.incarnation:
            self.put(news)

    def about_me(self, news):
        """Refute what is said of this life; see whether another goes on under this identity."""
        if self.leaving:
            return
        if news.birth != self.me.birth and news.incarnation >> REFUTALS >= self.me.life:
            if news.life > self.me.life or news.birth < self.me.birth:
                self.give_way(news, REPLACED)
            return
        if news.state != State.ALIVE and news.incarnation >= self.me.incarnation:
            self.counts["refuted"] += 1
            self.ill = min(ILL, self.ill + 1)
            self.renew(news.incarnation + 1)

    def renew(self, incarnation):
        self.mark(self.me)
        self.me = self.me._replace(incarnation=incarnation)
        self.mark(self.me)
        self.pass_on(self.me)

    def speaks_for(self, sender):
        """An address is held by one process at a time: who was there under another token, a lost store's, is
        dead.
        """
        other = self.names.get(sender.name)
        self.names[sender.name] = sender.token
        if other not in (None, sender.token) and self.is_live(other):
            old = self.table[other]
            if (old.host, old.port) == (sender.host, sender.port):
                self.put(old._replace(state=State.DEAD, by=self.me.token))

    def give_way(self, other, why):
        if not self.over:
            self.over = True
            if other.token != self.me.token:  # a token of its own is not needed any more
                gone = self.me._replace(state=State.LEFT)
                for token in self.agenda.some(self.ring, min(len(self.ring), FAREWELLS)):
                    self.send(self.table[token], Ping(0, (gone,), 0))
            self.agenda.order(GiveWay(other, why))

    # Messages

    def heard(self, note):
        sender = note.sender
        if self.over:
            return
        if sender.token == self.me.token:
            return self.about_me(sender)
        old = self.table.get(sender.token)
        if isinstance(note.message, Hello):
            return self.greeted_by(sender, note.message)
        if note.to != self.me.door:
            self.counts["misaddressed"] += 1
            return self.greet(sender.host, sender.port)
        if old is not None and sender.life < old.life:
            self.counts["former"] += 1
            return
        if sender.name == self.me.name and (sender.birth, sender.token) < (self.me.birth, self.me.token):
            return self.give_way(sender, DOUBLED)  # it has just spoken: it is alive
        self.apply(sender._replace(state=State.ALIVE, by=0))
        if self.names.get(sender.name) != sender.token:
            self.speaks_for(sender)
        desk = self.desks.get(type(note.message))
        if desk is not None:
            desk(sender, note.message)
        else:
            self.agenda.order(Passed(sender, note.message))

    def take(self, news):
        for one in news:
            if not self.over:
                self.apply(one)

    def greeted_by(self, sender, message):
        """Nothing is believed of one that does not know this life: its Hello may be an old one."""
        self.agenda.order(Send(sender.host, sender.port, sender.door, Welcome(self.told(sender.token))))

    def welcomed(self, sender, message):
        """The sender meant this life, so it lives; its view is pulled while ours is new, else as digests
        differ.
        """
        self.take(message.news)
        if self.joining:
            self.pull(sender)
        else:
            self.send(sender, Ping(0, self.told(sender.token), self.shown()))

    def pinged(self, sender, message):
        self.take(message.news)
        self.send(sender, Ack(message.seq, self.told(sender.token), self.shown()))
        self.compare(sender, message.digest)

    def acked(self, sender, message):
        self.take(message.news)
        if news := self.checks.pop(message.seq, None):
            self.ill = max(0, self.ill - (news.token == sender.token))
        elif relay := self.relays.pop(message.seq, None):
            self.send(
                relay[0], Ack(relay[1], (self.table[sender.token],) if sender.token in self.table else ())
            )
        self.compare(sender, message.digest)

    def asked_to_check(self, sender, message):
        self.take(message.news)
        about = self.table.get(message.about.token, message.about)
        if about.token == self.me.token:
            return
        self.seq += 1
        self.relays[self.seq] = sender, message.seq
        self.agenda.at(self.agenda.now + self.spans.period * (1 + ILL), self.relays.pop, self.seq, None)
        self.send(about, Ping(self.seq, self.told(about.token), self.shown()))

    def compare(self, sender, digest):
        """Pull a page from whose view goes on differing, once a period at most; and while this view is
        new.
        """
        self.differing = self.differing + 1 if digest and digest != self.digest else 0
        if (self.joining or self.differing > DIFFERING) and self.pulled != self.periods:
            self.pulled, self.pages = self.periods, 0
            self.pull(sender)

    def pull(self, sender):
        self.send(sender, Pull(self.cursor, tuple(self.buckets)))

    def pulled_from(self, sender, message):
        """A page of what lies in the buckets that differ; of all, to one that tells no buckets."""
        whole = self.ring.copy()
        insort(whole, self.me.token)
        if len(message.buckets) == BUCKETS:
            differs = [one != other for one, other in zip(self.buckets, message.buckets, strict=False)]
            whole = [token for token in whole if differs[bucket_of(token)]]
        at = bisect_left(whole, message.after + 1)
        page = tuple(
            self.me if token == self.me.token else self.table[token] for token in whole[at : at + PAGE]
        )
        self.send(sender, Page(page, at + PAGE >= len(whole)))

    def paged(self, sender, message):
        """Go on to the next page while pages bring news. What they bring is not passed on: others pull it
        too.
        """
        before, known, count = self.digest, set(self.gossip), len(self.ring)
        self.take(message.news)
        for one in message.news:
            if one.token not in known:
                self.gossip.pop(one.token, None)
        self.cursor = -1 if message.last or not message.news else message.news[-1].token
        grew = len(self.ring) > count
        self.pages += not grew
        if message.last:
            self.joining = False
            self.pulled = (
                -1 if grew else self.pulled
            )  # a view that grows is compared again before the period is over
        elif self.joining or grew or self.digest != before and self.pages < PAGES:
            self.pull(sender)

    # Leaving

    def depart(self):
        self.leaving = True
        self.me = self.me._replace(state=State.LEFT)
        self.farewell(FAREWELL_ROUNDS)

    def farewell(self, rounds):
        if self.over:
            return
        if not rounds or not self.ring:
            self.over = True
            return self.agenda.order(Departed())
        for token in self.agenda.some(
            self.ring, min(len(self.ring), FAREWELLS + ceil(log2(len(self.ring) + 1)))
        ):
            self.send(self.table[token], Ping(0, (self.me,), 0))
        self.agenda.at(self.agenda.now + self.spans.direct, self.farewell, rounds - 1)
