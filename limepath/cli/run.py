"""`limepath run`: runs one front."""

import os
import sys

import click

from limepath.log import LOG_FORMATS


@click.command("run", short_help="Run one front.")
@click.option(
    "--config",
    type=click.Path(dir_okay=False),
    help="The front's JSON file. Default: ROUTER_CONFIG.",
)
@click.option(
    "--peers",
    envvar="LIMEPATH_PEERS",
    type=click.Path(dir_okay=False),
    help="A peers file (deploy/peers.ini), to share work with other fronts. Default: LIMEPATH_PEERS.",
)
@click.option(
    "--tls",
    envvar="LIMEPATH_TLS",
    type=click.Path(dir_okay=False),
    help="A TLS file (deploy/tls.ini), for verified TLS to servers. Default: LIMEPATH_TLS.",
)
@click.option(
    "--log",
    "form",
    type=click.Choice(LOG_FORMATS),
    help="Format of log lines. Default: the value in the peers file.",
)
def command(config: str | None, peers: str | None, tls: str | None, form: str | None) -> None:
    """Run one front until SIGTERM. On SIGHUP it reads the configuration and keys again."""
    if config:
        os.environ["ROUTER_CONFIG"] = config
    from limepath.front.start import main

    sys.exit(main(peers, form, tls))
