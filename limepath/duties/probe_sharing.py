"""Connects the duties to a front's decision module: serves targets by probes and reports shared results.

The targets are the endpoints on the endpoint list that the front receives. The outcomes of the front's probes
are this instance's results. When the decision module requests a probe, a shared result that is recent enough
is reported in its place.
"""

from collections.abc import Callable, Mapping, Sequence
from typing import Any, Protocol

from limepath.configuration.sharing_settings import DutySettings
from limepath.duties.instance import Instance
from limepath.duties.interface import ProbeResult, ServeTarget, TargetServed, TargetsUpdated
from limepath.interface.commands import SendProbe
from limepath.interface.events import (
    AttemptOutcome,
    EndpointListUpdated,
    EndpointState,
    ProbeEnded,
    UpdateKind,
)

MAX_LOAD_VALUES = 8
"""The most values of a load report that are shared."""
MAX_LOAD_NAME = 12
"""The most characters in the name of a load value; values with longer names are not shared."""


class DecisionLoop(Protocol):
    """The interface used of the loop that runs the decision module (`front.decision_loop.DecisionLoop`)."""

    listener: Callable[[Sequence[Any]], object] | None
    command_handlers: dict[type, Callable[[Any], object]]

    def gather(self, *events: object) -> None:
        """Pass events to the decision module in the next pass of the loop."""


class ProbeSender(Protocol):
    """The interface used of the front's connections to its servers (`front.servers.Servers`)."""

    @property
    def endpoints(self) -> Mapping[int, object]:
        """The endpoints that can be probed, by id."""

    def probe(self, command: SendProbe, epoch: int = 0) -> object:
        """Send a probe to an endpoint."""


def kinds_by_duty(
    duties: Sequence[DutySettings],
    names_by_duty: Mapping[str, Sequence[str]],
    upper_kinds: Mapping[str, int],
    kind_count: int,
) -> list[set[int]]:
    """Return for each duty the set of its targets' kinds, as the decision module numbers them.

    `names_by_duty` has the names of kinds in the settings of each duty: a name in `upper_kinds` (parents and
    origin), or "caches" for all other kinds.
    """
    caches = set(range(kind_count)) - set(upper_kinds.values())
    found: list[set[int]] = []
    for duty in duties:
        kinds: set[int] = set()
        for name in names_by_duty[duty.name]:
            kinds |= caches if name == "caches" else {upper_kinds[name]}
        found.append(kinds)
    return found


class ProbeSharing:
    """Serves targets by probing them, and shares the outcomes of probes among fronts.

    `kinds` has the set of its targets' kinds for each duty, `submit` passes events to the instance, `clock`
    returns the time of the instance's clock.
    """

    def __init__(
        self,
        loop: DecisionLoop,
        probes: ProbeSender,
        instance: Instance,
        kinds: Sequence[set[int]],
        submit: Callable[..., None],
        clock: Callable[[], int],
    ):
        self.loop = loop
        self.probes = probes
        self.instance = instance
        self.kinds = kinds
        self.submit = submit
        self.clock = clock
        self.endpoint_kinds: dict[int, int] = {}
        """The kinds of the endpoints that are ready, by endpoint."""
        self.serving: dict[int, int] = {}
        """The duty for which each endpoint is being probed."""
        self.pending_probes: set[int] = set()
        """Endpoints with a pending probe of this front that the decision module requested."""
        self.event_listeners: list[Any] = []
        """Objects whose `handle_events(events)` is called with the decision module's events."""
        self.counts = {"probes_asked": 0, "probes_shared": 0, "probes_sent": 0, "rounds": 0, "too_late": 0}
        self.front_send_probe = loop.command_handlers[SendProbe]

    def attach(self) -> None:
        """Start to receive the decision module's events and to handle its probe commands."""
        self.loop.listener = self.handle_front_events
        self.loop.command_handlers[SendProbe] = self.send_probe

    def detach(self) -> None:
        """Stop receiving events, and restore the front's own handler of probe commands."""
        self.loop.listener = None
        self.loop.command_handlers[SendProbe] = self.front_send_probe

    # From the front to the instance

    def handle_front_events(self, events: Sequence[Any]) -> None:
        """Handle endpoint list updates and outcomes of probes among the decision module's events."""
        for listener in self.event_listeners:
            listener.handle_events(events)
        for event in events:
            if isinstance(event, EndpointListUpdated):
                self._handle_list_updated(event)
            elif isinstance(event, ProbeEnded) and not event.age:
                self._handle_probe_ended(event)

    def _handle_probe_ended(self, event: ProbeEnded) -> None:
        """Share the outcome of a probe that this front has sent."""
        self.pending_probes.discard(event.endpoint)
        duty = self.serving.pop(event.endpoint, self._duty_of(event.endpoint))
        if duty is None or event.outcome == AttemptOutcome.SUPERSEDED:
            return
        load = {
            name: float(value)
            for name, value in list(event.load.items())[:MAX_LOAD_VALUES]
            if len(name) <= MAX_LOAD_NAME
        }
        self.submit(TargetServed(duty, event.endpoint, int(event.outcome), event.duration, load))

    def _duty_of(self, endpoint: int) -> int | None:
        kind = self.endpoint_kinds.get(endpoint)
        return next((duty for duty, kinds in enumerate(self.kinds) if kind in kinds), None)

    def _handle_list_updated(self, event: EndpointListUpdated) -> None:
        if event.kind == UpdateKind.UNAVAILABLE:
            return
        if event.kind != UpdateKind.DELTA:
            self.endpoint_kinds = {}
        for endpoint in event.endpoints:
            if endpoint.state == EndpointState.READY:
                self.endpoint_kinds[endpoint.id] = endpoint.kind
            else:
                self.endpoint_kinds.pop(endpoint.id, None)
        self.submit(*self.all_targets())

    def all_targets(self) -> list[TargetsUpdated]:
        """Return the targets of each duty that are on the endpoint list now."""
        return [
            TargetsUpdated(
                duty, tuple(endpoint for endpoint, kind in self.endpoint_kinds.items() if kind in kinds)
            )
            for duty, kinds in enumerate(self.kinds)
        ]

    # From the instance to the front

    def serve(self, command: ServeTarget) -> None:
        """Probe a target that is due, unless its lease has expired in the meantime."""
        if command.until and self.clock() >= command.until:
            self.counts["too_late"] += 1
        elif command.target in self.probes.endpoints:
            self.counts["rounds"] += 1
            self.serving[command.target] = command.duty
            self.probes.probe(SendProbe(command.target), command.epoch)

    def send_probe(self, command: SendProbe) -> None:
        """Report a shared result that is recent enough for the requested probe, or send the probe."""
        self.counts["probes_asked"] += 1
        self.instance.timers.now = self.clock()
        if shared := self.instance.find_recent_result(command.endpoint, command.max_age):
            self.counts["probes_shared"] += 1
            self.loop.gather(report_of(shared))
        else:
            self.counts["probes_sent"] += 1
            self.pending_probes.add(command.endpoint)
            self.front_send_probe(command)

    def report(self, result: ProbeResult) -> None:
        """Report another instance's result to the decision module, unless a requested probe is pending."""
        if result.target not in self.pending_probes:
            self.loop.gather(report_of(result))


def report_of(result: ProbeResult) -> ProbeEnded:
    """Return the decision module's event for a shared result. Its age is never 0, which marks own results."""
    try:
        outcome = AttemptOutcome(result.outcome)
    except ValueError:  # an outcome of a later version
        outcome = AttemptOutcome.FAILED
    return ProbeEnded(result.target, outcome, result.duration, result.load, max(1, result.age))
