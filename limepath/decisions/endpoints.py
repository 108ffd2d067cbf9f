"""The endpoint list as this front holds it: which caches, parents and origin it uses, each as a `Server`."""

from collections.abc import Mapping
from typing import TYPE_CHECKING

from limepath.decisions.event_queue import EventQueue
from limepath.decisions.server import Server
from limepath.decisions.slow_start import SlowStartBudgets
from limepath.interface.commands import SetSubscription
from limepath.interface.events import (
    ConnectionAvailabilityChanged,
    Endpoint,
    EndpointListUpdated,
    EndpointState,
    ProbeEnded,
    UpdateKind,
)
from limepath.interface.settings import Permissions, SlowStart, Topology

if TYPE_CHECKING:
    from limepath.decisions.router import Router

UNKNOWN_CONCURRENCY = 5.0  # transfers at full rate that an endpoint of unknown capacity is taken for


class Endpoints:
    """The servers by id. Caches in other zones are none of this front's business and not held.

    Attributes:
        servers: those that are listed, and those no longer listed that still have attempts in flight.
    """

    def __init__(
        self,
        queue: EventQueue,
        topology: Topology,
        permissions: Permissions,
        slow_starts: Mapping[bool, SlowStart],
        budgets: SlowStartBudgets,
        servers: dict[int, Server],
        router: "Router",
    ) -> None:
        self._queue = queue
        self._topology = topology
        self._permissions = permissions
        self._slow_starts = slow_starts
        self._budgets = budgets
        self._router = router
        self._upstream_kinds = (topology.parent_kind, topology.origin_kind)
        self.servers = servers

    def handle_list_updated(self, event: EndpointListUpdated) -> None:
        """Make, change and drop servers, and tell the router which are ready."""
        if self._permissions.subscribe and event.kind in (UpdateKind.CACHED, UpdateKind.UNAVAILABLE):
            self._queue.commands.append(SetSubscription(True))
        if event.kind == UpdateKind.UNAVAILABLE:
            return
        changed = self._changed_endpoints(event)
        known = {ident: server.endpoint for ident, server in self.servers.items()} | changed
        parents = sum(endpoint.kind == self._topology.parent_kind for endpoint in known.values())
        for endpoint in changed.values():
            self._update_server(endpoint, parents)
        self._drop_removed()
        self._publish_ready()

    def _changed_endpoints(self, event: EndpointListUpdated) -> dict[int, Endpoint]:
        """The endpoints to take in, by id; those that a full list leaves out come first, as removed."""
        changed: dict[int, Endpoint] = {}
        if event.kind != UpdateKind.DELTA:
            for ident, server in self.servers.items():
                changed[ident] = server.endpoint._replace(state=EndpointState.REMOVED)
        for endpoint in event.endpoints:
            if endpoint.id in self.servers or self._is_wanted(endpoint):
                changed[endpoint.id] = endpoint
        return changed

    def _is_wanted(self, endpoint: Endpoint) -> bool:
        if endpoint.state == EndpointState.REMOVED:
            return False
        return endpoint.zone == self._topology.zone or endpoint.kind in self._upstream_kinds

    def _update_server(self, endpoint: Endpoint, parents: int) -> None:
        is_upstream = endpoint.kind in self._upstream_kinds
        slow_start_duration = 0
        if endpoint.kind != self._topology.origin_kind:
            slow_start_duration = self._slow_starts[is_upstream].duration
        if not slow_start_duration:  # the origin is never cold
            endpoint = endpoint._replace(started_at=0)
        if endpoint.id not in self.servers:
            self.servers[endpoint.id] = Server(
                self._queue,
                self._router,
                self._budgets,
                self._permissions,
                endpoint,
                is_upstream,
                slow_start_duration,
            )
        fronts = self._topology.fronts if is_upstream else self._topology.fronts_in_zone
        concurrency = self._base_concurrency(endpoint, is_upstream, parents)
        self.servers[endpoint.id].update(endpoint, is_upstream, fronts, concurrency, self._topology.weighted)

    def _base_concurrency(self, endpoint: Endpoint, is_upstream: bool, parents: int) -> float:
        """Transfers at full rate; of unknown capacity, a parent has its part of what all links carry."""
        topology = self._topology
        if topology.weighted:
            return endpoint.weight
        if is_upstream and topology.transfer_kb_s:
            link_kb_s = sum(topology.link_kb_s) / (parents or 1)
            if link_kb_s:
                return link_kb_s / topology.transfer_kb_s
        return UNKNOWN_CONCURRENCY

    def _drop_removed(self) -> None:
        removed = [
            ident
            for ident, server in self.servers.items()
            if server.endpoint.state == EndpointState.REMOVED and not server.active_attempts
        ]
        for ident in removed:
            del self.servers[ident]
            self._budgets.drop(ident)

    def _publish_ready(self) -> None:
        topology = self._topology
        caches: list[Server] = []
        parents: list[Server] = []
        origins: list[Server] = []
        for server in self.servers.values():
            endpoint = server.endpoint
            if endpoint.state != EndpointState.READY:
                continue
            if endpoint.zone == topology.zone and endpoint.kind not in self._upstream_kinds:
                caches.append(server)
            if endpoint.kind == topology.parent_kind:
                parents.append(server)
            if endpoint.kind == topology.origin_kind:
                origins.append(server)
        self._router.set_servers(caches, parents, origins[0] if origins else None)

    def handle_probe_ended(self, event: ProbeEnded) -> None:
        """Hand the result of a health check to its server."""
        if server := self.servers.get(event.endpoint):
            server.handle_probe_ended(event)

    def handle_availability_changed(self, event: ConnectionAvailabilityChanged) -> None:
        """Whether a server can be reached from here has changed."""
        if server := self.servers.get(event.endpoint):
            server.is_reachable = event.available

    def check_health(self) -> None:
        """Have each server checked that has an attempt in flight or is suspected."""
        for server in self.servers.values():
            if server.is_check_due():
                self._queue.put(server.handle_health_check)
