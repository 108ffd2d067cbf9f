"""Hollow fronts: the commands and reports of their process, the faults of links, and a process at work."""

import pytest

from limepath.scale import control
from limepath.scale.control import Arrival, FrontReport, Reply, Subsystem, Traffic


def test_commands_round_trip():
    commands = [
        control.Start(["a", "b"]),
        control.Kill(["a"]),
        control.Pause([]),
        control.Resume(["b"]),
        control.Links(0.05, [("north", "south")]),
        control.Report(),
        control.End(),
    ]
    for command in commands:
        line = control.encode(command)
        assert line.endswith(b"\n") and line.count(b"\n") == 1
        assert control.decode_command(line) == command
    assert control.decode_command(b'{"do": "links", "loss": 0.5, "cuts": [["a", "b"]]}').cuts == [("a", "b")]


@pytest.mark.parametrize(
    "line",
    [
        b"",
        b"[]",
        b'{"do": "dance"}',
        b'{"names": []}',
        b'{"do": "start"}',
        b'{"do": "start", "names": [1]}',
        b'{"do": "report", "names": ["a"]}',
        b'{"do": "links", "loss": 1.5}',
        b'{"do": "links", "cuts": [["a"]]}',
        b'{"do": "links", "loss": "\xff"}',
    ],
)
def test_a_bad_command_is_told_by_one_error(line):
    with pytest.raises(control.BadLine):
        control.decode_command(line)


def test_reports_round_trip():
    front = FrontReport(
        cpu_us={Subsystem.LIST: 5},
        sent={Subsystem.MEMBERSHIP: Traffic(1, 80)},
        received={},
        events=[Arrival(0, 7, 123)],
        doubled=2,
        live=3,
    )
    process = control.ProcessReport(9, 10, control.Dropped(1, 2))
    reply = control.decode_reply(control.encode(Reply(True, fronts={"a": front}, process=process)))
    assert reply == Reply(True, fronts={"a": front}, process=process)
    assert reply.fronts["a"].events[0].number == 7
    assert control.encode(Reply(True)) == b'{"ok":true}\n'
    assert control.decode_reply(control.encode(Reply(False, "no front x"))).error == "no front x"
