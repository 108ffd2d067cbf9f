"""Counts the bytes that connections hold, in the order in which each began to hold any."""

from __future__ import annotations

from collections.abc import Hashable
from itertools import islice
from typing import Generic, TypeVar

Holder = TypeVar("Holder", bound=Hashable)


class ByteCounts(Generic[Holder]):
    """Bytes by holder.

    Attributes:
        total: the bytes of all holders together.
    """

    def __init__(self) -> None:
        self.total = 0
        self._sizes: dict[Holder, int] = {}  # the holder that began first comes first

    def __bool__(self) -> bool:
        return bool(self._sizes)

    def set(self, holder: Holder, size: int) -> None:
        """Set the bytes of a holder; with 0 it is forgotten, and comes last when it begins again."""
        self.total += size - self._sizes.get(holder, 0)
        if size:
            self._sizes[holder] = size
        else:
            self._sizes.pop(holder, None)

    def first(self, number: int) -> tuple[Holder, ...]:
        """Return up to `number` holders that began first."""
        return tuple(islice(self._sizes, number))
