"""Weighted rendezvous hashing: every front finds the same order of servers for an object.

A change of the endpoint list moves only the objects of the endpoint that changed.

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

OBJECT_STRIDE = 64  # numbers between the hash inputs of neighbouring objects: parts of one object in between


def rendezvous_order(object_part: tuple[int, int], servers: Iterable["Server"]) -> list["Server"]:
    """The servers by falling score for an object part (object, part), the same at every front."""
    object_number, part = object_part
    key = mix64(object_number * OBJECT_STRIDE + part + 1)

    def negated_score(server: "Server") -> tuple[float, int]:
        uniform = (mix64(key ^ server.hash_salt) + 1.5) / (MASK_64 + 2.0)  # in (0, 1), never an end
        return server.weight / log(uniform), server.id

    return sorted(servers, key=negated_score)
