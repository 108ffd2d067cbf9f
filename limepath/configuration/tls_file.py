"""Reads the TLS file (deploy/tls.ini): trusted roots, the front's key, sessions and the handshake rate.

`SCHEMA` defines its sections and keys. `read` also checks constraints between keys and between sections.
"""

import os
from typing import NamedTuple

from limepath.configuration import ini
from limepath.configuration.ini import Key, Section, SettingError, Settings, Values, duration
from limepath.configuration.tls_settings import HandshakePace, RetryDelays, SessionSettings

SECOND = 1_000_000  # microseconds
HOUR = 3600 * SECOND
ENDPOINT_PLACEHOLDER = "{id}"  # replaced by an endpoint's name in the name of its certificate
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
    """The settings of the verification of certificates for some kinds of endpoints.

    Attributes:
        title: the NAME in the section's title.
        roots: the path of the trusted root certificates.
        members: the kinds of endpoints: caches, parents, origin.
        verify: whether certificates are verified.
        lists: the path of the certificate revocation lists, or "" for none.
        refuse_stale: whether connections are refused if a revocation list has expired.
        name: the name in an endpoint's certificate; `{id}` is replaced by the endpoint's name.
    """

    title: str
    roots: str
    members: tuple[str, ...]
    verify: bool
    lists: str
    refuse_stale: bool
    name: str


class TlsSettings(NamedTuple):
    """The settings in a TLS file. Relative paths are resolved against the file's directory.

    Attributes:
        file: the path of the TLS file.
        certificate: the path of the front's certificate, or "" for none.
        key: the path of the private key of that certificate, or "" for none.
        min_version: the lowest allowed version of TLS, one of VERSIONS.
        max_version: the highest allowed version of TLS, one of VERSIONS.
        sessions: the settings of the session cache.
        pace: the limits on the rate of handshakes.
        handshake_timeout: the timeout of a handshake, in microseconds.
        retry_delays: the backoff after failed connections.
        trusts: the settings of the verification of certificates, one entry for each [trust NAME].
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
    """Read and validate a TLS file, without reading the files that it names.

    Raises:
        SettingError: the file is invalid. The message names file, section and key.
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
        raise SettingError(f"{file}: [client] {missing}: missing; certificate and key require each other")


def _check_versions(versions: Values, file: str) -> None:
    if versions["least"] > versions["most"]:
        raise SettingError(f"{file}: [versions] least: expected at most the value of most")


def _retry_delays(delays: Values, file: str) -> RetryDelays:
    for first, longest in (("passing", "passing-most"), ("lasting", "lasting-most")):
        if delays[first] > delays[longest]:
            raise SettingError(f"{file}: [left-alone] {first}: expected at most the value of {longest}")
    return RetryDelays(delays["passing"], delays["passing-most"], delays["lasting"], delays["lasting-most"])


def _handshake_pace(handshakes: Values, file: str) -> HandshakePace:
    if handshakes["at-once"] > handshakes["all-at-once"]:
        raise SettingError(f"{file}: [handshakes] at-once: expected at most the value of all-at-once")
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
    """Return the settings of the sections [trust NAME]; a kind of endpoints may be in only one of them."""
    title_by_kind: dict[str, str] = {}
    trusts = []
    for section, values in sections.items():
        if not isinstance(section, tuple):
            continue
        _, title = section
        _check_members(title, values["members"], title_by_kind, file)
        trusts.append(_trust(title, values, folder, file))
    if not trusts:
        raise SettingError(f"{file}: [trust NAME]: missing; expected at least one, to verify servers")
    return tuple(trusts)


def _check_members(title: str, members: tuple[str, ...], title_by_kind: dict[str, str], file: str) -> None:
    """Add a section's kinds to `title_by_kind`; raise SettingError if another section has one of them."""
    where = f"{file}: [trust {title}] members"
    if not members:
        raise SettingError(f"{where}: missing; expected some of caches, parents, origin")
    for kind in members:
        if kind in title_by_kind:
            raise SettingError(f"{where}: {kind!r}: already in [trust {title_by_kind[kind]}]")
        title_by_kind[kind] = title


def _trust(title: str, values: Values, folder: str, file: str) -> Trust:
    if ENDPOINT_PLACEHOLDER not in values["name"]:
        raise SettingError(
            f"{file}: [trust {title}] name: expected a text with '{ENDPOINT_PLACEHOLDER}', because "
            "each endpoint has its own name"
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
