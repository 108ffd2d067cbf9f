"""The endpoint list of this front: the caches, parents and origin that it uses, each as a `Server`."""

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

DEFAULT_CONCURRENCY = 5.0  # transfers at full rate; assumed for an endpoint of unknown capacity


class Endpoints:
    """The servers that this front uses. Caches in other zones are left out.

    Attributes:
        servers: servers by id: those on the endpoint list, and removed ones that still have active attempts.
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
        """Create, update and remove servers, and pass the ready ones to the router."""
        if self._permissions.subscribe and event.kind in (UpdateKind.CACHED, UpdateKind.UNAVAILABLE):
            self._queue.commands.append(SetSubscription(True))
        if event.kind == UpdateKind.UNAVAILABLE:
            return
        changes = self._find_changes(event)
        endpoints = {server_id: server.endpoint for server_id, server in self.servers.items()} | changes
        parent_count = sum(endpoint.kind == self._topology.parent_kind for endpoint in endpoints.values())
        for endpoint in changes.values():
            self._update_server(endpoint, parent_count)
        self._drop_removed()
        self._update_router()

    def _find_changes(self, event: EndpointListUpdated) -> dict[int, Endpoint]:
        """Return the changed endpoints by id.

        A full list removes the endpoints that it does not contain; they come first in the result.
        """
        changes: dict[int, Endpoint] = {}
        if event.kind != UpdateKind.DELTA:
            for server_id, server in self.servers.items():
                changes[server_id] = server.endpoint._replace(state=EndpointState.REMOVED)
        for endpoint in event.endpoints:
            if endpoint.id in self.servers or self._is_used(endpoint):
                changes[endpoint.id] = endpoint
        return changes

    def _is_used(self, endpoint: Endpoint) -> bool:
        if endpoint.state == EndpointState.REMOVED:
            return False
        return endpoint.zone == self._topology.zone or endpoint.kind in self._upstream_kinds

    def _update_server(self, endpoint: Endpoint, parent_count: int) -> None:
        is_upstream = endpoint.kind in self._upstream_kinds
        slow_start_duration = 0
        if endpoint.kind != self._topology.origin_kind:
            slow_start_duration = self._slow_starts[is_upstream].duration
        if not slow_start_duration:  # always the case for the origin, which needs no slow start
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
        self.servers[endpoint.id].slow_start_duration = slow_start_duration
        fronts = self._topology.fronts if is_upstream else self._topology.fronts_in_zone
        concurrency = self._base_concurrency(endpoint, is_upstream, parent_count)
        self.servers[endpoint.id].update(endpoint, is_upstream, fronts, concurrency, self._topology.weighted)

    def _base_concurrency(self, endpoint: Endpoint, is_upstream: bool, parent_count: int) -> float:
        """Return how many transfers the endpoint can send at full rate.

        Where the endpoint list has no capacities, a parent has an equal share of the rate of all links.
        """
        topology = self._topology
        if topology.weighted:
            return endpoint.weight
        if is_upstream and topology.transfer_kb_s:
            link_kb_s = sum(topology.link_kb_s) / (parent_count or 1)
            if link_kb_s:
                return link_kb_s / topology.transfer_kb_s
        return DEFAULT_CONCURRENCY

    def _drop_removed(self) -> None:
        removed = [
            server_id
            for server_id, server in self.servers.items()
            if server.endpoint.state == EndpointState.REMOVED and not server.active_attempts
        ]
        for server_id in removed:
            del self.servers[server_id]
            self._budgets.drop(server_id)

    def _update_router(self) -> None:
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
        """Pass the result of a health check to its server."""
        if server := self.servers.get(event.endpoint):
            server.handle_probe_ended(event)

    def handle_availability_changed(self, event: ConnectionAvailabilityChanged) -> None:
        """Record whether a server is reachable from this front."""
        if server := self.servers.get(event.endpoint):
            server.is_reachable = event.available

    def check_health(self) -> None:
        """Start a health check of each server that has an attempt in flight or may be down."""
        for server in self.servers.values():
            if server.is_check_due():
                self._queue.put(server.handle_health_check)
