"""The layout of a scale run: sizes that can be, where fronts and caches stand, what fits a machine."""

from collections import Counter

import pytest

from limepath.configuration import ini, peers_file
from limepath.configuration.ini import Key
from limepath.configuration.peers_file import SCHEMA
from limepath.scale import plan, settings
from limepath.scale.plan import BadSize, Machine, Sizes

LARGE = Machine(cores=8, memory=24 << 30, descriptors=65_536)
FULL = Sizes(1000, 8, 1400, 10, 20, 240, 36.0, 1.0)


def refused(sizes, machine=LARGE):
    with pytest.raises(BadSize) as caught:
        plan.plan_of(sizes, machine)
    assert "\n" not in str(caught.value)
    return str(caught.value)


def test_the_size_of_the_issue_fits():
    made = plan.plan_of(FULL, LARGE)
    assert len(made.fronts) == 1000 and len(made.caches) == 1400 and len(made.real) == 8
    assert made.memory <= LARGE.memory / 2


def test_every_site_lies_in_one_zone_and_every_zone_in_one_region():
    made = plan.plan_of(FULL, LARGE)
    assert len({place.site for place in made.fronts}) == 240
    assert len({(place.site, place.zone) for place in made.fronts}) == 240
    assert len({(place.zone, place.region) for place in made.fronts}) == 20
    assert {place.zone for place in made.fronts} == set(made.zones)
    assert {place.region for place in made.fronts} == set(made.regions)


def test_fronts_and_caches_spread_evenly_with_remainders():
    made = plan.plan_of(Sizes(fronts=103, caches=30, regions=2, zones=4, sites=8), LARGE)
    by_site = Counter(place.site for place in made.fronts).values()
    by_zone = Counter(cache.zone for cache in made.caches).values()
    assert sum(by_site) == 103 and max(by_site) - min(by_site) <= 1
    assert sum(by_zone) == 30 and max(by_zone) - min(by_zone) <= 1


def test_every_front_is_real_or_in_one_hollow_process():
    made = plan.plan_of(Sizes(fronts=103, real=3, sites=8, processes=4), LARGE)
    assert len(made.hollow) == 4
    assert sorted([*made.real, *(who for share in made.hollow for who in share)]) == list(range(103))
    assert max(map(len, made.hollow)) - min(map(len, made.hollow)) <= 1


def test_processes_follow_size_and_cores():
    assert plan.process_count(Sizes(fronts=100), 8) == 4
    assert plan.process_count(Sizes(fronts=1000), 8) == 32
    assert plan.process_count(Sizes(fronts=12), 8) == 1
    assert plan.process_count(Sizes(fronts=5, real=5), 8) == 0


@pytest.mark.parametrize(
    "sizes, option",
    [
        (Sizes(fronts=1), "--fronts 1:"),
        (Sizes(fronts=-5), "--fronts -5:"),
        (Sizes(fronts=10_001), "--fronts 10001:"),
        (Sizes(fronts=10, real=-1), "--real -1:"),
        (Sizes(fronts=10, real=11), "--real 11:"),
        (Sizes(fronts=10, caches=0), "--caches 0:"),
        (Sizes(fronts=10, sites=11), "--sites 11:"),
        (Sizes(fronts=10, regions=2, zones=3, sites=6), "--zones 3:"),
        (Sizes(fronts=10, regions=2, zones=1), "--zones 1:"),
        (Sizes(fronts=10, zones=4, sites=6), "--sites 6:"),
        (Sizes(fronts=10, purges=-1.0), "--purges -1.0:"),
        (Sizes(fronts=10, purges=float("nan")), "--purges nan:"),
        (Sizes(fronts=10, settings_changes=1e9), "--settings-changes 1000000000.0:"),
        (Sizes(fronts=10, processes=-1), "--processes -1:"),
    ],
)
def test_a_size_that_cannot_be_is_refused_by_its_option(sizes, option):
    assert refused(sizes).startswith(option)


def test_too_little_memory_is_refused_with_a_number_of_fronts_that_fits():
    told = refused(FULL._replace(fronts=5200))
    assert told.startswith("--fronts 5200: needs about ") and "GB of memory" in told
    fits = int(told.split("--fronts ")[2].split(" ")[0])
    assert plan.obstacle(FULL._replace(fronts=fits), LARGE) is None
    assert plan.obstacle(FULL._replace(fronts=fits + 1), LARGE)


def test_under_half_of_the_memory():
    needed = plan.plan_of(FULL, LARGE).memory
    assert plan.plan_of(FULL, LARGE._replace(memory=2 * needed))
    assert "GB of memory" in refused(FULL, LARGE._replace(memory=2 * needed - 2))


def test_too_many_processes_are_refused_with_what_fits():
    told = refused(Sizes(fronts=400, real=350), LARGE._replace(memory=1 << 40))
    assert told.startswith("--real 350: needs 353 processes, of at most 300; --real ")
    fits = int(told.split("--real ")[2].split(" ")[0])
    assert plan.plan_of(Sizes(fronts=400, real=fits), LARGE._replace(memory=1 << 40))


def test_too_few_descriptors_are_refused():
    assert "open files" in refused(FULL, LARGE._replace(descriptors=1024))


def addresses_of(made):
    count = len(made.fronts)
    return settings.Addresses(
        *([base + who for who in range(count)] for base in (12000, 13000, 14000, 15000))
    )


def test_settings_are_what_the_program_reads(tmp_path):
    made = plan.plan_of(Sizes(fronts=6, real=1, regions=2, zones=2, sites=4), LARGE)
    paths = settings.write_fronts(str(tmp_path), made, addresses_of(made), seed=3)
    read = [peers_file.read(path) for path in paths]
    assert [one.name for one in read] == [place.name for place in made.fronts]
    assert {one.listing.fronts for one in read} == {6}
    assert [bool(one.control) for one in read] == [who in made.real for who in range(6)]


def test_settings_hold_only_keys_that_the_program_knows(monkeypatch):
    made = plan.plan_of(Sizes(fronts=6, sites=2), LARGE)
    scoped = {
        "region": Key(ini.parse_name, ""),
        "site": Key(ini.parse_name, ""),
        "fan-out": Key(ini.parse_integer, 4),
        "gather": Key(ini.parse_duration, 250_000, unit=ini.DURATION),
        "window": Key(ini.parse_duration, 300_000_000, unit=ini.DURATION),
    }
    form = SCHEMA["listing"]
    without = {key: value for key, value in form.keys.items() if key not in scoped}
    monkeypatch.setitem(SCHEMA, "listing", form._replace(keys=without))
    text = settings.peers_text(made, addresses_of(made), 0, "peers.keys")
    assert not any(line.startswith(f"{key} =") for key in scoped for line in text.splitlines())
    with pytest.raises(settings.UnknownSetting, match="--broken fan-out"):
        settings.broken_of("fan-out", 6)
    monkeypatch.setitem(SCHEMA, "listing", form._replace(keys=without | scoped))

    def lines(what):
        broken = settings.broken_of(what, 6)
        return settings.peers_text(made, addresses_of(made), 0, "peers.keys", broken).splitlines()

    stated, wide, short = lines(""), lines("fan-out"), lines("window")
    assert {"site = s0", "region = r0", "fan-out = 4", "gather = 250000us", "window = 300000000us"} <= set(
        stated
    )
    assert "fan-out = 6" in wide and "window = 300000000us" in wide
    assert "fan-out = 4" in short and "window = 2000000us" in short


def test_a_stretch_makes_all_spans_longer_and_rates_lower(tmp_path):
    made = plan.plan_of(Sizes(fronts=6, sites=2), LARGE)
    (tmp_path / "peers.keys").write_text("0" * 64)
    read = []
    for stretch in (1, 10, 20):
        path = tmp_path / f"{stretch}.ini"
        path.write_text(settings.peers_text(made, addresses_of(made), 0, "peers.keys", stretch=stretch))
        read.append(peers_file.read(str(path)))
    plain, slow, slowest = read
    assert slow.spans.period == 10 * plain.spans.period and slow.spans.direct == 10 * plain.spans.direct
    assert (
        slow.listing.beat == 10 * plain.listing.beat
        and slow.plans[0].interval == 10 * plain.plans[0].interval
    )
    assert slow.listing.rate == plain.listing.rate / 10 and slow.listing.ready == plain.listing.ready / 10
    assert slowest.listing.stream_timeout == 20 * plain.listing.stream_timeout


def test_the_same_seed_gives_the_same_tokens(tmp_path):
    made = plan.plan_of(Sizes(fronts=6), LARGE)
    assert settings.tokens(made, 1) == settings.tokens(made, 1) != settings.tokens(made, 2)
    assert len(set(settings.tokens(made, 1))) == 6
