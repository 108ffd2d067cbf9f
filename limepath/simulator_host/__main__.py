"""Run the simulator host on standard input and output."""

import sys

from limepath.simulator_host.frames import WireError
from limepath.simulator_host.host import serve

if __name__ == "__main__":
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except WireError as error:
        print(f"limepath.simulator_host: {error}", file=sys.stderr)
        sys.exit(2)
