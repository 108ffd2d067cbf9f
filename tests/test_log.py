"""The log is whatever the front writes to standard error; one that nobody reads must not stop the front."""

import fcntl
import json
import os
import subprocess
import sys

from tests.stand_ins import Viewer, configuration, free_address, until

SHORTEST_LINE = 60  # bytes of a log line
SMALLEST_PIPE = 4096  # bytes that a pipe holds at the least


def accepts_connections(address):
    try:
        Viewer(address).close()
    except ConnectionRefusedError:
        return False
    return True


def test_a_front_whose_log_nobody_reads_goes_on_answering(tmp_path):
    """The pipe of its log is full from the start."""
    document = configuration(free_address())
    path = tmp_path / "front.json"
    path.write_text(json.dumps(document))
    read_end, write_end = os.pipe()
    fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, SMALLEST_PIPE)
    os.write(write_end, b"x" * (SMALLEST_PIPE - SHORTEST_LINE))
    process = subprocess.Popen(
        [sys.executable, "-m", "limepath"], stderr=write_end, env=os.environ | {"ROUTER_CONFIG": str(path)}
    )
    try:
        until(lambda: accepts_connections(document["listen"]))
        for _ in range(5):  # each adds a line
            client = Viewer(document["listen"]).raw("GET /nowhere HTTP/1.1\r\n\r\n")
            client.socket.settimeout(10)
            assert client.answer()[0] == 404
    finally:
        process.kill()
        process.wait()
        os.close(read_end)
        os.close(write_end)
