"""Who an instance is, out of its store: a token drawn once, a life for each start, the ceiling of epochs.

Damaged or missing state is never guessed: the instance is a new one then, under a new token, and its voter
unsure.
"""

from typing import NamedTuple

EPOCH_CEILING_ROW = "ceiling"  # the row of the store


class Identity(NamedTuple):
    token: int
    generation: int
    ceiling: int
    sure: bool


def next_identity(rows, draw):
    """(the Identity of this start, the rows to keep before it is used). `draw()` gives 63 random bits."""
    try:
        token, life = int(rows["token"]), int(rows["life"]) + 1
        ceiling = int(rows[EPOCH_CEILING_ROW]) if EPOCH_CEILING_ROW in rows else None
    except (KeyError, ValueError):
        token, life, ceiling = draw(), 1, None
    identity = Identity(token, life, ceiling or 0, ceiling is not None)
    return identity, {"token": b"%d" % token, "life": b"%d" % life}


def epoch_ceiling_row(ceiling):
    return {EPOCH_CEILING_ROW: b"%d" % ceiling}
