"""Tests of limepath/discovery/snapshot_transfer.py: the packed list in chunks."""

from limepath.discovery.endpoint_list import CHUNK_BYTES, snapshot_digest
from limepath.discovery.interface import (
    ApplyEvent,
    Heartbeat,
    ListConfirmed,
    LogEvent,
    PeerMessage,
    SendToMember,
    SnapshotChunk,
    SnapshotChunkRequest,
)
from tests.discovery_harness import (
    MS,
    SECOND,
    STAR_SETTINGS,
    EngineHarness,
    TreeHarness,
    commands_of,
    full_event_text,
    list_at,
)


def fetched(served, longest=4_000_000, spoil=lambda chunk: chunk):
    """A newcomer gets a whole list from one that holds it; give the newcomer."""
    newcomer = EngineHarness([2], settings=STAR_SETTINGS._replace(max_snapshot_bytes=longest)).run(SECOND)
    newcomer.handle(
        PeerMessage(2, Heartbeat("sur", *served.replica.list.revision, served.replica.list.digest, 10 * MS))
    )
    done = 0
    for _ in range(3000):
        newcomer.run(10 * MS)
        asked = [
            order.message
            for order in newcomer.commands[done:]
            if isinstance(order, SendToMember) and isinstance(order.message, SnapshotChunkRequest)
        ]
        done = len(newcomer.commands)
        if not newcomer.logic.snapshot_transfer.download:
            break
        for ask in asked:
            for answer in commands_of(
                served.handle(newcomer.now + 10**9, [PeerMessage(1, ask)]), SendToMember
            ):
                if isinstance(answer.message, SnapshotChunk):
                    newcomer.handle(PeerMessage(2, spoil(answer.message)))
    return newcomer


def full(caches):
    front = EngineHarness()
    front.open_stream(full_event_text(1, caches))
    return front.logic


def test_a_list_of_ten_thousand_members_is_transferred_in_chunks():
    served = full(10_000)
    newcomer = fetched(served)
    assert (
        len(served.replica.list.pack()) > 25 * CHUNK_BYTES
        and newcomer.logic.replica.list.digest == served.replica.list.digest
    )
    assert len(newcomer.emitted(ApplyEvent)[0].event["fleet"]["members"]) == 10_000 and newcomer.emitted(
        ListConfirmed
    )


def test_a_list_that_is_too_long_or_does_not_fit_its_digest_is_refused_and_logged():
    served = full(500)
    assert "over 1000 bytes" in fetched(served, 1000).emitted(LogEvent)[-1].fields["why"]
    spoilt = fetched(
        served,
        spoil=lambda chunk: (
            chunk._replace(data=b"x" * len(chunk.data))
            if hasattr(chunk, "_replace")
            else SnapshotChunk(
                chunk.generation, chunk.number, chunk.chunk, chunk.count, snapshot_digest(b""), chunk.data
            )
        ),
    )
    assert (
        not spoilt.emitted(ApplyEvent)
        and "does not fit its digest" in spoilt.emitted(LogEvent)[-1].fields["why"]
    )


def test_a_front_of_an_older_program_is_asked_for_the_packed_list():
    front = TreeHarness(list_at(3).pack())
    front.receive(front.parent, Heartbeat("sur", 0, 9000, 1, 50 * MS))
    assert front.logic.snapshot_transfer.download and not front.logic.page_transfer.download
