"""Tests of limepath/discovery/pages.py: the division of a list into pages and their digests."""

from functools import reduce
from operator import xor

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limepath.discovery.endpoint_list import EndpointList
from limepath.discovery.paged_snapshot import (
    INDEX_PAGE,
    PagedSnapshot,
)
from limepath.discovery.pages import (
    MAX_PURGE_PAGES,
    MEMBERS_PER_PAGE,
    MIN_PAGE_WIDTH,
    apply_pages,
    choose_layout,
    differing_pages,
    list_digests,
    spread_over_pages,
)
from limepath.discovery.varint import DamagedError
from tests.list_samples import (
    CACHES,
    PURGE_RETENTION_SECONDS,
    PURGES_PER_SECOND,
    contents,
    download_all,
    equal_but_ages,
    large_list,
    lists,
    member,
    purge,
    related_lists,
    repeatable,
)


@repeatable
@given(st.one_of(related_lists(), st.tuples(lists, lists)))
def test_applying_the_differing_pages_gives_exactly_the_other_list(pair):
    own, other_list = pair
    index = list_digests(other_list)
    pages = spread_over_pages(other_list, index.layout)
    result = apply_pages(own, index, {page: pages[page] for page in differing_pages(own, index)})
    assert equal_but_ages(result, other_list)
    assert differing_pages(result, index) == ()


@repeatable
@given(related_lists(), st.data())
def test_applying_fails_if_a_differing_page_is_missing(pair, data):
    own, other_list = pair
    index = list_digests(other_list)
    differing = differing_pages(own, index)
    if differing:
        omitted = data.draw(st.sampled_from(differing))
        pages = spread_over_pages(other_list, index.layout)
        with pytest.raises(DamagedError):
            apply_pages(own, index, {page: pages[page] for page in differing if page != omitted})


@repeatable
@given(lists)
def test_the_digest_of_the_list_is_the_xor_of_its_member_page_digests(original):
    endpoint_list = EndpointList()
    event = {"seq": 1, "fleet": {"complete": True, "members": list(original.members.values())}}
    endpoint_list.apply(event)
    index = list_digests(original)
    assert reduce(xor, index.pages[: index.layout.member_pages], 0) == endpoint_list.digest


@repeatable
@given(lists)
def test_digests_do_not_depend_on_order_or_ages(original):
    reordered = original._replace(
        members=dict(reversed(original.members.items())),
        purges=tuple(aged._replace(age=aged.age + 7) for aged in reversed(original.purges)),
    )
    assert (
        list_digests(reordered) == list_digests(original)
        and differing_pages(reordered, list_digests(original)) == ()
    )


def test_one_changed_or_removed_member_changes_one_page():
    other_list = large_list()
    own = other_list._replace(members=other_list.members | {"cache-0700": member("cache-0700", 9)})
    assert len(differing_pages(own, list_digests(other_list))) == 1
    remaining = {name: one for name, one in other_list.members.items() if name != "cache-0700"}
    assert len(differing_pages(other_list._replace(members=remaining), list_digests(other_list))) == 1


def test_the_latest_purges_are_on_the_last_pages():
    other_list = large_list(purges=PURGES_PER_SECOND * 300)
    own = other_list._replace(purges=other_list.purges[:-PURGES_PER_SECOND])  # one second behind
    differing = differing_pages(own, list_digests(other_list))
    assert 1 <= len(differing) <= 2 and differing[-1] == list_digests(other_list).layout.pages - 1


def test_the_number_of_purge_pages_is_limited_for_any_range_of_numbers():
    for span in (1, 10**4, 10**6, 1 << 62):
        layout = choose_layout(contents(purges=[purge(1), purge(span + 1)]))
        assert layout.purge_pages <= MAX_PURGE_PAGES and layout.width >= MIN_PAGE_WIDTH
        assert layout.page_of_purge(1) == 1 and layout.page_of_purge(span + 1) == layout.pages - 1
        assert layout.page_of_purge(0) in (1, None)
    assert choose_layout(contents(purges=[purge(MIN_PAGE_WIDTH)])).page_of_purge(0) is None


def test_pages_and_index_of_a_list_of_the_expected_size_have_at_most_three_chunks():
    snapshot = PagedSnapshot(large_list(purges=int(PURGES_PER_SECOND * PURGE_RETENTION_SECONDS)))
    counts = [len(snapshot.chunks(page)) for page in range(snapshot.digests.layout.pages)]
    assert max(counts) <= 3 and len(snapshot.chunks(INDEX_PAGE)) <= 3
    assert snapshot.digests.layout.member_pages == -(-CACHES // MEMBERS_PER_PAGE)


def test_ten_changed_members_take_less_than_a_third_of_the_chunks():
    other_list = large_list()
    changed = {f"cache-{at:04d}": member(f"cache-{at:04d}", 9) for at in range(0, CACHES, 140)}
    _, for_ten = download_all(
        other_list._replace(members=other_list.members | changed), PagedSnapshot(other_list)
    )
    _, for_all = download_all(contents(), PagedSnapshot(other_list))
    assert for_ten <= 12 < for_all / 3
    _, for_none = download_all(other_list, PagedSnapshot(other_list))
    assert for_none == len(PagedSnapshot(other_list).chunks(INDEX_PAGE))
