"""Which package may import which, and what a router loads: its start counts, so it loads no part of a controller."""

import ast
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
CONTROL = "ochrespan.control_plane"
PROGRAMS = "ochrespan.programs"
# Lowest layer first. A module belongs to the longest name that it begins with; it imports its own name or lower layers.
LAYERS = (
    ("ochrespan.common", "ochrespan.policy", "ochrespan.storage", "ochrespan.observability"),
    ("ochrespan.raft", "ochrespan.transport"),
    (
        "ochrespan.membership",
        f"{CONTROL}.errors",
        f"{CONTROL}.shards",
        f"{CONTROL}.responses",
        f"{CONTROL}.owner_calls",
    ),
    (f"{CONTROL}.replication",),
    (f"{CONTROL}.config",),
    (f"{CONTROL}.registry",),
    (f"{CONTROL}.feed", f"{CONTROL}.prefix_placement"),
    (f"{CONTROL}.quota",),
    (f"{CONTROL}.api",),
    (f"{CONTROL}.control_state",),
    (f"{CONTROL}.controller_metrics",),
    (f"{CONTROL}.controller", "ochrespan.data_plane"),
    (f"{PROGRAMS}.early_listener", f"{PROGRAMS}.errors", f"{PROGRAMS}.reload_signal"),
    (f"{PROGRAMS}.settings",),
    (f"{PROGRAMS}.fleetctl_commands",),
    (PROGRAMS,),
)
RANKS = {name: rank for rank, names in enumerate(LAYERS) for name in names}

CONTROLLERS_PARTS = (
    "ochrespan.control_plane.replication.host",
    "ochrespan.raft.messages",
    "ochrespan.raft.replica",
    "ochrespan.storage",
)
FRONTS_PARTS = ("ochrespan.policy.front", "ochrespan.interface", "aiohttp")


def layer_of(module: str) -> str | None:
    """The layer's name that a module belongs to; None for the front in service and for packages without code."""
    names = [name for name in RANKS if module == name or module.startswith(f"{name}.")]
    return max(names, key=len, default=None)


def module_name(path: Path) -> str:
    parts = path.relative_to(ROOT).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


def imported_modules(path: Path) -> Iterator[str]:
    """Full names of what a module imports, relative imports resolved."""
    package = ".".join(path.relative_to(ROOT).parent.parts)
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)
        elif isinstance(node, ast.ImportFrom):
            base = package.rsplit(".", node.level - 1)[0] if node.level else ""
            source = ".".join(part for part in (base, node.module) if part)
            yield from (f"{source}.{alias.name}" for alias in node.names)


def modules_in_layers() -> list[Path]:
    return [path for path in (ROOT / "ochrespan").rglob("*.py") if layer_of(module_name(path))]


@pytest.mark.parametrize("path", modules_in_layers(), ids=module_name)
def test_a_module_imports_only_its_own_layer_and_those_below(path):
    own = layer_of(module_name(path))
    for name in imported_modules(path):
        other = layer_of(name)
        assert other in (None, own) or RANKS[other] < RANKS[own], f"{module_name(path)} imports {name}"


def test_a_router_loads_neither_the_controllers_parts_nor_those_of_the_front_in_service():
    code = "import sys, ochrespan.programs.router_process; print(*sys.modules, sep='\\n')"
    loaded = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True).stdout.split()
    assert "ochrespan.data_plane.scheduler" in loaded
    assert not [name for name in loaded if name.startswith((*CONTROLLERS_PARTS, *FRONTS_PARTS))]
