"""All fronts of a scale run: told to start, fail and go on, and sampled. Hollow fronts go by their processes'
commands, real ones by signals and their control sockets; whatever waits for a process is done in threads.
"""

from collections import Counter
from statistics import median

from twisted.internet.defer import gatherResults, inlineCallbacks
from twisted.internet.threads import deferToThread

from limepath.scale.control import Kill, Pause, Resume, Start
from limepath.scale.control import Links as LinksCommand
from limepath.scale.processes import HollowProcess, RealFront
from limepath.scale.settings import all_seeds
from limepath.testbed.regions import LinkFaults

WAVE = 100  # fronts started at once: all at once, each would pull half-known views of all again and again
KNOWN = 0.95  # of those that run, that each of them sees before more are started
LIVING = ("alive", "suspect")  # states of a member that counts as alive


def first_failure(failure):
    """gatherResults wraps what failed; give that itself."""
    return getattr(failure.value, "subFailure", None) or failure


def together(deferreds):
    return gatherResults(deferreds, consumeErrors=True).addErrback(first_failure)


class Fleet:
    """The fronts of a Plan. What samples bring goes to `seen`, the Observations."""

    def __init__(self, plan, folder, configs, seen, proxies, pace):
        self.plan, self.seen, self.proxies, self.pace = plan, seen, proxies, pace
        self.names = [place.name for place in plan.fronts]
        self.who = {name: who for who, name in enumerate(self.names)}
        self.process_of = {who: number for number, share in enumerate(plan.hollow) for who in share}
        self.hollow, self.configs = [], configs
        self.real = {who: RealFront(folder, who) for who in plan.real}
        self.stopped, self.dropped, self.read_at, self.real_cpu = set(), Counter(), {}, {}
        self.waits = []  # real microseconds until each report of a hollow process came, in measured time

    # Commands

    def start_processes(self):
        for number, config in enumerate(self.configs):
            self.hollow.append(HollowProcess(number, config))

    def waves(self):
        """All names in groups of WAVE, the seeds first, the others of a group from all over the fleet."""
        seeds = all_seeds(len(self.names))
        rest = [who for who in range(len(self.names)) if who not in set(seeds)]
        count = -(-len(self.names) // WAVE)
        order = seeds + [who for number in range(count) for who in rest[number::count]]
        return [[self.names[who] for who in order[at : at + WAVE]] for at in range(0, len(order), WAVE)]

    def know_each_other(self, names):
        """Whether all hollow fronts of these names see nearly as many as there are names."""
        reports = [self.seen.latest.get(name) for name in names if self.who[name] not in self.real]
        return all(report is not None and (report.live or 0) >= KNOWN * len(names) for report in reports)

    @inlineCallbacks
    def act(self, command, names, real):
        """A command for the hollow fronts of these names, `real` for those that are processes."""
        shares = {}
        for name in names:
            if self.who[name] in self.real:
                real(self.real[self.who[name]])
            else:
                shares.setdefault(self.process_of[self.who[name]], []).append(name)
        yield together(
            [deferToThread(self.hollow[number].do, command(share)) for number, share in shares.items()]
        )

    def start(self, names):
        return self.act(Start, names, RealFront.start)

    def kill(self, names):
        return self.act(Kill, names, RealFront.kill)

    def pause(self, names):
        self.stopped.update(names)
        return self.act(Pause, names, RealFront.pause)

    def resume(self, names):
        self.stopped.difference_update(names)
        return self.act(Resume, names, RealFront.resume)

    def set_links(self, loss, cuts):
        """Replace the faults of all links between fronts; a Deferred."""
        self.proxies.link_faults = LinkFaults(loss, tuple(cuts))
        command = LinksCommand(loss, list(cuts))
        return together([deferToThread(process.do, command) for process in self.hollow])

    # Samples

    @inlineCallbacks
    def sample(self):
        """Ask all processes what they used and saw since the last sample."""
        asked = [deferToThread(process.report) for process in self.hollow]
        asked += [deferToThread(front.view) for front in self.real.values()]
        told = yield together(asked)
        for process, reported in zip(self.hollow, told, strict=False):
            self.take_process(process, reported)
        for who, view in zip(self.real, told[len(self.hollow) :], strict=True):
            self.take_real(who, view)

    def take_process(self, process, reported):
        seen, reply = self.seen, reported.reply
        at = self.pace.of(reported.read_us)
        if seen.phase is not None:
            self.waits.append(reported.read_us - reported.asked_us)
        span = at - self.read_at.get(process.number, at)
        self.read_at[process.number] = at
        for name, report in reply.fronts.items():
            if self.pace.stretch > 1:
                report.events = [one._replace(at_us=self.pace.of(one.at_us)) for one in report.events]
            seen.take(name, report, span, at)
            share = reply.process.rss_bytes / len(reply.fronts)
            seen.memory[name] = max(seen.memory.get(name, 0), share)
        self.dropped["loss"] += reply.process.dropped.loss
        self.dropped["cut"] += reply.process.dropped.cut

    def take_real(self, who, view):
        name, seen, at = self.names[who], self.seen, self.pace.of(view.at_us)
        self.real[who].latest = view
        if view.rss_bytes is not None:
            seen.memory[name] = max(seen.memory.get(name, 0), view.rss_bytes)
        if view.cpu_us is not None:
            self.real_cpu.setdefault(who, []).append((seen.phase, at, view.cpu_us))
        if view.listing:
            seen.arrivals[name].add(view.listing["number"], at)
            seen.look(name, view.listing["late"], view.listing["number"], at)

    # How all stand, by the last sample

    def whole(self, number):
        """(fronts that hold the list at this number and are not late, fronts that see all others)"""
        common = self.common_view()
        lists = sum(self.list_is_whole(name, number) for name in self.names)
        return lists, sum(self.view_is_whole(name, common) for name in self.names)

    def list_is_whole(self, name, number):
        if self.who[name] in self.real:
            listing = self.real[self.who[name]].told("listing")
            return bool(listing) and listing["number"] == number and not listing["late"]
        report = self.seen.latest.get(name)
        return report is not None and report.number == number and report.late is False

    def view_is_whole(self, name, common):
        if self.who[name] in self.real:
            peers = self.real[self.who[name]].told("peers")
            living = [one for one in peers["members"] if one["state"] in LIVING] if peers else ()
            return len(living) == len(self.names)  # itself among them
        report = self.seen.latest.get(name)
        return report is not None and report.live == len(self.names) and report.view == common

    def median_view(self):
        """How many fronts half of the hollow ones see, at the least."""
        views = [report.live for report in self.seen.latest.values() if report.live is not None]
        return round(median(views)) if views else 0

    def common_view(self):
        """The digest that most hollow fronts tell."""
        views = Counter(report.view for report in self.seen.latest.values() if report.view is not None)
        return views.most_common(1)[0][0] if views else None

    def serves(self):
        """Whether all real fronts have said that they are ready."""
        return all(front.is_ready() for front in self.real.values())

    def busiest_relay(self):
        """The name of the hollow front that tells events to the most others, or None."""
        alive = {
            name: one for name, one in self.seen.latest.items() if one.followers and self.seen.well(name)
        }
        return max(sorted(alive), key=lambda name: alive[name].followers, default=None)

    def close(self):
        for process in self.hollow:
            process.end()
        for front in self.real.values():
            front.end()
