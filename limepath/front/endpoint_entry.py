"""One entry of the endpoint list: the list service's words are mapped here and nowhere else."""

from __future__ import annotations

from hashlib import blake2b

from limepath.configuration.addresses import address_of
from limepath.front.clock import clock
from limepath.front.reference_clock import ReferenceClock
from limepath.interface.events import Endpoint, EndpointState

STATES = {
    "in_service": EndpointState.READY,
    "terminating": EndpointState.DRAINING,
    "terminated": EndpointState.REMOVED,
}
IDENT_BYTES = 6


def endpoint_ident(name: str) -> int:
    """The endpoint's number, the same at every front and start."""
    return int.from_bytes(blake2b(name.encode(), digest_size=IDENT_BYTES).digest(), "big")


class EndpointEntry:
    """An endpoint as the decisions have it, and what the network code needs beside it."""

    __slots__ = ("endpoint", "name", "address", "started_ms")

    def __init__(
        self,
        line: dict,
        zones: list[str],
        kinds: list[str],
        known: dict[str, EndpointEntry],
        reference: ReferenceClock,
    ):
        """Read one line of the list; `known` has the entries so far, by name.

        Raises KeyError, ValueError, TypeError or AttributeError for a line that cannot be read.
        """
        self.name = line["id"]
        self.address = address_of(line["host_port"])
        self.started_ms = int(line.get("up_since_ms") or 0)  # by the Unix clock; 0 where it is not told
        self.endpoint = Endpoint(
            state=STATES[line["phase"]],
            id=endpoint_ident(self.name),
            started_at=self._started_at(known.get(self.name), reference),
            cell=int(line.get("cell") or 0),
            zone=zones.index(line["locality"]),
            kind=kinds.index(line["flavor"]),
            weight=float(line.get("size") or 1),
        )

    def _started_at(self, known: EndpointEntry | None, reference: ReferenceClock) -> int:
        """The start on the front's clock: converted once and kept, as it would drift by microseconds."""
        if known and known.started_ms == self.started_ms:
            return known.endpoint.started_at
        if not self.started_ms:
            return 0
        return max(1, clock() - reference.age(self.started_ms * 1000))

    def set_state(self, state: EndpointState) -> None:
        """Take the endpoint's new state, and nothing else."""
        self.endpoint = self.endpoint._replace(state=state)
