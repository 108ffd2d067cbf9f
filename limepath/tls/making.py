"""Certificates and keys made here: for installations without an authority of their own, and for our
stand-ins.

Nothing is written: PEM bytes come back. Serial numbers are drawn by the library.
"""

import ipaddress
from typing import NamedTuple

from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, rsa
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from limepath.tls.material import (
    KeyMaterialError,
    is_ca,
    load_certificates,
    load_private_key,
    same_key,
    utc_datetime,
)

KINDS = ("ec", "rsa")
DAY = 86_400_000_000


class Made(NamedTuple):
    certificate: bytes
    key: bytes


def new_key(kind="ec", bits=None):
    if kind == "rsa":
        return rsa.generate_private_key(65_537, bits or 3072)
    return ec.generate_private_key(ec.SECP256R1())


def pem_of(key):
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def name(text):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def built(subject, issuer, public, signer, since, until, extensions):
    made = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(public)
        .serial_number(x509.random_serial_number())
        .not_valid_before(utc_datetime(since))
        .not_valid_after(utc_datetime(until))
    )
    made = made.add_extension(x509.SubjectKeyIdentifier.from_public_key(public), critical=False)
    made = made.add_extension(
        x509.AuthorityKeyIdentifier.from_issuer_public_key(signer.public_key()), critical=False
    )
    for extension, critical in extensions:
        made = made.add_extension(extension, critical)
    return made.sign(signer, hashes.SHA256())


def usage(ca):
    return x509.KeyUsage(not ca, False, False, False, False, ca, ca, False, False)


def authority(title, wall, days=3650, kind="ec", above=None, since=None):
    """A CA: of itself, or under `above` (a Made)."""
    key = new_key(kind)
    signer, issuer = key, name(title)
    if above:
        signer, (parent, *_) = load_private_key(above.key), load_certificates(above.certificate)
        issuer = parent.subject
    certificate = built(
        name(title),
        issuer,
        key.public_key(),
        signer,
        wall - DAY // 24 if since is None else since,
        wall + days * DAY,
        ((x509.BasicConstraints(True, None), True), (usage(True), True)),
    )
    return Made(certificate.public_bytes(serialization.Encoding.PEM), pem_of(key))


def issue(above, names, wall, days=90, kind="ec", since=None, client=True, key=None, bits=None):
    """A certificate for these names (DNS or addresses), signed by `above`; the chain below the root comes
    with it.
    """
    chain = load_certificates(above.certificate)
    signer = load_private_key(above.key)
    if not is_ca(chain[0]) or not same_key(chain[0].public_key(), signer.public_key()):
        raise KeyMaterialError("issuer: no CA with its own key")
    if not names:
        raise KeyMaterialError("names: none")
    key = key or new_key(kind, bits)
    alternatives = []
    for one in names:
        try:
            alternatives.append(x509.IPAddress(ipaddress.ip_address(one)))
        except ValueError:
            alternatives.append(x509.DNSName(one))
    purposes = [ExtendedKeyUsageOID.SERVER_AUTH] + [ExtendedKeyUsageOID.CLIENT_AUTH] * client
    until = wall + int(days * DAY)
    certificate = built(
        name(names[0][:64]),
        chain[0].subject,
        key.public_key(),
        signer,
        min(wall, until) - DAY // 24 if since is None else since,
        until,
        (
            (x509.BasicConstraints(False, None), True),
            (usage(False), True),
            (x509.ExtendedKeyUsage(purposes), False),
            (x509.SubjectAlternativeName(alternatives), False),
        ),
    )
    below_root = [one for one in chain if one.subject != one.issuer]
    whole = b"".join(one.public_bytes(serialization.Encoding.PEM) for one in (certificate, *below_root))
    return Made(whole, pem_of(key))


def revoked(above, serials, wall, hours=24.0):
    """A revocation list of `above`, as PEM."""
    (issuer, *_), signer = load_certificates(above.certificate), load_private_key(above.key)
    made = (
        x509.CertificateRevocationListBuilder()
        .issuer_name(issuer.subject)
        .last_update(utc_datetime(min(wall, wall + int(hours * 3600e6)) - 3_600_000_000))
        .next_update(utc_datetime(wall + int(hours * 3600e6)))
    )
    for serial in serials:
        made = made.add_revoked_certificate(
            x509.RevokedCertificateBuilder().serial_number(serial).revocation_date(utc_datetime(wall)).build()
        )
    return made.sign(signer, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)
