"""The hours that are not calm: a zone lost, a region's return, 370 restarts, a rollout. Free of I/O."""

from math import ceil, log, log2

from limepath.configuration.sharing_settings import DiscoverySettings, MembershipTimeouts
from limepath.discovery.bounds import bounds
from limepath.membership import gossip
from limepath.membership.bounds import detection_time
from limepath.scale.capacity_lines import Hour, Kind, Lines
from limepath.scale.capacity_roles import BY_CODE, RELAYS, STREAMS
from limepath.scale.capacity_size import BUDGET, SIZE
from limepath.scale.estimates import assumed

CHECKS = 4  # messages a second and front that can carry news: checks and their answers
NEWS_OF_RESTART = 2  # it left, it is there again
CONTROL, RELAY, SERVICE = "a front's control", "a relay or inner node", "the list service"
NEWS, PAGES = "news on checks, membership/gossip.py", "pages of what differs, membership/anti_entropy.py"


def together(lost):
    """The longest run of neighbours on the ring that is to be expected among so many lost at once."""
    share = lost / SIZE.fronts
    return ceil(log(SIZE.fronts * (1 - share)) / log(1 / share))


def news(restarts):
    """News a second that each front passes on, at so many restarts a second of the fleet."""
    return NEWS_OF_RESTART * restarts * gossip.RETRANSMIT_MULTIPLIER * ceil(log2(SIZE.fronts + 2))


def news_capacity():
    """News a second that a front's messages can carry in a calm hour."""
    return float(CHECKS * gossip.MAX_RECORDS)


def least_rollout():
    """Hours that a restart of all fronts takes at the least, if news is not to pile up."""
    return SIZE.fronts * news(1) / news_capacity() / 3600


def zone_lost(figures):
    """A zone's fronts fall silent at once."""
    lines = Lines(CONTROL, Hour.ZONE_LOST)
    worst = figures.at("membership", "cut worst", SIZE.fronts)
    worst = worst.times(1, worst.unit, "measured with a tenth cut off, a zone is a twentieth")
    what = "membership sent, worst front in its worst second"
    lines.add(Kind.MESSAGES, what, worst, "suspicions and news, membership/members.py", BUDGET.bytes)
    run = together(SIZE.zone_fronts)
    until = detection_time(MembershipTimeouts(), SIZE.fronts, run) / 1e6
    found = assumed(
        until, "s", f"computed by membership/members.py; {run} neighbours on the ring lost together"
    )
    what = f"until all know of {SIZE.zone_fronts} lost, at most"
    lines.add(Kind.STATE, what, found, "detection, membership/members.py")
    return lines.lines


def region_back(figures):
    """A region that was cut off comes back."""
    lines = Lines(CONTROL, Hour.REGION_BACK)
    worst = figures.at("membership", "return worst", SIZE.fronts)
    mean = figures.at("membership", "return bytes", SIZE.fronts).times(1e-3, "KB/s")
    time = figures.at("membership", "return time", SIZE.fronts)
    what = "membership sent, worst front in its worst second"
    lines.add(Kind.MESSAGES, what, worst, PAGES, BUDGET.bytes)
    lines.add(Kind.MESSAGES, "membership sent until views are one, mean", mean, PAGES, BUDGET.bytes)
    lines.add(Kind.STATE, "until all views are one", time, PAGES)
    return lines.lines


def lists_back(figures):
    """What the list costs when a region comes back, or the service does."""
    relay, service = Lines(RELAY, Hour.REGION_BACK), Lines(SERVICE, Hour.REGION_BACK)
    packed, text = figures.fact("listing", "packed purges"), figures.at("listing", "text", SIZE.caches)
    fan_out = getattr(DiscoverySettings(), "fan_out", None)  # where the list goes in trees
    followers = 2 * fan_out if fan_out else SIZE.zone_fronts // RELAYS
    if packed.value is not None:
        packed = packed.times(followers / 1e3, "MB", f"{followers} followers of one front ask for all of it")
    if text.value is not None:
        text = text.times(STREAMS / 1e3, "MB", f"{STREAMS} streams at once")
    relay.add(Kind.MESSAGES, "whole lists sent, where events kept are outrun", packed, "discovery/")
    service.add(Kind.MESSAGES, "whole lists told anew", text, "the service is not ours")
    promised = bounds(DiscoverySettings(fronts=SIZE.fronts), SIZE.fronts, SIZE.zones)
    for what, value in (
        ("until every front has the list", promised.ready),
        ("until a front that hears of nobody has it", promised.alone),
    ):
        service.add(Kind.STATE, what, assumed(value / 1e6, "s", BY_CODE), "discovery/bounds.py")
    return relay.lines + service.lines


def restarts(figures):
    """370 restarts in one hour, and all fronts in one hour."""
    lines = []
    for hour, count in ((Hour.RESTARTS, SIZE.restarts), (Hour.ROLLOUT, SIZE.fronts)):
        some = Lines(CONTROL, hour)
        copies = gossip.RETRANSMIT_MULTIPLIER
        reason = f"{count:,} in an hour; {NEWS_OF_RESTART} news each, passed on {copies} x log2 n times"
        passed = assumed(news(count / 3600), "news/s", reason)
        some.add(Kind.MESSAGES, "news passed on by each front", passed, NEWS, news_capacity())
        joined = figures.at("membership", "join bytes", SIZE.fronts)
        some.add(Kind.MESSAGES, "received by one that joins, in all", joined, PAGES)
        start = figures.at("idle", "start", SIZE.caches)
        some.add(Kind.PROCESSOR, "a start until ready, its list told at the start", start, "front/start.py")
        lines += some.lines
    return lines


def other_hours(figures):
    """All lines of the hours that are not calm."""
    return zone_lost(figures) + region_back(figures) + lists_back(figures) + restarts(figures)
