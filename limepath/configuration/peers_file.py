"""Reads the peers file (deploy/peers.ini): the instance, members, leases, endpoint list, duties and log.

`SCHEMA` defines its sections and keys. `read` also checks constraints between keys and between sections.
"""

import os
from collections.abc import Mapping
from typing import NamedTuple

from limepath.configuration import ini
from limepath.configuration.ini import Key, Section, SettingError, Settings, Values, duration
from limepath.configuration.sharing_settings import (
    DiscoverySettings,
    DutyMode,
    DutySettings,
    LeaseSettings,
    MembershipTimeouts,
)
from limepath.log import LOG_FORMATS

MODES = {"at-least-once": DutyMode.AT_LEAST_ONCE, "one-owner": DutyMode.ONE_OWNER}
KINDS = ("caches", "parents", "origin")
MAX_VOTERS = 15
MS = 1000  # microseconds
SECOND = 1_000_000
HOUR = 3600 * SECOND

Address = tuple[str, int]  # host and port


SCHEMA = {
    "instance": Section(
        {"name": Key(ini.parse_name), "store": Key(ini.parse_path), "control": Key(ini.parse_path, "")}, True
    ),
    "log": Section({"form": Key(ini.choice_parser(*LOG_FORMATS), LOG_FORMATS[0])}),
    "peers": Section(
        {
            "listen": Key(ini.parse_address),
            "advertise": Key(ini.parse_address, None),
            "seeds": Key(ini.list_parser(ini.parse_address), ()),
            "keys": Key(ini.parse_path),
            "period": duration(SECOND, 100 * MS, 60 * SECOND),
            "direct": duration(300 * MS, 20 * MS, 20 * SECOND),
            "indirect": Key(ini.parse_integer, 3, 0, 8),
            "suspicion": Key(ini.parse_integer, 4, 1, 20),
            "forget": duration(HOUR, 10 * SECOND, 24 * HOUR),
            "keys-reread": duration(2 * SECOND, 100 * MS, HOUR),
        },
        True,
    ),
    "leases": Section(
        {
            "voters": Key(ini.list_parser(ini.parse_name), ()),
            "span": duration(3 * SECOND, 200 * MS, 600 * SECOND),
            "drift": Key(ini.parse_fraction, 0.01, 0.0, 0.2),
            "slots": Key(ini.parse_integer, 32, 1, 256),
        }
    ),
    "sharing": Section(
        {"batch": duration(250 * MS, 20 * MS, 10 * SECOND), "copies": Key(ini.parse_integer, 2, 1, 10)}
    ),
    "listing": Section(
        {
            "fronts": Key(ini.parse_integer, ini.REQUIRED, 1, 10_000),
            "calls": Key(ini.parse_integer, 20, 1, 10_000),
            "relays": Key(ini.parse_integer, 2, 1, 8),
            "beat": duration(500 * MS, 50 * MS, 10 * SECOND),
            "patience": duration(1500 * MS, 150 * MS, 60 * SECOND),
            "silence": duration(2500 * MS, 500 * MS, 60 * SECOND),
            "save": duration(SECOND, 100 * MS, 60 * SECOND),
            "region": Key(ini.parse_name, ""),
            "site": Key(ini.parse_name, ""),
            "fan-out": Key(ini.parse_integer, 4, 2, 16),
            "gather": duration(250 * MS, 10 * MS, 5 * SECOND),
            "window": duration(300 * SECOND, 10 * SECOND, 2 * HOUR),
            "window-bytes": Key(ini.parse_integer, 1_000_000, 10_000, 100_000_000),
        }
    ),
    "caches": Section(
        {
            "connections": Key(ini.parse_integer, ini.REQUIRED, 1, 100_000),
            "ready": Key(ini.parse_integer, 0, 0, 10_000),
        }
    ),
    "duty *": Section(
        {
            "mode": Key(ini.choice_parser(*MODES), "at-least-once"),
            "interval": duration(5 * SECOND, 100 * MS, 24 * HOUR),
            "targets": Key(ini.list_parser(ini.choice_parser(*KINDS)), KINDS),
        }
    ),
}


class PeersSettings(NamedTuple):
    """The settings in a peers file. Relative paths are resolved against the file's directory.

    Attributes:
        file: the path of the peers file.
        name: the name of this instance.
        store: the path of this instance's store.
        control: the path of this instance's control socket, or "" for none.
        form: the format of log lines, one of `limepath.log.LOG_FORMATS`.
        listen: the address on which this instance receives datagrams.
        advertise: the address to which other instances send datagrams.
        seeds: addresses of instances to contact for joining the group.
        keys: the path of the keys file.
        keys_reread: the interval between checks whether the keys file has changed, in microseconds.
        spans: timeouts and intervals of the membership.
        leasing: settings of leases and of shared results.
        plans: the settings of the duties.
        kinds: the kinds of targets of each duty, by the duty's name.
        listing: settings of the endpoint list; None if each front follows the change log by itself.
        connections: new connections per second to one endpoint from all fronts; 0 for no limit.
    """

    file: str
    name: str
    store: str
    control: str
    form: str
    listen: Address
    advertise: Address
    seeds: tuple[Address, ...]
    keys: str
    keys_reread: int
    spans: MembershipTimeouts
    leasing: LeaseSettings
    plans: tuple[DutySettings, ...]
    kinds: dict[str, tuple[str, ...]]
    listing: DiscoverySettings | None = None
    connections: int = 0


def read(file: str) -> PeersSettings:
    """Read and validate a peers file, without reading the files that it names.

    Raises:
        SettingError: the file is invalid. The message names file, section and key.
    """
    sections = ini.read_file(file, SCHEMA)
    instance = sections["instance"]
    peers = sections["peers"]
    duties = _duty_sections(sections)
    plans = _duties(duties)
    timeouts = _membership_timeouts(peers, file)
    leases = _leases(sections["leases"], sections["sharing"], plans, file)
    discovery = _discovery(sections["listing"], file)
    if caches := sections["caches"]:
        discovery = _with_readiness(discovery, caches, file)
    folder = os.path.dirname(os.path.abspath(file))
    return PeersSettings(
        file=str(file),
        name=instance["name"],
        store=_resolve(folder, instance["store"]),
        control=_resolve(folder, instance["control"]),
        form=sections["log"]["form"],
        listen=peers["listen"],
        advertise=peers["advertise"] or peers["listen"],
        seeds=peers["seeds"],
        keys=_resolve(folder, peers["keys"]),
        keys_reread=peers["keys-reread"],
        spans=timeouts,
        leasing=leases,
        plans=plans,
        kinds={name: duty["targets"] for name, duty in duties.items()},
        listing=discovery,
        connections=caches["connections"] if caches else 0,
    )


def _resolve(folder: str, path: str) -> str:
    return os.path.join(folder, path) if path else ""


def _duty_sections(sections: Settings) -> dict[str, Values]:
    """Return the values of the sections [duty NAME] by name."""
    named = {section: values for section, values in sections.items() if isinstance(section, tuple)}
    return {name: values for (kind, name), values in named.items() if kind == "duty"}


def _duties(sections: Mapping[str, Values]) -> tuple[DutySettings, ...]:
    return tuple(DutySettings(name, MODES[duty["mode"]], duty["interval"]) for name, duty in sections.items())


def _membership_timeouts(peers: Values, file: str) -> MembershipTimeouts:
    if peers["direct"] * 2 >= peers["period"]:
        raise SettingError(
            f"{file}: [peers] direct: expected less than half of period, which leaves time for indirect pings"
        )
    return MembershipTimeouts(
        period=peers["period"],
        direct=peers["direct"],
        indirect=peers["indirect"],
        suspicion=peers["suspicion"],
        forget=peers["forget"],
    )


def _leases(leases: Values, sharing: Values, duties: tuple[DutySettings, ...], file: str) -> LeaseSettings:
    for duty in duties:
        if duty.mode == DutyMode.ONE_OWNER and not leases["voters"]:
            raise SettingError(
                f"{file}: [leases] voters: missing; required by mode one-owner of [duty {duty.name}]"
            )
    if len(leases["voters"]) > MAX_VOTERS:
        raise SettingError(
            f"{file}: [leases] voters: expected at most {MAX_VOTERS}; other instances can own duties too"
        )
    if not duties:
        raise SettingError(f"{file}: [duty NAME]: missing; expected at least one duty")
    return LeaseSettings(
        voters=leases["voters"],
        span=leases["span"],
        drift=leases["drift"],
        slots=leases["slots"],
        batch=sharing["batch"],
        copies=sharing["copies"],
    )


def _discovery(listing: Values | None, file: str) -> DiscoverySettings | None:
    if not listing:
        return None
    if listing["patience"] < 2 * listing["beat"]:
        raise SettingError(
            f"{file}: [listing] patience: expected at least twice beat, or the loss of one datagram would "
            "count as a failed relay"
        )
    if listing["site"] and listing["gather"] > listing["beat"]:
        raise SettingError(
            f"{file}: [listing] gather: expected at most beat, or heartbeats would overtake events"
        )
    return DiscoverySettings(
        fronts=listing["fronts"],
        rate=float(listing["calls"]),
        relays=listing["relays"],
        beat=listing["beat"],
        heartbeat_timeout=listing["patience"],
        stream_timeout=listing["silence"],
        save_interval=listing["save"],
        region=listing["region"],
        site=listing["site"],
        fan_out=listing["fan-out"],
        gather=listing["gather"],
        window=listing["window"],
        window_bytes=listing["window-bytes"],
    )


def _with_readiness(discovery: DiscoverySettings | None, caches: Values, file: str) -> DiscoverySettings:
    if not discovery:
        raise SettingError(
            f"{file}: [caches]: requires [listing] fronts, the number of fronts that share the rate"
        )
    return discovery._replace(ready=float(caches["ready"]))
