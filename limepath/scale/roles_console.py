"""What an operator is shown of one front: `limepath membership show --json` by the size of its view."""

import json
from functools import partial

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.instance import Instance
from limepath.scale.measured import RoleResult, Series
from limepath.scale.roles import minimum_cpu_us
from limepath.scale.roles_view import SIZES, fleet

INTERVAL = 5_000_000


def instance(size):
    """One instance that knows a whole fleet."""
    me, *others = fleet(size)
    plan = DutySettings("probe", DutyMode.AT_LEAST_ONCE, INTERVAL)
    one = Instance(me, (), MembershipTimeouts(), (plan,), LeaseSettings(), 1)
    one.preload_members(others)
    return one


def shown(one):
    """The text that goes over the control socket."""
    return json.dumps(one.view()._asdict())


def measure():
    """Return the RoleResult of what is shown."""
    instances = [instance(size) for size in SIZES]
    times = minimum_cpu_us([partial(shown, one) for one in instances])
    text = tuple((size, round(len(shown(one)) / 1000, 2)) for size, one in zip(SIZES, instances, strict=True))
    cpu = tuple((size, round(spent / 1000, 3)) for size, spent in zip(SIZES, times, strict=True))
    return RoleResult(
        (
            Series("shown", "one front's view shown", "KB", "instances", text, "real logic"),
            Series("cpu", "the same, at the front", "ms of CPU", "instances", cpu, "real logic"),
        ),
        notes=("the least of 5 runs; the front serves nobody meanwhile: it has one thread",),
    )
