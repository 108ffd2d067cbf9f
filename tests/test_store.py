"""Tests of `limepath.store`: durability, exclusive access, and detection of damaged files."""

import os
import sqlite3
import subprocess
import sys

import pytest

from limepath.membership.identity import epoch_ceiling_row, next_identity
from limepath.store import DAMAGED, GOOD, NEW, Store, StoreLockedError, StoreUnusableError


def test_rows_survive_a_restart_and_a_second_process_cannot_open_the_store(tmp_path):
    path = str(tmp_path / "sub" / "s.db")
    store = Store(path)
    assert store.initial_state == NEW
    store.put({"token": b"5", "life": b"1"})
    with pytest.raises(StoreLockedError):
        Store(path)
    store.close()
    reopened = Store(path)
    assert reopened.initial_state == GOOD and reopened.all() == {"token": b"5", "life": b"1"}
    reopened.close()


@pytest.mark.parametrize("damage", ("truncated", "noise", "row", "not a database", "empty row"))
def test_a_damaged_store_is_detected_moved_aside_and_never_read(tmp_path, damage):
    path = tmp_path / "s.db"
    store = Store(str(path))
    store.put({"token": b"5", "life": b"9", "ceiling": b"7000"})
    store.close()
    intact = path.read_bytes()
    if damage == "truncated":
        path.write_bytes(intact[: len(intact) // 2 + 7])
    elif damage == "noise":
        path.write_bytes(intact[: len(intact) - 4000] + b"\x55" * 4000)
    elif damage == "not a database":
        path.write_bytes(b"hello" * 500)
    else:
        database = sqlite3.connect(path)
        database.execute(
            "UPDATE state SET value = ? WHERE name = 'life'", (b"" if damage == "empty row" else b"8",)
        )
        database.commit()
        database.close()
    reopened = Store(str(path))
    assert (
        reopened.initial_state == DAMAGED and reopened.all() == {} and os.path.exists(reopened.damaged_path)
    )
    identity, _ = next_identity(reopened.all(), lambda: 77)
    assert identity.token == 77 and not identity.is_ceiling_known
    reopened.put(epoch_ceiling_row(3))
    reopened.close()
    assert Store(str(path)).initial_state == GOOD


def test_a_store_that_cannot_be_created_is_an_error(tmp_path):
    with pytest.raises(StoreUnusableError):
        Store(str(tmp_path))
    with pytest.raises(OSError):
        Store("/proc/none/s.db")


def test_a_write_interrupted_by_a_kill_is_applied_completely_or_not_at_all(tmp_path):
    path = str(tmp_path / "s.db")
    script = (
        "import sys; from limepath.store import Store; store = Store(sys.argv[1])\n"
        "for number in range(10**9):\n"
        "    store.put({name: b'%d' % number for name in ('a', 'b', 'c')})\n"
        "    print(number, flush=True)\n"
    )
    for min_writes in (3, 11):
        process = subprocess.Popen(
            [sys.executable, "-c", script, path],
            stdout=subprocess.PIPE,
            text=True,
            env=os.environ | {"PYTHONPATH": os.getcwd()},
        )
        while (acknowledged := int(process.stdout.readline())) < min_writes:
            pass
        process.kill()
        process.wait()
        process.stdout.close()
        store = Store(path)
        rows = store.all()
        assert store.initial_state == GOOD and len(set(rows.values())) == 1 and int(rows["a"]) >= acknowledged
        store.close()
