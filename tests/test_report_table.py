"""Tests of the table of check results and of their JSON form."""

from limepath.report_table import CheckResult, format_table, json_fields, seconds


def test_microseconds_are_converted_to_seconds():
    assert (seconds(5_000_498), seconds(None)) == (5.0, None)


def test_a_table_has_columns_and_a_status_where_there_is_a_bound():
    assert format_table(
        [CheckResult("longest gap, s", 5.2, 33.0), CheckResult("serves", 12)]
    ).splitlines() == [
        "longest gap, s  5.2  33.0  holds",
        "serves           12     -  -",
    ]


def test_json_fields_keep_the_keys_that_other_programs_read():
    assert json_fields([CheckResult("gap, s", 5.2, 3.0, passed=False)], seed=1) == {
        "seed": 1,
        "holds": False,
        "rows": [{"what": "gap, s", "measured": 5.2, "bound": 3.0, "holds": False}],
    }
