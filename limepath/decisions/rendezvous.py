"""Weighted rendezvous hashing: every front computes the same order of servers for an object.

A change to the endpoint list moves only the objects of the endpoint that changed.

Sources: D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", IEEE/ACM Transactions
on Networking 6(1), 1998; the weights by the logarithm of the hash are those of C. Schindelhauer and
G. Schomaker, "Weighted Distributed Hash Tables", SPAA 2005.
"""

from collections.abc import Iterable
from math import log
from typing import TYPE_CHECKING

from limepath.hashing import MASK_64, mix64

if TYPE_CHECKING:
    from limepath.decisions.server import Server

OBJECT_STRIDE = 64  # distance between the hash inputs of consecutive objects; leaves room for their parts


def rendezvous_order(object_part: tuple[int, int], servers: Iterable["Server"]) -> list["Server"]:
    """Return the servers by descending score for an object part (object, part)."""
    object_number, part = object_part
    object_hash = mix64(object_number * OBJECT_STRIDE + part + 1)

    def sort_key(server: "Server") -> tuple[float, int]:
        # In (0, 1), both ends excluded.
        uniform = (mix64(object_hash ^ server.hash_salt) + 1.5) / (MASK_64 + 2.0)
        return server.weight / log(uniform), server.id

    return sorted(servers, key=sort_key)
