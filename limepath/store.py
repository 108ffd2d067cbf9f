"""An embedded store in SQLite for small state that survives crashes.

Each row has a checksum. Opening distinguishes a good file, a missing one, and a truncated or damaged one. A
damaged file is moved aside and never read. Only one process can hold a store at a time. Writes are on disk
when `put` returns (one file, a rollback journal, synchronous EXTRA). A write-ahead log is not used, because a
truncated log would silently restore the state of an earlier start.
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

Rows = dict[str, bytes]  # values by row name


class StoreLockedError(Exception):
    """Another process has this store open."""


class StoreUnusableError(Exception):
    """The store cannot be opened or created at this path; the text gives the reason."""


class StoreDamagedError(ValueError):
    """The database file is damaged; the text describes the damage."""


def checksum(name: str, value: bytes) -> int:
    """Return the checksum of a row: CRC-32 of its name, then of its value."""
    return crc32(value, crc32(name.encode()))


class Store:
    """Rows of bytes by name, in one SQLite file that this process holds until `close`.

    Attributes:
        path: the file.
        initial_state: state of the file when the store was opened: NEW (no file), GOOD or DAMAGED.
        damaged_path: path to which a damaged file was moved, or None.
        database: the connection to the file, which holds its exclusive lock.
    """

    def __init__(self, path: str) -> None:
        """Open or create the file; move a damaged one aside and create an empty store.

        Raises:
            StoreLockedError: another process holds the store.
            StoreUnusableError: the file can be neither opened nor created.
        """
        self.path = path
        self.initial_state = NEW
        self.damaged_path: str | None = None
        self.database: sqlite3.Connection | None = None
        os.makedirs(os.path.dirname(os.path.abspath(path)), exist_ok=True)
        existed = os.path.exists(path)
        try:
            self._open()
            if existed:
                self.initial_state = GOOD
                self._verify()
        except (sqlite3.DatabaseError, StoreDamagedError) as error:
            if "locked" in str(error):
                raise StoreLockedError(f"{path}: held by another process") from None
            if "unable to open" in str(error) or not existed:
                raise StoreUnusableError(f"{path}: {error}") from None
            self._replace_damaged()

    def _open(self) -> None:
        """Open the database and acquire its lock.

        `database` is set first, so that the connection can be closed after a later error.
        """
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
            raise StoreDamagedError("SQLite's quick_check reported errors")
        self.all()

    def all(self) -> Rows:
        """Return all rows.

        Raises:
            StoreDamagedError: a row does not match its checksum.
        """
        rows = {}
        for name, value, stored_checksum in self.database.execute("SELECT name, value, sum FROM state"):
            if not isinstance(value, bytes) or checksum(name, value) != stored_checksum:
                raise StoreDamagedError(f"row {name}: the value does not match its checksum")
            rows[name] = value
        return rows

    def _replace_damaged(self) -> None:
        """Move the damaged file aside, where it can be examined, and create an empty store."""
        self._close_damaged()
        number = 1
        while os.path.exists(f"{self.path}.damaged-{number}"):
            number += 1
        self.damaged_path = f"{self.path}.damaged-{number}"
        os.replace(self.path, self.damaged_path)
        if os.path.exists(self.path + "-journal"):
            os.remove(self.path + "-journal")
        try:
            self._open()
        except sqlite3.DatabaseError as error:
            raise StoreUnusableError(f"{self.path}: {error}") from None
        self.initial_state = DAMAGED

    def _close_damaged(self) -> None:
        try:
            if self.database:
                self.database.close()
        except sqlite3.Error:
            pass

    def put(self, rows: Rows) -> None:
        """Write all these rows or none; they are on disk when this returns.

        Raises:
            sqlite3.Error: the write failed; the store is unchanged.
        """
        self.database.execute("BEGIN IMMEDIATE")
        try:
            self.database.executemany(
                "INSERT OR REPLACE INTO state VALUES (?, ?, ?)",
                [(name, value, checksum(name, value)) for name, value in rows.items()],
            )
            self.database.execute("COMMIT")
        except sqlite3.Error:
            if self.database.in_transaction:  # SQLite rolls back by itself after some disk errors
                self.database.execute("ROLLBACK")
            raise

    def close(self) -> None:
        """Close the file and release its lock."""
        self.database.close()


class PendingWrites:
    """Retries writes to a store whose directory may temporarily reject them.

    The latest value of each row is kept, and its write is retried until it succeeds.

    Attributes:
        store: the store to which the rows are written.
        log: the log for failures and for the first success after them.
        rows: rows that are not on disk yet.
        failing: whether the last write failed.
    """

    def __init__(self, store: Store, log: "Log") -> None:
        self.store = store
        self.log = log
        self.rows: Rows = {}
        self.failing = False

    def put(self, rows: Rows) -> None:
        """Write these rows now, or at a later `retry` if the write fails."""
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
            self.log.info("store-fails", str(error), rows=",".join(self.rows))
            return
        if self.failing:
            self.log.info("store-written", rows=",".join(self.rows))
        self.rows = {}
        self.failing = False
