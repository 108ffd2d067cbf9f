"""Tests of whole groups of instances in virtual time."""

from collections.abc import Callable

from hypothesis import given, settings
from hypothesis import strategies as st

from limepath.duties.world import Node, World
from limepath.membership.bounds import detection_time, dissemination_time
from tests.membership_group import SECOND, TIMEOUTS, virtual_group

SIZE = 5
MEASURED_S = 10


def messages_per_instance(size: int) -> float:
    """Messages that one instance sends a second in a calm group that has joined from seeds, unsuspected."""
    group = virtual_group(size, 5)
    group.open(preset=False)
    group.run(15 * SECOND)
    assert group.views_agree()
    before = group.messages
    group.run((15 + MEASURED_S) * SECOND)
    assert all(node.instance.members.counts["suspected"] == 0 for node in group.nodes)
    return (group.messages - before) / size / MEASURED_S


def test_a_view_comes_together_from_seeds_and_costs_much_the_same_in_a_large_group() -> None:
    # results of rounds spread as an epidemic there; pings alone cost the same
    assert messages_per_instance(64) < messages_per_instance(8) * 4


def test_an_instance_of_an_older_version_is_understood() -> None:
    group = virtual_group(4, 3)

    def starting_at_version_1(node: Node) -> Callable:
        start = node.start

        def start_at_version_1(seeds):
            me = start(seeds)
            node.instance.members.version = 1
            return me

        return start_at_version_1

    for node in group.nodes[:2]:
        node.start = starting_at_version_1(node)
    group.open(preset=False)
    group.run(12 * SECOND)
    assert group.views_agree()
    assert group.nodes[0].instance.members.digest_to_send() == 0


def kill(group: World, number: int) -> None:
    """Stop an instance at once."""
    if group.nodes[number].instance:
        group.nodes[number].stop()


def start(group: World, number: int) -> None:
    """Start an instance that is not running."""
    if not group.nodes[number].instance:
        group.restart(number)


def pause(group: World, number: int) -> None:
    """Suspend an instance."""
    if group.nodes[number].instance:
        group.nodes[number].paused = True


def resume(group: World, number: int) -> None:
    """Wake an instance that is suspended."""
    node = group.nodes[number]
    if node.instance and node.paused:
        node.resume()


def cut_outgoing(group: World, number: int) -> None:
    """Lose all that an instance sends."""
    others = frozenset(range(SIZE)) - {number}
    group.network.cuts["a", number] = frozenset({number}), others


def cut(group: World, number: int) -> None:
    """Lose all that an instance sends and all that is sent to it."""
    cut_outgoing(group, number)
    others = frozenset(range(SIZE)) - {number}
    group.network.cuts["b", number] = others, frozenset({number})


def heal(group: World, number: int) -> None:
    """End all cuts."""
    group.network.cuts.clear()


def lose_store(group: World, number: int) -> None:
    """Give an instance that is not running a new store."""
    if not group.nodes[number].instance:
        group.nodes[number].lose_store()


def wait(group: World, number: int) -> None:
    """Do nothing."""


FAULTS = (kill, start, pause, resume, cut, cut_outgoing, heal, lose_store, wait)


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    st.integers(0, 10_000),
    st.lists(
        st.tuples(st.sampled_from(FAULTS), st.integers(0, SIZE - 1), st.integers(1, 12)),
        min_size=1,
        max_size=12,
    ),
)
def test_whatever_fails_the_views_agree_again_once_it_is_over(seed, history) -> None:
    group = virtual_group(SIZE, seed, loss=0.1, doubled=0.1, late=0.1)
    group.open(preset=True)
    for inject, number, seconds in history:
        inject(group, number)
        group.run(group.now + seconds * SECOND)
    group.network.cuts.clear()
    group.network.loss = 0
    for number, node in enumerate(group.nodes):
        if not node.instance and not node.yielded:
            group.restart(number)
        elif node.paused:
            node.resume()
    group.run(group.now + 2 * detection_time(TIMEOUTS, SIZE) + 6 * dissemination_time(TIMEOUTS, SIZE))
    assert group.views_agree()
    assert not group.yielded
