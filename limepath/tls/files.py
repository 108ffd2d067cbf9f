"""Key files on the disk: read as a set, written for their owner alone. What fits together is decided in
`material`.
"""

import os
from typing import NamedTuple

from limepath.tls.material import BadMaterial, checked_lists, hangs_together, trusted


class Trusted(NamedTuple):
    """One trust entry as read: `stale` where a revocation list is past its next update."""

    title: str
    roots: tuple
    lists: tuple
    stale: bool


class KeySet(NamedTuple):
    """All that one swap puts in force: taken as a whole or not at all. `chain` None: no key of our own."""

    chain: object
    certificate: bytes
    key: bytes
    trusts: tuple


def read(path, what, secret=False):
    try:
        with open(path, "rb") as file:
            if secret and os.fstat(file.fileno()).st_mode & 0o077:
                raise BadMaterial(f"{what}: {path}: open to others; its mode should be 600")
            return file.read(4_000_000)
    except OSError as error:
        raise BadMaterial(f"{what}: {path}: {error.strerror}") from None


def key_set(opening, wall):
    """The KeySet of a TlsOpening at this moment (Unix microseconds); BadMaterial names the part that won't
    do.
    """
    chain = certificate = key = None
    if opening.certificate:
        certificate, key = (
            read(opening.certificate, "[client] certificate"),
            read(opening.key, "[client] key", True),
        )
        try:
            chain = hangs_together(certificate, key, wall=wall)
        except BadMaterial as error:
            raise BadMaterial(f"[client] {error}") from None
    return KeySet(chain, certificate, key, tuple(trusted_of(trust, wall) for trust in opening.trusts))


def trusted_of(trust, wall):
    section = f"[trust {trust.title}]"
    pem = read(trust.roots, f"{section} roots")
    lists_pem = read(trust.lists, f"{section} lists") if trust.lists else None
    try:
        roots = trusted(pem, wall)
        lists, stale = checked_lists(lists_pem, roots, wall) if lists_pem is not None else ((), False)
    except BadMaterial as error:
        raise BadMaterial(f"{section} {error}") from None
    if stale and trust.refuse_stale:
        raise BadMaterial(f"{section} lists: past the next update; renew them, or set stale-lists = warn")
    return Trusted(trust.title, roots, lists, stale)


def write(path, data, secret=False):
    """Write a whole file in one step: who reads sees the old one or the new one."""
    part = f"{path}.new-{os.getpid()}"
    with open(os.open(part, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600 if secret else 0o644), "wb") as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(part, path)
