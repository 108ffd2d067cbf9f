"""The configuration: read, checked and given defaults here and nowhere else."""

import json
import math
from typing import NamedTuple

from limepath.configuration import decision_settings
from limepath.configuration.addresses import address_of
from limepath.configuration.decision_settings import LATERAL, REPEATS, SCOPES
from limepath.configuration.process_limits import Limits, available_descriptors, plan_limits

NAME, LISTEN, CONFIGURATION = "ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_CONFIG"
FIXED = ("name", "listen", "seed", "settings", "limits")  # `known` is of the start, the log tells more


class Number(NamedTuple):
    """What a number may be; none may be infinite, and NaN is none."""

    least: float = 0.0
    over: bool = False  # it has to be over the least
    most: float = math.inf
    whole: bool = False


ANY, SOME, COUNT, SHARE = Number(), Number(over=True), Number(1, whole=True), Number(most=1.0)
# The protocol page: SIGKILL comes no sooner than the longest deadline, 3 s of it at most, and 0.7 s after
# SIGTERM.
LONGEST_WAITED_FOR = 3_000_000
LAST_ANSWER_AFTER = 600_000
# Requests come for 0.6 s after SIGTERM; a front on a busy core takes them for longer where the kill leaves
# time for that, and no more a while before the last answer.
REQUESTS_COME = 601_000
TAKEN_AT_MOST = 1_200_000
CLOSED_BEFORE_LAST_ANSWER = 100_000
KIND = Number(-1, whole=True)  # a place in `models`; -1 where the site has none
NEEDED = {
    "": {
        "az": Number(whole=True),
        "replicas-of-me": COUNT,
        "areas": list,
        "models": list,
        "classes": list,
        "safety": dict,
    },
    "safety.": {"cold-share": SHARE}
    | dict.fromkeys(("cold", "overload-factor", "tip-after", "answer-slack", "drain-grace"), ANY),
    "classes[].": {"name": str, "aim": SOME, "deadline": SOME, "idempotency": tuple(REPEATS)},
}
OPTIONAL = {
    "": {"family-info": dict, "limits": dict, "stats": dict},
    "classes[].": {
        "aim-stretch": ANY,
        "worth": ANY,
        "late-worth": ANY,
        "key-scope": tuple(SCOPES),
        "repeat-window": ANY,
        "stream": bool,
    },
    "family-info.": dict.fromkeys(
        (
            "hub-of",
            "pipe-kb-per-s",
            "zone-balancers",
            "max-age",
            "class-grace",
            "class-stale-worth",
            "never-kept",
            "segmented",
        ),
        list,
    )
    | dict.fromkeys(
        ("one-flow-kb-per-s", "heed-within", "gone-everywhere", "parent-cold", "upper-fall-multiple"), ANY
    )
    | {
        "parent-floor": SHARE,
        "mid-kind": KIND,
        "master-kind": KIND,
        "lateral": tuple(LATERAL),
        "direct": bool,
        "shares-fills": bool,
    },
    "limits.": {
        "max-attempts": COUNT,
        "max-open": COUNT,
        "streams-per-conn": COUNT,
        "connect-timeout": SOME,
        "conn-idle": SOME,
        "max-retry-after": ANY,
    }
    | dict.fromkeys(("cancel", "probing", "peers", "retry-after", "second-copies"), bool),
    "stats.": {"fields": list},
}
# lists of the family, by what they have an entry for, and what the entries may be
PER_CLASS = dict.fromkeys(("max-age", "class-grace"), ANY) | {
    "class-stale-worth": ANY,
    "never-kept": bool,
    "segmented": bool,
}
PER_ZONE = {"hub-of": Number(-1, whole=True), "pipe-kb-per-s": ANY, "zone-balancers": Number(whole=True)}


class ConfigurationError(Exception):
    """Its text names the faulty key."""


class FrontSettings(NamedTuple):
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
    """The value at this key, which has to be of this kind: a type, a Number, or one of the words of a
    tuple.
    """
    value = told.get(key, default)
    if value is None:
        raise ConfigurationError(f"{where}{key}: missing")
    return checked(value, kind, where + key)


def checked(value, kind, name):
    shown = f"{name}: {str(value)[:60]!r}"
    if isinstance(kind, tuple) and not isinstance(kind, Number):
        if value not in kind:
            raise ConfigurationError(f"{shown} is none of {', '.join(kind)}")
    elif isinstance(kind, Number):
        if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
            raise ConfigurationError(f"{shown} is no number")
        if value < kind.least or kind.over and value == kind.least or value > kind.most:
            least = f"over {kind.least:g}" if kind.over else f"{kind.least:g} or more"
            raise ConfigurationError(
                f"{shown} has to be {least}" + (f" and {kind.most:g} at most" if kind.most < math.inf else "")
            )
        if kind.whole and value != int(value):
            raise ConfigurationError(f"{shown} is no whole number")
    elif not isinstance(value, kind) or isinstance(value, bool) and kind is not bool:
        raise ConfigurationError(f"{shown} is no {kind.__name__}")
    return value


def check(told, section, where=None):
    where = "settings." + (where or section)
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
    classes, family = settings["classes"], settings.get("family-info", {})
    if not classes:
        raise ConfigurationError("settings.classes: there is none")
    for number, entry in enumerate(classes):
        if not isinstance(entry, dict):
            raise ConfigurationError(f"settings.classes[{number}]: {str(entry)[:60]!r} is no dict")
        check(entry, "classes[].", f"classes[{number}].")
        name = entry["name"]
        if not name or set(name) & set("/?# ") or name in [other["name"] for other in classes[:number]]:
            raise ConfigurationError(
                f"settings.classes[{number}].name: {name!r} is empty, can't stand in a target or "
                "is there twice"
            )
    for lists, entries, what in ((PER_CLASS, classes, "classes"), (PER_ZONE, settings["areas"], "areas")):
        for key, kind in lists.items():
            told = family.get(key, [])
            if len(told) not in (0, len(entries)):
                raise ConfigurationError(
                    f"settings.family-info.{key}: {len(told)} entries for {len(entries)} of settings.{what}"
                )
            for number, value in enumerate(told):
                checked(value, kind, f"settings.family-info.{key}[{number}]")
    if settings["az"] >= len(settings["areas"]):
        raise ConfigurationError("settings.az: no place in settings.areas")
    for key in ("mid-kind", "master-kind"):
        if family.get(key, -1) >= len(settings["models"]):
            raise ConfigurationError(f"settings.family-info.{key}: no place in settings.models")
    if family.get("mid-kind", -1) == family.get("master-kind", -1) != -1:
        raise ConfigurationError(
            "settings.family-info.mid-kind: the same as settings.family-info.master-kind"
        )


def address(told, key, default=None):
    text = part(told, key, str, default)
    try:
        return address_of(text)
    except ValueError:
        raise ConfigurationError(f"{key}: {text!r} is no address with a port") from None


def read(environ):
    """Give the Opening that the environment and the file it names tell of."""
    path = environ.get(CONFIGURATION)
    if not path:
        raise ConfigurationError(f"{CONFIGURATION}: missing from the environment")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except OSError as error:
        raise ConfigurationError(f"{CONFIGURATION}: {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigurationError(f"{CONFIGURATION}: {path}: no JSON: {error}") from None
    if not isinstance(told, dict):
        raise ConfigurationError(f"{CONFIGURATION}: {path}: no JSON object")
    return front_settings(told, environ)


def read_again(environ, running):
    """Give the change log's address as the file names it now, and the keys that differ from those of the
    running front but can't change in it."""
    told = read(environ)
    return told.changelog, [key for key in FIXED if getattr(told, key) != getattr(running, key)]


def front_settings(told, environ):
    seed = part(told, "seed", str)
    try:
        seed = int(seed, 16)
    except ValueError:
        raise ConfigurationError(f"seed: {seed!r} is no hexadecimal number") from None
    settings = part(told, "settings", dict)
    known = part(told, "known", dict, {"seq": 0, "results": []})
    part(known, "seq", Number(whole=True), where="known.")
    part(known, "results", list, where="known.")
    check_settings(settings)
    try:
        arguments = decision_settings.start_of(settings)
        services = {
            entry["name"].encode(): (
                i,
                arguments["services"][i].uncacheable,
                arguments["services"][i].deadline * 2,
            )
            for i, entry in enumerate(settings["classes"])
        }
    except KeyError as error:
        raise ConfigurationError(f"settings: {error} is an unknown value") from None
    except (TypeError, ValueError, AttributeError, IndexError) as error:
        raise ConfigurationError(f"settings: {error}") from None
    machine = part(told, "limits", dict, {})
    sockets = available_descriptors(int(part(machine, "sockets", COUNT, 1024, "limits.")))
    memory_mb = int(part(machine, "memory_mb", COUNT, 192, "limits."))
    longest = max(one.deadline for one in arguments["services"])
    last_answer = min(longest, LONGEST_WAITED_FOR) + LAST_ANSWER_AFTER
    told_last = part(machine, "last_answer_ms", Number(whole=True), last_answer // 1000, "limits.")
    taken = min(TAKEN_AT_MOST, max(REQUESTS_COME, int(told_last) * 1000 - CLOSED_BEFORE_LAST_ANSWER))
    drain_period = int(part(machine, "leaving_ms", Number(whole=True), taken // 1000, "limits.")) * 1000
    allowed = settings.get("limits", {})
    us = decision_settings.us
    connect, grace = us(allowed.get("connect-timeout", 400_000_000)), arguments["grace"]
    limits = plan_limits(
        sockets,
        memory_mb,
        allowed.get("streams-per-conn", 1),
        open_requests=allowed.get("max-open", 20_000),
        drain_period=drain_period,
        last_answer=int(told_last) * 1000,
        last_call=longest,
        connect=connect,
        overload_retry_after=arguments["allowance"].max_retry_after // 10,
        wait=min(connect, grace.drain, grace.purge or connect),
        cache_idle=us(allowed.get("conn-idle", 30_000_000_000)) * 8 // 10,
    )
    return FrontSettings(
        environ.get(NAME) or part(told, "name", str, "front"),
        address(told, "listen", environ.get(LISTEN)),
        seed,
        address(told, "changelog"),
        known,
        settings,
        arguments,
        services,
        bool(decision_settings.load_fields(settings)),
        limits,
    )
