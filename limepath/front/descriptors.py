"""File descriptors by use: what clients, servers and all else of the front hold, of those it may have."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from limepath.configuration.process_limits import Limits
    from limepath.front.clients import Clients
    from limepath.front.servers import Servers


class DescriptorUse(NamedTuple):
    """Counts of open descriptors; `planned` is what clients and caches may hold at the most, together."""

    clients: int
    caches: int  # parents and the origin too; the name is that of the log field
    other: int  # the reactor, the log, the listener, the endpoint list, datagrams, the store
    planned: int


def descriptor_use(clients: Clients, servers: Servers, limits: Limits) -> DescriptorUse:
    """Count now. Reads the process's directory of descriptors (proc(5)), one call for some hundred."""
    total = len(os.listdir("/proc/self/fd")) - 1  # the directory itself is open while it is read
    client_count = len(clients.connections)
    server_count = servers.connection_count
    planned = limits.client_connections + limits.all_cache_connections
    return DescriptorUse(client_count, server_count, total - client_count - server_count, planned)
