"""Anti-entropy by pull (Demers et al. 1987): views that gossip left different are made equal.

Pings and acks carry the digest of the sender's view. Where it goes on differing for longer than gossip needs,
members of the token ranges that differ are pulled, a page at a time (see `digests`). A new instance pulls the
whole view that way.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING

from limepath.membership.digests import BUCKETS, bucket_of, first_token_of
from limepath.membership.interface import MemberPage, MemberRecord, Pull

if TYPE_CHECKING:
    from limepath.membership.members import Members

PAGE_RECORDS = 12
MAX_FRUITLESS_PAGES = 8  # pages in a period that bring no new member, after which pulling ends
TOLERATED_DIFFERENCES = 1  # digests in a row that may differ before a page is pulled: gossip is on its way
BEFORE_ALL_TOKENS = -1
NEVER = -1


class AntiEntropy:
    """Compares digests, pulls pages, and answers pulls."""

    def __init__(self, members: Members) -> None:
        self.members = members
        self.view = members.view
        self.joining = True
        """Whether a whole view is still to be pulled."""
        self.cursor = BEFORE_ALL_TOKENS
        """Last token of the last page; the next page begins behind it."""
        self.pull_period = NEVER
        """Number of the protocol period in which pulling last began."""
        self.differences = 0
        """Digests received in a row that differed."""
        self.fruitless_pages = 0
        """Pages of this period that brought no new member."""

    def compare_digest(self, sender: MemberRecord, digest: int) -> None:
        """Pull from a member whose view goes on differing, or while this view is new.

        Pulling begins once a period at most. A digest of 0 is that of an older version and not compared.
        """
        differs = digest != 0 and digest != self.view.digests.combined
        self.differences = self.differences + 1 if differs else 0
        is_needed = self.joining or self.differences > TOLERATED_DIFFERENCES
        if is_needed and self.pull_period != self.members.periods:
            self.pull_period = self.members.periods
            self.fruitless_pages = 0
            self.pull(sender)

    def pull(self, sender: MemberRecord) -> None:
        """Ask a member for the page behind the cursor."""
        self.members.send(sender, Pull(self.cursor, tuple(self.view.digests.buckets)))

    def handle_pull(self, sender: MemberRecord, message: Pull) -> None:
        """Send a page of the members in ranges that differ; of all, to a sender that tells no ranges."""
        me = self.view.me
        tokens = self._tokens_from(message.after + 1, message.buckets)
        page = tokens[:PAGE_RECORDS]
        records = tuple(me if token == me.token else self.view.table[token] for token in page)
        self.members.send(sender, MemberPage(records, last=len(tokens) <= PAGE_RECORDS))

    def handle_page(self, sender: MemberRecord, message: MemberPage) -> None:
        """Merge a page, and pull the next one while pages bring something new."""
        digest_before = self.view.digests.combined
        live_before = len(self.view.ring)
        self._merge_without_gossip(message.records)
        self.cursor = self._cursor_behind(message)
        has_grown = len(self.view.ring) > live_before
        if not has_grown:
            self.fruitless_pages += 1
        if message.last:
            self.joining = False
            if has_grown:  # a view that grows is compared again before the period is over
                self.pull_period = NEVER
            return
        has_changed = self.view.digests.combined != digest_before
        if self.joining or has_grown or (has_changed and self.fruitless_pages < MAX_FRUITLESS_PAGES):
            self.pull(sender)

    def _merge_without_gossip(self, records: tuple[MemberRecord, ...]) -> None:
        """Merge records without disseminating them: the other members pull them too."""
        gossip = self.members.gossip
        not_queued = [record.token for record in records if record.token not in gossip]
        self.members.updates.apply_all(records)
        for token in not_queued:
            gossip.discard(token)

    @staticmethod
    def _cursor_behind(page: MemberPage) -> int:
        if page.last or not page.records:
            return BEFORE_ALL_TOKENS
        return page.records[-1].token

    def _tokens_from(self, first: int, buckets: tuple[int, ...]) -> list[int]:
        """Return the live tokens from `first` on in ranges that differ: a page, and one more if there is."""
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
        """Return up to `limit` live tokens from `low` to before `end`, this instance's own among them."""
        ring = self.view.ring
        own = self.view.me.token
        start = bisect_left(ring, low)
        tokens = ring[start : min(bisect_left(ring, end), start + limit)]
        if low <= own < end:
            tokens.insert(bisect_left(tokens, own), own)
        return tokens[:limit]
