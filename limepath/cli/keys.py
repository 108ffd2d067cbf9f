"""`limepath keys`: certificates and keys for TLS to servers."""

import json
import os
import sys
import time
from typing import Any, NoReturn, cast

import click
from cryptography.x509 import CertificateRevocationList

from limepath.cli.output import STATUS_FAILED, fail
from limepath.configuration import ini, tls_file
from limepath.tls import issuance
from limepath.tls.files import LoadedTrust, load_key_set, read_file, write_file
from limepath.tls.issuance import CertificateAndKey
from limepath.tls.material import Chain, KeyMaterialError, certificate_info, load_certificates

kind_option = click.option(
    "--kind", type=click.Choice(issuance.KEY_TYPES), default="ec", show_default=True, help="Type of the key."
)
CA, CA_KEY = "ca.pem", "ca.key"
SECONDS_PER_DAY = 86_400


def unix_clock() -> int:
    """Return the Unix time in microseconds."""
    return time.time_ns() // 1000


def fail_keys(error: object) -> NoReturn:
    """Print an error about an invalid file; exit with status 2."""
    fail(f"keys: {error}")


@click.group("keys")
def command() -> None:
    """Make, inspect and check certificates and keys. Private keys are readable by their owner only."""


def write_pair(folder: str, stem: str, made: CertificateAndKey, overwrite: bool) -> None:
    """Write a private key, readable by its owner only, and then its certificate; print both paths."""
    paths = [os.path.join(folder, f"{stem}.pem"), os.path.join(folder, f"{stem}.key")]
    for path in paths:
        if os.path.exists(path) and not overwrite:
            fail_keys(f"{path}: already exists; use --overwrite to replace it")
    os.makedirs(folder, exist_ok=True)
    write_file(paths[1], made.key, secret=True)
    write_file(paths[0], made.certificate)
    for path in paths:
        click.echo(path)


@command.command("make-ca")
@click.argument("folder", type=click.Path(file_okay=False))
@click.option("--name", default="limepath CA", show_default=True)
@click.option("--days", type=click.IntRange(1, 36_500), default=3650, show_default=True)
@kind_option
@click.option("--overwrite", is_flag=True)
def make_ca(folder: str, name: str, days: int, kind: str, overwrite: bool) -> None:
    """Make a certificate authority in FOLDER: ca.pem (for roots =) and ca.key (do not copy it to fronts)."""
    write_pair(folder, "ca", issuance.create_ca(name, unix_clock(), days, kind), overwrite)


@command.command("issue")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.argument("names", nargs=-1, required=True)
@click.option("--days", type=click.FloatRange(min=0.01, max=3650), default=90, show_default=True)
@kind_option
@click.option("--file", "stem", help="Name of the two files. Default: the first of NAMES.")
@click.option("--overwrite", is_flag=True)
def issue(
    folder: str, names: tuple[str, ...], days: float, kind: str, stem: str | None, overwrite: bool
) -> None:
    """Issue a certificate for NAMES (DNS names or IP addresses), signed by the CA in FOLDER."""
    try:
        authority = CertificateAndKey(
            read_file(os.path.join(folder, CA), "ca"), read_file(os.path.join(folder, CA_KEY), "ca key", True)
        )
        made = issuance.issue(authority, names, unix_clock(), days, kind)
    except (KeyMaterialError, ValueError) as error:
        fail_keys(error)
    write_pair(folder, (stem or names[0]).replace("/", "_").replace("*", "_"), made, overwrite)


@command.command("inspect")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def inspect(file: str, as_json: bool) -> None:
    """Show the certificates in FILE."""
    try:
        shown_certificates = [
            certificate_info(each, unix_clock())._asdict()
            for each in load_certificates(read_file(file, "certificate"))
        ]
    except KeyMaterialError as error:
        fail_keys(error)
    if as_json:
        click.echo(json.dumps(shown_certificates, indent=1))
        return
    for certificate in shown_certificates:
        for name, value in certificate.items():
            click.echo(f"{name + ':':<14}{', '.join(value) if isinstance(value, tuple) else value}")
        click.echo("")


@command.command("check")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--days",
    type=click.FloatRange(min=0),
    default=14,
    show_default=True,
    help="Status 1 if a certificate or list expires sooner.",
)
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def check(file: str, days: float, as_json: bool) -> None:
    """Check a TLS settings FILE and the files that it names, without any network traffic.

    Checks identity, chain, trust, revocation lists and days left. Status 2 with section and reason if a front
    would refuse the files; 1 if a certificate or list expires within --days.
    """
    now = unix_clock()
    try:
        settings = tls_file.read(file)
        key_files = load_key_set(settings, now)
    except ini.SettingError as error:
        fail_keys(error)
    except KeyMaterialError as error:
        fail_keys(f"{file}: {error}")
    rows = chain_rows(cast("Chain | None", key_files.chain), now) + [
        row for trust in key_files.trusts for row in trust_rows(trust, now)
    ]
    warnings = [
        f"[trust {entry.title}] verify: off; certificates of {', '.join(entry.members)} are not verified"
        for entry in settings.trusts
        if not entry.verify
    ]
    ending = [row for row in rows if row["days_left"] is not None and row["days_left"] < days]
    if as_json:
        click.echo(json.dumps({"rows": rows, "warnings": warnings, "holds": not ending}, indent=1))
    else:
        print_rows(rows, ending, warnings)
    sys.exit(STATUS_FAILED if ending else 0)


def chain_rows(chain: Chain | None, now: int) -> list[dict[str, Any]]:
    """Return a row for each certificate of the front's chain, its own first; none without a chain."""
    if not chain:
        return []
    own = {"what": "[client] certificate"} | certificate_info(chain.leaf, now)._asdict()
    return [
        own,
        *({"what": "  issued by"} | certificate_info(issuer, now)._asdict() for issuer in chain.issuers),
    ]


def trust_rows(trust: LoadedTrust, now: int) -> list[dict[str, Any]]:
    """Return a row for each root certificate and each revocation list of a trust section."""
    rows = [
        {"what": f"[trust {trust.title}] root"} | certificate_info(root, now)._asdict()
        for root in trust.roots
    ]
    for revoked in trust.lists:
        rows.append(
            {
                "what": f"[trust {trust.title}] list",
                "subject": revoked.issuer.rfc4514_string(),
                "key": f"{len(revoked)} revoked" + (", stale" if trust.stale else ""),
                "days_left": days_left(revoked, now),
            }
        )
    return rows


def days_left(revoked: CertificateRevocationList, now: int) -> float | None:
    """Return the days until a revocation list's next update, or None if the list does not state it."""
    if not revoked.next_update_utc:
        return None
    return round((revoked.next_update_utc.timestamp() - now / 1e6) / SECONDS_PER_DAY, 2)


def print_rows(rows: list[dict[str, Any]], ending: list[dict[str, Any]], warnings: list[str]) -> None:
    """Print the rows and the warnings as text; rows in `ending` are marked with SOON."""
    for row in rows:
        click.echo(
            f"{row['what']:<24}{row['subject']:<32}{row['key']:<16}{row['days_left']} days left"
            + (" SOON" if row in ending else "")
        )
    for warning in warnings:
        click.echo(f"warning: {warning}")
