"""A single voter: grants, denials and the persisted epoch ceiling."""

from limepath.configuration.sharing_settings import LeaseSettings
from limepath.duties.interface import (
    EpochReport,
    LeaseRelease,
    LeaseRequest,
    PersistEpochCeiling,
)
from limepath.duties.lease_timing import startup_silence
from limepath.duties.voter import Voter
from limepath.timer_queue import TimerQueue

SECOND = 1_000_000
LEASE_SETTINGS = LeaseSettings(("a", "b", "c"), 3 * SECOND, 0.01, 4)


def test_the_ceiling_is_persisted_before_an_epoch_above_it_is_granted():
    timers = TimerQueue(1)
    voter = Voter(timers, LEASE_SETTINGS, ("b", "c"), 500, True)
    voter.silent_until = 0
    answer = voter.handle_request(1, LeaseRequest(0, 1, ((0, 500),)))
    assert answer.denied == ((0, 500, 0),) and not timers.take_commands()
    assert voter.handle_request(1, LeaseRequest(0, 1, ((0, 501),))).granted == (0,)
    (persist,) = timers.take_commands()
    assert isinstance(persist, PersistEpochCeiling) and persist.ceiling > 501
    assert (
        voter.handle_request(1, LeaseRequest(0, 2, ((1, 502),))).granted == (1,)
        and not timers.take_commands()
    )


def test_a_voter_that_lost_its_store_waits_for_reports_from_a_member_of_every_majority():
    timers, queried = TimerQueue(1), []
    voter = Voter(timers, LEASE_SETTINGS._replace(voters=tuple("abcde")), tuple("bcde"), 0, False)
    voter.start(lambda name, message: queried.append(name))
    assert queried == list("bcde") and not voter.can_vote()
    voter.handle_report("b", EpochReport(1, 7000, True))
    voter.handle_report("x", EpochReport(1, 9999, True))
    voter.handle_report("c", EpochReport(1, 100, False))
    voter.handle_report("d", EpochReport(1, 100, True))
    assert not voter.is_ceiling_known
    voter.handle_report("e", EpochReport(1, 300, True))
    assert voter.is_ceiling_known and voter.epoch_floor == 7000
    timers.run_due(startup_silence(LEASE_SETTINGS) + 1)
    assert voter.handle_request(1, LeaseRequest(0, 1, ((0, 7000),))).denied == ((0, 7000, 0),)


def test_a_release_by_the_holder_alone_frees_the_slot():
    timers = TimerQueue(1)
    voter = Voter(timers, LEASE_SETTINGS, (), 0, True)
    voter.silent_until = 0
    assert voter.handle_request(1, LeaseRequest(0, 1, ((0, 1),))).granted
    assert voter.handle_request(2, LeaseRequest(0, 1, ((0, 2),))).denied[0][2] == LEASE_SETTINGS.span
    voter.handle_release(2, LeaseRelease(0, ((0, 1),)))  # the sender is not the holder
    assert not voter.handle_request(2, LeaseRequest(0, 1, ((0, 2),))).granted
    voter.handle_release(1, LeaseRelease(0, ((0, 1),)))
    assert voter.handle_request(2, LeaseRequest(0, 1, ((0, 2),))).granted
