"""Fronts of an older text and of the present one in one fleet on loopback must understand each other.

`python -m tests.two_versions --old DIR --seed N` starts real `limepath run` processes of the clone at DIR
and of the current directory, in either order, and lets each take over a store that the other wrote. It ends
with status 1 when a check failed. `--different-keys` shows that it can fail.
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
from tests.two_versions_fleet import FIRST_GROUP, SECOND_GROUP, Front, Stage, Text

GETS, OBJECTS = 60, 6
PATIENCE, POLL = 40.0, 0.1  # seconds
SAVED = 3.0  # seconds after which a list that rests is on the disk; the setting `save` is one


class Check(NamedTuple):
    """One thing that must hold, and what was seen."""

    order: str
    what: str
    passed: bool
    seen: str


class Story:
    """Both texts in one fleet, `first` started before `second`; `checks` grows."""

    def __init__(self, stage: Stage, first: Text, second: Text, patience: float = PATIENCE):
        self.stage, self.first, self.second, self.patience = stage, first, second, patience
        self.order, self.checks = f"{first.title} first", []
        self.chance = Random(stage.seed)
        texts = [first if who in FIRST_GROUP else second for who in range(fleet.FRONTS)]
        self.fronts = [Front(stage, who, text) for who, text in enumerate(texts)]

    def check(self, what: str, look: Callable[[], Any], holds: Callable[[Any], bool] = bool) -> None:
        """Look again and again until it holds or the patience is over; keep the verdict."""
        end = time.monotonic() + self.patience
        while not (passed := holds(seen := look())) and time.monotonic() < end:
            time.sleep(POLL)
        self.checks.append(Check(self.order, what, passed, str(seen)))

    def running(self) -> list[Front]:
        """The fronts whose processes run."""
        return [front for front in self.fronts if front.running()]

    def play(self) -> None:
        """The whole story; fronts end with it."""
        first, second = self.fronts[FIRST_GROUP[0]], self.fronts[SECOND_GROUP[0]]
        try:
            self.start_first(first)
            self.join(first, second)
            for who in (FIRST_GROUP[1], SECOND_GROUP[1]):
                self.fronts[who].start()
            self.check_fleet("four fronts")
            self.check_events("four fronts")
            for front in (second, first):
                self.take_over(front)
            self.check_fleet("after both restarts")
            self.check_events("after both restarts")
            self.check_logs()
        finally:
            for front in self.fronts:
                front.signal(signal.SIGKILL)

    def start_first(self, front: Front) -> None:
        """One front alone, which clients ask."""
        front.start()
        self.check("the first front is ready", lambda: len(front.logged((fleet.READY,))))
        statuses = [
            self.stage.get(front.index, number, 1 + self.chance.randrange(OBJECTS))
            for number in range(1, GETS + 1)
        ]
        self.check("the first front answers GETs", lambda: statuses.count(200))

    def join(self, first: Front, second: Front) -> None:
        """A front of the other text joins; what either has it has of the other, for there are no more."""
        second.start()
        self.check_alive("two fronts")
        self.check(
            "request counts reach the newcomer",
            lambda: (
                first.count(fleet.REQUEST_COUNTS, fleet.TOLD),
                second.count(fleet.REQUEST_COUNTS, fleet.LEARNT),
                second.count(fleet.REQUEST_COUNTS, fleet.REFUSED),
            ),
            lambda seen: seen[0] >= seen[1] > 0 == seen[2],
        )
        for front in (first, second):
            title = f"at the front of the {front.text.title} text"
            self.check(
                f"the other's probe results are taken, {title}",
                lambda front=front: front.count(fleet.MEMBERSHIP, fleet.COUNTS, fleet.RESULTS_NEW),
            )
        self.check_leases("two fronts, each vote needed")

    def check_fleet(self, when: str) -> None:
        """Membership and leases of all that run."""
        self.check_alive(when)
        self.check_leases(when)

    def check_alive(self, when: str) -> None:
        """Every front sees all as alive."""
        names = {front.name for front in self.running()}
        self.check(
            f"{when}: every front sees all alive",
            lambda: {front.name: sorted(front.sees_alive()) for front in self.running()},
            lambda seen: all(set(alive) == names for alive in seen.values()),
        )

    def check_leases(self, when: str) -> None:
        """Every slot of the leased duty has one holder, and every front holds some."""
        self.check(
            f"{when}: leases divide the slots",
            lambda: {front.name: front.slots() for front in self.running()},
            lambda seen: (
                all(seen.values()) and sorted(sum(seen.values(), [])) == list(range(fleet.SLOT_COUNT))
            ),
        )

    def check_events(self, when: str) -> None:
        """A drain, a purge and a new endpoint, told to the first group alone, reach all."""
        drained = self.chance.choice([name for name in self.stage.caches if name.startswith("s-")])
        new = f"s-{len(self.stage.caches)}"
        purge = {"object": f"{self.chance.getrandbits(64):016x}", "time": int(time.time() * 1000)}
        members = {
            "drain": self.stage.member(drained, "terminating"),
            "new endpoint": self.stage.new_member(new),
        }
        events = {what: {"fleet": {"complete": False, "members": [row]}} for what, row in members.items()}
        for what, event in (events | {"purge": {"invalidate": purge}}).items():
            self.check(
                f"{when}: only the {self.fronts[0].text.title} text streams before the {what}",
                self.stage.streaming,
                lambda seen: seen and seen <= set(FIRST_GROUP),
            )
            self.check_list(f"{when}: a {what} reaches all", self.stage.tell(event))

    def check_list(self, what: str, number: int) -> None:
        """All that run hold the same list, up to this event."""
        self.check(
            what,
            lambda: {front.name: front.list_state() for front in self.running()},
            lambda seen: len(set(seen.values())) == 1 and (seen["n0"] or (0,))[0] == number,
        )

    def take_over(self, front: Front) -> None:
        """Stop a front; start one of the other text on its folder and name."""
        time.sleep(SAVED)
        before, number = (
            front.view(fleet.MEMBERSHIP, fleet.ME) or {},
            front.count(fleet.ENDPOINTS, fleet.NUMBER),
        )
        token, life, ceiling = (
            before.get(front.text.word(name)) for name in (fleet.TOKEN, fleet.LIFE, fleet.EPOCH_CEILING)
        )
        front.leave()
        was, front.text = front.text, self.second if front.text == self.first else self.first
        front.start()
        when = f"{front.text.title} text on the {was.title} text's store"
        self.check(f"{when}: shares", lambda: len(front.logged((fleet.SHARING,))))
        self.check(
            f"{when}: same token, next life",
            lambda: [front.view(fleet.MEMBERSHIP, fleet.ME, name) for name in (fleet.TOKEN, fleet.LIFE)],
            lambda seen: token is not None and seen == [token, life + 1],
        )
        self.check(
            f"{when}: ceiling of epochs kept",
            lambda: (ceiling, front.view(fleet.MEMBERSHIP, fleet.ME, fleet.EPOCH_CEILING)),
            lambda seen: None not in seen and seen[1] >= seen[0] > 0,
        )
        self.check(
            f"{when}: list resumed from the saved state",
            lambda: (
                number + 1,
                front.view(fleet.ENDPOINTS, fleet.OLDEST_KEPT),
                front.view(fleet.ENDPOINTS, fleet.FETCHED_COUNTS, fleet.FETCHED),
            ),
            lambda seen: seen[0] == seen[1] > 1 and seen[2] == 0,
        )
        self.check_list(f"{when}: holds the list of all", number)
        self.check_none(f"{when}: nothing thrown away", front, fleet.THROWN_AWAY)

    def check_logs(self) -> None:
        """No front met a message that it did not understand since its last start."""
        for front in self.fronts:
            what = f"{front.name} ({front.text.title} text): nothing refused, no fault"
            self.check_none(what, front, fleet.NOT_UNDERSTOOD)

    def check_none(self, what: str, front: Front, names: tuple[fleet.Name, ...]) -> None:
        """The front runs and its log has no such line."""
        lines = front.logged(names)
        self.checks.append(
            Check(self.order, what, front.running() and not lines, "; ".join(lines[:3]) or "none")
        )


def played(first: Text, second: Text, seed: int, different_keys: bool, patience: float) -> list[Check]:
    """Run one order in a folder of its own; give its checks."""
    keys = {old: f"{Random(seed + old * different_keys).getrandbits(256):064x}" for old in (False, True)}
    with tempfile.TemporaryDirectory(prefix="limepath-versions-") as folder:
        stage = Stage(folder, seed, keys)
        try:
            story = Story(stage, first, second, patience)
            story.play()
        finally:
            stage.close()
    return story.checks


def table(checks: list[Check]) -> str:
    """One row per check; what was seen stands at those that failed."""
    wide = max(len(check.what) for check in checks)
    rows = [
        f"{check.order:<10}  {check.what:<{wide}}  " + ("passed" if check.passed else f"failed  {check.seen}")
        for check in checks
    ]
    return "\n".join(rows)


@click.command()
@click.option("--old", required=True, type=click.Path(exists=True, file_okay=False), help="The older clone.")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--patience", type=float, default=PATIENCE, show_default=True, help="Seconds for each check.")
@click.option("--different-keys", is_flag=True, help="A key for each text, so that checks must fail.")
@click.option("--json", "as_json", is_flag=True, help="Print as JSON.")
def main(old: str, seed: int, patience: float, different_keys: bool, as_json: bool) -> None:
    """Run fronts of the clone OLD and of the current directory together, in either order."""
    texts = [Text("old", os.path.realpath(old), True), Text("new", os.path.realpath("."), False)]
    for text in texts:
        if text.imported_from() != text.folder:
            raise click.BadParameter(f"{text.folder} is not where its processes import the program from")
    orders = (texts, texts[::-1])
    checks = [check for order in orders for check in played(*order, seed, different_keys, patience)]
    passed = all(check.passed for check in checks)
    if as_json:
        click.echo(json.dumps({"passed": passed, "checks": [check._asdict() for check in checks]}, indent=1))
    else:
        click.echo(table(checks))
    sys.exit(0 if passed else 1)


if __name__ == "__main__":
    main()
