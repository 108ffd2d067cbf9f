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
from limepath.tls.admission import HEAD_START, Admission
from limepath.tls.interface import (
    Begin,
    Broken,
    Failure,
    Refuse,
    Session,
    Shaken,
    Swapped,
    Told,
    Under,
    Unwanted,
    Want,
)
from limepath.tls.making import DAY, Made, authority, issue, revoked
from limepath.tls.material import (
    BadMaterial,
    announced,
    certificates,
    checked_lists,
    hangs_together,
    is_revoked,
    shown,
    trusted,
)
from limepath.tls.sessions import Sessions
from tests.stand_ins import Site

SECOND = 1_000_000
WALL = 1_796_000_000 * SECOND
NAME = Under(1, "c1.sur.example.org", 0, 0)


def session(under=NAME, ticket="t", until=100 * SECOND, since=0, end=10**18, once=False):
    return Session(under, "TLSv1.3" if once else "TLSv1.2", ticket, until, since, end, once)


def test_a_session_is_offered_only_while_all_holds_that_it_was_verified_under():
    kept = Sessions(10, 4, 3600 * SECOND)
    assert kept.keep(0, WALL, session(end=WALL + 50 * SECOND))
    assert kept.offer(SECOND, WALL, NAME).ticket == "t"
    for other in (
        NAME._replace(member=2),
        NAME._replace(name="c2"),
        NAME._replace(trust=1),
        NAME._replace(client=1),
    ):
        assert kept.offer(SECOND, WALL, other) is None
    assert kept.resumable(SECOND, WALL, NAME)
    assert (
        kept.offer(SECOND, WALL + 50 * SECOND, NAME) is None
    )  # the clock has stepped past its certificate's end
    assert kept.offer(SECOND, WALL, NAME) is None  # gone with that
    assert kept.keep(0, WALL, session()) and kept.offer(100 * SECOND, WALL, NAME) is None
    assert not kept.keep(0, WALL, session(since=WALL + 1))


def test_a_ticket_of_1_3_is_offered_once_and_a_session_of_1_2_again():
    kept = Sessions(10, 4, 3600 * SECOND)
    kept.keep(0, WALL, session(ticket="a", once=True))
    kept.keep(0, WALL, session(ticket="b", once=True))
    assert [kept.offer(1, WALL, NAME).ticket for _ in range(2)] == ["b", "a"]
    assert kept.offer(1, WALL, NAME) is None and kept.count == 0
    kept.keep(0, WALL, session())
    assert kept.offer(1, WALL, NAME) == kept.offer(1, WALL, NAME) is not None


def test_all_is_dropped_when_trust_or_key_change_and_one_server_s_when_it_falls_back():
    kept = Sessions(10, 4, 3600 * SECOND)
    other = NAME._replace(member=2)
    for under in (NAME, other):
        kept.keep(0, WALL, session(under))
    kept.forget(1)
    assert kept.offer(1, WALL, NAME) is None and kept.offer(1, WALL, other)
    kept.swap(1, 0)
    assert kept.count == 0 and not kept.keep(0, WALL, session(other))
    assert kept.keep(0, WALL, session(other._replace(trust=1)))


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
    kept, now, wall, used = Sessions(6, 3, 15), 0, 100, set()
    for number, (what, *said) in enumerate(history):
        if what == "keep":
            member, trust, until, end, once = said
            kept.keep(
                now, wall, session(Under(member, "x", trust, 0), number, now + until, 0, wall + end, once)
            )
        elif what == "offer":
            under = Under(said[0], "x", said[1], 0)
            offered = kept.offer(now, wall, under)
            if offered:
                assert offered.under == under and (under.trust, under.client) == (kept.trust, kept.client)
                assert now < offered.until and wall < offered.wall_until and offered.ticket not in used
                if offered.once:
                    used.add(offered.ticket)
        elif what == "swap":
            kept.swap(*said)
        elif what == "forget":
            kept.forget(*said)
        else:
            now, wall = now + said[0], wall + said[1]
        assert kept.count == sum(map(len, kept.kept.values())) <= 6 and all(kept.kept.values())
        for member in range(4):
            assert sum(len(line) for under, line in kept.kept.items() if under.member == member) <= 3


# The budget


def want(ident, server=1, resumable=False, objective=SECOND, until=5 * SECOND):
    return Want(ident, server, resumable, objective, until)


def begun(orders):
    return [order.id for order in orders if isinstance(order, Begin)]


def test_500_wanted_at_once_begin_at_the_pace_and_the_rest_is_refused_in_time():
    pace = HandshakePace(rate=20.0, burst=10, at_once=4)
    doors, now, started, refused = Admission(1, pace), 0, [], []
    orders = doors.handle(0, [want(ident, until=2 * SECOND) for ident in range(500)])
    while now < 3 * SECOND:
        for order in orders:
            if isinstance(order, Begin):
                started.append((now, order.id))
            else:
                refused.append((now, order.id))
        now += 10_000
        orders = doors.handle(now, [Shaken(ident, False) for at, ident in started if at == now - 10_000])
    assert 45 <= len(started) <= 10 + 20 * 2 + 1 and len(started) + len(refused) == 500
    assert all(at <= 2 * SECOND + 10_000 for at, _ in refused)
    assert max(sum(at <= first < at + SECOND for first, _ in started) for at, _ in started) <= 10 + 20 + 1


def test_the_nearest_objective_goes_first_and_who_can_resume_has_a_head_start_only():
    pace = HandshakePace(rate=1.0, burst=1, at_once=1)
    doors = Admission(1, pace)
    doors.handle(0, [want(0, objective=0)])
    later = doors.handle(
        1,
        [
            Shaken(0, False),
            want(1, objective=900_000),
            want(2, objective=800_000),
            want(3, resumable=True, objective=850_000),
            want(4, resumable=True, objective=800_001 + HEAD_START),
        ],
    )
    order = begun(later)
    now = 1
    while now < 8 * SECOND:
        now += SECOND // 2
        order += begun(doors.handle(now, [Shaken(ident, False) for ident in list(doors.under_way)]))
    assert order == [3, 2, 4, 1]


def test_a_resumed_handshake_gives_back_what_it_did_not_cost():
    pace = HandshakePace(rate=1.0, burst=4, at_once=100, resumed_share=0.25)
    full, light = Admission(1, pace), Admission(1, pace)
    notes = [want(ident) for ident in range(20)]
    assert len(begun(full.handle(0, notes))) == len(begun(light.handle(0, notes))) == 4
    assert begun(full.handle(1, [Shaken(ident, False) for ident in range(4)])) == []
    assert len(begun(light.handle(1, [Shaken(ident, True) for ident in range(4)]))) == 3


def test_a_server_is_left_alone_longer_each_time_and_returns_slowly():
    doors, now, spans = Admission(1, HandshakePace(rate=1000.0, burst=1000, at_once=8)), 0, []
    for turn in range(5):
        ident = 100 * turn
        orders = doors.handle(now, [want(ident + n, until=now + 100 * SECOND) for n in range(8)])
        assert len(begun(orders)) == (8 if turn == 0 else 1)
        told = [
            o
            for o in doors.handle(
                now, [Broken(o.id, Failure.EXPIRED) for o in orders if isinstance(o, Begin)]
            )
            if isinstance(o, Told)
        ]
        assert len(told) == 1 and told[0].failure == Failure.EXPIRED
        spans.append(told[0].span)
        now += told[0].span - 1
        assert begun(doors.handle(now, [])) == []
        for n in range(8):
            doors.handle(now, [Unwanted(ident + n)])
        now += 1
    assert all(b > a * 1.1 for a, b in pairwise(spans[:4])) and max(spans) <= 60 * SECOND * 1.25
    orders = doors.handle(now, [want(1000 + n, until=now + 100 * SECOND) for n in range(30)])
    grown = []
    for _ in range(4):
        grown.append(len(begun(orders)))
        orders = doors.handle(now, [Shaken(o.id, False) for o in orders if isinstance(o, Begin)])
    assert grown == [1, 2, 4, 8]


def test_what_may_pass_is_tried_sooner_and_a_swap_tries_all_again():
    doors = Admission(1)
    (soon,) = [
        o
        for o in doors.handle(0, [want(1)]) + doors.handle(0, [Broken(1, Failure.TIMED_OUT)])
        if isinstance(o, Told)
    ]
    assert soon.span <= RetryDelays().transient * 1.25
    (late,) = [
        o
        for o in doors.handle(0, [want(2, 9)]) + doors.handle(0, [Broken(2, Failure.WRONG_NAME)])
        if isinstance(o, Told)
    ]
    assert late.span > 10 * soon.span
    (refused,) = doors.handle(1, [want(3, 9, until=SECOND)])
    assert refused == Refuse(3, "left alone")
    doors.handle(2, [Swapped()])
    assert begun(doors.handle(3, [want(4, 9)])) == [4]


def test_no_handshake_begins_for_a_request_whose_time_ended_while_the_process_stood_still():
    doors = Admission(0)
    doors.handle(0, [want(1)])
    doors.handle(0, [Broken(1, Failure.REFUSED)])
    (pause_ends,) = [doors.next()]
    doors.handle(0, [want(2, until=pause_ends + 10_000)])
    orders = doors.handle(pause_ends + SECOND, [])
    assert begun(orders) == [] and Refuse(2, "too late") in orders


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
    doors, now, ident, out, ended, full, gave_back = Admission(seed, pace), 0, 0, {}, {}, [], 0.0
    waiting = {}

    def hear(*notes):
        for order in doors.handle(now, notes):
            if isinstance(order, Begin):
                assert waiting.pop(order.id) > now and order.id not in ended
                out[order.id] = now
                full.append(now)
            elif isinstance(order, Refuse):
                waiting.pop(order.id)
                ended[order.id] = order.why
        assert all(until > now for until in waiting.values())
        assert len(doors.under_way) <= pace.all_at_once
        assert all(len(server.under_way) <= server.limit <= pace.at_once for server in doors.servers.values())
        assert len(full) - gave_back <= pace.all_burst + pace.all_rate * now / SECOND + 1e-6

    for what, server, span in history:
        if what == "want":
            ident += 1
            waiting[ident] = now + span * 10_000
            hear(want(ident, server, span % 2 == 0, now + span * 1000, now + span * 10_000))
        elif what == "wait":
            end = now + span * 3000
            while (due := doors.next()) is not None and due <= end:
                now = max(now, due)
                hear()
            now = end
        elif what == "swapped":
            hear(Swapped())
        elif what == "unwanted" and waiting:
            gone = min(waiting)
            del waiting[gone]
            hear(Unwanted(gone))
        elif out and what in ("shaken", "resumed", "broken"):
            one = min(out)
            del out[one]
            ended[one] = what
            gave_back += (1 - pace.resumed_share) * (what == "resumed")
            hear(Broken(one, Failure.REFUSED) if what == "broken" else Shaken(one, what == "resumed"))
    now += 7 * SECOND
    hear()
    assert not waiting and not doors.wants


# What fits together


@pytest.fixture(scope="module")
def made():
    root = authority("root", WALL)
    return {"root": root, "middle": authority("middle", WALL, above=root), "other": authority("root", WALL)}


def error_of(certificate, key, roots=(), wall=WALL):
    with pytest.raises(BadMaterial) as raised:
        hangs_together(certificate, key, roots, wall)
    return str(raised.value)


def test_a_set_is_taken_as_a_whole_or_the_part_named(made):
    roots = trusted(made["root"].certificate, WALL)
    leaf = issue(made["root"], ["c1.example.org", "127.0.0.1"], WALL)
    chain = hangs_together(leaf.certificate, leaf.key, roots, WALL)
    assert chain.until == WALL + 90 * DAY and shown(chain.leaf, WALL).names == ("c1.example.org", "127.0.0.1")
    below = issue(made["middle"], ["c2"], WALL)
    assert len(hangs_together(below.certificate, below.key, roots, WALL).above) == 1
    first = below.certificate[: below.certificate.index(b"-----END") + 26]
    assert "chain: incomplete" in error_of(first, below.key, roots)
    assert "does not fit" in error_of(leaf.certificate, below.key, roots)
    assert "expired" in error_of(leaf.certificate, leaf.key, roots, WALL + 91 * DAY)
    assert "not yet valid" in error_of(leaf.certificate, leaf.key, roots, WALL - DAY)
    assert "another root" in error_of(leaf.certificate, leaf.key, trusted(made["other"].certificate))
    assert "does not hang on" in error_of(leaf.certificate + made["middle"].certificate, leaf.key)
    assert "no private key" in error_of(leaf.certificate, leaf.key[:-60])
    assert "no certificate" in error_of(leaf.certificate[:200], leaf.key)
    weak = issue(made["root"], ["c3"], WALL, kind="rsa", bits=1024)
    assert "weak key: RSA of 1024" in error_of(weak.certificate, weak.key, roots)
    with pytest.raises(BadMaterial, match="is no CA"):
        trusted(leaf.certificate)
    with pytest.raises(BadMaterial, match="no CA with its own key"):
        issue(Made(made["root"].certificate, made["middle"].key), ["x"], WALL)


def test_a_revoked_one_is_known_by_a_list_that_the_root_signed(made):
    roots = trusted(made["root"].certificate)
    good, bad = (certificates(issue(made["root"], [name], WALL).certificate)[0] for name in ("a", "b"))
    lists, stale = checked_lists(revoked(made["root"], [bad.serial_number], WALL), roots, WALL)
    assert not stale and is_revoked(bad, lists) and not is_revoked(good, lists)
    assert checked_lists(revoked(made["root"], [], WALL, hours=1), roots, WALL + 2 * 3600 * SECOND)[1]
    with pytest.raises(BadMaterial, match="nobody here trusts"):
        checked_lists(revoked(made["other"], [], WALL), roots, WALL)
    with pytest.raises(BadMaterial, match="none that can be read"):
        checked_lists(b"noise", roots, WALL)


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
    assert again.exit_code == 2 and "already exists" in again.output
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
    above = Made((site / "keys/ca.pem").read_bytes(), (site / "keys/ca.key").read_bytes())
    (site / "keys/revoked.pem").write_bytes(revoked(above, [5], time.time_ns() // 1000, hours=-1))
    text = (site / "tls.ini").read_text()
    (site / "tls.ini").write_text(text.replace("; lists", "lists"))


@pytest.mark.parametrize(
    "spoil, says",
    (
        (spoil_key, "[client] key: no private key"),
        (open_key, "open to others"),
        (swap_pair, "does not fit the certificate"),
        (stale_list, "past the next update"),
        (lambda site: (site / "keys/ca.pem").unlink(), "[trust servers] roots"),
        (lambda site: (site / "keys/ca.pem").write_bytes((site / "keys/front.pem").read_bytes()), "is no CA"),
        (lambda site: (site / "keys/front.pem").write_bytes(b""), "no certificate that can be read"),
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
        self.root, self.contexts = authority("root", self.now), {}
        (folder / "keys").mkdir()
        (folder / "keys/ca.pem").write_bytes(self.root.certificate)
        (folder / "tls.ini").write_text(
            "[trust servers]\nroots = keys/ca.pem\nmembers = caches, parents, origin\n"
            "name = {id}.cajas.example.org\n"
            "[left-alone]\nlasting = 1s\n"
        )
        self.words = ("run", "--tls", str(folder / "tls.ini"))

    def certify(self, member, names=None, above=None, version=None, client=None, **told):
        made = issue(above or self.root, names or [f"{member}.cajas.example.org"], self.now, **told)
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
        servers.certify("s-1", days=-1, since=servers.now - 5 * DAY)
    elif what == "not yet valid":
        servers.certify("s-1", since=servers.now + DAY)
    elif what == "wrong name":
        servers.certify("s-1", names=["s-2.cajas.example.org"])
    elif what == "unknown issuer":
        servers.certify("s-1", above=authority("root", servers.now))
    elif what == "missing link":
        made = servers.certify("s-1", above=authority("middle", servers.now, above=servers.root))
        first = made.certificate[: made.certificate.index(b"-----END") + 26]
        (servers.folder / "s-1.pem").write_bytes(first)
        servers.contexts["s-1"] = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        servers.contexts["s-1"].load_cert_chain(servers.folder / "s-1.pem", servers.folder / "s-1.key")
    elif what == "weak key":
        servers.certify("s-1", kind="rsa", bits=1024)
    elif what == "revoked":
        made = servers.certify("s-1")
        (servers.folder / "keys/revoked.pem").write_bytes(
            revoked(servers.root, [certificates(made.certificate)[0].serial_number], servers.now)
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
    clients = authority("clients", servers.now)
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
        assert "the old set stays" in site.heard("event=tls-keys")
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
    assert announced(10 * day, 3 * day) == "7 days"
    assert announced(10 * day, 3 * day, last="7 days") is None and announced(60 * day, 0) is None
    assert announced(10 * day, 10 * day - day // 4) == "6 hours" and announced(10 * day, 11 * day) == "over"
