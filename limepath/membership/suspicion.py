"""Suspicion before a death is declared (SWIM, section 4.2), shorter the more confirm it (Lifeguard).

When the suspicion's time is over and nobody has heard the suspect refute, it is checked once more, with the
suspicion told to it, and then declared dead: by those that missed its answers themselves; all others leave
them the time for that. So many that were parted and refute at once need not outrun old suspicions as news.
"""

from math import log

from limepath.membership.bounds import MAX_SUSPICION_FACTOR, dissemination_time, minimum_suspicion_timeout
from limepath.membership.interface import LogEvent, MemberState

CONFIRMED = 3  # others that suspect the same, at which the shortest suspicion holds


class Suspicion:
    """Who suspects one at one incarnation, and since when we do; whether its last check is under way."""

    __slots__ = ("incarnation", "since", "reported_by", "last")

    def __init__(self, incarnation, since, by):
        self.incarnation, self.since, self.reported_by, self.last = incarnation, since, {by}, False


class Suspicions:
    """Of one instance. `members` writes news, and has the checks that make the last one."""

    def __init__(self, members):
        self.members, self.view, self.timers = members, members.view, members.timers
        self.spans, self.open = members.spans, {}

    def suspect(self, news, by):
        """One more that suspects it; the more do, the shorter is its time to refute."""
        mine = self.view.me.token
        doubt = self.open.get(news.token)
        if doubt is None or doubt.incarnation < news.incarnation:
            doubt = self.open[news.token] = Suspicion(news.incarnation, self.timers.now, by)
            self.members.counts["suspected"] += by == mine
            self.members.put(news._replace(state=MemberState.SUSPECT, reported_by=by))
        elif by not in doubt.reported_by and (len(doubt.reported_by) <= CONFIRMED or by == mine):
            doubt.reported_by.add(by)
            self.members.broadcast(news._replace(state=MemberState.SUSPECT, reported_by=by))
        else:
            return
        at = max(self.timers.now, self.deadline(doubt))
        self.timers.schedule(at, self.expired, news.token, news.incarnation, len(doubt.reported_by))

    def deadline(self, doubt):
        """When it may be declared dead, unless it refutes or more confirm."""
        others = len(self.view.ring)
        least = minimum_suspicion_timeout(self.spans, others + 1)
        able = min(CONFIRMED, max(0, others - 1))
        part = log(len(doubt.reported_by)) / log(able + 1) if able else 1.0
        longest = MAX_SUSPICION_FACTOR * least
        until = doubt.since + int(max(least, longest - (MAX_SUSPICION_FACTOR - 1) * least * part))
        if self.view.me.token not in doubt.reported_by:
            # who missed its answers looks once more and tells; time for that and the news
            until += 2 * self.spans.period + dissemination_time(self.spans, others + 1)
        return until

    def expired(self, token, incarnation, confirmed):
        """The time that held when so many had confirmed is over."""
        doubt = self.current(token, incarnation)
        if doubt is None or len(doubt.reported_by) != confirmed or doubt.last:
            return
        doubt.last = True
        self.members.checks.check_last(self.view.table[token], self.declare, token, incarnation)

    def declare(self, token, incarnation):
        """Not even the last check was answered."""
        doubt = self.current(token, incarnation)
        if doubt is None:
            return
        news = self.view.table[token]
        self.members.counts["declared"] += 1
        self.timers.emit(
            LogEvent(
                "peer-dead",
                {"peer": news.name, "incarnation": incarnation, "suspected_by": len(doubt.reported_by)},
            )
        )
        self.members.put(news._replace(state=MemberState.DEAD, reported_by=self.view.me.token))

    def current(self, token, incarnation):
        """The suspicion that is still open of it at that incarnation, or None."""
        doubt = self.open.get(token)
        if doubt is None or doubt.incarnation != incarnation or self.members.over:
            return None
        return doubt

    def clear(self, token):
        """It is known to be alive, dead or gone."""
        self.open.pop(token, None)
