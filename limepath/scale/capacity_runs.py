"""What saved scale runs (`limepath scale run --json`) say of the capacity: read, checked, as a table."""

import glob
import os

import msgspec

from limepath.scale.measured import DamagedFileError


class Statistics(msgspec.Struct, frozen=True):
    median: float
    worst: float


class Use(msgspec.Struct, frozen=True):
    """Of all fronts in one phase: processor time as a share of a core, rates a second, by subsystem."""

    cpu: dict[str, Statistics | None] = {}
    sent_bytes: dict[str, Statistics | None] = {}
    sent_datagrams: dict[str, Statistics | None] = {}


class Row(msgspec.Struct, frozen=True):
    what: str
    holds: bool
    bound: object = None
    measured: object = None


class Run(msgspec.Struct, frozen=True):
    """One saved run; fields that this page has no use for are left out."""

    rows: tuple[Row, ...]
    sizes: dict[str, float]
    use: dict[str, dict[str, Use]] = {}
    seed: int | None = None
    broken: str | None = None
    revision: str | None = None
    faults: dict[str, int] = {}

    def busiest(self, measure):
        """The worst front's figure in the calm, all subsystems together; None where it was not told."""
        calm = self.use.get("calm", {}).get("all")
        told = getattr(calm, measure).get("all") if calm else None
        return told.worst if told else None


def read_runs(folder):
    """Give [(file name, Run)] of a folder, in the order of sizes; raise DamagedFileError."""
    found = []
    for path in sorted(glob.glob(os.path.join(folder, "*.json"))):
        try:
            with open(path, "rb") as file:
                found.append((os.path.basename(path), msgspec.json.decode(file.read(), type=Run)))
        except OSError as flaw:
            raise DamagedFileError(f"{path}: {flaw.strerror}") from None
        except (msgspec.DecodeError, UnicodeDecodeError) as flaw:
            raise DamagedFileError(f"{path}: {' '.join(str(flaw).split())}") from None
    return sorted(found, key=lambda one: (one[1].sizes.get("fronts", 0), one[0]))


def broken_rows(run):
    return [row.what for row in run.rows if not row.holds]
