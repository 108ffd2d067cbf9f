"""The servers that a request may be offered to, in the order of selection."""

from collections.abc import Collection, Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limepath.decisions.server import Server


class Candidates:
    """An order of servers, of which a request excludes more and more.

    Servers that were found excluded are not looked at again, so that a request that every server declines
    costs one pass over the order.
    """

    def __init__(self, servers: Sequence["Server"] = ()) -> None:
        self._servers = servers
        self._position = 0

    def __contains__(self, server: "Server") -> bool:
        return server in self._servers

    def first_except(self, excluded: Collection["Server"]) -> "Server | None":
        """Return the first server that is not excluded, or None; `excluded` only grows until `restart`."""
        servers = self._servers
        while self._position < len(servers):
            server = servers[self._position]
            if server not in excluded:
                return server
            self._position += 1
        return None

    def restart(self) -> None:
        """Look at all servers again, because fewer are excluded."""
        self._position = 0
