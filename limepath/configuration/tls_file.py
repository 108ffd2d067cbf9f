"""The TLS file (deploy/tls.ini): trust, the front's own key, sessions, and the rate of handshakes.

`SCHEMA` says what may stand in it; `read` checks what one key says of another, and returns the settings.
"""

import os
from typing import NamedTuple

from limepath.configuration import ini
from limepath.configuration.ini import Key, Section, SettingError, Settings, Values, duration
from limepath.configuration.tls_settings import HandshakePace, RetryDelays, SessionSettings

SECOND = 1_000_000  # microseconds
HOUR = 3600 * SECOND
ENDPOINT_PLACEHOLDER = "{id}"  # stands for an endpoint's name in a certificate
VERSIONS = ("1.2", "1.3")


SCHEMA = {
    "client": Section({"certificate": Key(ini.parse_path, ""), "key": Key(ini.parse_path, "")}),
    "versions": Section(
        {"least": Key(ini.choice_parser(*VERSIONS), "1.2"), "most": Key(ini.choice_parser(*VERSIONS), "1.3")}
    ),
    "sessions": Section(
        {
            "most": Key(ini.parse_integer, 512, 0, 100_000),
            "each": Key(ini.parse_integer, 8, 1, 1000),
            "longest": duration(HOUR, SECOND, 24 * HOUR),
        }
    ),
    "handshakes": Section(
        {
            "rate": Key(ini.parse_decimal, 20.0, 0.1, 10_000),
            "burst": Key(ini.parse_integer, 10, 1, 10_000),
            "at-once": Key(ini.parse_integer, 4, 1, 1000),
            "all-rate": Key(ini.parse_decimal, 100.0, 0.1, 10_000),
            "all-burst": Key(ini.parse_integer, 40, 1, 10_000),
            "all-at-once": Key(ini.parse_integer, 16, 1, 1000),
            "resumed-share": Key(ini.parse_fraction, 0.25, 0.0, 1.0),
            "limit": duration(2 * SECOND, 50_000, 60 * SECOND),
        }
    ),
    "left-alone": Section(
        {
            "passing": duration(200_000, 10_000, 60 * SECOND),
            "passing-most": duration(5 * SECOND, 10_000, 600 * SECOND),
            "lasting": duration(5 * SECOND, 10_000, 600 * SECOND),
            "lasting-most": duration(60 * SECOND, 10_000, HOUR),
        }
    ),
    "trust *": Section(
        {
            "roots": Key(ini.parse_path),
            "members": Key(ini.list_parser(ini.choice_parser("caches", "parents", "origin")), ()),
            "verify": Key(ini.parse_boolean, True),
            "lists": Key(ini.parse_path, ""),
            "stale-lists": Key(ini.choice_parser("refuse", "warn"), "refuse"),
            "name": Key(str, ENDPOINT_PLACEHOLDER),
        }
    ),
}


class Trust(NamedTuple):
    """Which certificates are trusted for the endpoints of some kinds.

    Attributes:
        title: the section's name.
        roots: the path of the trusted roots.
        members: the kinds: caches, parents, origin.
        verify: whether certificates are verified.
        lists: the path of revocation lists, or "".
        refuse_stale: whether an expired revocation list refuses connections.
        name: what an endpoint's certificate must be for; `{id}` stands for the endpoint's name.
    """

    title: str
    roots: str
    members: tuple[str, ...]
    verify: bool
    lists: str
    refuse_stale: bool
    name: str


class TlsSettings(NamedTuple):
    """What a TLS file says. Paths are resolved against the file's own folder.

    Attributes:
        file: the file.
        certificate: the path of the front's own certificate, or "".
        key: the path of its key, or "".
        min_version: the least version of TLS, one of VERSIONS.
        max_version: the highest one.
        sessions: how many sessions are cached, and for how long.
        pace: the rate of handshakes.
        handshake_timeout: microseconds.
        retry_delays: backoff after failures.
        trusts: whom the front trusts, by kinds of endpoints.
    """

    file: str
    certificate: str
    key: str
    min_version: str
    max_version: str
    sessions: SessionSettings
    pace: HandshakePace
    handshake_timeout: int
    retry_delays: RetryDelays
    trusts: tuple[Trust, ...]


def read(file: str) -> TlsSettings:
    """Read and check a TLS file; no other file is read.

    Raises:
        SettingError: the file cannot be used. The text names file, section and key.
    """
    sections = ini.read_file(file, SCHEMA)
    folder = os.path.dirname(os.path.abspath(file))
    client = sections["client"]
    versions = sections["versions"]
    sessions = sections["sessions"]
    _check_client(client, file)
    _check_versions(versions, file)
    retry_delays = _retry_delays(sections["left-alone"], file)
    pace = _handshake_pace(sections["handshakes"], file)
    return TlsSettings(
        file=str(file),
        certificate=_resolve(folder, client["certificate"]),
        key=_resolve(folder, client["key"]),
        min_version=versions["least"],
        max_version=versions["most"],
        sessions=SessionSettings(sessions["most"], sessions["each"], sessions["longest"]),
        pace=pace,
        handshake_timeout=sections["handshakes"]["limit"],
        retry_delays=retry_delays,
        trusts=_trusts(sections, folder, file),
    )


def _resolve(folder: str, path: str) -> str:
    return os.path.join(folder, path) if path else ""


def _check_client(client: Values, file: str) -> None:
    if bool(client["certificate"]) != bool(client["key"]):
        missing = "key" if client["certificate"] else "certificate"
        raise SettingError(f"{file}: [client] {missing}: missing; certificate and key go together")


def _check_versions(versions: Values, file: str) -> None:
    if versions["least"] > versions["most"]:
        raise SettingError(f"{file}: [versions] least: above most")


def _retry_delays(delays: Values, file: str) -> RetryDelays:
    for first, longest in (("passing", "passing-most"), ("lasting", "lasting-most")):
        if delays[first] > delays[longest]:
            raise SettingError(f"{file}: [left-alone] {first}: above {longest}")
    return RetryDelays(delays["passing"], delays["passing-most"], delays["lasting"], delays["lasting-most"])


def _handshake_pace(handshakes: Values, file: str) -> HandshakePace:
    if handshakes["at-once"] > handshakes["all-at-once"]:
        raise SettingError(f"{file}: [handshakes] at-once: above all-at-once")
    return HandshakePace(
        rate=handshakes["rate"],
        burst=handshakes["burst"],
        at_once=handshakes["at-once"],
        all_rate=handshakes["all-rate"],
        all_burst=handshakes["all-burst"],
        all_at_once=handshakes["all-at-once"],
        resumed_share=handshakes["resumed-share"],
    )


def _trusts(sections: Settings, folder: str, file: str) -> tuple[Trust, ...]:
    """Return the sections [trust NAME]; each kind of endpoints stands in one at the most."""
    title_by_kind: dict[str, str] = {}
    trusts = []
    for section, values in sections.items():
        if not isinstance(section, tuple):
            continue
        _, title = section
        _check_members(title, values["members"], title_by_kind, file)
        trusts.append(_trust(title, values, folder, file))
    if not trusts:
        raise SettingError(f"{file}: [trust NAME]: missing; without one no server can be verified")
    return tuple(trusts)


def _check_members(title: str, members: tuple[str, ...], title_by_kind: dict[str, str], file: str) -> None:
    """Add the kinds of a section to those of others; SettingError where one stands in both."""
    where = f"{file}: [trust {title}] members"
    if not members:
        raise SettingError(f"{where}: missing; name caches, parents or origin")
    for kind in members:
        if kind in title_by_kind:
            raise SettingError(f"{where}: {kind!r} stands in [trust {title_by_kind[kind]}] too")
        title_by_kind[kind] = title


def _trust(title: str, values: Values, folder: str, file: str) -> Trust:
    if ENDPOINT_PLACEHOLDER not in values["name"]:
        raise SettingError(
            f"{file}: [trust {title}] name: '{ENDPOINT_PLACEHOLDER}' is missing; "
            "each member has a name of its own"
        )
    return Trust(
        title=title,
        roots=_resolve(folder, values["roots"]),
        members=values["members"],
        verify=values["verify"],
        lists=_resolve(folder, values["lists"]),
        refuse_stale=values["stale-lists"] == "refuse",
        name=values["name"],
    )
