"""Digests of a view: one of all live members and one for each range of tokens.

A digest is the exclusive or of its members' hashes, so that it changes with each member in constant time and
does not depend on the order of changes.
"""

from limepath.hashing import MASK_64, mix64
from limepath.membership.interface import MemberRecord

BUCKETS = 32  # ranges of tokens, each with a digest: of two views only the ranges that differ are pulled
TOKEN_BITS = 63
INCARNATION_SPREAD = 0x9E3779B97F4A7C15  # 2**64 over the golden ratio (Knuth, multiplicative hashing)


def record_digest(record: MemberRecord) -> int:
    """Return the 64-bit hash of one member at one incarnation."""
    return mix64(record.token ^ record.incarnation * INCARNATION_SPREAD & MASK_64)


def bucket_of(token: int) -> int:
    """Return the number of the range that a token lies in, from 0 to BUCKETS - 1."""
    return token * BUCKETS >> TOKEN_BITS


def first_token_of(bucket: int) -> int:
    """Return the least token of a range; for BUCKETS, the first number above all tokens."""
    return (bucket << TOKEN_BITS) // BUCKETS


class ViewDigests:
    """Digests of a set of live members: equal sets have equal digests."""

    def __init__(self) -> None:
        self.combined = 0
        """Digest of all members."""
        self.buckets = [0] * BUCKETS
        """Digests by range of tokens."""

    def toggle(self, record: MemberRecord) -> None:
        """Add a member that is not in the set, or remove one that is."""
        digest = record_digest(record)
        self.combined ^= digest
        self.buckets[bucket_of(record.token)] ^= digest
