"""Digests of a view: one of the whole and one for each range of tokens, kept up with each change."""

from limepath.hashing import MASK_64, mix64

BUCKETS = 32  # ranges of tokens, each with a digest, so that of two views only what differs is pulled
TOKEN_BITS = 63
INCARNATION_SPREAD = 0x9E3779B97F4A7C15  # 2**64 over the golden ratio (Knuth, multiplicative hashing)


def record_digest(news):
    """64 bits that stand for one instance at one incarnation."""
    return mix64(news.token ^ news.incarnation * INCARNATION_SPREAD & MASK_64)


def bucket_of(token):
    """The number of the range that a token lies in, from 0 to BUCKETS - 1."""
    return token * BUCKETS >> TOKEN_BITS


def first_token_of(bucket):
    """The least token of a bucket; of BUCKETS, what no token reaches."""
    return (bucket << TOKEN_BITS) // BUCKETS


class ViewDigests:
    """Of a set of News: equal sets have equal digests, whatever the order of the changes."""

    def __init__(self):
        self.whole, self.buckets = 0, [0] * BUCKETS

    def toggle(self, news):
        """Put a living one in, or take it out."""
        digest = record_digest(news)
        self.whole ^= digest
        self.buckets[bucket_of(news.token)] ^= digest
