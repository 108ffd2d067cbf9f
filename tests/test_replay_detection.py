"""Tests of limepath/discovery/replay_detection.py: live events told from a replay."""

from limepath.discovery.replay_detection import EventTimes
from tests.discovery_harness import MS, SECOND


def test_a_replay_is_told_from_live_events_by_their_own_times():
    live, fast, slow = EventTimes(), EventTimes(), EventTimes()
    for step in range(60):
        for times, rate in ((live, 1), (fast, 20), (slow, 0.2)):
            told = {"invalidate": {"time": int(step * 30 * rate)}}
            times.add(step * 30 * MS, told)
    now = 59 * 30 * MS
    assert live.is_live(now, SECOND) and not fast.is_live(now, SECOND) and not slow.is_live(now, SECOND)
