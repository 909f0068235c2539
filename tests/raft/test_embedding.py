"""The example that embeds the library does what it prints, and the library needs nothing but the standard library."""

import ast
import sys
from pathlib import Path

from examples import embed_coordination

ROOT = Path(__file__).parents[2]


def test_the_example_loses_its_leader_and_not_its_state(capsys):
    embed_coordination.main()
    lines = capsys.readouterr().out.splitlines()
    assert lines[-1].endswith("both that are left hold green")
    assert sum("applies" in line and "blue" in line for line in lines) == 3
    assert sum("applies" in line and "green" in line for line in lines) == 2


def imported(path: Path) -> set[str]:
    """Modules that a module imports from other packages; those of its own package are left out."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.level != 1:
            names.add("." * node.level + (node.module or ""))
    return names


PURE_MODULES = [
    *(ROOT / "ochrespan" / "common").glob("*.py"),
    *(ROOT / "ochrespan" / "raft").glob("*.py"),
    *(
        ROOT / "ochrespan" / "membership" / name
        for name in ("__init__.py", "messages.py", "member_table.py", "protocol.py")
    ),
]
STORAGE_MODULES = [*(ROOT / "ochrespan" / "storage").glob("*.py")]
CLOCKS_AND_SOCKETS = {"time", "socket", "os", "threading", "datetime"}


def test_raft_membership_and_storage_import_the_standard_library_alone():
    for path in PURE_MODULES + STORAGE_MODULES:
        others = {
            name
            for name in imported(path)
            if name.split(".")[0] not in sys.stdlib_module_names and not name.startswith("ochrespan.common.")
        }
        assert not others, f"{path.name} imports {others}"


def test_raft_and_membership_do_not_read_clocks_or_sockets():
    for path in PURE_MODULES:
        assert not imported(path) & CLOCKS_AND_SOCKETS, path.name
