"""What may stand in a TLS file (deploy/tls.ini): trust, the front's own key, sessions, the budget of
handshakes.
"""

import os
from typing import NamedTuple

from limepath.configuration import ini
from limepath.configuration.ini import Key, Section, SettingError
from limepath.configuration.tls_settings import HandshakePace, RetryDelays

SECOND = 1_000_000
VERSIONS = ("1.2", "1.3")


def span(absent, least, most):
    return Key(ini.span, absent, least, most, "span")


def decimal(text):
    try:
        return float(text)
    except ValueError:
        raise ValueError("a number is wanted") from None


FORM = {
    "client": Section({"certificate": Key(ini.path, ""), "key": Key(ini.path, "")}),
    "versions": Section(
        {"least": Key(ini.one_of(*VERSIONS), "1.2"), "most": Key(ini.one_of(*VERSIONS), "1.3")}
    ),
    "sessions": Section(
        {
            "most": Key(ini.whole, 512, 0, 100_000),
            "each": Key(ini.whole, 8, 1, 1000),
            "longest": span(3600 * SECOND, SECOND, 24 * 3600 * SECOND),
        }
    ),
    "handshakes": Section(
        {
            "rate": Key(decimal, 20.0, 0.1, 10_000),
            "burst": Key(ini.whole, 10, 1, 10_000),
            "at-once": Key(ini.whole, 4, 1, 1000),
            "all-rate": Key(decimal, 100.0, 0.1, 10_000),
            "all-burst": Key(ini.whole, 40, 1, 10_000),
            "all-at-once": Key(ini.whole, 16, 1, 1000),
            "resumed-share": Key(ini.share, 0.25, 0.0, 1.0),
            "limit": span(2 * SECOND, 50_000, 60 * SECOND),
        }
    ),
    "left-alone": Section(
        {
            "passing": span(200_000, 10_000, 60 * SECOND),
            "passing-most": span(5 * SECOND, 10_000, 600 * SECOND),
            "lasting": span(5 * SECOND, 10_000, 600 * SECOND),
            "lasting-most": span(60 * SECOND, 10_000, 3600 * SECOND),
        }
    ),
    "trust *": Section(
        {
            "roots": Key(ini.path),
            "members": Key(ini.many(ini.one_of("caches", "parents", "origin")), ()),
            "verify": Key(ini.yes, True),
            "lists": Key(ini.path, ""),
            "stale-lists": Key(ini.one_of("refuse", "warn"), "refuse"),
            "name": Key(str, "{id}"),
        }
    ),
}


class Trust(NamedTuple):
    """Who is trusted for the members of these kinds; `name` is what a member's certificate must bear."""

    title: str
    roots: str
    members: tuple
    verify: bool
    lists: str
    refuse_stale: bool
    name: str


class TlsSettings(NamedTuple):
    file: str
    certificate: str
    key: str
    least: str
    most: str
    sessions: tuple  # most, each, longest
    pace: HandshakePace
    limit: int
    retry_delays: RetryDelays
    trusts: tuple


def read(file):
    """Give the TlsOpening that a file tells of; raise BadSetting with file, section and key. Reads no other
    file.
    """
    told = ini.read(file, FORM)
    where = os.path.dirname(os.path.abspath(file))

    def resolved(path):
        return os.path.join(where, path) if path else ""

    client, versions, hands, alone = (
        told[name] for name in ("client", "versions", "handshakes", "left-alone")
    )
    if bool(client["certificate"]) != bool(client["key"]):
        missing = "key" if client["certificate"] else "certificate"
        raise SettingError(f"{file}: [client] {missing}: missing; certificate and key go together")
    if versions["least"] > versions["most"]:
        raise SettingError(f"{file}: [versions] least: above most")
    for one, other in (("passing", "passing-most"), ("lasting", "lasting-most")):
        if alone[one] > alone[other]:
            raise SettingError(f"{file}: [left-alone] {one}: above {other}")
    if hands["at-once"] > hands["all-at-once"]:
        raise SettingError(f"{file}: [handshakes] at-once: above all-at-once")
    trusts, taken = [], {}
    for key, values in told.items():
        if not isinstance(key, tuple):
            continue
        title = key[1]
        if not values["members"]:
            raise SettingError(f"{file}: [trust {title}] members: missing; name caches, parents or origin")
        for kind in values["members"]:
            if kind in taken:
                raise SettingError(
                    f"{file}: [trust {title}] members: {kind!r} stands in [trust {taken[kind]}] too"
                )
            taken[kind] = title
        if "{id}" not in values["name"]:
            raise SettingError(
                f"{file}: [trust {title}] name: '{{id}}' is missing; each member has a name of its own"
            )
        trusts.append(
            Trust(
                title,
                resolved(values["roots"]),
                values["members"],
                values["verify"],
                resolved(values["lists"]),
                values["stale-lists"] == "refuse",
                values["name"],
            )
        )
    if not trusts:
        raise SettingError(f"{file}: [trust NAME]: missing; without one no server can be verified")
    return TlsSettings(
        str(file),
        resolved(client["certificate"]),
        resolved(client["key"]),
        versions["least"],
        versions["most"],
        (told["sessions"]["most"], told["sessions"]["each"], told["sessions"]["longest"]),
        HandshakePace(
            hands["rate"],
            hands["burst"],
            hands["at-once"],
            hands["all-rate"],
            hands["all-burst"],
            hands["all-at-once"],
            hands["resumed-share"],
        ),
        hands["limit"],
        RetryDelays(alone["passing"], alone["passing-most"], alone["lasting"], alone["lasting-most"]),
        tuple(trusts),
    )
