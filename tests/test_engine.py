"""Tests of the decision engine: events, wakeups, and the imports of its package."""

import ast
import sys
import tomllib
from pathlib import Path

from limepath.interface.commands import ScheduleWakeup
from limepath.interface.events import TimerFired
from tests.fake_host import SECOND, FakeHost

PACKAGE = Path("limepath/decisions")
OWN_PACKAGES = ("limepath.decisions", "limepath.hashing", "limepath.interface")
LIBRARIES = {"sortedcontainers"}
SLOW_TO_IMPORT = {"dataclasses", "inspect", "asyncio", "re"}


def imported_modules(path: Path) -> set[str]:
    modules = set()
    for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
        if isinstance(node, ast.ImportFrom):
            modules.add(node.module)
        elif isinstance(node, ast.Import):
            modules.update(alias.name for alias in node.names)
    return modules


def test_the_decisions_import_only_the_interface_hashing_and_few_library_modules():
    for path in PACKAGE.glob("*.py"):
        for module in imported_modules(path):
            if module.startswith(OWN_PACKAGES):
                continue
            assert module in LIBRARIES or module.split(".")[0] in sys.stdlib_module_names, (path, module)
            assert module not in SLOW_TO_IMPORT, (path, module)


def test_the_deployment_lists_each_module_of_the_decisions():
    deployment = tomllib.loads(Path("deploy/balancer.toml").read_text(encoding="utf-8"))
    modules = {str(path) for path in PACKAGE.glob("*.py")}
    assert set(deployment["policy"]) == modules | {"limepath/hashing.py"}


def test_an_event_of_an_unknown_type_is_ignored():
    class Unknown:
        pass

    assert FakeHost().handle(Unknown()) == []


def test_the_next_wakeup_is_scheduled_only_after_the_previous_one_has_fired():
    host = FakeHost()
    engine = host.front
    assert not any(isinstance(command, ScheduleWakeup) for command in engine.handle(host.now + 1, ()))
    commands = engine.handle(host.now + SECOND, (TimerFired(0),))
    assert [type(command) for command in commands] == [ScheduleWakeup]
