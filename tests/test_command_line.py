"""The command line: help, exit statuses, settings files that cannot be used, and what a plain start loads."""

import json
import subprocess
import sys

from click.testing import CliRunner

from limepath.cli import root
from tests.stand_ins import configuration, free_address
from tests.test_settings_files import PEERS_INI


def invoke(*words):
    return CliRunner().invoke(root, words)


def test_every_command_has_help_and_a_wrong_word_exits_with_2():
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


def test_a_failed_check_is_the_exit_status():
    assert (
        invoke("duties", "simulate", "--targets", "5", "--instances", "3", "--faults", "none").exit_code == 0
    )
    found = invoke("duties", "check", "--broken", "--json")
    assert found.exit_code == 1 and json.loads(found.output)["trace"]


def test_files_are_checked_and_a_silent_instance_is_invoke(tmp_path):
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


def test_a_wrong_peers_file_ends_the_start_with_2_and_names_the_key(tmp_path):
    front, shared = tmp_path / "front.json", tmp_path / "peers.ini"
    front.write_text(json.dumps(configuration(free_address())))
    for text, says in (
        (PEERS_INI.replace("5s", "0s"), "[duty probe] interval"),
        (PEERS_INI, "peers.keys: No such file"),
    ):
        shared.write_text(text)
        done = subprocess.run(
            [sys.executable, "-m", "limepath", "run", "--config", str(front), "--peers", str(shared)],
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert done.returncode == 2 and says in done.stderr and done.stderr.count("\n") == 1, done.stderr


def test_a_front_that_shares_nothing_loads_nothing_of_it():
    script = (
        "import sys, limepath.front.start; "
        "print([name for name in sys.modules if name.startswith(('limepath.membership',"
        " 'limepath.duties', 'click', 'msgspec', 'sqlite3'))])"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, timeout=60)
    assert done.stdout.strip() == "[]", done.stdout
