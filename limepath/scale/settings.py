"""The files of a scale run: settings, keys and store of each front, hollow or real, under one folder.

Tokens are drawn from the run's seed and written into each front's store beforehand, so that the same seed
gives the same relays. Keys of the settings that this program does not know are left out: the same run plays
an older text.
"""

import json
import os
from random import Random
from typing import NamedTuple

from limepath.configuration import ini
from limepath.configuration.peers_file import SCHEMA
from limepath.scale.control import FrontConfig, Place, ProcessConfig, encode
from limepath.store import Store
from limepath.testbed.duties import SETTINGS
from limepath.testbed.process import HOST

CALLS = 20  # a second at the list service, of the whole fleet
CONNECTIONS, READY = 100, 100  # a second, of the whole fleet: new ones at one cache, fronts that become ready
PROBES = 20_000_000  # microseconds between two probes of a cache, as in the cold start's drill
SEEDS, SEEDS_SHARE = 3, 20  # that a front is told of; a seed for so many fronts, so that none answers all
FAN_OUT = 4
BROKEN_WINDOW = 2_000_000  # microseconds
TOKEN_BITS = 63


class UnknownSetting(Exception):
    """This program has no such setting; the text names it."""


class Broken(NamedTuple):
    """What the fronts are told otherwise than the bounds are computed for, on purpose."""

    fan_out: int = 0
    window: int = 0  # microseconds


STATED = Broken()


class Addresses(NamedTuple):
    """Ports on loopback by front: where it listens for datagrams, where others reach it, where its clients
    do, and where it calls the list service.
    """

    listens: list[int]
    reached: list[int]
    clients: list[int]
    service: list[int]


def knows(key):
    """Whether this program has a key of [listing]."""
    return key in SCHEMA["listing"].keys


def broken_of(what, fronts):
    """The Broken of `--broken WHAT`; UnknownSetting where this program has nothing of the kind."""
    if not what:
        return Broken()
    if not knows(what):
        raise UnknownSetting(f"--broken {what}: this program has no [listing] {what}")
    key = SCHEMA["listing"].keys[what]  # no further off than the program takes it
    if what == "fan-out":
        return Broken(fan_out=min(fronts, key.maximum or fronts))
    return Broken(window=max(BROKEN_WINDOW, key.minimum or 0))


def span_lines(section, stretch, broken=STATED):
    """All spans of a section as this program has them where nothing is told, stretched; the window as it is
    broken on purpose.
    """
    lines = []
    for name, key in SCHEMA[section].keys.items():
        if key.unit == ini.DURATION:
            span = broken.window if name == "window" and broken.window else key.default
            lines.append(f"{name} = {span * stretch}us")
    return lines


def scoped_lines(place, broken):
    """The lines of [listing] that only a program with scopes knows; the fan-out as it is stated, or broken on
    purpose.
    """
    wanted = {"region": place.region, "site": place.site, "fan-out": broken.fan_out or FAN_OUT}
    return [f"{key} = {value}" for key, value in wanted.items() if knows(key)]


def by_pace(rate, stretch):
    """A whole rate a second, at least 1."""
    return max(1, rate // stretch)


def all_seeds(fronts):
    """The fleet's seeds, which lie apart evenly."""
    count = min(fronts, max(SEEDS, fronts // SEEDS_SHARE))
    return [number * fronts // count for number in range(count)]


def seeds_of(who, fronts):
    """The fronts that one is told of at first: of the fleet's seeds."""
    every = all_seeds(fronts)
    chosen = Random(f"seeds {who}").sample(every, min(SEEDS, len(every)))
    return [seed for seed in chosen if seed != who]


def peers_text(plan, addresses, who, keys, broken=STATED, stretch=1):
    """The peers.ini of one front."""
    place = plan.fronts[who]
    seeds = [f"{HOST}:{addresses.reached[seed]}" for seed in seeds_of(who, len(plan.fronts))]
    lines = [
        "[instance]",
        f"name = {place.name}",
        "store = peers.db",
        *(["control = peers.sock"] if who in plan.real else []),
        "[log]",
        "form = json",
        "[peers]",
        f"listen = {HOST}:{addresses.listens[who]}",
        f"advertise = {HOST}:{addresses.reached[who]}",
        f"seeds = {', '.join(seeds)}",
        f"keys = {keys}",
        *span_lines("peers", stretch),
        "[sharing]",
        *span_lines("sharing", stretch),
        "[duty probe]",
        f"interval = {PROBES * stretch}us",
        "[listing]",
        f"fronts = {len(plan.fronts)}",
        f"calls = {by_pace(CALLS, stretch)}",
        *span_lines("listing", stretch, broken),
        *scoped_lines(place, broken),
        "[caches]",
        f"connections = {by_pace(CONNECTIONS, stretch)}",
        f"ready = {by_pace(READY, stretch)}",
    ]
    return "\n".join(lines) + "\n"


def front_settings(plan, addresses, who, seed):
    """The front.json of one front, as plain values."""
    place = plan.fronts[who]
    return {
        "name": place.name,
        "listen": f"{HOST}:{addresses.clients[who]}",
        "seed": f"{seed * 10_000 + who:x}",
        "changelog": f"{HOST}:{addresses.service[who]}",
        "limits": {"memory_mb": 192, "sockets": max(1024, 4 * plan.sizes.caches), "leaving_ms": 300},
        "settings": SETTINGS | {"areas": list(plan.zones), "az": plan.zones.index(place.zone)},
        "known": {"seq": 0, "results": []},
    }


def tokens(plan, seed):
    """The token of each front, by index."""
    chance = Random(f"tokens {seed}")
    return [chance.getrandbits(TOKEN_BITS) for _ in plan.fronts]


def directory_of(plan, addresses):
    """The Directory of every address that datagrams come from or go to, of every front."""
    ports = zip(plan.fronts, addresses.listens, addresses.reached, strict=True)
    return {f"{HOST}:{port}": place for place, listens, reached in ports for port in {listens, reached}}


def write_private(path, text):
    with open(os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600), "w", encoding="utf-8") as file:
        file.write(text)


def write_store(path, token):
    store = Store(path)
    store.put({"token": b"%d" % token, "life": b"0"})
    store.close()


def write_fronts(folder, plan, addresses, seed, broken=STATED, stretch=1):
    """Write all fronts' files below the folder; give the peers.ini's path of each."""
    keys = os.path.join(folder, "peers.keys")
    write_private(keys, f"{Random(f'keys {seed}').getrandbits(256):064x}\n")
    paths = []
    for who, token in enumerate(tokens(plan, seed)):
        own = os.path.join(folder, plan.fronts[who].name)
        os.makedirs(own, exist_ok=True)
        text = peers_text(plan, addresses, who, keys, broken, stretch)
        write_private(os.path.join(own, "peers.ini"), text)
        settings = json.dumps(front_settings(plan, addresses, who, seed))
        write_private(os.path.join(own, "front.json"), settings)
        write_store(os.path.join(own, "peers.db"), token)
        paths.append(os.path.join(own, "peers.ini"))
    return paths


def write_processes(folder, plan, addresses, seed, logs=False):
    """Write the configuration of each hollow process; give their paths. `logs`: the fronts' log lines go to a
    file each process.
    """
    directory = os.path.join(folder, "directory.json")
    with open(directory, "wb") as file:
        file.write(encode(directory_of(plan, addresses)))
    paths = []
    for number, share in enumerate(plan.hollow):
        fronts = [front_config(folder, plan.fronts[who]) for who in share]
        log = os.path.join(folder, f"hollow-{number}.log") if logs else ""
        paths.append(os.path.join(folder, f"hollow-{number}.json"))
        with open(paths[-1], "wb") as file:
            file.write(encode(ProcessConfig(fronts, directory, 1000 * seed + number, log)))
    return paths


def front_config(folder, place: Place):
    own = os.path.join(folder, place.name)
    return FrontConfig(
        place.name,
        os.path.join(own, "peers.ini"),
        os.path.join(own, "front.json"),
        place.region,
        place.zone,
        place.site,
    )
