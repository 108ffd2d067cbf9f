"""Rewrites the byte records of `tests/data` with the program's encoders: python -m tests.write_byte_records

A changed record means that fronts of two versions can no longer read each other's messages or stores.
"""

import json
import tempfile
import zlib
from pathlib import Path
from typing import Any

from tests import byte_records as records


def wire() -> dict[str, dict[str, str]]:
    """Return the recorded forms of all messages, by label."""
    return {
        label: {
            "encoded": records.encoded(message).hex(),
            "shortened": records.shortened(message).hex(),
            "sealed": records.sealed(message).hex(),
        }
        for label, message in records.MESSAGES.items()
    }


def endpoint_list() -> dict[str, Any]:
    """Return the forms of the endpoint list and the zlib version; `content` is the uncompressed data."""
    forms = {}
    for label, record in records.CODED_RECORDS.items():
        data = record.encode()
        forms[label] = {"encoded": data.hex()}
        if record.packed_from is not None:
            forms[label]["content"] = zlib.decompress(data[record.packed_from :]).hex()
    return {"zlib": zlib.ZLIB_RUNTIME_VERSION, "records": forms}


def store() -> dict[str, Any]:
    """Return the schema and the rows of a store."""
    rows = records.store_rows(records.CODED_RECORDS[records.SAVED_LIST].encode())
    with tempfile.TemporaryDirectory() as directory:
        return records.written_store(Path(directory) / "store.db", rows)


def main() -> None:
    """Write all data files."""
    contents = (wire(), store(), endpoint_list(), records.shared_values())
    names = (records.WIRE, records.STORE, records.ENDPOINT_LIST, records.SHARED)
    for name, recorded in zip(names, contents, strict=True):
        (records.DATA / name).write_text(json.dumps(recorded, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
