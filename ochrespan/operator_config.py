"""The operator's file: what is off without it. Each subsystem owns its tables and reads them in its `section.py`."""

from __future__ import annotations

import importlib
import tomllib
from collections.abc import Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from . import interface as api
from .config import BadConfig
from .sections import Faults

# the subsystems and their tables; one that needs what another has read stands after it
SUBSYSTEM_TABLES: dict[str, tuple[str, ...]] = {
    "contracts": ("contracts", "organisation", "team", "service"),
    "objects": ("objects",),
    "metrics": ("graphite", "collectd"),
    "http2": ("http2",),
}


@dataclass(slots=True)
class OperatorConfig:
    """What each subsystem that the file switches on has read."""

    sections: dict[str, Any] = field(default_factory=dict)


def load(path: Path, settings: api.Settings) -> OperatorConfig:
    """Reads the file and checks it against the settings: a wrong name stops the start, not a request.

    Raises BadConfig with every fault: file, place, what was found, what is allowed.
    """
    try:
        told = tomllib.loads(path.read_text())
    except (OSError, ValueError) as why:
        raise BadConfig(f"{path}: {why}") from why
    faults = Faults(str(path))
    known = {name for names in SUBSYSTEM_TABLES.values() for name in names}
    for name in told.keys() - known:
        faults.add(f"[{name}]", "an unknown table", ", ".join(sorted(known)))
    operator = OperatorConfig()
    for owner, names in SUBSYSTEM_TABLES.items():
        mine: Mapping[str, Any] = {name: told[name] for name in names if name in told}
        if mine:
            section = importlib.import_module(f".{owner}.section", __package__)
            operator.sections[owner] = section.read(mine, settings, faults, operator.sections)
    faults.raise_any()
    return operator
