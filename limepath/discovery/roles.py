"""Whether a front relays, follows or calls the service for itself; looked at every beat.

Free of I/O.
"""

from limepath.discovery.bounds import RELAY_RETRY_SPAN_US
from limepath.discovery.call_budget import CallBudget
from limepath.discovery.component import Component
from limepath.discovery.interface import LogEvent, Role, SendToMember, Subscribe
from limepath.discovery.scopes import QUERIES_PER_HEARTBEAT
from limepath.discovery.upstream import Source

STREAM_HOLD_TIMEOUTS = 2  # patiences for which a relay that is none any more keeps its stream


class RoleSelection(Component):
    """`suspicious`: another told a list that contradicts ours, so the service is asked."""

    def __init__(self, listing):
        super().__init__(listing)
        self.budget = CallBudget(self.terms, self.timers.random_fraction)
        self.role = Role.FOLLOWS
        self.unneeded = None
        self.unheard = None
        self.looking = 0
        self.tries_since = None
        self.suspicious = False

    def look(self):
        """Every beat: who is to be followed, who is passed over, whether to call."""
        now, terms = self.timers.now, self.terms
        live = set(self.live())
        self.scopes.keep(live)
        for known in (self.upstream.sources, self.followers.known):
            for token in [token for token in known if token not in live]:
                del known[token]
        self.followers.known = {token: until for token, until in self.followers.known.items() if until > now}
        self.children.keep(live, now)
        self.budget.view(now, len(live) + 1)
        wanted = self.upstream.subscriptions()
        if self.tree.on:
            self.scopes.ask(live)
        else:
            self.scopes.ask_in_turn(self.upstream.ranked(4 * QUERIES_PER_HEARTBEAT))
        self.subscribe(wanted)
        self.looking = now + terms.beat
        self.decide()
        self.timers.schedule(self.looking, self.look)

    def subscribe(self, wanted):
        """Tell each that is followed where our list stands."""
        now, sources = self.timers.now, self.upstream.sources
        for token, reads in wanted.items():
            if token != self.me:
                source = sources.setdefault(token, Source())
                source.owes = source.owes or now
                self.timers.emit(SendToMember(token, self.subscription(reads)))
        if self.tree.on:
            self.upstream.forget_but(wanted)

    def subscription(self, reads, lacks=False):
        terms, place = self.terms, self.held.list.place
        if not self.tree.on:
            return Subscribe(terms.zone, *place)
        return Subscribe(terms.zone, *place, reads, terms.site, lacks, max(1, self.timers.now))

    def decide(self):
        """Whether to hold a stream; all calls go out here."""
        now = self.timers.now
        unheard = self.held.late() and not self.upstream.told_by_others()
        relay = (
            self.me in self.upstream.first
            or self.me in self.upstream.chosen
            and (self.upstream.helps or unheard or self.upstream.first_gone())
        )
        self.unheard = (self.unheard or now) if unheard else None
        needy = (
            self.suspicious or unheard and now - self.unheard >= RELAY_RETRY_SPAN_US
        )  # the next by hash are to act first
        role = Role.RELAYS if relay else Role.ALONE if needy else Role.FOLLOWS
        if role != self.role:
            self.timers.emit(LogEvent("list-role", {"role": role.name.lower(), "live": len(self.live()) + 1}))
            self.role = role
        if role == Role.FOLLOWS:
            self.unneeded = self.unneeded or now
            self.budget.unwanted()
            if (
                self.stream.state
                and now - self.unneeded > STREAM_HOLD_TIMEOUTS * self.terms.patience
                and self.upstream.told_by_others()
            ):
                self.stream.hang_up("relays tell")
            elif not self.stream.state:
                self.tries_since = None
            return
        self.unneeded = None
        if self.stream.state:
            return
        self.tries_since = self.tries_since or now
        plausible = 2 * (len(self.live()) + 1) >= self.terms.fronts  # in a view that small, all may think so
        plausible &= not self.tree.on or self.scopes.settled()
        zones = self.scopes.zones()
        if self.budget.may_call(now, len(self.upstream.chosen) * zones if relay and plausible else 0):
            self.stream.call()
        elif self.budget.due < self.looking:
            self.timers.schedule(self.budget.due, self.decide)
