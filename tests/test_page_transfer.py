"""Tests of limepath/discovery/page_transfer.py: the transfer of the pages that differ."""

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


def test_pages_are_requested_if_the_window_of_the_source_lacks_events():
    front = TreeHarness(list_at(3).pack())
    front.receive(front.parent, Heartbeat("sur", 0, 9000, 1, 50 * MS, site="a", oldest_available=4))
    assert not front.logic.page_transfer.download
    front.receive(front.parent, Heartbeat("sur", 0, 9000, 1, 50 * MS, site="a", oldest_available=5))
    assert front.logic.page_transfer.download


def list_of_size(members, purges):
    """Return a list with these numbers of members and purges."""
    endpoint_list = EndpointList()
    endpoint_list.apply(json.loads(full_event_text(1, members)))
    for number in range(2, purges + 2):
        endpoint_list.apply(json.loads(event_text(number)))
    return endpoint_list


def transfer_pages(own, newer, damage=lambda chunk: chunk):
    """Transfer the list `newer` from a parent to a front with the list `own`.

    Return the front and the chunks that the parent sent. `damage` may modify a chunk before it is received.
    """
    front = TreeHarness(own.pack())
    parent = EngineHarness([front.logic.me], newer.pack(), TREE_SETTINGS, front.parent)
    parent.logic.replica.confirm(0)
    front.receive(
        front.parent,
        Heartbeat("sur", *newer.revision, newer.digest, 0, site="a", oldest_available=newer.revision.number),
    )
    chunks, done = [], 0
    for _ in range(400):
        front.run(50 * MS)
        parent.run(50 * MS)
        requests = [
            command.message
            for command in front.commands[done:]
            if isinstance(command, SendToMember) and isinstance(command.message, PageChunkRequest)
        ]
        done = len(front.commands)
        for request in requests:
            replies = commands_of(parent.handle(PeerMessage(front.logic.me, request)), SendToMember)
            chunks += [reply.message for reply in replies]
        for chunk in chunks[len(chunks) - len(requests) :] if requests else ():
            front.receive(front.parent, damage(chunk))
        if not front.logic.page_transfer.download:
            break
    return front, chunks


def test_beyond_the_window_only_the_pages_that_differ_are_sent():
    own, newer = list_of_size(1400, 40), list_of_size(1400, 40)
    for number in range(42, 1042):
        newer.apply(json.loads(event_text(number)))
    newer.apply(json.loads(event_text(1042, fleet={"members": [member("s-7", "terminating")]})))
    front, chunks = transfer_pages(own, newer)
    assert (
        front.logic.replica.list.revision == newer.revision
        and front.logic.replica.list.digest == newer.digest
    )
    assert len(front.logic.replica.list.purges) == len(newer.purges)
    pages = {chunk.page for chunk in chunks}
    assert len([page for page in pages if 0 <= page < 44]) == 1  # of 44 member pages
    # 20 bytes for each of the 1,000 purges, and 20,000 bytes for the index and the member page
    assert sum(len(chunk.data) for chunk in chunks) < 1000 * 20 + 20_000


def test_a_page_that_does_not_match_its_digest_is_refused_and_its_sender_rejected():
    def damage(chunk):
        return chunk if chunk.page < 0 else msgspec.structs.replace(chunk, data=chunk.data[:-1] + b"x")

    front, _ = transfer_pages(list_of_size(10, 5), list_of_size(90, 300), damage)
    assert front.logic.replica.list.revision.number == 6 and front.logic.counts["nonsense"] >= 1
    assert front.logic.upstream.fault_of(front.logic.upstream.sources[front.parent]) == "bad"
