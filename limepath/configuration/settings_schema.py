"""The schema of `settings` in the platform's JSON, as far as the front reads them.

Sections are keyed by their path; `classes[].` is the path of every entry of the list `classes`. Unknown keys
are ignored.
"""

from collections.abc import Mapping, Sequence
from typing import Any

from limepath.configuration.decision_settings import (
    IDEMPOTENCY_BY_NAME,
    KEY_SCOPE_BY_NAME,
    LATERAL_BY_NAME,
)
from limepath.configuration.json_checks import (
    MAX_SHOWN_CHARACTERS,
    ConfigurationError,
    Kind,
    Number,
    check_value,
    require,
)

NON_NEGATIVE = Number()
POSITIVE = Number(exclusive=True)
COUNT = Number(1, integer=True)
FRACTION = Number(maximum=1.0)
MODEL_INDEX = Number(-1, integer=True)  # index into `models`; -1 if the site has no such model
FORBIDDEN_IN_NAMES = set("/?# ")  # because a service's name is a path segment of request targets

REQUIRED = {
    "": {
        "az": Number(integer=True),
        "replicas-of-me": COUNT,
        "areas": list,
        "models": list,
        "classes": list,
        "safety": dict,
    },
    "safety.": {"cold-share": FRACTION}
    | dict.fromkeys(("cold", "overload-factor", "tip-after", "answer-slack", "drain-grace"), NON_NEGATIVE),
    "classes[].": {
        "name": str,
        "aim": POSITIVE,
        "deadline": POSITIVE,
        "idempotency": tuple(IDEMPOTENCY_BY_NAME),
    },
}
OPTIONAL = {
    "": {"family-info": dict, "limits": dict, "stats": dict},
    "classes[].": {
        "aim-stretch": NON_NEGATIVE,
        "worth": NON_NEGATIVE,
        "late-worth": NON_NEGATIVE,
        "key-scope": tuple(KEY_SCOPE_BY_NAME),
        "repeat-window": NON_NEGATIVE,
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
        ("one-flow-kb-per-s", "heed-within", "gone-everywhere", "parent-cold", "upper-fall-multiple"),
        NON_NEGATIVE,
    )
    | {
        "parent-floor": FRACTION,
        "mid-kind": MODEL_INDEX,
        "master-kind": MODEL_INDEX,
        "lateral": tuple(LATERAL_BY_NAME),
        "direct": bool,
        "shares-fills": bool,
    },
    "limits.": {
        "max-attempts": COUNT,
        "max-open": COUNT,
        "streams-per-conn": COUNT,
        "connect-timeout": POSITIVE,
        "conn-idle": POSITIVE,
        "max-retry-after": NON_NEGATIVE,
    }
    | dict.fromkeys(("cancel", "probing", "peers", "retry-after", "second-copies"), bool),
    "stats.": {"fields": list},
}
# Constraints on the entries of the lists in `family-info` that have one entry for each service or zone.
PER_SERVICE = dict.fromkeys(("max-age", "class-grace"), NON_NEGATIVE) | {
    "class-stale-worth": NON_NEGATIVE,
    "never-kept": bool,
    "segmented": bool,
}
PER_ZONE = {
    "hub-of": Number(-1, integer=True),
    "pipe-kb-per-s": NON_NEGATIVE,
    "zone-balancers": Number(integer=True),
}


def check_settings(settings: Mapping[str, Any]) -> None:
    """Validate the settings that the front reads.

    Raises:
        ConfigurationError: describes the first invalid key.
    """
    _check_section(settings, "")
    for key in ("safety", "family-info", "limits", "stats"):
        _check_section(settings.get(key, {}), key + ".")
    services = settings["classes"]
    family = settings.get("family-info", {})
    _check_services(services)
    _check_lists(family, PER_SERVICE, services, "classes")
    _check_lists(family, PER_ZONE, settings["areas"], "areas")
    if settings["az"] >= len(settings["areas"]):
        raise ConfigurationError(f"settings.az: {settings['az']}: expected an index into settings.areas")
    _check_models(family, settings["models"])


def _check_section(values: Mapping[str, Any], section: str, where: str | None = None) -> None:
    path = "settings." + (where or section)
    for key, kind in REQUIRED.get(section, {}).items():
        require(values, key, kind, where=path)
    for key, kind in OPTIONAL.get(section, {}).items():
        if key in values:
            require(values, key, kind, where=path)


def _check_services(services: Sequence[Any]) -> None:
    if not services:
        raise ConfigurationError("settings.classes: expected at least one entry")
    names: set[str] = set()
    for number, entry in enumerate(services):
        path = f"settings.classes[{number}]"
        if not isinstance(entry, dict):
            raise ConfigurationError(f"{path}: {str(entry)[:MAX_SHOWN_CHARACTERS]!r}: expected an object")
        _check_section(entry, "classes[].", f"classes[{number}].")
        name = entry["name"]
        if not name or set(name) & FORBIDDEN_IN_NAMES or name in names:
            raise ConfigurationError(
                f"{path}.name: {name!r}: expected a unique name without '/', '?', '#' and spaces"
            )
        names.add(name)


def _check_lists(
    family: Mapping[str, Any], kinds: Mapping[str, Kind], entries: Sequence[Any], what: str
) -> None:
    """Check that lists in `family-info` are empty or have one value for each entry of settings.`what`."""
    for key, kind in kinds.items():
        values = family.get(key, [])
        path = f"settings.family-info.{key}"
        if len(values) not in (0, len(entries)):
            raise ConfigurationError(
                f"{path}: {len(values)} entries; expected {len(entries)} as in settings.{what}"
            )
        for number, value in enumerate(values):
            check_value(value, kind, f"{path}[{number}]")


def _check_models(family: Mapping[str, Any], models: Sequence[Any]) -> None:
    """Check the indexes of the parents' model and the origin's model."""
    parent = family.get("mid-kind", -1)
    origin = family.get("master-kind", -1)
    for key, index in (("mid-kind", parent), ("master-kind", origin)):
        if index >= len(models):
            raise ConfigurationError(
                f"settings.family-info.{key}: {index}: expected an index into settings.models"
            )
    if parent == origin != -1:
        raise ConfigurationError(
            "settings.family-info.mid-kind: expected another index than settings.family-info.master-kind"
        )
