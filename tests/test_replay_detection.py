"""Tests of limepath/discovery/replay_detection.py: distinguishing live events from a replay."""

from limepath.discovery.replay_detection import EventTimes
from tests.discovery_harness import MS, SECOND


def test_a_replay_is_distinguished_from_live_events_by_the_event_times():
    live, fast, slow = EventTimes(), EventTimes(), EventTimes()
    for step in range(60):
        for times, rate in ((live, 1), (fast, 20), (slow, 0.2)):
            event = {"invalidate": {"time": int(step * 30 * rate)}}
            times.add(step * 30 * MS, event)
    now = 59 * 30 * MS
    assert live.is_live(now, SECOND) and not fast.is_live(now, SECOND) and not slow.is_live(now, SECOND)
