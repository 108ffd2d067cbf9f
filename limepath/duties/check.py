"""Model checker of the leases: explores all orders of delivery, loss, duplication, pause and crash.

Time advances only as far as the next step requires: an instance whose timer is due but which takes no step is
paused. Exploration starts in a state in which one instance holds the slot. It is breadth first, so the first
violation found has a shortest trace. The checked invariant: no two instances hold the slot at the same time,
each according to its own clock. See `lease_model` for the states.
"""

import pickle
import time
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

from limepath.duties.lease_model import Envelope, ModelInstance, ModelState, message_fields
from limepath.report_table import CheckResult, at_most

MAX_DUPLICATED = 1
"""The most messages that are delivered twice in one trace."""
MAX_CRASHED = 1
"""The most crashes in one trace."""
PICKLE_PROTOCOL = 5


class Step(NamedTuple):
    """A possible step, and the state that it leads to."""

    description: str
    state: ModelState


class ExplorationResult(NamedTuple):
    """The result of an exploration."""

    rows: list[CheckResult]
    trace: list[str]  # the steps to a violation, one per line; empty if none was found


def plain_value(value: Any) -> Any:
    """Return a field's value for the trace, with named tuples replaced by plain tuples."""
    return tuple(plain_value(item) for item in value) if isinstance(value, tuple) else value


def describe(verb: str, envelope: Envelope, names: Sequence[str]) -> str:
    """Return the description of a step on a message, for the trace."""
    fields = message_fields(envelope.message)
    fields.pop("duty", None)
    text = ", ".join(f"{name}={plain_value(value)}" for name, value in fields.items())
    source = names[envelope.source]
    destination = names[envelope.destination]
    return f"{verb} {type(envelope.message).__name__}({text}) from {source} to {destination}"


def next_steps(pickled: bytes) -> Iterator[Step]:
    """Yield all steps that are possible in a pickled state."""
    state: ModelState = pickle.loads(pickled)
    seen: set[bytes] = set()
    for index, envelope in enumerate(state.in_transit):
        key = pickle.dumps(envelope)
        if key not in seen:
            seen.add(key)
            yield from message_steps(pickled, state, index)
    for index in range(len(state.instances)):
        yield from instance_steps(pickled, state, index)


def message_steps(pickled: bytes, state: ModelState, index: int) -> Iterator[Step]:
    """Yield the steps for one message in transit: lose it, deliver it, or deliver it and keep a duplicate."""
    names = state.instances[0].names
    envelope = state.in_transit[index]
    others = state.in_transit[:index] + state.in_transit[index + 1 :]
    yield Step(describe("lose", envelope, names), state._replace(in_transit=others))
    for duplicate in (False, True) if state.duplicated < MAX_DUPLICATED else (False,):
        after: ModelState = pickle.loads(pickled)
        delivered = after.in_transit[index]
        sent = after.instances[delivered.destination].receive(after.now, delivered)
        remaining = after.in_transit
        if not duplicate:
            remaining = after.in_transit[:index] + after.in_transit[index + 1 :]
        yield Step(
            describe("deliver twice, first" if duplicate else "deliver", envelope, names),
            after._replace(in_transit=remaining + tuple(sent), duplicated=after.duplicated + duplicate),
        )


def instance_steps(pickled: bytes, state: ModelState, index: int) -> Iterator[Step]:
    """Yield the steps of one instance: run its timers that are due, or crash and restart."""
    name = state.instances[0].names[index]
    after: ModelState = pickle.loads(pickled)
    now = max(after.now, after.instances[index].next_due())
    sent = after.instances[index].run_due(now)
    yield Step(
        f"{name} runs its timers at {now / 1e6:.3f} s",
        after._replace(now=now, in_transit=after.in_transit + tuple(sent)),
    )
    if state.crashed < MAX_CRASHED:
        after = pickle.loads(pickled)
        after.instances[index].start(after.now, restarted=True)
        yield Step(f"{name} crashes and restarts", after._replace(crashed=after.crashed + 1))


def initial_state(instances: int, broken: bool) -> ModelState:
    """Return the state in which the last instance has just acquired the slot and no message is in transit."""
    names = [f"n{index}" for index in range(instances)]
    models = tuple(ModelInstance(index, names, broken) for index in range(instances))
    holder = models[-1]
    now = holder.next_due()
    in_transit = list(holder.run_due(now))
    while in_transit:
        envelope = in_transit.pop(0)
        in_transit += models[envelope.destination].receive(now, envelope)
    return ModelState(now, models, (), 0, 0)


class Origin(NamedTuple):
    """How a state was reached: its predecessor's position in the previous layer, and the step."""

    position: int
    description: str


class Node(NamedTuple):
    """A pickled state of the current layer; `origin` is None for the initial state."""

    pickled: bytes
    origin: Origin | None


class Explorer:
    """A breadth-first exploration of up to `max_states` states."""

    def __init__(self, first: ModelState, max_states: int):
        self.max_states = max_states
        self.layer = [Node(pickle.dumps(first, PICKLE_PROTOCOL), None)]
        """The states whose distance from the initial state is the number of `past_layers`."""
        self.past_layers: list[list[Origin | None]] = []
        self.seen = {first.fingerprint()}
        self.steps_tried = 0
        self.depth = 0
        """The number of steps up to which all orders have been explored."""
        self.states_with_holder = 0
        self.trace: list[str] = []
        """The steps to a state that violates the invariant, if one was found."""

    def explore(self, max_depth: int) -> None:
        """Explore layer by layer up to the depth, the last state, a violation or the limit of states."""
        complete = True
        while self.layer and self.depth < max_depth and not self.trace and complete:
            complete = self._explore_layer()
            self.depth += complete and not self.trace

    def _explore_layer(self) -> bool:
        """Try all steps from the current layer; return False if the limit of states was reached."""
        next_layer: list[Node] = []
        complete = True
        for index, node in enumerate(self.layer):
            self._explore_node(index, node, next_layer)
            if self.trace or len(self.seen) >= self.max_states:
                complete = bool(self.trace)
                break
        self.past_layers.append([node.origin for node in self.layer])
        self.layer = next_layer
        return complete

    def _explore_node(self, index: int, node: Node, next_layer: list[Node]) -> None:
        for step in next_steps(node.pickled):
            self.steps_tried += 1
            holders = step.state.holders()
            if len(holders) > 1:
                violation = f"now {' and '.join(holders)} both hold the slot"
                self.trace = [*self._steps_to(node), step.description, violation]
                return
            fingerprint = step.state.fingerprint()
            if fingerprint not in self.seen:
                self.seen.add(fingerprint)
                self.states_with_holder += len(holders) == 1
                pickled = pickle.dumps(step.state, PICKLE_PROTOCOL)
                next_layer.append(Node(pickled, Origin(index, step.description)))

    def _steps_to(self, node: Node) -> list[str]:
        """Return the descriptions of the steps from the initial state to a node of the current layer."""
        steps: list[str] = []
        origin = node.origin
        layers = reversed(self.past_layers)
        while origin is not None:
            steps.insert(0, origin.description)
            origin = next(layers)[origin.position]
        return steps


def explore(instances: int, depth: int, max_states: int, broken: bool = False) -> ExplorationResult:
    """Explore up to `depth` steps and `max_states` states; return the rows and a shortest violation, if any.

    `broken` makes the voters violate the invariant on purpose, to test that the checker finds the violation.
    """
    began = time.monotonic()
    first = initial_state(instances, broken)
    explorer = Explorer(first, max_states)
    explorer.explore(depth)
    trace = explorer.trace
    if trace:
        holder = first.instances[-1].names[-1]
        trace = [f"{holder} holds the slot at {first.now / 1e6:.3f} s", *trace]
    rows = [
        CheckResult("instances", instances),
        CheckResult("distinct states", len(explorer.seen)),
        CheckResult("steps tried", explorer.steps_tried),
        CheckResult("states with one holder of the slot", explorer.states_with_holder),
        CheckResult("steps explored in all orders", explorer.depth),
        CheckResult("seconds", round(time.monotonic() - began, 1)),
        at_most("states with two holders of the slot", int(bool(trace)), 0),
    ]
    return ExplorationResult(rows, [f"{number}. {line}" for number, line in enumerate(trace, 1)])
