"""INI files, read and checked: values have a type and a range, and errors suggest a similar known name.

A schema is a mapping of section names to `Section`. A section that may stand many times, each time with a
name of its own, is `"duty *"`. Every error names file, section and key.
"""

import configparser
import difflib
import re
from collections.abc import Callable, Iterable, Mapping
from typing import Any, NamedTuple

MICROSECONDS_BY_UNIT = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000}
NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,31}")
MAX_PORT = 65_535
MAX_SHOWN_CHARACTERS = 60  # of a value, in an error
SIMILARITY = 0.5  # of two names, from which one is suggested for the other (see difflib)
DURATION = "duration"  # the unit of keys that hold one
NAMED_SUFFIX = " *"  # of a schema's section that may stand many times
REQUIRED = object()  # the default of a key that must stand in the file
NO_DEFAULT_SECTION = "\0"  # configparser's inheritance of a default section is not wanted

Values = dict[str, Any]  # of one section, by key
Settings = dict[Any, Values | None]  # by section name, or (kind, name) of a named section


class SettingError(Exception):
    """A file cannot be used. The text names file, section and key, what was found and what is expected."""


class Key(NamedTuple):
    """What may stand at a key.

    Attributes:
        parse: returns the value of a text, or raises ValueError.
        default: the value where the key is missing, or REQUIRED.
        minimum: the least value, or None.
        maximum: the largest value, or None.
        unit: DURATION where the value is one, in microseconds.
    """

    parse: Callable[[str], Any]
    default: Any = REQUIRED
    minimum: Any = None
    maximum: Any = None
    unit: str = ""


class Section(NamedTuple):
    """What may stand in a section.

    Attributes:
        keys: the keys by name.
        required: whether the section must stand in the file.
    """

    keys: dict[str, Key]
    required: bool = False


def duration(default: Any, minimum: int, maximum: int) -> Key:
    """Return a key that holds a duration. All arguments are microseconds."""
    return Key(parse_duration, default, minimum, maximum, DURATION)


# Parsers: each returns the value of a text, or raises ValueError with what is expected


def parse_duration(text: str) -> int:
    """Return a duration, as 250ms, in whole microseconds."""
    found = re.fullmatch(r"(\d+(?:\.\d+)?)\s*([a-z]+)", text)
    if not found or found[2] not in MICROSECONDS_BY_UNIT:
        raise ValueError("a duration with its unit (us, ms, s, m, h) is wanted, as in 250ms")
    return round(float(found[1]) * MICROSECONDS_BY_UNIT[found[2]])


def parse_fraction(text: str) -> float:
    """Return a fraction of one, from 0.3 or 30%."""
    try:
        return float(text[:-1]) / 100 if text.endswith("%") else float(text)
    except ValueError:
        raise ValueError("a share is wanted, as in 0.3 or 30%") from None


def parse_integer(text: str) -> int:
    """Return an integer."""
    try:
        return int(text)
    except ValueError:
        raise ValueError("a whole number is wanted") from None


def parse_decimal(text: str) -> float:
    """Return a number with decimals."""
    try:
        return float(text)
    except ValueError:
        raise ValueError("a number is wanted") from None


def parse_boolean(text: str) -> bool:
    """Return a switch: true for on, yes, true or 1; false for off, no, false or 0."""
    known = configparser.ConfigParser.BOOLEAN_STATES
    if text.lower() not in known:
        raise ValueError("on or off is wanted")
    return known[text.lower()]


def parse_name(text: str) -> str:
    """Return a name: letters, digits, dot, dash and underscore, at most 32."""
    if not NAME.fullmatch(text):
        raise ValueError("a name of up to 32 letters, digits, '.', '-' or '_' is wanted")
    return text


def parse_path(text: str) -> str:
    """Return a path, as it stands."""
    if not text or "\0" in text:
        raise ValueError("a path is wanted")
    return text


def parse_address(text: str) -> tuple[str, int]:
    """Return (host, port) of a numeric host with a port; IPv6 stands in brackets."""
    import ipaddress  # a front that reads no INI file does not load it

    host, _, port_text = text.rpartition(":")
    try:
        host = str(ipaddress.ip_address(host.removeprefix("[").removesuffix("]")))
        port = int(port_text)
    except ValueError:
        raise ValueError("an address with a port is wanted, as in 127.0.0.1:7946") from None
    if not 0 < port <= MAX_PORT:
        raise ValueError(f"a port lies between 1 and {MAX_PORT}")
    return host, port


def choice_parser(*known: str) -> Callable[[str], str]:
    """Return a parser of one of these words."""

    def parse_choice(text: str) -> str:
        if text not in known:
            raise ValueError(f"one of {', '.join(known)} is wanted" + suggestion(text, known))
        return text

    return parse_choice


def list_parser(parse_item: Callable[[str], Any]) -> Callable[[str], tuple[Any, ...]]:
    """Return a parser of a list with commas or line breaks, without repeated items. It may be empty."""

    def parse_list(text: str) -> tuple[Any, ...]:
        items = [item.strip() for item in text.replace("\n", ",").split(",")]
        values = tuple(parse_item(item) for item in items if item)
        if len(set(values)) < len(values):
            raise ValueError("the same stands twice")
        return values

    return parse_list


# Files


def read_file(file: str, schema: Mapping[str, Section]) -> Settings:
    """Read and check a file; see `check_text`.

    Raises:
        SettingError: also where the file cannot be opened or decoded.
    """
    try:
        with open(file, encoding="utf-8") as opened:
            text = opened.read()
    except OSError as error:
        raise SettingError(f"{file}: {error.strerror}") from None
    except ValueError:
        raise SettingError(f"{file}: no UTF-8 text") from None
    return check_text(text, str(file), schema)


def check_text(text: str, file: str, schema: Mapping[str, Section]) -> Settings:
    """Check a text against a schema.

    Returns:
        The values by section name and key; those of named sections under (kind, name). A section that is
        missing has its defaults, or is None where one of its keys is required.

    Raises:
        SettingError: at the first error.
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
    """Return the schema's name of a section, and the section's own name or ""."""
    if title in schema and not title.endswith(NAMED_SUFFIX):
        return title, ""
    kind, _, name = title.partition(" ")
    pattern = kind + NAMED_SUFFIX
    if not name or pattern not in schema:
        known = [known.removesuffix(NAMED_SUFFIX) for known in schema]
        raise SettingError(f"{file}: [{title}]: no such section{suggestion(kind, known)}")
    _check_value(Key(parse_name), name, f"{file}: [{title}]")
    return pattern, name.strip()


def _section_defaults(section: Section) -> Values | None:
    if any(key.default is REQUIRED for key in section.keys.values()):
        return None
    return {name: key.default for name, key in section.keys.items()}


def _check_section(texts: Mapping[str, str], where: str, keys: Mapping[str, Key]) -> Values:
    for name in texts:
        if name not in keys:
            raise SettingError(f"{where} {name}: no such key{suggestion(name, keys)}")
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
        raise SettingError(f"{where}: {text!r}: at least {format_bound(key.minimum, key.unit)} is wanted")
    if key.maximum is not None and value > key.maximum:
        raise SettingError(f"{where}: {text!r}: at most {format_bound(key.maximum, key.unit)} is wanted")
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
        raise SettingError(f"{file}: [{error.section}]: stands twice") from None
    except configparser.DuplicateOptionError as error:
        raise SettingError(f"{file}: [{error.section}] {error.option}: stands twice") from None
    except configparser.MissingSectionHeaderError as error:
        raise SettingError(f"{file}: line {error.lineno}: stands before the first [section]") from None
    except configparser.ParsingError as error:
        line, found = error.errors[0]
        raise SettingError(f"{file}: line {line}: cannot be read: {found}") from None
    return parser


# Texts of errors


def suggestion(name: str, known: Iterable[str]) -> str:
    """Return the end of an error that suggests the most similar known name; "" where none is similar."""
    similar = difflib.get_close_matches(name, list(known), 1, SIMILARITY)
    return f"; did you mean {similar[0]!r}?" if similar else ""


def format_bound(value: float, unit: str) -> str:
    """Return a bound as an error shows it; durations in milliseconds."""
    return f"{value / 1000:g}ms" if unit == DURATION else f"{value:g}"
