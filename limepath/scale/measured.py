"""The measured file: what each role cost at which sizes, with command, revision, date and machine. Typed.

One Role holds one role's series and facts with the circumstances of its own run, so that single roles can be
measured again and merged. The file is read whole or refused (DamagedFile).
"""

import math
import os

import msgspec

FORMAT = 1


class DamagedFile(Exception):
    """The file is missing, unreadable or not of this format; the text is one line."""


class Circumstances(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Of one run.

    `load` is the load average of one minute before and after; `yardstick` the milliseconds of processor time
    that a fixed piece of work took then: a core that others share is slower. `seconds` is wall-clock time.
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
    """One cost over sizes. `points` are (size, value) with the value in `unit`."""

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
    """What measuring one role gave."""

    series: tuple[Series, ...] = ()
    facts: tuple[Fact, ...] = ()
    notes: tuple[str, ...] = ()


class Role(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    circumstances: Circumstances
    found: RoleResult


class Measured(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All roles by name."""

    format: int = FORMAT
    roles: dict[str, Role] = {}

    def series(self, role, name):
        """One Series, or None where it was not measured."""
        found = self.roles[role].found.series if role in self.roles else ()
        return next((one for one in found if one.name == name), None)

    def fact(self, role, name):
        """One Fact, or None where it was not measured."""
        found = self.roles[role].found.facts if role in self.roles else ()
        return next((one for one in found if one.name == name), None)


def read(path):
    """Give the Measured that a file holds; raise DamagedFile."""
    try:
        with open(path, "rb") as file:
            measured = msgspec.json.decode(file.read(), type=Measured)
    except OSError as flaw:
        raise DamagedFile(f"{path}: {flaw.strerror}") from None
    except (msgspec.DecodeError, UnicodeDecodeError) as flaw:
        raise DamagedFile(f"{path}: {' '.join(str(flaw).split())}") from None
    if measured.format != FORMAT:
        raise DamagedFile(f"{path}: format {measured.format}; this program reads {FORMAT}")
    for name, role in measured.roles.items():
        for series in role.found.series:
            sizes = [size for size, _ in series.points]
            if not sizes or len(set(sizes)) < len(sizes):
                raise DamagedFile(f"{path}: {name}: {series.name}: no points, or one size twice")
            if any(size <= 0 or value < 0 or not math.isfinite(value) for size, value in series.points):
                raise DamagedFile(f"{path}: {name}: {series.name}: a size or value below 0")
    return measured


def write(path, measured):
    """Put the file in the place of the old one whole."""
    os.makedirs(os.path.dirname(os.path.abspath(path)), exist_ok=True)
    with open(path + ".new", "wb") as file:
        file.write(msgspec.json.format(msgspec.json.encode(measured), indent=1) + b"\n")
    os.replace(path + ".new", path)


def merged(measured, roles):
    """The Measured with these roles (name to Role) in place of the former ones."""
    return Measured(FORMAT, dict(sorted((measured.roles | roles).items())))
