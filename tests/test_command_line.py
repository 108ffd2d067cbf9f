"""Tests of the command line: help, exit statuses, invalid settings files, and modules loaded by a start."""

import json
import subprocess
import sys

from click.testing import CliRunner

from limepath.cli import root
from tests.stand_ins import configuration, free_address
from tests.test_settings_files import PEERS_INI


def invoke(*words):
    return CliRunner().invoke(root, words)


def test_every_command_has_help_and_an_invalid_argument_exits_with_2():
    for words in (
        (),
        ("run",),
        ("duties",),
        ("duties", "drill"),
        ("duties", "simulate"),
        ("duties", "check"),
        ("duties", "bounds"),
        ("peers",),
        ("peers", "show"),
        ("opening",),
        ("opening", "check"),
    ):
        shown = invoke(*words, "--help")
        assert shown.exit_code == 0 and "Usage" in shown.output and len(shown.output) > 100, words
    for words in (
        ("dutys",),
        ("duties", "simulate", "--loss", "2"),
        ("duties", "simulate", "--interval", "5"),
        ("duties", "simulate", "--faults", "kil"),
    ):
        assert invoke(*words).exit_code == 2, words


def test_a_failed_check_exits_with_1():
    assert (
        invoke("duties", "simulate", "--targets", "5", "--instances", "3", "--faults", "none").exit_code == 0
    )
    found = invoke("duties", "check", "--broken", "--json")
    assert found.exit_code == 1 and json.loads(found.output)["trace"]


def test_settings_files_are_checked_and_an_instance_that_does_not_answer_exits_with_1(tmp_path):
    good, bad = tmp_path / "good.ini", tmp_path / "bad.ini"
    good.write_text(PEERS_INI)
    bad.write_text(PEERS_INI.replace("5s", "5 fortnights"))
    assert invoke("opening", "check", str(good)).exit_code == 0
    shown = invoke("opening", "check", str(bad))
    assert shown.exit_code == 2 and "[duty probe] interval" in shown.output
    front = tmp_path / "front.json"
    front.write_text(json.dumps(configuration(free_address())))
    assert invoke("opening", "check", str(front)).exit_code == 0
    front.write_text("{}")
    assert invoke("opening", "check", str(front)).exit_code == 2
    assert invoke("peers", "show", str(tmp_path / "none.sock")).exit_code == 1
    assert invoke("peers", "show", str(good)).exit_code == 2
    assert invoke("duties", "bounds", str(good)).exit_code == 0


def test_a_start_with_an_invalid_peers_file_exits_with_2_and_names_the_key(tmp_path):
    front, peers = tmp_path / "front.json", tmp_path / "peers.ini"
    front.write_text(json.dumps(configuration(free_address())))
    for text, message in (
        (PEERS_INI.replace("5s", "0s"), "[duty probe] interval"),
        (PEERS_INI, "peers.keys: No such file"),
    ):
        peers.write_text(text)
        done = subprocess.run(
            [sys.executable, "-m", "limepath", "run", "--config", str(front), "--peers", str(peers)],
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert done.returncode == 2 and message in done.stderr and done.stderr.count("\n") == 1, done.stderr


def test_a_front_without_sharing_does_not_load_the_modules_of_sharing():
    script = (
        "import sys, limepath.front.start; "
        "print([name for name in sys.modules if name.startswith(('limepath.membership',"
        " 'limepath.duties', 'click', 'msgspec', 'sqlite3'))])"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, timeout=60)
    assert done.stdout.strip() == "[]", done.stdout
