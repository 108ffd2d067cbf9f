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
    """Return messages sent per instance and second in a group without faults that has joined from seeds."""
    group = virtual_group(size, 5)
    group.start(members_known=False)
    group.run(15 * SECOND)
    assert group.views_agree()
    before = group.messages
    group.run((15 + MEASURED_S) * SECOND)
    assert all(node.instance.members.counts["suspected"] == 0 for node in group.nodes)
    return (group.messages - before) / size / MEASURED_S


def test_instances_join_by_seeds_and_the_message_rate_grows_slowly_with_the_group() -> None:
    # A larger group also spreads probe results by gossip; the number of pings per instance is the same.
    assert messages_per_instance(64) < messages_per_instance(8) * 4


def test_instances_of_two_protocol_versions_form_one_group() -> None:
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
    group.start(members_known=False)
    group.run(12 * SECOND)
    assert group.views_agree()
    assert group.nodes[0].instance.members.digest_to_send() == 0


def kill(group: World, number: int) -> None:
    """Stop an instance without a leave."""
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
    """Resume a suspended instance."""
    node = group.nodes[number]
    if node.instance and node.paused:
        node.resume()


def cut_outgoing(group: World, number: int) -> None:
    """Drop all messages that an instance sends."""
    others = frozenset(range(SIZE)) - {number}
    group.network.cuts["a", number] = frozenset({number}), others


def cut(group: World, number: int) -> None:
    """Drop all messages from and to an instance."""
    cut_outgoing(group, number)
    others = frozenset(range(SIZE)) - {number}
    group.network.cuts["b", number] = others, frozenset({number})


def heal(group: World, number: int) -> None:
    """Remove all cuts of the network."""
    group.network.cuts.clear()


def lose_store(group: World, number: int) -> None:
    """Give an instance that is not running a new store."""
    if not group.nodes[number].instance:
        group.nodes[number].lose_store()


def wait(group: World, number: int) -> None:
    """Inject no fault."""


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
def test_views_agree_again_after_any_sequence_of_faults(seed, faults) -> None:
    group = virtual_group(SIZE, seed, loss=0.1, doubled=0.1, late=0.1)
    group.start(members_known=True)
    for inject, number, seconds in faults:
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
