"""Tests that fronts send, store and read exactly the bytes of the records in `tests/data`."""

import sqlite3
import zlib
from contextlib import closing
from pathlib import Path

import msgspec
import pytest

from limepath.membership.identity import next_identity
from limepath.store import GOOD, Store
from tests import byte_records as records

WIRE, ENDPOINT_LIST = records.recorded(records.WIRE), records.recorded(records.ENDPOINT_LIST)
SAME_ZLIB = ENDPOINT_LIST["zlib"] == zlib.ZLIB_RUNTIME_VERSION

each_message = pytest.mark.parametrize("label", records.MESSAGES)
each_coded = pytest.mark.parametrize("label", records.CODED_RECORDS)


def wire_bytes(label: str, form: str) -> bytes:
    """Return one recorded form of a message."""
    return bytes.fromhex(WIRE[label][form])


def list_bytes(label: str, form: str = "encoded") -> bytes:
    """Return one recorded form of a part of the endpoint list."""
    return bytes.fromhex(ENDPOINT_LIST["records"][label][form])


def test_files_and_values_have_the_same_labels() -> None:
    assert list(WIRE) == list(records.MESSAGES)
    assert list(ENDPOINT_LIST["records"]) == list(records.CODED_RECORDS)


@pytest.mark.parametrize("message_type", records.MESSAGE_TYPES)
def test_each_message_type_has_a_record_with_all_fields_set(message_type: type) -> None:
    (message,) = [record for record in records.FULL_MESSAGES.values() if type(record) is message_type]
    for field in msgspec.structs.fields(message_type):
        assert field.required or getattr(message, field.name) != field.default


@each_message
def test_a_message_is_read(label: str) -> None:
    guard, message = records.new_guard(), records.MESSAGES[label]
    assert guard.message_decoder.decode(wire_bytes(label, "encoded")) == message
    assert guard.open(wire_bytes(label, "sealed")) == (records.MEMBER, records.RECEIVER, message)


@each_message
def test_a_message_is_written(label: str) -> None:
    assert records.encoded(records.MESSAGES[label]) == wire_bytes(label, "encoded")
    assert records.sealed(records.MESSAGES[label]) == wire_bytes(label, "sealed")


@each_message
def test_a_message_without_its_optional_fields_has_their_defaults(label: str) -> None:
    message = records.new_guard().message_decoder.decode(wire_bytes(label, "shortened"))
    assert message == records.with_defaults(records.MESSAGES[label])


@each_coded
def test_a_part_of_the_endpoint_list_is_read(label: str) -> None:
    record = records.CODED_RECORDS[label]
    assert record.decode(list_bytes(label)) == record.value


@each_coded
def test_a_part_of_the_endpoint_list_is_written(label: str) -> None:
    """Compares the decompressed content with another zlib version, which may compress to other bytes."""
    record = records.CODED_RECORDS[label]
    data, packed_from = record.encode(), record.packed_from
    if packed_from is None or SAME_ZLIB:
        assert data == list_bytes(label)
    if packed_from is not None:
        assert data[:packed_from] == list_bytes(label)[:packed_from]
        assert zlib.decompress(data[packed_from:]) == list_bytes(label, "content")


def test_a_store_is_read(tmp_path: Path) -> None:
    recorded, path = records.recorded(records.STORE), tmp_path / "store.db"
    rows = [(row["name"], bytes.fromhex(row["value"]), row["sum"]) for row in recorded["rows"]]
    with closing(sqlite3.connect(path)) as database:
        database.execute(recorded["schema"])
        database.executemany("INSERT INTO state VALUES (?, ?, ?)", rows)
        database.commit()
    with closing(Store(str(path))) as store:
        assert store.initial_state == GOOD
        found = store.all()
    assert found == records.store_rows(list_bytes(records.SAVED_LIST))
    identity, _ = next_identity(found, lambda: 0)
    assert identity == (records.TOKENS[3], records.GENERATION + 1, records.CEILING, True)


def test_a_store_is_written(tmp_path: Path) -> None:
    rows = records.store_rows(list_bytes(records.SAVED_LIST))
    assert records.written_store(tmp_path / "store.db", rows) == records.recorded(records.STORE)


def test_digests_and_codes_are_the_recorded_ones() -> None:
    assert records.shared_values() == records.recorded(records.SHARED)
