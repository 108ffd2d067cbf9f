"""A probe that the decision module requests is sent, unless a shared result is recent enough."""

from types import SimpleNamespace

import pytest

from limepath.duties.interface import ProbeResult
from limepath.duties.probe_sharing import ProbeSharing
from limepath.interface.commands import SendProbe
from limepath.interface.events import AttemptOutcome, EndpointListUpdated, ProbeEnded

TARGET = 7
RESULT = ProbeResult(0, TARGET, 1, 1, 500, int(AttemptOutcome.SUCCEEDED), 900)


class RecordingLoop:
    """A loop of the front that records the events and the probe commands that it receives."""

    def __init__(self):
        self.listener = None
        self.events = []
        self.probes = []
        self.command_handlers = {SendProbe: self.probes.append}

    def gather(self, *events):
        self.events += events


@pytest.fixture
def loop():
    return RecordingLoop()


def make_sharing(loop, result):
    """Return an attached ProbeSharing whose instance returns `result` for each lookup of a shared result."""
    instance = SimpleNamespace(
        timers=SimpleNamespace(now=0), find_recent_result=lambda endpoint, max_age: result
    )
    sharing = ProbeSharing(
        loop, SimpleNamespace(endpoints={}), instance, [], lambda *events: None, lambda: 1000
    )
    sharing.attach()
    return sharing


def test_a_probe_without_a_shared_result_is_sent_and_recorded_as_pending(loop):
    sharing = make_sharing(loop, result=None)
    loop.command_handlers[SendProbe](SendProbe(TARGET, 2000))
    assert loop.probes == [SendProbe(TARGET, 2000)]
    assert sharing.pending_probes == {TARGET}
    sharing.report(RESULT)
    assert loop.events == []  # a requested probe of the endpoint is pending
    loop.listener([ProbeEnded(TARGET, AttemptOutcome.SUCCEEDED, 900, {})])
    sharing.report(RESULT)
    assert [event.endpoint for event in loop.events] == [TARGET]


def test_a_shared_result_replaces_a_probe(loop):
    sharing = make_sharing(loop, result=RESULT)
    loop.command_handlers[SendProbe](SendProbe(TARGET, 2000))
    assert loop.probes == []
    assert loop.events == [ProbeEnded(TARGET, AttemptOutcome.SUCCEEDED, 900, {}, 500)]
    assert sharing.counts["probes_shared"] == 1


def test_probes_are_sent_unchanged_after_detach(loop):
    sharing = make_sharing(loop, result=RESULT)
    sharing.detach()
    loop.command_handlers[SendProbe](SendProbe(TARGET))
    assert loop.probes == [SendProbe(TARGET)]
    assert loop.listener is None


def test_an_endpoint_list_update_replaces_the_targets(loop):
    sharing = make_sharing(loop, result=None)
    sharing.handle_front_events([EndpointListUpdated(1, 1, ())])
    assert sharing.endpoint_kinds == {}
