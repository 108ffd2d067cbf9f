"""Checks of values in a JSON document; an error names the key by its path from the document's root."""

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

MAX_SHOWN_CHARACTERS = 60  # of a value, in an error


class ConfigurationError(Exception):
    """The configuration cannot be used. The text names the key, what was found and what is expected."""


class Number(NamedTuple):
    """What a number may be. NaN and infinite numbers are never taken.

    Attributes:
        minimum: the least value.
        exclusive: whether the value must be over the minimum.
        maximum: the largest value.
        integer: whether the value must be whole.
    """

    minimum: float = 0.0
    exclusive: bool = False
    maximum: float = math.inf
    integer: bool = False


Kind = type | Number | tuple[str, ...]
"""What a value may be: of a type, a number within bounds, or one of some words."""


def require(document: Mapping[str, Any], key: str, kind: Kind, default: Any = None, where: str = "") -> Any:
    """Return the checked value at a key.

    Args:
        document: a JSON object.
        key: the key.
        kind: what the value may be.
        default: the value where the key is missing; None where it must not be missing.
        where: the path of the object, with a dot at its end, for errors.

    Raises:
        ConfigurationError: the value is missing or not of this kind.
    """
    value = document.get(key, default)
    if value is None:
        raise ConfigurationError(f"{where}{key}: missing")
    return check_value(value, kind, where + key)


def check_value(value: Any, kind: Kind, path: str) -> Any:
    """Return the value.

    Raises:
        ConfigurationError: it is not of this kind; the text begins with `path`.
    """
    found = f"{path}: {str(value)[:MAX_SHOWN_CHARACTERS]!r}"
    if isinstance(kind, Number):
        _check_number(value, kind, found)
    elif isinstance(kind, tuple):
        if value not in kind:
            raise ConfigurationError(f"{found} is none of {', '.join(kind)}")
    elif not isinstance(value, kind) or isinstance(value, bool) and kind is not bool:
        raise ConfigurationError(f"{found} is no {kind.__name__}")
    return value


def _check_number(value: Any, kind: Number, found: str) -> None:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise ConfigurationError(f"{found} is no number")
    too_small = value < kind.minimum or kind.exclusive and value == kind.minimum
    if too_small or value > kind.maximum:
        minimum = f"over {kind.minimum:g}" if kind.exclusive else f"{kind.minimum:g} or more"
        maximum = f" and {kind.maximum:g} at most" if kind.maximum < math.inf else ""
        raise ConfigurationError(f"{found} has to be {minimum}{maximum}")
    if kind.integer and value != int(value):
        raise ConfigurationError(f"{found} is no whole number")
