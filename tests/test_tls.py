"""Tests of the TLS decisions: sessions, the budget of handshakes, and what fits together."""

import json
import signal
import ssl
import time
from itertools import pairwise

import pytest
from click.testing import CliRunner
from hypothesis import given, settings
from hypothesis import strategies as st

from limepath.cli import root
from limepath.configuration.tls_settings import HandshakePace, RetryDelays
from limepath.tls.admission import RESUMPTION_ADVANTAGE_US, Admission
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
from tests.stand_ins import Site

SECOND = 1_000_000
WALL = 1_796_000_000 * SECOND
NAME = VerificationScope(1, "c1.sur.example.org", 0, 0)


def session(scope=NAME, ticket="t", until=100 * SECOND, since=0, end=10**18, once=False):
    return Session(scope, "TLSv1.3" if once else "TLSv1.2", ticket, until, since, end, once)


def test_a_session_is_offered_only_while_all_holds_that_it_was_verified_under():
    cache = SessionCache(10, 4, 3600 * SECOND)
    assert cache.add(0, WALL, session(end=WALL + 50 * SECOND))
    assert cache.offer(SECOND, WALL, NAME).ticket == "t"
    for other in (
        NAME._replace(member=2),
        NAME._replace(name="c2"),
        NAME._replace(trust_generation=1),
        NAME._replace(key_generation=1),
    ):
        assert cache.offer(SECOND, WALL, other) is None
    assert cache.resumable(SECOND, WALL, NAME)
    assert (
        cache.offer(SECOND, WALL + 50 * SECOND, NAME) is None
    )  # the clock has stepped past its certificate's end
    assert cache.offer(SECOND, WALL, NAME) is None  # gone with that
    assert cache.add(0, WALL, session()) and cache.offer(100 * SECOND, WALL, NAME) is None
    assert not cache.add(0, WALL, session(since=WALL + 1))


def test_a_ticket_of_1_3_is_offered_once_and_a_session_of_1_2_again():
    cache = SessionCache(10, 4, 3600 * SECOND)
    cache.add(0, WALL, session(ticket="a", once=True))
    cache.add(0, WALL, session(ticket="b", once=True))
    assert [cache.offer(1, WALL, NAME).ticket for _ in range(2)] == ["b", "a"]
    assert cache.offer(1, WALL, NAME) is None and cache.count == 0
    cache.add(0, WALL, session())
    assert cache.offer(1, WALL, NAME) == cache.offer(1, WALL, NAME) is not None


def test_all_is_dropped_when_trust_or_key_change_and_one_server_s_when_it_falls_back():
    cache = SessionCache(10, 4, 3600 * SECOND)
    other = NAME._replace(member=2)
    for scope in (NAME, other):
        cache.add(0, WALL, session(scope))
    cache.drop_member(1)
    assert cache.offer(1, WALL, NAME) is None and cache.offer(1, WALL, other)
    cache.set_generations(1, 0)
    assert cache.count == 0 and not cache.add(0, WALL, session(other))
    assert cache.add(0, WALL, session(other._replace(trust_generation=1)))


@settings(derandomize=True, deadline=None)
@given(
    st.lists(
        st.one_of(
            st.tuples(
                st.just("keep"),
                st.integers(0, 3),
                st.integers(0, 1),
                st.integers(1, 40),
                st.integers(1, 40),
                st.booleans(),
            ),
            st.tuples(st.just("offer"), st.integers(0, 3), st.integers(0, 1)),
            st.tuples(st.just("swap"), st.integers(0, 1), st.integers(0, 1)),
            st.tuples(st.just("forget"), st.integers(0, 3)),
            st.tuples(st.just("wait"), st.integers(0, 20), st.integers(-10, 30)),
        ),
        max_size=60,
    )
)
def test_no_session_is_ever_offered_that_fails_a_condition_and_the_store_stays_bounded(history):
    cache, now, wall, used = SessionCache(6, 3, 15), 0, 100, set()
    for number, (what, *said) in enumerate(history):
        if what == "keep":
            member, trust, until, end, once = said
            cache.add(
                now,
                wall,
                session(VerificationScope(member, "x", trust, 0), number, now + until, 0, wall + end, once),
            )
        elif what == "offer":
            scope = VerificationScope(said[0], "x", said[1], 0)
            offered = cache.offer(now, wall, scope)
            if offered:
                assert offered.scope == scope and (scope.trust_generation, scope.key_generation) == (
                    cache.trust_generation,
                    cache.key_generation,
                )
                assert now < offered.expires_at and wall < offered.valid_until and offered.ticket not in used
                if offered.single_use:
                    used.add(offered.ticket)
        elif what == "swap":
            cache.set_generations(*said)
        elif what == "forget":
            cache.drop_member(*said)
        else:
            now, wall = now + said[0], wall + said[1]
        assert cache.count == sum(map(len, cache.by_scope.values())) <= 6 and all(cache.by_scope.values())
        for member in range(4):
            assert sum(len(line) for scope, line in cache.by_scope.items() if scope.member == member) <= 3


# The budget


def want(ident, server=1, resumable=False, objective=SECOND, until=5 * SECOND):
    return HandshakeRequested(ident, server, resumable, objective, until)


def begun(orders):
    return [order.id for order in orders if isinstance(order, StartHandshake)]


def test_500_wanted_at_once_begin_at_the_pace_and_the_rest_is_refused_in_time():
    pace = HandshakePace(rate=20.0, burst=10, at_once=4)
    admission, now, started, refused = Admission(1, pace), 0, [], []
    orders = admission.handle(0, [want(ident, until=2 * SECOND) for ident in range(500)])
    while now < 3 * SECOND:
        for order in orders:
            if isinstance(order, StartHandshake):
                started.append((now, order.id))
            else:
                refused.append((now, order.id))
        now += 10_000
        orders = admission.handle(
            now, [HandshakeCompleted(ident, False) for at, ident in started if at == now - 10_000]
        )
    assert 45 <= len(started) <= 10 + 20 * 2 + 1 and len(started) + len(refused) == 500
    assert all(at <= 2 * SECOND + 10_000 for at, _ in refused)
    assert max(sum(at <= first < at + SECOND for first, _ in started) for at, _ in started) <= 10 + 20 + 1


def test_the_nearest_objective_goes_first_and_who_can_resume_has_a_head_start_only():
    pace = HandshakePace(rate=1.0, burst=1, at_once=1)
    admission = Admission(1, pace)
    admission.handle(0, [want(0, objective=0)])
    later = admission.handle(
        1,
        [
            HandshakeCompleted(0, False),
            want(1, objective=900_000),
            want(2, objective=800_000),
            want(3, resumable=True, objective=850_000),
            want(4, resumable=True, objective=800_001 + RESUMPTION_ADVANTAGE_US),
        ],
    )
    order = begun(later)
    now = 1
    while now < 8 * SECOND:
        now += SECOND // 2
        order += begun(
            admission.handle(now, [HandshakeCompleted(ident, False) for ident in list(admission.in_progress)])
        )
    assert order == [3, 2, 4, 1]


def test_a_resumed_handshake_gives_back_what_it_did_not_cost():
    pace = HandshakePace(rate=1.0, burst=4, at_once=100, resumed_share=0.25)
    full, light = Admission(1, pace), Admission(1, pace)
    events = [want(ident) for ident in range(20)]
    assert len(begun(full.handle(0, events))) == len(begun(light.handle(0, events))) == 4
    assert begun(full.handle(1, [HandshakeCompleted(ident, False) for ident in range(4)])) == []
    assert len(begun(light.handle(1, [HandshakeCompleted(ident, True) for ident in range(4)]))) == 3


def test_a_server_is_left_alone_longer_each_time_and_returns_slowly():
    admission, now, spans = Admission(1, HandshakePace(rate=1000.0, burst=1000, at_once=8)), 0, []
    for turn in range(5):
        ident = 100 * turn
        orders = admission.handle(now, [want(ident + n, until=now + 100 * SECOND) for n in range(8)])
        assert len(begun(orders)) == (8 if turn == 0 else 1)
        told = [
            o
            for o in admission.handle(
                now, [HandshakeFailed(o.id, Failure.EXPIRED) for o in orders if isinstance(o, StartHandshake)]
            )
            if isinstance(o, LogServerState)
        ]
        assert len(told) == 1 and told[0].failure == Failure.EXPIRED
        spans.append(told[0].backoff)
        now += told[0].backoff - 1
        assert begun(admission.handle(now, [])) == []
        for n in range(8):
            admission.handle(now, [HandshakeCancelled(ident + n)])
        now += 1
    assert all(b > a * 1.1 for a, b in pairwise(spans[:4])) and max(spans) <= 60 * SECOND * 1.25
    orders = admission.handle(now, [want(1000 + n, until=now + 100 * SECOND) for n in range(30)])
    grown = []
    for _ in range(4):
        grown.append(len(begun(orders)))
        orders = admission.handle(
            now, [HandshakeCompleted(o.id, False) for o in orders if isinstance(o, StartHandshake)]
        )
    assert grown == [1, 2, 4, 8]


def test_what_may_pass_is_tried_sooner_and_a_swap_tries_all_again():
    admission = Admission(1)
    (soon,) = [
        o
        for o in admission.handle(0, [want(1)]) + admission.handle(0, [HandshakeFailed(1, Failure.TIMED_OUT)])
        if isinstance(o, LogServerState)
    ]
    assert soon.backoff <= RetryDelays().passing * 1.25
    (late,) = [
        o
        for o in admission.handle(0, [want(2, 9)])
        + admission.handle(0, [HandshakeFailed(2, Failure.WRONG_NAME)])
        if isinstance(o, LogServerState)
    ]
    assert late.backoff > 10 * soon.backoff
    (refused,) = admission.handle(1, [want(3, 9, until=SECOND)])
    assert refused == RefuseHandshake(3, "server in backoff")
    admission.handle(2, [KeySetReplaced()])
    assert begun(admission.handle(3, [want(4, 9)])) == [4]


def test_no_handshake_begins_for_a_request_whose_time_ended_while_the_process_stood_still():
    admission = Admission(0)
    admission.handle(0, [want(1)])
    admission.handle(0, [HandshakeFailed(1, Failure.REFUSED)])
    (pause_ends,) = [admission.next()]
    admission.handle(0, [want(2, until=pause_ends + 10_000)])
    orders = admission.handle(pause_ends + SECOND, [])
    assert begun(orders) == [] and RefuseHandshake(2, "deadline passed") in orders


@settings(derandomize=True, deadline=None, max_examples=150)
@given(
    st.integers(0, 99),
    st.lists(
        st.tuples(
            st.sampled_from(("want", "shaken", "resumed", "broken", "unwanted", "swapped", "wait", "wait")),
            st.integers(0, 2),
            st.integers(1, 600),
        ),
        max_size=80,
    ),
)
def test_the_budget_is_never_overdrawn_and_nobody_waits_for_ever(seed, history):
    pace = HandshakePace(rate=5.0, burst=3, at_once=2, all_rate=8.0, all_burst=4, all_at_once=3)
    admission, now, ident, out, ended, full, gave_back = Admission(seed, pace), 0, 0, {}, {}, [], 0.0
    waiting = {}

    def hear(*events):
        for order in admission.handle(now, events):
            if isinstance(order, StartHandshake):
                assert waiting.pop(order.id) > now and order.id not in ended
                out[order.id] = now
                full.append(now)
            elif isinstance(order, RefuseHandshake):
                waiting.pop(order.id)
                ended[order.id] = order.reason
        assert all(until > now for until in waiting.values())
        assert len(admission.in_progress) <= pace.all_at_once
        assert all(
            len(server.in_progress) <= server.limit <= pace.at_once for server in admission.servers.values()
        )
        assert len(full) - gave_back <= pace.all_burst + pace.all_rate * now / SECOND + 1e-6

    for what, server, span in history:
        if what == "want":
            ident += 1
            waiting[ident] = now + span * 10_000
            hear(want(ident, server, span % 2 == 0, now + span * 1000, now + span * 10_000))
        elif what == "wait":
            end = now + span * 3000
            while (due := admission.next()) is not None and due <= end:
                now = max(now, due)
                hear()
            now = end
        elif what == "swapped":
            hear(KeySetReplaced())
        elif what == "unwanted" and waiting:
            gone = min(waiting)
            del waiting[gone]
            hear(HandshakeCancelled(gone))
        elif out and what in ("shaken", "resumed", "broken"):
            one = min(out)
            del out[one]
            ended[one] = what
            gave_back += (1 - pace.resumed_share) * (what == "resumed")
            hear(
                HandshakeFailed(one, Failure.REFUSED)
                if what == "broken"
                else HandshakeCompleted(one, what == "resumed")
            )
    now += 7 * SECOND
    hear()
    assert not waiting and not admission.waiting


# What fits together


@pytest.fixture(scope="module")
def made():
    root = create_ca("root", WALL)
    return {"root": root, "middle": create_ca("middle", WALL, issuer=root), "other": create_ca("root", WALL)}


def error_of(certificate, key, roots=(), wall=WALL):
    with pytest.raises(KeyMaterialError) as raised:
        load_chain(certificate, key, roots, wall)
    return str(raised.value)


def test_a_set_is_taken_as_a_whole_or_the_part_named(made):
    roots = load_roots(made["root"].certificate, WALL)
    leaf = issue(made["root"], ["c1.example.org", "127.0.0.1"], WALL)
    chain = load_chain(leaf.certificate, leaf.key, roots, WALL)
    assert chain.valid_until == WALL + 90 * DAY_US and certificate_info(chain.leaf, WALL).names == (
        "c1.example.org",
        "127.0.0.1",
    )
    below = issue(made["middle"], ["c2"], WALL)
    assert len(load_chain(below.certificate, below.key, roots, WALL).issuers) == 1
    first = below.certificate[: below.certificate.index(b"-----END") + 26]
    assert "chain: incomplete" in error_of(first, below.key, roots)
    assert "does not fit" in error_of(leaf.certificate, below.key, roots)
    assert "expired" in error_of(leaf.certificate, leaf.key, roots, WALL + 91 * DAY_US)
    assert "not yet valid" in error_of(leaf.certificate, leaf.key, roots, WALL - DAY_US)
    assert "another root" in error_of(leaf.certificate, leaf.key, load_roots(made["other"].certificate))
    assert "is not issued by" in error_of(leaf.certificate + made["middle"].certificate, leaf.key)
    assert "no private key" in error_of(leaf.certificate, leaf.key[:-60])
    assert "no certificate" in error_of(leaf.certificate[:200], leaf.key)
    weak = issue(made["root"], ["c3"], WALL, kind="rsa", bits=1024)
    assert "weak key: RSA of 1024" in error_of(weak.certificate, weak.key, roots)
    with pytest.raises(KeyMaterialError, match="is not a CA"):
        load_roots(leaf.certificate)
    with pytest.raises(
        KeyMaterialError, match="expected the certificate of a CA and the key that belongs to it"
    ):
        issue(CertificateAndKey(made["root"].certificate, made["middle"].key), ["x"], WALL)


def test_a_revoked_one_is_known_by_a_list_that_the_root_signed(made):
    roots = load_roots(made["root"].certificate)
    good, bad = (load_certificates(issue(made["root"], [name], WALL).certificate)[0] for name in ("a", "b"))
    lists, stale = load_revocation_lists(
        create_revocation_list(made["root"], [bad.serial_number], WALL), roots, WALL
    )
    assert not stale and is_revoked(bad, lists) and not is_revoked(good, lists)
    assert load_revocation_lists(
        create_revocation_list(made["root"], [], WALL, hours=1), roots, WALL + 2 * 3600 * SECOND
    )[1]
    with pytest.raises(KeyMaterialError, match="not signed by a trusted root"):
        load_revocation_lists(create_revocation_list(made["other"], [], WALL), roots, WALL)
    with pytest.raises(KeyMaterialError, match="none in PEM format found"):
        load_revocation_lists(b"noise", roots, WALL)


# Files and commands


def told(*words):
    return CliRunner().invoke(root, ("keys", *map(str, words)))


@pytest.fixture
def site(tmp_path):
    """A folder with a CA, a front's key and the example settings."""
    (tmp_path / "tls.ini").write_text(open("deploy/tls.ini", encoding="utf-8").read())
    assert told("make-ca", tmp_path / "keys").exit_code == 0
    assert told("issue", tmp_path / "keys", "front-1", "127.0.0.1", "--file", "front").exit_code == 0
    return tmp_path


def test_the_tools_make_what_the_check_takes(site):
    done = told("check", site / "tls.ini")
    assert (
        done.exit_code == 0
        and "[client] certificate" in done.output
        and "[trust servers] root" in done.output
    )
    shown_one = json.loads(told("inspect", site / "keys/front.pem", "--json").output)
    assert shown_one[0]["names"] == ["front-1", "127.0.0.1"] and 89 < shown_one[0]["days_left"] <= 90
    assert (site / "keys/front.key").stat().st_mode & 0o077 == 0
    again = told("issue", site / "keys", "front-1", "--file", "front")
    assert again.exit_code == 2 and "is there already" in again.output
    assert (
        told("issue", site / "keys", "front-1", "--file", "front", "--days", "3", "--overwrite").exit_code
        == 0
    )
    soon = told("check", site / "tls.ini")
    assert soon.exit_code == 1 and "SOON" in soon.output
    assert told("check", site / "tls.ini", "--days", "1").exit_code == 0


def spoil_key(site):
    (site / "keys/front.key").write_bytes((site / "keys/front.key").read_bytes()[:100])


def open_key(site):
    (site / "keys/front.key").chmod(0o644)


def swap_pair(site):
    told("issue", site / "keys", "other")
    (site / "keys/front.key").write_bytes((site / "keys/other.key").read_bytes())


def stale_list(site):
    issuer = CertificateAndKey((site / "keys/ca.pem").read_bytes(), (site / "keys/ca.key").read_bytes())
    (site / "keys/revoked.pem").write_bytes(
        create_revocation_list(issuer, [5], time.time_ns() // 1000, hours=-1)
    )
    text = (site / "tls.ini").read_text()
    (site / "tls.ini").write_text(text.replace("; lists", "lists"))


@pytest.mark.parametrize(
    "spoil, says",
    (
        (spoil_key, "[client] key: no private key"),
        (open_key, "others than the owner have access"),
        (swap_pair, "does not fit the certificate"),
        (stale_list, "past their next update"),
        (lambda site: (site / "keys/ca.pem").unlink(), "[trust servers] roots"),
        (
            lambda site: (site / "keys/ca.pem").write_bytes((site / "keys/front.pem").read_bytes()),
            "is not a CA",
        ),
        (lambda site: (site / "keys/front.pem").write_bytes(b""), "no certificate in PEM format found"),
    ),
)
def test_a_set_that_does_not_fit_is_refused_with_its_part(site, spoil, says):
    spoil(site)
    done = told("check", site / "tls.ini")
    assert done.exit_code == 2 and says in done.output, done.output


@pytest.mark.parametrize(
    "old, new, says",
    (
        ("verify = on", "verify = off", ""),
        ("verify = on", "verify = perhaps", "[trust servers] verify: 'perhaps': on or off"),
        ("members = caches, parents, origin", "members =", "[trust servers] members: missing"),
        ("{id}.cajas.example.org", "cajas.example.org", "'{id}' is missing"),
        ("least = 1.2", "least = 1.1", "[versions] least"),
        ("key = keys/front.key", "", "[client] key: missing"),
        ("at-once = 4\n", "at-once = 40\n", "above all-at-once"),
        ("passing = 200ms", "passing = 9s", "[left-alone] passing: above"),
        ("[trust servers]", "[trusts servers]", "did you mean"),
    ),
)
def test_the_settings_are_checked(site, old, new, says):
    text = (site / "tls.ini").read_text()
    assert old in text
    (site / "tls.ini").write_text(text.replace(old, new))
    done = told("check", site / "tls.ini")
    assert says in done.output and done.exit_code == (2 if says else 0)
    assert says or "warning: [trust servers] verify: off" in done.output


# The front over TLS, on loopback sockets


class Servers:
    """Certificates of the stand-in servers, by member, and the front's settings beside them."""

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

    def certify(self, member, names=None, issuer=None, version=None, client=None, **told):
        made = issue(issuer or self.root, names or [f"{member}.cajas.example.org"], self.now, **told)
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.set_ciphers("DEFAULT@SECLEVEL=0")
        context.maximum_version = version or ssl.TLSVersion.TLSv1_3
        for name, data in (("pem", made.certificate), ("key", made.key)):
            (self.folder / f"{member}.{name}").write_bytes(data)
        context.load_cert_chain(self.folder / f"{member}.pem", self.folder / f"{member}.key")
        if client:
            (self.folder / "client-ca.pem").write_bytes(client.certificate)
            context.load_verify_locations(self.folder / "client-ca.pem")
            context.verify_mode = ssl.CERT_REQUIRED
        self.contexts[member] = context
        return made

    def context(self, member):
        if member not in self.contexts:
            self.certify(member)
        return self.contexts[member]

    def site(self, **told):
        return Site(words=self.words, tls=self.context, **told)


COPY = "rev=4be0c1927d55a6f3,since=1764576000123"


@pytest.fixture
def servers(tmp_path):
    return Servers(tmp_path)


@pytest.mark.parametrize("version", (ssl.TLSVersion.TLSv1_2, ssl.TLSVersion.TLSv1_3))
def test_a_get_goes_over_verified_tls_and_the_next_connection_resumes(servers, version):
    servers.certify("s-1", version=version)
    with servers.site() as site:
        viewers = [site.viewer(), site.viewer()]
        for number, asking in enumerate(
            (viewers[:1], viewers)
        ):  # the second of two at once needs a connection of its own
            for viewer in asking:
                viewer.send(txn=f"0000000000000f{number}{viewers.index(viewer)}")
            for asked in [site.cache.next() for _ in asking]:
                asked.answer("DONE", COPY, b"over tls" * 1000)
            for viewer in asking:
                assert viewer.answer()[::2] == (200, b"over tls" * 1000)
        assert site.cache.reused == [False, True]


def spoilt(servers, what):
    """Give the s-1 of the stand-ins a certificate that must not be taken."""
    if what == "expired":
        servers.certify("s-1", days=-1, valid_from=servers.now - 5 * DAY_US)
    elif what == "not yet valid":
        servers.certify("s-1", valid_from=servers.now + DAY_US)
    elif what == "wrong name":
        servers.certify("s-1", names=["s-2.cajas.example.org"])
    elif what == "unknown issuer":
        servers.certify("s-1", issuer=create_ca("root", servers.now))
    elif what == "missing link":
        made = servers.certify("s-1", issuer=create_ca("middle", servers.now, issuer=servers.root))
        first = made.certificate[: made.certificate.index(b"-----END") + 26]
        (servers.folder / "s-1.pem").write_bytes(first)
        servers.contexts["s-1"] = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        servers.contexts["s-1"].load_cert_chain(servers.folder / "s-1.pem", servers.folder / "s-1.key")
    elif what == "weak key":
        servers.certify("s-1", kind="rsa", bits=1024)
    elif what == "revoked":
        made = servers.certify("s-1")
        (servers.folder / "keys/revoked.pem").write_bytes(
            create_revocation_list(
                servers.root, [load_certificates(made.certificate)[0].serial_number], servers.now
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
def test_a_server_that_must_not_be_believed_gets_nothing_and_the_get_goes_elsewhere(servers, what, why):
    spoilt(servers, what)
    with servers.site() as site:
        viewer = site.viewer().send()
        direct = site.parent.next()  # the cache is proven not to have run it: straight to the parent
        direct.answer("DONE", COPY, b"elsewhere")
        assert viewer.answer()[::2] == (200, b"elsewhere")
        line = site.heard("event=tls-server")
        assert f'why="{why}"' in line or f"why={why}" in line
        assert "server=s-1" in line and site.cache.asked.empty()


def test_a_put_to_a_server_that_is_not_believed_is_shed_for_it_has_not_run(servers):
    servers.certify("o-1", names=["other.example.org"])
    with servers.site() as site:
        viewer = site.viewer().send("/invoke/tarea/0000000000000001", b"mine")
        assert viewer.answer()[0] == 503 and site.origin.asked.empty()


def test_keys_swap_as_a_whole_under_sighup_and_a_half_written_one_is_refused(servers):
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
        viewer = site.viewer().send()
        out = site.cache.next()
        paths[1].write_bytes(pair.key[:80])
        site.process.send_signal(signal.SIGHUP)
        assert "the previous key set stays in use" in site.heard("event=tls-keys")
        put(issue(clients, ["front-1"], servers.now))
        for _ in range(10):
            site.process.send_signal(signal.SIGHUP)
        assert "swapped" in site.heard("event=tls-keys")
        out.answer("DONE", COPY, b"x")  # what was out finishes on its connection
        assert viewer.answer()[::2] == (200, b"x")
        out.hang_up()
        viewer.send(txn="00000000000000fe")
        site.cache.next().answer("DONE", COPY, b"y")
        assert viewer.answer()[::2] == (200, b"y")
        assert site.cache.reused == [False, False]  # no session outlives the key that it was made with


def test_an_end_is_announced_days_then_hours_before_each_mark_once():
    day = 86_400_000_000
    assert expiry_notice(10 * day, 3 * day) == "7 days"
    assert expiry_notice(10 * day, 3 * day, last="7 days") is None and expiry_notice(60 * day, 0) is None
    assert (
        expiry_notice(10 * day, 10 * day - day // 4) == "6 hours"
        and expiry_notice(10 * day, 11 * day) == "over"
    )
