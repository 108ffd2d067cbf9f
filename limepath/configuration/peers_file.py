"""What may stand in a peers file (deploy/peers.ini): the instance, its peers, leases, duties and the log."""

import os
from typing import NamedTuple

from limepath.configuration import ini
from limepath.configuration.ini import Key, Section, SettingError
from limepath.configuration.sharing_settings import (
    DiscoverySettings,
    DutyMode,
    DutySettings,
    LeaseSettings,
    MembershipTimeouts,
)
from limepath.log import FORMS

MODES = {"at-least-once": DutyMode.AT_LEAST_ONCE, "one-owner": DutyMode.ONE_OWNER}
KINDS = ("caches", "parents", "origin")
MS, SECOND = 1000, 1_000_000


def span(absent, least, most):
    return Key(ini.span, absent, least, most, "span")


FORM = {
    "instance": Section({"name": Key(ini.word), "store": Key(ini.path), "control": Key(ini.path, "")}, True),
    "log": Section({"form": Key(ini.one_of(*FORMS), FORMS[0])}),
    "peers": Section(
        {
            "listen": Key(ini.address),
            "advertise": Key(ini.address, None),
            "seeds": Key(ini.many(ini.address), ()),
            "keys": Key(ini.path),
            "period": span(SECOND, 100 * MS, 60 * SECOND),
            "direct": span(300 * MS, 20 * MS, 20 * SECOND),
            "indirect": Key(ini.whole, 3, 0, 8),
            "suspicion": Key(ini.whole, 4, 1, 20),
            "forget": span(3600 * SECOND, 10 * SECOND, 24 * 3600 * SECOND),
            "keys-reread": span(2 * SECOND, 100 * MS, 3600 * SECOND),
        },
        True,
    ),
    "leases": Section(
        {
            "voters": Key(ini.many(ini.word), ()),
            "span": span(3 * SECOND, 200 * MS, 600 * SECOND),
            "drift": Key(ini.share, 0.01, 0.0, 0.2),
            "slots": Key(ini.whole, 32, 1, 256),
        }
    ),
    "sharing": Section({"batch": span(250 * MS, 20 * MS, 10 * SECOND), "copies": Key(ini.whole, 2, 1, 10)}),
    "listing": Section(
        {
            "fronts": Key(ini.whole, ini.REQUIRED, 1, 10_000),
            "calls": Key(ini.whole, 20, 1, 10_000),
            "relays": Key(ini.whole, 2, 1, 8),
            "beat": span(500 * MS, 50 * MS, 10 * SECOND),
            "patience": span(1500 * MS, 150 * MS, 60 * SECOND),
            "silence": span(2500 * MS, 500 * MS, 60 * SECOND),
            "save": span(SECOND, 100 * MS, 60 * SECOND),
            "region": Key(ini.word, ""),
            "site": Key(ini.word, ""),
            "fan-out": Key(ini.whole, 4, 2, 16),
            "gather": span(250 * MS, 10 * MS, 5 * SECOND),
            "window": span(300 * SECOND, 10 * SECOND, 2 * 3600 * SECOND),
            "window-bytes": Key(ini.whole, 1_000_000, 10_000, 100_000_000),
        }
    ),
    "caches": Section(
        {"connections": Key(ini.whole, ini.REQUIRED, 1, 100_000), "ready": Key(ini.whole, 0, 0, 10_000)}
    ),
    "duty *": Section(
        {
            "mode": Key(ini.one_of(*MODES), "at-least-once"),
            "interval": span(5 * SECOND, 100 * MS, 24 * 3600 * SECOND),
            "targets": Key(ini.many(ini.one_of(*KINDS)), KINDS),
        }
    ),
}


class PeersSettings(NamedTuple):
    """Paths are resolved against the file's own folder."""

    file: str
    name: str
    store: str
    control: str
    form: str
    listen: tuple
    advertise: tuple
    seeds: tuple
    keys: str
    keys_reread: int
    spans: MembershipTimeouts
    leasing: LeaseSettings
    plans: tuple
    kinds: dict  # a duty's name to the kinds of its targets
    listing: DiscoverySettings = None  # None: each front follows the change log by itself
    connections: int = 0  # new ones a second at one member, of all fronts; 0 where no pace is kept


def read(file):
    """Give the PeersOpening that a file tells of; raise BadSetting with file, section and key."""
    told = ini.read(file, FORM)
    where = os.path.dirname(os.path.abspath(file))
    instance, peers, leases, sharing = (told[name] for name in ("instance", "peers", "leases", "sharing"))
    if peers["direct"] * 2 >= peers["period"]:
        raise SettingError(
            f"{file}: [peers] direct: twice this must be below period, so that others can be asked too"
        )
    duties = {
        name: values
        for (kind, name), values in ((key, values) for key, values in told.items() if isinstance(key, tuple))
        if kind == "duty"
    }
    plans = tuple(
        DutySettings(name, MODES[values["mode"]], values["interval"]) for name, values in duties.items()
    )
    for plan in plans:
        if plan.mode == DutyMode.ONE_OWNER and not leases["voters"]:
            raise SettingError(f"{file}: [leases] voters: missing; [duty {plan.name}] has mode one-owner")
    if len(leases["voters"]) > 15:
        raise SettingError(
            f"{file}: [leases] voters: at most 15 are wanted; others may own duties all the same"
        )
    if not plans:
        raise SettingError(f"{file}: [duty NAME]: missing; without a duty there is nothing to share")

    listing = told["listing"]
    if listing and listing["patience"] < 2 * listing["beat"]:
        raise SettingError(
            f"{file}: [listing] patience: at least twice beat is wanted, or one lost datagram passes for a "
            "silent relay"
        )
    if listing and listing["site"] and listing["gather"] > listing["beat"]:
        raise SettingError(f"{file}: [listing] gather: at most beat is wanted, or heartbeats outrun events")
    terms = listing and DiscoverySettings(
        "",
        listing["fronts"],
        float(listing["calls"]),
        *(listing[name] for name in ("relays", "beat", "patience", "silence", "save")),
        region=listing["region"],
        site=listing["site"],
        fan_out=listing["fan-out"],
        gather=listing["gather"],
        window=listing["window"],
        window_bytes=listing["window-bytes"],
    )
    caches = told["caches"]
    if caches and not terms:
        raise SettingError(f"{file}: [caches]: wants [listing] too, whose key fronts tells how many share")
    if caches:
        terms = terms._replace(ready=float(caches["ready"]))

    def resolved(path):
        return os.path.join(where, path) if path else ""

    return PeersSettings(
        str(file),
        instance["name"],
        resolved(instance["store"]),
        resolved(instance["control"]),
        told["log"]["form"],
        peers["listen"],
        peers["advertise"] or peers["listen"],
        peers["seeds"],
        resolved(peers["keys"]),
        peers["keys-reread"],
        MembershipTimeouts(
            period=peers["period"],
            direct=peers["direct"],
            indirect=peers["indirect"],
            suspicion=peers["suspicion"],
            forget=peers["forget"],
        ),
        LeaseSettings(
            voters=leases["voters"],
            span=leases["span"],
            drift=leases["drift"],
            slots=leases["slots"],
            batch=sharing["batch"],
            copies=sharing["copies"],
        ),
        plans,
        {name: values["targets"] for name, values in duties.items()},
        terms,
        caches["connections"] if caches else 0,
    )
