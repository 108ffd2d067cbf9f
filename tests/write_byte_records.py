"""Write the byte records of `tests/data` anew from what the program codes: python -m tests.write_byte_records

A record that changes means that fronts of two versions no longer read each other, or not their stores.
"""

import json
import tempfile
import zlib
from pathlib import Path
from typing import Any

from tests import byte_records as records


def wire() -> dict[str, dict[str, str]]:
    """The forms of all messages, by label."""
    return {
        label: {
            "encoded": records.encoded(message).hex(),
            "shortened": records.shortened(message).hex(),
            "sealed": records.sealed(message).hex(),
        }
        for label, message in records.MESSAGES.items()
    }


def endpoint_list() -> dict[str, Any]:
    """The forms of the endpoint list with the zlib that packed them; `content` is what it packed."""
    forms = {}
    for label, record in records.CODED_RECORDS.items():
        data = record.encode()
        forms[label] = {"encoded": data.hex()}
        if record.packed_from is not None:
            forms[label]["content"] = zlib.decompress(data[record.packed_from :]).hex()
    return {"zlib": zlib.ZLIB_RUNTIME_VERSION, "records": forms}


def store() -> dict[str, Any]:
    """The schema and the rows of a store."""
    rows = records.store_rows(records.CODED_RECORDS[records.SAVED_LIST].encode())
    with tempfile.TemporaryDirectory() as directory:
        return records.written_store(Path(directory) / "store.db", rows)


def main() -> None:
    """Write all files."""
    contents = (wire(), store(), endpoint_list(), records.agreed_values())
    names = (records.WIRE, records.STORE, records.ENDPOINT_LIST, records.AGREED)
    for name, told in zip(names, contents, strict=True):
        (records.DATA / name).write_text(json.dumps(told, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
