"""Weighted rendezvous hashing: the same order of servers for a name at every front."""

from math import log

from limepath.hashing import MASK_64, mix64


def hash_order(name, members):
    """Weighted rendezvous: the members by falling score for `name`, the same at every front."""
    key = mix64(name[0] * 64 + name[1] + 1)
    return sorted(members, key=lambda m: (m.share / log((mix64(key ^ m.salt) + 1.5) / (MASK_64 + 2.0)), m.id))
