"""Start one front: `ROUTER_CONFIG` names its configuration; a peers file, if one is told, what it shares."""

import gc
import os
import signal
import sys
import time

from twisted.internet import reactor
from twisted.internet.endpoints import TCP4ServerEndpoint
from twisted.internet.error import CannotListenError
from twisted.internet.task import LoopingCall
from twisted.logger import globalLogBeginner

from limepath import early_signals
from limepath.choice import Front
from limepath.configuration import platform as opening
from limepath.configuration.ini import SettingError
from limepath.front.caches import Caches
from limepath.front.changelog import BadEvent, ChangeLog
from limepath.front.clients import Clients
from limepath.front.poll_times import lateness_of
from limepath.front.turn import Turn
from limepath.log import Log

# Twisted takes its timers from the wall clock, which may be stepped; deadlines are spans of real time.
reactor.seconds = time.monotonic


def on(numbers, act):
    """Act on these signals from now on, and on those that came during the start."""
    for number in numbers:
        signal.signal(number, lambda *_: reactor.callFromThread(act))
    if not early_signals.held.isdisjoint(numbers):
        reactor.callFromThread(act)


def build(told, shared=None, form="person", secured=None):
    """Put the parts together; give a Deferred that fires once clients can connect. `shared` is a
    PeersOpening, `secured` a TlsOpening.
    """
    limits = told.limits
    log = Log(told.name, limits.log_lines, limits.log_span, form)
    globalLogBeginner.beginLoggingTo([log.observe], discardBuffer=True, redirectStandardIO=False)
    turn = Turn(reactor, Front(seed=told.seed, **told.arguments), limits, log)
    clients = Clients(reactor, turn, limits, log, told.services)
    clients.lateness = lateness_of(reactor)
    probe_word = b"INFO" if told.reports else b"NOOP"
    caches = Caches(reactor, turn, clients, limits, log, probe_word)
    turn.joined(clients, caches)
    cooperation = None
    if secured:
        from limepath.tls.host import Secured  # nothing of it is loaded where the way to servers is plain

        place = told.arguments["footprint"]
        upper = {"parents": place.parent_kind, "origin": place.origin_kind}
        kinds = {
            kind: trust
            for trust in secured.trusts
            for name in trust.members
            for kind in (
                [upper[name]]
                if name in upper
                else set(range(len(told.settings["models"]))) - set(upper.values())
            )
        }
        try:
            caches.secured = Secured(reactor, log, secured, kinds, told.seed)
        except ValueError as flaw:
            raise SettingError(f"{secured.file}: {flaw}") from None
    if shared:
        from limepath.duties.host import Cooperation  # nothing of it is loaded where nothing is shared
        from limepath.membership.host import StartError

        try:
            cooperation = Cooperation(reactor, turn, caches, log, shared, told)
        except StartError as flaw:
            raise SettingError(f"{shared.file}: {flaw}") from None
    if cooperation and shared.listing:
        from limepath.discovery.host import (
            create_change_log,  # nothing of it is loaded where each front follows the log by itself
        )

        changes = create_change_log(reactor, turn, caches, limits, log, told, cooperation, shared.listing)
        changes.confirmed = lambda: confirmed()
        clients.unready = True
    else:
        changes = ChangeLog(reactor, turn, caches, limits, log, told.settings, told.seed)
    try:
        changes.known(told.known)
    except BadEvent as flaw:
        raise opening.ConfigurationError(f"known.results: {flaw}") from None
    turn.run()
    clients.gone.addCallback(lambda _: reactor.stop())

    def sweep():
        """Judge what is idle or silent by what has been read; what came while this process stood still, or
        was late, is read first, in the pass that the caller leaves to it.
        """
        if caches.secured:
            caches.secured.announce()
        for part in filter(None, (clients, caches, changes, cooperation)):
            try:
                part.sweep()
            except Exception as flaw:  # whatever it is, the others' turn comes, and this one's again
                log.fault("sweep", flaw)

    def reload():
        try:
            (host, port), differing = opening.read_again(os.environ, told)
        except opening.ConfigurationError as flaw:
            log.say("reload", f"{flaw}; the running values stay")
            return
        for key in differing:
            log.say("reload", "differs; it changes at a restart only", key=key)
        log.say("reload", "follows the change log", address=f"{host}:{port}", after=changes.last)
        changes.follow(host, port)
        if cooperation:
            cooperation.reload()
        if caches.secured:
            caches.secured.reload()

    def leave():
        if cooperation:
            cooperation.leave()
        clients.leave()

    def ready(_):
        LoopingCall(reactor.callLater, 0, sweep).start(limits.sweep / 1e6, now=False)
        on((signal.SIGTERM, signal.SIGINT), leave)
        on((signal.SIGHUP,), reload)
        if cooperation:
            cooperation.start()
        changes.follow(*told.changelog)
        gc.freeze()
        if clients.unready:
            log.say("waits-for-list", listening=f"{told.listen[0]}:{told.listen[1]}")
        else:
            confirmed()

    def confirmed():
        clients.unready = False
        log.say("ready", members=len(changes.entries), listening=f"{told.listen[0]}:{told.listen[1]}")

    host, port = told.listen
    return clients.listen(TCP4ServerEndpoint(reactor, port, limits.backlog, host)).addCallback(ready)


def main(peers=None, form=None, tls=None):
    """Run until told to leave; give the exit status. `peers` and `tls` name files, `form` the log's form."""
    flawed = []

    def fail(failure):
        failure.trap(CannotListenError)
        flawed.append(f"listen: {failure.value.socketError}")
        reactor.callWhenRunning(reactor.stop)

    early_signals.hold()
    try:
        shared = secured = None
        if tls:
            from limepath.configuration import tls_file

            secured = tls_file.read(tls)
        if peers:
            from limepath.configuration import peers_file

            shared = peers_file.read(peers)
        build(
            opening.read(os.environ), shared, form or (shared.form if shared else "person"), secured
        ).addErrback(fail)
    except (opening.ConfigurationError, SettingError) as flaw:
        print(f"limepath: configuration: {flaw}", file=sys.stderr)
        return 2
    reactor.run(installSignalHandlers=False)
    for flaw in flawed:
        print(f"limepath: configuration: {flaw}", file=sys.stderr)
    return 2 if flawed else 0
