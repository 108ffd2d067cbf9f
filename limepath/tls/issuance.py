"""Creates certificates, keys and revocation lists, for installations without a CA of their own and for tests.

The functions return PEM bytes and write no files. The library `cryptography` draws the serial numbers.
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

KEY_TYPES = ("ec", "rsa")
DAY_US = 86_400_000_000


class CertificateAndKey(NamedTuple):
    """A certificate, which its issuers may follow, and its private key, both as PEM."""

    certificate: bytes
    key: bytes


def new_key(kind="ec", bits=None):
    if kind == "rsa":
        return rsa.generate_private_key(65_537, bits or 3072)
    return ec.generate_private_key(ec.SECP256R1())


def private_key_pem(key):
    return key.private_bytes(
        serialization.Encoding.PEM, serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    )


def common_name(text):
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, text)])


def build_certificate(subject, issuer, public_key, signer, valid_from, valid_until, extensions):
    builder = (
        x509.CertificateBuilder()
        .subject_name(subject)
        .issuer_name(issuer)
        .public_key(public_key)
        .serial_number(x509.random_serial_number())
        .not_valid_before(utc_datetime(valid_from))
        .not_valid_after(utc_datetime(valid_until))
    )
    builder = builder.add_extension(x509.SubjectKeyIdentifier.from_public_key(public_key), critical=False)
    builder = builder.add_extension(
        x509.AuthorityKeyIdentifier.from_issuer_public_key(signer.public_key()), critical=False
    )
    for extension, critical in extensions:
        builder = builder.add_extension(extension, critical)
    return builder.sign(signer, hashes.SHA256())


def key_usage(ca):
    return x509.KeyUsage(not ca, False, False, False, False, ca, ca, False, False)


def create_ca(title, wall, days=3650, kind="ec", issuer=None, valid_from=None):
    """Return the CertificateAndKey of a CA, signed by the CA `issuer`, or by itself without one."""
    key = new_key(kind)
    signer, issuer_name = key, common_name(title)
    if issuer:
        signer, (issuer_certificate, *_) = load_private_key(issuer.key), load_certificates(issuer.certificate)
        issuer_name = issuer_certificate.subject
    certificate = build_certificate(
        common_name(title),
        issuer_name,
        key.public_key(),
        signer,
        wall - DAY_US // 24 if valid_from is None else valid_from,
        wall + days * DAY_US,
        ((x509.BasicConstraints(True, None), True), (key_usage(True), True)),
    )
    return CertificateAndKey(certificate.public_bytes(serialization.Encoding.PEM), private_key_pem(key))


def issue(issuer, names, wall, days=90, kind="ec", valid_from=None, client=True, key=None, bits=None):
    """Return a certificate for DNS names or addresses, signed by the CA `issuer`, and its key.

    The certificates of the intermediate CAs follow it in the PEM text; the root is left out.
    """
    chain = load_certificates(issuer.certificate)
    signer = load_private_key(issuer.key)
    if not is_ca(chain[0]) or not same_key(chain[0].public_key(), signer.public_key()):
        raise KeyMaterialError("issuer: expected the certificate of a CA and the key that belongs to it")
    if not names:
        raise KeyMaterialError("names: none given; expected at least one")
    key = key or new_key(kind, bits)
    alternative_names = []
    for name in names:
        try:
            alternative_names.append(x509.IPAddress(ipaddress.ip_address(name)))
        except ValueError:
            alternative_names.append(x509.DNSName(name))
    purposes = [ExtendedKeyUsageOID.SERVER_AUTH] + [ExtendedKeyUsageOID.CLIENT_AUTH] * client
    valid_until = wall + int(days * DAY_US)
    certificate = build_certificate(
        common_name(names[0][:64]),
        chain[0].subject,
        key.public_key(),
        signer,
        min(wall, valid_until) - DAY_US // 24 if valid_from is None else valid_from,
        valid_until,
        (
            (x509.BasicConstraints(False, None), True),
            (key_usage(False), True),
            (x509.ExtendedKeyUsage(purposes), False),
            (x509.SubjectAlternativeName(alternative_names), False),
        ),
    )
    intermediates = [entry for entry in chain if entry.subject != entry.issuer]
    pem = b"".join(entry.public_bytes(serialization.Encoding.PEM) for entry in (certificate, *intermediates))
    return CertificateAndKey(pem, private_key_pem(key))


def create_revocation_list(issuer, serials, wall, hours=24.0):
    """Return a revocation list of the CA `issuer`, as PEM, with its next update in `hours`."""
    (certificate, *_), signer = load_certificates(issuer.certificate), load_private_key(issuer.key)
    builder = (
        x509.CertificateRevocationListBuilder()
        .issuer_name(certificate.subject)
        .last_update(utc_datetime(min(wall, wall + int(hours * 3600e6)) - 3_600_000_000))
        .next_update(utc_datetime(wall + int(hours * 3600e6)))
    )
    for serial in serials:
        builder = builder.add_revoked_certificate(
            x509.RevokedCertificateBuilder().serial_number(serial).revocation_date(utc_datetime(wall)).build()
        )
    return builder.sign(signer, hashes.SHA256()).public_bytes(serialization.Encoding.PEM)
