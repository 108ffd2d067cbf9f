"""Compares the decisions on seeded events with a record."""

import json

import pytest

from tests.decision_trace import RECORD, trace


@pytest.mark.parametrize("seed", ["0", "1", "2"])
def test_the_decisions_on_seeded_events_match_the_record(seed):
    record = json.loads(RECORD.read_text(encoding="utf-8"))
    assert trace(int(seed)) == record[seed]
