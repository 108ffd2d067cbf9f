"""Outlier ejection and health checks of one server: consecutive failures, missed probes, recovery.

A server is ejected after failures in a row or a probe without answer, and is back with its next answer. What
a probe is due for, and how long a silence must be to count, is told in docs/design.md, exception 7.
"""

from collections.abc import Collection

from limepath.decisions.event_queue import EventQueue
from limepath.decisions.request import PendingRequest
from limepath.interface.events import AttemptOutcome
from limepath.interface.settings import Idempotency

LEAST_SILENCE_US = 200_000  # least silence with an answer owed before a probe
PROBE_INTERVAL_US = 1_000_000  # least time between probes, but for the one that confirms a silence
SILENCE_FACTOR = 2  # times the time in which something in flight should end, until silence is one
UNPROBED_SILENCE_FACTOR = 4  # times that again where no probe can tell a slow answer from none
LONGEST_TRIAL_BACKOFF = 3  # doublings of the time between trials where there are no probes
MISSED_PROBES_TO_CANCEL = 2  # in a row, before attempts in flight are cancelled
FAILURES_TO_EJECT = 3  # connections broken in a row
RESTART_SILENCE_US = 2_000_000  # a server that was silent for longer is taken for restarted, with no copies
CONNECTION_FAILURES = (AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED)


class Health:
    """What is known of one server's health. All times are microseconds.

    Attributes:
        last_contact_at: when it was last known to answer, or to have been asked nothing.
        last_miss_at: when it last failed to answer in time.
        last_failure_at: when a connection last broke; None since the last answer.
        missed_probes: silences since the last answer.
        consecutive_failures: connections broken since the last answer, at different moments.
        suspected_since: since when there has been no answer where one was due; None since the last answer.
        needs_probe: whether a sign asks for a probe.
    """

    def __init__(self, queue: EventQueue, probing: bool) -> None:
        self._queue = queue
        self._probing = probing
        self._last_probe_at: int = 0  # or trial
        self._probe_sent_at: int | None = None  # while a probe is in flight
        self.last_contact_at: int = 0
        self.last_miss_at: int = 0
        self.last_failure_at: int | None = None
        self.missed_probes: int = 0
        self.consecutive_failures: int = 0
        self.suspected_since: int | None = None
        self.needs_probe: bool = False

    @property
    def is_ejected(self) -> bool:
        """Whether the server is given no attempt but a trial."""
        if self.missed_probes:
            return True
        return self.suspected_since is not None and self.consecutive_failures > 1

    @property
    def last_evidence_at(self) -> int:
        """When the server last answered or last failed to."""
        return max(self.last_contact_at, self.last_miss_at)

    def restart(self) -> None:
        """The server has started anew: what was known of it no longer counts."""
        self.last_contact_at = self._queue.now
        self._clear_failures()

    def _clear_failures(self) -> None:
        self.missed_probes = 0
        self.consecutive_failures = 0
        self.last_failure_at = None
        self.suspected_since = None

    def record_contact(self, at: int) -> bool:
        """The server answered `at` a time; give whether it was silent so long that it must have restarted."""
        was_long_silent = self.suspected_since is not None and at - self.suspected_since > RESTART_SILENCE_US
        self.last_contact_at = at
        self._clear_failures()
        return was_long_silent

    def record_failure(self, outcome: AttemptOutcome) -> bool:
        """A connection broke or a fill was lost; give whether what is in flight is to be cancelled."""
        now = self._queue.now
        if self.last_failure_at != now:  # what breaks at one moment may be one connection
            self.consecutive_failures += 1
        self.last_failure_at = now
        if outcome == AttemptOutcome.CONNECT_FAILED:  # probe until it answers, to know how long it was away
            self.needs_probe = True
            self._suspect()
        if self.consecutive_failures >= FAILURES_TO_EJECT:
            return self.record_silence(outcome)
        return False

    def record_silence(self, outcome: AttemptOutcome) -> bool:
        """An answer was due and did not come; give whether what is in flight is to be cancelled."""
        self.missed_probes += 1
        self.last_miss_at = self._queue.now
        self._suspect()
        return self.missed_probes >= MISSED_PROBES_TO_CANCEL or outcome in CONNECTION_FAILURES

    def _suspect(self) -> None:
        if self.suspected_since is None:
            self.suspected_since = self._queue.now

    def take_trial(self, request: PendingRequest) -> bool:
        """Whether this request goes to an ejected server in place of a probe, where there are no probes.

        Now and then an idempotent one does, more seldom the longer the server is ejected: nothing else would
        bring it back.
        """
        if self._probing or request.idempotency != Idempotency.IDEMPOTENT:
            return False
        doublings = min(LONGEST_TRIAL_BACKOFF, max(0, self.missed_probes - 1))
        last_try_at = max(self._last_probe_at, self.last_miss_at)
        if self._queue.now < last_try_at + (PROBE_INTERVAL_US << doublings):
            return False
        self._last_probe_at = self._queue.now
        return True

    def needs_check(self, sending_times: Collection[int]) -> bool:
        """Whether a probe is called for, with attempts of these expected sending times in flight."""
        if self.missed_probes or self.needs_probe:
            return True
        if not sending_times:
            return False
        return self._queue.now - self.last_contact_at > silence_limit(sending_times)

    def is_probe_allowed(self) -> bool:
        """Whether a probe may be sent now: none is in flight, and the last is long enough ago."""
        if self._probe_sent_at is not None:
            return False
        return self.missed_probes == 1 or self._queue.now - self._last_probe_at > PROBE_INTERVAL_US

    def begin_probe(self) -> int:
        """A probe is sent; give the age up to which another front's result will do."""
        now = self._queue.now
        self._probe_sent_at = now
        self._last_probe_at = now
        self.needs_probe = False
        return now - self.last_evidence_at

    def end_probe(self) -> int | None:
        """A result is there; give when its probe was sent, None where none was."""
        sent_at = self._probe_sent_at
        self._probe_sent_at = None
        return sent_at

    def is_silent_unprobed(self, sending_times: Collection[int]) -> bool:
        """Whether silence alone shows that the server is down, where there are no probes to ask it."""
        silence = self._queue.now - self.last_evidence_at
        return silence > UNPROBED_SILENCE_FACTOR * silence_limit(sending_times)


def silence_limit(sending_times: Collection[int]) -> int:
    """How long none of these transfers need end. Of n in flight one ends in an n-th of their mean time."""
    return max(LEAST_SILENCE_US, SILENCE_FACTOR * sum(sending_times) // len(sending_times) ** 2)
