"""Counts the open file descriptors of the process by use."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from limepath.configuration.process_limits import Limits
    from limepath.front.clients import Clients
    from limepath.front.servers import Servers


class DescriptorUse(NamedTuple):
    """Numbers of open descriptors; `planned` is the maximum for clients and caches together."""

    clients: int
    caches: int  # connections to caches, parents and the origin; named as the log field
    other: int  # reactor, log, listening port, endpoint list, datagram sockets, store
    planned: int


def descriptor_use(clients: Clients, servers: Servers, limits: Limits) -> DescriptorUse:
    """Count the open descriptors, by listing /proc/self/fd (proc(5)); one system call lists some hundred."""
    total = len(os.listdir("/proc/self/fd")) - 1  # listing opens the directory itself
    client_count = len(clients.connections)
    server_count = servers.connection_count
    planned = limits.client_connections + limits.all_cache_connections
    return DescriptorUse(client_count, server_count, total - client_count - server_count, planned)
