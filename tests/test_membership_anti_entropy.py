"""Tests of `limepath.membership.anti_entropy` and of the digests that it compares."""

from hypothesis import given
from hypothesis import strategies as st

from limepath.membership.anti_entropy import PAGE_RECORDS
from limepath.membership.digests import BUCKETS, bucket_of
from limepath.membership.interface import MemberPage, Pull
from limepath.membership.members import Members
from tests.membership_group import receive, record, started_members


def page_by_full_search(members: Members, after: int, buckets: tuple[int, ...]) -> tuple[list[int], bool]:
    """Return the expected tokens of a page and its `last` flag, computed by a scan of all tokens."""
    tokens = sorted([*members.ring, members.me.token])
    if len(buckets) == BUCKETS:
        own = members.view.digests.buckets
        tokens = [token for token in tokens if own[bucket_of(token)] != buckets[bucket_of(token)]]
    following = [token for token in tokens if token > after]
    return following[:PAGE_RECORDS], len(following) <= PAGE_RECORDS


@given(
    st.sets(st.integers(6, 2**63 - 1), min_size=1, max_size=80),
    st.integers(-1, 2**63),
    st.sets(st.integers(0, BUCKETS - 1)),
    st.booleans(),
)
def test_a_page_holds_the_next_members_of_the_ranges_that_differ(tokens, after, equal, has_buckets) -> None:
    me, *others = tokens
    members = started_members(me, others)
    digests = members.view.digests.buckets
    buckets = tuple(digest ^ (number not in equal) for number, digest in enumerate(digests))
    pull = Pull(after, buckets if has_buckets else ())
    answers = [command.message for command in receive(members, record(5, name="requester"), pull)]
    (page,) = [message for message in answers if isinstance(message, MemberPage)]
    # The receiver has added the sender as a member, so the expected page is computed only now.
    expected = page_by_full_search(members, after, pull.buckets)
    assert ([member.token for member in page.records], page.last) == expected


def test_the_ranges_of_tokens_go_from_the_first_to_the_last() -> None:
    assert (bucket_of(0), bucket_of((1 << 63) - 1)) == (0, BUCKETS - 1) == (0, 31)
