"""Anti-entropy by pull (Demers et al. 1987): repairs differences between views that gossip has left.

Pings and acks carry the digest of the sender's view. If digests keep differing for longer than gossip takes,
the instance pulls the members of the token ranges that differ, a page at a time (see `digests`). A new
instance pulls the whole view in the same way.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

from limepath.membership.digests import BUCKETS, bucket_of, first_token_of
from limepath.membership.interface import MemberPage, MemberRecord, Pull

if TYPE_CHECKING:
    from limepath.membership.members import Members

PAGE_RECORDS = 12
MAX_PAGES_WITHOUT_NEW = 8  # pages without a new member, per period, after which pulling ends
TOLERATED_DIFFERENCES = 1  # consecutive differing digests without a pull, because gossip may still arrive
BEFORE_ALL_TOKENS = -1
NEVER = -1


class AntiEntropy:
    """Compares digests, sends pulls, and answers them."""

    def __init__(self, members: Members) -> None:
        self.members = members
        self.view = members.view
        self.joining = True
        """Whether this instance has not yet pulled a whole view."""
        self.cursor = BEFORE_ALL_TOKENS
        """Last token of the last page; the next page begins after it."""
        self.pull_period = NEVER
        """Number of the protocol period in which pulling last began."""
        self.differences = 0
        """Number of consecutive received digests that differed."""
        self.pages_without_new = 0
        """Pages without a new member since pulling last began."""

    def compare_digest(self, sender: MemberRecord, digest: int) -> None:
        """Pull from the sender while joining, or if digests keep differing.

        Pulling begins at most once per period. A digest of 0 comes from an older version and is not compared.
        """
        differs = digest != 0 and digest != self.view.digests.combined
        self.differences = self.differences + 1 if differs else 0
        is_needed = self.joining or self.differences > TOLERATED_DIFFERENCES
        if is_needed and self.pull_period != self.members.periods:
            self.pull_period = self.members.periods
            self.pages_without_new = 0
            self.pull(sender)

    def pull(self, sender: MemberRecord) -> None:
        """Request the page after the cursor from a member."""
        self.members.send(sender, Pull(self.cursor, tuple(self.view.digests.buckets)))

    def handle_pull(self, sender: MemberRecord, message: Pull) -> None:
        """Send a page of the members in ranges that differ, or of all members if the Pull has no digests."""
        me = self.view.me
        tokens = self._tokens_from(message.after + 1, message.buckets)
        page = tokens[:PAGE_RECORDS]
        records = tuple(me if token == me.token else self.view.table[token] for token in page)
        self.members.send(sender, MemberPage(records, last=len(tokens) <= PAGE_RECORDS))

    def handle_page(self, sender: MemberRecord, message: MemberPage) -> None:
        """Merge a page, and pull the next one while joining or while pages change the view."""
        digest_before = self.view.digests.combined
        live_before = len(self.view.ring)
        self._merge_without_gossip(message.records)
        self.cursor = self._cursor_after(message)
        has_grown = len(self.view.ring) > live_before
        if not has_grown:
            self.pages_without_new += 1
        if message.last:
            self.joining = False
            if has_grown:  # allow another pull in this period, because the view still grows
                self.pull_period = NEVER
            return
        has_changed = self.view.digests.combined != digest_before
        if self.joining or has_grown or (has_changed and self.pages_without_new < MAX_PAGES_WITHOUT_NEW):
            self.pull(sender)

    def _merge_without_gossip(self, records: tuple[MemberRecord, ...]) -> None:
        """Merge records without disseminating them, because the other members pull them too."""
        gossip = self.members.gossip
        not_queued = [record.token for record in records if record.token not in gossip]
        self.members.updates.apply_all(records)
        for token in not_queued:
            gossip.discard(token)

    @staticmethod
    def _cursor_after(page: MemberPage) -> int:
        if page.last or not page.records:
            return BEFORE_ALL_TOKENS
        return page.records[-1].token

    def _tokens_from(self, first: int, buckets: tuple[int, ...]) -> list[int]:
        """Return live tokens from `first` on in ranges that differ; at most one more than a page holds."""
        own_buckets = self.view.digests.buckets
        is_comparable = len(buckets) == BUCKETS
        found: list[int] = []
        for bucket in range(max(0, bucket_of(first)), BUCKETS):
            if is_comparable and buckets[bucket] == own_buckets[bucket]:
                continue
            low = max(first, first_token_of(bucket))
            found += self._tokens_between(low, first_token_of(bucket + 1), PAGE_RECORDS + 1 - len(found))
            if len(found) > PAGE_RECORDS:
                break
        return found

    def _tokens_between(self, low: int, end: int, limit: int) -> list[int]:
        """Return up to `limit` live tokens from `low` to before `end`, this instance's token included."""
        ring = self.view.ring
        own = self.view.me.token
        start = bisect_left(ring, low)
        tokens = ring[start : min(bisect_left(ring, end), start + limit)]
        if low <= own < end:
            tokens.insert(bisect_left(tokens, own), own)
        return tokens[:limit]
