"""An import goes down only: the layers of `limepath/`, checked on the syntax tree of each module.

Imports inside functions and under `TYPE_CHECKING` count too. Within a package, and among the modules of the
lowest layer, imports are free.
"""

import ast
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parents[1]

# From the highest to the lowest. `choice` is the former name of `decisions`.
LAYERS = (
    {"__main__"},
    {"cli"},
    {"testbed"},
    {"scale"},
    {"front"},
    {"simulator_host"},
    {"frequency_exchange", "connection_pacing"},
    {"discovery"},
    {"duties"},
    {"tls"},
    {"membership"},
    {"configuration"},
    {"decisions", "choice"},
    {"interface"},
    {"timer_queue", "hashing", "report_table", "early_signals", "logic_host", "log", "store"},
)
LOWEST = len(LAYERS) - 1
LAYER_OF = {name: number for number, names in enumerate(LAYERS) for name in names}

CLOCK = "the monotonic clock stands in the front; it should be handed in, or move to the lowest layer"
CHANGELOG = "it replaces the front's own change log and extends it; what both share should move down"
STARTED_BY_DISCOVERY = "the host of discovery starts what needs a shared list; `front.start` should start it"
DECODES_MESSAGES = "one table decodes the datagrams of all parts; each part should register its own messages"
PLAYS_PROCESSES = "it starts real processes with the testbed's tools; the testbed imports nothing of scale"

# Imports that go up today, with the reason. The test fails for a line that is no longer needed.
ALLOWED_UPWARD = {
    ("limepath.connection_pacing.host", "limepath.front.clock"): CLOCK,
    ("limepath.discovery.host", "limepath.front.endpoint_watch"): CHANGELOG,
    ("limepath.discovery.host", "limepath.front.watch_error"): CHANGELOG,
    ("limepath.discovery.stream_feed", "limepath.front.event_stream"): CHANGELOG,
    ("limepath.discovery.host", "limepath.connection_pacing.host"): STARTED_BY_DISCOVERY,
    ("limepath.discovery.host", "limepath.frequency_exchange.host"): STARTED_BY_DISCOVERY,
    ("limepath.duties.host", "limepath.discovery.interface"): DECODES_MESSAGES,
    ("limepath.duties.host", "limepath.frequency_exchange.interface"): DECODES_MESSAGES,
    ("limepath.scale.fleet", "limepath.testbed.regions"): PLAYS_PROCESSES,
    ("limepath.scale.hollow_process", "limepath.testbed.process"): PLAYS_PROCESSES,
    ("limepath.scale.processes", "limepath.testbed.process"): PLAYS_PROCESSES,
    ("limepath.scale.roles_data", "limepath.testbed.process"): PLAYS_PROCESSES,
    ("limepath.scale.roles_idle", "limepath.testbed.process"): PLAYS_PROCESSES,
    ("limepath.scale.run", "limepath.testbed.process"): PLAYS_PROCESSES,
    ("limepath.scale.run", "limepath.testbed.regions"): PLAYS_PROCESSES,
    ("limepath.scale.service", "limepath.testbed.coldstart"): PLAYS_PROCESSES,
    ("limepath.scale.service", "limepath.testbed.process"): PLAYS_PROCESSES,
    ("limepath.scale.service", "limepath.testbed.regions"): PLAYS_PROCESSES,
    ("limepath.scale.service", "limepath.testbed.stand_ins"): PLAYS_PROCESSES,
    ("limepath.scale.settings", "limepath.testbed.duties"): PLAYS_PROCESSES,
    ("limepath.scale.settings", "limepath.testbed.process"): PLAYS_PROCESSES,
}


class Import(NamedTuple):
    """One module of `limepath` that names another."""

    importer: str
    imported: str


def component(module: str) -> str:
    """Return the package or module directly below `limepath`; "" for `limepath` itself."""
    return module.partition(".")[2].partition(".")[0]


def modules(root: Path) -> dict[str, Path]:
    """Return each module below `root`/limepath by its dotted name."""
    found = {}
    for path in sorted((root / "limepath").rglob("*.py")):
        parts = path.relative_to(root).with_suffix("").parts
        found[".".join(parts[:-1] if parts[-1] == "__init__" else parts)] = path
    return found


def imported_names(node: ast.AST, importer: str, is_package: bool, known: dict[str, Path]) -> list[str]:
    """Return the modules that one import statement names; none for any other node."""
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if not isinstance(node, ast.ImportFrom):
        return []
    base = node.module or ""
    if node.level:
        parents = importer.split(".")
        above = parents[: len(parents) - node.level + is_package]
        base = ".".join([*above, base] if base else above)
    submodules = [f"{base}.{alias.name}" for alias in node.names]
    return [name if name in known else base for name in submodules]


def imports(root: Path) -> set[Import]:
    """Return all imports between different components of `limepath`."""
    known = modules(root)
    found = set()
    for importer, path in known.items():
        for node in ast.walk(ast.parse(path.read_text(encoding="utf-8"))):
            for imported in imported_names(node, importer, path.name == "__init__.py", known):
                is_own = imported.partition(".")[0] == "limepath"
                if is_own and component(imported) not in ("", component(importer)):
                    found.add(Import(importer, imported))
    return found


def upward(found: set[Import]) -> set[Import]:
    """Return the imports that do not go down: to a higher layer, or beside it above the lowest."""
    wrong = set()
    for one in found:
        above, below = LAYER_OF[component(one.importer)], LAYER_OF[component(one.imported)]
        if below <= above and not above == below == LOWEST:
            wrong.add(one)
    return wrong


def test_every_package_and_module_has_a_layer():
    components = {component(name) for name in modules(ROOT)} - {""}
    assert components <= set(LAYER_OF), "give each new package or module a line in LAYERS"


def test_no_import_goes_up():
    new = upward(imports(ROOT)) - set(ALLOWED_UPWARD)
    assert not new, "\n".join(f"{importer} imports {imported}, which is higher" for importer, imported in new)


def test_the_list_of_allowed_imports_holds_no_line_too_many():
    gone = set(ALLOWED_UPWARD) - upward(imports(ROOT))
    assert not gone, f"no longer imported or no longer upward, take them out: {sorted(gone)}"


def test_upward_imports_are_found_in_every_form(tmp_path):
    texts = {
        "__init__": "",
        "log": "from limepath import front\nfrom limepath.hashing import mix64\n",
        "hashing": "def late():\n    import limepath.store\n    from .front import start\n",
        "store": "import os\n",
        "front/__init__": "from . import start\nfrom .. import log\n",
        "front/start": "from ..cli import run\nfrom ..front import start\nimport limepath.duties.host\n",
        "cli/__init__": "",
        "cli/run": "",
        "duties/__init__": "",
        "duties/host": "if False:\n    from limepath.discovery import interface\n",
        "discovery/__init__": "",
        "discovery/interface": "",
    }
    for name, text in texts.items():
        path = tmp_path / "limepath" / f"{name}.py"
        path.parent.mkdir(exist_ok=True, parents=True)
        path.write_text(text)
    assert upward(imports(tmp_path)) == {
        ("limepath.log", "limepath.front"),
        ("limepath.hashing", "limepath.front.start"),
        ("limepath.front.start", "limepath.cli.run"),
        ("limepath.duties.host", "limepath.discovery.interface"),
    }
