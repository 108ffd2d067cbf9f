"""What a hollow process is told and what it answers: one JSON object a line, on its standard streams.

Commands are told apart by their field `do`. Each is answered by one `Reply`, in order. Times are whole
microseconds, of CLOCK_BOOTTIME where they are points in time, so that they compare between the processes of
one machine.
"""

from enum import StrEnum
from typing import NamedTuple

import msgspec


class Subsystem(StrEnum):
    """Parts of a front's control that processor time and datagrams are counted by."""

    MEMBERSHIP = "membership"
    DUTIES = "duties"
    LIST = "list"
    COUNTS = "counts"
    LIMITS = "limits"


class BadLine(Exception):
    """A command, a reply or a configuration that cannot be read; the text says why."""


class Place(msgspec.Struct, frozen=True):
    """Which front has a datagram address, and where it stands."""

    name: str
    region: str
    zone: str
    site: str


Directory = dict[str, Place]  # by "host:port" of the front's datagram socket, as advertised


class FrontConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One hollow front: its two configuration files and where it stands."""

    name: str
    peers: str  # path of its peers.ini
    settings: str  # path of its front.json
    region: str
    zone: str
    site: str


class ProcessConfig(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What one hollow process runs. `directory` is the path of a JSON file that holds a `Directory`."""

    fronts: list[FrontConfig]
    directory: str
    seed: int = 0  # of the datagrams that are lost
    log: str = ""  # path of a file for the fronts' log lines; "" counts them only


# Commands


class Command(msgspec.Struct, frozen=True, tag_field="do", forbid_unknown_fields=True):
    pass


class Start(Command, tag="start"):
    """Start these fronts; those killed before start as a new life of the same instance."""

    names: list[str]


class Kill(Command, tag="kill"):
    """End these as a crash does: sockets closed, nothing said, state dropped; the store file stays."""

    names: list[str]


class Pause(Command, tag="pause"):
    """Stop these as SIGSTOP does: nothing is read, no timer runs, sockets stay open."""

    names: list[str]


class Resume(Command, tag="resume"):
    """Let these go on: what waits in their sockets is read, overdue timers run late."""

    names: list[str]


class Reload(Command, tag="reload"):
    """Have these read their settings again, as SIGHUP does."""

    names: list[str]


class Links(Command, tag="links"):
    """Replace the faults of the links: `loss` is the share of datagrams lost; each pair of regions in `cuts`
    hears nothing of each other.
    """

    loss: float = 0.0
    cuts: list[tuple[str, str]] = []


class Report(Command, tag="report"):
    """Tell everything counted since the last report, and count from zero."""


class End(Command, tag="end"):
    """End the process; so does the end of its input."""


Commands = Start | Kill | Pause | Resume | Reload | Links | Report | End


# Replies


class Arrival(NamedTuple):
    """When a front first took an event of the list."""

    generation: int
    number: int
    at_us: int  # CLOCK_BOOTTIME


class Traffic(msgspec.Struct):
    """Datagrams and the bytes in them, without UDP and IP headers."""

    datagrams: int = 0
    bytes: int = 0


class FrontReport(msgspec.Struct):
    """One front. What it cannot tell, as one that is not running, is None."""

    cpu_us: dict[Subsystem, int]
    sent: dict[Subsystem, Traffic]
    received: dict[Subsystem, Traffic]
    events: list[Arrival]
    doubled: int  # events that came again after they had been taken
    token: str | None = None  # 16 hexadecimal digits
    life: int | None = None  # starts of this instance so far
    live: int | None = None  # fronts that this one counts as alive, itself among them
    view: str | None = None  # digest of the set of those
    late: bool | None = None  # its list was confirmed longer ago than allowed
    age_us: int | None = None  # since the list service last confirmed its list
    role: str | None = None  # of its listing logic
    followers: int | None = None  # fronts that it sends events to
    number: int | None = None  # of the last event in its list
    generation: int | None = None
    said: dict[str, int] = {}  # log lines by event


class Dropped(msgspec.Struct):
    """Datagrams that the links' faults took, counted at the receiver."""

    loss: int = 0
    cut: int = 0


class ProcessReport(msgspec.Struct):
    """The whole process; `cpu_us` also holds what no front's subsystem is charged with."""

    cpu_us: int
    rss_bytes: int
    dropped: Dropped


class Reply(msgspec.Struct, omit_defaults=True):
    """The answer to one command. `fronts` and `process` answer a Report only."""

    ok: bool
    error: str = ""
    fronts: dict[str, FrontReport] | None = None
    process: ProcessReport | None = None


_encoder = msgspec.json.Encoder()
_commands = msgspec.json.Decoder(Commands)
_replies = msgspec.json.Decoder(Reply)
_configs = msgspec.json.Decoder(ProcessConfig)
_directories = msgspec.json.Decoder(Directory)


def encode(message):
    """One line, with its end, as bytes."""
    return _encoder.encode(message) + b"\n"


def _decoded(decoder, line):
    try:
        return decoder.decode(line)
    except (msgspec.DecodeError, UnicodeDecodeError) as flaw:
        raise BadLine(str(flaw)) from None


def decode_command(line):
    """The Command that a line holds; BadLine."""
    command = _decoded(_commands, line)
    if isinstance(command, Links) and not 0 <= command.loss <= 1:
        raise BadLine(f"loss: {command.loss} is no share from 0 to 1")
    return command


def decode_reply(line):
    """The Reply that a line holds; BadLine."""
    return _decoded(_replies, line)


def decode_config(data):
    """The ProcessConfig that a file holds; BadLine."""
    return _decoded(_configs, data)


def decode_directory(data):
    """The Directory that a file holds; BadLine."""
    return _decoded(_directories, data)
