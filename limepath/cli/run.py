"""`limepath run`: one real front."""

import os
import sys

import click

from limepath.log import LOG_FORMATS


@click.command("run", short_help="Run one front.")
@click.option(
    "--config",
    type=click.Path(dir_okay=False),
    help="The front's JSON; by default the file that ROUTER_CONFIG names.",
)
@click.option(
    "--peers",
    envvar="LIMEPATH_PEERS",
    type=click.Path(dir_okay=False),
    help="A peers file (deploy/peers.ini): share work with other fronts. Default: LIMEPATH_PEERS.",
)
@click.option(
    "--tls",
    envvar="LIMEPATH_TLS",
    type=click.Path(dir_okay=False),
    help="A TLS file (deploy/tls.ini): verified TLS to servers. Default: LIMEPATH_TLS.",
)
@click.option(
    "--log",
    "form",
    type=click.Choice(LOG_FORMATS),
    help="Form of log lines; by default as the peers file says.",
)
def command(config: str | None, peers: str | None, tls: str | None, form: str | None) -> None:
    """Run one front until SIGTERM. SIGHUP reads the configuration and keys again."""
    if config:
        os.environ["ROUTER_CONFIG"] = config
    from limepath.front.start import main

    sys.exit(main(peers, form, tls))
