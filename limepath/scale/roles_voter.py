"""Measures a lease voter: processor time of a renewal by its slots, with opening and sealing of datagrams."""

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
CLAIMS_PER_RUN, WARM_UP_CLAIMS, RUNS = 2000, 10, 15  # per run; before the first run; runs
HOLDER_NAME = "n1"


class Claims:
    """Repeated claims of one holder on the same slots; each claim after the first is a renewal."""

    def __init__(self, slots):
        types, key = (*MESSAGES, *DUTY_MESSAGES), (Key(b"abcd", os.urandom(32)),)
        self.voter_guard, self.holder_guard = Guard(key, types), Guard(key, types)
        self.voter = Voter(TimerQueue(1), LeaseSettings(), (), 0, True)
        self.voter.silent_until = 0
        self.holder = MemberRecord(7, HOLDER_NAME, "127.0.0.1", 7946, 1 << REFUTATION_BITS, 1)
        self.claim, self.granted = LeaseRequest(0, 1, tuple((slot, 1) for slot in range(slots))), 0
        self.run(WARM_UP_CLAIMS)

    def run(self, count=CLAIMS_PER_RUN):
        for datagram in [self.holder_guard.seal(self.holder, 1, self.claim) for _ in range(count)]:
            self.handle_claim(datagram)

    def handle_claim(self, datagram):
        sender, _, claim = self.voter_guard.open(datagram)
        vote = self.voter.handle_request((sender.name, sender.session_token), claim)
        self.voter_guard.seal(self.holder, sender.session_token, vote)
        self.granted += len(vote.granted) == len(claim.slots)

    def seal_claims(self):
        """Seal the claims of one run as `run` does, without the voter's part."""
        for _ in range(CLAIMS_PER_RUN):
            self.holder_guard.seal(self.holder, 1, self.claim)


def measure():
    """Return the RoleResult of a voter."""
    claims = [Claims(slots) for slots in SLOTS]
    run_us = minimum_cpu_us([partial(one.run) for one in claims], RUNS)
    sealing_us = minimum_cpu_us([one.seal_claims for one in claims], RUNS)
    expected = WARM_UP_CLAIMS + CLAIMS_PER_RUN * RUNS
    for one in claims:
        if one.granted != expected:
            raise ValueError(f"{expected - one.granted} of {expected} claims denied")
    points = tuple(
        (slots, round((total - sealing) / CLAIMS_PER_RUN, 2))
        for slots, total, sealing in zip(SLOTS, run_us, sealing_us, strict=True)
    )
    title, size = "a claim renewed, opened and its vote sealed", "slots in the claim"
    return RoleResult(
        (Series("claim", title, "us of CPU", size, points, "real logic"),),
        notes=(f"the least of {RUNS} runs; no socket, no store: a renewal writes nothing",),
    )
