"""Tests of the membership logic and of the guard in front of it."""

import os

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.task import Clock

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.interface import MESSAGES as DUTY_MESSAGES
from limepath.duties.world import World
from limepath.log import Log
from limepath.membership.anti_entropy import PAGE_RECORDS
from limepath.membership.bounds import detection_time, dissemination_time, minimum_suspicion_timeout
from limepath.membership.digests import BUCKETS, bucket_of
from limepath.membership.failure_detector import SequenceWithoutOne
from limepath.membership.guard import (
    MAX_DATAGRAM_BYTES,
    DatagramRejectedError,
    Guard,
    KeyFileError,
    ReplayWindow,
    parse_keys,
)
from limepath.membership.host import MAX_REJECTED, REJECTION_SPAN, DatagramSocket
from limepath.membership.identity import Identity, epoch_ceiling_row, next_identity
from limepath.membership.interface import (
    MESSAGES,
    REFUTATION_BITS,
    Ack,
    Hello,
    MemberPage,
    MemberRecord,
    MemberState,
    Message,
    MessageReceived,
    Ping,
    Pull,
    SendMessage,
    Welcome,
    YieldIdentity,
)
from limepath.membership.member_table import MAX_REMEMBERED_DEAD, MemberTable
from limepath.membership.members import NAME_IN_USE, Members
from limepath.membership.record_updates import IDENTITY_REPLACED
from limepath.timer_queue import TimerQueue

SECOND = 1_000_000
OLD, NEW = "ab" * 32, "cd" * 32
SPANS = MembershipTimeouts()


def news(token, generation=1, birth=1, name=None, port=None, state=MemberState.ALIVE, refuted=0):
    return MemberRecord(
        token,
        name or f"n{token}",
        "127.0.0.1",
        port or 1000 + token,
        (generation << REFUTATION_BITS) + refuted,
        birth,
        state,
    )


def instance(token=1, others=(2, 3, 4), **changes):
    members = Members(news(token, **changes), (), SPANS, token)
    members.start(0)
    members.add_known_members([news(other) for other in others])
    members.timers.take_commands()
    return members


def hear(members, sender, message, now=SECOND // 100, to=None):
    orders = members.handle(
        now, [MessageReceived(sender, members.me.session_token if to is None else to, message)]
    )
    return [order for order in orders if isinstance(order, (SendMessage, YieldIdentity))]


def opened(guard, datagram):
    try:
        return guard.open(datagram)[2]
    except DatagramRejectedError as error:
        return str(error)


def test_what_is_not_authentic_new_whole_and_known_is_dropped_and_counted():
    us, they = Guard(parse_keys(OLD)), Guard(parse_keys(OLD))
    sealed = they.seal(news(2), 7, Ping(1))
    assert opened(us, sealed) == Ping(1)
    forged = bytearray(sealed)
    forged[20] ^= 1
    stranger = Guard(parse_keys(NEW)).seal(news(2), 7, Ping(1))
    other_generation = b"LP" + bytes((0x21,)) + sealed[3:]
    told = [
        opened(us, one)
        for one in (
            sealed,
            bytes(forged),
            stranger,
            sealed[:-1],
            sealed[:9],
            b"x" * 1000,
            b"x" * (MAX_DATAGRAM_BYTES + 1),
            other_generation,
        )
    ]
    assert told == ["replayed", "forged", "unknown key", "forged", "noise", "noise", "oversized", "version"]
    assert us.counts["forged"] == 2 and us.counts["taken"] == 1


def test_an_authentic_message_that_is_unknown_or_unreadable_changes_nothing():
    class Later(Message, tag="zz"):
        what: int

    class Longer(Message, tag="p"):
        """A ping of a later version: one more field at its end."""

        seq: int
        news: tuple
        digest: int
        more: str

    us, they = Guard(parse_keys(OLD)), Guard(parse_keys(OLD), (*MESSAGES, Later))
    assert opened(us, they.seal(news(2), 7, Later(1))) == "unknown message"
    assert opened(us, they.seal(news(2), 7, Ping("x"))) == "unknown message"
    assert opened(us, they.seal(news(2), 7, Longer(4, (), 0, "more"))) == Ping(4)
    assert opened(us, they.seal(news(2)._replace(port=70_000), 7, Ping(1))) == "unreadable"
    with pytest.raises(ValueError):
        they.seal(news(2), 7, Ping(1, tuple(news(token) for token in range(200))))


def test_no_message_is_larger_than_a_datagram():
    guard = Guard(parse_keys(OLD))
    widest = MemberRecord(
        2**63 - 1, "n" * 32, "2001:db8:1234:5678:9abc:def0:1234:5678", 65_535, 2**60, 2**60, 1, 2**63
    )
    members = instance(others=())
    for token in range(100):
        members.updates.apply(widest._replace(token=2**62 + token))
    ping = Ping(2**40, members.records_for(2**62), 2**64 - 1)
    (page,) = [o.message for o in hear(members, news(2), Pull()) if isinstance(o.message, MemberPage)]
    assert len(ping.records) == 8 and len(page.records) == 12
    for message in (ping, page):
        assert len(guard.seal(widest, 2**64 - 1, message)) <= MAX_DATAGRAM_BYTES


@given(st.binary(max_size=1500))
def test_noise_never_gets_through(noise):
    guard = Guard(parse_keys(OLD), MESSAGES + DUTY_MESSAGES)
    with pytest.raises(DatagramRejectedError):
        guard.open(noise)
    head = b"LP" + bytes((0x12,)) + guard.keys[0].name
    with pytest.raises(DatagramRejectedError):
        guard.open(head + noise)


def test_keys_change_while_both_are_valid():
    one, other = Guard(parse_keys(OLD)), Guard(parse_keys(OLD))
    assert opened(other, one.seal(news(1), 0, Hello())) == Hello()
    other.keys = parse_keys(OLD + "\n" + NEW)
    assert opened(one, other.seal(news(2), 0, Hello())) == Hello()  # it still seals with the old one
    one.keys = parse_keys(NEW + "\n" + OLD)
    assert opened(other, one.seal(news(1), 0, Hello())) == Hello()
    other.keys = parse_keys(NEW)
    assert opened(one, other.seal(news(2), 0, Hello())) == Hello()
    assert opened(other, Guard(parse_keys(OLD)).seal(news(3), 0, Hello())) == "unknown key"


def test_a_check_without_an_answer_is_passed_to_others_then_suspected_then_declared():
    members = instance()
    said, declared, now = [], None, 0
    while declared is None:
        now += SECOND // 20
        for order in members.handle(now, ()):
            said.append((now, order))
            if (
                isinstance(order, SendMessage) and isinstance(order.message, Ping) and order.port != 1002
            ):  # 2 is silent
                token = order.port - 1000
                hear(members, news(token), Ack(order.message.seq), now)
        if members.table[2].state == MemberState.DEAD:
            declared = now
    asked = [o for _, o in said if isinstance(o, SendMessage) and type(o.message).__name__ == "IndirectPing"]
    assert {o.message.about.token for o in asked} == {2} and len(asked) >= 2
    assert declared <= detection_time(SPANS, 4)
    assert members.ring == [3, 4]


def test_a_suspect_that_hears_of_it_refutes_and_is_alive_again():
    members = instance()
    ack = hear(members, news(2), Ping(9, (news(1, state=MemberState.SUSPECT),)))[0].message
    assert members.me.incarnation == (1 << REFUTATION_BITS) + 1 and members.me in ack.records
    other = instance(token=3, others=(1, 2))
    other.updates.apply(news(1, state=MemberState.SUSPECT))
    assert other.table[1].state == MemberState.SUSPECT
    other.updates.apply(members.me)
    assert other.table[1].state == MemberState.ALIVE
    other.updates.apply(news(1, state=MemberState.DEAD))  # old news of the incarnation before
    assert other.table[1].state == MemberState.ALIVE


def test_the_dead_are_told_so_and_come_back_under_a_higher_incarnation_only():
    members = instance()
    members.updates.apply(news(2, state=MemberState.DEAD))
    ack = hear(members, news(2), Ping(4))[0].message
    assert news(2, state=MemberState.DEAD) in ack.records and 2 not in members.ring
    hear(members, news(2, refuted=1), Ping(5))
    assert 2 in members.ring


def test_what_was_meant_for_a_former_life_changes_nothing():
    members = instance(generation=2)
    before = dict(members.table)
    orders = hear(
        members, news(9), Ping(1, (news(2, state=MemberState.DEAD),)), to=news(1, generation=1).session_token
    )
    assert members.table == before and [type(o.message) for o in orders] == [Hello]
    assert members.counts["misaddressed"] == 1
    again = hear(members, news(9), Ping(2), to=5)
    assert again == []  # one Hello to one address in a span, however many come
    hear(members, news(2, generation=5), Ping(3))
    hear(
        members, news(2, generation=4), Ping(4, (news(3, state=MemberState.LEFT),))
    )  # late, of a life that is over
    assert members.table[2].generation == 5 and 3 in members.ring and members.counts["former"] == 1


def test_a_hello_is_answered_and_believed_nothing():
    members = instance()
    (welcome,) = hear(members, news(9), Hello(), to=0)
    assert (
        isinstance(welcome.message, Welcome)
        and welcome.to == news(9).session_token
        and 9 not in members.table
    )


def test_of_two_with_one_name_the_younger_gives_way_and_at_one_address_the_new_one_replaces():
    members = instance(birth=5)
    *farewells, way = hear(members, news(7, name="n1", birth=3), Ping(1))
    assert {o.message.records[0].state for o in farewells} == {MemberState.LEFT}
    assert way.why == NAME_IN_USE and members.handle(2 * SECOND, ()) == []
    elder = instance(birth=2)
    assert not [o for o in hear(elder, news(7, name="n1", birth=3), Ping(1)) if isinstance(o, YieldIdentity)]
    third = instance(token=3, others=(1, 2))
    hear(third, news(1), Ping(1))
    hear(third, news(70, name="n1", port=1001), Ping(1))  # started anew with a new store, at its old address
    assert third.table[1].state == MemberState.DEAD and 70 in third.ring


def test_of_two_with_one_store_the_later_life_goes_on():
    woken = instance(generation=1, birth=1)  # stopped, while a new process was started on its store
    (way,) = [
        o
        for o in hear(woken, news(2), Ping(1, (news(1, generation=2, birth=9),)))
        if isinstance(o, YieldIdentity)
    ]
    assert way.why == IDENTITY_REPLACED
    copied = instance(generation=4, birth=9)
    (way,) = [
        o for o in hear(copied, news(1, generation=4, birth=8), Ping(1)) if isinstance(o, YieldIdentity)
    ]
    assert way.other.birth == 8
    first = instance(generation=4, birth=8)
    assert not [
        o for o in hear(first, news(1, generation=4, birth=9), Ping(1)) if isinstance(o, YieldIdentity)
    ]
    restarted = instance(generation=4, birth=9)
    assert not [
        o
        for o in hear(restarted, news(2), Ping(1, (news(1, generation=3, birth=8),)))
        if isinstance(o, YieldIdentity)
    ]


def small(instances, seed, **network):
    world = World(
        instances,
        10,
        (DutySettings("probe", DutyMode.AT_LEAST_ONCE, 5 * SECOND),),
        SPANS,
        LeaseSettings(),
        seed,
        **network,
    )
    return world


def test_a_view_comes_together_from_seeds_and_costs_the_same_for_many():
    costs = []
    for instances in (8, 64):
        world = small(instances, 5)
        world.open(preset=False)
        world.run(15 * SECOND)
        assert world.views_agree()
        before = world.messages
        world.run(25 * SECOND)
        lone = [node.instance.members for node in world.nodes]
        assert all(one.counts["suspected"] == 0 for one in lone)
        world.targets.clear()
        costs.append((world.messages - before) / instances / 10)
    assert (
        costs[1] < costs[0] * 4
    )  # the results of rounds spread as an epidemic there; checks alone cost the same


def test_an_instance_of_an_older_version_is_understood():
    world = small(4, 3)
    for node in world.nodes[:2]:
        start = node.start
        node.start = lambda seeds, start=start, node=node: (
            start(seeds),
            setattr(node.instance.members, "version", 1),
        )[0]
    world.open(preset=False)
    world.run(12 * SECOND)
    assert world.views_agree() and world.nodes[0].instance.members.digest_to_send() == 0


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    st.integers(0, 10_000),
    st.lists(
        st.tuples(
            st.sampled_from(
                ("kill", "start", "pause", "resume", "cut", "one-way", "heal", "lose store", "wait")
            ),
            st.integers(0, 4),
            st.integers(1, 12),
        ),
        min_size=1,
        max_size=12,
    ),
)
def test_whatever_happens_the_view_is_one_again_once_it_is_over(seed, history):
    world = small(5, seed, loss=0.1, doubled=0.1, late=0.1)
    world.open(preset=True)
    for what, who, wait in history:
        node, others = world.nodes[who], frozenset(range(5)) - {who}
        if what == "kill" and node.instance:
            node.stop()
        elif what == "start" and not node.instance:
            world.restart(who)
        elif what == "pause" and node.instance:
            node.paused = True
        elif what == "resume" and node.instance and node.paused:
            node.resume()
        elif what in ("cut", "one-way"):
            world.network.cuts["a", who] = frozenset({who}), others
            if what == "cut":
                world.network.cuts["b", who] = others, frozenset({who})
        elif what == "heal":
            world.network.cuts.clear()
        elif what == "lose store" and not node.instance:
            node.lose_store()
        world.run(world.now + wait * SECOND)
    world.network.cuts.clear()
    world.network.loss = 0
    for who, node in enumerate(world.nodes):
        if not node.instance and not node.gave_way:
            world.restart(who)
        elif node.paused:
            node.resume()
    world.run(world.now + 2 * detection_time(SPANS, 5) + 6 * dissemination_time(SPANS, 5))
    assert world.views_agree() and not world.gave_way


def test_messages_are_the_same_after_the_wire():
    encoder = msgspec.msgpack.Encoder()
    guard = Guard(parse_keys(OLD), MESSAGES + DUTY_MESSAGES)
    for message in (
        Ping(1, (news(3),), 5),
        Ack(2),
        MemberPage((news(4),), True),
        Pull(6),
        Welcome((news(7),)),
    ):
        assert guard.message_decoder.decode(encoder.encode(message)) == message


def test_a_flood_of_noise_is_left_unread_for_a_while(tmp_path):
    (tmp_path / "keys").write_text(OLD)
    (tmp_path / "keys").chmod(0o600)
    clock, log = Clock(), Log("n1", 0, 1)
    line = DatagramSocket(clock, ("127.0.0.1", 1), str(tmp_path / "keys"), MESSAGES, log, lambda note: None)
    reads = []
    line.port = type(
        "Port",
        (),
        {
            "stopReading": lambda self: reads.append("stop"),
            "startReading": lambda self: reads.append("start"),
        },
    )()
    for _ in range(MAX_REJECTED - 1):
        line.datagramReceived(b"noise" * 10, ("127.0.0.1", 9))
    clock.advance(REJECTION_SPAN / 1e6)
    assert reads == []  # so many are read on
    for _ in range(MAX_REJECTED + 300):
        line.datagramReceived(b"noise" * 10, ("127.0.0.1", 9))
    assert reads == ["stop"]
    clock.advance(REJECTION_SPAN / 1e6)
    assert reads == ["stop", "start"] and line.guard.counts["noise"] == 2 * MAX_REJECTED + 299


def test_new_keys_are_taken_from_a_good_file_and_a_bad_one_leaves_the_old(tmp_path):
    path = tmp_path / "keys"
    path.write_text(OLD)
    path.chmod(0o600)
    line = DatagramSocket(Clock(), ("127.0.0.1", 1), str(path), MESSAGES, Log("n1", 0, 1), lambda note: None)
    for text, mode, keys in (
        ("noise", 0o600, OLD),
        (NEW + "\n" + OLD, 0o644, OLD),
        (NEW + "\n" + OLD, 0o600, NEW + "\n" + OLD),
    ):
        path.write_text(text)
        path.chmod(mode)
        os.utime(path, ns=(len(text) + mode,) * 2)
        line.reread()
        assert line.guard.keys == parse_keys(keys)


def test_the_shortest_suspicion_grows_with_the_digits_of_the_fleet():
    assert (
        minimum_suspicion_timeout(MembershipTimeouts(), 5),
        minimum_suspicion_timeout(MembershipTimeouts(), 1000),
    ) == (
        4_000_000,
        12_000_000,
    )


def test_the_buckets_of_tokens_go_from_the_first_to_the_last():
    assert (bucket_of(0), bucket_of((1 << 63) - 1)) == (0, BUCKETS - 1) == (0, 31)


def pages_by_search(members, after, buckets):
    """What a pull should bring: all tokens looked through, those of buckets that differ, behind `after`."""
    whole = sorted([*members.ring, members.me.token])
    if len(buckets) == BUCKETS:
        own = members.view.digests.buckets
        whole = [token for token in whole if own[bucket_of(token)] != buckets[bucket_of(token)]]
    behind = [token for token in whole if token > after]
    return behind[:PAGE_RECORDS], len(behind) <= PAGE_RECORDS


@given(
    st.sets(st.integers(6, 2**63 - 1), min_size=1, max_size=80),
    st.integers(-1, 2**63),
    st.sets(st.integers(0, BUCKETS - 1)),
    st.booleans(),
)
def test_a_page_holds_the_next_of_the_buckets_that_differ(tokens, after, same, told):
    me, *others = tokens
    members = instance(me, others)
    buckets = tuple(digest ^ (at not in same) for at, digest in enumerate(members.view.digests.buckets))
    pull = Pull(after, buckets if told else ())
    asker = news(5, name="asks")
    (page,) = [sent.message for sent in hear(members, asker, pull) if isinstance(sent.message, MemberPage)]
    # who asks is a member by now
    assert ([one.token for one in page.records], page.last) == pages_by_search(members, after, pull.buckets)


def test_those_asked_to_check_are_all_but_the_one_that_is_checked():
    for place in range(4):
        others = SequenceWithoutOne([1, 2, 3, 4], place)
        assert list(others) == [token for token in (1, 2, 3, 4) if token != place + 1] and len(others) == 3


def test_the_dead_are_forgotten_after_their_time_and_the_oldest_beyond_a_number():
    view = MemberTable(news(1), TimerQueue(1))
    for token in (2, 3, 4):
        view.put(news(token))
    for now, token in enumerate((3, 2)):
        view.timers.now = now
        view.put(news(token, state=MemberState.DEAD))
    view.timers.now = 10
    view.forget_dead(10)
    assert list(view.dead) == [3, 2]
    view.forget_dead(9)
    assert list(view.dead) == list(view.dead_since) == [2] and set(view.table) == {2, 4}
    for token in range(10, 10 + MAX_REMEMBERED_DEAD):
        view.put(news(token, state=MemberState.DEAD))
    view.forget_dead(100)
    assert len(view.dead) == len(view.dead_since) == MAX_REMEMBERED_DEAD and 2 not in view.table
    assert view.ring == [4]


def test_a_seed_is_sought_while_no_living_member_has_its_address():
    seed, sought = ("127.0.0.1", 1002), []
    members = Members(news(1), [seed], SPANS, 1)
    members.join.send_hello = lambda *address: sought.append(address)
    members.join.contact_lost_members()
    assert sought == [seed]
    members.updates.apply(news(2))
    members.updates.apply(news(2, generation=2, port=1009))
    members.join.contact_lost_members()
    assert sought == [seed] * 2  # it has moved
    members.updates.apply(news(2, generation=3))
    members.join.contact_lost_members()
    assert sought == [seed] * 2
    members.updates.apply(news(2, generation=3, state=MemberState.LEFT))
    members.join.contact_lost_members()
    assert sought == [seed] * 3


def test_keys_are_read_one_a_line():
    keys = parse_keys("# new\n" + "ab" * 32 + "\n" + "cd" * 32)
    assert [len(key.secret) for key in keys] == [32, 32]
    with pytest.raises(KeyFileError) as error:
        parse_keys("abc")
    assert str(error.value) == "line 1: no hexadecimal key"


def test_a_number_is_new_once_and_while_the_window_reaches_it():
    window = ReplayWindow()
    told = [window.is_new(number) for number in (0, 3, 1, 3, 1, 2, 400, 100, 399)]
    assert told == [True, True, True, False, False, True, True, False, True]


def test_an_identity_lives_once_more_at_each_start_and_is_new_where_the_store_is_damaged():
    first, rows = next_identity({}, lambda: 5)
    assert first == Identity(token=5, generation=1, ceiling=0, sure=False)
    assert next_identity(rows, lambda: 6)[0] == Identity(token=5, generation=2, ceiling=0, sure=False)
    kept = rows | epoch_ceiling_row(7000)
    assert next_identity(kept, lambda: 6)[0] == Identity(token=5, generation=2, ceiling=7000, sure=True)
    assert next_identity({"token": b"x"}, lambda: 6)[0] == Identity(
        token=6, generation=1, ceiling=0, sure=False
    )
