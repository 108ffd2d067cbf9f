"""Tests of the peers file and the keys file: defaults, and errors that name file, section and key."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limepath.configuration import ini, peers_file
from limepath.configuration.ini import SettingError
from limepath.membership.guard import KeyFileError, parse_keys
from limepath.membership.host import StartError, read_keys

PEERS_INI = """[instance]
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


def read(tmp_path, text=PEERS_INI):
    file = tmp_path / "peers.ini"
    file.write_text(text)
    return peers_file.read(str(file))


def error_text(tmp_path, old, new):
    with pytest.raises(SettingError) as raised:
        read(tmp_path, PEERS_INI.replace(old, new))
    return str(raised.value).replace(str(tmp_path), "")


def test_a_complete_file_is_read_with_defaults_and_paths_relative_to_it(tmp_path):
    settings = read(tmp_path)
    assert (
        settings.store == str(tmp_path / "state/n1.db")
        and settings.control == ""
        and settings.advertise == ("127.0.0.1", 7946)
    )
    assert settings.spans.period == 1_000_000 and settings.leasing.voters == ("n1", "n2", "n3")
    assert [(plan.name, plan.interval) for plan in settings.plans] == [("probe", 5_000_000)]
    assert peers_file.read("deploy/peers.ini").kinds == {"probe": ("caches", "parents", "origin")}


@pytest.mark.parametrize(
    "old, new, expected",
    (
        (
            "interval = 5s",
            "intervall = 5s",
            "/peers.ini: [duty probe] intervall: unknown key; did you mean 'interval'?",
        ),
        ("interval = 5s", "interval = 5", "[duty probe] interval: '5': expected a duration with a unit"),
        ("interval = 5s", "interval = 5ms", "[duty probe] interval: '5ms': expected at least 100ms"),
        ("interval = 5s", "mode = one-ownr", "did you mean 'one-owner'?"),
        (
            "interval = 5s",
            "targets = caches, cachs",
            "[duty probe] targets: 'caches, cachs': expected one of",
        ),
        ("[leases]", "[leasez]", "/peers.ini: [leasez]: unknown section; did you mean 'leases'?"),
        ("voters = n1, n2, n3", "voters = n1, n1", "[leases] voters: 'n1, n1': duplicate item"),
        (
            "voters = n1, n2, n3\n",
            "[duty b]\nmode = one-owner\n",
            "[leases] voters: missing; required by mode one-owner of [duty b]",
        ),
        ("voters = n1, n2, n3", "drift = 30%", "[leases] drift: '30%': expected at most 0.2"),
        (
            "listen = 127.0.0.1:7946",
            "listen = localhost:1",
            "[peers] listen: 'localhost:1': expected an IP address with a port",
        ),
        ("listen = 127.0.0.1:7946", "", "[peers] listen: missing"),
        ("keys =", "direct = 600ms\nkeys =", "[peers] direct: expected less than half of period"),
        ("keys = peers.keys", "keys = a\nkeys = b", "[peers] keys: duplicate key"),
        ("name = n1", "name = n 1", "[instance] name: 'n 1': expected a name of up to 32"),
        ("[instance]\n", "name\n[instance]\n", "line 1: text before the first [section]"),
        ("[duty probe]\ninterval = 5s\n", "", "[duty NAME]: missing"),
        ("[duty probe]", "[duty probe]\ninterval = 1s\n[duty probe]", "[duty probe]: duplicate section"),
    ),
)
def test_each_error_names_file_section_and_key(tmp_path, old, new, expected):
    assert expected in error_text(tmp_path, old, new)


def test_a_missing_or_undecodable_file_is_an_error(tmp_path):
    with pytest.raises(SettingError, match="No such file"):
        peers_file.read(str(tmp_path / "none.ini"))
    (tmp_path / "b.ini").write_bytes(b"\xff\xfe")
    with pytest.raises(SettingError, match="not UTF-8"):
        peers_file.read(str(tmp_path / "b.ini"))


@given(st.text(max_size=300))
def test_any_text_is_accepted_or_rejected_with_an_error_that_names_the_file(text):
    try:
        ini.check_text(text, "x", peers_file.SCHEMA)
    except SettingError as error:
        assert str(error).startswith("x: ")


def test_a_keys_file_must_be_readable_by_its_owner_alone(tmp_path):
    file = tmp_path / "keys"
    file.write_text("ab" * 32)
    file.chmod(0o644)
    with pytest.raises(StartError, match="open to others"):
        read_keys(str(file))
    file.chmod(0o600)
    assert len(read_keys(str(file))[0]) == 1


@pytest.mark.parametrize(
    "text, expected",
    [("", "no key"), ("ab" * 8, "16 to 64"), ("ab" * 16 + "\n" + "ab" * 16, "line 2")],
)
def test_an_error_in_a_keys_file_states_what_is_expected(text, expected):
    with pytest.raises(KeyFileError, match=expected):
        parse_keys(text)
