"""When the events of a scale run reached its fronts: histograms by phase and kind, late and lost arrivals."""

import numpy
from hdrh.histogram import HdrHistogram

from limepath.report_table import CheckResult, at_most, seconds
from limepath.scale.bounds import PURGE_LIMIT_US, SAMPLE_INTERVAL_US
from limepath.scale.service import LIST, PURGE

SHARES = {"50%": 0.5, "99%": 0.99, "all": 1.0}  # of the fronts that an event has reached
LONGEST = 600_000_000  # microseconds that a histogram holds


class Delivery:
    """When events reached fronts, by phase and kind, from the observations of a run. Histograms are of hollow
    fronts: real ones are asked once a sample where their list stands, so that their times are coarse.
    """

    def __init__(self, run, promise):
        self.run, self.promise, self.seen = run, promise, run.seen
        issued = run.around.issued[1:]  # the first is the whole list, told before anybody is up
        horizon = max(promise.event.values(), default=PURGE_LIMIT_US)
        moments = [at for _, at in run.around.issued]
        names, real = run.fleet.names, {run.fleet.names[who] for who in run.plan.real}
        hollow = [name for name in names if name not in real]
        times, counts = self.seen.times(moments, horizon, hollow)
        self.times, self.counts = times[1:], counts[1:]
        self.real_times, self.real_counts = self.seen.times(moments, horizon, sorted(real))
        self.kinds = numpy.array([kind for kind, _ in issued] or [""])[: len(issued)]
        self.phases = numpy.array([self.seen.phase_of(at) or "" for _, at in issued] or [""])[: len(issued)]
        self.histograms = {}
        for phase in dict.fromkeys(phase.name for phase in self.seen.phases):
            for kind in (PURGE, LIST):
                chosen = (self.kinds == kind) & (self.phases == phase)
                if chosen.any():
                    self.histograms[phase, kind] = self.histograms_of(chosen)

    def histograms_of(self, chosen):
        """For each of SHARES a histogram over events, and how many never reached all that count."""
        histograms = {share: HdrHistogram(1, LONGEST, 3) for share in SHARES}
        incomplete = 0
        for times, counts in zip(self.times[chosen], self.counts[chosen], strict=True):
            arrived = numpy.sort(times[counts])
            if not len(arrived):
                continue
            incomplete += bool(numpy.isinf(arrived[-1]))
            for share, part in SHARES.items():
                value = arrived[max(0, int(numpy.ceil(part * len(arrived))) - 1)]
                if numpy.isfinite(value):
                    histograms[share].record_value(int(min(LONGEST, max(1, value))))
        return histograms, incomplete

    def late(self, phase):
        """Arrivals later than the phase's bound, at fronts that no fault struck."""
        chosen = self.phases == phase
        over = (self.times[chosen] > self.promise.event[phase]) & self.counts[chosen]
        return int(over.sum())

    def lost(self):
        """Arrivals that never came, at whatever front."""
        return int(numpy.isinf(self.times).sum() + numpy.isinf(self.real_times[1:]).sum())

    def real_rows(self):
        """The worst time to a real front; a sample's span belongs to it."""
        if not self.real_counts.any():
            return []
        worst = self.real_times[1:][self.real_counts[1:]].max(initial=0)
        bound = max(self.promise.event.values()) + SAMPLE_INTERVAL_US
        what = "an event at all real fronts, asked once a second, worst, s"
        if numpy.isinf(worst):
            return [CheckResult(what, "never", seconds(bound), False)]
        return [at_most(what, seconds(int(worst)), seconds(bound))]

    def rows(self):
        rows = []
        for (phase, kind), (histograms, incomplete) in self.histograms.items():
            histogram = histograms["all"]
            what = f"{phase}: a {kind} event at all fronts, worst of {histogram.total_count}, s"
            worst, bound = seconds(histogram.max_value), seconds(self.promise.event[phase])
            if incomplete:
                rows.append(CheckResult(what, f"{incomplete} never", bound, False))
            else:
                rows.append(at_most(what, worst, bound))
        for phase in dict.fromkeys(phase for phase, _ in self.histograms):
            rows.append(at_most(f"{phase}: late arrivals", self.late(phase), 0))
        return [
            *rows,
            *self.real_rows(),
            at_most("lost events, all fronts", self.lost(), 0),
            CheckResult("doubled events, all fronts", sum(self.seen.doubled.values())),
            CheckResult("generations of the list seen", len(self.seen.generations)),
        ]

    def data(self):
        told = {}
        for (phase, kind), (histograms, incomplete) in self.histograms.items():
            told.setdefault(phase, {})[kind] = {"never_everywhere": incomplete} | {
                share: histogram_data(histogram) for share, histogram in histograms.items()
            }
        return told


def histogram_data(histogram):
    if not histogram.total_count:
        return None
    return {
        "events": histogram.total_count,
        "median_s": seconds(histogram.get_value_at_percentile(50)),
        "99%_s": seconds(histogram.get_value_at_percentile(99)),
        "worst_s": seconds(histogram.max_value),
    }


def delivery_table(data):
    """Times until events had reached 50%, 99% and all fronts, as lines, from `Delivery.data`."""
    statistics = ("median_s", "99%_s", "worst_s")
    lines = ["s until an event is at a share of the fronts: median, 99% and worst event"]
    for phase, kinds in data.items():
        for kind, told in kinds.items():
            lines.append(f"  {phase}, {kind} events")
            for share in SHARES:
                held = told[share]
                drawn = "".join(f"{held[name]:>12.3f}" for name in statistics) if held else "       never"
                lines.append(f"    {share:<12}{drawn}" + (f"  of {held['events']}" if held else ""))
    return lines
