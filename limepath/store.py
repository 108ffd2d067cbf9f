"""The embedded store: small state that survives crashes, in SQLite; one way to open, check and recover it.

Each row has a checksum. A good file, a missing one and a truncated or damaged one are distinguished; a
damaged one is set aside and never read. One process holds a store at a time. Writes are on the disk when
`put` returns (one file, a rollback journal, synchronous EXTRA): with a write-ahead log beside it, a truncated
log would silently give the state of an earlier start.
"""

import os
import sqlite3
from typing import TYPE_CHECKING
from zlib import crc32

if TYPE_CHECKING:
    from limepath.log import Log

NEW = "new"
GOOD = "good"
DAMAGED = "damaged"

Rows = dict[str, bytes]  # by name


class StoreLockedError(Exception):
    """Another process has this store open."""


class StoreUnusableError(Exception):
    """The store cannot be made at this path; the text says why."""


class StoreDamagedError(ValueError):
    """The file is a database, but not one that this program left whole; the text says what was found."""


def checksum(name: str, value: bytes) -> int:
    """Return the checksum of a row: CRC-32 of its name, then of its value."""
    return crc32(value, crc32(name.encode()))


class Store:
    """Rows of bytes by name, in one SQLite file that this process holds until `close`.

    Attributes:
        path: the file.
        found: NEW, GOOD or DAMAGED: what stood at the path when it was opened.
        aside: where a damaged file was moved to, or None.
        database: the connection to the file, which holds its exclusive lock.
    """

    def __init__(self, path: str) -> None:
        """Open the file, or make it; a damaged one is set aside and an empty store made.

        Raises:
            StoreLockedError: another process holds it.
            StoreUnusableError: it can be neither opened nor made.
        """
        self.path = path
        self.found = NEW
        self.aside: str | None = None
        self.database: sqlite3.Connection | None = None
        os.makedirs(os.path.dirname(os.path.abspath(path)), exist_ok=True)
        existed = os.path.exists(path)
        try:
            self._open()
            if existed:
                self.found = GOOD
                self._verify()
        except (sqlite3.DatabaseError, StoreDamagedError) as error:
            if "locked" in str(error):
                raise StoreLockedError(f"{path}: held by another process") from None
            if "unable to open" in str(error) or not existed:
                raise StoreUnusableError(f"{path}: {error}") from None
            self._replace_damaged()

    def _open(self) -> None:
        """Open the database and take its lock; the connection is kept at once, so that it can be closed."""
        self.database = sqlite3.connect(self.path, timeout=0, isolation_level=None)
        self.database.execute("PRAGMA locking_mode = EXCLUSIVE")
        self.database.execute("PRAGMA journal_mode = DELETE")
        self.database.execute("PRAGMA synchronous = EXTRA")
        self.database.execute("BEGIN EXCLUSIVE")
        self.database.execute(
            "CREATE TABLE IF NOT EXISTS state (name TEXT PRIMARY KEY, value BLOB NOT NULL, "
            "sum INTEGER NOT NULL)"
        )
        self.database.execute("COMMIT")

    def _verify(self) -> None:
        if self.database.execute("PRAGMA quick_check").fetchone() != ("ok",):
            raise StoreDamagedError("SQLite's quick_check found faults")
        self.all()

    def all(self) -> Rows:
        """Return all rows.

        Raises:
            StoreDamagedError: a row does not match its checksum.
        """
        rows = {}
        for name, value, stored_checksum in self.database.execute("SELECT name, value, sum FROM state"):
            if not isinstance(value, bytes) or checksum(name, value) != stored_checksum:
                raise StoreDamagedError(f"{name}: does not match its checksum")
            rows[name] = value
        return rows

    def _replace_damaged(self) -> None:
        """Set the damaged file aside for whoever wants to examine it, and make an empty store."""
        self._close_damaged()
        number = 1
        while os.path.exists(f"{self.path}.damaged-{number}"):
            number += 1
        self.aside = f"{self.path}.damaged-{number}"
        os.replace(self.path, self.aside)
        if os.path.exists(self.path + "-journal"):
            os.remove(self.path + "-journal")
        try:
            self._open()
        except sqlite3.DatabaseError as error:
            raise StoreUnusableError(f"{self.path}: {error}") from None
        self.found = DAMAGED

    def _close_damaged(self) -> None:
        try:
            if self.database:
                self.database.close()
        except sqlite3.Error:
            pass

    def put(self, rows: Rows) -> None:
        """Write all these rows or none; they are on the disk when this returns.

        Raises:
            sqlite3.Error: the system refused the write; the store holds what it held before.
        """
        self.database.execute("BEGIN IMMEDIATE")
        try:
            self.database.executemany(
                "INSERT OR REPLACE INTO state VALUES (?, ?, ?)",
                [(name, value, checksum(name, value)) for name, value in rows.items()],
            )
            self.database.execute("COMMIT")
        except sqlite3.Error:
            if self.database.in_transaction:  # after some disk errors SQLite has rolled back by itself
                self.database.execute("ROLLBACK")
            raise

    def close(self) -> None:
        """Release the file."""
        self.database.close()


class PendingWrites:
    """Rows on their way to a store whose folder may refuse writes for a while.

    The latest value of each name is kept and retried until it is on the disk.

    Attributes:
        store: where the rows are written.
        log: where failures, and the first success after them, are logged.
        rows: what is not on the disk yet.
        failing: whether the last write failed.
    """

    def __init__(self, store: Store, log: "Log") -> None:
        self.store = store
        self.log = log
        self.rows: Rows = {}
        self.failing = False

    def put(self, rows: Rows) -> None:
        """Write these rows now, or as soon as the folder takes writes again."""
        self.rows |= rows
        self.retry()

    def retry(self) -> None:
        """Write the pending rows, if there are any."""
        if not self.rows:
            return
        try:
            self.store.put(self.rows)
        except sqlite3.Error as error:
            self.failing = True
            self.log.say("store-fails", str(error), rows=",".join(self.rows))
            return
        if self.failing:
            self.log.say("store-written", rows=",".join(self.rows))
        self.rows = {}
        self.failing = False
