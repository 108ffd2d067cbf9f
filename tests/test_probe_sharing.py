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


def sharing(loop, answer):
    """Return an attached ProbeSharing whose instance returns `answer` for each lookup of a shared result."""
    instance = SimpleNamespace(timers=SimpleNamespace(now=0), find_answer=lambda endpoint, max_age: answer)
    shared = ProbeSharing(
        loop, SimpleNamespace(endpoints={}), instance, [], lambda *events: None, lambda: 1000
    )
    shared.attach()
    return shared


def test_a_probe_without_a_shared_result_is_sent_and_awaited(loop):
    shared = sharing(loop, answer=None)
    loop.command_handlers[SendProbe](SendProbe(TARGET, 2000))
    assert loop.probes == [SendProbe(TARGET, 2000)]
    assert shared.pending_probes == {TARGET}
    shared.report(RESULT)
    assert loop.events == []  # a requested probe of the endpoint is pending
    loop.listener([ProbeEnded(TARGET, AttemptOutcome.SUCCEEDED, 900, {})])
    shared.report(RESULT)
    assert [event.endpoint for event in loop.events] == [TARGET]


def test_a_shared_result_stands_in_for_a_probe(loop):
    shared = sharing(loop, answer=RESULT)
    loop.command_handlers[SendProbe](SendProbe(TARGET, 2000))
    assert loop.probes == []
    assert loop.events == [ProbeEnded(TARGET, AttemptOutcome.SUCCEEDED, 900, {}, 500)]
    assert shared.counts["probes_shared"] == 1


def test_once_detached_probes_go_out_as_they_are(loop):
    shared = sharing(loop, answer=RESULT)
    shared.detach()
    loop.command_handlers[SendProbe](SendProbe(TARGET))
    assert loop.probes == [SendProbe(TARGET)]
    assert loop.listener is None


def test_endpoint_updates_tell_the_targets(loop):
    shared = sharing(loop, answer=None)
    shared.handle_front_events([EndpointListUpdated(1, 1, ())])
    assert shared.endpoint_kinds == {}
