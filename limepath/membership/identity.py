"""Who an instance is, out of its store: its token, the number of this start, the ceiling of lease epochs.

Damaged or missing state is never guessed: the instance is a new one then, under a new token, and its voter
does not know which epochs it has granted.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

# Rows of the store. Their names are stored data and stay.
TOKEN_ROW = "token"
GENERATION_ROW = "life"
EPOCH_CEILING_ROW = "ceiling"

FIRST_GENERATION = 1


class Identity(NamedTuple):
    """Identity of an instance in one generation."""

    token: int
    """63 random bits, drawn when the store was made."""
    generation: int
    """Number of this start, from 1."""
    ceiling: int
    """Lease epochs above this one were never granted by this instance's voter; 0 if that is not known."""
    sure: bool
    """Whether the ceiling is known."""


class NextIdentity(NamedTuple):
    """The identity of this start, and the rows to be stored before it is used."""

    identity: Identity
    rows: dict[str, bytes]


def next_identity(rows: Mapping[str, bytes], draw_token: Callable[[], int]) -> NextIdentity:
    """Return the identity of the next start, given the rows of the store.

    `draw_token()` gives 63 random bits.
    """
    try:
        token = int(rows[TOKEN_ROW])
        generation = int(rows[GENERATION_ROW]) + 1
        ceiling = int(rows[EPOCH_CEILING_ROW]) if EPOCH_CEILING_ROW in rows else None
    except (KeyError, ValueError):
        token = draw_token()
        generation = FIRST_GENERATION
        ceiling = None
    identity = Identity(token, generation, ceiling or 0, ceiling is not None)
    return NextIdentity(identity, {TOKEN_ROW: b"%d" % token, GENERATION_ROW: b"%d" % generation})


def epoch_ceiling_row(ceiling: int) -> dict[str, bytes]:
    """Return the row that keeps the ceiling of lease epochs."""
    return {EPOCH_CEILING_ROW: b"%d" % ceiling}
