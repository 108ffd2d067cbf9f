"""Tests of the ranks that Greedy-Dual-Size-Frequency gives."""

from tests.fake_host import FakeHost


def test_without_sizes_only_the_first_few_objects_have_the_upper_ranks():
    for size_kb, asked_twice in ((0.0, [3, 3, 2, 2, 2, 2, 1]), (8.0, [3] * 7)):
        table = FakeHost().front.frequency_table
        for obj in range(40):
            table.count_request((obj, 0), size_kb)
        assert [table.count_request((obj, 0), size_kb) for obj in range(7)] == asked_twice
