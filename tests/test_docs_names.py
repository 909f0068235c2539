"""The names of modules, classes and constants in the pages for readers of the code exist in the code."""

import ast
import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGES = ("docs/architecture.md", "docs/glossary.md")
QUOTED = re.compile(r"`([^`\n]+)`")
CLASS_NAME = re.compile(r"\b[A-Z][a-z]+(?:[A-Z][A-Za-z]+)+\b|\b[A-Z][a-z]{3,}(?=\.[a-z_]+\b)")
CONSTANT = re.compile(r"\b[A-Z]+_[A-Z_]+\b")
PACKAGES = tuple(sorted(path.name for path in (ROOT / "ochrespan").iterdir() if (path / "__init__.py").exists()))


def quoted_names(page: str) -> list[str]:
    """What stands in backquotes on a page."""
    return sorted(set(QUOTED.findall((ROOT / page).read_text())))


def defined_names() -> set[str]:
    """Classes, functions, fields, constants and parameters of the fleet's code."""
    names: set[str] = set()
    for path in (ROOT / "ochrespan").rglob("*.py"):
        for node in ast.walk(ast.parse(path.read_text())):
            match node:
                case ast.ClassDef(name=name) | ast.FunctionDef(name=name):
                    names.add(name)
                case ast.Name(id=name, ctx=ast.Store()) | ast.Attribute(attr=name, ctx=ast.Store()):
                    names.add(name)
                case ast.arg(arg=name):
                    names.add(name)
    return names


DEFINED = defined_names()


def module_path(dotted: str) -> Path | None:
    """The file or folder of a module that is named below `ochrespan`; None where there is none."""
    path = ROOT / "ochrespan" / Path(*dotted.split("."))
    if path.with_suffix(".py").exists():
        return path.with_suffix(".py")
    return path if path.is_dir() else None


def unknown_names(text: str) -> list[str]:
    """The names in a quoted text that the code does not define."""
    unknown = [name for name in (*CLASS_NAME.findall(text), *CONSTANT.findall(text)) if name not in DEFINED]
    unknown += [member for member in re.findall(r"[A-Z]\w+\.([a-z_]+)\b", text) if member not in DEFINED]
    dotted = re.fullmatch(r"(?:ochrespan\.)?([a-z0-9_]+(?:\.[a-z0-9_]+)+)(?:\.[A-Z]\w*(?:\.\w+)?)?", text)
    if dotted and dotted[1].split(".")[0] in PACKAGES:
        module, last = dotted[1], dotted[1].rsplit(".", 1)
        if module_path(module) is None and not (module_path(last[0]) and last[1] in DEFINED):
            unknown.append(module)
    return unknown


def test_an_unknown_class_member_constant_or_module_is_found() -> None:
    assert unknown_names("NoSuchClass") == ["NoSuchClass"]
    assert unknown_names("ReplicaHost.no_such_member") == ["no_such_member"]
    assert unknown_names("NO_SUCH_CONSTANT") == ["NO_SUCH_CONSTANT"]
    assert unknown_names("raft.no_such_module") == ["raft.no_such_module"]
    assert not unknown_names("raft.bootstrap.generate_replica_id")
    assert not unknown_names("control_plane.replication.host.ReplicaHost.propose")
    assert not unknown_names("cp.order")


@pytest.mark.parametrize("page", PAGES)
def test_the_names_of_a_page_exist_in_the_code(page: str) -> None:
    unknown = {text: names for text in quoted_names(page) if (names := unknown_names(text))}
    assert not unknown
