"""Tests of the start of fronts: many at once with a long endpoint list, and the cost of long lists."""

import queue
import socket
import sys
import threading
import time

from twisted.internet.task import Clock

from limepath.configuration.platform import front_settings
from limepath.front.decision_loop import DecisionLoop
from limepath.front.endpoint_watch import EndpointWatch
from limepath.front.servers import Servers
from limepath.interface.events import TimerFired
from limepath.log import Log
from limepath.testbed.process import free_ports
from tests.fake_host import FakeHost
from tests.stand_ins import SETTINGS, TIMEOUT, StandInChangeLog, address, configuration, start_program

# READY_WITHIN: seconds, for nine of ten fronts that start at once.
MEMBERS, STARTS, READY_WITHIN = 1400, 12, 10


def list_entry(number, phase="in_service"):
    """Return an entry of the endpoint list; one of a hundred is a parent."""
    is_parent = number % 100 == 1
    return {
        "id": f"s-{number}",
        "host_port": f"127.0.0.1:{20_000 + number}",
        "locality": "hub" if is_parent else "sur",
        "flavor": "parent" if is_parent else "box",
        "cell": 0,
        "phase": phase,
        "size": 6,
        "up_since_ms": 1_700_000_000_000,
    }


def known(entries):
    return {
        "seq": 1,
        "results": [{"seq": 1, "fleet": {"revision": 1, "complete": True, "members": list(entries)}}],
    }


def test_fronts_that_start_at_once_on_a_long_list_are_ready_in_time():
    log, ready = StandInChangeLog(), queue.Queue()
    known_list = known(map(list_entry, range(MEMBERS)))
    processes = []

    def wait_for_ready(process, since):
        for log_line in process.stderr:
            if "event=ready" in log_line:
                ready.put((time.monotonic() - since, log_line))
                return

    try:
        for port in free_ports(socket.SOCK_STREAM, STARTS):
            listen_address = f"127.0.0.1:{port}"
            processes.append(
                start_program(
                    configuration(listen_address, known=known_list, changelog=address(log.listener))
                )
            )
            arguments = (processes[-1], time.monotonic())
            threading.Thread(target=wait_for_ready, args=arguments, daemon=True).start()
        ready_lines = [ready.get(timeout=TIMEOUT) for _ in range(STARTS)]
    finally:
        for process in processes:
            process.kill()
            process.wait()
            process.stderr.close()
        log.listener.close()
    assert all(f"members={MEMBERS} " in log_line for _, log_line in ready_lines)
    assert sum(span < READY_WITHIN for span, _ in ready_lines) >= 0.9 * STARTS


def count_lines_run(call):
    """Return how many lines of Python a call executes, as a measure of work that does not depend on time."""
    count = 0

    def trace(frame, event, argument):
        nonlocal count
        count += event == "line"
        return trace

    before = sys.gettrace()
    sys.settrace(trace)
    try:
        call()
    finally:
        sys.settrace(before)
    return count


def work_to_apply_a_list(members, phase):
    """Count the work to apply a list with every other member in `phase`, then one without those members."""
    settings = front_settings(configuration("127.0.0.1:9"), {})
    log = Log("n1", settings.limits.log_lines, settings.limits.log_span, "person")
    decision_loop = DecisionLoop(Clock(), FakeHost(endpoints=()).front, settings.limits, log)
    servers = Servers(decision_loop.reactor, decision_loop, None, settings.limits, log, b"INFO")
    watch = EndpointWatch(decision_loop.reactor, decision_loop, servers, settings.limits, log, SETTINGS, 1)
    entries = [list_entry(number, phase if number % 2 else "in_service") for number in range(members)]

    def apply_lists():
        watch.load_known_events(known(entries))
        decision_loop.gather(TimerFired(0))
        watch.load_known_events(known(entries[::2]))

    work = count_lines_run(apply_lists)
    assert len(watch.entries) == members / 2
    return work


def test_work_to_apply_a_list_grows_linearly_with_its_length():
    for phase in ("in_service", "terminating"):
        few, many = work_to_apply_a_list(300, phase), work_to_apply_a_list(1200, phase)
        # The factor was 15 while each draining or removed endpoint scanned all waiting attempts.
        assert many < 4.4 * few, phase
