from limepath.report_table import Row, seconds, table


def test_microseconds_are_shown_in_seconds():
    assert (seconds(5_000_498), seconds(None)) == (5.0, None)


def test_a_table_has_columns_and_a_verdict_where_there_is_a_bound():
    assert table([Row("longest gap, s", 5.2, 33.0), Row("serves", 12)]).splitlines() == [
        "longest gap, s  5.2  33.0  holds",
        "serves           12     -  -",
    ]
