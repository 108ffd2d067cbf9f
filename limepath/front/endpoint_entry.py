"""Parses entries of the endpoint list; the only place that maps the list service's names to the front's."""

from __future__ import annotations

from hashlib import blake2b
from typing import NamedTuple

from limepath.configuration.addresses import parse_host_port
from limepath.front.clock import clock
from limepath.front.reference_clock import ReferenceClock
from limepath.interface.events import Endpoint, EndpointState

STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
IDENT_BYTES = 6
MALFORMED_EVENT_ERRORS = (KeyError, ValueError, TypeError, AttributeError)
"""The exceptions that reading a malformed event can raise."""


def endpoint_ident(name: str) -> int:
    """Derive an endpoint's ident from its name; it is the same at every front and after restarts."""
    return int.from_bytes(blake2b(name.encode(), digest_size=IDENT_BYTES).digest(), "big")


class EndpointEntry:
    """An endpoint as passed to the decisions, with the name, address and start time for the network code."""

    __slots__ = ("endpoint", "name", "address", "started_ms")

    def __init__(
        self,
        line: dict,
        zones: list[str],
        kinds: list[str],
        known: dict[str, EndpointEntry],
        reference: ReferenceClock,
        is_live_change: bool = False,
    ):
        """Parse one line of the list; `known` holds the current entries by name.

        With `is_live_change` the line is of a change that happened just now; see `_started_at`.

        Raises KeyError, ValueError, TypeError or AttributeError for a malformed line.
        """
        self.name = line["id"]
        self.address = parse_host_port(line["host_port"])
        self.started_ms = int(line.get("up_since_ms") or 0)  # milliseconds of Unix time; 0: unknown
        self.endpoint = Endpoint(
            state=STATES[line["phase"]],
            id=endpoint_ident(self.name),
            started_at=self._started_at(known.get(self.name), reference, is_live_change),
            cell=int(line.get("cell") or 0),
            zone=zones.index(line["locality"]),
            kind=kinds.index(line["flavor"]),
            weight=float(line.get("size") or 1),
        )

    def _started_at(
        self, known: EndpointEntry | None, reference: ReferenceClock, is_live_change: bool
    ) -> int:
        """Return the start time in microseconds of the front's clock, or 0 if it is unknown.

        It is converted once and kept, because repeated conversions would differ by microseconds. A start that
        is a live change counts from now: the clock of its timestamp may be behind, and a server must not be
        counted as warm before it is.
        """
        if known and known.started_ms == self.started_ms:
            return known.endpoint.started_at
        if not self.started_ms:
            return 0
        age = 0 if is_live_change else reference.age(self.started_ms * 1000)
        return max(1, clock() - age)

    def set_state(self, state: EndpointState) -> None:
        """Set the endpoint's state and keep everything else."""
        self.endpoint = self.endpoint._replace(state=state)


class ParsedEntries(NamedTuple):
    """The entries of an event that could be parsed, and an error message for each of the others."""

    entries: list[EndpointEntry]
    errors: list[str]


def parse_entries(
    lines: list,
    zones: list[str],
    kinds: list[str],
    known: dict[str, EndpointEntry],
    reference: ReferenceClock,
    is_live_change: bool,
) -> ParsedEntries:
    """Parse the entries of an update one by one; the arguments are those of `EndpointEntry`.

    A malformed entry must not hide the drain of another endpoint. If a malformed entry belongs to a known
    endpoint and has a valid state, that state is applied.
    """
    entries, errors = [], []
    for line in lines:
        try:
            entries.append(EndpointEntry(line, zones, kinds, known, reference, is_live_change))
        except MALFORMED_EVENT_ERRORS as error:
            errors.append(f"{type(error).__name__}: {error}")
            if entry := _entry_with_new_state(line, known):
                entries.append(entry)
    return ParsedEntries(entries, errors)


def _entry_with_new_state(line: object, known: dict[str, EndpointEntry]) -> EndpointEntry | None:
    """Apply the state in a malformed line to the known entry that it names; return the entry, if any."""
    if not isinstance(line, dict):
        return None
    name, phase = line.get("id"), line.get("phase")
    if not (isinstance(name, str) and isinstance(phase, str)):
        return None
    entry = known.get(name)
    if entry is None or phase not in STATES:
        return None
    entry.set_state(STATES[phase])
    return entry
