"""limepath run"""

import os
import sys

import click

from limepath.log import FORMS


@click.command("run", short_help="Run one front.")
@click.option(
    "--config", type=click.Path(dir_okay=False), help="The front's JSON; ROUTER_CONFIG names it otherwise."
)
@click.option(
    "--peers",
    envvar="LIMEPATH_PEERS",
    type=click.Path(dir_okay=False),
    help="A peers file (deploy/peers.ini): share duties with other fronts. Else LIMEPATH_PEERS names it.",
)
@click.option(
    "--tls",
    envvar="LIMEPATH_TLS",
    type=click.Path(dir_okay=False),
    help="A TLS file (deploy/tls.ini): verified TLS to servers. LIMEPATH_TLS names it otherwise.",
)
@click.option(
    "--log", "form", type=click.Choice(FORMS), help="Form of log lines; the peers file's otherwise."
)
def command(config, peers, tls, form):
    """Run one front until SIGTERM. SIGHUP reads the configuration and the keys again."""
    if config:
        os.environ["ROUTER_CONFIG"] = config
    from limepath.front.start import main

    sys.exit(main(peers, form, tls))
