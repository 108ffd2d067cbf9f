"""Tests of writes to the store that fail temporarily (ENOSPC, EIO): accepted rows are kept and retried.

The operators' notes say that writes and syncs may fail temporarily, and that a kill may interrupt a write.
"""

import json
import os
import sqlite3
import subprocess
import sys
from collections import Counter
from types import SimpleNamespace

from limepath.discovery.host import DiscoveryChangeLog
from limepath.discovery.interface import SaveSnapshot
from limepath.duties.host import InstanceHost
from limepath.duties.interface import LeaseGrant, PersistEpochCeiling
from limepath.log import Log
from limepath.membership.interface import SendMessage
from limepath.store import PendingWrites, Store

FAILING_WRITES = """
import json, resource, sqlite3, sys
from limepath.store import Store
store = Store(sys.argv[1])
store.put({"ceiling": b"1"})
_, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
failed = 0
for size in (0, 1, 100, 4096, 9000):  # the write fails at its first byte or partway
    resource.setrlimit(resource.RLIMIT_FSIZE, (size, hard))
    try:
        store.put({"ceiling": b"2", "list": b"x" * 60_000})
    except sqlite3.OperationalError as error:
        failed += "rollback" not in str(error)  # the system's error is not hidden
    resource.setrlimit(resource.RLIMIT_FSIZE, (hard, hard))
    assert store.all() == {"ceiling": b"1"}
    store.put({"ceiling": b"1"})  # writes succeed again
store.put({"ceiling": b"3"})
print(json.dumps(failed))
"""


def test_failed_writes_keep_the_previous_rows_and_later_writes_succeed(tmp_path):
    """Uses real files; a resource limit makes writes fail at their first byte or partway."""
    path = str(tmp_path / "peers.db")
    done = subprocess.run(
        [sys.executable, "-c", FAILING_WRITES, path],
        capture_output=True,
        text=True,
        env=os.environ | {"PYTHONPATH": os.getcwd()},
    )
    assert done.returncode == 0, done.stderr
    assert json.loads(done.stdout) == 5
    assert Store(path).all() == {"ceiling": b"3"}


class FailingStore:
    """Fake store whose writes raise an error while `fails` is set."""

    def __init__(self):
        self.fails = True
        self.rows = {}
        self.attempts = 0

    def put(self, rows):
        self.attempts += 1
        if self.fails:
            raise sqlite3.OperationalError("disk full")
        self.rows |= rows


def instance_host_on(store, log):
    """Return an InstanceHost that executes commands on this store, and the list of messages that it sends."""
    instance_host, sent = InstanceHost.__new__(InstanceHost), []
    instance_host.writes, instance_host.is_stopped, instance_host.counts = (
        PendingWrites(store, log),
        False,
        Counter(),
    )
    instance_host.instance = SimpleNamespace(members=SimpleNamespace(me=None))
    instance_host.datagram_socket = SimpleNamespace(send=lambda me, command: sent.append(command))
    return instance_host, sent


def test_no_lease_is_granted_while_the_epoch_ceiling_cannot_be_written(capsys):
    """The voter's epoch ceiling must be on disk before a vote is sent; other messages are sent at once."""
    store = FailingStore()
    instance_host, sent = instance_host_on(store, Log("n1", 5, 10**6))
    vote, ping = SendMessage("127.0.0.1", 9, 1, LeaseGrant(0, 1, (0,))), SendMessage("127.0.0.1", 9, 1, None)
    instance_host.execute(PersistEpochCeiling(4096))
    instance_host.execute(vote)
    instance_host.execute(ping)
    assert sent == [ping] and store.rows == {}
    instance_host.writes.retry()
    instance_host.execute(vote)
    assert sent == [ping] and store.attempts == 2
    instance_host.execute(PersistEpochCeiling(8192))  # replaces the first ceiling
    store.fails = False
    instance_host.writes.retry()
    instance_host.execute(vote)
    assert sent == [ping, vote] and store.rows == {"ceiling": b"8192"}
    logged = capsys.readouterr().err
    assert "event=store-fails" in logged and "event=store-written" in logged


def test_a_failed_save_of_the_endpoint_list_does_not_hold_back_other_commands():
    """Commands after it in the same batch, for example a drain, are executed, and the save is retried."""
    store = FailingStore()
    changes = DiscoveryChangeLog.__new__(DiscoveryChangeLog)
    changes.instance_host, sent = instance_host_on(store, Log("n1", 0, 10**6))
    changes.execute(SaveSnapshot(b"first"))
    changes.execute(SaveSnapshot(b"second"))
    changes.instance_host.execute(SendMessage("127.0.0.1", 9, 1, LeaseGrant(0, 1, (0,))))
    assert len(sent) == 1  # a vote does not depend on the saved list
    store.fails = False
    changes.instance_host.writes.retry()
    changes.instance_host.writes.retry()
    assert store.rows == {"list": b"second"} and store.attempts == 3
