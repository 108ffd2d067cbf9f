"""Digests of a view: one over all live members and one for each range of tokens.

A digest is the exclusive or of the hashes of its members. Adding or removing a member therefore takes
constant time, and the order of changes does not matter.
"""

from limepath.hashing import MASK_64, mix64
from limepath.membership.interface import MemberRecord

BUCKETS = 32  # ranges of tokens, each with a digest, so that only ranges that differ are pulled
TOKEN_BITS = 63
INCARNATION_MULTIPLIER = 0x9E3779B97F4A7C15  # 2**64 over the golden ratio (Knuth, multiplicative hashing)


def record_digest(record: MemberRecord) -> int:
    """Return the 64-bit hash of one member at one incarnation."""
    return mix64(record.token ^ record.incarnation * INCARNATION_MULTIPLIER & MASK_64)


def bucket_of(token: int) -> int:
    """Return the index of the range that contains a token, from 0 to BUCKETS - 1."""
    return token * BUCKETS >> TOKEN_BITS


def first_token_of(bucket: int) -> int:
    """Return the lowest token of a range; for BUCKETS, the first number above all tokens."""
    return (bucket << TOKEN_BITS) // BUCKETS


class ViewDigests:
    """Digests of a set of live members; equal sets have equal digests."""

    def __init__(self) -> None:
        self.combined = 0
        """Digest over all members."""
        self.buckets = [0] * BUCKETS
        """Digest of each range of tokens."""

    def toggle(self, record: MemberRecord) -> None:
        """Add a member to the set, or remove it if it is in the set."""
        digest = record_digest(record)
        self.combined ^= digest
        self.buckets[bucket_of(record.token)] ^= digest
