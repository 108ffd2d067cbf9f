"""The size that is coming, its budgets, and what follows from them by arithmetic alone."""

from typing import NamedTuple


class Size(NamedTuple):
    """What the operators tell of the installation (issue 35)."""

    fronts: int = 5200
    sites: int = 240
    zones: int = 20
    regions: int = 10
    caches: int = 1400
    parents: int = 47  # assumed; the issue's own figure for what a front sees
    requests: int = 5_700_000  # a second, at the peak
    bits: float = 5.9e12  # a second, at the peak
    purges: int = 36  # a second
    everywhere: float = 7.3  # seconds until a purge is done
    changes: int = 6100  # of configuration, a day
    restarts: int = 370  # a day; in one hour on the worst day
    machines: int = 6  # set aside for control

    @property
    def zone_fronts(self):
        return self.fronts // self.zones

    @property
    def region_fronts(self):
        return self.fronts // self.regions

    @property
    def site_fronts(self):
        return self.fronts / self.sites

    @property
    def front_requests(self):
        """A second, at one front."""
        return round(self.requests / self.fronts)

    @property
    def front_bits(self):
        return self.bits / self.fronts

    @property
    def body(self):
        """Mean bytes of an answer."""
        return self.bits / 8 / self.requests


class Budget(NamedTuple):
    """What a front may spend on control."""

    cpu: float = 3.5  # % of a core
    memory: float = 128.0  # MB
    bytes: float = 24.0  # KB a second


SIZE, BUDGET = Size(), Budget()
