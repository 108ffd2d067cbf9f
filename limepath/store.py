"""The embedded store: small state that survives crashes, in SQLite; one way to open, check and recover it.

Each row bears a checksum. A file that is missing, cut or damaged is told apart from a good one; a damaged one
is put aside, never read. One process holds a store at a time. Writes are on the disk when `put` returns (one
file, a rollback journal, synchronous EXTRA): with a log beside the file, a cut log would silently give the
state of an earlier start.
"""

import os
import sqlite3
from zlib import crc32

NEW, GOOD, DAMAGED = "new", "good", "damaged"


class StoreLockedError(Exception):
    """Another process has this store open."""


class StoreUnusableError(Exception):
    """The store cannot be made at this path; the text says why."""


def checksum(name, value):
    return crc32(value, crc32(name.encode()))


class Store:
    """`found` is NEW, GOOD or DAMAGED; `aside` where a damaged file went."""

    def __init__(self, path):
        self.path, self.aside = path, None
        os.makedirs(os.path.dirname(os.path.abspath(path)), exist_ok=True)
        existed = os.path.exists(path)
        try:
            self.base = self.opened()
            self.found = GOOD if existed else NEW
            if existed:
                self.verify()
        except (sqlite3.DatabaseError, ValueError) as error:
            if "locked" in str(error):
                raise StoreLockedError(f"{path}: held by another process") from None
            if "unable to open" in str(error) or not existed:
                raise StoreUnusableError(f"{path}: {error}") from None
            self.put_aside()

    def opened(self):
        base = sqlite3.connect(self.path, timeout=0, isolation_level=None)
        base.execute("PRAGMA locking_mode = EXCLUSIVE")
        base.execute("PRAGMA journal_mode = DELETE")
        base.execute("PRAGMA synchronous = EXTRA")
        base.execute("BEGIN EXCLUSIVE")
        base.execute(
            "CREATE TABLE IF NOT EXISTS state (name TEXT PRIMARY KEY, value BLOB NOT NULL, "
            "sum INTEGER NOT NULL)"
        )
        base.execute("COMMIT")
        return base

    def verify(self):
        if self.base.execute("PRAGMA quick_check").fetchone() != ("ok",):
            raise ValueError("not whole")
        self.all()

    def all(self):
        """All rows; ValueError at one whose checksum does not fit."""
        rows = {}
        for name, value, told in self.base.execute("SELECT name, value, sum FROM state"):
            if not isinstance(value, bytes) or checksum(name, value) != told:
                raise ValueError(f"{name}: does not fit its checksum")
            rows[name] = value
        return rows

    def put_aside(self):
        """Keep the damaged file for whoever wants to look, and begin anew."""
        try:
            self.base.close()
        except (AttributeError, sqlite3.Error):
            pass
        number = 1
        while os.path.exists(f"{self.path}.damaged-{number}"):
            number += 1
        self.aside = f"{self.path}.damaged-{number}"
        os.replace(self.path, self.aside)
        if os.path.exists(self.path + "-journal"):
            os.remove(self.path + "-journal")
        try:
            self.base, self.found = self.opened(), DAMAGED
        except sqlite3.DatabaseError as error:
            raise StoreUnusableError(f"{self.path}: {error}") from None

    def put(self, rows):
        """Write all these rows or none; they are on the disk when this returns."""
        self.base.execute("BEGIN IMMEDIATE")
        try:
            self.base.executemany(
                "INSERT OR REPLACE INTO state VALUES (?, ?, ?)",
                [(name, value, checksum(name, value)) for name, value in rows.items()],
            )
            self.base.execute("COMMIT")
        except sqlite3.Error:
            if self.base.in_transaction:  # after some errors of the disk SQLite has rolled back by itself
                self.base.execute("ROLLBACK")
            raise

    def close(self):
        self.base.close()


class PendingWrites:
    """Rows on their way to a store whose folder may refuse them for a while: the latest of each name, tried
    again until they are on the disk.
    """

    def __init__(self, store, log):
        self.store, self.log, self.rows, self.failing = store, log, {}, False

    def put(self, rows):
        """Write these rows now, or as soon as the folder takes them."""
        self.rows |= rows
        self.retry()

    def retry(self):
        """Write what waits, if anything does."""
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
        self.rows, self.failing = {}, False
