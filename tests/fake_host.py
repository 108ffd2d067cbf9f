"""A fake host: creates one decision engine, passes it events at chosen times and records its commands."""

from limepath.decisions.engine import DecisionEngine
from limepath.interface.commands import ForwardRequest, ScheduleWakeup, SendProbe
from limepath.interface.events import (
    AttemptEnded,
    AttemptOutcome,
    CacheStatus,
    Endpoint,
    EndpointListUpdated,
    EndpointState,
    ProbeEnded,
    PurgeAnnounced,
    RequestArrived,
    TimerFired,
    UpdateKind,
)
from limepath.interface.settings import (
    DeliveryService,
    GracePeriods,
    Idempotency,
    KeyScope,
    Permissions,
    SlowStart,
    Topology,
)

SECOND = 1_000_000
CACHE, PARENT, ORIGIN = 0, 2, 3


def make_service(**changes):
    default = DeliveryService(
        latency_objective=600_000,
        objective_stretch=1.6,
        deadline=5 * SECOND,
        priority_weight=1.0,
        late_share=0.2,
        idempotency=Idempotency.IDEMPOTENT,
        key_scope=KeyScope.ALL,
        retry_window=SECOND,
        streamed=False,
        max_age=0,
        stale_grace=0,
        stale_share=0.5,
        uncacheable=False,
        segmented=False,
    )
    return default._replace(**changes)


def make_endpoint(endpoint_id, kind=CACHE, state=EndpointState.READY, started_at=0, weight=6.0):
    return Endpoint(state, endpoint_id, started_at, 0, 0 if kind == CACHE else 1, kind, weight)


ENDPOINTS = (
    make_endpoint(1),
    make_endpoint(2),
    make_endpoint(3),
    make_endpoint(11, PARENT, weight=30.0),
    make_endpoint(12, PARENT, weight=30.0),
    make_endpoint(21, ORIGIN, weight=20.0),
)


class FakeHost:
    def __init__(
        self,
        services=(make_service(),),
        endpoints=ENDPOINTS,
        seed=7,
        fronts=2,
        fronts_in_zone=1,
        weighted=True,
        link_kb_s=9000.0,
        **permitted,
    ):
        permissions = Permissions(
            max_attempts=6,
            hedging=False,
            cancellation=True,
            probing=True,
            peer_messages=False,
            max_retry_after=SECOND,
            direct=True,
            join_fills=False,
            lateral="none",
            subscribe=False,
        )
        self.front = DecisionEngine(
            seed=seed,
            services=services,
            footprint=Topology(
                zone=0,
                hub_of=(0, 0),
                link_kb_s=(link_kb_s, 0.0),
                fronts_in_zone=fronts_in_zone,
                fronts=fronts,
                parent_kind=PARENT,
                origin_kind=ORIGIN,
                transfer_kb_s=1000.0,
                weighted=weighted,
            ),
            allowance=permissions._replace(**permitted),
            cache_warmup=SlowStart(0.2, 10 * SECOND, 2.0, SECOND),
            parent_warmup=SlowStart(0.1, 20 * SECOND, 2.0, SECOND),
            grace=GracePeriods(8000, SECOND, 300_000, 6 * SECOND, 10 * SECOND),
        )
        self.now, self.wakeup_at, self.requests, self.commands = 100 * SECOND, None, 0, []
        self.handle(EndpointListUpdated(UpdateKind.CACHED, 1, endpoints))

    def handle(self, *events):
        """Pass events to the engine at the current time; return its commands except `ScheduleWakeup`."""
        commands = self.front.handle(self.now, events)
        for command in commands:
            if isinstance(command, ScheduleWakeup):
                wakeup_at = self.now + command.delay
                self.wakeup_at = wakeup_at if self.wakeup_at is None else min(self.wakeup_at, wakeup_at)
        commands = [item for item in commands if not isinstance(item, ScheduleWakeup)]
        self.commands += commands
        return commands

    def wait(self, duration):
        """Advance the time, with the scheduled wakeups; return all commands of the period."""
        until, commands = self.now + duration, []
        while self.wakeup_at is not None and self.wakeup_at <= until:
            self.now, self.wakeup_at = self.wakeup_at, None
            commands += self.handle(TimerFired(0))
        self.now = until
        return commands

    def request(self, obj=5, service_index=0, time_left=5 * SECOND, size_kb=0.0, group=0, part=0):
        self.requests += 1
        return self.handle(
            RequestArrived(
                self.requests, service_index, 0, obj, time_left, size_kb, group, part, False, False
            )
        )

    def end_attempt(
        self,
        forward,
        outcome,
        number=0,
        answered=False,
        cache_status=CacheStatus.NONE,
        duration=1000,
        is_not_modified=False,
    ):
        return self.handle(
            AttemptEnded(
                forward.request,
                number,
                outcome,
                forward.endpoint,
                duration,
                0,
                answered,
                cache_status,
                {},
                is_not_modified,
            )
        )

    def update_endpoints(self, *endpoints, kind=UpdateKind.DELTA):
        return self.handle(EndpointListUpdated(kind, 2, endpoints))

    def purge(self, obj=None, group=0, age=0):
        return self.handle(PurgeAnnounced(group, age, obj))

    def end_probe(self, endpoint_id, outcome=AttemptOutcome.SUCCEEDED, util=0.0):
        return self.handle(ProbeEnded(endpoint_id, outcome, 1000, {"util": util}))


def forwards(commands):
    """Return the `ForwardRequest` commands among `commands`."""
    return [command for command in commands if isinstance(command, ForwardRequest)]


def probed_endpoints(commands):
    """Return the endpoints that `commands` probe."""
    return [command.endpoint for command in commands if isinstance(command, SendProbe)]


def kinds(commands):
    """Return the type names of `commands`."""
    return [type(command).__name__ for command in commands]
