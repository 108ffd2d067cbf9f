"""Tests of limepath/discovery/page_transfer.py: the pages that differ."""

import json

import msgspec

from limepath.discovery.endpoint_list import EndpointList
from limepath.discovery.interface import (
    Heartbeat,
    PageChunkRequest,
    PeerMessage,
    SendToMember,
)
from limepath.discovery.star_service import member
from tests.discovery_harness import (
    MS,
    TREE_SETTINGS,
    EngineHarness,
    TreeHarness,
    commands_of,
    event_text,
    full_event_text,
    list_at,
)


def test_pages_are_asked_for_where_the_window_of_the_source_does_not_reach():
    front = TreeHarness(list_at(3).pack())
    front.receive(front.parent, Heartbeat("sur", 0, 9000, 1, 50 * MS, site="a", oldest_available=4))
    assert not front.logic.page_transfer.download
    front.receive(front.parent, Heartbeat("sur", 0, 9000, 1, 50 * MS, site="a", oldest_available=5))
    assert front.logic.page_transfer.download


def large(count, purged):
    """A packed list of so many members and purges."""
    one = EndpointList()
    one.apply(json.loads(full_event_text(1, count)))
    for number in range(2, purged + 2):
        one.apply(json.loads(event_text(number)))
    return one


def pages_brought(mine, theirs, spoil=lambda chunk: chunk):
    """A front with the list `mine` is told by its parent of `theirs`; give both and the chunks that came."""
    front = TreeHarness(mine.pack())
    serving = EngineHarness([front.logic.me], theirs.pack(), TREE_SETTINGS, front.parent)
    serving.logic.replica.confirm(0)
    front.receive(
        front.parent,
        Heartbeat(
            "sur", *theirs.revision, theirs.digest, 0, site="a", oldest_available=theirs.revision.number
        ),
    )
    brought, done = [], 0
    for _ in range(400):
        front.run(50 * MS)
        serving.run(50 * MS)
        asks = [
            o.message
            for o in front.commands[done:]
            if isinstance(o, SendToMember) and isinstance(o.message, PageChunkRequest)
        ]
        done = len(front.commands)
        for ask in asks:
            answers = commands_of(serving.handle(PeerMessage(front.logic.me, ask)), SendToMember)
            brought += [order.message for order in answers]
        for chunk in brought[len(brought) - len(asks) :] if asks else ():
            front.receive(front.parent, spoil(chunk))
        if not front.logic.page_transfer.download:
            break
    return front, brought


def test_beyond_the_window_only_the_pages_that_differ_are_sent():
    mine, theirs = large(1400, 40), large(1400, 40)
    for number in range(42, 1042):
        theirs.apply(json.loads(event_text(number)))
    theirs.apply(json.loads(event_text(1042, fleet={"members": [member("s-7", "terminating")]})))
    front, brought = pages_brought(mine, theirs)
    assert (
        front.logic.replica.list.revision == theirs.revision
        and front.logic.replica.list.digest == theirs.digest
    )
    assert len(front.logic.replica.list.purges) == len(theirs.purges)
    told = {chunk.page for chunk in brought}
    assert len([page for page in told if 0 <= page < 44]) == 1  # of 44 pages of members
    assert sum(len(chunk.data) for chunk in brought) < 1000 * 20 + 20_000  # purges, and what is beside


def test_a_page_that_does_not_fit_its_digest_is_refused_and_its_sender_passed_over():
    def spoil(chunk):
        return chunk if chunk.page < 0 else msgspec.structs.replace(chunk, data=chunk.data[:-1] + b"x")

    front, _ = pages_brought(large(10, 5), large(90, 300), spoil)
    assert front.logic.replica.list.revision.number == 6 and front.logic.counts["nonsense"] >= 1
    assert front.logic.upstream.fault_of(front.logic.upstream.sources[front.parent]) == "bad"
