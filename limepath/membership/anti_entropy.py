"""Anti-entropy: views whose digests go on differing are made equal, a page of what differs at a time.

A view is told by its digest on each check; one that differs for longer than news needs pulls pages of the
ranges of tokens that differ (see `digests`). A new instance pulls all that way.
"""

from bisect import bisect_left

from limepath.membership.digests import BUCKETS, bucket_of, first_token_of
from limepath.membership.interface import MemberPage, Pull

PAGE, PAGES = 12, 8  # news on a page; pages in a row that bring no member
DIFFERING = 1  # looks at another digest in a row before a page is pulled
FROM_THE_START, NEVER = -1, -1


class AntiEntropy:
    """`joining` until a whole view has been pulled; `cursor` is the last token of the last page."""

    def __init__(self, members):
        self.members, self.view = members, members.view
        self.cursor, self.pulled_in, self.joining, self.differing, self.pages = (
            FROM_THE_START,
            NEVER,
            True,
            0,
            0,
        )

    def compare(self, sender, digest):
        """Pull a page from whose view goes on differing, once a period at most; and while this view is
        new.
        """
        differs = digest and digest != self.view.digests.whole
        self.differing = self.differing + 1 if differs else 0
        if (self.joining or self.differing > DIFFERING) and self.pulled_in != self.members.periods:
            self.pulled_in, self.pages = self.members.periods, 0
            self.pull(sender)

    def pull(self, sender):
        """Ask for the page behind the cursor."""
        self.members.send(sender, Pull(self.cursor, tuple(self.view.digests.buckets)))

    def pulled_from(self, sender, message):
        """A page of what lies in the buckets that differ; of all, to one that tells no buckets."""
        me, table = self.view.me, self.view.table
        tokens = self.tokens_of_page(message.after + 1, message.buckets)
        page = tuple(me if token == me.token else table[token] for token in tokens[:PAGE])
        self.members.send(sender, MemberPage(page, len(tokens) <= PAGE))

    def tokens_of_page(self, first, buckets):
        """The tokens from `first` on that lie in buckets that differ: a page of them, one more if there
        is.
        """
        own, found = self.view.digests.buckets, []
        for bucket in range(max(0, bucket_of(first)), BUCKETS):
            if len(buckets) == BUCKETS and buckets[bucket] == own[bucket]:
                continue
            low = max(first, first_token_of(bucket))
            found += self.tokens_between(low, first_token_of(bucket + 1), PAGE + 1 - len(found))
            if len(found) > PAGE:
                break
        return found

    def tokens_between(self, low, end, most):
        """So many at most of the tokens from `low` to before `end`, this instance's own among them."""
        ring, own = self.view.ring, self.view.me.token
        at = bisect_left(ring, low)
        tokens = ring[at : min(bisect_left(ring, end), at + most)]
        if low <= own < end:
            tokens.insert(bisect_left(tokens, own), own)
        return tokens[:most]

    def paged(self, sender, message):
        """Go on to the next page while pages bring news. What they bring is not passed on: others pull it
        too.
        """
        gossip, digests, ring = self.members.gossip, self.view.digests, self.view.ring
        before, count = digests.whole, len(ring)
        fresh = [one.token for one in message.records if one.token not in gossip]
        self.members.take(message.records)
        for token in fresh:
            gossip.drop(token)
        self.cursor = FROM_THE_START if message.last or not message.records else message.records[-1].token
        grew = len(ring) > count
        self.pages += not grew
        if message.last:
            self.joining = False
            if grew:  # a view that grows is compared again before the period is over
                self.pulled_in = NEVER
        elif self.joining or grew or digests.whole != before and self.pages < PAGES:
            self.pull(sender)
