"""The configuration: read, checked and given defaults here and nowhere else."""

import json
from typing import NamedTuple

from limepath import opening_values
from limepath.front.changelog import address_of
from limepath.front.limits import Limits, planned

NAME, LISTEN, CONFIG = "ROUTER_NAME", "ROUTER_LISTEN", "ROUTER_CONFIG"


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
        raise BadConfiguration(f"{where}{key}: {value!r} is no {kind.__name__}")
    return value


def address(told, key, default=None):
    text = part(told, key, str, default)
    try:
        return address_of(text)
    except ValueError:
        raise BadConfiguration(f"{key}: {text!r} is no address with a port") from None


def read(environ):
    """Give the Opening that the environment and the file it names tell of."""
    path = environ.get(CONFIG)
    if not path:
        raise BadConfiguration(f"{CONFIG}: missing from the environment")
    try:
        with open(path, encoding="utf-8") as file:
            told = json.load(file)
    except OSError as flaw:
        raise BadConfiguration(f"{CONFIG}: {path}: {flaw.strerror}") from None
    except ValueError as flaw:
        raise BadConfiguration(f"{CONFIG}: {path}: no JSON: {flaw}") from None
    if not isinstance(told, dict):
        raise BadConfiguration(f"{CONFIG}: {path}: no JSON object")
    return opening_of(told, environ)


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
    try:
        arguments = opening_values.start_of(settings)
        services = {entry["name"].encode(): (i, arguments["services"][i].uncacheable)
                    for i, entry in enumerate(settings["classes"])}
        for key in ("areas", "models"):
            part(settings, key, list, where="settings.")
    except KeyError as flaw:
        raise BadConfiguration(f"settings: key {flaw} missing, or its value unknown") from None
    except (TypeError, ValueError, AttributeError, IndexError) as flaw:
        raise BadConfiguration(f"settings: {flaw}") from None
    sockets = part(part(told, "limits", dict, {}), "sockets", int, 1024, "limits.")
    allowed = settings.get("limits", {})
    us = opening_values.us
    members = max((len(event["fleet"]["members"]) for event in known["results"] if "fleet" in event), default=20)
    limits = planned(sockets, allowed.get("streams-per-conn", 1), members,
                     open_gets=allowed.get("max-open", 20_000),
                     connect=us(allowed.get("connect-timeout", 400_000_000)),
                     cache_idle=us(allowed.get("conn-idle", 30_000_000_000)) * 8 // 10)
    return Opening(environ.get(NAME) or part(told, "name", str, "front"),
                   address(told, "listen", environ.get(LISTEN)), seed, address(told, "changelog"), known,
                   settings, arguments, services, bool(opening_values.load_fields(settings)), limits)
