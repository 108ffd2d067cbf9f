"""Joining, and finding each other again: Hello and Welcome to seeds, to the lost, to those out of date.

Whoever does not know the life it speaks to says Hello and learns it: what is meant for a former life changes
nothing.
"""

from limepath.membership.interface import Hello, MemberState, SendMessage, Welcome

MOST_SEEDS = 3  # that are greeted at the start
GREETINGS = 8  # Hellos by period to those that are out of date
SOUGHT = 2  # of the lost that are greeted in one look


class JoinProtocol:
    """`seeds` are addresses."""

    def __init__(self, members, seeds):
        self.members, self.view, self.timers = members, members.view, members.timers
        self.direct, self.period = members.spans.direct, members.spans.period
        self.seeds, self.greeted = tuple(seeds), {}

    def start(self):
        for address in self.timers.sample(self.seeds, min(MOST_SEEDS, len(self.seeds))):
            self.greet(*address)

    def greet(self, host, port):
        """Hello, once a `direct` span to one address and so many a period in all."""
        me, now, last = self.view.me, self.timers.now, self.greeted.get((host, port))
        if (host, port) == (me.host, me.port) or self.members.over:
            return
        if last is None:
            refused = len(self.greeted) >= GREETINGS
        else:
            refused = now - last < self.direct
        if refused:
            return
        self.greeted[host, port] = now
        self.timers.emit(SendMessage(host, port, 0, Hello()))

    def period_over(self):
        """Forget to whom Hello was said longer than a period ago."""
        now = self.timers.now
        self.greeted = {address: at for address, at in self.greeted.items() if now - at < self.period}

    def seek(self):
        """Hello to a seed or to one declared dead: two halves that lost each other find together again."""
        lost = [(news.host, news.port) for news in self.view.dead.values() if news.state == MemberState.DEAD]
        lost += [address for address in self.seeds if not self.view.live_at_seeds[address]]
        for address in self.timers.sample(lost, min(SOUGHT, len(lost))):
            self.greet(*address)

    def greeted_by(self, sender, message):
        """Nothing is believed of one that does not know this life: its Hello may be an old one."""
        welcome = Welcome(self.members.records_for(sender.token))
        self.timers.emit(SendMessage(sender.host, sender.port, sender.session_token, welcome))

    def welcomed(self, sender, message):
        """The sender meant this life, so it lives; its view is pulled while ours is new, else as digests
        differ.
        """
        self.members.take(message.records)
        if self.members.joining:
            self.members.anti_entropy.pull(sender)
        else:
            self.members.ping(sender, 0)
