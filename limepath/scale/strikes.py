"""The faults of a scale run carried out on its fleet, and counted where they take effect."""

from collections import Counter

from twisted.internet.defer import inlineCallbacks

from limepath.scale.faults import Kind

RELAYS = (Kind.RELAY_STOPPED, Kind.RELAY_KILLED)


class Strikes:
    """Begins and ends the faults of a Schedule. `number()` tells how many events there are by now; `said`
    takes a line of each fault.
    """

    def __init__(self, plan, schedule, fleet, service, number, said):
        self.plan, self.schedule, self.fleet, self.service = plan, schedule, fleet, service
        self.seen, self.number, self.said = fleet.seen, number, said
        self.struck, self.counts = {}, Counter()

    def steps(self):
        """(time, function, index of the fault), in order of time."""
        steps = []
        for index, fault in enumerate(self.schedule.faults):
            steps += [(fault.at, self.begin, index), (fault.until, self.end, index)]
        return sorted(steps, key=lambda step: step[0])

    @inlineCallbacks
    def begin(self, index):
        fault = self.schedule.faults[index]
        names = [name for name in self.names_of(fault) if self.seen.well(name)]
        if fault.kind == Kind.CHURN and not names:
            names = self.next_well(fault.names[0])
        self.struck[index] = names
        if fault.kind == Kind.LOSS:
            yield self.fleet.set_links(fault.share, ())
        else:
            self.seen.struck(fault.kind, names, self.fleet.pace.now())
        if fault.kind == Kind.CUT:
            self.service.cut_off_fronts(self.fleet.who[name] for name in names)
            yield self.fleet.set_links(0.0, (fault.regions,))
        elif fault.kind == Kind.RELAY_STOPPED:
            yield self.fleet.pause(names)
        elif fault.kind != Kind.LOSS:
            yield self.fleet.kill(names)
        self.counts[fault.kind] += len(names)
        self.said.append(f"{fault.at / 1e6:7.1f} s  {described(fault, names)}")

    def next_well(self, name):
        """The next front by index that no fault strikes, as a list of one or none."""
        names, at = self.fleet.names, self.fleet.who[name]
        return [other for other in (*names[at:], *names[:at]) if self.seen.well(other)][:1]

    def names_of(self, fault):
        if fault.kind in RELAYS:
            busiest = self.fleet.busiest_relay()
            return (busiest,) if busiest else ()
        if fault.kind == Kind.CUT:  # those that are cut off from the list service
            return [place.name for place in self.plan.fronts if place.region == fault.regions[1]]
        return fault.names

    @inlineCallbacks
    def end(self, index):
        fault, names = self.schedule.faults[index], self.struck[index]
        if fault.kind in (Kind.LOSS, Kind.CUT):
            yield self.fleet.set_links(0.0, ())
        if fault.kind == Kind.CUT:
            self.service.rejoin()
        elif fault.kind == Kind.RELAY_STOPPED:
            yield self.fleet.resume(names)
        elif fault.kind != Kind.LOSS:
            yield self.fleet.start(names)
        self.seen.ended(names, self.fleet.pace.now(), self.number())

    def effects(self):
        """{kind: times that it took effect}: fronts killed or stopped, pieces lost or cut."""
        fleet, told = self.fleet, {}
        lost = fleet.dropped["loss"] + fleet.proxies.lost
        cut = fleet.dropped["cut"] + fleet.proxies.cut + self.service.held
        for fault in self.schedule.faults:
            dropped = {Kind.LOSS: lost, Kind.CUT: cut}
            told[fault.kind] = dropped.get(fault.kind, self.counts[fault.kind])
        return told


def described(fault, names):
    lasted = f"for {(fault.until - fault.at) / 1e6:.1f} s"
    if fault.kind == Kind.LOSS:
        return f"{fault.kind}: {fault.share:.0%} of all datagrams, {lasted}"
    if fault.kind == Kind.CUT:
        return f"{fault.kind}: {' from '.join(fault.regions)}, {len(names)} fronts behind it, {lasted}"
    named = ", ".join(names[:4]) + (", ..." if len(names) > 4 else "")
    return f"{fault.kind}: {len(names)} fronts ({named or 'nobody'}), {lasted}"
