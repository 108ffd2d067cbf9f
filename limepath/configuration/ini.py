"""Reads INI files and validates them against a schema of sections, keys, types and ranges.

A schema maps section names to `Section`. A schema entry such as `"duty *"` matches any number of sections
`[duty NAME]`. Every error names the file, section and key; an unknown name gets the most similar known name
as a suggestion.
"""

import configparser
import difflib
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

MICROSECONDS_BY_UNIT = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,31}")
MAX_PORT = 65_535
MAX_SHOWN_CHARACTERS = 60  # longer values are truncated in error messages
SIMILARITY = 0.5  # minimum difflib ratio of a suggested name
DURATION = "duration"  # `Key.unit` of durations
NAMED_SUFFIX = " *"  # ends the schema name of a section that may occur several times
REQUIRED = object()  # the default of a key that has no default
NO_DEFAULT_SECTION = "\0"  # matches no section, which disables configparser's default section

Values = dict[str, Any]  # the values of one section by key
Settings = dict[Any, Values | None]  # values by section name, or by (kind, name) for a named section


class SettingError(Exception):
    """A file is invalid. The message names file, section and key, the value found and what is expected."""


class Key(NamedTuple):
    """The type, default and range of a key's value.

    Attributes:
        parse: converts the text to a value, or raises ValueError.
        default: the value if the key is missing, or REQUIRED.
        minimum: the smallest allowed value, or None for no limit.
        maximum: the largest allowed value, or None for no limit.
        unit: DURATION if the value is a duration in microseconds, "" otherwise.
    """

    parse: Callable[[str], Any]
    default: Any = REQUIRED
    minimum: Any = None
    maximum: Any = None
    unit: str = ""


class Section(NamedTuple):
    """The keys of a section.

    Attributes:
        keys: the allowed keys by name.
        required: whether the file must have the section.
    """

    keys: dict[str, Key]
    required: bool = False


def duration(default: Any, minimum: int, maximum: int) -> Key:
    """Return a key whose value is a duration. All arguments are microseconds."""
    return Key(parse_duration, default, minimum, maximum, DURATION)


# Parsers: each converts a text to a value, or raises ValueError with a message that says what is expected


def parse_duration(text: str) -> int:
    """Return a duration such as 250ms in whole microseconds."""
    found = re.fullmatch(r"(\d+(?:\.\d+)?)\s*([a-z]+)", text)
    if not found or found[2] not in MICROSECONDS_BY_UNIT:
        raise ValueError("expected a duration with a unit (us, ms, s, m, h), such as 250ms")
    return round(float(found[1]) * MICROSECONDS_BY_UNIT[found[2]])


def parse_fraction(text: str) -> float:
    """Return a fraction, written as a decimal (0.3) or a percentage (30%)."""
    try:
        return float(text[:-1]) / 100 if text.endswith("%") else float(text)
    except ValueError:
        raise ValueError("expected a fraction, such as 0.3 or 30%") from None


def parse_integer(text: str) -> int:
    """Return an integer."""
    try:
        return int(text)
    except ValueError:
        raise ValueError("expected an integer") from None


def parse_decimal(text: str) -> float:
    """Return a decimal number."""
    try:
        return float(text)
    except ValueError:
        raise ValueError("expected a number") from None


def parse_boolean(text: str) -> bool:
    """Return true for on, yes, true or 1; false for off, no, false or 0."""
    known = configparser.ConfigParser.BOOLEAN_STATES
    if text.lower() not in known:
        raise ValueError("expected on or off")
    return known[text.lower()]


def parse_name(text: str) -> str:
    """Return a name of up to 32 letters, digits, dots, dashes and underscores."""
    if not NAME.fullmatch(text):
        raise ValueError("expected a name of up to 32 letters, digits, '.', '-' or '_'")
    return text


def parse_path(text: str) -> str:
    """Return a path unchanged."""
    if not text or "\0" in text:
        raise ValueError("expected a path")
    return text


def parse_address(text: str) -> tuple[str, int]:
    """Return the host and port of an IP address with a port; IPv6 addresses are in brackets."""
    import ipaddress  # imported here because a front without INI files does not need it

    host, _, port_text = text.rpartition(":")
    try:
        host = str(ipaddress.ip_address(host.removeprefix("[").removesuffix("]")))
        port = int(port_text)
    except ValueError:
        raise ValueError("expected an IP address with a port, such as 127.0.0.1:7946") from None
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"expected a port from 1 to {MAX_PORT}")
    return host, port


def choice_parser(*known: str) -> Callable[[str], str]:
    """Return a parser that accepts only the words in `known`."""

    def parse_choice(text: str) -> str:
        if text not in known:
            raise ValueError(f"expected one of {', '.join(known)}" + suggestion(text, known))
        return text

    return parse_choice


def list_parser(parse_item: Callable[[str], Any]) -> Callable[[str], tuple[Any, ...]]:
    """Return a parser of lists separated by commas or line breaks; empty lists are valid, duplicates not."""

    def parse_list(text: str) -> tuple[Any, ...]:
        items = [item.strip() for item in text.replace("\n", ",").split(",")]
        values = tuple(parse_item(item) for item in items if item)
        if len(set(values)) < len(values):
            raise ValueError("duplicate item")
        return values

    return parse_list


# Files


def read_file(file: str, schema: Mapping[str, Section]) -> Settings:
    """Read and validate a file; see `check_text`.

    Raises:
        SettingError: the file is invalid, or cannot be opened or decoded.
    """
    try:
        with open(file, encoding="utf-8") as opened:
            text = opened.read()
    except OSError as error:
        raise SettingError(f"{file}: {error.strerror}") from None
    except ValueError:
        raise SettingError(f"{file}: not UTF-8 text") from None
    return check_text(text, str(file), schema)


def check_text(text: str, file: str, schema: Mapping[str, Section]) -> Settings:
    """Parse a text and validate it against a schema.

    Returns:
        The values by section name and key; the values of a named section are under (kind, name). A missing
        section gets its default values, or None if one of its keys is required.

    Raises:
        SettingError: describes the first error.
    """
    parser = _parse_ini(text, file)
    settings: Settings = {}
    for title in parser.sections():
        pattern, name = _match_section(title, schema, file)
        section_id = (title.partition(" ")[0], name) if name else title
        where = f"{file}: [{title}]"
        settings[section_id] = _check_section(parser[title], where, schema[pattern].keys)
    for title, section in schema.items():
        if title.endswith(NAMED_SUFFIX) or title in settings:
            continue
        if section.required:
            raise SettingError(f"{file}: [{title}]: missing")
        settings[title] = _section_defaults(section)
    return settings


def _match_section(title: str, schema: Mapping[str, Section], file: str) -> tuple[str, str]:
    """Return the schema's name of a section, and the NAME of a named section or ""."""
    if title in schema and not title.endswith(NAMED_SUFFIX):
        return title, ""
    kind, _, name = title.partition(" ")
    pattern = kind + NAMED_SUFFIX
    if not name or pattern not in schema:
        known = [known.removesuffix(NAMED_SUFFIX) for known in schema]
        raise SettingError(f"{file}: [{title}]: unknown section{suggestion(kind, known)}")
    _check_value(Key(parse_name), name, f"{file}: [{title}]")
    return pattern, name.strip()


def _section_defaults(section: Section) -> Values | None:
    if any(key.default is REQUIRED for key in section.keys.values()):
        return None
    return {name: key.default for name, key in section.keys.items()}


def _check_section(texts: Mapping[str, str], where: str, keys: Mapping[str, Key]) -> Values:
    for name in texts:
        if name not in keys:
            raise SettingError(f"{where} {name}: unknown key{suggestion(name, keys)}")
    values = {}
    for name, key in keys.items():
        if name in texts:
            values[name] = _check_value(key, texts[name], f"{where} {name}")
        elif key.default is REQUIRED:
            raise SettingError(f"{where} {name}: missing")
        else:
            values[name] = key.default
    return values


def _check_value(key: Key, text: str, where: str) -> Any:
    text = text.strip()
    try:
        value = key.parse(text)
    except ValueError as error:
        raise SettingError(f"{where}: {text[:MAX_SHOWN_CHARACTERS]!r}: {error}") from None
    if key.minimum is not None and value < key.minimum:
        raise SettingError(f"{where}: {text!r}: expected at least {format_bound(key.minimum, key.unit)}")
    if key.maximum is not None and value > key.maximum:
        raise SettingError(f"{where}: {text!r}: expected at most {format_bound(key.maximum, key.unit)}")
    return value


def _parse_ini(text: str, file: str) -> configparser.ConfigParser:
    parser = configparser.ConfigParser(
        interpolation=None,
        default_section=NO_DEFAULT_SECTION,
        strict=True,
        inline_comment_prefixes=(";", "#"),
    )
    parser.optionxform = str  # keys are case-sensitive
    try:
        parser.read_string(text, file)
    except configparser.DuplicateSectionError as error:
        raise SettingError(f"{file}: [{error.section}]: duplicate section") from None
    except configparser.DuplicateOptionError as error:
        raise SettingError(f"{file}: [{error.section}] {error.option}: duplicate key") from None
    except configparser.MissingSectionHeaderError as error:
        raise SettingError(f"{file}: line {error.lineno}: text before the first [section]") from None
    except configparser.ParsingError as error:
        line, found = error.errors[0]
        raise SettingError(f"{file}: line {line}: cannot be parsed: {found}") from None
    return parser


# Error messages


def suggestion(name: str, known: Iterable[str]) -> str:
    """Return text for an error message that suggests the most similar known name; "" if none is similar."""
    similar = difflib.get_close_matches(name, list(known), 1, SIMILARITY)
    return f"; did you mean {similar[0]!r}?" if similar else ""


def format_bound(value: float, unit: str) -> str:
    """Format a bound for an error message; durations are in milliseconds."""
    return f"{value / 1000:g}ms" if unit == DURATION else f"{value:g}"
