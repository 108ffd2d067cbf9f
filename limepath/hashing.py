"""Hash functions that all fronts compute alike, whatever machine they run on."""

MASK_64 = (1 << 64) - 1  # the largest unsigned 64-bit integer
FIRST_MULTIPLIER = 0xFF51AFD7ED558CCD
SECOND_MULTIPLIER = 0xC4CEB9FE1A85EC53


def mix64(value: int) -> int:
    """Spread the bits of an unsigned 64-bit integer over all 64.

    CRC-32 alone is linear and would order endpoints alike for related objects; this finaliser is not.

    Source: fmix64 of MurmurHash3 (A. Appleby, public domain).
    """
    value = (value ^ value >> 33) * FIRST_MULTIPLIER & MASK_64
    value = (value ^ value >> 33) * SECOND_MULTIPLIER & MASK_64
    return value ^ value >> 33
