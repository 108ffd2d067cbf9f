"""Starts one front from the configuration that `ROUTER_CONFIG` names and optional peers and TLS files."""

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
EXIT_BAD_CONFIGURATION = 2  # exit status


def main(peers: str | None = None, log_format: str | None = None, tls: str | None = None) -> int:
    """Run a front until it is shut down by a signal; return the exit status.

    Args:
        peers: path of the peers file.
        log_format: one of `limepath.log.LOG_FORMATS`; by default that of the peers file.
        tls: path of the TLS file.
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
        return EXIT_BAD_CONFIGURATION
    reactor.run(installSignalHandlers=False)
    for error in errors:
        _print_error(error)
    return EXIT_BAD_CONFIGURATION if errors else 0


def _create(peers: str | None, log_format: str | None, tls: str | None) -> FrontProcess:
    """Read the configuration files and create the front; code for optional files is imported only if used."""
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
