"""Validates values in a JSON document; errors name the key by its path from the document's root."""

import math
from collections.abc import Mapping
from typing import Any, NamedTuple

MAX_SHOWN_CHARACTERS = 60  # longer values are truncated in error messages


class ConfigurationError(Exception):
    """The configuration is invalid. The message names the key, the value found and what is expected."""


class Number(NamedTuple):
    """The allowed range of a number. NaN and infinity are always rejected.

    Attributes:
        minimum: the smallest allowed value.
        exclusive: whether `minimum` itself is rejected.
        maximum: the largest allowed value.
        integer: whether the value must be an integer.
    """

    minimum: float = 0.0
    exclusive: bool = False
    maximum: float = math.inf
    integer: bool = False


Kind = type | Number | tuple[str, ...]
"""A constraint on a value: its type, a range of numbers, or the allowed words."""


def require(document: Mapping[str, Any], key: str, kind: Kind, default: Any = None, where: str = "") -> Any:
    """Return the value of a key after validating it.

    Args:
        document: a JSON object.
        key: the key.
        kind: the constraint on the value.
        default: the value if the key is missing; None if the key is required.
        where: the path of the object for error messages, "" or with a trailing dot.

    Raises:
        ConfigurationError: the value is missing or violates `kind`.
    """
    value = document.get(key, default)
    if value is None:
        raise ConfigurationError(f"{where}{key}: missing")
    return check_value(value, kind, where + key)


def check_value(value: Any, kind: Kind, path: str) -> Any:
    """Validate a value and return it.

    Raises:
        ConfigurationError: the value violates `kind`; the message begins with `path`.
    """
    found = f"{path}: {str(value)[:MAX_SHOWN_CHARACTERS]!r}"
    if isinstance(kind, Number):
        _check_number(value, kind, found)
    elif isinstance(kind, tuple):
        if value not in kind:
            raise ConfigurationError(f"{found}: expected one of {', '.join(kind)}")
    elif not isinstance(value, kind) or isinstance(value, bool) and kind is not bool:
        raise ConfigurationError(f"{found}: expected a value of type {kind.__name__}")
    return value


def _check_number(value: Any, kind: Number, found: str) -> None:
    if isinstance(value, bool) or not isinstance(value, (int, float)) or not math.isfinite(value):
        raise ConfigurationError(f"{found}: expected a finite number")
    too_small = value < kind.minimum or kind.exclusive and value == kind.minimum
    if too_small or value > kind.maximum:
        minimum = f"more than {kind.minimum:g}" if kind.exclusive else f"at least {kind.minimum:g}"
        maximum = f" and at most {kind.maximum:g}" if kind.maximum < math.inf else ""
        raise ConfigurationError(f"{found}: expected {minimum}{maximum}")
    if kind.integer and value != int(value):
        raise ConfigurationError(f"{found}: expected an integer")
