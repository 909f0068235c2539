"""Every log line of warning or above that a controller or a router writes stands in the operators' page."""

import ast
import re
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import pytest

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "operators" / "router-fleet.md"
PACKAGES = (
    "common",
    "control_plane",
    "data_plane",
    "membership",
    "observability",
    "policy",
    "programs",
    "raft",
    "storage",
    "transport",
)
LEVELS = frozenset({"warning", "error", "exception", "critical"})
FIRST_KEY = re.compile(r"\s*\b\w+=")


class LogCall(NamedTuple):
    """One call of a module's logger; `text` is None where it is not a literal."""

    where: str
    level: str
    text: str | None

    @property
    def event(self) -> str | None:
        """The fixed part of the line, before the first `key=`."""
        return None if self.text is None else FIRST_KEY.split(self.text, maxsplit=1)[0].strip()


def literal_texts(node: ast.expr) -> list[str | None]:
    """The texts that an argument may have: one, or both of a conditional expression; None for anything computed."""
    if isinstance(node, ast.IfExp):
        return literal_texts(node.body) + literal_texts(node.orelse)
    return [node.value if isinstance(node, ast.Constant) and isinstance(node.value, str) else None]


def is_logger(node: ast.expr) -> bool:
    """Whether an expression makes a logger."""
    return isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.func.attr == "getLogger"


def logger_names(tree: ast.Module) -> set[str]:
    """The names that a module gives to its loggers, and that of the library."""
    assigned = (node for node in ast.walk(tree) if isinstance(node, ast.Assign) and is_logger(node.value))
    return {"logging"} | {target.id for node in assigned for target in node.targets if isinstance(target, ast.Name)}


def log_calls(source: str, where: str) -> Iterator[LogCall]:
    """The calls of `log.warning` and above in a module's source."""
    tree = ast.parse(source)
    names = logger_names(tree)
    for node in ast.walk(tree):
        match node:
            case ast.Call(func=ast.Attribute(value=ast.Name(id=name), attr=level)) if name in names and level in LEVELS:
                for text in literal_texts(node.args[0]):
                    yield LogCall(f"{where}:{node.lineno}", level, text)


def modules() -> list[Path]:
    """The modules of the fleet's packages."""
    return [path for package in PACKAGES for path in sorted((ROOT / "ochrespan" / package).rglob("*.py"))]


def module_name(path: Path) -> str:
    """The path from the repository's root."""
    return str(path.relative_to(ROOT))


def documented_events() -> set[str]:
    """The event texts of the page: what stands in backquotes, up to its first `key=`."""
    quoted = re.findall(r"`([^`\n]+)`", PAGE.read_text())
    return {FIRST_KEY.split(text, maxsplit=1)[0].strip() for text in quoted}


FLEET_LOG_CALLS = [call for path in modules() for call in log_calls(path.read_text(), module_name(path))]


SAMPLE = """
events = logging.getLogger(__name__)
events.warning("peer lost peer=%s", 1)
events.error("a" if x else "b x=%d")
events.info("no")
events.exception(text)
other.error("no logger")
"""


def test_log_calls_are_found_with_both_texts_of_a_conditional_one() -> None:
    found = list(log_calls(SAMPLE, "m"))
    assert found == [
        LogCall("m:3", "warning", "peer lost peer=%s"),
        LogCall("m:4", "error", "a"),
        LogCall("m:4", "error", "b x=%d"),
        LogCall("m:6", "exception", None),
    ]
    assert [call.event for call in found] == ["peer lost", "a", "b", None]


@pytest.mark.parametrize("path", modules(), ids=module_name)
def test_a_modules_loggers_are_kept_under_simple_names_where_their_calls_are_found(path: Path) -> None:
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Assign) and is_logger(node.value):
            assert all(isinstance(target, ast.Name) for target in node.targets), path
        elif isinstance(node, ast.ImportFrom):
            assert "log" not in {alias.name for alias in node.names}, f"{path}: a logger of another module"


def test_the_fleet_writes_warnings_in_its_main_packages() -> None:
    assert {call.where.split("/")[1] for call in FLEET_LOG_CALLS} >= {
        "control_plane",
        "data_plane",
        "membership",
        "programs",
        "raft",
        "transport",
    }


@pytest.mark.parametrize("call", FLEET_LOG_CALLS, ids=lambda call: f"{call.where}-{call.event}")
def test_every_line_of_warning_and_above_stands_in_the_operators_page(call: LogCall) -> None:
    assert call.event is not None, f"{call.where}: the event has to be a fixed text"
    assert "%" not in call.event, f"{call.where}: the event {call.event!r} has to be fixed, values follow as key=value"
    assert call.event in documented_events(), f"{call.where}: {call.event!r} is not in {module_name(PAGE)}"
