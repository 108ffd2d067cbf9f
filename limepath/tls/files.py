"""Reads the files of a key set, which `material` checks, and writes certificate and key files."""

import os
from typing import NamedTuple

from limepath.tls.material import KeyMaterialError, load_chain, load_revocation_lists, load_roots


class LoadedTrust(NamedTuple):
    """The files of one trust section.

    Attributes:
        title: the section's name.
        roots: the trusted certificates.
        lists: the revocation lists.
        stale: whether a revocation list is past its next update.
    """

    title: str
    roots: tuple
    lists: tuple
    stale: bool


class KeySet(NamedTuple):
    """The certificates, keys and roots that are put in force together.

    Attributes:
        chain: the Chain of the front's own certificate, or None without one.
        certificate: the PEM file of the front's own certificate, or None.
        key: the PEM file of its key, or None.
        trusts: a LoadedTrust for each trust section.
    """

    chain: object
    certificate: bytes
    key: bytes
    trusts: tuple


def read_file(path, label, secret=False):
    """Return the bytes of a file, or raise an error that starts with `label`.

    A secret file to which others than its owner have access is refused.
    """
    try:
        with open(path, "rb") as file:
            if secret and os.fstat(file.fileno()).st_mode & 0o077:
                raise KeyMaterialError(
                    f"{label}: {path}: others than the owner have access; set its mode to 600"
                )
            return file.read(4_000_000)
    except OSError as error:
        raise KeyMaterialError(f"{label}: {path}: {error.strerror}") from None


def load_key_set(settings, wall):
    """Return the KeySet that TlsSettings name, valid at `wall` (Unix microseconds).

    Raises KeyMaterialError with the section and the reason if a part cannot be used.
    """
    chain = certificate = key = None
    if settings.certificate:
        certificate, key = (
            read_file(settings.certificate, "[client] certificate"),
            read_file(settings.key, "[client] key", True),
        )
        try:
            chain = load_chain(certificate, key, wall=wall)
        except KeyMaterialError as error:
            raise KeyMaterialError(f"[client] {error}") from None
    return KeySet(chain, certificate, key, tuple(load_trust(trust, wall) for trust in settings.trusts))


def load_trust(trust, wall):
    """Return the LoadedTrust of a Trust; raise KeyMaterialError if a file cannot be used."""
    section = f"[trust {trust.title}]"
    pem = read_file(trust.roots, f"{section} roots")
    lists_pem = read_file(trust.lists, f"{section} lists") if trust.lists else None
    try:
        roots = load_roots(pem, wall)
        lists, stale = load_revocation_lists(lists_pem, roots, wall) if lists_pem is not None else ((), False)
    except KeyMaterialError as error:
        raise KeyMaterialError(f"{section} {error}") from None
    if stale and trust.refuse_stale:
        raise KeyMaterialError(
            f"{section} lists: past their next update; renew them, or set stale-lists = warn"
        )
    return LoadedTrust(trust.title, roots, lists, stale)


def write_file(path, data, secret=False):
    """Replace a file atomically. Only the owner has access to a secret file."""
    temporary = f"{path}.new-{os.getpid()}"
    with open(
        os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600 if secret else 0o644), "wb"
    ) as file:
        file.write(data)
        file.flush()
        os.fsync(file.fileno())
    os.replace(temporary, path)
