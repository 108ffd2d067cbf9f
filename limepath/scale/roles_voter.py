"""A voter on leases: processor time of a claim by the slots in it, renewed, datagrams opened and sealed."""

import os
from functools import partial

from limepath.configuration.sharing_settings import LeaseSettings
from limepath.duties.interface import MESSAGES as DUTY_MESSAGES
from limepath.duties.interface import LeaseRequest
from limepath.duties.voter import Voter
from limepath.membership.guard import Guard, Key
from limepath.membership.interface import MESSAGES, REFUTATION_BITS, MemberRecord
from limepath.scale.measured import RoleResult, Series
from limepath.scale.roles import minimum_cpu_us
from limepath.timer_queue import TimerQueue

SLOTS = (1, 2, 4, 8, 16, 32)
CLAIMS, WARM, ROUNDS = 2000, 10, 15  # of a run; before it; runs
HOLDER = "n1"


class Claims:
    """Claims of one holder on the same slots, each renewed."""

    def __init__(self, slots):
        types, key = (*MESSAGES, *DUTY_MESSAGES), (Key(b"abcd", os.urandom(32)),)
        self.mine, self.theirs = Guard(key, types), Guard(key, types)
        self.voter = Voter(TimerQueue(1), LeaseSettings(), (), 0, True)
        self.voter.silent_until = 0
        self.news = MemberRecord(7, HOLDER, "127.0.0.1", 7946, 1 << REFUTATION_BITS, 1)
        self.claim, self.granted = LeaseRequest(0, 1, tuple((slot, 1) for slot in range(slots))), 0
        self.run(WARM)

    def run(self, count=CLAIMS):
        for datagram in [self.theirs.seal(self.news, 1, self.claim) for _ in range(count)]:
            self.one(datagram)

    def one(self, datagram):
        sender, _, claim = self.mine.open(datagram)
        vote = self.voter.handle_request((sender.name, sender.session_token), claim)
        self.mine.seal(self.news, sender.session_token, vote)
        self.granted += len(vote.granted) == len(claim.slots)

    def sealed(self):
        """What `run` does beside the voter's part."""
        for _ in range(CLAIMS):
            self.theirs.seal(self.news, 1, self.claim)


def measure():
    """Return the RoleResult of a voter."""
    claims = [Claims(slots) for slots in SLOTS]
    whole = minimum_cpu_us([partial(one.run) for one in claims], ROUNDS)
    beside = minimum_cpu_us([one.sealed for one in claims], ROUNDS)
    asked = WARM + CLAIMS * ROUNDS
    for one in claims:
        if one.granted != asked:
            raise ValueError(f"{asked - one.granted} of {asked} claims denied")
    points = tuple(
        (slots, round((spent - less) / CLAIMS, 2))
        for slots, spent, less in zip(SLOTS, whole, beside, strict=True)
    )
    what, size = "a claim renewed, opened and its vote sealed", "slots in the claim"
    return RoleResult(
        (Series("claim", what, "us of CPU", size, points, "real logic"),),
        notes=(f"the least of {ROUNDS} runs; no socket, no store: a renewal writes nothing",),
    )
