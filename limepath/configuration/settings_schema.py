"""What may stand in the settings of the platform's JSON (`settings`), as far as the front reads them.

A section is named by its path; `classes[].` stands for each entry of the list `classes`. Unknown keys are
taken and not read.
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
MODEL_INDEX = Number(-1, integer=True)  # into `models`; -1 where the site has none
FORBIDDEN_IN_NAMES = set("/?# ")  # a service's name stands in request targets

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
# Lists in `family-info` that have an entry for each service or zone, and what the entries may be.
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
    """Check the settings, as far as the front reads them.

    Raises:
        ConfigurationError: at the first key that cannot be used.
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
        raise ConfigurationError("settings.az: no place in settings.areas")
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
        raise ConfigurationError("settings.classes: there is none")
    names: set[str] = set()
    for number, entry in enumerate(services):
        path = f"settings.classes[{number}]"
        if not isinstance(entry, dict):
            raise ConfigurationError(f"{path}: {str(entry)[:MAX_SHOWN_CHARACTERS]!r} is no dict")
        _check_section(entry, "classes[].", f"classes[{number}].")
        name = entry["name"]
        if not name or set(name) & FORBIDDEN_IN_NAMES or name in names:
            raise ConfigurationError(
                f"{path}.name: {name!r} is empty, can't stand in a target or is there twice"
            )
        names.add(name)


def _check_lists(
    family: Mapping[str, Any], kinds: Mapping[str, Kind], entries: Sequence[Any], what: str
) -> None:
    """Check that lists of the family are empty or have one value for each entry of settings.`what`."""
    for key, kind in kinds.items():
        values = family.get(key, [])
        path = f"settings.family-info.{key}"
        if len(values) not in (0, len(entries)):
            raise ConfigurationError(f"{path}: {len(values)} entries for {len(entries)} of settings.{what}")
        for number, value in enumerate(values):
            check_value(value, kind, f"{path}[{number}]")


def _check_models(family: Mapping[str, Any], models: Sequence[Any]) -> None:
    """Check which models are the parents' and the origin's."""
    parent = family.get("mid-kind", -1)
    origin = family.get("master-kind", -1)
    for key, index in (("mid-kind", parent), ("master-kind", origin)):
        if index >= len(models):
            raise ConfigurationError(f"settings.family-info.{key}: no place in settings.models")
    if parent == origin != -1:
        raise ConfigurationError(
            "settings.family-info.mid-kind: the same as settings.family-info.master-kind"
        )
