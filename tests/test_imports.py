"""Checks that modules of `limepath/` import only from lower layers.

The check reads syntax trees, so it covers imports inside functions and under `TYPE_CHECKING`. Modules of one
package, and modules of the lowest layer, may import each other.
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

CLOCK = "the monotonic clock is in the front; it should be a parameter or move to the lowest layer"
CHANGELOG = "it extends the front's change log; the code that both share should move to a lower layer"
STARTED_BY_DISCOVERY = (
    "the discovery host starts the users of the shared list; `front.start` should start them"
)
DECODES_MESSAGES = "one table decodes the messages of all packages; each package should register its own"
USES_TESTBED = "it starts processes with the tools of the testbed, which imports nothing from scale"

# Existing imports from higher layers, with the reason. A test fails for an entry that is no longer needed.
ALLOWED_UPWARD = {
    ("limepath.connection_pacing.host", "limepath.front.clock"): CLOCK,
    ("limepath.discovery.host", "limepath.front.endpoint_watch"): CHANGELOG,
    ("limepath.discovery.host", "limepath.front.watch_error"): CHANGELOG,
    ("limepath.discovery.stream_feed", "limepath.front.event_stream"): CHANGELOG,
    ("limepath.discovery.host", "limepath.connection_pacing.host"): STARTED_BY_DISCOVERY,
    ("limepath.discovery.host", "limepath.frequency_exchange.host"): STARTED_BY_DISCOVERY,
    ("limepath.duties.host", "limepath.discovery.interface"): DECODES_MESSAGES,
    ("limepath.duties.host", "limepath.frequency_exchange.interface"): DECODES_MESSAGES,
    ("limepath.scale.fleet", "limepath.testbed.regions"): USES_TESTBED,
    ("limepath.scale.hollow_process", "limepath.testbed.process"): USES_TESTBED,
    ("limepath.scale.processes", "limepath.testbed.process"): USES_TESTBED,
    ("limepath.scale.roles_data", "limepath.testbed.process"): USES_TESTBED,
    ("limepath.scale.roles_idle", "limepath.testbed.process"): USES_TESTBED,
    ("limepath.scale.run", "limepath.testbed.process"): USES_TESTBED,
    ("limepath.scale.run", "limepath.testbed.regions"): USES_TESTBED,
    ("limepath.scale.service", "limepath.testbed.coldstart"): USES_TESTBED,
    ("limepath.scale.service", "limepath.testbed.process"): USES_TESTBED,
    ("limepath.scale.service", "limepath.testbed.regions"): USES_TESTBED,
    ("limepath.scale.service", "limepath.testbed.stand_ins"): USES_TESTBED,
    ("limepath.scale.settings", "limepath.testbed.duties"): USES_TESTBED,
    ("limepath.scale.settings", "limepath.testbed.process"): USES_TESTBED,
}


class Import(NamedTuple):
    """An import of one module of `limepath` by another."""

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
    """Return the modules that an import statement names, or an empty list for any other node."""
    if isinstance(node, ast.Import):
        return [alias.name for alias in node.names]
    if not isinstance(node, ast.ImportFrom):
        return []
    base = node.module or ""
    if node.level:
        parents = importer.split(".")
        base_package = parents[: len(parents) - node.level + is_package]
        base = ".".join([*base_package, base] if base else base_package)
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


def upward_imports(found: set[Import]) -> set[Import]:
    """Return the imports from a higher layer, or from the same layer unless that is the lowest."""
    disallowed = set()
    for entry in found:
        importer_layer, imported_layer = (
            LAYER_OF[component(entry.importer)],
            LAYER_OF[component(entry.imported)],
        )
        if imported_layer <= importer_layer and not importer_layer == imported_layer == LOWEST:
            disallowed.add(entry)
    return disallowed


def test_every_package_and_module_has_a_layer():
    components = {component(name) for name in modules(ROOT)} - {""}
    assert components <= set(LAYER_OF), "a package or module is missing in LAYERS"


def test_modules_import_only_from_lower_layers():
    new = upward_imports(imports(ROOT)) - set(ALLOWED_UPWARD)
    assert not new, "\n".join(
        f"{importer} imports {imported}, which is not in a lower layer" for importer, imported in new
    )


def test_each_allowed_upward_import_still_exists():
    obsolete = set(ALLOWED_UPWARD) - upward_imports(imports(ROOT))
    assert not obsolete, f"no longer an upward import, remove from ALLOWED_UPWARD: {sorted(obsolete)}"


def test_all_forms_of_import_statements_are_found(tmp_path):
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
    assert upward_imports(imports(tmp_path)) == {
        ("limepath.log", "limepath.front"),
        ("limepath.hashing", "limepath.front.start"),
        ("limepath.front.start", "limepath.cli.run"),
        ("limepath.duties.host", "limepath.discovery.interface"),
    }
