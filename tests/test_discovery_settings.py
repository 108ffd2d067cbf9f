"""Tests of the settings of the endpoint list in the peers file."""

import pytest

from limepath.configuration import peers_file
from limepath.configuration.ini import SettingError
from limepath.configuration.sharing_settings import (
    DiscoverySettings,
)
from tests.discovery_harness import PEERS, SECOND


@pytest.mark.parametrize(
    "lines, message",
    [
        ("calls = 20", "fronts: missing"),
        ("fronts = 0", "at least 1"),
        ("fronts = 5\npatience = 600ms", "expected at least twice beat"),
        ("fronts = 5\nrelay = 2", "did you mean 'relays'"),
        ("fronts = 5\nrelays = 9", "at most 8"),
    ],
)
def test_invalid_settings_of_the_list_are_named_in_the_error(tmp_path, lines, message):
    file = tmp_path / "peers.ini"
    file.write_text(f"{PEERS}[listing]\n{lines}\n")
    with pytest.raises(SettingError, match=r"\[listing\]") as error:
        peers_file.read(file)
    assert message in str(error.value)


def test_without_the_section_listing_there_are_no_discovery_settings(tmp_path):
    file = tmp_path / "peers.ini"
    file.write_text(PEERS)
    assert peers_file.read(file).listing is None
    file.write_text(PEERS + "[listing]\nfronts = 200\n")
    assert peers_file.read(file).listing == DiscoverySettings(fronts=200)


@pytest.mark.parametrize(
    "lines, message",
    [
        ("site = a b", "expected a name of up to 32"),
        ("fan-out = 1", "at least 2"),
        ("site = a\ngather = 2s", "gather: expected at most beat"),
        ("window = 1s", "at least"),
        ("window-bytes = 5", "at least"),
    ],
)
def test_invalid_settings_of_the_tree_are_named_in_the_error(tmp_path, lines, message):
    file = tmp_path / "peers.ini"
    file.write_text(f"{PEERS}[listing]\nfronts = 5\n{lines}\n")
    with pytest.raises(SettingError, match=r"\[listing\]") as error:
        peers_file.read(file)
    assert message in str(error.value)


def test_the_settings_of_the_tree_are_read(tmp_path):
    file = tmp_path / "peers.ini"
    file.write_text(f"{PEERS}[listing]\nfronts = 5\nsite = a\nregion = r\nfan-out = 3\nwindow = 2m\n")
    settings = peers_file.read(file).listing
    assert (settings.site, settings.region, settings.fan_out, settings.window) == ("a", "r", 3, 120 * SECOND)
