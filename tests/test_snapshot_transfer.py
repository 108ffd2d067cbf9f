"""Tests of limepath/discovery/snapshot_transfer.py: the transfer of the packed list in chunks."""

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


def download_list(sender, max_bytes=4_000_000, damage=lambda chunk: chunk):
    """Download the list of `sender` to a front without a list and return that front."""
    receiver = EngineHarness([2], settings=STAR_SETTINGS._replace(max_snapshot_bytes=max_bytes)).run(SECOND)
    receiver.handle(
        PeerMessage(2, Heartbeat("sur", *sender.replica.list.revision, sender.replica.list.digest, 10 * MS))
    )
    done = 0
    for _ in range(3000):
        receiver.run(10 * MS)
        requests = [
            command.message
            for command in receiver.commands[done:]
            if isinstance(command, SendToMember) and isinstance(command.message, SnapshotChunkRequest)
        ]
        done = len(receiver.commands)
        if not receiver.logic.snapshot_transfer.download:
            break
        for request in requests:
            for reply in commands_of(
                sender.handle(receiver.now + 10**9, [PeerMessage(1, request)]), SendToMember
            ):
                if isinstance(reply.message, SnapshotChunk):
                    receiver.handle(PeerMessage(2, damage(reply.message)))
    return receiver


def front_with_list(caches):
    front = EngineHarness()
    front.open_stream(full_event_text(1, caches))
    return front.logic


def test_a_list_of_ten_thousand_members_is_transferred_in_chunks():
    sender = front_with_list(10_000)
    receiver = download_list(sender)
    assert (
        len(sender.replica.list.pack()) > 25 * CHUNK_BYTES
        and receiver.logic.replica.list.digest == sender.replica.list.digest
    )
    assert len(receiver.emitted(ApplyEvent)[0].event["fleet"]["members"]) == 10_000 and receiver.emitted(
        ListConfirmed
    )


def test_a_list_that_is_too_long_or_does_not_match_its_digest_is_refused_and_logged():
    sender = front_with_list(500)
    assert "over 1000 bytes" in download_list(sender, 1000).emitted(LogEvent)[-1].fields["why"]
    damaged = download_list(
        sender,
        damage=lambda chunk: (
            chunk._replace(data=b"x" * len(chunk.data))
            if hasattr(chunk, "_replace")
            else SnapshotChunk(
                chunk.generation, chunk.number, chunk.chunk, chunk.count, snapshot_digest(b""), chunk.data
            )
        ),
    )
    assert (
        not damaged.emitted(ApplyEvent)
        and "does not match its digest" in damaged.emitted(LogEvent)[-1].fields["why"]
    )


def test_the_packed_list_is_requested_from_a_front_with_an_older_version():
    front = TreeHarness(list_at(3).pack())
    front.receive(front.parent, Heartbeat("sur", 0, 9000, 1, 50 * MS))
    assert front.logic.snapshot_transfer.download and not front.logic.page_transfer.download
