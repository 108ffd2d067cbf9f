"""The store's folder may refuse writes for a while (ENOSPC, EIO): what was accepted is kept and retried.

Terms of the operators' notes: writes and syncs may fail for a while, and a kill may leave a write half done.
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
from limepath.duties.host import Cooperation
from limepath.duties.interface import LeaseGrant, PersistEpochCeiling
from limepath.log import Log
from limepath.membership.interface import SendMessage
from limepath.store import PendingWrites, Store

WRITES_THAT_FAIL = """
import json, resource, sqlite3, sys
from limepath.store import Store
store = Store(sys.argv[1])
store.put({"ceiling": b"1"})
_, hard = resource.getrlimit(resource.RLIMIT_FSIZE)
failed = 0
for size in (0, 1, 100, 4096, 9000):  # a write fails at its first byte, or half way
    resource.setrlimit(resource.RLIMIT_FSIZE, (size, hard))
    try:
        store.put({"ceiling": b"2", "list": b"x" * 60_000})
    except sqlite3.OperationalError as error:
        failed += "rollback" not in str(error)  # it tells what the system said
    resource.setrlimit(resource.RLIMIT_FSIZE, (hard, hard))
    assert store.all() == {"ceiling": b"1"}
    store.put({"ceiling": b"1"})  # it goes on once it can
store.put({"ceiling": b"3"})
print(json.dumps(failed))
"""


def test_writes_that_fail_for_a_while_keep_the_former_rows_and_succeed_later(tmp_path):
    """Real files: the system refuses to let them grow, at once or in the middle of a write."""
    path = str(tmp_path / "peers.db")
    done = subprocess.run(
        [sys.executable, "-c", WRITES_THAT_FAIL, path],
        capture_output=True,
        text=True,
        env=os.environ | {"PYTHONPATH": os.getcwd()},
    )
    assert done.returncode == 0, done.stderr
    assert json.loads(done.stdout) == 5
    assert Store(path).all() == {"ceiling": b"3"}


class FailingStore:
    """Raises at each write while `fails` is set."""

    def __init__(self):
        self.fails = True
        self.rows = {}
        self.attempts = 0

    def put(self, rows):
        self.attempts += 1
        if self.fails:
            raise sqlite3.OperationalError("disk full")
        self.rows |= rows


def cooperation_on(store, log):
    """The part of an instance that carries out commands, on this store; with the datagrams it sent."""
    one, sent = Cooperation.__new__(Cooperation), []
    one.writes, one.over, one.counts = PendingWrites(store, log), False, Counter()
    one.instance = SimpleNamespace(members=SimpleNamespace(me=None))
    one.line = SimpleNamespace(send=lambda me, order: sent.append(order))
    return one, sent


def test_no_lease_is_granted_while_the_epoch_ceiling_cannot_be_written(capsys):
    """A voter's ceiling has to outlive a crash before the vote is sent; all else is said as ever."""
    store = FailingStore()
    one, sent = cooperation_on(store, Log("n1", 5, 10**6))
    vote, ping = SendMessage("127.0.0.1", 9, 1, LeaseGrant(0, 1, (0,))), SendMessage("127.0.0.1", 9, 1, None)
    one.execute(PersistEpochCeiling(4096))
    one.execute(vote)
    one.execute(ping)
    assert sent == [ping] and store.rows == {}
    one.writes.retry()
    one.execute(vote)
    assert sent == [ping] and store.attempts == 2
    one.execute(PersistEpochCeiling(8192))  # stands for both
    store.fails = False
    one.writes.retry()
    one.execute(vote)
    assert sent == [ping, vote] and store.rows == {"ceiling": b"8192"}
    said = capsys.readouterr().err
    assert "event=store-fails" in said and "event=store-written" in said


def test_an_endpoint_list_that_cannot_be_saved_is_followed_all_the_same():
    """What comes behind it in the same pass, a drain for one, is carried out; it is saved once it can be."""
    store = FailingStore()
    changes = DiscoveryChangeLog.__new__(DiscoveryChangeLog)
    changes.cooperation, sent = cooperation_on(store, Log("n1", 0, 10**6))
    changes.execute(SaveSnapshot(b"first"))
    changes.execute(SaveSnapshot(b"second"))
    changes.cooperation.execute(SendMessage("127.0.0.1", 9, 1, LeaseGrant(0, 1, (0,))))
    assert len(sent) == 1  # a vote rests on no list
    store.fails = False
    changes.cooperation.writes.retry()
    changes.cooperation.writes.retry()
    assert store.rows == {"list": b"second"} and store.attempts == 3
