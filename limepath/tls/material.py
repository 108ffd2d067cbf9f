"""Whether certificates, keys and trust fit together: bytes in, a checked set out, or the reason why not. Free
of I/O.

X.509 is read by the library `cryptography`; names are matched by `service_identity` where a handshake runs
(RFC 6125, 9525).
"""

from datetime import UTC, datetime
from itertools import pairwise
from typing import NamedTuple

from cryptography import x509
from cryptography.exceptions import InvalidSignature, UnsupportedAlgorithm
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec, ed25519, rsa

LEAST_RSA, LEAST_CURVE, LONGEST_CHAIN = 2048, 224, 8  # bits, bits, certificates
ANNOUNCED = (
    30,
    14,
    7,
    3,
    2,
    1,
)  # days before its end that a certificate is announced, then each hour of the last day


class BadMaterial(ValueError):
    """Its text says which part and why; no path."""


class Chain(NamedTuple):
    """A certificate with what it hangs on, up to a trusted root or not; times are Unix microseconds."""

    leaf: x509.Certificate
    above: tuple
    since: int
    until: int


class Found(NamedTuple):
    """One certificate as `limepath keys inspect` shows it."""

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


def unix(moment):
    return int(moment.timestamp() * 1_000_000)


def certificates(pem, what="certificate"):
    try:
        found = x509.load_pem_x509_certificates(pem)
    except ValueError:
        raise BadMaterial(f"{what}: no certificate that can be read") from None
    if len(found) > 1 and len({one.fingerprint(hashes.SHA256()) for one in found}) < len(found):
        raise BadMaterial(f"{what}: the same certificate stands twice")
    return tuple(found)


def private_key(pem, password=None):
    try:
        return serialization.load_pem_private_key(pem, password)
    except TypeError:
        raise BadMaterial("key: it is encrypted; a front can't ask for a password") from None
    except (ValueError, UnsupportedAlgorithm):
        raise BadMaterial("key: no private key that can be read") from None


def revocations(pem):
    """{(issuer's name, serial): the list's next update}, and when each list ends, of PEM lists one after
    another.
    """
    lists = []
    mark = b"-----END X509 CRL-----"
    for part in pem.split(mark)[:-1]:
        try:
            lists.append(x509.load_pem_x509_crl(part + mark + b"\n"))
        except ValueError:
            raise BadMaterial("revocation list: can't be read") from None
    if not lists:
        raise BadMaterial("revocation list: none that can be read")
    return tuple(lists)


def strength(key):
    """In words; BadMaterial where it is too weak."""
    if isinstance(key, rsa.RSAPublicKey):
        if key.key_size < LEAST_RSA:
            raise BadMaterial(f"weak key: RSA of {key.key_size} bits")
        return f"RSA {key.key_size}"
    if isinstance(key, ec.EllipticCurvePublicKey):
        if key.curve.key_size < LEAST_CURVE:
            raise BadMaterial(f"weak key: {key.curve.name}")
        return f"EC {key.curve.name}"
    if isinstance(key, ed25519.Ed25519PublicKey):
        return "Ed25519"
    raise BadMaterial("key: of a kind that is not taken")


def same_key(one, other):
    def raw(key):
        return key.public_bytes(serialization.Encoding.DER, serialization.PublicFormat.SubjectPublicKeyInfo)

    return raw(one) == raw(other)


def is_ca(certificate):
    try:
        return bool(certificate.extensions.get_extension_for_class(x509.BasicConstraints).value.ca)
    except x509.ExtensionNotFound:
        return False


def issued(above, below):
    """Whether `above` has signed `below` and may."""
    if below.issuer != above.subject or not is_ca(above):
        return False
    try:
        below.verify_directly_issued_by(above)
    except (InvalidSignature, ValueError, TypeError):
        return False
    return True


def hangs_together(certificate_pem, key_pem, roots=(), wall=None):
    """The Chain of a certificate file with its key: they fit, each hangs on the next, none is over at `wall`.

    With `roots` (certificates) the last must hang on one of them or be one.
    """
    leaf, *above = certificates(certificate_pem)
    key = private_key(key_pem)
    if not same_key(leaf.public_key(), key.public_key()):
        raise BadMaterial("key: it does not fit the certificate")
    if len(above) > LONGEST_CHAIN:
        raise BadMaterial(f"certificate: a chain of {len(above) + 1}")
    for below, one in pairwise((leaf, *above)):
        if not issued(one, below):
            raise BadMaterial(f"chain: {subject(below)} does not hang on {subject(one)}")
    last = above[-1] if above else leaf
    if roots and not any(last == root or issued(root, last) for root in roots):
        raise BadMaterial(
            f"chain: incomplete, or of another root: {subject(last)} hangs on {last.issuer.rfc4514_string()}"
        )
    for one in (leaf, *above):
        strength(one.public_key())
        in_time(one, wall)
    whole = (leaf, *above)
    return Chain(
        leaf,
        tuple(above),
        max(unix(one.not_valid_before_utc) for one in whole),
        min(unix(one.not_valid_after_utc) for one in whole),
    )


def in_time(certificate, wall):
    if wall is None:
        return
    if wall >= unix(certificate.not_valid_after_utc):
        raise BadMaterial(
            f"certificate expired: {subject(certificate)} on {certificate.not_valid_after_utc:%Y-%m-%d %H:%M}"
        )
    if wall < unix(certificate.not_valid_before_utc):
        raise BadMaterial(
            f"certificate not yet valid: {subject(certificate)} from "
            f"{certificate.not_valid_before_utc:%Y-%m-%d %H:%M}"
        )


def trusted(pem, wall=None):
    """The roots of a trust file; each is a CA, strong enough and in its time."""
    roots = certificates(pem, "trust")
    for root in roots:
        if not is_ca(root):
            raise BadMaterial(f"trust: {subject(root)} is no CA")
        strength(root.public_key())
        in_time(root, wall)
    return roots


def checked_lists(pem, roots, wall):
    """(lists, whether one is stale): each signed by one of the roots."""
    lists = revocations(pem)
    for one in lists:
        if not any(
            one.issuer == root.subject and one.is_signature_valid(root.public_key()) for root in roots
        ):
            raise BadMaterial(f"revocation list: of {one.issuer.rfc4514_string()}, whom nobody here trusts")
    stale = any(one.next_update_utc is not None and unix(one.next_update_utc) <= wall for one in lists)
    return lists, stale


def is_revoked(certificate, lists):
    return any(
        one.issuer == certificate.issuer
        and one.get_revoked_certificate_by_serial_number(certificate.serial_number) is not None
        for one in lists
    )


def subject(certificate):
    return certificate.subject.rfc4514_string() or "(no name)"


def names_of(certificate):
    try:
        names = certificate.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        return ()
    return (*names.get_values_for_type(x509.DNSName), *map(str, names.get_values_for_type(x509.IPAddress)))


def shown(certificate, wall):
    try:
        key = strength(certificate.public_key())
    except BadMaterial as error:
        key = str(error)
    return Found(
        subject(certificate),
        certificate.issuer.rfc4514_string(),
        names_of(certificate),
        certificate.serial_number,
        key,
        f"{certificate.not_valid_before_utc:%Y-%m-%dT%H:%MZ}",
        f"{certificate.not_valid_after_utc:%Y-%m-%dT%H:%MZ}",
        round((unix(certificate.not_valid_after_utc) - wall) / 86_400e6, 2),
        is_ca(certificate),
        certificate.fingerprint(hashes.SHA256()).hex(),
    )


def announced(until, wall, last=None):
    """The mark of an end that should be announced now, or None: days before, then hours; each mark once
    (`last`).
    """
    left = until - wall
    if left <= 0:
        mark = "over"
    elif left <= 86_400_000_000:
        mark = f"{-(-left // 3_600_000_000)} hours"
    else:
        days = -(-left // 86_400_000_000)
        reached = [one for one in ANNOUNCED if days <= one]
        if not reached:
            return None
        mark = f"{min(reached)} days"
    return None if mark == last else mark


def moment(wall):
    return datetime.fromtimestamp(wall / 1e6, UTC)
