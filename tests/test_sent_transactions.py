"""Tests that an id under which a request may have run does not run again."""

import pytest

from limepath.front.sent_transactions import MAX_TRANSACTIONS, SentTransactions
from limepath.interface.commands import FailRequest, ForwardRequest
from limepath.interface.events import RequestArrived
from limepath.interface.settings import Idempotency
from tests.fake_host import SECOND, FakeHost, make_service
from tests.stand_ins import SETTINGS, Site
from tests.test_endings import with_write_settings

FIRST = "00000000000000a1"
WRITE = "/invoke/tarea/0000000000000001"


def test_an_id_is_forgotten_after_its_time_or_once_it_certainly_did_not_run():
    sent = SentTransactions(10)
    sent.add(b"a", 0)
    sent.add(b"b", 5)
    assert sent.has(b"a", 10)
    assert not sent.has(b"a", 11)
    assert sent.has(b"b", 15)
    sent.discard(b"b")
    assert not sent.has(b"b", 6)


def test_the_number_of_remembered_ids_is_limited():
    sent = SentTransactions(10)
    for number in range(MAX_TRANSACTIONS + 5):
        sent.add(b"%d" % number, 0)
    assert len(sent) == MAX_TRANSACTIONS
    assert sent.has(b"5", 0)
    assert not sent.has(b"4", 0)


@pytest.mark.parametrize(
    ("idempotency", "command"),
    [
        (Idempotency.IDEMPOTENT, ForwardRequest),
        (Idempotency.KEYED, FailRequest),
        (Idempotency.NON_IDEMPOTENT, FailRequest),
    ],
)
def test_a_request_whose_id_may_have_run_is_forwarded_only_if_it_is_idempotent(idempotency, command):
    service = make_service(uncacheable=True, idempotency=idempotency, key_scope=2)
    host = FakeHost(services=(service,))
    arrived = RequestArrived(1, 0, 0, 5, 5 * SECOND, 0.0, 0, 0, False, True, True, may_have_run=True)
    assert [type(sent) for sent in host.handle(arrived)] == [command]


@pytest.mark.parametrize("effect", ["single_shot", "guarded"])
@pytest.mark.parametrize("ends_first", [False, True])
def test_an_id_does_not_run_twice_when_it_comes_again_after_its_client_has_left(effect, ends_first):
    """Guards against an effect that happens twice: the first attempt may still run, or have run."""
    with Site(settings=with_write_settings(SETTINGS, idempotency=effect)) as site:
        client = site.open_client().send(WRITE, b"once", txn=FIRST)
        command = site.origin.next()
        client.close()
        assert site.health()[0] == 200  # a later connection was served, so the disconnect has been read
        if ends_first:
            command.answer("DONE")
            other = site.open_client().send(WRITE, b"other", txn="00000000000000b1")
            site.origin.next().answer("DONE")
            assert other.answer()[0] == 200  # it came after the answer to the first
        again = site.open_client().send(WRITE, b"once", txn=FIRST)
        assert again.answer()[0] == 502
        assert site.origin.commands.empty()


def test_an_id_that_certainly_did_not_run_may_come_again():
    with Site() as site:
        client = site.open_client().send(WRITE, b"once", txn=FIRST)
        site.origin.next().answer("WAIT")
        assert client.answer()[0] == 503
        client.send(WRITE, b"once", txn=FIRST)
        site.origin.next().answer("DONE")
        assert client.answer()[0] == 200
        client.send(WRITE, b"once", txn=FIRST)
        assert client.answer()[0] == 502
        assert site.origin.commands.empty()


def test_an_idempotent_id_may_come_again_after_its_client_has_left():
    with Site() as site:
        client = site.open_client().send(txn=FIRST)
        site.cache.next()
        client.close()
        assert site.cache.next("QUIT").id == FIRST
        again = site.open_client().send(txn=FIRST)
        command = site.cache.next()
        command.answer("DONE", "rev=4be0,since=0", b"x")
        assert again.answer()[2] == b"x"
