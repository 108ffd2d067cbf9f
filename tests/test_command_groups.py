"""Tests of the names of command groups: former names still work and are not listed."""

import json
import threading
from contextlib import contextmanager
from socketserver import StreamRequestHandler, ThreadingUnixStreamServer

import pytest
from click.testing import CliRunner, Result

from limepath.cli import COMMANDS, FORMER_NAMES, root

PEERS_FILE = """[instance]
name = n1
store = n1.db
control = n1.sock
[peers]
listen = 127.0.0.1:7946
seeds = 127.0.0.1:7946
keys = peers.keys
[duty probe]
mode = at-least-once
interval = 5s
targets = caches
[listing]
fronts = 200
"""
MEMBERSHIP_VIEW = {
    "me": {"name": "n1", "token": 7, "life": 3, "leaving": False, "joined": True, "votes": True},
    "members": [{"name": "n2", "state": "alive", "address": "127.0.0.1:1", "life": 1, "incarnation": 0}],
    "duties": [{"name": "probe", "mode": "one-owner", "targets": 2, "owned": 1, "epoch": 4}],
    "counts": {"sent": 5},
}
DISCOVERY_VIEW = {
    "confirmed_us_ago": 1_500_000,
    "number": 12,
    "generation": 1,
    "members": 3,
    "late": False,
    "role": "relay",
    "zone": "0",
    "stream": "open",
    "followers": 2,
    "site": "west-3",
    "hops": 2,
    "children": 4,
    "reaches": 1,
    "window_cut_short": False,
    "follows": [
        {"token": 9, "heard_us_ago": None, "number": 0, "flaw": ""},
        {"token": 8, "heard_us_ago": 2_000_000, "number": 11, "flaw": "gap"},
    ],
    "counts": {"events": 12},
}


class ControlSocketHandler(StreamRequestHandler):
    """Answers both requests of the control socket with fixed views."""

    def handle(self):
        name = json.loads(self.rfile.readline())["show"]
        view = {"peers": MEMBERSHIP_VIEW, "listing": DISCOVERY_VIEW}[name]
        self.wfile.write(json.dumps(view).encode() + b"\n")


@contextmanager
def control_socket(path):
    with ThreadingUnixStreamServer(str(path), ControlSocketHandler) as server:
        thread = threading.Thread(target=server.serve_forever)
        thread.start()
        yield
        server.shutdown()
        thread.join()


@pytest.fixture
def folder(tmp_path):
    """Return a folder with a valid and an invalid peers file, a keys file and a served control socket."""
    (tmp_path / "peers.ini").write_text(PEERS_FILE)
    (tmp_path / "peers.keys").write_text("00" * 32 + "\n")
    (tmp_path / "peers.keys").chmod(0o600)
    (tmp_path / "broken.ini").write_text(PEERS_FILE.replace("fronts = 200", "fronts = many"))
    with control_socket(tmp_path / "n1.sock"):
        yield tmp_path


def run(*words) -> Result:
    return CliRunner().invoke(root, [str(word) for word in words])


CASES = [
    ("listing", ["bounds", "peers.ini", "--zones", "2"], 0),
    ("listing", ["bounds", "peers.ini", "--json"], 0),
    ("listing", ["bounds", "broken.ini"], 2),
    ("listing", ["show", "peers.ini"], 0),
    ("listing", ["show", "n1.sock", "--json"], 0),
    ("listing", ["show", "none.sock"], 1),
    ("listing", ["--help"], 0),
    ("peers", ["show", "peers.ini"], 0),
    ("peers", ["show", "n1.sock", "--json"], 0),
    ("peers", ["show", "none.sock"], 1),
    ("peers", ["show", "broken.ini"], 2),
    ("peers", ["show", "--help"], 0),
    ("opening", ["check", "peers.ini"], 0),
    ("opening", ["check", "peers.ini", "--json"], 0),
    ("opening", ["check", "broken.ini"], 2),
    ("opening", ["check"], 2),
    ("opening", ["check", "--help"], 0),
]


@pytest.mark.parametrize(("former", "words", "status"), CASES, ids=lambda case: str(case))
def test_a_former_group_name_gives_the_same_output_and_status(folder, monkeypatch, former, words, status):
    monkeypatch.chdir(folder)
    by_former_name = run(former, *words)
    by_present_name = run(FORMER_NAMES[former], *words)
    assert by_present_name.exit_code == status, by_present_name.output
    assert by_former_name.exit_code == status, by_former_name.output
    assert by_former_name.output == by_present_name.output
    assert by_present_name.output


def test_every_former_name_maps_to_a_group_and_has_a_case():
    assert set(FORMER_NAMES.values()) <= set(COMMANDS)
    assert set(FORMER_NAMES) == {former for former, _, _ in CASES}


def test_help_lists_present_names_only():
    listed = [line.split()[0] for line in run("--help").output.partition("Commands:")[2].splitlines() if line]
    assert listed == list(COMMANDS)
    assert not set(listed) & set(FORMER_NAMES)


def test_an_unknown_name_exits_with_status_2():
    assert run("tallies").exit_code == 2
