"""File descriptors by use: what clients, caches and all else of the front hold, of those it may have."""

import os
from typing import NamedTuple


class DescriptorUse(NamedTuple):
    """Counts of open descriptors; `planned` is what clients and caches may hold at the most, together."""

    clients: int
    caches: int
    other: int  # the reactor, the log, the listener, the cache list, datagrams, the store
    planned: int


def descriptor_use(clients, caches, limits):
    """Count now. Reads the process's directory of descriptors (proc(5)), one call for some hundred."""
    total = len(os.listdir("/proc/self/fd")) - 1  # the directory itself is open while it is read
    held = len(clients.connections)
    other = total - held - caches.held
    return DescriptorUse(held, caches.held, other, limits.client_connections + limits.all_cache_connections)
