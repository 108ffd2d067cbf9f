"""Stories of settings, the store, the control socket and the command line."""

import json
import os
import sqlite3
import subprocess
import sys

import pytest
from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st
from twisted.internet.testing import StringTransport

from limepath.cli import root
from limepath.configuration import ini, peers_file
from limepath.configuration.ini import SettingError
from limepath.membership.control import ControlConnection
from limepath.membership.guard import KeyFileError, parse_keys
from limepath.membership.host import StartError, read_keys
from limepath.membership.identity import epoch_ceiling_row, next_identity
from limepath.store import DAMAGED, GOOD, NEW, Store, StoreLockedError, StoreUnusableError
from tests.stand_ins import configuration, free_address

WHOLE = """[instance]
name = n1
store = state/n1.db
[peers]
listen = 127.0.0.1:7946
keys = peers.keys
[leases]
voters = n1, n2, n3
[duty probe]
interval = 5s
"""


def read(tmp_path, text=WHOLE):
    file = tmp_path / "peers.ini"
    file.write_text(text)
    return peers_file.read(str(file))


def flaw(tmp_path, old, new):
    with pytest.raises(SettingError) as raised:
        read(tmp_path, WHOLE.replace(old, new))
    return str(raised.value).replace(str(tmp_path), "")


def test_a_whole_file_is_read_with_defaults_and_paths_beside_it(tmp_path):
    told = read(tmp_path)
    assert (
        told.store == str(tmp_path / "state/n1.db")
        and told.control == ""
        and told.advertise == ("127.0.0.1", 7946)
    )
    assert told.spans.period == 1_000_000 and told.leasing.voters == ("n1", "n2", "n3")
    assert [(plan.name, plan.interval) for plan in told.plans] == [("probe", 5_000_000)]
    assert peers_file.read("deploy/peers.ini").kinds == {"probe": ("caches", "parents", "origin")}


@pytest.mark.parametrize(
    "old, new, told",
    (
        (
            "interval = 5s",
            "intervall = 5s",
            "/peers.ini: [duty probe] intervall: no such key; did you mean 'interval'?",
        ),
        ("interval = 5s", "interval = 5", "[duty probe] interval: '5': a duration with its unit"),
        ("interval = 5s", "interval = 5ms", "[duty probe] interval: '5ms': at least 100ms is wanted"),
        ("interval = 5s", "mode = one-ownr", "did you mean 'one-owner'?"),
        ("interval = 5s", "targets = caches, cachs", "[duty probe] targets: 'caches, cachs': one of"),
        ("[leases]", "[leasez]", "/peers.ini: [leasez]: no such section; did you mean 'leases'?"),
        ("voters = n1, n2, n3", "voters = n1, n1", "[leases] voters: 'n1, n1': the same stands twice"),
        ("voters = n1, n2, n3\n", "[duty b]\nmode = one-owner\n", "[leases] voters: missing; [duty b]"),
        ("voters = n1, n2, n3", "drift = 30%", "[leases] drift: '30%': at most 0.2 is wanted"),
        (
            "listen = 127.0.0.1:7946",
            "listen = localhost:1",
            "[peers] listen: 'localhost:1': an address with a port",
        ),
        ("listen = 127.0.0.1:7946", "", "[peers] listen: missing"),
        ("keys =", "direct = 600ms\nkeys =", "[peers] direct: twice this must be below period"),
        ("keys = peers.keys", "keys = a\nkeys = b", "[peers] keys: stands twice"),
        ("name = n1", "name = n 1", "[instance] name: 'n 1': a name of up to 32"),
        ("[instance]\n", "name\n[instance]\n", "line 1: stands before the first [section]"),
        ("[duty probe]\ninterval = 5s\n", "", "[duty NAME]: missing"),
        ("[duty probe]", "[duty probe]\ninterval = 1s\n[duty probe]", "[duty probe]: stands twice"),
    ),
)
def test_each_flaw_is_told_with_file_section_and_key(tmp_path, old, new, told):
    assert told in flaw(tmp_path, old, new)


def test_a_file_that_is_not_there_or_no_text_is_told(tmp_path):
    with pytest.raises(SettingError, match="No such file"):
        peers_file.read(str(tmp_path / "none.ini"))
    (tmp_path / "b.ini").write_bytes(b"\xff\xfe")
    with pytest.raises(SettingError, match="no UTF-8"):
        peers_file.read(str(tmp_path / "b.ini"))


@given(st.text(max_size=300))
def test_whatever_the_text_it_is_read_or_told(text):
    try:
        ini.check(text, "x", peers_file.FORM)
    except SettingError as flaw:
        assert str(flaw).startswith("x: ")


def test_the_keys_file_is_for_its_owner_alone(tmp_path):
    file = tmp_path / "keys"
    file.write_text("ab" * 32)
    file.chmod(0o644)
    with pytest.raises(StartError, match="open to others"):
        read_keys(str(file))
    file.chmod(0o600)
    assert len(read_keys(str(file))[0]) == 1
    for text, told in (("", "no key"), ("ab" * 8, "16 to 64"), ("ab" * 16 + "\n" + "ab" * 16, "line 2")):
        with pytest.raises(KeyFileError, match=told):
            parse_keys(text)


# The store


def test_what_was_put_is_there_after_a_restart_and_one_process_holds_it(tmp_path):
    path = str(tmp_path / "sub" / "s.db")
    store = Store(path)
    assert store.found == NEW
    store.put({"token": b"5", "life": b"1"})
    with pytest.raises(StoreLockedError):
        Store(path)
    store.close()
    again = Store(path)
    assert again.found == GOOD and again.all() == {"token": b"5", "life": b"1"}
    again.close()


@pytest.mark.parametrize("harm", ("cut", "noise", "row", "no database", "empty row"))
def test_a_damaged_store_is_told_put_aside_and_never_read(tmp_path, harm):
    path = tmp_path / "s.db"
    store = Store(str(path))
    store.put({"token": b"5", "life": b"9", "ceiling": b"7000"})
    store.close()
    whole = path.read_bytes()
    if harm == "cut":
        path.write_bytes(whole[: len(whole) // 2 + 7])
    elif harm == "noise":
        path.write_bytes(whole[: len(whole) - 4000] + b"\x55" * 4000)
    elif harm == "no database":
        path.write_bytes(b"hello" * 500)
    else:
        base = sqlite3.connect(path)
        base.execute(
            "UPDATE state SET value = ? WHERE name = 'life'", (b"" if harm == "empty row" else b"8",)
        )
        base.commit()
        base.close()
    found = Store(str(path))
    assert found.found == DAMAGED and found.all() == {} and os.path.exists(found.aside)
    identity, _ = next_identity(found.all(), lambda: 77)
    assert identity.token == 77 and not identity.sure
    found.put(epoch_ceiling_row(3))
    found.close()
    assert Store(str(path)).found == GOOD


def test_a_store_that_cannot_be_made_is_told(tmp_path):
    with pytest.raises(StoreUnusableError):
        Store(str(tmp_path))
    with pytest.raises(OSError):
        Store("/proc/none/s.db")


def test_a_write_killed_half_way_leaves_all_of_it_or_nothing(tmp_path):
    path = str(tmp_path / "s.db")
    script = (
        "import sys; from limepath.store import Store; store = Store(sys.argv[1])\n"
        "for number in range(10**9):\n"
        "    store.put({name: b'%d' % number for name in ('a', 'b', 'c')})\n"
        "    print(number, flush=True)\n"
    )
    for least in (3, 11):
        process = subprocess.Popen(
            [sys.executable, "-c", script, path],
            stdout=subprocess.PIPE,
            text=True,
            env=os.environ | {"PYTHONPATH": os.getcwd()},
        )
        while (told := int(process.stdout.readline())) < least:
            pass
        process.kill()
        process.wait()
        process.stdout.close()
        store = Store(path)
        rows = store.all()
        assert store.found == GOOD and len(set(rows.values())) == 1 and int(rows["a"]) >= told
        store.close()


# The control socket and the command line


def caller(shown):
    one = ControlConnection()
    one.factory = type("Factory", (), {"connections": 0, "views": shown})()
    one.setTimeout = lambda span: None
    transport = StringTransport()
    one.makeConnection(transport)
    return one, transport


@given(st.binary(max_size=200))
def test_noise_at_the_control_socket_is_answered_with_an_error_and_it_lives_on(noise):
    one, transport = caller({"peers": lambda: {"me": 1}})
    one.dataReceived(noise.replace(b"\n", b" ") + b"\n")
    assert "error" in json.loads(transport.value())
    transport.clear()
    one.dataReceived(b'{"show": "peers"}\n')
    assert json.loads(transport.value()) == {"me": 1}


def test_an_endless_line_ends_the_caller():
    one, transport = caller({})
    one.dataReceived(b"x" * 10_000)
    assert transport.disconnecting and b"error" in transport.value()


def told(*words):
    return CliRunner().invoke(root, words)


def test_every_command_has_help_and_a_wrong_word_ends_with_2():
    for words in (
        (),
        ("run",),
        ("duties",),
        ("duties", "drill"),
        ("duties", "simulate"),
        ("duties", "check"),
        ("duties", "bounds"),
        ("membership",),
        ("membership", "show"),
        ("settings",),
        ("settings", "check"),
    ):
        shown = told(*words, "--help")
        assert shown.exit_code == 0 and "Usage" in shown.output and len(shown.output) > 100, words
    for words in (
        ("dutys",),
        ("duties", "simulate", "--loss", "2"),
        ("duties", "simulate", "--interval", "5"),
        ("duties", "simulate", "--faults", "kil"),
    ):
        assert told(*words).exit_code == 2, words


def test_the_verdict_is_the_exit_status():
    assert told("duties", "simulate", "--targets", "5", "--instances", "3", "--faults", "none").exit_code == 0
    found = told("duties", "check", "--broken", "--json")
    assert found.exit_code == 1 and json.loads(found.output)["trace"]


def test_files_are_checked_and_a_silent_instance_is_told(tmp_path):
    good, bad = tmp_path / "good.ini", tmp_path / "bad.ini"
    good.write_text(WHOLE)
    bad.write_text(WHOLE.replace("5s", "5 fortnights"))
    assert told("settings", "check", str(good)).exit_code == 0
    shown = told("settings", "check", str(bad))
    assert shown.exit_code == 2 and "[duty probe] interval" in shown.output
    front = tmp_path / "front.json"
    front.write_text(json.dumps(configuration(free_address())))
    assert told("settings", "check", str(front)).exit_code == 0
    front.write_text("{}")
    assert told("settings", "check", str(front)).exit_code == 2
    assert told("membership", "show", str(tmp_path / "none.sock")).exit_code == 1
    assert told("membership", "show", str(good)).exit_code == 2
    assert told("duties", "bounds", str(good)).exit_code == 0


def test_a_wrong_peers_file_ends_the_start_with_2_and_the_key(tmp_path):
    front, shared = tmp_path / "front.json", tmp_path / "peers.ini"
    front.write_text(json.dumps(configuration(free_address())))
    for text, says in (
        (WHOLE.replace("5s", "0s"), "[duty probe] interval"),
        (WHOLE, "peers.keys: No such file"),
    ):
        shared.write_text(text)
        done = subprocess.run(
            [sys.executable, "-m", "limepath", "run", "--config", str(front), "--peers", str(shared)],
            capture_output=True,
            text=True,
            timeout=60,
        )
        assert done.returncode == 2 and says in done.stderr and done.stderr.count("\n") == 1, done.stderr


def test_where_nothing_is_shared_nothing_of_it_is_loaded():
    script = (
        "import sys, limepath.front.start; "
        "print([name for name in sys.modules if name.startswith(('limepath.membership',"
        " 'limepath.duties', 'click', 'msgspec', 'sqlite3'))])"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, timeout=60)
    assert done.stdout.strip() == "[]", done.stdout
