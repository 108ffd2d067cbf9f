"""Checks that fronts of an older and of the current version interoperate in one fleet on loopback.

`python -m tests.two_versions --old DIR --seed N` starts `limepath run` processes of the clone at DIR and of
the current directory, in either order, and restarts each on a store written by the other. It exits with
status 1 if a check fails. `--different-keys` gives the versions different keys, so that checks must fail.
"""

import json
import os
import signal
import sys
import tempfile
import time
from collections.abc import Callable
from random import Random
from typing import Any, NamedTuple

import click

from tests import two_versions_fleet as fleet
from tests.two_versions_fleet import FIRST_GROUP, SECOND_GROUP, Front, Testbed, Version

REQUESTS, OBJECTS = 60, 6
TIMEOUT, POLL_INTERVAL = 40.0, 0.1  # seconds
SAVE_DELAY = 3.0  # seconds after which an unchanged list has been written to disk; the setting `save` is 1 s


class Check(NamedTuple):
    """The result of a check, with the value observed."""

    order: str
    what: str
    passed: bool
    seen: str


class Scenario:
    """Runs both versions in one fleet, `first` before `second`, and collects the results in `checks`."""

    def __init__(self, testbed: Testbed, first: Version, second: Version, timeout: float = TIMEOUT):
        self.testbed, self.first, self.second, self.timeout = testbed, first, second, timeout
        self.order, self.checks = f"{first.title} first", []
        self.rng = Random(testbed.seed)
        versions = [first if who in FIRST_GROUP else second for who in range(fleet.FRONTS)]
        self.fronts = [Front(testbed, who, version) for who, version in enumerate(versions)]

    def check(self, what: str, look: Callable[[], Any], holds: Callable[[Any], bool] = bool) -> None:
        """Call `look` until `holds` accepts its value or the timeout expires; record the result."""
        end = time.monotonic() + self.timeout
        while not (passed := holds(seen := look())) and time.monotonic() < end:
            time.sleep(POLL_INTERVAL)
        self.checks.append(Check(self.order, what, passed, str(seen)))

    def running(self) -> list[Front]:
        """Return the fronts whose processes run."""
        return [front for front in self.fronts if front.running()]

    def run(self) -> None:
        """Run the scenario; kill all fronts at its end."""
        first, second = self.fronts[FIRST_GROUP[0]], self.fronts[SECOND_GROUP[0]]
        try:
            self.start_first(first)
            self.join(first, second)
            for who in (FIRST_GROUP[1], SECOND_GROUP[1]):
                self.fronts[who].start()
            self.check_fleet("four fronts")
            self.check_events("four fronts")
            for front in (second, first):
                self.restart_with_other_version(front)
            self.check_fleet("after both restarts")
            self.check_events("after both restarts")
            self.check_logs()
        finally:
            for front in self.fronts:
                front.signal(signal.SIGKILL)

    def start_first(self, front: Front) -> None:
        """Start one front and send requests to it."""
        front.start()
        self.check("the first front is ready", lambda: len(front.log_events((fleet.READY,))))
        statuses = [
            self.testbed.get(front.index, number, 1 + self.rng.randrange(OBJECTS))
            for number in range(1, REQUESTS + 1)
        ]
        self.check("the first front answers GETs", lambda: statuses.count(200))

    def join(self, first: Front, second: Front) -> None:
        """Start a front of the other version; with two fronts, each can only learn from the other."""
        second.start()
        self.check_alive("two fronts")
        self.check(
            "request counts reach the new front",
            lambda: (
                first.count(fleet.REQUEST_COUNTS, fleet.SENT),
                second.count(fleet.REQUEST_COUNTS, fleet.RECEIVED),
                second.count(fleet.REQUEST_COUNTS, fleet.REJECTED),
            ),
            lambda seen: seen[0] >= seen[1] > 0 == seen[2],
        )
        for front in (first, second):
            title = f"at the front of the {front.version.title} version"
            self.check(
                f"probe results of the other front are accepted, {title}",
                lambda front=front: front.count(fleet.MEMBERSHIP, fleet.COUNTS, fleet.RESULTS_NEW),
            )
        self.check_leases("two fronts, both votes required")

    def check_fleet(self, when: str) -> None:
        """Check the membership and the leases of all running fronts."""
        self.check_alive(when)
        self.check_leases(when)

    def check_alive(self, when: str) -> None:
        """Check that every front considers all fronts alive."""
        names = {front.name for front in self.running()}
        self.check(
            f"{when}: every front considers all alive",
            lambda: {front.name: sorted(front.alive_members()) for front in self.running()},
            lambda seen: all(set(alive) == names for alive in seen.values()),
        )

    def check_leases(self, when: str) -> None:
        """Check that every slot of the leased duty has one holder and every front holds some."""
        self.check(
            f"{when}: leases divide the slots",
            lambda: {front.name: front.slots() for front in self.running()},
            lambda seen: (
                all(seen.values()) and sorted(sum(seen.values(), [])) == list(range(fleet.SLOT_COUNT))
            ),
        )

    def check_events(self, when: str) -> None:
        """Check that a drain, a purge and a new endpoint sent to the first group reach all fronts."""
        drained = self.rng.choice([name for name in self.testbed.caches if name.startswith("s-")])
        new = f"s-{len(self.testbed.caches)}"
        purge = {"object": f"{self.rng.getrandbits(64):016x}", "time": int(time.time() * 1000)}
        members = {
            "drain": self.testbed.member(drained, "terminating"),
            "new endpoint": self.testbed.new_member(new),
        }
        events = {what: {"fleet": {"complete": False, "members": [row]}} for what, row in members.items()}
        for what, event in (events | {"purge": {"invalidate": purge}}).items():
            self.check(
                f"{when}: only the {self.fronts[0].version.title} version streams before the {what}",
                self.testbed.streaming,
                lambda seen: seen and seen <= set(FIRST_GROUP),
            )
            self.check_list(f"{when}: a {what} reaches all", self.testbed.publish(event))

    def check_list(self, what: str, number: int) -> None:
        """Check that all running fronts hold the same list, up to this event."""
        self.check(
            what,
            lambda: {front.name: front.list_state() for front in self.running()},
            lambda seen: len(set(seen.values())) == 1 and (seen["n0"] or (0,))[0] == number,
        )

    def restart_with_other_version(self, front: Front) -> None:
        """Stop a front and start the other version with its folder and name."""
        time.sleep(SAVE_DELAY)
        before, number = (
            front.view(fleet.MEMBERSHIP, fleet.ME) or {},
            front.count(fleet.ENDPOINTS, fleet.NUMBER),
        )
        token, incarnation, ceiling = (
            before.get(front.version.field(name))
            for name in (fleet.TOKEN, fleet.INCARNATION, fleet.EPOCH_CEILING)
        )
        front.leave()
        was, front.version = front.version, self.second if front.version == self.first else self.first
        front.start()
        when = f"{front.version.title} version on the {was.title} version's store"
        self.check(f"{when}: ready to share", lambda: len(front.log_events((fleet.SHARING,))))
        self.check(
            f"{when}: same token, next incarnation",
            lambda: [
                front.view(fleet.MEMBERSHIP, fleet.ME, name) for name in (fleet.TOKEN, fleet.INCARNATION)
            ],
            lambda seen: token is not None and seen == [token, incarnation + 1],
        )
        self.check(
            f"{when}: epoch ceiling kept",
            lambda: (ceiling, front.view(fleet.MEMBERSHIP, fleet.ME, fleet.EPOCH_CEILING)),
            lambda seen: None not in seen and seen[1] >= seen[0] > 0,
        )
        self.check(
            f"{when}: list restored from the saved state",
            lambda: (
                number + 1,
                front.view(fleet.ENDPOINTS, fleet.OLDEST_KEPT),
                front.view(fleet.ENDPOINTS, fleet.FETCH_COUNTS, fleet.FETCHED),
            ),
            lambda seen: seen[0] == seen[1] > 1 and seen[2] == 0,
        )
        self.check_list(f"{when}: holds the same list as all", number)
        self.check_no_events(f"{when}: nothing discarded", front, fleet.STORE_DISCARDED)

    def check_logs(self) -> None:
        """Check that no front has rejected a message since its last start."""
        for front in self.fronts:
            what = f"{front.name} ({front.version.title} version): nothing rejected, no fault"
            self.check_no_events(what, front, fleet.MESSAGES_REJECTED)

    def check_no_events(self, what: str, front: Front, names: tuple[fleet.Name, ...]) -> None:
        """Check that the front runs and its log has none of these events."""
        lines = front.log_events(names)
        self.checks.append(
            Check(self.order, what, front.running() and not lines, "; ".join(lines[:3]) or "none")
        )


def run_order(
    first: Version, second: Version, seed: int, different_keys: bool, timeout: float
) -> list[Check]:
    """Run the versions in this order in a temporary folder; return the checks."""
    keys = {old: f"{Random(seed + old * different_keys).getrandbits(256):064x}" for old in (False, True)}
    with tempfile.TemporaryDirectory(prefix="limepath-versions-") as folder:
        testbed = Testbed(folder, seed, keys)
        try:
            scenario = Scenario(testbed, first, second, timeout)
            scenario.run()
        finally:
            testbed.close()
    return scenario.checks


def table(checks: list[Check]) -> str:
    """Return one row per check, with the observed value if it failed."""
    wide = max(len(check.what) for check in checks)
    rows = [
        f"{check.order:<10}  {check.what:<{wide}}  " + ("passed" if check.passed else f"failed  {check.seen}")
        for check in checks
    ]
    return "\n".join(rows)


@click.command()
@click.option(
    "--old",
    required=True,
    type=click.Path(exists=True, file_okay=False),
    help="The clone of the older version.",
)
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--patience", type=float, default=TIMEOUT, show_default=True, help="Seconds for each check.")
@click.option(
    "--different-keys", is_flag=True, help="Use a different key for each version, so that checks must fail."
)
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def main(old: str, seed: int, patience: float, different_keys: bool, as_json: bool) -> None:
    """Run fronts of the clone --old and of the current directory in one fleet, in either order."""
    versions = [Version("old", os.path.realpath(old), True), Version("new", os.path.realpath("."), False)]
    for version in versions:
        if version.import_folder() != version.folder:
            raise click.BadParameter(f"processes in {version.folder} import the program from another folder")
    orders = (versions, versions[::-1])
    checks = [check for order in orders for check in run_order(*order, seed, different_keys, patience)]
    passed = all(check.passed for check in checks)
    if as_json:
        click.echo(json.dumps({"passed": passed, "checks": [check._asdict() for check in checks]}, indent=1))
    else:
        click.echo(table(checks))
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
