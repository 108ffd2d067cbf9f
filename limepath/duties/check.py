"""Model checking of the leases: every order of delivery, loss, duplication, pause and crash, to a depth.

Time goes on only as far as the next step needs it: an instance whose due time passes without a step is a
paused one. Histories begin where one instance holds the slot. They are explored breadth first, so a history
that violates the rule is a shortest one. The rule: at no moment do two instances hold the slot, each by its
own clock. See `lease_model` for the states.
"""

import pickle
import time
from collections.abc import Iterator, Sequence
from typing import Any, NamedTuple

from limepath.duties.lease_model import Envelope, ModelInstance, ModelState, message_fields
from limepath.report_table import CheckResult, at_most

MAX_DUPLICATED = 1
"""Messages of one history that are delivered twice."""
MAX_CRASHED = 1
"""Crashes in one history."""
PICKLE_PROTOCOL = 5


class Step(NamedTuple):
    """One thing that may happen, and the state after it."""

    description: str
    state: ModelState


class Explored(NamedTuple):
    """What an exploration found."""

    rows: list[CheckResult]
    trace: list[str]  # the history that violates the rule, a line a step; empty if none was found


def plain_value(value: Any) -> Any:
    """Return a field's value with plain tuples in place of named ones, as traces print it."""
    return tuple(plain_value(item) for item in value) if isinstance(value, tuple) else value


def describe(verb: str, envelope: Envelope, names: Sequence[str]) -> str:
    """Return what is done with a message, for the trace."""
    fields = message_fields(envelope.message)
    fields.pop("duty", None)
    text = ", ".join(f"{name}={plain_value(value)}" for name, value in fields.items())
    source = names[envelope.source]
    destination = names[envelope.destination]
    return f"{verb} {type(envelope.message).__name__}({text}) from {source} to {destination}"


def next_steps(frozen: bytes) -> Iterator[Step]:
    """Give everything that may happen next in a pickled state."""
    state: ModelState = pickle.loads(frozen)
    seen: set[bytes] = set()
    for index, envelope in enumerate(state.in_transit):
        key = pickle.dumps(envelope)
        if key not in seen:
            seen.add(key)
            yield from message_steps(frozen, state, index)
    for index in range(len(state.instances)):
        yield from instance_steps(frozen, state, index)


def message_steps(frozen: bytes, state: ModelState, index: int) -> Iterator[Step]:
    """Lose one message that is under way, deliver it, or deliver it and keep a duplicate under way."""
    names = state.instances[0].names
    envelope = state.in_transit[index]
    rest = state.in_transit[:index] + state.in_transit[index + 1 :]
    yield Step(describe("lose", envelope, names), state._replace(in_transit=rest))
    for duplicate in (False, True) if state.duplicated < MAX_DUPLICATED else (False,):
        after: ModelState = pickle.loads(frozen)
        delivered = after.in_transit[index]
        sent = after.instances[delivered.destination].receive(after.now, delivered)
        remaining = after.in_transit
        if not duplicate:
            remaining = after.in_transit[:index] + after.in_transit[index + 1 :]
        yield Step(
            describe("deliver twice, first" if duplicate else "deliver", envelope, names),
            after._replace(in_transit=remaining + tuple(sent), duplicated=after.duplicated + duplicate),
        )


def instance_steps(frozen: bytes, state: ModelState, index: int) -> Iterator[Step]:
    """Let one instance do what is due, or crash and start anew."""
    name = state.instances[0].names[index]
    after: ModelState = pickle.loads(frozen)
    now = max(after.now, after.instances[index].next_due())
    sent = after.instances[index].run_due(now)
    yield Step(
        f"{name} takes its turn at {now / 1e6:.3f} s",
        after._replace(now=now, in_transit=after.in_transit + tuple(sent)),
    )
    if state.crashed < MAX_CRASHED:
        after = pickle.loads(frozen)
        after.instances[index].start(after.now, restarted=True)
        yield Step(f"{name} crashes and starts anew", after._replace(crashed=after.crashed + 1))


def initial_state(instances: int, broken: bool) -> ModelState:
    """Return the state in which the last instance has just acquired the slot and no message is under way."""
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
    """How a state was reached: from which state of the layer before, by which step."""

    position: int
    description: str


class Node(NamedTuple):
    """A state of the present layer, pickled; `origin` is None for the initial state."""

    frozen: bytes
    origin: Origin | None


class Explorer:
    """A breadth-first exploration of up to `max_states` states."""

    def __init__(self, first: ModelState, max_states: int):
        self.max_states = max_states
        self.layer = [Node(pickle.dumps(first, PICKLE_PROTOCOL), None)]
        """The states that are so many steps from the initial one as there are `past_layers`."""
        self.past_layers: list[list[Origin | None]] = []
        self.seen = {first.fingerprint()}
        self.steps_tried = 0
        self.depth = 0
        """Steps in a row of which all orders were tried."""
        self.states_with_holder = 0
        self.trace: list[str] = []
        """The steps to a state that violates the rule, if one was found."""

    def explore(self, max_depth: int) -> None:
        """Explore layer by layer until the depth, the last state, a violation or the most states."""
        complete = True
        while self.layer and self.depth < max_depth and not self.trace and complete:
            complete = self._explore_layer()
            self.depth += complete and not self.trace

    def _explore_layer(self) -> bool:
        """Try all steps from the present layer; return False where the most states were reached."""
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
        for step in next_steps(node.frozen):
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
                frozen = pickle.dumps(step.state, PICKLE_PROTOCOL)
                next_layer.append(Node(frozen, Origin(index, step.description)))

    def _steps_to(self, node: Node) -> list[str]:
        """Return the descriptions of the steps from the initial state to a node of the present layer."""
        steps: list[str] = []
        origin = node.origin
        layers = reversed(self.past_layers)
        while origin is not None:
            steps.insert(0, origin.description)
            origin = next(layers)[origin.position]
        return steps


def explore(instances: int, depth: int, max_states: int, broken: bool = False) -> Explored:
    """Explore up to `depth` steps and `max_states` states; return the rows and a shortest violation, if any.

    `broken` breaks the rule of the leases on purpose, to see that the checker finds it.
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
        CheckResult("states seen", len(explorer.seen)),
        CheckResult("steps tried", explorer.steps_tried),
        CheckResult("states in which one holds the slot", explorer.states_with_holder),
        CheckResult("events in a row, all orders of them", explorer.depth),
        CheckResult("seconds", round(time.monotonic() - began, 1)),
        at_most("states in which two hold it", int(bool(trace)), 0),
    ]
    return Explored(rows, [f"{number}. {line}" for number, line in enumerate(trace, 1)])
