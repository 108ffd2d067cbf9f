"""Tests of the keep ranks that Greedy-Dual-Size-Frequency assigns."""

from tests.fake_host import FakeHost


def test_without_sizes_only_a_few_objects_have_the_upper_ranks():
    for size_kb, ranks in ((0.0, [3, 3, 2, 2, 2, 2, 1]), (8.0, [3] * 7)):
        table = FakeHost().front.frequency_table
        for obj in range(40):
            table.count_request((obj, 0), size_kb)
        assert [table.count_request((obj, 0), size_kb) for obj in range(7)] == ranks
