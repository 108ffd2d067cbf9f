"""Measures the output of `limepath membership show --json` for one front, by the size of its view."""

import json
from functools import partial

from limepath.configuration.sharing_settings import DutyMode, DutySettings, LeaseSettings, MembershipTimeouts
from limepath.duties.instance import Instance
from limepath.scale.measured import RoleResult, Series
from limepath.scale.roles import minimum_cpu_us
from limepath.scale.roles_view import SIZES, member_records

INTERVAL_US = 5_000_000


def instance(size):
    """Return an instance whose view holds this many members."""
    me, *others = member_records(size)
    duty = DutySettings("probe", DutyMode.AT_LEAST_ONCE, INTERVAL_US)
    result = Instance(me, (), MembershipTimeouts(), (duty,), LeaseSettings(), 1)
    result.preload_members(others)
    return result


def view_text(member):
    """Return the view as the text that is sent over the control socket."""
    return json.dumps(member.view()._asdict())


def measure():
    """Return the RoleResult of the view shown to an operator."""
    instances = [instance(size) for size in SIZES]
    times = minimum_cpu_us([partial(view_text, member) for member in instances])
    text = tuple(
        (size, round(len(view_text(member)) / 1000, 2)) for size, member in zip(SIZES, instances, strict=True)
    )
    cpu = tuple((size, round(cpu_us / 1000, 3)) for size, cpu_us in zip(SIZES, times, strict=True))
    return RoleResult(
        (
            Series("shown", "one front's view shown", "KB", "instances", text, "real logic"),
            Series("cpu", "the same, at the front", "ms of CPU", "instances", cpu, "real logic"),
        ),
        notes=("the least of 5 runs; the front serves nobody meanwhile: it has one thread",),
    )
