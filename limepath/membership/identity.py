"""The identity of an instance, read from its store: its token, its generation and its lease-epoch ceiling.

Damaged or missing state is never guessed. The instance then gets a new token, and the epochs that its voter
has granted are unknown.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

# Names of rows in the store; changing one makes existing stores unreadable.
TOKEN_ROW = "token"
GENERATION_ROW = "life"
EPOCH_CEILING_ROW = "ceiling"

FIRST_GENERATION = 1


class Identity(NamedTuple):
    """The identity of an instance in one generation."""

    token: int
    """63 random bits, drawn when the store was created."""
    generation: int
    """Number of this start, from 1."""
    ceiling: int
    """Highest lease epoch that this instance's voter may have granted; 0 if that is not known."""
    is_ceiling_known: bool
    """Whether the store had a valid ceiling."""


class NextIdentity(NamedTuple):
    """The identity of this start, and the rows to store before the identity is used."""

    identity: Identity
    rows: dict[str, bytes]


def next_identity(rows: Mapping[str, bytes], draw_token: Callable[[], int]) -> NextIdentity:
    """Return the identity of the next start, given the rows of the store.

    `draw_token()` returns 63 random bits.
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
    """Return the row that stores the ceiling of lease epochs."""
    return {EPOCH_CEILING_ROW: b"%d" % ceiling}
