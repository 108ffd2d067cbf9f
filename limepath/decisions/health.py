"""Outlier ejection and health checks of one server: consecutive failures, missed probes, recovery.

A server is ejected after consecutive failures or an unanswered probe, and readmitted after its next answer.
Exception 7 of docs/design.md defines when a probe is due and how long a silence must last to count.
"""

from collections.abc import Collection

from limepath.decisions.event_queue import EventQueue
from limepath.decisions.request import PendingRequest
from limepath.interface.events import AttemptOutcome
from limepath.interface.settings import Idempotency

MIN_SILENCE_US = 200_000  # minimum silence, while an answer is due, before a probe is sent
PROBE_INTERVAL_US = 1_000_000  # minimum time between probes, except for the one that confirms a silence
SILENCE_FACTOR = 2  # a probe is due after this many times the time in which one transfer should end
SILENCE_FACTOR_WITHOUT_PROBES = 4  # multiplies that time where no probe can tell a slow answer from none
MAX_TRIAL_BACKOFF_DOUBLINGS = 3  # limits how often the time between trials doubles where there are no probes
MISSED_PROBES_TO_CANCEL = 2  # consecutive missed probes after which attempts in flight are cancelled
FAILURES_TO_EJECT = 3  # consecutive broken connections
RESTART_SILENCE_US = 2_000_000  # after a longer silence a server counts as restarted, without copies
CONNECTION_FAILURES = (AttemptOutcome.RESET, AttemptOutcome.CONNECT_FAILED)


class Health:
    """The health of one server. All times are in microseconds.

    Attributes:
        last_contact_at: when the server last answered, or when it last had no attempt to answer.
        last_miss_at: when the server last failed to answer in time.
        last_failure_at: when a connection last broke; None if none has broken since the last answer.
        missed_probes: number of silences since the last answer.
        consecutive_failures: connections that broke since the last answer; those that broke at the same
            time count once.
        suspected_since: when an answer was first missing or a connection first could not be opened; None if
            neither happened since the last answer.
        needs_probe: whether an attempt or a report called for a probe.
    """

    def __init__(self, queue: EventQueue, probing: bool) -> None:
        self._queue = queue
        self._probing = probing
        self._last_probe_at: int = 0  # also the time of the last trial
        self._probe_sent_at: int | None = None  # None if no probe is in flight
        self.last_contact_at: int = 0
        self.last_miss_at: int = 0
        self.last_failure_at: int | None = None
        self.missed_probes: int = 0
        self.consecutive_failures: int = 0
        self.suspected_since: int | None = None
        self.needs_probe: bool = False

    @property
    def is_ejected(self) -> bool:
        """Whether the server receives no attempts other than trials."""
        if self.missed_probes:
            return True
        return self.suspected_since is not None and self.consecutive_failures > 1

    @property
    def last_evidence_at(self) -> int:
        """When the server last answered or last failed to answer."""
        return max(self.last_contact_at, self.last_miss_at)

    def restart(self) -> None:
        """Discard the failures recorded before a restart of the server."""
        self.last_contact_at = self._queue.now
        self._clear_failures()

    def _clear_failures(self) -> None:
        self.missed_probes = 0
        self.consecutive_failures = 0
        self.last_failure_at = None
        self.suspected_since = None

    def record_contact(self, at: int) -> bool:
        """Record an answer at time `at`; return whether the silence before it indicates a restart."""
        has_restarted = self.suspected_since is not None and at - self.suspected_since > RESTART_SILENCE_US
        self.last_contact_at = at
        self._clear_failures()
        return has_restarted

    def record_failure(self, outcome: AttemptOutcome) -> bool:
        """Record a broken connection or a lost fill; return whether to cancel the attempts in flight."""
        now = self._queue.now
        if self.last_failure_at != now:  # failures at the same time may share one connection
            self.consecutive_failures += 1
        self.last_failure_at = now
        # Probe the server until it answers, to determine how long it was unreachable.
        if outcome == AttemptOutcome.CONNECT_FAILED:
            self.needs_probe = True
            self._suspect()
        if self.consecutive_failures >= FAILURES_TO_EJECT:
            return self.record_silence(outcome)
        return False

    def record_silence(self, outcome: AttemptOutcome) -> bool:
        """Record that a due answer is missing; return whether to cancel the attempts in flight."""
        self.missed_probes += 1
        self.last_miss_at = self._queue.now
        self._suspect()
        return self.missed_probes >= MISSED_PROBES_TO_CANCEL or outcome in CONNECTION_FAILURES

    def _suspect(self) -> None:
        if self.suspected_since is None:
            self.suspected_since = self._queue.now

    def take_trial(self, request: PendingRequest) -> bool:
        """Return whether to send the request to the ejected server as a trial, and record the trial.

        Trials replace probes in deployments without probes, because nothing else would end the ejection.
        Only idempotent requests serve as trials, at intervals that double with each missed answer.
        """
        if self._probing or request.idempotency != Idempotency.IDEMPOTENT:
            return False
        doublings = min(MAX_TRIAL_BACKOFF_DOUBLINGS, max(0, self.missed_probes - 1))
        last_trial_at = max(self._last_probe_at, self.last_miss_at)
        if self._queue.now < last_trial_at + (PROBE_INTERVAL_US << doublings):
            return False
        self._last_probe_at = self._queue.now
        return True

    def is_probe_needed(self, sending_times: Collection[int]) -> bool:
        """Return whether a probe is needed while attempts of these expected sending times are in flight."""
        if self.missed_probes or self.needs_probe:
            return True
        if not sending_times:
            return False
        return self._queue.now - self.last_contact_at > silence_limit(sending_times)

    def is_probe_allowed(self) -> bool:
        """Return whether a probe may be sent now, given the probe in flight and the probe interval."""
        if self._probe_sent_at is not None:
            return False
        return self.missed_probes == 1 or self._queue.now - self._last_probe_at > PROBE_INTERVAL_US

    def begin_probe(self) -> int:
        """Record that a probe is sent; return the maximum age of another front's result that replaces it."""
        now = self._queue.now
        self._probe_sent_at = now
        self._last_probe_at = now
        self.needs_probe = False
        return now - self.last_evidence_at

    def end_probe(self) -> int | None:
        """Record that a result arrived; return when this front's probe was sent, or None without one."""
        sent_at = self._probe_sent_at
        self._probe_sent_at = None
        return sent_at

    def is_silent_without_probes(self, sending_times: Collection[int]) -> bool:
        """Return whether silence alone indicates that the server is down, in deployments without probes."""
        silence = self._queue.now - self.last_evidence_at
        return silence > SILENCE_FACTOR_WITHOUT_PROBES * silence_limit(sending_times)


def silence_limit(sending_times: Collection[int]) -> int:
    """Return for how many microseconds silence is normal while these transfers are in flight.

    With n transfers in flight, one is expected to end every n-th part of their mean sending time.
    """
    return max(MIN_SILENCE_US, SILENCE_FACTOR * sum(sending_times) // len(sending_times) ** 2)
