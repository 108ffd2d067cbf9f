"""Tests that a new server at the address of another is not taken for the one that had it."""

import pytest
from twisted.internet.error import ConnectError
from twisted.python.failure import Failure

from limepath.front.address_owners import AddressOwners
from limepath.front.endpoint_entry import EndpointEntry
from limepath.front.reference_clock import ReferenceClock
from limepath.interface.events import AttemptEnded, EndpointState
from tests.stand_ins import Site, StandInCache
from tests.test_endings import COPY_FIELDS, LONG_WAIT, ForwardingDecisions, build_front
from tests.test_terms_clock import TXNS, Answering, milliseconds

COLD_LIMIT = 12  # in a second: N = 2 x 0.2 x 5 transfers of 0.6 s, with random variation


def ask_for_many_objects(site, number=60):
    client = site.open_client()
    for obj in range(number):
        assert client.send(f"/invoke/video/{obj:016x}", txn=next(TXNS)).answer()[0] == 200


def new_server(site, **changes):
    """Return the entry of a server that has just started at the address of the first cache."""
    return site.cache.entry(id="s-9", up_since_ms=milliseconds(), **changes)


@pytest.mark.parametrize("former_is_listed_again", [False, True])
def test_the_former_server_at_an_address_gets_nothing_once_another_has_it(former_is_listed_again):
    """Guards against work for a cache that has gone, which topples the cold one at its address."""
    with Site() as site:
        answering = Answering(site)
        site.log.send_event(2, fleet={"revision": 2, "complete": False, "members": [new_server(site)]})
        if former_is_listed_again:  # as it was, by a list that does not know yet that it has gone
            site.log.send_event(3, fleet={"revision": 3, "complete": False, "members": [site.cache.entry()]})
        answering.wait_until_heard(3 + former_is_listed_again)
        ask_for_many_objects(site)
        assert answering.most_in_a_second("s-1") <= COLD_LIMIT


def test_a_complete_list_with_both_servers_gives_the_address_to_the_one_that_started_last():
    with Site() as site:
        answering = Answering(site)
        others = [site.parent.entry(), site.origin.entry()]
        both = [new_server(site), site.cache.entry(), *others]
        site.log.send_event(2, fleet={"revision": 2, "complete": True, "members": both})
        answering.wait_until_heard(3)
        ask_for_many_objects(site)
        assert answering.most_in_a_second("s-1") <= COLD_LIMIT


def test_an_attempt_that_waits_for_a_server_is_decided_anew_when_the_server_starts_anew():
    """Guards against attempts for a server that held copies, which go out to the empty one in its place."""
    with Site(settings=LONG_WAIT) as site:
        site.log.next_call()
        site.cache.fill_accept_queue()
        client = site.open_client().send()
        site.cache.wait_for_connect_attempt()
        restarted = StandInCache("s-1", "box", "sur")
        entry = restarted.entry(up_since_ms=milliseconds())
        site.log.send_event(2, fleet={"revision": 2, "complete": False, "members": [entry]})
        command = restarted.next()
        assert command.fields["up"] == "p-1"  # a fill: the cache has just started
        command.answer("DONE", COPY_FIELDS, b"x")
        assert client.answer()[2] == b"x"
        restarted.stop()


def test_a_failed_connect_to_a_former_address_fails_no_attempt_at_the_new_one():
    """Guards against a server that counts as unreachable because its former address refuses connections."""
    front = ForwardingDecisions()
    reactor, _, servers, get = build_front(front)
    get()
    (_, former_port, connecting, *_) = reactor.tcpClients[0]
    servers.update_endpoint(1, "s-1", ("127.0.0.1", former_port + 1), 7, EndpointState.READY)
    connecting.clientConnectionFailed(None, Failure(ConnectError()))
    reactor.advance(0)
    assert not [event for event in front.received_events if isinstance(event, AttemptEnded)]
    assert [port for _, port, *_ in reactor.tcpClients] == [former_port, former_port + 1]
    assert servers.connection_count == 1


# Which endpoint has an address


class Updates:
    """Applies updates of the list to `AddressOwners`."""

    def __init__(self):
        self.owners = AddressOwners()

    def tell(self, *lines, is_complete=False):
        """Apply lines of (name, port, start time, state); return the names that lost their address."""
        entries = [self.entry(*line) for line in lines]
        return self.owners.apply(entries, is_complete)

    def entry(self, name, port, started_ms, phase="in_service"):
        line = {"id": name, "host_port": f"127.0.0.1:{port}", "locality": "sur", "flavor": "box"}
        return EndpointEntry(
            line | {"phase": phase, "up_since_ms": started_ms}, ["sur"], ["box"], {}, ReferenceClock(0)
        )


def test_an_address_belongs_to_the_endpoint_that_was_told_last():
    updates = Updates()
    assert not updates.tell(("s-1", 9, 500), ("s-2", 10, 500))
    assert updates.tell(("s-3", 9, 400)) == {"s-1"}  # although its clock is behind
    assert updates.tell(("s-1", 9, 500)) == {"s-1"}
    assert updates.tell(("s-1", 9, 500, "terminating")) == {"s-1"}
    assert updates.tell(("s-1", 9, 600)) == {"s-3"}  # it has started anew
    assert not updates.tell(("s-1", 11, 700))  # it has moved
    assert not updates.tell(("s-3", 9, 800))


def test_in_one_update_an_address_belongs_to_the_endpoint_that_started_last():
    for lines in ((("s-1", 9, 0), ("s-3", 9, 400)), (("s-3", 9, 400), ("s-1", 9, 0))):
        assert Updates().tell(*lines, is_complete=True) == {"s-1"}


def test_a_new_endpoint_replaces_the_known_one_in_a_complete_list_whatever_their_clocks_show():
    updates = Updates()
    updates.tell(("s-1", 9, 500), is_complete=True)
    assert updates.tell(("s-3", 9, 400), ("s-1", 9, 500), is_complete=True) == {"s-1"}
    assert updates.tell(("s-1", 9, 500), ("s-3", 9, 400), is_complete=True) == {"s-1"}


def test_endpoints_of_the_same_start_time_share_an_address():
    updates = Updates()
    assert not updates.tell(("s-1", 9, 0), ("s-3", 9, 0), is_complete=True)


def test_an_endpoint_is_forgotten_once_it_is_removed():
    updates = Updates()
    updates.tell(("s-1", 9, 500))
    updates.tell(("s-3", 9, 600))
    updates.tell(("s-1", 9, 500, "terminated"), ("s-3", 9, 600, "terminated"))
    assert not updates.tell(("s-1", 9, 500))
    updates.tell(("s-3", 9, 600))
    updates.tell(("s-2", 10, 0), is_complete=True)
    assert not updates.owners.replaced
    assert not updates.tell(("s-1", 9, 500))
