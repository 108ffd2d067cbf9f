"""The membership logic: SWIM with suspicion (Das, Gupta, Motivala 2002) and the later refinements on local
health.

`checks` finds who does not answer, `suspicion` leaves it time to refute, `gossip` carries news on the checks,
`anti_entropy` makes views equal that news left different, `joining` and `leaving` say Hello and farewell, and
`view` is what is known. Here is what they share: news is taken in, messages are handed to their part. Whoever
does not know the life it speaks to says Hello and learns it: what is meant for a former life changes nothing.
Free of I/O; docs/duties.md has the options weighed.
"""

from limepath.membership.anti_entropy import AntiEntropy
from limepath.membership.failure_detector import FailureDetector
from limepath.membership.gossip import BroadcastQueue
from limepath.membership.interface import (
    NEWEST_VERSION,
    REFUTATION_BITS,
    Ack,
    Hello,
    IndirectPing,
    LeaveRequested,
    MemberPage,
    MemberState,
    MessageReceived,
    MessageRelayed,
    Ping,
    Pull,
    SendMessage,
    Welcome,
)
from limepath.membership.join import JoinProtocol
from limepath.membership.leave import LeaveProtocol
from limepath.membership.member_table import MemberTable
from limepath.membership.suspicion import Suspicions
from limepath.timer_queue import TimerQueue

REJOIN_PERIODS = 5  # periods between looks for whom the view has lost
DIGESTS_SINCE = 2  # the version of what is spoken that tells digests
IDENTITY_REPLACED = "another instance goes on under this identity"
NAME_IN_USE = "an older instance of this name is alive"


class Members:
    """One instance's view. `me` is its own News, alive; `seeds` are addresses."""

    def __init__(self, me, seeds, spans, seed, speaks=NEWEST_VERSION):
        self.spans, self.speaks = spans, speaks
        self.timers = TimerQueue(seed)
        self.view, self.gossip = MemberTable(me, self.timers, seeds), BroadcastQueue()
        self.table, self.ring = self.view.table, self.view.ring
        self.periods, self.over = 0, False
        self.counts = {"misaddressed": 0, "former": 0, "refuted": 0, "suspected": 0, "declared": 0}
        self.suspicions, self.checks = Suspicions(self), FailureDetector(self)
        self.anti_entropy = AntiEntropy(self)
        self.joins, self.leaves = JoinProtocol(self, seeds), LeaveProtocol(self)
        self.compare, self.greet = self.anti_entropy.compare, self.joins.greet
        self.is_live, self.give_way = self.view.is_live, self.leaves.give_way
        self.receivers = {
            Ping: self.checks.pinged,
            Ack: self.checks.acked,
            IndirectPing: self.checks.asked_to_check,
            Welcome: self.joins.welcomed,
            Pull: self.anti_entropy.pulled_from,
            MemberPage: self.anti_entropy.paged,
        }

    # What the host and other logic use

    def handle(self, now, notes):
        """Take notes in at `now`, do what is due, give the orders."""
        self.timers.run_due(now)
        for note in notes:
            if isinstance(note, MessageReceived):
                self.heard(note)
            elif isinstance(note, LeaveRequested) and not self.leaving:
                self.leaves.depart()
        return self.timers.take_commands()

    def start(self, now):
        """Greet seeds and begin the periods at a random time in the first."""
        self.timers.now = now
        self.joins.start()
        self.timers.schedule(now + int(self.timers.random_fraction() * self.spans.period), self.period)
        return self.timers.take_commands()

    def add_known_members(self, news):
        """Take in what is known from elsewhere (a fleet set up by hand, in virtual time)."""
        for one in news:
            self.apply(one)
        self.gossip.clear()
        self.anti_entropy.joining = False

    def next(self):
        """When something is due next, or None."""
        return self.timers.next_due()

    def send_to_member(self, token, message):
        """Send a message of another logic to a member that counts as alive."""
        if (news := self.table.get(token)) and news.state <= MemberState.SUSPECT:
            self.send(news, message)

    @property
    def me(self):
        """This instance's own News."""
        return self.view.me

    @property
    def digest(self):
        """Of the whole view: equal where views are."""
        return self.view.digests.whole

    @property
    def joining(self):
        """Whether a whole view is still to be pulled."""
        return self.anti_entropy.joining

    @property
    def leaving(self):
        """Whether this instance departs."""
        return self.leaves.begun

    # Sending

    def send(self, news, message):
        self.timers.emit(SendMessage(news.host, news.port, news.session_token, message))

    def ping(self, news, sequence):
        """A check, or with 0 a message that asks for no answer to one; news goes with it."""
        self.send(news, Ping(sequence, self.records_for(news.token), self.digest_to_send()))

    def records_for(self, to):
        """News to carry to a member."""
        return self.gossip.carried(self.table.get(to))

    def digest_to_send(self):
        """The digest on messages; 0 where an older version speaks."""
        return self.digest if self.speaks >= DIGESTS_SINCE else 0

    def broadcast(self, news):
        self.gossip.pass_on(news, len(self.ring))

    # Each period

    def period(self):
        if self.over:
            return
        self.periods += 1
        self.timers.schedule(self.timers.now + self.spans.period, self.period)
        self.joins.period_over()
        self.checks.run(self.periods)
        if self.periods % REJOIN_PERIODS == 0 or not self.ring:
            self.joins.seek()
        self.view.forget_dead(self.spans.forget)

    # News

    def put(self, news):
        """Write news into the view, pass it on."""
        if news.state != MemberState.SUSPECT:
            self.suspicions.clear(news.token)
        self.view.put(news)
        self.broadcast(news)

    def take(self, news):
        """Apply what a message carries."""
        for one in news:
            if not self.over:
                self.apply(one)

    def apply(self, news):
        """Take one piece of news in, if it is newer than what is known (the order of SWIM, section 4.2)."""
        if news.token == self.me.token:
            return self.about_me(news)
        old = self.table.get(news.token)
        if old is None:
            if news.state <= MemberState.SUSPECT:
                self.put(news._replace(state=MemberState.ALIVE))
                if news.state == MemberState.SUSPECT:
                    self.suspicions.suspect(news, news.reported_by)
            return
        if news.incarnation < old.incarnation:
            return
        if news.state == MemberState.SUSPECT:
            if news.incarnation > old.incarnation:
                self.put(news._replace(state=MemberState.ALIVE))
            if self.table[news.token].state <= MemberState.SUSPECT:
                self.suspicions.suspect(news, news.reported_by)
        elif news.state == MemberState.ALIVE:
            if news.incarnation > old.incarnation:
                self.put(news)
        elif news.state > old.state or news.incarnation > old.incarnation:
            self.put(news)

    def about_me(self, news):
        """Refute what is said of this life; see whether another goes on under this identity."""
        if self.leaving:
            return
        if news.birth != self.me.birth and news.incarnation >> REFUTATION_BITS >= self.me.generation:
            if news.generation > self.me.generation or news.birth < self.me.birth:
                self.give_way(news, IDENTITY_REPLACED)
            return
        if news.state != MemberState.ALIVE and news.incarnation >= self.me.incarnation:
            self.counts["refuted"] += 1
            self.checks.miss()
            self.view.advance_incarnation(news.incarnation + 1)
            self.broadcast(self.me)

    def speaks_for(self, sender):
        """An address is held by one process at a time: who was there under another token, a lost store's, is
        dead.
        """
        names = self.view.names
        other = names.get(sender.name)
        names[sender.name] = sender.token
        if other not in (None, sender.token) and self.is_live(other):
            old = self.table[other]
            if (old.host, old.port) == (sender.host, sender.port):
                self.put(old._replace(state=MemberState.DEAD, reported_by=self.me.token))

    # Messages

    def heard(self, note):
        """Who sent it is checked first, then its message goes to the part that takes it, or to other
        logic.
        """
        sender, me = note.sender, self.me
        if self.over:
            return
        if sender.token == me.token:
            return self.about_me(sender)
        if isinstance(note.message, Hello):
            return self.joins.greeted_by(sender, note.message)
        if note.to != me.session_token:
            self.counts["misaddressed"] += 1
            return self.greet(sender.host, sender.port)
        old = self.table.get(sender.token)
        if old is not None and sender.generation < old.generation:
            self.counts["former"] += 1
            return
        if sender.name == me.name and (sender.birth, sender.token) < (me.birth, me.token):
            return self.give_way(sender, NAME_IN_USE)  # it has just spoken: it is alive
        self.apply(sender._replace(state=MemberState.ALIVE, reported_by=0))
        if self.view.names.get(sender.name) != sender.token:
            self.speaks_for(sender)
        receive = self.receivers.get(type(note.message))
        if receive is not None:
            receive(sender, note.message)
        else:
            self.timers.emit(MessageRelayed(sender, note.message))
