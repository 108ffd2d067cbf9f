"""How long what the reactor hands out may have waited for it: where the system does not tell when bytes came,
they may have come as early as the last look at the sockets.
"""

from limepath.front.clock import clock

AT_ONCE = 1_000  # microseconds; a look at the sockets that took longer had to wait for what it brought


class TimedPoller:
    """The epoll object of a reactor, with the times of its looks at the sockets."""

    def __init__(self, poller):
        self.poller = poller
        self.entered = self.returned = clock()
        self.late = 0

    def __getattr__(self, name):
        return getattr(self.poller, name)

    def poll(self, *told):
        """Look once. What is there at once may have been there since the look before."""
        before, self.entered = self.returned, clock()
        events = self.poller.poll(*told)
        self.returned = clock()
        self.late = self.entered - before if self.returned - self.entered < AT_ONCE else 0
        return events

    def lateness(self):
        """For how many microseconds at the most what this look brought has waited for the pass before it."""
        return self.late


def lateness_of(reactor):
    """Take the times of this reactor's looks from now on; give the function that tells how late it was."""
    if not hasattr(reactor, "_poller"):  # a reactor on another system call than epoll
        return lambda: 0
    reactor._poller = TimedPoller(reactor._poller)
    return reactor._poller.lateness
