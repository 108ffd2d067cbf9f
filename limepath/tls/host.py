"""TLS on the sockets to servers: contexts of the keys in force, handshakes as `admission` lets them begin,
sessions kept.

A connection is handed to the front once its handshake is done and its server verified; before that nothing of
a forward is written, so a handshake that fails is proven not to have run and comes back as a ConnectError.
"""

import ipaddress
import time
from itertools import count

from OpenSSL import SSL, crypto
from service_identity import CertificateError, VerificationError
from service_identity.pyopenssl import verify_hostname, verify_ip_address
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError, ConnectionRefusedError, TimeoutError
from twisted.internet.interfaces import IHandshakeListener, IOpenSSLClientConnectionCreator
from twisted.internet.protocol import Factory, Protocol
from twisted.protocols.tls import TLSMemoryBIOFactory
from zope.interface import implementer

from limepath.tls.admission import Admission
from limepath.tls.files import key_set
from limepath.tls.interface import Begin, Broken, Failure, Refuse, Session, Shaken, Swapped, Told, Under, Want
from limepath.tls.material import BadMaterial, announced, is_revoked, unix
from limepath.tls.sessions import Sessions

VERSIONS = {"1.2": SSL.TLS1_2_VERSION, "1.3": SSL.TLS1_3_VERSION}
# what OpenSSL's verification says, by the numbers of its x509_vfy.h
FAILURES = {
    9: Failure.NOT_YET_VALID,
    10: Failure.EXPIRED,
    23: Failure.REVOKED,
    62: Failure.WRONG_NAME,
    66: Failure.WEAK,
    67: Failure.WEAK,
    68: Failure.WEAK,
} | dict.fromkeys((2, 18, 19, 20, 21, 24, 79), Failure.UNKNOWN_ISSUER)
DAY = 86_400_000_000


def clock():
    return time.monotonic_ns() // 1000


def unix_clock():
    return time.time_ns() // 1000


class HandshakeFailed(ConnectError):
    """Nothing of a forward was sent. `failure` is a Failure, or None where no handshake was begun."""

    def __init__(self, failure, why):
        super().__init__(string=why)
        self.failure = failure


@implementer(IOpenSSLClientConnectionCreator)
class Creator:
    """Makes the library's connection for one handshake."""

    def __init__(self, shaking):
        self.shaking = shaking

    def clientConnectionForTLS(self, protocol):
        shaking = self.shaking
        connection = SSL.Connection(shaking.context, None)
        if not shaking.address_only:
            connection.set_tlsext_host_name(shaking.under.name.encode("ascii"))
        if shaking.offered:
            connection.set_session(shaking.offered.ticket)
        connection.set_connect_state()
        return connection


@implementer(IHandshakeListener)
class Shaking(Protocol):
    """One connection from its handshake on; once that is done, all goes to and from the front's protocol."""

    def __init__(self, secured, number, member, under, trust, inner):
        self.secured, self.number, self.member, self.under, self.trust, self.inner = (
            secured,
            number,
            member,
            under,
            trust,
            inner,
        )
        self.context, self.lists, self.verify = secured.contexts[trust.title]
        self.done, self.failed, self.verification_failure, self.offered, self.timer, self.kept = (
            Deferred(),
            False,
            None,
            None,
            None,
            False,
        )
        self.up = self.looked = False
        try:
            ipaddress.ip_address(under.name)
            self.address_only = True
        except ValueError:
            self.address_only = False

    def judged(self, certificate, number):
        """OpenSSL's verification looks at a certificate, failing or not: remember the first failure."""
        self.looked = True
        if number and self.verification_failure is None:
            self.verification_failure = FAILURES.get(number, Failure.UNKNOWN_ISSUER)

    def connectionMade(self):
        self.timer = self.secured.reactor.callLater(
            self.secured.opening.handshake_timeout / 1e6, self.fail, Failure.TIMED_OUT
        )

    def handshakeCompleted(self):
        connection = self.transport.getHandle()
        if self.verify and (failure := self.unfit(connection)):
            return self.fail(failure)
        self.timer.cancel()
        self.up, self.resumed = (
            True,
            self.offered is not None and not self.looked,
        )  # a resumption looks at none
        self.protocol_name = connection.get_protocol_version_name()
        if self.protocol_name != "TLSv1.3":
            self.keep(connection)
        self.inner.makeConnection(self.transport)
        self.secured.shaken(self)

    def unfit(self, connection):
        """Name and revocation lists, which the library's own verification leaves to us."""
        try:
            (verify_ip_address if self.address_only else verify_hostname)(connection, self.under.name)
        except (
            VerificationError,
            CertificateError,
            ValueError,
        ):  # another name, no name, one that can't be read
            return Failure.WRONG_NAME
        chain = connection.get_verified_chain() or [connection.get_peer_certificate()]
        if any(is_revoked(one.to_cryptography(), self.lists) for one in chain if one):
            return Failure.REVOKED
        return None

    def keep(self, connection):
        """Keep the session for the next handshake, under what this one was verified under."""
        ticket = connection.get_session()
        if ticket is None or self.kept:
            return
        self.kept = True
        if self.offered and self.resumed:
            since, until = self.offered.wall_since, self.offered.wall_until
        else:
            chain = [
                one.to_cryptography()
                for one in connection.get_verified_chain() or [connection.get_peer_certificate()]
            ]
            since = max(unix(one.not_valid_before_utc) for one in chain)
            until = min(unix(one.not_valid_after_utc) for one in chain)
        now = clock()
        self.secured.sessions.keep(
            now,
            unix_clock(),
            Session(
                self.under,
                self.protocol_name,
                ticket,
                now + self.secured.sessions.longest,
                since,
                until,
                self.protocol_name == "TLSv1.3",
            ),
        )

    def dataReceived(self, data):
        if self.up:
            if not self.kept:  # tickets of 1.3 come with the first bytes
                self.keep(self.transport.getHandle())
            self.inner.dataReceived(data)

    def connectionLost(self, reason):
        if self.up:
            self.secured.open.discard(self)
            self.inner.connectionLost(reason)
        else:
            self.fail(self.verification_failure or self.kind(reason), lost=True)

    @staticmethod
    def kind(reason):
        """What broke the handshake off, as far as the library's words tell."""
        if not isinstance(reason.value, SSL.Error):
            return Failure.BROKE_OFF
        words = " ".join(
            str(one) for part in reason.value.args for one in (part if isinstance(part, list) else [part])
        ).lower()
        if "alert" in words and ("certificate" in words or "unknown ca" in words or "access denied" in words):
            return Failure.KEY_REFUSED
        if "too small" in words or "too weak" in words:
            return Failure.WEAK
        return Failure.PROTOCOL if words else Failure.BROKE_OFF

    def fail(self, failure, lost=False):
        if self.failed or self.up and lost:
            return
        self.failed = True
        if self.timer and self.timer.active():
            self.timer.cancel()
        if not lost:
            self.transport.abortConnection()
        self.secured.broken(self, failure)


class Secured:
    """All TLS of one front. `opening` is a TlsOpening, `kinds` maps a member's kind to its Trust."""

    def __init__(self, reactor, log, opening, kinds, seed):
        self.reactor, self.log, self.opening, self.kinds = reactor, log, opening, kinds
        self.admission, self.sessions = (
            Admission(seed, opening.pace, opening.retry_delays),
            Sessions(*opening.sessions),
        )
        self.trust, self.client, self.numbers, self.wanted = 0, 0, count(1), {}
        self.contexts, self.timer, self.open, self.names, self.said = {}, None, set(), {}, {}
        self.counts = {"full": 0, "resumed": 0, "swaps": 0} | {failure.value: 0 for failure in Failure}
        self.keys = key_set(opening, unix_clock())
        self.build()
        for trust in opening.trusts:
            if not trust.verify:
                log.info(
                    "tls-unverified",
                    "whoever answers is believed",
                    trust=trust.title,
                    members=",".join(trust.members),
                )

    def build(self):
        self.contexts = {
            trust.title: (self.context(trust, found), found.lists, trust.verify)
            for trust, found in zip(self.opening.trusts, self.keys.trusts, strict=True)
        }

    def context(self, trust, found):
        context = SSL.Context(SSL.TLS_CLIENT_METHOD)
        context.set_min_proto_version(VERSIONS[self.opening.min_version])
        context.set_max_proto_version(VERSIONS[self.opening.max_version])
        context.set_options(SSL.OP_NO_COMPRESSION | SSL.OP_NO_RENEGOTIATION)
        context.set_session_cache_mode(SSL.SESS_CACHE_CLIENT | SSL.SESS_CACHE_NO_INTERNAL)
        store = context.get_cert_store()
        for root in found.roots:
            store.add_cert(crypto.X509.from_cryptography(root))

        def judge(connection, certificate, number, depth, fine):
            connection.get_app_data().wrappedProtocol.judged(
                certificate, 0 if fine or not trust.verify else number
            )
            return bool(fine) or not trust.verify

        context.set_verify(SSL.VERIFY_PEER, judge)
        if self.keys.chain:
            context.use_certificate(crypto.X509.from_cryptography(self.keys.chain.leaf))
            for one in self.keys.chain.above:
                context.add_extra_chain_cert(crypto.X509.from_cryptography(one))
            context.use_privatekey(crypto.load_privatekey(crypto.FILETYPE_PEM, self.keys.key))
        return context

    def reload(self):
        """Read the set again: taken as a whole, or refused as a whole with the reason in the log."""
        try:
            keys = key_set(self.opening, unix_clock())
        except BadMaterial as error:
            self.log.info("tls-keys", f"{error}; the old set stays")
            return False
        trust = [
            (one.roots, tuple(x.fingerprint(x.signature_hash_algorithm) for x in one.lists))
            for one in keys.trusts
        ]
        held = [
            (one.roots, tuple(x.fingerprint(x.signature_hash_algorithm) for x in one.lists))
            for one in self.keys.trusts
        ]
        other_trust, other_key = (
            trust != held,
            (keys.certificate, keys.key) != (self.keys.certificate, self.keys.key),
        )
        if not (other_trust or other_key):
            return False
        self.keys = keys
        self.trust, self.client = self.trust + other_trust, self.client + other_key
        self.build()
        self.sessions.swap(self.trust, self.client)
        self.counts["swaps"] += 1
        self.log.info("tls-keys", "swapped", trust=self.trust, key=self.client)
        if other_trust:  # what is out finishes; nothing new goes where the old trust led
            for shaking in list(self.open):
                shaking.inner.retire()
        self.carry(self.admission.handle(clock(), [Swapped()]))
        return True

    def announce(self):
        """Say, some days and then hours before, that something ends."""
        wall, ends = unix_clock(), {}
        if self.keys.chain:
            ends["our certificate"] = self.keys.chain.until
        for found in self.keys.trusts:
            for root in found.roots:
                ends[f"root of {found.title}"] = min(
                    unix(root.not_valid_after_utc), ends.get(f"root of {found.title}", 10**18)
                )
        for what, until in ends.items():
            if mark := announced(until, wall, self.said.get(what)):
                self.said[what] = mark
                self.log.info("tls-ends", what=what, left=mark)

    # Connections

    def connect(self, peer, inner, until):
        """A Deferred of `inner` once it is connected and its server verified; None where no trust covers this
        kind.
        """
        trust = self.kinds.get(peer.kind)
        if trust is None:
            return None
        number, now = next(self.numbers), clock()
        under = Under(peer.ident, trust.name.replace("{id}", peer.name), self.trust, self.client)
        shaking = Shaking(self, number, peer, under, trust, inner)
        self.wanted[number] = shaking
        resumable = self.sessions.resumable(now, unix_clock(), under)
        self.carry(self.admission.handle(now, [Want(number, peer.ident, resumable, until, until)]))
        return shaking.done

    def carry(self, orders):
        for order in orders:
            if isinstance(order, Begin):
                self.begin(self.wanted[order.id])
            elif isinstance(order, Refuse):
                shaking = self.wanted.pop(order.id)
                self.reactor.callLater(0, shaking.done.errback, HandshakeFailed(None, order.why))
            elif isinstance(order, Told):
                self.log.info(
                    "tls-server",
                    order.what,
                    server=self.names.get(order.server, order.server),
                    **({"why": order.failure.value, "for_ms": order.span // 1000} if order.failure else {}),
                )
        due = self.admission.next()
        if self.timer and self.timer.active():
            self.timer.cancel()
        self.timer = due is not None and self.reactor.callLater(max(0, due - clock()) / 1e6, self.due)

    def due(self):
        self.carry(self.admission.handle(clock(), ()))

    def begin(self, shaking):
        """TCP first, then the handshake, with a session where one holds under the generations of now."""
        peer = shaking.member
        self.names[peer.ident] = peer.name
        shaking.under = shaking.under._replace(trust=self.trust, client=self.client)
        shaking.context, shaking.lists, shaking.verify = self.contexts[shaking.trust.title]
        shaking.offered = self.sessions.offer(clock(), unix_clock(), shaking.under)
        factory = TLSMemoryBIOFactory(Creator(shaking), True, Factory.forProtocol(lambda: shaking))
        factory.noisy = False
        host, port = peer.address
        endpoint = TCP4ClientEndpoint(self.reactor, host, port, timeout=peer.limits.connect / 1e6)
        endpoint.connect(factory).addErrback(self.no_socket, shaking)

    def no_socket(self, failure, shaking):
        kind = (
            Failure.REFUSED
            if failure.check(ConnectionRefusedError)
            else (Failure.TIMED_OUT if failure.check(TimeoutError) else Failure.BROKE_OFF)
        )
        if not shaking.failed:
            shaking.failed = True
            self.broken(shaking, kind)

    def shaken(self, shaking):
        if shaking.offered and not shaking.resumed:
            self.sessions.forget(shaking.member.ident)
        self.wanted.pop(shaking.number, None)
        self.counts["resumed" if shaking.resumed else "full"] += 1
        self.open.add(shaking)
        if shaking.under.trust != self.trust:
            shaking.inner.retire()  # trust was swapped while it shook hands
        shaking.done.callback(shaking.inner)
        self.carry(self.admission.handle(clock(), [Shaken(shaking.number, shaking.resumed)]))

    def broken(self, shaking, failure):
        self.wanted.pop(shaking.number, None)
        self.counts[failure.value] += 1
        self.carry(self.admission.handle(clock(), [Broken(shaking.number, failure)]))
        shaking.done.errback(HandshakeFailed(failure, f"{shaking.member.name}: {failure.value}"))


__all__ = ["HandshakeFailed", "Secured"]
