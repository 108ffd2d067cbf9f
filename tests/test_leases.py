"""Lease holders and voters of several instances, with simulated loss of messages."""

from limepath.configuration.sharing_settings import LeaseSettings
from limepath.duties.lease_timing import holder_duration, startup_silence
from limepath.duties.leases import LeaseManager
from limepath.timer_queue import TimerQueue

SECOND = 1_000_000
LEASE_SETTINGS = LeaseSettings(("a", "b", "c"), 3 * SECOND, 0.01, 4)


class LeaseFleet:
    """Instances that are holders and voters; the argument `lost` of `run` decides which messages are lost."""

    def __init__(self, names=("a", "b", "c"), is_ceiling_known=True, lease_settings=LEASE_SETTINGS):
        self.now = 0
        self.sent = []
        self.managers = {}
        self.wanted = {name: set() for name in names}
        for name in names:
            timers = TimerQueue(ord(name))
            manager = LeaseManager(
                timers,
                name,
                ord(name),
                lease_settings,
                (0,),
                lambda duty, name=name: self.wanted[name],
                lambda duty: None,
                lambda destination, message, name=name: self.sent.append((name, destination, message)),
                0,
                is_ceiling_known,
            )
            self.managers[name] = manager
            manager.start()

    def run(self, span, lost=lambda source, destination: False):
        end = self.now + span
        while self.now < end:
            self.now += 10_000
            for manager in self.managers.values():
                manager.timers.run_due(self.now)
            while self.sent:
                source, destination, message = self.sent.pop(0)
                if not lost(source, destination) and destination in self.managers:
                    self.managers[destination].handle_message(source, ord(source), message)

    def holders(self, slot=0):
        return [name for name, manager in self.managers.items() if manager.valid_lease(0, slot)]


def test_a_voter_grants_nothing_for_its_startup_silence():
    fleet = LeaseFleet()
    fleet.wanted["a"] = {0}
    fleet.run(startup_silence(LEASE_SETTINGS) - 20_000)
    assert fleet.holders() == []
    fleet.run(2 * SECOND)
    assert fleet.holders() == ["a"]


def test_a_lease_expires_without_a_majority_and_its_epoch_is_not_granted_again():
    fleet = LeaseFleet()
    fleet.wanted["a"] = {0}
    fleet.run(8 * SECOND)
    epoch = fleet.managers["a"].valid_lease(0, 0).epoch
    fleet.run(
        holder_duration(LEASE_SETTINGS) + 20_000, lost=lambda source, destination: source != destination
    )
    assert fleet.holders() == []
    fleet.wanted["b"], fleet.wanted["a"] = {0}, set()
    fleet.run(8 * SECOND)
    assert fleet.holders() == ["b"] and fleet.managers["b"].valid_lease(0, 0).epoch > epoch


def test_two_instances_never_hold_the_same_slot_and_a_release_hands_it_over_at_once():
    fleet = LeaseFleet()
    fleet.wanted["a"] = fleet.wanted["b"] = {0}
    for _ in range(1000):
        fleet.run(10_000, lost=lambda source, destination: fleet.now // 70_000 % 3 == 0)
        assert len(fleet.holders()) < 2
    (holder,) = fleet.holders()
    other = "ab".replace(holder, "")
    fleet.wanted[holder] = set()
    fleet.run(2 * SECOND)
    assert fleet.holders() == [other]  # before the previous lease would have expired


def test_a_holder_renews_without_a_gap_while_the_voters_restart_one_after_another():
    fleet = LeaseFleet()
    fleet.wanted["a"] = {0}
    fleet.run(8 * SECOND)
    for name in ("b", "c"):
        voter = fleet.managers[name].voter
        voter.grants.clear()
        voter.epoch_floor, voter.silent_until = voter.ceiling, fleet.now + startup_silence(LEASE_SETTINGS)
        for _ in range(50):
            fleet.run(100_000)
            assert fleet.holders() == ["a"]


def test_a_new_fleet_grants_leases_once_all_voters_have_reported_unknown_ceilings():
    fleet = LeaseFleet(is_ceiling_known=False)
    fleet.wanted["c"] = {0, 1}
    fleet.run(10 * SECOND)
    assert fleet.holders() == fleet.holders(1) == ["c"]
