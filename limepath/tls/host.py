"""Makes TLS connections to servers, with the keys in force, paced by `admission` and resumed with `sessions`.

A connection is passed to the front's protocol once its handshake is complete and its server is verified.
Nothing of a forward is written before that, so a forward whose handshake failed was certainly not executed;
the failure is reported as a ConnectError.
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
from limepath.tls.files import load_key_set
from limepath.tls.interface import (
    Failure,
    HandshakeCompleted,
    HandshakeFailed,
    HandshakeRequested,
    KeySetReplaced,
    LogServerState,
    RefuseHandshake,
    Session,
    StartHandshake,
    VerificationScope,
)
from limepath.tls.material import KeyMaterialError, expiry_notice, is_revoked, unix_microseconds
from limepath.tls.sessions import SessionCache

VERSION_BY_NAME = {"1.2": SSL.TLS1_2_VERSION, "1.3": SSL.TLS1_3_VERSION}
# Failures by the error codes of OpenSSL's certificate verification, from its x509_vfy.h.
FAILURE_BY_VERIFY_CODE = {
    9: Failure.NOT_YET_VALID,
    10: Failure.EXPIRED,
    23: Failure.REVOKED,
    62: Failure.WRONG_NAME,
    66: Failure.WEAK_KEY,
    67: Failure.WEAK_KEY,
    68: Failure.WEAK_KEY,
} | dict.fromkeys((2, 18, 19, 20, 21, 24, 79), Failure.UNKNOWN_ISSUER)
DAY_US = 86_400_000_000


def clock():
    return time.monotonic_ns() // 1000


def unix_clock():
    return time.time_ns() // 1000


class HandshakeError(ConnectError):
    """A connection was not made; nothing of a forward was sent.

    Attributes:
        failure: the Failure of the handshake, or None if no handshake was started.
    """

    def __init__(self, failure, reason):
        super().__init__(string=reason)
        self.failure = failure


@implementer(IOpenSSLClientConnectionCreator)
class ConnectionCreator:
    """Creates the OpenSSL connection of one handshake."""

    def __init__(self, tls_connection):
        self.tls_connection = tls_connection

    def clientConnectionForTLS(self, protocol):
        tls_connection = self.tls_connection
        connection = SSL.Connection(tls_connection.context, None)
        if not tls_connection.address_only:
            connection.set_tlsext_host_name(tls_connection.scope.name.encode("ascii"))
        if tls_connection.offered_session:
            connection.set_session(tls_connection.offered_session.ticket)
        connection.set_connect_state()
        return connection


@implementer(IHandshakeListener)
class TlsConnection(Protocol):
    """A connection to a server, which passes data to the front's protocol once the handshake is complete.

    Attributes:
        inner: the front's protocol.
        lists: the revocation lists.
        verify: whether the server is verified.
        when_connected: a Deferred that fires with `inner`, or fails with a HandshakeError.
        verification_failure: the first failure of OpenSSL's verification, or None.
        offered_session: the session that the handshake offers, or None.
        session_kept: whether a session of this connection was added to the cache.
        is_open: whether the handshake is complete and the server verified.
        verify_called: whether OpenSSL checked a certificate, which it doesn't in a resumed handshake.
        address_only: whether the server's name is an IP address, which is not sent as server name indication.
    """

    def __init__(self, connector, handshake_id, server, scope, trust, inner):
        self.connector, self.handshake_id, self.server, self.scope, self.trust, self.inner = (
            connector,
            handshake_id,
            server,
            scope,
            trust,
            inner,
        )
        self.context, self.lists, self.verify = connector.contexts[trust.title]
        (
            self.when_connected,
            self.failed,
            self.verification_failure,
            self.offered_session,
            self.timer,
            self.session_kept,
        ) = (
            Deferred(),
            False,
            None,
            None,
            None,
            False,
        )
        self.is_open = self.verify_called = False
        try:
            ipaddress.ip_address(scope.name)
            self.address_only = True
        except ValueError:
            self.address_only = False

    def on_certificate_checked(self, certificate, error_code):
        """Record the first failure of OpenSSL's verification, which calls this for each certificate."""
        self.verify_called = True
        if error_code and self.verification_failure is None:
            self.verification_failure = FAILURE_BY_VERIFY_CODE.get(error_code, Failure.UNKNOWN_ISSUER)

    def connectionMade(self):
        self.timer = self.connector.reactor.callLater(
            self.connector.settings.handshake_timeout / 1e6, self.fail, Failure.TIMED_OUT
        )

    def handshakeCompleted(self):
        connection = self.transport.getHandle()
        if self.verify and (failure := self.check_identity(connection)):
            return self.fail(failure)
        self.timer.cancel()
        self.is_open, self.resumed = (
            True,
            self.offered_session is not None and not self.verify_called,
        )
        self.protocol_name = connection.get_protocol_version_name()
        if self.protocol_name != "TLSv1.3":
            self.cache_session(connection)
        self.inner.makeConnection(self.transport)
        self.connector.on_handshake_completed(self)

    def check_identity(self, connection):
        """Return a Failure of the name or the revocation lists, which OpenSSL doesn't check, or None."""
        try:
            (verify_ip_address if self.address_only else verify_hostname)(connection, self.scope.name)
        except (VerificationError, CertificateError, ValueError):  # another name, no name, or malformed
            return Failure.WRONG_NAME
        chain = connection.get_verified_chain() or [connection.get_peer_certificate()]
        if any(is_revoked(certificate.to_cryptography(), self.lists) for certificate in chain if certificate):
            return Failure.REVOKED
        return None

    def cache_session(self, connection):
        """Add the session to the cache, for the scope that this connection was verified for."""
        ticket = connection.get_session()
        if ticket is None or self.session_kept:
            return
        self.session_kept = True
        if self.offered_session and self.resumed:
            valid_from, valid_until = self.offered_session.valid_from, self.offered_session.valid_until
        else:
            chain = [
                certificate.to_cryptography()
                for certificate in connection.get_verified_chain() or [connection.get_peer_certificate()]
            ]
            valid_from = max(unix_microseconds(certificate.not_valid_before_utc) for certificate in chain)
            valid_until = min(unix_microseconds(certificate.not_valid_after_utc) for certificate in chain)
        now = clock()
        self.connector.sessions.add(
            now,
            unix_clock(),
            Session(
                self.scope,
                self.protocol_name,
                ticket,
                now + self.connector.sessions.max_lifetime,
                valid_from,
                valid_until,
                self.protocol_name == "TLSv1.3",
            ),
        )

    def dataReceived(self, data):
        if self.is_open:
            if not self.session_kept:  # TLS 1.3 sends session tickets after the handshake
                self.cache_session(self.transport.getHandle())
            self.inner.dataReceived(data)

    def connectionLost(self, reason):
        if self.is_open:
            self.connector.open_connections.discard(self)
            self.inner.connectionLost(reason)
        else:
            self.fail(self.verification_failure or self.failure_of(reason), lost=True)

    @staticmethod
    def failure_of(reason):
        """Return why the connection was lost during the handshake, from the text of OpenSSL's error."""
        if not isinstance(reason.value, SSL.Error):
            return Failure.CONNECTION_LOST
        text = " ".join(
            str(item) for part in reason.value.args for item in (part if isinstance(part, list) else [part])
        ).lower()
        if "alert" in text and ("certificate" in text or "unknown ca" in text or "access denied" in text):
            return Failure.CLIENT_KEY_REFUSED
        if "too small" in text or "too weak" in text:
            return Failure.WEAK_KEY
        return Failure.PROTOCOL if text else Failure.CONNECTION_LOST

    def fail(self, failure, lost=False):
        """Report a failed handshake once, and close the connection unless it is already `lost`."""
        if self.failed or self.is_open and lost:
            return
        self.failed = True
        if self.timer and self.timer.active():
            self.timer.cancel()
        if not lost:
            self.transport.abortConnection()
        self.connector.on_handshake_failed(self, failure)


class TlsConnector:
    """Makes all TLS connections of one front.

    Attributes:
        settings: the TlsSettings.
        trust_by_kind: the Trust of each kind of server.
        trust_generation: the generation of the trusted roots and revocation lists.
        key_generation: the generation of the client's certificate and key.
        handshakes: the connections that are waiting or in their handshake, by handshake.
        contexts: (OpenSSL context, revocation lists, whether servers are verified) by the title of the Trust.
        open_connections: the connections whose handshake is complete.
        announced: the last expiry notice that was logged for each certificate.
        counts: handshakes by result, and replacements of the key set.
        keys: the KeySet in force.
    """

    def __init__(self, reactor, log, settings, trust_by_kind, seed):
        self.reactor, self.log, self.settings, self.trust_by_kind = reactor, log, settings, trust_by_kind
        self.admission, self.sessions = (
            Admission(seed, settings.pace, settings.retry_delays),
            SessionCache(*settings.sessions),
        )
        self.trust_generation, self.key_generation, self.handshake_ids, self.handshakes = 0, 0, count(1), {}
        self.contexts, self.timer, self.open_connections, self.server_names, self.announced = (
            {},
            None,
            set(),
            {},
            {},
        )
        self.counts = {"full": 0, "resumed": 0, "swaps": 0} | {failure.value: 0 for failure in Failure}
        self.keys = load_key_set(settings, unix_clock())
        self.build_contexts()
        for trust in settings.trusts:
            if not trust.verify:
                log.info(
                    "tls-unverified",
                    "server certificates are not verified",
                    trust=trust.title,
                    members=",".join(trust.members),
                )

    def build_contexts(self):
        self.contexts = {
            trust.title: (self.build_context(trust, loaded), loaded.lists, trust.verify)
            for trust, loaded in zip(self.settings.trusts, self.keys.trusts, strict=True)
        }

    def build_context(self, trust, loaded):
        context = SSL.Context(SSL.TLS_CLIENT_METHOD)
        context.set_min_proto_version(VERSION_BY_NAME[self.settings.min_version])
        context.set_max_proto_version(VERSION_BY_NAME[self.settings.max_version])
        context.set_options(SSL.OP_NO_COMPRESSION | SSL.OP_NO_RENEGOTIATION)
        context.set_session_cache_mode(SSL.SESS_CACHE_CLIENT | SSL.SESS_CACHE_NO_INTERNAL)
        store = context.get_cert_store()
        for root in loaded.roots:
            store.add_cert(crypto.X509.from_cryptography(root))

        def verify(connection, certificate, error_code, depth, accepted):
            connection.get_app_data().wrappedProtocol.on_certificate_checked(
                certificate, 0 if accepted or not trust.verify else error_code
            )
            return bool(accepted) or not trust.verify

        context.set_verify(SSL.VERIFY_PEER, verify)
        if self.keys.chain:
            context.use_certificate(crypto.X509.from_cryptography(self.keys.chain.leaf))
            for issuer in self.keys.chain.issuers:
                context.add_extra_chain_cert(crypto.X509.from_cryptography(issuer))
            context.use_privatekey(crypto.load_privatekey(crypto.FILETYPE_PEM, self.keys.key))
        return context

    def reload(self):
        """Read the key set again and put it in force; on an error, log it and keep the previous set.

        Returns whether another set is in force.
        """
        try:
            keys = load_key_set(self.settings, unix_clock())
        except KeyMaterialError as error:
            self.log.info("tls-keys", f"{error}; the previous key set stays in use")
            return False
        new_trust = [
            (loaded.roots, tuple(item.fingerprint(item.signature_hash_algorithm) for item in loaded.lists))
            for loaded in keys.trusts
        ]
        old_trust = [
            (loaded.roots, tuple(item.fingerprint(item.signature_hash_algorithm) for item in loaded.lists))
            for loaded in self.keys.trusts
        ]
        trust_changed, key_changed = (
            new_trust != old_trust,
            (keys.certificate, keys.key) != (self.keys.certificate, self.keys.key),
        )
        if not (trust_changed or key_changed):
            return False
        self.keys = keys
        self.trust_generation, self.key_generation = (
            self.trust_generation + trust_changed,
            self.key_generation + key_changed,
        )
        self.build_contexts()
        self.sessions.set_generations(self.trust_generation, self.key_generation)
        self.counts["swaps"] += 1
        self.log.info("tls-keys", "swapped", trust=self.trust_generation, key=self.key_generation)
        if trust_changed:  # requests in flight finish; connections of the old trust take no new ones
            for tls_connection in list(self.open_connections):
                tls_connection.inner.drain()
        self.execute(self.admission.handle(clock(), [KeySetReplaced()]))
        return True

    def announce(self):
        """Log certificates that expire soon, at the notice times that `expiry_notice` defines."""
        wall, expiries = unix_clock(), {}
        if self.keys.chain:
            expiries["our certificate"] = self.keys.chain.valid_until
        for loaded in self.keys.trusts:
            for root in loaded.roots:
                expiries[f"root of {loaded.title}"] = min(
                    unix_microseconds(root.not_valid_after_utc),
                    expiries.get(f"root of {loaded.title}", 10**18),
                )
        for what, until in expiries.items():
            if notice := expiry_notice(until, wall, self.announced.get(what)):
                self.announced[what] = notice
                self.log.info("tls-ends", what=what, left=notice)

    # Connections

    def connect(self, server, inner, deadline):
        """Connect the protocol `inner` to a server by `deadline`, in microseconds of the monotonic clock.

        Returns a Deferred that fires with `inner` once its server is verified, or None if no Trust covers the
        server's kind.
        """
        trust = self.trust_by_kind.get(server.kind)
        if trust is None:
            return None
        handshake_id, now = next(self.handshake_ids), clock()
        scope = VerificationScope(
            server.ident, trust.name.replace("{id}", server.name), self.trust_generation, self.key_generation
        )
        tls_connection = TlsConnection(self, handshake_id, server, scope, trust, inner)
        self.handshakes[handshake_id] = tls_connection
        resumable = self.sessions.resumable(now, unix_clock(), scope)
        self.execute(
            self.admission.handle(
                now, [HandshakeRequested(handshake_id, server.ident, resumable, deadline, deadline)]
            )
        )
        return tls_connection.when_connected

    def execute(self, commands):
        """Execute the commands of `admission` and set the timer for its next call."""
        for command in commands:
            if isinstance(command, StartHandshake):
                self.start_handshake(self.handshakes[command.id])
            elif isinstance(command, RefuseHandshake):
                tls_connection = self.handshakes.pop(command.id)
                self.reactor.callLater(
                    0, tls_connection.when_connected.errback, HandshakeError(None, command.reason)
                )
            elif isinstance(command, LogServerState):
                self.log.info(
                    "tls-server",
                    command.message,
                    server=self.server_names.get(command.server, command.server),
                    **(
                        {"why": command.failure.value, "for_ms": command.backoff // 1000}
                        if command.failure
                        else {}
                    ),
                )
        due = self.admission.next()
        if self.timer and self.timer.active():
            self.timer.cancel()
        self.timer = due is not None and self.reactor.callLater(max(0, due - clock()) / 1e6, self.on_timer)

    def on_timer(self):
        self.execute(self.admission.handle(clock(), ()))

    def start_handshake(self, tls_connection):
        """Connect by TCP and start the handshake, offering a session if there is one."""
        server = tls_connection.server
        self.server_names[server.ident] = server.name
        tls_connection.scope = tls_connection.scope._replace(
            trust_generation=self.trust_generation, key_generation=self.key_generation
        )
        tls_connection.context, tls_connection.lists, tls_connection.verify = self.contexts[
            tls_connection.trust.title
        ]
        tls_connection.offered_session = self.sessions.offer(clock(), unix_clock(), tls_connection.scope)
        factory = TLSMemoryBIOFactory(
            ConnectionCreator(tls_connection), True, Factory.forProtocol(lambda: tls_connection)
        )
        factory.noisy = False
        host, port = server.address
        endpoint = TCP4ClientEndpoint(self.reactor, host, port, timeout=server.limits.connect / 1e6)
        endpoint.connect(factory).addErrback(self.on_tcp_failed, tls_connection)

    def on_tcp_failed(self, failure, tls_connection):
        reason = (
            Failure.REFUSED
            if failure.check(ConnectionRefusedError)
            else (Failure.TIMED_OUT if failure.check(TimeoutError) else Failure.CONNECTION_LOST)
        )
        if not tls_connection.failed:
            tls_connection.failed = True
            self.on_handshake_failed(tls_connection, reason)

    def on_handshake_completed(self, tls_connection):
        if tls_connection.offered_session and not tls_connection.resumed:
            self.sessions.drop_member(tls_connection.server.ident)
        self.handshakes.pop(tls_connection.handshake_id, None)
        self.counts["resumed" if tls_connection.resumed else "full"] += 1
        self.open_connections.add(tls_connection)
        if tls_connection.scope.trust_generation != self.trust_generation:
            tls_connection.inner.drain()  # the trusted roots were replaced during the handshake
        tls_connection.when_connected.callback(tls_connection.inner)
        self.execute(
            self.admission.handle(
                clock(), [HandshakeCompleted(tls_connection.handshake_id, tls_connection.resumed)]
            )
        )

    def on_handshake_failed(self, tls_connection, failure):
        self.handshakes.pop(tls_connection.handshake_id, None)
        self.counts[failure.value] += 1
        self.execute(self.admission.handle(clock(), [HandshakeFailed(tls_connection.handshake_id, failure)]))
        tls_connection.when_connected.errback(
            HandshakeError(failure, f"{tls_connection.server.name}: {failure.value}")
        )


__all__ = ["HandshakeError", "TlsConnector"]
