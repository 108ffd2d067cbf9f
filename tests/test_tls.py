"""Tests of TLS to servers: session cache, admission of handshakes, key material and `limepath keys`."""

import json
import signal
import ssl
import time
from itertools import pairwise
from types import SimpleNamespace

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock, StringTransport

from limepath.cli import root
from limepath.configuration import tls_file
from limepath.configuration.process_limits import plan_limits
from limepath.configuration.tls_settings import HandshakePace, RetryDelays
from limepath.front.server_connection import ConnectionState, ServerConnection
from limepath.log import Log
from limepath.tls.admission import RESUMPTION_ADVANTAGE_US, Admission
from limepath.tls.host import TlsConnector
from limepath.tls.interface import (
    Failure,
    HandshakeCancelled,
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
from limepath.tls.issuance import DAY_US, CertificateAndKey, create_ca, create_revocation_list, issue
from limepath.tls.material import (
    KeyMaterialError,
    certificate_info,
    expiry_notice,
    is_revoked,
    load_certificates,
    load_chain,
    load_revocation_lists,
    load_roots,
)
from limepath.tls.sessions import SessionCache
from tests.stand_ins import TIMEOUT, Site

SECOND = 1_000_000
WALL = 1_796_000_000 * SECOND
SCOPE = VerificationScope(1, "c1.sur.example.org", 0, 0)


def session(
    scope=SCOPE, ticket="t", expires_at=100 * SECOND, valid_from=0, valid_until=10**18, single_use=False
):
    return Session(
        scope, "TLSv1.3" if single_use else "TLSv1.2", ticket, expires_at, valid_from, valid_until, single_use
    )


def test_a_session_is_offered_only_in_its_verification_scope_and_validity_period():
    cache = SessionCache(10, 4, 3600 * SECOND)
    assert cache.add(0, WALL, session(valid_until=WALL + 50 * SECOND))
    assert cache.offer(SECOND, WALL, SCOPE).ticket == "t"
    for other in (
        SCOPE._replace(member=2),
        SCOPE._replace(name="c2"),
        SCOPE._replace(trust_generation=1),
        SCOPE._replace(key_generation=1),
    ):
        assert cache.offer(SECOND, WALL, other) is None
    assert cache.resumable(SECOND, WALL, SCOPE)
    # The wall clock has been set past the expiry of the certificate.
    assert cache.offer(SECOND, WALL + 50 * SECOND, SCOPE) is None
    assert cache.offer(SECOND, WALL, SCOPE) is None  # the expired session was dropped
    assert cache.add(0, WALL, session()) and cache.offer(100 * SECOND, WALL, SCOPE) is None
    assert not cache.add(0, WALL, session(valid_from=WALL + 1))


def test_a_tls_1_3_ticket_is_offered_once_and_a_tls_1_2_session_repeatedly():
    cache = SessionCache(10, 4, 3600 * SECOND)
    cache.add(0, WALL, session(ticket="a", single_use=True))
    cache.add(0, WALL, session(ticket="b", single_use=True))
    assert [cache.offer(1, WALL, SCOPE).ticket for _ in range(2)] == ["b", "a"]
    assert cache.offer(1, WALL, SCOPE) is None and cache.count == 0
    cache.add(0, WALL, session())
    assert cache.offer(1, WALL, SCOPE) == cache.offer(1, WALL, SCOPE) is not None


def test_sessions_are_dropped_on_new_generations_and_those_of_one_server_on_drop_member():
    cache = SessionCache(10, 4, 3600 * SECOND)
    other = SCOPE._replace(member=2)
    for scope in (SCOPE, other):
        cache.add(0, WALL, session(scope))
    cache.drop_member(1)
    assert cache.offer(1, WALL, SCOPE) is None and cache.offer(1, WALL, other)
    cache.set_generations(1, 0)
    assert cache.count == 0 and not cache.add(0, WALL, session(other))
    assert cache.add(0, WALL, session(other._replace(trust_generation=1)))


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.tuples(
                st.just("add"),
                st.integers(0, 3),
                st.integers(0, 1),
                st.integers(1, 40),
                st.integers(1, 40),
                st.booleans(),
            ),
            st.tuples(st.just("offer"), st.integers(0, 3), st.integers(0, 1)),
            st.tuples(st.just("set generations"), st.integers(0, 1), st.integers(0, 1)),
            st.tuples(st.just("drop member"), st.integers(0, 3)),
            st.tuples(st.just("wait"), st.integers(0, 20), st.integers(-10, 30)),
        ),
        max_size=60,
    )
)
def test_only_valid_sessions_are_offered_and_the_cache_stays_bounded(history):
    cache, now, wall, used = SessionCache(6, 3, 15), 0, 100, set()
    for number, (action, *arguments) in enumerate(history):
        if action == "add":
            member, trust, lifetime, validity, single_use = arguments
            cache.add(
                now,
                wall,
                session(
                    VerificationScope(member, "x", trust, 0),
                    number,
                    now + lifetime,
                    0,
                    wall + validity,
                    single_use,
                ),
            )
        elif action == "offer":
            scope = VerificationScope(arguments[0], "x", arguments[1], 0)
            offered = cache.offer(now, wall, scope)
            if offered:
                assert offered.scope == scope and (scope.trust_generation, scope.key_generation) == (
                    cache.trust_generation,
                    cache.key_generation,
                )
                assert now < offered.expires_at and wall < offered.valid_until and offered.ticket not in used
                if offered.single_use:
                    used.add(offered.ticket)
        elif action == "set generations":
            cache.set_generations(*arguments)
        elif action == "drop member":
            cache.drop_member(*arguments)
        else:
            now, wall = now + arguments[0], wall + arguments[1]
        assert cache.count == sum(map(len, cache.by_scope.values())) <= 6 and all(cache.by_scope.values())
        for member in range(4):
            assert (
                sum(len(sessions) for scope, sessions in cache.by_scope.items() if scope.member == member)
                <= 3
            )


# Admission of handshakes


def request(ident, server=1, resumable=False, objective=SECOND, deadline=5 * SECOND):
    return HandshakeRequested(ident, server, resumable, objective, deadline)


def started_ids(commands):
    return [command.id for command in commands if isinstance(command, StartHandshake)]


def test_500_requests_at_once_start_at_the_configured_rate_and_the_rest_is_refused_by_the_deadline():
    pace = HandshakePace(rate=20.0, burst=10, at_once=4)
    admission, now, started, refused = Admission(1, pace), 0, [], []
    commands = admission.handle(0, [request(ident, deadline=2 * SECOND) for ident in range(500)])
    while now < 3 * SECOND:
        for command in commands:
            if isinstance(command, StartHandshake):
                started.append((now, command.id))
            else:
                refused.append((now, command.id))
        now += 10_000
        commands = admission.handle(
            now, [HandshakeCompleted(ident, False) for at, ident in started if at == now - 10_000]
        )
    assert 45 <= len(started) <= 10 + 20 * 2 + 1 and len(started) + len(refused) == 500
    assert all(at <= 2 * SECOND + 10_000 for at, _ in refused)
    assert max(sum(at <= first < at + SECOND for first, _ in started) for at, _ in started) <= 10 + 20 + 1


def test_the_earliest_objective_starts_first_with_a_bounded_advantage_for_resumption():
    pace = HandshakePace(rate=1.0, burst=1, at_once=1)
    admission = Admission(1, pace)
    admission.handle(0, [request(0, objective=0)])
    later = admission.handle(
        1,
        [
            HandshakeCompleted(0, False),
            request(1, objective=900_000),
            request(2, objective=800_000),
            request(3, resumable=True, objective=850_000),
            request(4, resumable=True, objective=800_001 + RESUMPTION_ADVANTAGE_US),
        ],
    )
    started = started_ids(later)
    now = 1
    while now < 8 * SECOND:
        now += SECOND // 2
        started += started_ids(
            admission.handle(now, [HandshakeCompleted(ident, False) for ident in list(admission.in_progress)])
        )
    assert started == [3, 2, 4, 1]


def test_a_resumed_handshake_refunds_the_difference_to_a_full_one():
    pace = HandshakePace(rate=1.0, burst=4, at_once=100, resumed_share=0.25)
    full_only, resumed_only = Admission(1, pace), Admission(1, pace)
    events = [request(ident) for ident in range(20)]
    assert (
        len(started_ids(full_only.handle(0, events))) == len(started_ids(resumed_only.handle(0, events))) == 4
    )
    assert started_ids(full_only.handle(1, [HandshakeCompleted(ident, False) for ident in range(4)])) == []
    assert (
        len(started_ids(resumed_only.handle(1, [HandshakeCompleted(ident, True) for ident in range(4)]))) == 3
    )


def test_backoff_grows_with_each_failure_and_concurrency_recovers_stepwise():
    admission, now, backoffs = Admission(1, HandshakePace(rate=1000.0, burst=1000, at_once=8)), 0, []
    for turn in range(5):
        ident = 100 * turn
        commands = admission.handle(now, [request(ident + n, deadline=now + 100 * SECOND) for n in range(8)])
        assert len(started_ids(commands)) == (8 if turn == 0 else 1)
        logged = [
            o
            for o in admission.handle(
                now,
                [HandshakeFailed(o.id, Failure.EXPIRED) for o in commands if isinstance(o, StartHandshake)],
            )
            if isinstance(o, LogServerState)
        ]
        assert len(logged) == 1 and logged[0].failure == Failure.EXPIRED
        backoffs.append(logged[0].backoff)
        now += logged[0].backoff - 1
        assert started_ids(admission.handle(now, [])) == []
        for n in range(8):
            admission.handle(now, [HandshakeCancelled(ident + n)])
        now += 1
    assert all(b > a * 1.1 for a, b in pairwise(backoffs[:4])) and max(backoffs) <= 60 * SECOND * 1.25
    commands = admission.handle(now, [request(1000 + n, deadline=now + 100 * SECOND) for n in range(30)])
    started_counts = []
    for _ in range(4):
        started_counts.append(len(started_ids(commands)))
        commands = admission.handle(
            now, [HandshakeCompleted(o.id, False) for o in commands if isinstance(o, StartHandshake)]
        )
    assert started_counts == [1, 2, 4, 8]


def test_transient_failures_are_retried_sooner_and_a_new_key_set_ends_all_backoffs():
    admission = Admission(1)
    (transient,) = [
        o
        for o in admission.handle(0, [request(1)])
        + admission.handle(0, [HandshakeFailed(1, Failure.TIMED_OUT)])
        if isinstance(o, LogServerState)
    ]
    assert transient.backoff <= RetryDelays().transient * 1.25
    (lasting,) = [
        o
        for o in admission.handle(0, [request(2, 9)])
        + admission.handle(0, [HandshakeFailed(2, Failure.WRONG_NAME)])
        if isinstance(o, LogServerState)
    ]
    assert lasting.backoff > 10 * transient.backoff
    (refused,) = admission.handle(1, [request(3, 9, deadline=SECOND)])
    assert refused == RefuseHandshake(3, "server in backoff")
    admission.handle(2, [KeySetReplaced()])
    assert started_ids(admission.handle(3, [request(4, 9)])) == [4]


def test_no_handshake_starts_for_a_request_whose_deadline_passed_while_the_process_was_stopped():
    admission = Admission(0)
    admission.handle(0, [request(1)])
    admission.handle(0, [HandshakeFailed(1, Failure.REFUSED)])
    (backoff_end,) = [admission.next()]
    admission.handle(0, [request(2, deadline=backoff_end + 10_000)])
    commands = admission.handle(backoff_end + SECOND, [])
    assert started_ids(commands) == [] and RefuseHandshake(2, "deadline passed") in commands


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.integers(0, 99),
    st.lists(
        st.tuples(
            st.sampled_from(
                ("request", "complete", "resume", "fail", "cancel", "replace keys", "wait", "wait")
            ),
            st.integers(0, 2),
            st.integers(1, 600),
        ),
        max_size=80,
    ),
)
def test_the_token_bucket_is_never_overdrawn_and_no_request_waits_past_its_deadline(seed, history):
    pace = HandshakePace(rate=5.0, burst=3, at_once=2, all_rate=8.0, all_burst=4, all_at_once=3)
    admission, now, ident, in_progress, ended, started_at, refunded = (
        Admission(seed, pace),
        0,
        0,
        {},
        {},
        [],
        0.0,
    )
    waiting = {}

    def handle(*events):
        for command in admission.handle(now, events):
            if isinstance(command, StartHandshake):
                assert waiting.pop(command.id) > now and command.id not in ended
                in_progress[command.id] = now
                started_at.append(now)
            elif isinstance(command, RefuseHandshake):
                waiting.pop(command.id)
                ended[command.id] = command.reason
        assert all(deadline > now for deadline in waiting.values())
        assert len(admission.in_progress) <= pace.all_at_once
        assert all(
            len(server.in_progress) <= server.limit <= pace.at_once for server in admission.servers.values()
        )
        assert len(started_at) - refunded <= pace.all_burst + pace.all_rate * now / SECOND + 1e-6

    for action, server, span in history:
        if action == "request":
            ident += 1
            waiting[ident] = now + span * 10_000
            handle(request(ident, server, span % 2 == 0, now + span * 1000, now + span * 10_000))
        elif action == "wait":
            end = now + span * 3000
            while (due := admission.next()) is not None and due <= end:
                now = max(now, due)
                handle()
            now = end
        elif action == "replace keys":
            handle(KeySetReplaced())
        elif action == "cancel" and waiting:
            cancelled = min(waiting)
            del waiting[cancelled]
            handle(HandshakeCancelled(cancelled))
        elif in_progress and action in ("complete", "resume", "fail"):
            one = min(in_progress)
            del in_progress[one]
            ended[one] = action
            refunded += (1 - pace.resumed_share) * (action == "resume")
            handle(
                HandshakeFailed(one, Failure.REFUSED)
                if action == "fail"
                else HandshakeCompleted(one, action == "resume")
            )
    now += 7 * SECOND
    handle()
    assert not waiting and not admission.waiting


# Key material


@pytest.fixture(scope="module")
def cas():
    root = create_ca("root", WALL)
    return {"root": root, "middle": create_ca("middle", WALL, issuer=root), "other": create_ca("root", WALL)}


def error_of(certificate, key, roots=(), wall=WALL):
    with pytest.raises(KeyMaterialError) as raised:
        load_chain(certificate, key, roots, wall)
    return str(raised.value)


def test_a_chain_is_loaded_whole_or_the_error_names_the_part(cas):
    roots = load_roots(cas["root"].certificate, WALL)
    leaf = issue(cas["root"], ["c1.example.org", "127.0.0.1"], WALL)
    chain = load_chain(leaf.certificate, leaf.key, roots, WALL)
    assert chain.valid_until == WALL + 90 * DAY_US and certificate_info(chain.leaf, WALL).names == (
        "c1.example.org",
        "127.0.0.1",
    )
    by_intermediate = issue(cas["middle"], ["c2"], WALL)
    assert len(load_chain(by_intermediate.certificate, by_intermediate.key, roots, WALL).issuers) == 1
    first = by_intermediate.certificate[: by_intermediate.certificate.index(b"-----END") + 26]
    assert "chain: incomplete" in error_of(first, by_intermediate.key, roots)
    assert "does not fit" in error_of(leaf.certificate, by_intermediate.key, roots)
    assert "expired" in error_of(leaf.certificate, leaf.key, roots, WALL + 91 * DAY_US)
    assert "not yet valid" in error_of(leaf.certificate, leaf.key, roots, WALL - DAY_US)
    assert "another root" in error_of(leaf.certificate, leaf.key, load_roots(cas["other"].certificate))
    assert "is not issued by" in error_of(leaf.certificate + cas["middle"].certificate, leaf.key)
    assert "no private key" in error_of(leaf.certificate, leaf.key[:-60])
    assert "no certificate" in error_of(leaf.certificate[:200], leaf.key)
    weak = issue(cas["root"], ["c3"], WALL, kind="rsa", bits=1024)
    assert "weak key: RSA of 1024" in error_of(weak.certificate, weak.key, roots)
    with pytest.raises(KeyMaterialError, match="is not a CA"):
        load_roots(leaf.certificate)
    with pytest.raises(
        KeyMaterialError, match="expected the certificate of a CA and the key that belongs to it"
    ):
        issue(CertificateAndKey(cas["root"].certificate, cas["middle"].key), ["x"], WALL)


def test_a_certificate_is_revoked_only_by_a_list_that_a_root_signed(cas):
    roots = load_roots(cas["root"].certificate)
    good, bad = (load_certificates(issue(cas["root"], [name], WALL).certificate)[0] for name in ("a", "b"))
    lists, stale = load_revocation_lists(
        create_revocation_list(cas["root"], [bad.serial_number], WALL), roots, WALL
    )
    assert not stale and is_revoked(bad, lists) and not is_revoked(good, lists)
    assert load_revocation_lists(
        create_revocation_list(cas["root"], [], WALL, hours=1), roots, WALL + 2 * 3600 * SECOND
    )[1]
    with pytest.raises(KeyMaterialError, match="not signed by a trusted root"):
        load_revocation_lists(create_revocation_list(cas["other"], [], WALL), roots, WALL)
    with pytest.raises(KeyMaterialError, match="none in PEM format found"):
        load_revocation_lists(b"noise", roots, WALL)


# Files and commands


def run_keys(*words):
    return CliRunner().invoke(root, ("keys", *map(str, words)))


@pytest.fixture
def site(tmp_path):
    """Return a folder with a CA, a front's key and the settings of deploy/tls.ini."""
    (tmp_path / "tls.ini").write_text(open("deploy/tls.ini", encoding="utf-8").read())
    assert run_keys("make-ca", tmp_path / "keys").exit_code == 0
    assert run_keys("issue", tmp_path / "keys", "front-1", "127.0.0.1", "--file", "front").exit_code == 0
    return tmp_path


def test_keys_check_accepts_what_make_ca_and_issue_create(site):
    result = run_keys("check", site / "tls.ini")
    assert (
        result.exit_code == 0
        and "[client] certificate" in result.output
        and "[trust servers] root" in result.output
    )
    inspected = json.loads(run_keys("inspect", site / "keys/front.pem", "--json").output)
    assert inspected[0]["names"] == ["front-1", "127.0.0.1"] and 89 < inspected[0]["days_left"] <= 90
    assert (site / "keys/front.key").stat().st_mode & 0o077 == 0
    again = run_keys("issue", site / "keys", "front-1", "--file", "front")
    assert again.exit_code == 2 and "already exists" in again.output
    assert (
        run_keys("issue", site / "keys", "front-1", "--file", "front", "--days", "3", "--overwrite").exit_code
        == 0
    )
    soon = run_keys("check", site / "tls.ini")
    assert soon.exit_code == 1 and "SOON" in soon.output
    assert run_keys("check", site / "tls.ini", "--days", "1").exit_code == 0


def truncate_key(site):
    (site / "keys/front.key").write_bytes((site / "keys/front.key").read_bytes()[:100])


def make_key_world_readable(site):
    (site / "keys/front.key").chmod(0o644)


def replace_key_with_another(site):
    run_keys("issue", site / "keys", "other")
    (site / "keys/front.key").write_bytes((site / "keys/other.key").read_bytes())


def add_stale_revocation_list(site):
    issuer = CertificateAndKey((site / "keys/ca.pem").read_bytes(), (site / "keys/ca.key").read_bytes())
    (site / "keys/revoked.pem").write_bytes(
        create_revocation_list(issuer, [5], time.time_ns() // 1000, hours=-1)
    )
    text = (site / "tls.ini").read_text()
    (site / "tls.ini").write_text(text.replace("; lists", "lists"))


@pytest.mark.parametrize(
    "damage, message",
    (
        (truncate_key, "[client] key: no private key"),
        (make_key_world_readable, "others than the owner have access"),
        (replace_key_with_another, "does not fit the certificate"),
        (add_stale_revocation_list, "past their next update"),
        (lambda site: (site / "keys/ca.pem").unlink(), "[trust servers] roots"),
        (
            lambda site: (site / "keys/ca.pem").write_bytes((site / "keys/front.pem").read_bytes()),
            "is not a CA",
        ),
        (lambda site: (site / "keys/front.pem").write_bytes(b""), "no certificate in PEM format found"),
    ),
)
def test_keys_check_refuses_an_inconsistent_key_set_and_names_the_part(site, damage, message):
    damage(site)
    result = run_keys("check", site / "tls.ini")
    assert result.exit_code == 2 and message in result.output, result.output


@pytest.mark.parametrize(
    "old, new, message",
    (
        ("verify = on", "verify = off", ""),
        ("verify = on", "verify = perhaps", "[trust servers] verify: 'perhaps': expected on or off"),
        ("members = caches, parents, origin", "members =", "[trust servers] members: missing"),
        ("{id}.cajas.example.org", "cajas.example.org", "name: expected a text with '{id}'"),
        ("least = 1.2", "least = 1.1", "[versions] least"),
        ("key = keys/front.key", "", "[client] key: missing"),
        (
            "at-once = 4\n",
            "at-once = 40\n",
            "[handshakes] at-once: expected at most the value of all-at-once",
        ),
        ("passing = 200ms", "passing = 9s", "[left-alone] passing: expected at most"),
        ("[trust servers]", "[trusts servers]", "did you mean"),
    ),
)
def test_keys_check_validates_the_settings(site, old, new, message):
    text = (site / "tls.ini").read_text()
    assert old in text
    (site / "tls.ini").write_text(text.replace(old, new))
    result = run_keys("check", site / "tls.ini")
    assert message in result.output and result.exit_code == (2 if message else 0)
    assert message or "warning: [trust servers] verify: off" in result.output


# A front over TLS, on loopback sockets


class Servers:
    """Certificates and SSL contexts of the stand-in servers, by member, and the front's settings."""

    def __init__(self, folder):
        self.folder, self.now = folder, time.time_ns() // 1000
        self.root, self.contexts = create_ca("root", self.now), {}
        (folder / "keys").mkdir()
        (folder / "keys/ca.pem").write_bytes(self.root.certificate)
        (folder / "tls.ini").write_text(
            "[trust servers]\nroots = keys/ca.pem\nmembers = caches, parents, origin\n"
            "name = {id}.cajas.example.org\n"
            "[left-alone]\nlasting = 1s\n"
        )
        self.words = ("run", "--tls", str(folder / "tls.ini"))

    def certify(self, member, names=None, issuer=None, version=None, client=None, **options):
        issued = issue(issuer or self.root, names or [f"{member}.cajas.example.org"], self.now, **options)
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.set_ciphers("DEFAULT@SECLEVEL=0")
        context.maximum_version = version or ssl.TLSVersion.TLSv1_3
        for name, data in (("pem", issued.certificate), ("key", issued.key)):
            (self.folder / f"{member}.{name}").write_bytes(data)
        context.load_cert_chain(self.folder / f"{member}.pem", self.folder / f"{member}.key")
        if client:
            (self.folder / "client-ca.pem").write_bytes(client.certificate)
            context.load_verify_locations(self.folder / "client-ca.pem")
            context.verify_mode = ssl.CERT_REQUIRED
        self.contexts[member] = context
        return issued

    def context(self, member):
        if member not in self.contexts:
            self.certify(member)
        return self.contexts[member]

    def site(self, **options):
        return Site(arguments=self.words, tls=self.context, **options)


COPY = "rev=4be0c1927d55a6f3,since=1764576000123"


@pytest.fixture
def servers(tmp_path):
    return Servers(tmp_path)


@pytest.mark.parametrize("version", (ssl.TLSVersion.TLSv1_2, ssl.TLSVersion.TLSv1_3))
def test_a_get_uses_verified_tls_and_the_next_connection_resumes(servers, version):
    servers.certify("s-1", version=version)
    with servers.site() as site:
        clients = [site.open_client(), site.open_client()]
        # One GET, then two at once: the second of these needs a connection of its own.
        for number, asking in enumerate((clients[:1], clients)):
            for client in asking:
                client.send(txn=f"0000000000000f{number}{clients.index(client)}")
            for command in [site.cache.next() for _ in asking]:
                command.answer("DONE", COPY, b"over tls" * 1000)
            for client in asking:
                assert client.answer()[::2] == (200, b"over tls" * 1000)
        assert site.cache.session_reused_flags == [False, True]


def install_bad_certificate(servers, what):
    """Give the stand-in s-1 a certificate that a front must not accept."""
    if what == "expired":
        servers.certify("s-1", days=-1, valid_from=servers.now - 5 * DAY_US)
    elif what == "not yet valid":
        servers.certify("s-1", valid_from=servers.now + DAY_US)
    elif what == "wrong name":
        servers.certify("s-1", names=["s-2.cajas.example.org"])
    elif what == "unknown issuer":
        servers.certify("s-1", issuer=create_ca("root", servers.now))
    elif what == "missing link":
        issued = servers.certify("s-1", issuer=create_ca("middle", servers.now, issuer=servers.root))
        first = issued.certificate[: issued.certificate.index(b"-----END") + 26]
        (servers.folder / "s-1.pem").write_bytes(first)
        servers.contexts["s-1"] = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        servers.contexts["s-1"].load_cert_chain(servers.folder / "s-1.pem", servers.folder / "s-1.key")
    elif what == "weak key":
        servers.certify("s-1", kind="rsa", bits=1024)
    elif what == "revoked":
        issued = servers.certify("s-1")
        (servers.folder / "keys/revoked.pem").write_bytes(
            create_revocation_list(
                servers.root, [load_certificates(issued.certificate)[0].serial_number], servers.now
            )
        )
        text = (servers.folder / "tls.ini").read_text()
        (servers.folder / "tls.ini").write_text(text.replace("[left", "lists = keys/revoked.pem\n[left"))


@pytest.mark.parametrize(
    "what, why",
    (
        ("expired", "certificate expired"),
        ("not yet valid", "certificate not yet valid"),
        ("wrong name", "wrong name"),
        ("unknown issuer", "unknown issuer"),
        ("missing link", "unknown issuer"),
        ("weak key", "weak key"),
        ("revoked", "revoked"),
    ),
)
def test_a_server_that_fails_verification_receives_nothing_and_the_get_goes_elsewhere(servers, what, why):
    install_bad_certificate(servers, what)
    with servers.site() as site:
        client = site.open_client().send()
        direct = site.parent.next()  # the cache certainly did not execute it, so it goes to the parent
        direct.answer("DONE", COPY, b"elsewhere")
        assert client.answer()[::2] == (200, b"elsewhere")
        line = site.next_log_line("event=tls-server")
        assert f'why="{why}"' in line or f"why={why}" in line
        assert "server=s-1" in line and site.cache.commands.empty()


def test_a_put_to_an_origin_that_fails_verification_is_shed_as_not_executed(servers):
    servers.certify("o-1", names=["other.example.org"])
    with servers.site() as site:
        client = site.open_client().send("/invoke/tarea/0000000000000001", b"mine")
        assert client.answer()[0] == 503 and site.origin.commands.empty()


def test_sighup_replaces_the_key_set_as_a_whole_and_refuses_a_truncated_key(servers):
    clients = create_ca("clients", servers.now)
    for member in ("s-1", "p-1", "o-1"):
        servers.certify(member, client=clients)
    pair = issue(clients, ["front-1"], servers.now)
    paths = [servers.folder / "keys/front.pem", servers.folder / "keys/front.key"]

    def put(one):
        for path, data in zip(paths, (one.certificate, one.key), strict=True):
            path.write_bytes(data)
            path.chmod(0o600)

    put(pair)
    text = (servers.folder / "tls.ini").read_text()
    (servers.folder / "tls.ini").write_text(
        "[client]\ncertificate = keys/front.pem\nkey = keys/front.key\n" + text
    )
    with servers.site() as site:
        client = site.open_client().send()
        in_flight = site.cache.next()
        paths[1].write_bytes(pair.key[:80])
        site.process.send_signal(signal.SIGHUP)
        assert "the previous key set stays in use" in site.next_log_line("event=tls-keys")
        put(issue(clients, ["front-1"], servers.now))
        for _ in range(10):
            site.process.send_signal(signal.SIGHUP)
        assert "swapped" in site.next_log_line("event=tls-keys")
        in_flight.answer("DONE", COPY, b"x")  # a request in flight completes on its connection
        assert client.answer()[::2] == (200, b"x")
        in_flight.disconnect()
        client.send(txn="00000000000000fe")
        site.cache.next().answer("DONE", COPY, b"y")
        assert client.answer()[::2] == (200, b"y")
        # The sessions were dropped with the key that they were made with.
        assert site.cache.session_reused_flags == [False, False]


def issue_from_another_root(servers, members):
    """Replace the file of trusted roots by another root, and issue the servers' certificates from it."""
    servers.root = create_ca("second root", servers.now)
    for member in members:
        servers.certify(member)
    (servers.folder / "keys/ca.pem").write_bytes(servers.root.certificate)


def replace_trusted_roots(servers, site):
    """Have the front trust another root only, and return once it has handled the SIGHUP to its end."""
    issue_from_another_root(servers, [member.name for member in site.members])
    site.process.send_signal(signal.SIGHUP)
    assert "trust=1 key=0 said=swapped" in site.next_log_line("event=tls-keys")
    finish_reload(site)


def finish_reload(site):
    """Have the front handle one more SIGHUP, so that all it logged before that is in `site.log_lines`."""
    site.process.send_signal(signal.SIGHUP)
    site.next_log_line("event=reload")


def faults(site):
    return [line for line in site.log_lines if "event=fault" in line]


def test_replaced_roots_drain_open_connections_and_the_next_request_uses_a_newly_verified_one(servers):
    for member in ("s-1", "p-1", "o-1"):
        servers.certify(member)
    with servers.site() as site:
        client = site.open_client().send()
        in_flight = site.cache.next()
        old_context = servers.contexts["s-1"]
        replace_trusted_roots(servers, site)
        assert faults(site) == []
        in_flight.answer("DONE", COPY, b"on the old connection")
        assert client.answer()[::2] == (200, b"on the old connection")
        client.send(txn="00000000000000fe")
        following = site.cache.next()
        assert in_flight.connection.context is old_context
        assert following.connection.context is servers.contexts["s-1"]
        assert not following.connection.session_reused  # so its certificate was verified
        following.answer("DONE", COPY, b"on a new connection")
        assert client.answer()[::2] == (200, b"on a new connection")
        finish_reload(site)
        assert faults(site) == []


class MemoryTransport(StringTransport):
    """Keeps what the front sends to a server; has the method of a TCP transport that the front calls."""

    def setTcpNoDelay(self, enabled):
        pass


class MemoryServer:
    """The server's end of the front's latest connection, in memory; each step of the handshake is called."""

    def __init__(self, reactor, context):
        factory = reactor.tcpClients[-1][2]
        self.front, self.transport = factory.buildProtocol(None), MemoryTransport()
        self.received, self.sent = ssl.MemoryBIO(), ssl.MemoryBIO()
        self.tls = context.wrap_bio(self.received, self.sent, server_side=True)
        self.front.makeConnection(self.transport)  # the front sends its ClientHello

    def finish_handshake(self):
        """Exchange the messages after the ClientHello; the front completes the handshake first."""
        self.receive()
        with pytest.raises(ssl.SSLWantReadError):
            self.tls.do_handshake()
        self.front.dataReceived(self.sent.read())
        self.receive()
        self.tls.do_handshake()

    def receive(self):
        self.received.write(self.transport.value())
        self.transport.clear()


def test_roots_replaced_during_a_handshake_drain_its_connection_and_the_next_is_verified_anew(servers):
    old_context = servers.context("s-1")
    reactor, tls = MemoryReactorClock(), tls_file.read(str(servers.folder / "tls.ini"))
    log = Log("n1", 100, SECOND)
    connector = TlsConnector(reactor, log, tls, {0: tls.trusts[0]}, seed=1)
    endpoint = SimpleNamespace(
        ident=1,
        name="s-1",
        kind=0,
        address=("127.0.0.1", 1),
        limits=plan_limits(1024, 192, 32, open_requests=9),
        incarnation=None,
    )

    def connect():
        connection, made = ServerConnection(endpoint), []
        deadline = time.monotonic_ns() // 1000 + TIMEOUT * SECOND
        connector.connect(endpoint, connection, deadline).addCallback(made.append)
        return connection, made

    connection, made = connect()
    server = MemoryServer(reactor, old_context)
    assert server.transport.value() and connection.state is ConnectionState.CONNECTING
    issue_from_another_root(servers, ["s-1"])
    assert connector.reload()
    server.finish_handshake()
    assert made == [connection]
    assert connection.state is ConnectionState.CLOSING and not connection.can_send(b"a tag")

    connection, made = connect()
    server = MemoryServer(reactor, servers.context("s-1"))
    server.finish_handshake()
    assert made == [connection] and not server.tls.session_reused  # so its certificate was verified
    assert connection.state is ConnectionState.OPEN and connection.can_send(b"a tag")


def test_each_expiry_notice_is_logged_once_in_days_then_hours():
    day = 86_400_000_000
    assert expiry_notice(10 * day, 3 * day) == "7 days"
    assert expiry_notice(10 * day, 3 * day, last="7 days") is None and expiry_notice(60 * day, 0) is None
    assert (
        expiry_notice(10 * day, 10 * day - day // 4) == "6 hours"
        and expiry_notice(10 * day, 11 * day) == "over"
    )
