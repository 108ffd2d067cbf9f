"""The configuration: read, checked and given defaults here and nowhere else."""

import json
from typing import NamedTuple

from limepath import opening_values
from limepath.opening.addresses import address_of
from limepath.opening.limits import Limits, planned

NAME, LISTEN, CONFIGURATION = "ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_CONFIG"
NUMBER = (int, float)
FIXED = ("name", "listen", "seed", "settings", "limits")  # `known` is of the start, the log tells more
NEEDED = {"": {"az": int, "replicas-of-me": int, "areas": list, "models": list, "classes": list,
               "safety": dict},
          "safety.": dict.fromkeys(("cold-share", "cold", "overload-factor", "tip-after", "answer-slack",
                                    "drain-grace"), NUMBER),
          "classes[].": {"name": str, "aim": NUMBER, "deadline": NUMBER, "idempotency": str}}
OPTIONAL = {"": {"family-info": dict, "limits": dict, "stats": dict},
            "classes[].": {"aim-stretch": NUMBER, "worth": NUMBER, "late-worth": NUMBER, "key-scope": str,
                           "repeat-window": NUMBER},
            "family-info.": dict.fromkeys(
                ("hub-of", "pipe-kb-per-s", "zone-balancers", "max-age", "class-grace", "class-stale-worth",
                 "never-kept", "segmented"), list) | dict.fromkeys(
                ("mid-kind", "master-kind", "one-flow-kb-per-s", "heed-within", "gone-everywhere",
                 "parent-floor", "parent-cold", "upper-fall-multiple"), NUMBER),
            "limits.": dict.fromkeys(("max-attempts", "max-retry-after", "max-open", "streams-per-conn",
                                      "connect-timeout", "conn-idle"), NUMBER),
            "stats.": {"fields": list}}


class BadConfiguration(Exception):
    """Its text names the faulty key."""


class Opening(NamedTuple):
    name: str
    listen: tuple
    seed: int
    changelog: tuple
    known: dict
    settings: dict
    arguments: dict
    services: dict
    reports: bool
    limits: Limits


def part(told, key, kind, default=None, where=""):
    value = told.get(key, default)
    if value is None:
        raise BadConfiguration(f"{where}{key}: missing")
    if not isinstance(value, kind) or isinstance(value, bool):
        name = "number" if kind is NUMBER else kind.__name__
        raise BadConfiguration(f"{where}{key}: {str(value)[:60]!r} is no {name}")
    return value


def check(told, section):
    where = "settings." + section
    for key, kind in NEEDED.get(section, {}).items():
        part(told, key, kind, where=where)
    for key, kind in OPTIONAL.get(section, {}).items():
        if key in told:
            part(told, key, kind, where=where)


def check_settings(settings):
    """Name the faulty key of the settings, as far as the front reads them."""
    check(settings, "")
    for key in ("safety", "family-info", "limits", "stats"):
        check(settings.get(key, {}), key + ".")
    for entry in settings["classes"]:
        if not isinstance(entry, dict):
            raise BadConfiguration("settings.classes: an entry is no object")
        check(entry, "classes[].")
    if not 0 <= settings["az"] < len(settings["areas"]):
        raise BadConfiguration("settings.az: no place in settings.areas")


def address(told, key, default=None):
    text = part(told, key, str, default)
    try:
        return address_of(text)
    except ValueError:
        raise BadConfiguration(f"{key}: {text!r} is no address with a port") from None


def read(environ):
    """Give the Opening that the environment and the file it names tell of."""
    path = environ.get(CONFIGURATION)
    if not path:
        raise BadConfiguration(f"{CONFIGURATION}: missing from the environment")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except OSError as flaw:
        raise BadConfiguration(f"{CONFIGURATION}: {path}: {flaw.strerror}") from None
    except ValueError as flaw:
        raise BadConfiguration(f"{CONFIGURATION}: {path}: no JSON: {flaw}") from None
    if not isinstance(told, dict):
        raise BadConfiguration(f"{CONFIGURATION}: {path}: no JSON object")
    return opening_of(told, environ)


def read_again(environ, running):
    """Give the change log's address as the file names it now, and the keys that differ from those of the
    running front but can't change in it."""
    told = read(environ)
    return told.changelog, [key for key in FIXED if getattr(told, key) != getattr(running, key)]


def opening_of(told, environ):
    seed = part(told, "seed", str)
    try:
        seed = int(seed, 16)
    except ValueError:
        raise BadConfiguration(f"seed: {seed!r} is no hexadecimal number") from None
    settings = part(told, "settings", dict)
    known = part(told, "known", dict, {"seq": 0, "results": []})
    part(known, "seq", int, where="known.")
    part(known, "results", list, where="known.")
    check_settings(settings)
    try:
        arguments = opening_values.start_of(settings)
        services = {entry["name"].encode(): (i, arguments["services"][i].uncacheable,
                                             arguments["services"][i].viewer_timeout * 2)
                    for i, entry in enumerate(settings["classes"])}
    except KeyError as flaw:
        raise BadConfiguration(f"settings: {flaw} is an unknown value") from None
    except (TypeError, ValueError, AttributeError, IndexError) as flaw:
        raise BadConfiguration(f"settings: {flaw}") from None
    machine = part(told, "limits", dict, {})
    sockets = part(machine, "sockets", int, 1024, "limits.")
    memory_mb = part(machine, "memory_mb", int, 192, "limits.")
    leaving = part(machine, "leaving_ms", int, 1200, "limits.") * 1000
    allowed = settings.get("limits", {})
    us = opening_values.us
    connect, grace = us(allowed.get("connect-timeout", 400_000_000)), arguments["grace"]
    limits = planned(sockets, memory_mb, allowed.get("streams-per-conn", 1),
                     open_gets=allowed.get("max-open", 20_000),
                     leaving=leaving, last_call=max(one.viewer_timeout for one in arguments["services"]), connect=connect, come_back=arguments["allowance"].come_back // 10,
                     wait=min(connect, grace.drain, grace.purge or connect),
                     cache_idle=us(allowed.get("conn-idle", 30_000_000_000)) * 8 // 10)
    return Opening(environ.get(NAME) or part(told, "name", str, "front"),
                   address(told, "listen", environ.get(LISTEN)), seed, address(told, "changelog"), known,
                   settings, arguments, services, bool(opening_values.load_fields(settings)), limits)
