"""The result of a scale run: rows with their bounds, what each role used, as a table and as plain values."""

import os
import subprocess
from collections import Counter
from typing import NamedTuple

import psutil

from limepath.duties.measure import machine
from limepath.report_table import CheckResult, all_passed, at_most, format_table, json_fields, seconds
from limepath.scale.delivery import Delivery, delivery_table
from limepath.scale.faults import Kind
from limepath.scale.use import memory_by_role, statistics, use_by_role, use_table


class Result(NamedTuple):
    rows: list[CheckResult]
    said: list[str]
    data: dict  # for --json, beside the rows


def result_of(run, budget):
    """Give the Result of a run that is over."""
    promise = run.promise(budget=budget)
    effects = run.strikes.effects()
    delivery = Delivery(run, promise)
    use = use_by_role(run)
    rows = [
        *shape_rows(run),
        *delivery.rows(),
        *use_rows(run, use, promise),
        *fault_rows(run, promise, effects),
        *agreement_rows(run, promise),
        *around_rows(run),
    ]
    data = {
        "sizes": run.plan.sizes._asdict(),
        "seed": run.options.seed,
        "broken": run.options.broken or None,
        "stretch": run.options.stretch,
        "seconds_measured": run.schedule.end / 1e6,
        "speed_up_of_churn": run.schedule.speed_up or None,
        "hollow_processes": len(run.plan.hollow),
        "arrivals": delivery.data(),
        "use": use,
        "memory_bytes": memory_by_role(run),
        "faults": {kind.value: count for kind, count in effects.items()},
        "whole_again_s": spans_of(run.seen.whole_again),
        "known_late_s": spans_of(run.seen.late_known),
        "log_events": dict(run.seen.said.most_common(40)),
        "run_itself": own_use(),
        "machine": machine_facts(),
        "load_before": run.load_before,
        "load_after": run.load_after,
        "revision": revision(),
    }
    return Result(rows, run.said, data)


def spans_of(by_kind):
    return {
        str(kind.value): {name: value / 1e6 for name, value in statistics(list(spans.values())).items()}
        for kind, spans in by_kind.items()
    }


# Use


def use_rows(run, use, promise):
    budget, rows = promise.budget, []
    calm_peak = use.get("calm", {}).get("all", {}).get("peak_bytes")
    for phase, roles in use.items():
        told = roles["all"]
        busiest = told["sent_bytes"]["all"]["worst"]
        datagrams = told["sent_datagrams"]["all"]["worst"]
        cpu = told["cpu"]["all"]["worst"]
        rows += [
            at_most(f"{phase}: busiest front, bytes sent a second", round(busiest), round(budget.bytes_sent)),
            CheckResult(f"{phase}: busiest front, datagrams sent a second", round(datagrams, 1)),
            at_most(
                f"{phase}: worst front, % of a core", round(100 * cpu, 2), round(100 * budget.cpu_share, 2)
            ),
        ]
        if phase != "calm" and calm_peak:
            peak, bound = told["peak_bytes"]["worst"], budget.fault_traffic_factor * calm_peak["worst"]
            rows.append(at_most(f"{phase}: most bytes sent in a sample, a second", round(peak), round(bound)))
    children, held = run.seen.most_followers, promise.children
    rows.append(at_most_if_stated("most fronts that one sends events to", children, held))
    if "calm" in use:
        busiest = round(use["calm"]["all"]["sent_bytes"]["list"]["worst"])
        rows.append(
            at_most_if_stated("calm: most bytes of the list sent a second", busiest, promise.list_bytes)
        )
    for role, sizes in memory_by_role(run).items():
        share = "" if role == "real" else ", its share of a process"
        worst = round(sizes["worst"] / 1e6, 1)
        rows.append(at_most(f"memory of a {role}{share}, worst, MB", worst, round(budget.memory / 1e6, 1)))
    return rows


def at_most_if_stated(what, measured, bound):
    return CheckResult(what, measured) if bound is None else at_most(what, measured, bound)


# Faults and agreement


def fault_rows(run, promise, effects):
    rows = []
    for kind, count in effects.items():
        rows.append(CheckResult(f"{kind.value}: times that it took effect", count, "over 0", count > 0))
    for kind, spans in run.seen.whole_again.items():
        worst = seconds(max(spans.values()))
        what = f"{kind.value}: {len(spans)} fronts whole again after it, worst, s"
        rows.append(at_most(what, worst, seconds(promise.recovery_time[kind])))
    if run.seen.returning:
        away = Counter(back.kind.value for back in run.seen.returning.values())
        for kind, count in away.items():
            rows.append(at_most(f"{kind}: fronts never whole again", count, 0))
    if Kind.CUT in effects:
        rows += cut_rows(run, promise)
    if run.schedule.speed_up:
        rows.append(CheckResult("restarts, times an ordinary day's", round(run.schedule.speed_up, 1)))
    return rows


def cut_rows(run, promise):
    fault = next(fault for fault in run.schedule.faults if fault.kind == Kind.CUT)
    behind = sum(
        place.region == fault.regions[1] and who not in run.fleet.real
        for who, place in enumerate(run.plan.fronts)
    )
    known = run.seen.late_known.get(Kind.CUT, {})
    bridged = promise.window is not None and fault.until - fault.at <= promise.window
    once = 0 if bridged else None
    hollow = [span for name, span in known.items() if run.fleet.who[name] not in run.fleet.real]
    return [
        CheckResult(
            "cut: hollow fronts behind it that knew that they were late",
            len(hollow),
            behind,
            len(hollow) >= behind,
        ),
        at_most(
            "cut: until each knew, s", seconds(max(hollow, default=0)), seconds(promise.lateness_detection)
        ),
        at_most_if_stated("cut: events that those behind it were not told one by one", skipped(run), once),
    ]


def skipped(run):
    """Events of a cut that fronts behind it came past without being told each."""
    seen, phase = run.seen, next(phase for phase in run.seen.phases if phase.name == Kind.CUT)
    following = [other.began for other in seen.phases if other.began > phase.began]
    until = following[0] if following else run.ended
    names = {name for name in seen.whole_again.get(Kind.CUT, {}) if run.fleet.who[name] not in run.fleet.real}
    return sum(seen.arrivals[name].skipped(phase.began, until) for name in names)


def agreement_rows(run, promise):
    ready, settled = run.ready, run.settled
    until = seconds(settled.took)
    return [
        CheckResult(
            "fronts with the list before the measured time", ready.lists, ready.of, ready.lists == ready.of
        ),
        CheckResult("fronts that saw all others by then", ready.views, ready.of, ready.views == ready.of),
        CheckResult("until all were ready, from the last group started, s", seconds(ready.took)),
        CheckResult(
            "fronts with the list at the end", settled.lists, settled.of, settled.lists == settled.of
        ),
        CheckResult(
            "fronts that see all others at the end", settled.views, settled.of, settled.views == settled.of
        ),
        at_most("until lists and views were one at the end, s", until, seconds(promise.disagreement)),
    ]


def shape_rows(run):
    sizes = run.plan.sizes
    return [
        CheckResult("fronts", sizes.fronts),
        CheckResult("of these processes of the program", sizes.real),
        CheckResult("processes of hollow fronts", len(run.plan.hollow)),
        CheckResult(
            "caches, zones, sites, regions", f"{sizes.caches}, {sizes.zones}, {sizes.sites}, {sizes.regions}"
        ),
        CheckResult("purges a second", sizes.purges),
        CheckResult("list events a second", sizes.settings_changes),
        CheckResult("measured, s", run.schedule.end / 1e6),
        CheckResult("real time for one of the run's, as all times and rates here are", run.options.stretch),
    ]


def around_rows(run):
    around, service = run.around, run.around.service
    wait = statistics(run.fleet.waits) or {"median": None, "worst": None}
    rows = [
        CheckResult("wait for a report of a hollow process, median, real s", seconds(wait["median"])),
        CheckResult("the same, worst: so late this machine was", seconds(wait["worst"])),
        CheckResult("events told", len(around.issued)),
        CheckResult("calls at the list service", len(service.calls)),
        CheckResult(
            "most streams of a zone at the list service", max(service.most_streams.values(), default=0)
        ),
        CheckResult("bytes that the list service sent", service.bytes),
        CheckResult("connections at all caches", around.connections_at_caches()),
        CheckResult("requests at all caches", around.requests_at_caches()),
    ]
    if run.fleet.real:
        clients = run.clients
        rows += [
            CheckResult("requests to real fronts, served", clients.served),
            CheckResult("requests to real fronts, failed, shed or not taken", clients.failed),
        ]
        for phase, (shares, _) in real_cpu(run).items():
            rows.append(CheckResult(f"{phase}: worst real front, requests and control, % of a core", shares))
    return rows


def real_cpu(run):
    """{phase: (the worst real front's processor share in %, how many told)}"""
    told = {}
    for samples in run.fleet.real_cpu.values():
        by_phase = {}
        for phase, at, cpu in samples:
            if phase is not None:
                by_phase.setdefault(phase, []).append((at, cpu))
        for phase, points in by_phase.items():
            (first, used), (last, more) = points[0], points[-1]
            if last > first and more >= used:
                told.setdefault(phase, []).append(100 * (more - used) / (last - first))
    return {phase: (round(max(shares), 2), len(shares)) for phase, shares in told.items()}


# Facts, table


def own_use():
    """Processor seconds and memory of the run itself, with the list service and the caches."""
    used = psutil.Process()
    times = used.cpu_times()
    return {"cpu_s": round(times.user + times.system, 1), "rss_bytes": used.memory_info().rss}


def machine_facts():
    return machine() | {"memory_bytes": psutil.virtual_memory().total}


def revision():
    """The text's revision, with "+" where files differ from it; None outside a checkout."""
    where = os.path.dirname(os.path.abspath(__file__))

    def git(*words):
        return subprocess.run(["git", *words], cwd=where, capture_output=True, text=True)

    try:
        found = git("rev-parse", "HEAD")
        differs = git("status", "--porcelain", "--untracked-files=no")
    except OSError:
        return None
    return found.stdout.strip() + ("+" if differs.stdout.strip() else "") if not found.returncode else None


def text_of(result):
    """The whole report as lines."""
    lines = list(result.said)
    for phase in result.data["use"]:
        lines += use_table(result.data["use"], phase)
    lines += delivery_table(result.data["arrivals"])
    lines.append(format_table(result.rows))
    lines.append("all bounds hold" if all_passed(result.rows) else "a stated bound is BROKEN")
    return lines


def plain_of(result, command):
    return json_fields(result.rows, **result.data, said=result.said, command=command)
