"""Tests of limepath/discovery/pages.py: which pages of a list differ."""

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
    KEPT_SECONDS,
    RATE,
    caught_up,
    contents,
    large,
    lists,
    member,
    purge,
    related,
    repeatable,
    same,
)


@repeatable
@given(st.one_of(related(), st.tuples(lists, lists)))
def test_the_pages_that_differ_give_exactly_the_other_list(pair):
    own, other_list = pair
    told = list_digests(other_list)
    pages = spread_over_pages(other_list, told.layout)
    outcome = apply_pages(own, told, {at: pages[at] for at in differing_pages(own, told)})
    assert same(outcome, other_list)
    assert differing_pages(outcome, told) == ()


@repeatable
@given(related(), st.data())
def test_with_a_page_that_differs_left_out_there_is_no_outcome(pair, data):
    own, other_list = pair
    told = list_digests(other_list)
    wanted = differing_pages(own, told)
    if wanted:
        left_out = data.draw(st.sampled_from(wanted))
        pages = spread_over_pages(other_list, told.layout)
        with pytest.raises(DamagedError):
            apply_pages(own, told, {at: pages[at] for at in wanted if at != left_out})


@repeatable
@given(lists)
def test_the_digests_of_the_members_pages_are_together_that_of_the_list(one):
    whole = EndpointList()
    event = {"seq": 1, "fleet": {"complete": True, "members": list(one.members.values())}}
    whole.apply(event)
    told = list_digests(one)
    assert reduce(xor, told.pages[: told.layout.member_pages], 0) == whole.digest


@repeatable
@given(lists)
def test_a_list_does_not_differ_from_itself_whatever_its_order_and_ages(one):
    turned = one._replace(
        members=dict(reversed(one.members.items())),
        purges=tuple(kept._replace(age=kept.age + 7) for kept in reversed(one.purges)),
    )
    assert list_digests(turned) == list_digests(one) and differing_pages(turned, list_digests(one)) == ()


def test_one_member_that_changed_is_one_page():
    other_list = large()
    own = other_list._replace(members=other_list.members | {"cache-0700": member("cache-0700", 9)})
    assert len(differing_pages(own, list_digests(other_list))) == 1
    gone = {name: one for name, one in other_list.members.items() if name != "cache-0700"}
    assert len(differing_pages(other_list._replace(members=gone), list_digests(other_list))) == 1


def test_the_latest_purges_are_the_last_pages():
    other_list = large(purges=RATE * 300)
    own = other_list._replace(purges=other_list.purges[:-RATE])  # a second behind
    wanted = differing_pages(own, list_digests(other_list))
    assert 1 <= len(wanted) <= 2 and wanted[-1] == list_digests(other_list).layout.pages - 1


def test_pages_of_purges_stay_few_however_far_their_numbers_reach():
    for most in (1, 10**4, 10**6, 1 << 62):
        layout = choose_layout(contents(purges=[purge(1), purge(most + 1)]))
        assert layout.purge_pages <= MAX_PURGE_PAGES and layout.width >= MIN_PAGE_WIDTH
        assert layout.page_of_purge(1) == 1 and layout.page_of_purge(most + 1) == layout.pages - 1
        assert layout.page_of_purge(0) in (1, None)
    assert choose_layout(contents(purges=[purge(MIN_PAGE_WIDTH)])).page_of_purge(0) is None


def test_at_the_coming_size_a_page_has_three_chunks_at_the_most_and_the_index_too():
    snapshot = PagedSnapshot(large(purges=int(RATE * KEPT_SECONDS)))
    counts = [len(snapshot.chunks(page)) for page in range(snapshot.digests.layout.pages)]
    assert max(counts) <= 3 and len(snapshot.chunks(INDEX_PAGE)) <= 3
    assert snapshot.digests.layout.member_pages == -(-CACHES // MEMBERS_PER_PAGE)


def test_ten_changed_members_take_a_tenth_of_the_whole_list():
    other_list = large()
    changed = {f"cache-{at:04d}": member(f"cache-{at:04d}", 9) for at in range(0, CACHES, 140)}
    _, few = caught_up(other_list._replace(members=other_list.members | changed), PagedSnapshot(other_list))
    _, all_of_them = caught_up(contents(), PagedSnapshot(other_list))
    assert few <= 12 < all_of_them / 3
    _, none = caught_up(other_list, PagedSnapshot(other_list))
    assert none == len(PagedSnapshot(other_list).chunks(INDEX_PAGE))
