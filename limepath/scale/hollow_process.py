"""A process of hollow fronts: `python -m limepath.scale.hollow_process CONFIG.json` (control.ProcessConfig).

It reads one command a line on standard input and answers each with one line on standard output
(`control`), until it is told to end or its input ends. A configuration that cannot be used is told in one
line on standard error; the status is 2 then.
"""

import gc
import os
import sys
import time
from collections import Counter
from queue import SimpleQueue
from threading import Thread

import psutil
from twisted.internet import reactor
from twisted.logger import globalLogBeginner

from limepath.configuration.addresses import parse_host_port
from limepath.configuration.ini import SettingError
from limepath.configuration.platform import ConfigurationError
from limepath.discovery.endpoint_list import EndpointList
from limepath.scale import control
from limepath.scale.accounting import Meter
from limepath.scale.hollow import HollowFront, NotDone, settings_of
from limepath.scale.links import Links
from limepath.scale.quiet_log import CountingLog, LogFile
from limepath.testbed.process import raise_descriptor_limit

READ = 65_536  # bytes of input at a time
LAST_WORDS = 5  # seconds that the last replies may take
NEVER = 1 << 30  # collections of the middle generation before a full one
COLLECTING = (700, 10, NEVER)


class BadConfig(Exception):
    """A configuration that cannot be used; the text names the file and the flaw."""


def loaded(path, decode):
    try:
        with open(path, "rb") as file:
            return decode(file.read())
    except OSError as flaw:
        raise BadConfig(f"{path}: {flaw.strerror}") from None
    except control.BadLine as flaw:
        raise BadConfig(f"{path}: {flaw}") from None


def read_config(path):
    """(ProcessConfig, region by datagram address), all checked: BadConfig."""
    config = loaded(path, control.decode_config)
    if not config.fronts:
        raise BadConfig(f"{path}: fronts: there is none")
    for name, times in Counter(front.name for front in config.fronts).items():
        if times > 1:
            raise BadConfig(f"{path}: fronts: {name!r} is there {times} times")
    region_of = {}
    for address, place in loaded(config.directory, control.decode_directory).items():
        try:
            region_of[parse_host_port(address)] = place.region
        except ValueError:
            raise BadConfig(f"{config.directory}: {address!r} is no address with a port") from None
    for front in config.fronts:
        try:
            settings_of(front)
        except (SettingError, ConfigurationError) as flaw:
            raise BadConfig(f"{front.name}: {flaw}") from None
    return config, region_of


def share_members():
    """Keep one copy of a list's member that is the same at many fronts of this process.

    Members are never changed once they are in a list, so that only memory is saved: each front still reads,
    checks and digests every member itself.
    """
    known, put = {}, EndpointList.put

    def put_shared(self, member):
        same = known.get(member["id"])
        if same == member:
            member = same
        else:
            known[member["id"]] = member
        put(self, member)

    EndpointList.put = put_shared


class Fleet:
    """The fronts of this process, by name, and what the commands do."""

    def __init__(self, config, region_of):
        self.meter, self.links = Meter(), Links(region_of, config.seed)
        self.process, self.cpu_ns = psutil.Process(), time.process_time_ns()
        file = LogFile(config.log)
        self.log = CountingLog("process", file)
        self.fronts = {
            front.name: HollowFront(reactor, self.meter, self.links, front, CountingLog(front.name, file))
            for front in config.fronts
        }
        self.desks = {
            control.Start: lambda command: self.each(command.names, HollowFront.start),
            control.Kill: lambda command: self.each(command.names, HollowFront.kill),
            control.Pause: lambda command: self.each(command.names, HollowFront.pause),
            control.Resume: lambda command: self.each(command.names, HollowFront.resume),
            control.Reload: lambda command: self.each(command.names, HollowFront.reload),
            control.Links: lambda command: self.links.set(command.loss, command.cuts),
            control.Report: lambda command: self.report(),
            control.End: lambda command: None,
        }

    def carry_out(self, command):
        """Give the Reply."""
        try:
            return self.desks[type(command)](command) or control.Reply(True)
        except NotDone as flaw:
            return control.Reply(False, str(flaw))

    def each(self, names, act):
        """Do this with each of the fronts; an unknown name stops all, a flaw of one front only that one."""
        unknown = [name for name in names if name not in self.fronts]
        if unknown:
            raise NotDone(f"no front {unknown[0]!r}")
        flaws = []
        for name in names:
            try:
                act(self.fronts[name])
            except NotDone as flaw:
                flaws.append(str(flaw))
        if flaws:
            raise NotDone("; ".join(flaws))

    def report(self):
        fronts = {name: front.report() for name, front in self.fronts.items()}
        before, self.cpu_ns = self.cpu_ns, time.process_time_ns()
        process = control.ProcessReport(
            (self.cpu_ns - before) // 1000, self.process.memory_info().rss, self.links.take()
        )
        return control.Reply(True, fronts=fronts, process=process)


class Replies:
    """Writes replies in a thread of its own: a long one is not spread over passes of a busy reactor."""

    def __init__(self, descriptor):
        self.descriptor, self.lines = descriptor, SimpleQueue()
        self.thread = Thread(target=self.write, daemon=True)
        self.thread.start()

    def put(self, reply):
        self.lines.put(control.encode(reply))

    def write(self):
        try:
            while line := self.lines.get():
                while line:
                    line = line[os.write(self.descriptor, line) :]
        except OSError:  # the controller has gone
            reactor.callFromThread(stop)

    def close(self):
        self.lines.put(None)
        self.thread.join(LAST_WORDS)


def stop():
    if reactor.running:
        reactor.stop()


def carry_out(fleet, replies, line):
    """One line of input."""
    try:
        command = control.decode_command(line)
    except control.BadLine as flaw:
        return replies.put(control.Reply(False, str(flaw)))
    replies.put(fleet.carry_out(command))
    if isinstance(command, control.End):
        stop()


def read_commands(descriptor, fleet, replies):
    """Runs in a thread of its own until the input ends."""
    rest = b""
    while data := os.read(descriptor, READ):
        *lines, rest = (rest + data).split(b"\n")
        for line in lines:
            reactor.callFromThread(carry_out, fleet, replies, line)
    reactor.callFromThread(stop)


def main(words):
    """Run until told to end; give the exit status. `words` are the command line's."""
    if len(words) != 1:
        print("usage: python -m limepath.scale.hollow_process CONFIG.json", file=sys.stderr)
        return 2
    try:
        config, region_of = read_config(words[0])
        raise_descriptor_limit()
        fleet = Fleet(config, region_of)
    except (BadConfig, OSError) as flaw:
        print(f"limepath: configuration: {flaw}", file=sys.stderr)
        return 2
    globalLogBeginner.beginLoggingTo([fleet.log.observe], discardBuffer=True, redirectStandardIO=False)
    share_members()
    # A full collection would stop all fronts while it walks the state of all: a pause that a front in its own
    # process never has. So what the imports made is set aside, and full collections are left out.
    gc.set_threshold(*COLLECTING)
    gc.freeze()
    replies = Replies(sys.stdout.fileno())
    Thread(target=read_commands, args=(sys.stdin.fileno(), fleet, replies), daemon=True).start()
    reactor.run(installSignalHandlers=False)
    replies.close()
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
