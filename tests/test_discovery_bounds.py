"""Tests of limepath/discovery/bounds.py and of the command that prints them."""

import json

from limepath.configuration.sharing_settings import (
    DiscoverySettings,
)
from limepath.discovery.bounds import bounds, freshness_limit, tree_bounds
from tests.discovery_harness import PEERS, SECOND, command


def test_the_bounds_follow_from_the_settings():
    base = bounds(DiscoverySettings(fronts=10), 10)
    assert bounds(
        DiscoverySettings(fronts=10, stream_timeout=5 * SECOND), 10
    ).relays_lost > base.relays_lost and base.known_late == freshness_limit(DiscoverySettings())
    assert (
        bounds(DiscoverySettings(fronts=300), 300).alone > base.alone
        and base.calls <= DiscoverySettings().rate
    )


def test_the_bounds_are_printed_and_a_missing_section_is_named(tmp_path):
    file = tmp_path / "peers.ini"
    file.write_text(PEERS)
    done = command("listing", "bounds", str(file))
    assert done.returncode == 2 and "[listing]: missing" in done.stderr
    file.write_text(PEERS + "[listing]\nfronts = 200\n")
    done = command("listing", "bounds", str(file), "--zones", "2", "--json")
    assert (
        done.returncode == 0
        and json.loads(done.stdout)["rows"][0]["measured"]
        == bounds(DiscoverySettings(fronts=200), 200, 2).event / SECOND
    )


def test_the_bounds_of_a_tree_follow_from_the_settings_and_the_fleet():
    base = tree_bounds(DiscoverySettings(), 100, 4, 16)
    assert tree_bounds(DiscoverySettings(), 5200, 20, 240).event > base.event
    assert tree_bounds(DiscoverySettings(gather=SECOND), 100, 4, 16).event > base.event
    assert tree_bounds(DiscoverySettings(), 5200, 20, 240).children == base.children == 8
    assert tree_bounds(DiscoverySettings(fan_out=8), 100, 4, 16).max_bytes > base.max_bytes


def test_the_bounds_of_the_tree_are_printed_with_a_site(tmp_path):
    file = tmp_path / "peers.ini"
    file.write_text(PEERS + "[listing]\nfronts = 5200\nsite = a\n")
    done = command("listing", "bounds", str(file), "--zones", "20", "--sites", "240", "--json")
    rows = {row["what"]: row["measured"] for row in json.loads(done.stdout)["rows"]}
    assert rows["fronts that one front sends events to, at most"] == 8
