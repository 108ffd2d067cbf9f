"""Decides which listed endpoint has an address when several are listed at it. Performs no I/O.

A new server may have the address of one that has gone, and the list may tell of the new one before it tells
that the other has gone, or tell of the other once more. Work for the other would reach the new server, which
may have just started. So an address belongs to the endpoint that was told last to be at it, or that started
last where one update tells of several. Endpoints with the same start time may share an address.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from limepath.front.endpoint_entry import EndpointEntry
from limepath.interface.events import EndpointState


class Incarnation(NamedTuple):
    """Identifies one run of a server, because its address may later be given to another server."""

    address: tuple[str, int]
    started_ms: int  # milliseconds of Unix time, as given in the endpoint list


class AddressOwners:
    """The endpoint that has each address, and the endpoints that have lost theirs to another.

    Attributes:
        replaced: by name, the incarnation that lost its address; it counts as removed while it is listed.
    """

    def __init__(self) -> None:
        self.replaced: dict[str, Incarnation] = {}
        self._owners: dict[tuple[str, int], str] = {}
        self._incarnations: dict[str, Incarnation] = {}  # of the owners, by name

    def apply(self, entries: Iterable[EndpointEntry], is_complete: bool) -> set[str]:
        """Apply an update of the list, and mark its entries that have lost their address as removed.

        Returns:
            the names of all endpoints that lost their address by this update.
        """
        told = {entry.name: entry for entry in entries}
        if is_complete:
            for name in [name for name in (*self._incarnations, *self.replaced) if name not in told]:
                self._forget(name)
        losers: set[str] = set()
        for entry in sorted(told.values(), key=self._order):
            self._apply_entry(entry, losers)
        for name in losers & told.keys():
            told[name].set_state(EndpointState.REMOVED)
        return losers

    def _order(self, entry: EndpointEntry) -> tuple[bool, int]:
        """Order the entries that are known at their address first, the others by their start."""
        is_known = self._incarnations.get(entry.name) == incarnation_of(entry)
        return not is_known, entry.started_ms

    def _apply_entry(self, entry: EndpointEntry, losers: set[str]) -> None:
        name = entry.name
        incarnation = incarnation_of(entry)
        if entry.endpoint.state == EndpointState.REMOVED:
            self._forget(name)
            return
        is_draining = entry.endpoint.state == EndpointState.DRAINING
        if name in self.replaced and (is_draining or self.replaced[name] == incarnation):
            losers.add(name)
            return
        self._forget(name)
        owner = self._owners.get(entry.address)
        if owner is not None and self._incarnations[owner].started_ms != entry.started_ms:
            self.replaced[owner] = self._incarnations.pop(owner)
            losers.add(owner)
        self._owners[entry.address] = name
        self._incarnations[name] = incarnation

    def _forget(self, name: str) -> None:
        self.replaced.pop(name, None)
        incarnation = self._incarnations.pop(name, None)
        if incarnation and self._owners.get(incarnation.address) == name:
            del self._owners[incarnation.address]


def incarnation_of(entry: EndpointEntry) -> Incarnation:
    """Return the incarnation that an entry of the list tells of."""
    return Incarnation(entry.address, entry.started_ms)
