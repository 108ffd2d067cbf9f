"""Start one front: `ROUTER_CONFIG` names its configuration."""

import gc
import os
import signal
import sys

from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.error import CannotListenError
from twisted.internet.task import LoopingCall
from twisted.logger import globalLogBeginner

from limepath.choice import Front
from limepath.front import opening
from limepath.front.caches import Caches
from limepath.front.changelog import BadEvent, ChangeLog
from limepath.front.clients import Clients
from limepath.front.log import Log
from limepath.front.turn import Turn


def on(numbers, act):
    for number in numbers:
        signal.signal(number, lambda *_: reactor.callFromThread(act))


def build(told):
    """Put the parts together; give the log, the clients and a Deferred that fires once these can connect."""
    limits = told.limits
    log = Log(told.name, limits.log_lines, limits.log_span)
    globalLogBeginner.beginLoggingTo([log.observe], discardBuffer=True, redirectStandardIO=False)
    turn = Turn(reactor, Front(seed=told.seed, **told.arguments), limits, log)
    clients = Clients(reactor, turn, limits, log, told.services)
    probe_word = b"INFO" if told.reports else b"NOOP"
    caches = clients.caches = Caches(reactor, turn, clients, limits, log, probe_word)
    turn.joined(clients, caches)
    changes = ChangeLog(reactor, turn, caches, limits, log, told.settings, told.seed)
    try:
        changes.known(told.known)
    except BadEvent as flaw:
        raise opening.BadConfiguration(f"known.results: {flaw}") from None
    turn.run()
    clients.gone.addCallback(lambda _: reactor.stop())

    def sweep():
        for part in (clients, caches, changes):
            try:
                part.sweep()
            except Exception as flaw:  # whatever it is, the others' turn comes, and this one's again
                log.fault("sweep", flaw)

    def reload():
        try:
            (host, port), differing = opening.read_again(os.environ, told)
        except opening.BadConfiguration as flaw:
            log.say("reload", f"{flaw}; the running values stay")
            return
        for key in differing:
            log.say("reload", f"{key} differs; it changes at a restart only")
        log.say("reload", f"follows the change log at {host}:{port} from event {changes.last}")
        changes.follow(host, port)

    def ready(_):
        changes.follow(*told.changelog)
        LoopingCall(sweep).start(limits.sweep / 1e6, now=False)
        on((signal.SIGTERM, signal.SIGINT), clients.leave)
        on((signal.SIGHUP,), reload)
        gc.freeze()
        log.say("ready", f"{len(changes.entries)} members, listening on {told.listen[0]}:{told.listen[1]}")

    host, port = told.listen
    return clients.listen(TCP4ServerEndpoint(reactor, port, limits.backlog, host)).addCallback(ready)


def main():
    flawed = []

    def fail(failure):
        failure.trap(CannotListenError)
        flawed.append(f"listen: {failure.value.socketError}")
        reactor.callWhenRunning(reactor.stop)

    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # until the front is ready: what it reads is new anyway
    try:
        build(opening.read(os.environ)).addErrback(fail)
    except opening.BadConfiguration as flaw:
        print(f"limepath: configuration: {flaw}", file=sys.stderr)
        return 2
    reactor.run(installSignalHandlers=False)
    for flaw in flawed:
        print(f"limepath: configuration: {flaw}", file=sys.stderr)
    return 2 if flawed else 0


if __name__ == "__main__":
    sys.exit(main())
