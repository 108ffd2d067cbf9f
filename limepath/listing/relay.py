"""The listing logic of one front: whom it hears the list from, when it calls the service itself, what it
passes on.

The first `relays` of a zone, by hash over the live view, hold a stream of the service; all others send each
of them a Follow every beat, which is answered by a Beat (where its list stands, when the service last
confirmed that) and by what is missing; news is also pushed at once. Ages add up on the way, so it does not
matter who tells: a list is as old as the service's last word behind it. Whoever is silent, whose stream
stands still, or who contradicts is passed over, and the next by hash acts in its stead. Free of I/O.
"""

from collections import OrderedDict
from heapq import nsmallest
from zlib import crc32

from limepath.agenda import Agenda, mixed
from limepath.listing import bounds
from limepath.listing.bounds import BATCH, QUIET, TURN
from limepath.listing.calls import Budget
from limepath.listing.interface import (
    AskPiece,
    Beat,
    Call,
    Confirmed,
    Events,
    Follow,
    FromPeer,
    HangUp,
    Moved,
    Piece,
    Place,
    Reach,
    Ready,
    Role,
    Save,
    Say,
    StreamEvent,
    StreamLost,
    StreamSays,
    StreamUp,
    Take,
    Where,
)
from limepath.listing.state import DATA, BadList, List, mark_of, packed_size, parsed, summary, unpacked

KEPT = 512  # events that are kept for followers
CARRIED = 1000  # bytes of events in one datagram
IN_FLIGHT = 5_000  # microseconds added to an age for the way, which nobody measures
BAD = 30_000_000  # for which one that told nonsense is passed over
WINDOW, RETRY, STALLS = 4, 250_000, 8  # pieces asked for at once; until asked for again; and until given up
SPREAD = 2_000  # microseconds of a follower's turn to ask for the whole list, times the followers
ASKED = 8  # of unknown zone, in one beat
LEASE = 4  # beats for which a follower counts as one
HOLD = 2  # patiences for which a relay that is none any more keeps its stream
CALLING, UP = "calling", "up"


class Source:
    """One that this front follows: its last Beat, when it came, and since when it owes one."""

    __slots__ = ("beat", "at", "owes", "bad_until", "behind")

    def __init__(self):
        self.beat = self.at = self.owes = self.behind = None
        self.bad_until = 0


class Fetch:
    """A whole list on its way here, in pieces."""

    def __init__(self, token):
        self.token, self.place, self.of, self.mark, self.pieces = token, None, 1, b"", {}
        self.asked, self.stalls = set(), 0


class Listing:
    """`me` is this instance's token, `live()` the others that live; `saved` what the store held, or None."""

    def __init__(self, me, terms, seed, live, saved=None):
        self.me, self.terms, self.live = me, terms, live
        self.agenda = Agenda(seed)
        self.budget = Budget(terms, self.agenda.chance)
        self.salt = mixed(crc32(terms.zone.encode()))
        self.list, self.log, self.packs = List(), OrderedDict(), OrderedDict()
        self.given, self.confirmed_at, self.doubted, self.suspicious = False, None, None, False
        self.zones, self.followers, self.sources, self.chosen = {}, {}, {}, []
        self.role, self.unneeded, self.unheard, self.looking = Role.FOLLOWS, None, None, 0
        self.stream, self.stream_at, self.serial, self.incoming, self.caught_up = None, 0, 0, None, False
        self.overlapped, self.event_at = False, 0
        self.tries_since, self.whole, self.fetch, self.to_push, self.saving = None, True, None, [], False
        self.counts = dict.fromkeys(
            ("calls", "pushed", "fetched", "passed over", "contradictions", "nonsense"), 0
        )
        self.desks = {
            StreamUp: self.stream_up,
            StreamSays: self.stream_says,
            StreamEvent: self.stream_event,
            StreamLost: self.stream_lost,
            Moved: self.moved,
        }
        self.from_peers = {
            Where: self.where,
            Follow: self.follow,
            Beat: self.beat,
            Events: self.events,
            AskPiece: self.ask_piece,
            Piece: self.piece,
        }
        if saved is not None:
            self.read(saved)

    # What the host uses

    def start(self, now):
        self.agenda.now = now
        self.agenda.at(now + int(self.agenda.chance() * min(self.terms.beat, 100_000)), self.look)
        return self.agenda.taken()

    def handle(self, now, notes=()):
        """Take notes in at `now`, do what is due, give the orders."""
        self.agenda.run(now)
        for note in notes:
            if isinstance(note, FromPeer):
                if desk := self.from_peers.get(type(note.message)):
                    desk(note.token, note.message)
            else:
                self.desks[type(note)](note)
        return self.agenda.taken()

    def next(self):
        return self.agenda.next()

    def age(self):
        """How long ago the service confirmed this list, or None."""
        return None if self.confirmed_at is None else self.agenda.now - self.confirmed_at

    def late(self):
        return self.confirmed_at is None or self.agenda.now - self.confirmed_at > bounds.fresh(self.terms)

    # Saved

    def read(self, saved):
        """Take a saved list up: where it stands is told to relays, so that they tell what is new; it goes
        nowhere else.
        """
        try:
            self.list = unpacked(saved, self.terms.longest)
        except BadList as flaw:
            self.agenda.order(Say("saved-list", {"flaw": f"{flaw}; begins without"}))

    def save_soon(self):
        if not self.saving:
            self.saving = True
            self.agenda.at(self.agenda.now + self.terms.save, self.save)

    def save(self):
        self.saving = False
        self.agenda.order(Save(self.list.packed()))

    # Who relays

    def ranked(self, count):
        """The first of this zone by hash, as far as zones are known; this front among them."""
        zones, mine = self.zones, self.terms.zone
        those = [token for token in self.live() if zones.get(token, mine) == mine]
        those.append(self.me)
        return nsmallest(count, those, key=lambda token: mixed(token ^ self.salt))

    def look(self):
        """Every beat: who is to be followed, who is passed over, whether to call."""
        now, terms = self.agenda.now, self.terms
        live = set(self.live())
        for known in (self.zones, self.sources, self.followers):
            for token in [token for token in known if token not in live]:
                del known[token]
        self.followers = {token: until for token, until in self.followers.items() if until > now}
        self.budget.view(now, len(live) + 1)
        self.choose()
        unknown = [token for token in self.ranked(4 * ASKED) if token != self.me and token not in self.zones]
        for token in unknown[:ASKED]:
            self.agenda.order(Reach(token, Where(terms.zone, True)))
        place = self.list.place
        for token in dict.fromkeys([*self.chosen, *self.first]):
            if token != self.me:
                source = self.sources.setdefault(token, Source())
                source.owes = source.owes or now
                self.agenda.order(Reach(token, Follow(terms.zone, *place)))
        self.looking = now + terms.beat
        self.decide()
        self.agenda.at(self.looking, self.look)

    def choose(self):
        """The first relays that are not passed over. Those that call in vain get helpers, as many at most."""
        wanted, helpers = self.terms.relays, 0
        self.first, self.chosen = None, []
        rank = self.ranked(wanted * 8)
        self.first = rank[:wanted]
        for token in rank:
            if len(self.chosen) >= wanted + helpers:
                break
            flaw = token != self.me and self.flaw_of(self.sources.get(token))
            if flaw in ("silent", "bad"):
                self.counts["passed over"] += token in self.first
                continue
            self.chosen.append(token)
            if flaw == "in vain" or token == self.me and self.in_vain():
                helpers = min(bounds.HELPERS * wanted, helpers + 1)
        self.helps = helpers and self.me in rank[: wanted + helpers]
        if not self.chosen:
            self.chosen = [self.me]

    def in_vain(self):
        return self.tries_since is not None and self.agenda.now - self.tries_since > TURN

    def first_gone(self):
        """Whether one of the first by hash has been silent for so long that it is not a few lost
        datagrams.
        """
        silent = [self.sources[token].owes for token in self.first if token in self.sources]
        return any(since and self.agenda.now - since > TURN for since in silent)

    def flaw_of(self, source):
        """Why one is not to be relied on, or None."""
        now, terms = self.agenda.now, self.terms
        if source is None:
            return None
        if source.bad_until > now:
            return "bad"
        if source.owes and now - source.owes > terms.patience:
            return "silent"
        if source.beat:
            age = now - source.at + source.beat.age
            if source.beat.tries > TURN or source.beat.age >= 0 and age > bounds.fresh(terms) + TURN:
                return "in vain"
        return None

    def told_by_others(self):
        """Whether one that is followed is at work: it is up to date, or calls for the whole zone."""
        now, terms = self.agenda.now, self.terms
        for token in self.chosen:
            source = self.sources.get(token)
            if (
                source
                and source.beat
                and now - source.at <= 2 * terms.patience + terms.beat
                and source.bad_until <= now
            ):
                if source.beat.tries or 0 <= source.beat.age <= bounds.fresh(terms):
                    return True
            elif source and not source.beat and source.owes and now - source.owes <= terms.patience:
                return True  # it was asked just now
        return False

    def decide(self):
        """Whether to hold a stream; all calls go out here."""
        now = self.agenda.now
        unheard = self.late() and not self.told_by_others()
        relay = (
            self.me in self.first or self.me in self.chosen and (self.helps or unheard or self.first_gone())
        )
        self.unheard = (self.unheard or now) if unheard else None
        needy = self.suspicious or unheard and now - self.unheard >= TURN  # the next by hash are to act first
        role = Role.RELAYS if relay else Role.ALONE if needy else Role.FOLLOWS
        if role != self.role:
            self.agenda.order(Say("list-role", {"role": role.name.lower(), "live": len(self.live()) + 1}))
            self.role = role
        if role == Role.FOLLOWS:
            self.unneeded = self.unneeded or now
            self.budget.unwanted()
            if self.stream and now - self.unneeded > HOLD * self.terms.patience and self.told_by_others():
                self.hang_up("relays tell")
            elif not self.stream:
                self.tries_since = None
            return
        self.unneeded = None
        if self.stream:
            return
        self.tries_since = self.tries_since or now
        plausible = 2 * (len(self.live()) + 1) >= self.terms.fronts  # in a view that small, all may think so
        zones = len({self.terms.zone, *self.zones.values()})
        if self.budget.may_call(now, len(self.chosen) * zones if relay and plausible else 0):
            self.call()
        elif self.budget.due < self.looking:
            self.agenda.at(self.budget.due, self.decide)

    # The stream

    def call(self):
        self.budget.called()
        self.counts["calls"] += 1
        self.serial += 1
        self.stream, self.stream_at, self.event_at, self.caught_up = (
            CALLING,
            self.agenda.now,
            self.agenda.now,
            False,
        )
        number = self.list.place.number
        self.whole |= number not in self.log
        self.incoming, self.overlapped = List() if self.whole else None, False
        self.agenda.order(
            Call(0 if self.whole else number - 1)
        )  # one that we hold: a service restored from an older
        # state, which would say nothing until its numbers pass ours, does not tell it again
        self.agenda.at(self.agenda.now + self.terms.silence, self.still_silent, self.serial)

    def still_silent(self, serial):
        if serial != self.serial or not self.stream:
            return
        if self.agenda.now - self.stream_at >= self.terms.silence:
            self.hang_up("silent")
        else:
            self.agenda.at(self.stream_at + self.terms.silence, self.still_silent, serial)

    def hang_up(self, why):
        self.agenda.order(HangUp(why))
        self.ended(why)

    def ended(self, why):
        now = self.agenda.now
        self.agenda.order(Say("list-stream", {"ended": why, "after": self.list.place.number}))
        self.whole |= (
            not self.caught_up or now - self.stream_at >= self.terms.silence
        )  # it may have been restored meanwhile
        self.stream, self.incoming = None, None
        self.serial += 1
        if self.role != Role.FOLLOWS:
            self.tries_since = self.tries_since or now
            self.decide()

    def stream_up(self, note):
        self.stream, self.stream_at = UP, self.agenda.now
        self.agenda.at(self.agenda.now + QUIET, self.told_all, self.serial)

    def stream_says(self, note):
        self.stream_at = self.agenda.now
        self.told_all(self.serial)

    def stream_lost(self, note):
        if self.stream:
            self.ended(note.why)

    def moved(self, note):
        """Another address: its numbers go on, as far as it tells; the stream is opened anew."""
        if self.stream:
            self.hang_up("another address")

    def stream_event(self, note):
        now = self.agenda.now
        self.stream_at = self.event_at = now
        if not self.stream:
            return
        try:
            told = parsed(note.text)
            if self.incoming is not None:
                self.replayed(told)
            else:
                self.continued(told, note.text)
            self.doubted = None
        except BadList as flaw:
            mark = crc32(note.text.encode())
            if self.doubted != mark:  # it may have been damaged on the way: once more from the start
                self.doubted, self.whole = mark, True
                return self.hang_up(f"event: {flaw}"[:120])
            self.agenda.order(Say("list-event", {"skipped": str(flaw)[:120], "number": note.number}))
            self.counts["nonsense"] += 1
        if self.caught_up:
            self.confirm(now)
        else:
            self.agenda.at(now + QUIET, self.told_all, self.serial)

    def replayed(self, told):
        """Of a stream that tells all from the start: the first event holds the whole list, no number is left
        out.
        """
        incoming, number = self.incoming, told["seq"]
        if not incoming.place.number and not incoming.members:
            if not told.get("fleet", {}).get("complete"):
                raise BadList("the first event holds no whole list")
        elif number <= incoming.place.number:
            return
        elif number != incoming.place.number + 1 and self.doubted is None:
            raise BadList(f"{number} comes after {incoming.place.number}")
        incoming.take(told)

    def continued(self, told, text):
        number, known = told["seq"], self.list.place.number
        if number == known and number in self.log and self.log[number][1] == summary(told):
            self.overlapped = True
        elif number == known + 1:
            self.overlapped = True
            self.advance(told, text)
        elif number > known:
            self.whole = True
            raise BadList(f"{number} comes after {known}")
        elif number not in self.log or self.log[number][1] != summary(told):
            self.whole = True  # told before, but not so: the service's numbers ran backwards
            self.counts["contradictions"] += 1
            self.hang_up(f"event {number} is told anew, and otherwise")

    def told_all(self, serial):
        """Whether the stream has told what it had, so that the list is the service's as of now: no event came
        for a while, a longer one before we believe that its numbers ran backwards; it may be telling all
        slowly.
        """
        now, incoming = self.agenda.now, self.incoming
        if serial != self.serial or self.stream != UP or incoming is not None and not incoming.place.number:
            return
        if not self.caught_up:
            behind = incoming is not None and incoming.place.number < self.list.place.number
            due = self.event_at + (self.terms.silence if behind else QUIET)
            if now < due:
                return self.agenda.at(due, self.told_all, serial)
        if self.incoming is not None:
            incoming, self.incoming = self.incoming, None
            self.replaced(incoming)
        elif not (self.caught_up or self.overlapped):
            self.whole = True
            return self.hang_up(f"event {self.list.place.number} is not told again")
        self.caught_up, self.whole, self.suspicious, self.tries_since = True, False, False, None
        self.confirm(now)

    def replaced(self, incoming):
        """A whole list from the service itself: where its numbers are behind ours, they ran backwards."""
        place, old = incoming.place, self.list.place
        generation = old.generation
        if place.number < old.number or place.number == old.number and incoming.digest != self.list.digest:
            generation += 1
            self.agenda.order(
                Say("list-backwards", {"was": old.number, "is": place.number, "generation": generation})
            )
        incoming.place = Place(generation, place.number)
        if incoming.place != old or incoming.digest != self.list.digest:
            self.adopt(incoming)

    # The list

    def adopt(self, new):
        """Put another list in the place of ours."""
        self.list, self.given = new, False
        self.log.clear()
        self.save_soon()
        if self.confirmed_at is not None:
            self.give()
        self.tell_followers()

    def give(self):
        """Hand the whole list to the front. How old its purges are only the clocks tell."""
        self.given = True
        self.agenda.order(Take(self.list.whole()))
        for told in self.list.purges.values():
            self.agenda.order(Take(told))

    def advance(self, told, text):
        """The next event. It was not yet told when our list was last confirmed: so old it can be at most."""
        oldest = -1 if self.confirmed_at is None else self.agenda.now - self.confirmed_at
        self.list.take(told)
        self.log[told["seq"]] = text, summary(told)
        if len(self.log) > KEPT:
            self.log.popitem(last=False)
        if self.given:
            self.agenda.order(Take(told, oldest))
        if not self.to_push:
            self.agenda.at(self.agenda.now + BATCH, self.push)
        self.to_push.append(told["seq"])
        self.save_soon()

    def confirm(self, at):
        """The service stood where our list stands at that time."""
        first = self.confirmed_at is None
        if first or at > self.confirmed_at:
            self.confirmed_at = at
        if not self.given:
            self.give()
        if first:
            self.agenda.order(Confirmed(self.list.place, self.agenda.now - at))
            sharing = max(self.terms.fronts, len(self.live()) + 1)
            wait = int(self.agenda.chance() * sharing / self.terms.ready * 1e6) if self.terms.ready else 0
            self.agenda.at(self.agenda.now + wait, self.agenda.order, Ready())
            self.tell_followers()

    # What is passed on

    def my_beat(self):
        now, place = self.agenda.now, self.list.place
        age = -1 if self.confirmed_at is None else now - self.confirmed_at
        tries = (
            0
            if self.tries_since is None or self.caught_up and self.stream
            else max(1, now - self.tries_since)
        )
        return Beat(self.terms.zone, *place, self.list.digest, age, tries, len(self.followers))

    def tell_followers(self):
        for token in self.followers:
            self.agenda.order(Reach(token, self.my_beat()))

    def push(self):
        numbers, self.to_push = self.to_push, []
        if numbers and self.followers:
            messages = self.events_from(numbers[0])
            for token in self.followers:
                for message in messages or (self.my_beat(),):
                    self.counts["pushed"] += 1
                    self.agenda.order(Reach(token, message))

    def events_from(self, first):
        """Messages that carry all events from this number on; none where one of them is not kept or does not
        fit.
        """
        out, texts, size, at = [], [], 0, first
        for number in range(first, self.list.place.number + 1):
            if number not in self.log or len(self.log[number][0]) > CARRIED:
                return []
            text = self.log[number][0]
            if texts and size + len(text) > CARRIED:
                out.append((at, tuple(texts)))
                texts, size, at = [], 0, number
            texts.append(text)
            size += len(text)
        age = -1 if self.confirmed_at is None else self.agenda.now - self.confirmed_at
        return [
            Events(self.list.place.generation, at, texts, age)
            for at, texts in [*out, (at, tuple(texts))]
            if texts
        ]

    def where(self, token, message):
        self.zones[token] = message.zone
        if message.asks:
            self.agenda.order(Reach(token, Where(self.terms.zone)))

    def follow(self, token, message):
        place = self.list.place
        self.zones[token] = message.zone
        self.followers[token] = self.agenda.now + LEASE * self.terms.beat
        self.agenda.order(Reach(token, self.my_beat()))
        behind = place.number - message.number
        if message.generation == place.generation and 0 < behind <= KEPT:
            for one in self.events_from(message.number + 1)[:WINDOW]:
                self.agenda.order(Reach(token, one))

    # What is heard

    def beat(self, token, message):
        now, place = self.agenda.now, self.list.place
        self.zones[token] = message.zone
        source = self.sources.get(token)
        if source is None:
            return
        source.beat, source.at, source.owes = message, now, None
        theirs = Place(message.generation, message.number)
        if theirs > place:
            source.behind = None
            few = (
                theirs.generation == place.generation
                and place.number
                and theirs.number - place.number <= KEPT
            )
            if (
                message.age >= 0
                and not self.fetch
                and (not few or self.behind_for(theirs) > 2 * self.terms.beat)
            ):
                self.begin_fetch(token, message.followers)
        elif theirs == place:
            source.behind = None
            if message.digest != self.list.digest:
                self.contradicted(token, f"another list at {place.number}")
            elif message.age >= 0 and place.number:
                self.confirm(now - message.age - IN_FLIGHT)
        elif 0 <= message.age < (self.age() or 0) and not self.late():
            source.behind = source.behind or now  # it says that it is up to date, and is not
            if now - source.behind > self.terms.patience:
                self.contradicted(token, f"up to date at {theirs.number}, others are at {place.number}")

    def behind_for(self, theirs):
        """How long we have lacked what another has."""
        if self.behind_since is None or self.behind_since[0] != self.list.place:
            self.behind_since = self.list.place, self.agenda.now
        return self.agenda.now - self.behind_since[1]

    behind_since = None

    def contradicted(self, token, why):
        """Two that should agree do not: it is passed over, and the service asked, for it may be us who are
        wrong.
        """
        source = self.sources.get(token)
        if source:
            source.bad_until, source.behind = self.agenda.now + BAD, None
        self.counts["contradictions"] += 1
        self.agenda.order(Say("list-contradiction", {"peer": f"{token:016x}", "why": why}))
        self.suspicious = self.whole = True
        if self.stream and self.caught_up:  # we hold the service's own word
            self.suspicious = self.whole = False

    def nonsense(self, token, why):
        if token in self.sources:
            self.sources[token].bad_until = self.agenda.now + BAD
        self.counts["nonsense"] += 1
        self.agenda.order(Say("list-nonsense", {"peer": f"{token:016x}", "why": str(why)[:120]}))

    def events(self, token, message):
        if (
            token not in self.sources
            or message.generation != self.list.place.generation
            or not self.list.place.number
        ):
            return
        for at, text in enumerate(message.texts, message.first):
            try:
                told = parsed(text)
                if told["seq"] != at:
                    raise BadList(f"event {told['seq']} told as {at}")
            except BadList as flaw:
                return self.nonsense(token, flaw)
            if at == self.list.place.number + 1:
                self.advance(told, text)
            elif at in self.log and self.log[at][1] != summary(told):
                return self.contradicted(token, f"another event {at}")
        if message.first + len(message.texts) - 1 == self.list.place.number and message.age >= 0:
            self.confirm(self.agenda.now - message.age - IN_FLIGHT)

    # The whole list, in pieces

    def pack(self, place):
        """The packed list at a place, if it is held; `place` with number -1 is the newest."""
        if place.number < 0 and self.list.place.number and self.confirmed_at is not None:
            place = self.list.place
            if place not in self.packs:
                self.packs[place] = self.list.packed()
                while len(self.packs) > 2:
                    self.packs.popitem(last=False)
        return place, self.packs.get(place)

    def ask_piece(self, token, message):
        place, data = self.pack(Place(message.generation, message.number))
        of = packed_size(data) if data else 0
        if 0 <= message.piece < of:
            at = message.piece * DATA
            answer = Piece(*place, message.piece, of, mark_of(data), data[at : at + DATA])
        else:
            answer = Piece(*place, message.piece, 0)
        self.agenda.order(Reach(token, answer))

    def begin_fetch(self, token, followers):
        """Each in its turn, since all that follow one lack the same."""
        self.fetch = Fetch(token)
        wait = int(self.agenda.chance() * followers * SPREAD)
        self.agenda.at(self.agenda.now + wait, self.fetch_on, self.fetch)

    def fetch_on(self, fetch):
        """Ask for what is missing, again after RETRY."""
        if fetch is not self.fetch:
            return
        fetch.stalls += 1
        if fetch.stalls > STALLS:
            self.fetch = None
            return self.nonsense(fetch.token, "the whole list never came")
        fetch.asked = set()
        self.ask_pieces(fetch)
        self.agenda.at(self.agenda.now + RETRY, self.fetch_on, fetch)

    def ask_pieces(self, fetch):
        place = fetch.place or Place(0, -1)
        for piece in range(fetch.of):
            if len(fetch.asked) >= WINDOW:
                return
            if piece not in fetch.pieces and piece not in fetch.asked:
                fetch.asked.add(piece)
                self.agenda.order(Reach(fetch.token, AskPiece(*place, piece)))

    def piece(self, token, message):
        fetch, place = self.fetch, Place(message.generation, message.number)
        if fetch is None or token != fetch.token:
            return
        if not message.of:  # it has a newer one by now, or none: the next beat tells
            self.fetch = None
            return
        if message.of * DATA > self.terms.longest + DATA or not 0 <= message.piece < message.of:
            self.fetch = None
            return self.nonsense(token, f"a list of {message.of} pieces")
        if fetch.place is None:
            fetch.place, fetch.of, fetch.mark = place, message.of, message.mark
        if (place, message.of, message.mark) != (fetch.place, fetch.of, fetch.mark):
            return
        fetch.stalls = 0
        fetch.asked.discard(message.piece)
        fetch.pieces[message.piece] = message.data
        if len(fetch.pieces) < fetch.of:
            return self.ask_pieces(fetch)
        self.fetch = None
        data = b"".join(fetch.pieces[at] for at in range(fetch.of))
        try:
            if mark_of(data) != fetch.mark:
                raise BadList("does not fit its digest")
            new = unpacked(data, self.terms.longest)
            if new.place != fetch.place:
                raise BadList("another place than told")
        except BadList as flaw:
            return self.nonsense(token, flaw)
        self.counts["fetched"] += 1
        if new.place > self.list.place:
            self.adopt(new)
            source = self.sources.get(token)
            if (
                source
                and source.beat
                and source.beat.age >= 0
                and (source.beat.generation, source.beat.number) <= new.place
            ):
                self.confirm(source.at - source.beat.age - IN_FLIGHT)

    # What is told of it

    def shown(self):
        now, place = self.agenda.now, self.list.place
        return {
            "generation": place.generation,
            "number": place.number,
            "members": len(self.list.members),
            "digest": f"{self.list.digest:016x}",
            "confirmed_us_ago": self.age(),
            "late": self.late(),
            "role": self.role.name.lower(),
            "stream": self.stream or "none",
            "zone": self.terms.zone,
            "followers": len(self.followers),
            "follows": [
                {
                    "token": f"{token:016x}",
                    "number": source.beat.number if source.beat else None,
                    "heard_us_ago": now - source.at if source.beat else None,
                    "flaw": self.flaw_of(source),
                }
                for token, source in self.sources.items()
            ],
            "counts": dict(self.counts),
        }
