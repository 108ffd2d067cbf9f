"""INI files, read and checked: each value of a type, in a range; what is unknown is refused with a near name.

A form is a mapping of section name to `Section`. A section that may stand many times, each with a name of its
own, is `"duty *"`. Every message names file, section and key.
"""

import configparser
import difflib
import re
from collections.abc import Callable
from typing import Any, NamedTuple

UNITS = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
SIZES = {"": 1, "kb": 1000, "mb": 1_000_000}
WORD = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,31}")
REQUIRED = object()


class SettingError(Exception):
    """Its text names file, section and key."""


class Key(NamedTuple):
    """`read` gives a value of a text or raises ValueError; `least` and `most` bound it where they are
    told.
    """

    read: Callable[[str], Any]
    absent: Any = REQUIRED
    least: Any = None
    most: Any = None
    unit: str = ""


class Section(NamedTuple):
    keys: dict
    needed: bool = False


def span(text):
    """A duration, in whole microseconds."""
    found = re.fullmatch(r"(\d+(?:\.\d+)?)\s*([a-z]+)", text)
    if not found or found[2] not in UNITS:
        raise ValueError("a duration with its unit (us, ms, s, m, h) is wanted, as in 250ms")
    return round(float(found[1]) * UNITS[found[2]])


def share(text):
    """A share of one, as 0.3 or 30%."""
    try:
        return float(text[:-1]) / 100 if text.endswith("%") else float(text)
    except ValueError:
        raise ValueError("a share is wanted, as in 0.3 or 30%") from None


def whole(text):
    try:
        return int(text)
    except ValueError:
        raise ValueError("a whole number is wanted") from None


def yes(text):
    """A switch: on, yes, true or 1; off, no, false or 0."""
    known = configparser.ConfigParser.BOOLEAN_STATES
    if text.lower() not in known:
        raise ValueError("on or off is wanted")
    return known[text.lower()]


def word(text):
    """A name: letters, digits, dot, dash and underline, at most 32."""
    if not WORD.fullmatch(text):
        raise ValueError("a name of up to 32 letters, digits, '.', '-' or '_' is wanted")
    return text


def path(text):
    if not text or "\0" in text:
        raise ValueError("a path is wanted")
    return text


def address(text):
    """A numeric host with a port; IPv6 in brackets."""
    import ipaddress

    host, _, port = text.rpartition(":")
    try:
        host = str(ipaddress.ip_address(host.removeprefix("[").removesuffix("]")))
        port = int(port)
    except ValueError:
        raise ValueError("an address with a port is wanted, as in 127.0.0.1:7946") from None
    if not 0 < port < 65_536:
        raise ValueError("a port lies between 1 and 65535")
    return host, port


def one_of(*known):
    def read(text):
        if text not in known:
            raise ValueError(f"one of {', '.join(known)} is wanted" + near(text, known))
        return text

    return read


def many(read):
    """A list with commas; empty where nothing stands."""

    def read_all(text):
        values = tuple(read(one.strip()) for one in text.replace("\n", ",").split(",") if one.strip())
        if len(set(values)) < len(values):
            raise ValueError("the same stands twice")
        return values

    return read_all


def near(name, known):
    close = difflib.get_close_matches(name, list(known), 1, 0.5)
    return f"; did you mean {close[0]!r}?" if close else ""


def in_words(value, unit):
    return f"{value / 1000:g}ms" if unit == "span" else f"{value:g}"


def parsed(text, file):
    parser = configparser.ConfigParser(
        interpolation=None, default_section="\0", strict=True, inline_comment_prefixes=(";", "#")
    )
    parser.optionxform = str
    try:
        parser.read_string(text, file)
    except configparser.DuplicateSectionError as error:
        raise SettingError(f"{file}: [{error.section}]: stands twice") from None
    except configparser.DuplicateOptionError as error:
        raise SettingError(f"{file}: [{error.section}] {error.option}: stands twice") from None
    except configparser.MissingSectionHeaderError as error:
        raise SettingError(f"{file}: line {error.lineno}: stands before the first [section]") from None
    except configparser.ParsingError as error:
        line, what = error.errors[0]
        raise SettingError(f"{file}: line {line}: cannot be read: {what}") from None
    return parser


def value_of(key, text, where):
    try:
        value = key.read(text.strip())
    except ValueError as error:
        raise SettingError(f"{where}: {text.strip()[:60]!r}: {error}") from None
    for bound, broken, says in (
        (key.least, lambda b: value < b, "at least"),
        (key.most, lambda b: value > b, "at most"),
    ):
        if bound is not None and broken(bound):
            raise SettingError(f"{where}: {text.strip()!r}: {says} {in_words(bound, key.unit)} is wanted")
    return value


def check(text, file, form):
    """Give {section: {key: value}}, named sections under (kind, name); BadSetting at the first error."""
    parser, told = parsed(text, file), {}
    for title in parser.sections():
        kind, _, name = title.partition(" ")
        pattern = title if title in form else f"{kind} *" if name else title
        if pattern not in form:
            known = [known.removesuffix(" *") for known in form]
            raise SettingError(f"{file}: [{title}]: no such section{near(kind, known)}")
        if pattern.endswith(" *"):
            value_of(Key(word), name, f"{file}: [{title}]")
        told[title if pattern == title else (kind, name.strip())] = section_of(
            parser[title], f"{file}: [{title}]", form[pattern].keys
        )
    for title, section in form.items():
        if title.endswith(" *"):
            continue
        if title not in told and section.needed:
            raise SettingError(f"{file}: [{title}]: missing")
        told.setdefault(
            title,
            section_of({}, f"{file}: [{title}]", section.keys)
            if not any(key.absent is REQUIRED for key in section.keys.values())
            else None,
        )
    return told


def section_of(raw, where, keys):
    for name in raw:
        if name not in keys:
            raise SettingError(f"{where} {name}: no such key{near(name, keys)}")
    values = {}
    for name, key in keys.items():
        if name in raw:
            values[name] = value_of(key, raw[name], f"{where} {name}")
        elif key.absent is REQUIRED:
            raise SettingError(f"{where} {name}: missing")
        else:
            values[name] = key.absent
    return values


def read(file, form):
    """Read and check a file; what cannot be opened is a BadSetting too."""
    try:
        with open(file, encoding="utf-8") as opened:
            text = opened.read()
    except OSError as error:
        raise SettingError(f"{file}: {error.strerror}") from None
    except ValueError:
        raise SettingError(f"{file}: no UTF-8 text") from None
    return check(text, str(file), form)
