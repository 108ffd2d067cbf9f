"""The loop between sockets and module: the notes of one pass of the reactor, one `handle`, then orders."""

from limepath.front.clock import clock
from limepath.interface.commands import (
    CancelAttempt,
    CloseIdleConnections,
    FailRequest,
    ForwardRequest,
    QueryEndpointList,
    RejectRequest,
    ScheduleWakeup,
    SendProbe,
    SetSubscription,
    WriteLog,
)
from limepath.interface.events import (
    AttemptEnded,
    EndpointListUpdated,
    PurgeAnnounced,
    RequestArrived,
    TimerFired,
)

NEWS = (EndpointListUpdated, PurgeAnnounced)


class DecisionLoop:
    def __init__(self, reactor, front, limits, log):
        self.reactor, self.front, self.limits, self.log = reactor, front, limits, log
        self.notes, self.called, self.retold = [], False, set()
        self.called_at = 0  # when the first of these notes came
        self.looked_again = False  # decided late, after one more look at the sockets
        self.decided_at = 0
        self.listener = None  # hears all notes too, where fronts share what they learn
        self.carriers = {
            ScheduleWakeup: lambda order: reactor.callLater(
                order.delay / 1e6, self.gather, TimerFired(order.cookie)
            ),
            SetSubscription: self.followed,
            QueryEndpointList: self.followed,
            WriteLog: lambda order: log.say("module", order.text),
        }

    def joined(self, clients, caches):
        self.clients, clients.caches = clients, caches
        self.carriers |= {
            ForwardRequest: lambda order: caches.forward(
                order, clients.requests.get(order.request), self.decided_at
            ),
            CancelAttempt: clients.cancel_attempt,
            SendProbe: caches.probe,
            CloseIdleConnections: caches.close_idle,
            RejectRequest: clients.reject,
            FailRequest: clients.fail,
        }

    def gather(self, *notes):
        """Keep notes until all that this pass of the reactor has ready is read."""
        self.notes += notes
        if self.listener:
            self.listener(notes)
        if not self.called:
            self.called, self.called_at = True, clock()
            self.reactor.callLater(0, self.run)

    def run(self):
        """Decide by all that has come. Where that is late, as the process stood still or a pass was long,
        drains and purges may lie unread by now: the sockets are looked at once more.
        """
        if clock() - self.called_at > self.limits.late_pass and not self.looked_again:
            self.looked_again = True
            self.reactor.callLater(0, self.run)
            return
        self.looked_again = False
        # what one pass brought has no order in time: news of members and purges comes before what is decided
        # by it
        notes, self.notes, self.called = (
            sorted(self.notes, key=lambda note: not isinstance(note, NEWS)),
            [],
            False,
        )
        self.decided_at = clock()
        try:
            orders = self.front.handle(self.decided_at, notes)
        except Exception as flaw:  # whatever it is, the GETs concerned are answered and the front lives on
            self.log.fault("handle", flaw)
            for note in notes:
                if isinstance(note, RequestArrived):
                    self.clients.fail(FailRequest(note.id))
                elif isinstance(note, AttemptEnded):
                    self.clients.fail(FailRequest(note.request))
            # drains and purges must not be lost with the rest; they are told once more, which is harmless
            told = {note for note in notes if isinstance(note, NEWS)} - self.retold
            self.retold = told
            again = [note for note in notes if note in told] + [TimerFired(0)]
            self.reactor.callLater(self.limits.fault_pause / 1e6, self.gather, *again)
            return
        for order in orders:
            try:
                self.carriers.get(type(order), self.unknown)(order)
            except Exception as flaw:
                self.log.fault(type(order).__name__, flaw)
        self.clients.forget_released()

    def followed(self, order):
        """The change log is followed always."""

    def unknown(self, order):
        self.log.say("order", "no way to carry it out here", order=type(order).__name__)
