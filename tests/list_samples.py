"""Endpoint lists for the tests of pages, and hypothesis strategies that generate such lists."""

import json
from random import Random

from hypothesis import settings
from hypothesis import strategies as st

from limepath.discovery.event_coding import encode_event
from limepath.discovery.interface import Revision
from limepath.discovery.paged_snapshot import (
    PagedDownload,
)
from limepath.discovery.pages import (
    ListContents,
)
from limepath.discovery.recent_purges import AgedPurge

CACHES, PURGES_PER_SECOND, PURGE_RETENTION_SECONDS = 1400, 36, 307.3


NOW_MS = 1_796_000_000_000


MAX_UINT64 = (1 << 64) - 1


repeatable = settings(deadline=None, derandomize=True)


def member(name, size=6, phase="in_service"):
    return {
        "id": name,
        "host_port": f"10.{len(name)}.7.9:8080",
        "locality": "sur",
        "flavor": "box",
        "phase": phase,
        "up_since_ms": 0,
        "cell": 0,
        "size": size,
    }


def purge(number, age=0, **fields):
    target = fields or {"object": f"{number * 0x9E3779B97F4A7C15 % 2**64:016x}"}
    event = {"seq": number, "invalidate": target | {"time": NOW_MS + number * 1000 // PURGES_PER_SECOND}}
    return AgedPurge(number, age, encode_event(event, json.dumps(event)))


def contents(sizes=(), purges=(), number=7, generation=0, revision=3):
    """Return a list of members, whose sizes are given by name, and of purges."""
    members = {name: member(name, size) for name, size in dict(sizes).items()}
    return ListContents(Revision(generation, number), revision, members, tuple(purges))


def large_list(seed=1, number=30_020_000, purges=0, generation=0):
    """Return a list of the size that is expected in production."""
    random = Random(seed)
    members = {
        f"cache-{at:04d}": member(f"cache-{at:04d}")
        | {
            "host_port": f"10.{at % 256}.{at // 256}.7:8080",
            "locality": f"zone-{at % 20}",
            "up_since_ms": NOW_MS + random.randrange(10**9),
        }
        for at in range(CACHES)
    }
    recent = tuple(
        purge(number - offset, offset * 1_000_000 // PURGES_PER_SECOND + random.randrange(5000))
        for offset in range(purges - 1, -1, -1)
    )
    return ListContents(Revision(generation, number), 5, members, recent)


def equal_but_ages(first, second):
    """Return whether two lists are equal, ignoring the ages of purges."""
    return (
        first[:2] == second[:2]
        and first.members == second.members
        and sorted(aged[::2] for aged in first.purges) == sorted(aged[::2] for aged in second.purges)
    )


def download_all(own, snapshot):
    """Download a snapshot; return the PagedDownload and the number of chunks that it took."""
    download, chunks = PagedDownload(own), 0
    while not download.is_complete:
        chunk_id = next(download.missing())
        assert download.add(snapshot.chunk(chunk_id))
        chunks += 1
    return download, chunks


names = st.text(min_size=1, max_size=4)


sizes = st.dictionaries(names, st.integers(0, 3), max_size=60)


ages = st.integers(0, 300_000_000)


object_purges = st.builds(purge, st.integers(0, 1 << 20), ages)


bucket_purges = st.builds(
    lambda number, bucket: purge(number, bucket=bucket), st.integers(0, 1 << 20), st.integers(-2, 2)
)


purge_lists = st.lists(
    st.one_of(object_purges, bucket_purges), max_size=30, unique_by=lambda aged: aged.number
)


lists = st.builds(
    contents, sizes, purge_lists, st.integers(0, 1 << 62), st.integers(0, 9), st.integers(-(1 << 62), 1 << 62)
)


@st.composite
def related_lists(draw):
    """Draw two lists, the second of which results from some changes to the first."""
    own = draw(lists)
    changed = {name: one["size"] for name, one in own.members.items()} | draw(sizes)
    removed = draw(st.sets(st.sampled_from(sorted(changed)), max_size=9)) if changed else set()
    purges = {one.number: one for one in (*own.purges, *draw(purge_lists))}
    dropped = draw(st.sets(st.sampled_from(sorted(purges)), max_size=9)) if purges else set()
    return own, contents(
        {name: size for name, size in changed.items() if name not in removed},
        [one for number, one in purges.items() if number not in dropped],
        own.revision.number + draw(st.integers(0, 99)),
    )
