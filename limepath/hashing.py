"""Hash functions with the same result at every front, on every platform."""

MASK_64 = (1 << 64) - 1  # the largest unsigned 64-bit integer
FIRST_MULTIPLIER = 0xFF51AFD7ED558CCD
SECOND_MULTIPLIER = 0xC4CEB9FE1A85EC53


def mix64(value: int) -> int:
    """Return an unsigned 64-bit integer whose bits each depend on all bits of `value`.

    Rendezvous hashing needs a non-linear function: CRC-32 is linear and would order the endpoints in the
    same way for related objects.

    Source: fmix64 of MurmurHash3 (A. Appleby, public domain).
    """
    value = (value ^ value >> 33) * FIRST_MULTIPLIER & MASK_64
    value = (value ^ value >> 33) * SECOND_MULTIPLIER & MASK_64
    return value ^ value >> 33
