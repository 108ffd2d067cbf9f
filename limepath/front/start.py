"""Start one front: `ROUTER_CONFIG` names its configuration; other files name what it shares, and its TLS."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING

from twisted.internet import reactor
from twisted.internet.error import CannotListenError

from limepath import early_signals
from limepath.configuration import platform
from limepath.configuration.ini import SettingError
from limepath.front.front_process import FrontProcess

if TYPE_CHECKING:
    from twisted.python.failure import Failure

DEFAULT_LOG_FORMAT = "person"
BAD_CONFIGURATION = 2  # exit status


def main(peers: str | None = None, log_format: str | None = None, tls: str | None = None) -> int:
    """Run until told to end; give the exit status.

    `peers` and `tls` name files, `log_format` is one of `limepath.log.FORMS`; the peers file's by default.
    """
    errors = []

    def listen_failed(failure: Failure) -> None:
        failure.trap(CannotListenError)
        errors.append(f"listen: {failure.value.socketError}")
        reactor.callWhenRunning(reactor.stop)

    early_signals.defer_signals()
    try:
        _create(peers, log_format, tls).listen().addErrback(listen_failed)
    except (platform.ConfigurationError, SettingError) as error:
        _print_error(error)
        return BAD_CONFIGURATION
    reactor.run(installSignalHandlers=False)
    for error in errors:
        _print_error(error)
    return BAD_CONFIGURATION if errors else 0


def _create(peers: str | None, log_format: str | None, tls: str | None) -> FrontProcess:
    """Read the files and put the front together; what is not named is not loaded."""
    tls_settings = shared = None
    if tls:
        from limepath.configuration import tls_file

        tls_settings = tls_file.read(tls)
    if peers:
        from limepath.configuration import peers_file

        shared = peers_file.read(peers)
    settings = platform.read(os.environ)
    shared_format = shared.form if shared else DEFAULT_LOG_FORMAT
    return FrontProcess(settings, shared, log_format or shared_format, tls_settings)


def _print_error(error: object) -> None:
    print(f"limepath: configuration: {error}", file=sys.stderr)
