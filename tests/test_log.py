"""Tests that a log on standard error which nobody reads does not block the front."""

import fcntl
import json
import os
import subprocess
import sys

from limepath.log import StandardErrorLogger
from tests.stand_ins import HttpClient, configuration, free_address, wait_for

SHORTEST_LINE = 60  # bytes; no line of the log is shorter
SMALLEST_PIPE = 4096  # bytes; the minimum capacity of a pipe


def accepts_connections(address):
    try:
        HttpClient(address).close()
    except ConnectionRefusedError:
        return False
    return True


def test_a_front_whose_log_nobody_reads_goes_on_answering(tmp_path):
    """The pipe is full from the start, so that a blocking write would stop the front."""
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
        wait_for(lambda: accepts_connections(document["listen"]))
        for _ in range(5):  # each logs a line
            client = HttpClient(document["listen"]).send_raw("GET /nowhere HTTP/1.1\r\n\r\n")
            client.socket.settimeout(10)
            assert client.answer()[0] == 404
    finally:
        process.kill()
        process.wait()
        os.close(read_end)
        os.close(write_end)


def test_a_long_line_of_other_characters_fits_an_empty_pipe(monkeypatch):
    """Guards against a write that blocks because the line was cut by characters; a pipe counts bytes."""
    for encoding in ("utf-8", "ascii"):
        read_end, write_end = os.pipe()
        fcntl.fcntl(write_end, fcntl.F_SETPIPE_SZ, SMALLEST_PIPE)
        os.set_blocking(write_end, False)
        stream = os.fdopen(write_end, "w", encoding=encoding, errors="backslashreplace")
        monkeypatch.setattr(sys, "stderr", stream)
        StandardErrorLogger().msg("año " * 2000)
        line = os.read(read_end, 2 * SMALLEST_PIPE).decode(encoding)
        assert line.startswith("a")
        assert line.endswith("\n")
        stream.close()
        os.close(read_end)
