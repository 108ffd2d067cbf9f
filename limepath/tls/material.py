"""Parses certificates, keys, roots and revocation lists, and checks that they fit together. Does no I/O.

The library `cryptography` parses X.509. `host` matches the name of a server with `service_identity`
(RFC 6125, RFC 9525), because the name is known only in a handshake.
"""

from datetime import UTC, datetime
from itertools import pairwise
from typing import NamedTuple

from cryptography import x509
from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519, rsa

MIN_RSA_BITS, MIN_CURVE_BITS, MAX_CHAIN_ISSUERS = 2048, 224, 8
# Days before an expiry at which a notice is logged. During the last day a notice is logged every hour.
EXPIRY_NOTICE_DAYS = (30, 14, 7, 3, 2, 1)


class KeyMaterialError(ValueError):
    """A certificate, key or list cannot be used. The text names the part and the reason, without a path."""


class Chain(NamedTuple):
    """A certificate and its issuers, with or without the root.

    Attributes:
        leaf: the certificate itself.
        issuers: the CA certificates above it, starting with its own issuer.
        valid_from: the latest start of validity in the chain, in Unix microseconds.
        valid_until: the earliest expiry in the chain, in Unix microseconds.
    """

    leaf: x509.Certificate
    issuers: tuple
    valid_from: int
    valid_until: int


class CertificateInfo(NamedTuple):
    """A certificate as `limepath keys inspect` shows it. The field names are keys of its JSON output."""

    subject: str
    issuer: str
    names: tuple
    serial: int
    key: str
    since: str
    until: str
    days_left: float
    is_ca: bool
    fingerprint: str


def unix_microseconds(when):
    return int(when.timestamp() * 1_000_000)


def load_certificates(pem, label="certificate"):
    """Return the certificates of a PEM file; errors start with `label`."""
    try:
        loaded = x509.load_pem_x509_certificates(pem)
    except ValueError:
        raise KeyMaterialError(f"{label}: no certificate in PEM format found") from None
    if len(loaded) > 1 and len({certificate.fingerprint(hashes.SHA256()) for certificate in loaded}) < len(
        loaded
    ):
        raise KeyMaterialError(f"{label}: contains the same certificate twice")
    return tuple(loaded)


def load_private_key(pem, password=None):
    try:
        return serialization.load_pem_private_key(pem, password)
    except TypeError:
        raise KeyMaterialError("key: encrypted with a password; expected a key without one") from None
    except (ValueError, UnsupportedAlgorithm):
        raise KeyMaterialError("key: no private key in a supported PEM format found") from None


def parse_revocation_lists(pem):
    """Return the revocation lists of a PEM file that contains one or more."""
    lists = []
    end_line = b"-----END X509 CRL-----"
    for part in pem.split(end_line)[:-1]:
        try:
            lists.append(x509.load_pem_x509_crl(part + end_line + b"\n"))
        except ValueError:
            raise KeyMaterialError("revocation list: not a revocation list in PEM format") from None
    if not lists:
        raise KeyMaterialError("revocation list: none in PEM format found")
    return tuple(lists)


def describe_key(key):
    """Return the type and size of a public key; raise KeyMaterialError if it is weak or not supported."""
    if isinstance(key, rsa.RSAPublicKey):
        if key.key_size < MIN_RSA_BITS:
            raise KeyMaterialError(f"weak key: RSA of {key.key_size} bits, expected at least {MIN_RSA_BITS}")
        return f"RSA {key.key_size}"
    if isinstance(key, ec.EllipticCurvePublicKey):
        if key.curve.key_size < MIN_CURVE_BITS:
            raise KeyMaterialError(
                f"weak key: {key.curve.name} of {key.curve.key_size} bits, expected at least {MIN_CURVE_BITS}"
            )
        return f"EC {key.curve.name}"
    if isinstance(key, ed25519.Ed25519PublicKey):
        return "Ed25519"
    raise KeyMaterialError("key: type not supported; expected RSA, EC or Ed25519")


def same_key(first, second):
    def encoded(key):
        return key.public_bytes(serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo)

    return encoded(first) == encoded(second)


def is_ca(certificate):
    try:
        return bool(certificate.extensions.get_extension_for_class(x509.BasicConstraints).value.ca)
    except x509.ExtensionNotFound:
        return False


def is_issuer(issuer, certificate):
    """Whether `issuer` is a CA and has signed `certificate`."""
    if certificate.issuer != issuer.subject or not is_ca(issuer):
        return False
    try:
        certificate.verify_directly_issued_by(issuer)
    except (InvalidSignature, ValueError, TypeError):
        return False
    return True


def load_chain(certificate_pem, key_pem, roots=(), wall=None):
    """Return the Chain of a certificate file, after checking it and its key.

    The key must belong to the first certificate, and each further one must be the issuer of the one before
    it. All must be valid at `wall` (Unix microseconds) unless that is None. If `roots` (certificates) are
    given, the last must be one of them or be issued by one.
    """
    leaf, *issuers = load_certificates(certificate_pem)
    key = load_private_key(key_pem)
    if not same_key(leaf.public_key(), key.public_key()):
        raise KeyMaterialError("key: does not fit the certificate")
    if len(issuers) > MAX_CHAIN_ISSUERS:
        raise KeyMaterialError(
            f"certificate: a chain of {len(issuers) + 1}, expected at most {MAX_CHAIN_ISSUERS + 1}"
        )
    for issued, certificate in pairwise((leaf, *issuers)):
        if not is_issuer(certificate, issued):
            raise KeyMaterialError(
                f"chain: {subject_name(issued)} is not issued by {subject_name(certificate)}"
            )
    last = issuers[-1] if issuers else leaf
    if roots and not any(last == root or is_issuer(root, last) for root in roots):
        raise KeyMaterialError(
            f"chain: incomplete, or of another root: the issuer of {subject_name(last)} is "
            f"{last.issuer.rfc4514_string()}"
        )
    for certificate in (leaf, *issuers):
        describe_key(certificate.public_key())
        check_validity_period(certificate, wall)
    chain = (leaf, *issuers)
    return Chain(
        leaf,
        tuple(issuers),
        max(unix_microseconds(certificate.not_valid_before_utc) for certificate in chain),
        min(unix_microseconds(certificate.not_valid_after_utc) for certificate in chain),
    )


def check_validity_period(certificate, wall):
    """Raise KeyMaterialError if a certificate is not valid at `wall`; None skips the check."""
    if wall is None:
        return
    if wall >= unix_microseconds(certificate.not_valid_after_utc):
        raise KeyMaterialError(
            f"certificate expired: {subject_name(certificate)} on "
            f"{certificate.not_valid_after_utc:%Y-%m-%d %H:%M}"
        )
    if wall < unix_microseconds(certificate.not_valid_before_utc):
        raise KeyMaterialError(
            f"certificate not yet valid: {subject_name(certificate)} from "
            f"{certificate.not_valid_before_utc:%Y-%m-%d %H:%M}"
        )


def load_roots(pem, wall=None):
    """Return the roots of a trust file; each must be a CA with a strong key, valid at `wall`."""
    roots = load_certificates(pem, "trust")
    for root in roots:
        if not is_ca(root):
            raise KeyMaterialError(f"trust: {subject_name(root)} is not a CA")
        describe_key(root.public_key())
        check_validity_period(root, wall)
    return roots


def load_revocation_lists(pem, roots, wall):
    """Return the revocation lists of a PEM file and whether one is stale; a root must have signed each."""
    lists = parse_revocation_lists(pem)
    for revocation_list in lists:
        if not any(
            revocation_list.issuer == root.subject and revocation_list.is_signature_valid(root.public_key())
            for root in roots
        ):
            raise KeyMaterialError(
                f"revocation list: not signed by a trusted root: {revocation_list.issuer.rfc4514_string()}"
            )
    stale = any(
        revocation_list.next_update_utc is not None
        and unix_microseconds(revocation_list.next_update_utc) <= wall
        for revocation_list in lists
    )
    return lists, stale


def is_revoked(certificate, lists):
    return any(
        revocation_list.issuer == certificate.issuer
        and revocation_list.get_revoked_certificate_by_serial_number(certificate.serial_number) is not None
        for revocation_list in lists
    )


def subject_name(certificate):
    return certificate.subject.rfc4514_string() or "(no name)"


def alternative_names(certificate):
    try:
        names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        return ()
    return (*names.get_values_for_type(x509.DNSName), *map(str, names.get_values_for_type(x509.IPAddress)))


def certificate_info(certificate, wall):
    """Return the CertificateInfo of a certificate, with the days left at `wall` (Unix microseconds)."""
    try:
        key = describe_key(certificate.public_key())
    except KeyMaterialError as error:
        key = str(error)
    return CertificateInfo(
        subject_name(certificate),
        certificate.issuer.rfc4514_string(),
        alternative_names(certificate),
        certificate.serial_number,
        key,
        f"{certificate.not_valid_before_utc:%Y-%m-%dT%H:%MZ}",
        f"{certificate.not_valid_after_utc:%Y-%m-%dT%H:%MZ}",
        round((unix_microseconds(certificate.not_valid_after_utc) - wall) / 86_400e6, 2),
        is_ca(certificate),
        certificate.fingerprint(hashes.SHA256()).hex(),
    )


def expiry_notice(valid_until, wall, last=None):
    """Return the notice of an expiry that should be logged at `wall`, or None if that is `last`.

    The notice is the time left: in days at EXPIRY_NOTICE_DAYS, in hours during the last day, or "over".
    """
    time_left = valid_until - wall
    if time_left <= 0:
        notice = "over"
    elif time_left <= 86_400_000_000:
        notice = f"{-(-time_left // 3_600_000_000)} hours"
    else:
        days = -(-time_left // 86_400_000_000)
        reached = [limit for limit in EXPIRY_NOTICE_DAYS if days <= limit]
        if not reached:
            return None
        notice = f"{min(reached)} days"
    return None if notice == last else notice


def utc_datetime(unix_us):
    return datetime.fromtimestamp(unix_us / 1e6, UTC)
