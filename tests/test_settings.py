"""Tests of the platform's JSON settings: an invalid value raises an error that names its key."""

import copy
import json
import tomllib
from pathlib import Path

import pytest

from limepath.configuration.addresses import parse_host_port
from limepath.configuration.platform import ConfigurationError, front_settings
from limepath.interface.settings import Idempotency
from tests.stand_ins import MS, SETTINGS, Site, configuration, free_address

NAN, INFINITY = float("nan"), float("inf")


def configuration_with(path, value):
    """Return the configuration with `value` at `path`; None removes the key."""
    document = configuration(free_address(), settings=copy.deepcopy(SETTINGS))
    *parents, last = path
    section = document["settings"]
    for key in parents:
        section = section.setdefault(key, {}) if isinstance(section, dict) else section[key]
    if value is None:
        del section[last]
    else:
        section[last] = value
    return document


INVALID = [
    (("classes",), [], "settings.classes"),
    (("classes", 1), "tarea", r"settings.classes\[1\]"),
    (("classes", 1, "name"), "video", r"settings.classes\[1\].name"),
    (("classes", 0, "name"), "a/b", r"settings.classes\[0\].name"),
    (("classes", 0, "deadline"), None, r"settings.classes\[0\].deadline: missing"),
    (("classes", 0, "deadline"), 0, r"settings.classes\[0\].deadline"),
    (("classes", 0, "aim"), -1, r"settings.classes\[0\].aim"),
    (("classes", 0, "aim"), NAN, r"settings.classes\[0\].aim"),
    (("classes", 0, "deadline"), INFINITY, r"settings.classes\[0\].deadline"),
    (
        ("classes", 1, "idempotency"),
        "often",
        r"settings.classes\[1\].idempotency: 'often': expected one of free, guarded, single_shot",
    ),
    (("classes", 1, "key-scope"), "town", r"settings.classes\[1\].key-scope"),
    (("classes", 1, "repeat-window"), -5, r"settings.classes\[1\].repeat-window"),
    (("classes", 1, "worth"), True, r"settings.classes\[1\].worth"),
    (("replicas-of-me",), 0, "settings.replicas-of-me"),
    (("replicas-of-me",), 1.5, "settings.replicas-of-me"),
    (("az",), 2, "settings.az"),
    (("az",), -1, "settings.az"),
    (("safety", "cold-share"), 1.2, "settings.safety.cold-share"),
    (("safety", "drain-grace"), -1, "settings.safety.drain-grace"),
    (("safety", "tip-after"), None, "settings.safety.tip-after: missing"),
    (("limits", "max-attempts"), 0, "settings.limits.max-attempts"),
    (("limits", "streams-per-conn"), 0, "settings.limits.streams-per-conn"),
    (("limits", "connect-timeout"), 0, "settings.limits.connect-timeout"),
    (("limits", "cancel"), "yes", "settings.limits.cancel"),
    (("family-info", "mid-kind"), 3, "settings.family-info.mid-kind"),
    (("family-info", "mid-kind"), 2, "settings.family-info.mid-kind"),
    (("family-info", "lateral"), "up", "settings.family-info.lateral"),
    (
        ("family-info", "never-kept"),
        [True],
        "settings.family-info.never-kept: 1 entries; expected 2 as in settings.classes",
    ),
    (("family-info", "never-kept"), [0, 1], r"settings.family-info.never-kept\[0\]"),
    (("family-info", "pipe-kb-per-s"), [1.0, -1.0], r"settings.family-info.pipe-kb-per-s\[1\]"),
    (
        ("family-info", "zone-balancers"),
        [1, 1, 1],
        "settings.family-info.zone-balancers: 3 entries; expected 2 as in settings.areas",
    ),
    (("stats", "fields"), "rif", "settings.stats.fields"),
]


@pytest.mark.parametrize(("path", "value", "message"), INVALID)
def test_an_invalid_setting_is_named_in_the_error(path, value, message):
    with pytest.raises(ConfigurationError, match=message):
        front_settings(configuration_with(path, value), {})


@pytest.mark.parametrize(
    ("path", "value"),
    [
        (("classes", 1, "idempotency"), "guarded"),
        (("classes", 1, "repeat-window"), 0),
        (("classes", 0, "worth"), 0),
        (("family-info", "mid-kind"), -1),
        (("family-info", "never-kept"), []),
        (("family-info", "heed-within"), 0),
        (("limits", "max-retry-after"), 0),
        (("safety", "drain-grace"), 0),
        (("a-key-of-next-year",), {"x": 1}),
        (("tenants",), []),
    ],
)
def test_zero_and_absent_values_are_accepted_where_they_have_a_meaning(path, value):
    assert front_settings(configuration_with(path, value), {}).arguments


@pytest.mark.parametrize("key", ["overload-factor", "tip-after"])
def test_slow_start_is_disabled_where_overload_makes_no_endpoint_fail(key):
    arguments = front_settings(configuration_with(("safety", key), 0), {}).arguments
    # A duration above 0 caused a division by zero at the first attempt to a new cache.
    assert arguments["cache_warmup"].duration == 0


def test_slow_start_is_enabled_where_overload_makes_endpoints_fail():
    assert (
        front_settings(configuration_with(("safety", "tip-after"), MS), {}).arguments["cache_warmup"].duration
        > 0
    )


def test_durations_are_converted_to_whole_microseconds():
    service = front_settings(configuration_with(("classes", 0, "deadline"), 2.5e9), {}).arguments["services"][
        0
    ]
    assert service.deadline == 2_500_000 and isinstance(service.deadline, int)
    assert service.idempotency is Idempotency.IDEMPOTENT


def test_a_reload_with_invalid_settings_changes_nothing():
    with Site() as site:
        assert site.log.next_call() == 1
        site.reload(
            json.dumps(
                site.configuration
                | {"changelog": "127.0.0.1:9", "settings": SETTINGS | {"replicas-of-me": 0}}
            )
        )
        line = site.next_log_line("event=reload ")
        assert "settings.replicas-of-me" in line and "the running values stay" in line
        client = site.open_client().send()
        site.cache.next().answer("DONE", "rev=4be0,since=1764576000123", b"x")
        assert client.answer()[2] == b"x" and site.log.calls.empty()


def test_an_address_has_a_host_and_a_port():
    assert parse_host_port("127.1.0.9:8080") == ("127.1.0.9", 8080)


@pytest.mark.parametrize("text", ["8080", ":8080", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:99999"])
def test_an_address_without_a_host_or_a_valid_port_is_an_error(text):
    with pytest.raises(ValueError):
        parse_host_port(text)


def test_the_sites_differ_in_their_classes_and_the_program_names_no_class():
    sites = [tomllib.loads(path.read_text()) for path in sorted(Path("deploy/sites").glob("*/*.toml"))]
    effects = [[entry["effect"] for entry in site["class"]] for site in sites]
    assert [len(classes) for classes in effects] == [5, 2] and all(
        classes.count("unsafe") == 1 for classes in effects
    )
    assert ["tenant" in site for site in sites] == [True, False]
    names = [entry["name"] for site in sites for entry in site["class"]]
    text = "".join(path.read_text() for path in Path("limepath").rglob("*.py"))
    assert not [name for name in names if f'"{name}"' in text]
