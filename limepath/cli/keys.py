"""limepath keys"""

import json
import os
import sys
import time

import click

from limepath.configuration import ini, tls_file
from limepath.tls import making
from limepath.tls.files import key_set, read, write
from limepath.tls.making import Made
from limepath.tls.material import BadMaterial, certificates, shown

kind_option = click.option(
    "--kind", type=click.Choice(making.KINDS), default="ec", show_default=True, help="Of the key."
)
CA, CA_KEY = "ca.pem", "ca.key"


def wall():
    return time.time_ns() // 1000


def fail(flaw):
    print(f"limepath: keys: {flaw}", file=sys.stderr)
    sys.exit(2)


@click.group("keys")
def command():
    """Certificates and keys: make, look at, check. Private keys are written for their owner alone."""


def put(folder, stem, made, overwrite):
    paths = [os.path.join(folder, f"{stem}.pem"), os.path.join(folder, f"{stem}.key")]
    for path in paths:
        if os.path.exists(path) and not overwrite:
            fail(f"{path}: is there already; --overwrite replaces it")
    os.makedirs(folder, exist_ok=True)
    write(paths[1], made.key, secret=True)
    write(paths[0], made.certificate)
    for path in paths:
        click.echo(path)


@command.command("make-ca")
@click.argument("folder", type=click.Path(file_okay=False))
@click.option("--name", default="limepath CA", show_default=True)
@click.option("--days", type=click.IntRange(1, 36_500), default=3650, show_default=True)
@kind_option
@click.option("--overwrite", is_flag=True)
def make_ca(folder, name, days, kind, overwrite):
    """Make a certificate authority in FOLDER: ca.pem (for roots =) and ca.key (keep it off the fronts)."""
    put(folder, "ca", making.authority(name, wall(), days, kind), overwrite)


@command.command("issue")
@click.argument("folder", type=click.Path(exists=True, file_okay=False))
@click.argument("names", nargs=-1, required=True)
@click.option("--days", type=click.FloatRange(min=0.01, max=3650), default=90, show_default=True)
@kind_option
@click.option("--file", "stem", help="Name of the two files; the first name otherwise.")
@click.option("--overwrite", is_flag=True)
def issue(folder, names, days, kind, stem, overwrite):
    """Issue a certificate for NAMES (DNS names or addresses), signed by the CA in FOLDER."""
    try:
        above = Made(read(os.path.join(folder, CA), "ca"), read(os.path.join(folder, CA_KEY), "ca key", True))
        made = making.issue(above, names, wall(), days, kind)
    except (BadMaterial, ValueError) as flaw:
        fail(flaw)
    put(folder, (stem or names[0]).replace("/", "_").replace("*", "_"), made, overwrite)


@command.command("inspect")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def inspect(file, as_json):
    """Show the certificates in FILE."""
    try:
        found = [shown(one, wall())._asdict() for one in certificates(read(file, "certificate"))]
    except BadMaterial as flaw:
        fail(flaw)
    if as_json:
        return click.echo(json.dumps(found, indent=1))
    for one in found:
        for name, value in one.items():
            click.echo(f"{name + ':':<14}{', '.join(value) if isinstance(value, tuple) else value}")
        click.echo("")


@command.command("check")
@click.argument("file", type=click.Path(dir_okay=False))
@click.option(
    "--days",
    type=click.FloatRange(min=0),
    default=14,
    show_default=True,
    help="Status 1 when something ends sooner.",
)
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def check(file, days, as_json):
    """Check a TLS settings FILE with all that it names, without traffic: identity, chain, trust, lists, days
    left.

    Status 2 with section and reason where a front would refuse the set; 1 where something ends within --days.
    """
    now = wall()
    try:
        read_in = tls_file.read(file)
        found = key_set(read_in, now)
    except (ini.SettingError, BadMaterial) as flaw:
        fail(flaw if isinstance(flaw, ini.SettingError) else f"{file}: {flaw}")
    rows = []
    if found.chain:
        for place, one in enumerate((found.chain.leaf, *found.chain.above)):
            rows.append(
                {"what": "[client] certificate" if not place else "  hangs on"} | shown(one, now)._asdict()
            )
    for trust in found.trusts:
        rows += [{"what": f"[trust {trust.title}] root"} | shown(one, now)._asdict() for one in trust.roots]
        for one in trust.lists:
            left = (
                round((one.next_update_utc.timestamp() - now / 1e6) / 86_400, 2)
                if one.next_update_utc
                else None
            )
            rows.append(
                {
                    "what": f"[trust {trust.title}] list",
                    "subject": one.issuer.rfc4514_string(),
                    "key": f"{len(one)} revoked" + (", stale" if trust.stale else ""),
                    "days_left": left,
                }
            )
    warnings = [
        f"[trust {entry.title}] verify: off; whoever answers for {', '.join(entry.members)} is believed"
        for entry in read_in.trusts
        if not entry.verify
    ]
    short = [row for row in rows if row["days_left"] is not None and row["days_left"] < days]
    if as_json:
        click.echo(json.dumps({"rows": rows, "warnings": warnings, "holds": not short}, indent=1))
    else:
        for row in rows:
            click.echo(
                f"{row['what']:<24}{row['subject']:<32}{row['key']:<16}{row['days_left']} days left"
                + (" SOON" if row in short else "")
            )
        for warning in warnings:
            click.echo(f"warning: {warning}")
    sys.exit(1 if short else 0)
