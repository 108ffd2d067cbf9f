"""Types, reading and writing of the measured file: the cost of each role by size.

A Role holds the series and facts of one role with the circumstances of its own run (command, revision, date,
machine), so that single roles can be measured again and merged. A file that is not entirely valid is rejected
(DamagedFileError).
"""

import math
import os

import msgspec

FORMAT_VERSION = 1


class DamagedFileError(Exception):
    """The file is missing, unreadable or not of this format; the message is one line."""


class Circumstances(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The conditions of one run.

    `load` is the load average over one minute before and after the run. `yardstick` is the processor time of
    a fixed calculation before and after the run, in milliseconds; it is longer on a core that other work
    shares. `seconds` is wall-clock time.
    """

    command: str
    revision: str
    date: str
    cores: int
    machine: str
    python: str
    system: str
    load: tuple[float, float]
    yardstick: tuple[float, float]
    seconds: float


class Series(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One cost at several sizes. `points` are (size, value) with the value in `unit`."""

    name: str
    what: str
    unit: str
    size: str  # what the size counts
    points: tuple[tuple[float, float], ...]
    source: str  # "real process", "real logic", "virtual time"


class Fact(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One figure at one size."""

    name: str
    what: str
    unit: str
    value: float


class RoleResult(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The result of measuring one role."""

    series: tuple[Series, ...] = ()
    facts: tuple[Fact, ...] = ()
    notes: tuple[str, ...] = ()


class Role(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    circumstances: Circumstances
    found: RoleResult


class Measured(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The content of the measured file: all roles by name."""

    format: int = FORMAT_VERSION
    roles: dict[str, Role] = {}

    def series(self, role, name):
        """Return one Series, or None if it was not measured."""
        found = self.roles[role].found.series if role in self.roles else ()
        return next((entry for entry in found if entry.name == name), None)

    def fact(self, role, name):
        """Return one Fact, or None if it was not measured."""
        found = self.roles[role].found.facts if role in self.roles else ()
        return next((entry for entry in found if entry.name == name), None)


def read(path):
    """Return the content of a measured file; raise DamagedFileError."""
    try:
        with open(path, "rb") as file:
            measured = msgspec.json.decode(file.read(), type=Measured)
    except OSError as error:
        raise DamagedFileError(f"{path}: {error.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise DamagedFileError(f"{path}: {' '.join(str(error).split())}") from None
    if measured.format != FORMAT_VERSION:
        raise DamagedFileError(f"{path}: unsupported format {measured.format}; expected {FORMAT_VERSION}")
    for name, role in measured.roles.items():
        for series in role.found.series:
            sizes = [size for size, _ in series.points]
            if not sizes or len(set(sizes)) < len(sizes):
                raise DamagedFileError(f"{path}: {name}: {series.name}: no points, or a size occurs twice")
            if any(size <= 0 or value < 0 or not math.isfinite(value) for size, value in series.points):
                raise DamagedFileError(
                    f"{path}: {name}: {series.name}: a size not above 0, or a value below 0 or not finite"
                )
    return measured


def write(path, measured):
    """Replace the file atomically."""
    os.makedirs(os.path.dirname(os.path.abspath(path)), exist_ok=True)
    with open(path + ".new", "wb") as file:
        file.write(msgspec.json.format(msgspec.json.encode(measured), indent=1) + b"\n")
    os.replace(path + ".new", path)


def merge_roles(measured, roles):
    """Return `measured` with these roles (name to Role) added or replaced."""
    return Measured(FORMAT_VERSION, dict(sorted((measured.roles | roles).items())))
