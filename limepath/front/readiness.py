"""Tells without waiting which sockets can be read: bytes, a FIN or connections have arrived."""

from __future__ import annotations

import select
import socket
from collections.abc import Iterable


def readable(descriptors: Iterable[int | socket.socket]) -> set[int]:
    """Return the descriptors that can be read now."""
    poller = select.poll()
    for descriptor in descriptors:
        poller.register(descriptor, select.POLLIN)
    return {descriptor for descriptor, _ in poller.poll(0)}


def is_readable(descriptor: int | socket.socket) -> bool:
    """Return whether the descriptor can be read now."""
    return bool(readable((descriptor,)))
