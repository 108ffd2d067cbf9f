"""Tests of `limepath.membership.identity`."""

from limepath.membership.identity import Identity, epoch_ceiling_row, next_identity


def drawn_token() -> int:
    """Return the token of a new instance."""
    return 6


def test_an_empty_store_gives_a_new_identity() -> None:
    identity, rows = next_identity({}, drawn_token)
    assert identity == Identity(token=6, generation=1, ceiling=0, is_ceiling_known=False)
    assert rows == {"token": b"6", "life": b"1"}


def test_each_start_increments_the_generation_of_the_stored_identity() -> None:
    _, rows = next_identity({}, lambda: 5)
    expected = Identity(token=5, generation=2, ceiling=0, is_ceiling_known=False)
    assert next_identity(rows, drawn_token).identity == expected


def test_a_stored_epoch_ceiling_is_known_at_the_next_start() -> None:
    _, rows = next_identity({}, lambda: 5)
    expected = Identity(token=5, generation=2, ceiling=7000, is_ceiling_known=True)
    assert next_identity(rows | epoch_ceiling_row(7000), drawn_token).identity == expected


def test_a_damaged_store_gives_a_new_identity() -> None:
    expected = Identity(token=6, generation=1, ceiling=0, is_ceiling_known=False)
    assert next_identity({"token": b"x"}, drawn_token).identity == expected
