"""The operator's file, which enables optional subsystems. Each reads its own tables, in its `section.py`."""

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

# Tables by subsystem. A subsystem that uses the section of another comes after it.
SUBSYSTEM_TABLES: dict[str, tuple[str, ...]] = {
    "contracts": ("contracts", "organisation", "team", "service"),
    "objects": ("objects",),
    "metrics": ("graphite", "collectd"),
    "http2": ("http2",),
}


@dataclass(slots=True)
class OperatorConfig:
    """The sections of the enabled subsystems, by the name of their package."""

    sections: dict[str, Any] = field(default_factory=dict)


def load(path: Path, settings: api.Settings) -> OperatorConfig:
    """Reads the file and checks its names against the settings, so that errors are found at the start.

    Raises BadConfig with every error: file, location, value found, values allowed.
    """
    try:
        document = tomllib.loads(path.read_text())
    except (OSError, ValueError) as error:
        raise BadConfig(f"{path}: {error}") from error
    faults = Faults(str(path))
    known_tables = {name for names in SUBSYSTEM_TABLES.values() for name in names}
    for name in document.keys() - known_tables:
        faults.add(f"[{name}]", "an unknown table", ", ".join(sorted(known_tables)))
    operator_settings = OperatorConfig()
    for package, names in SUBSYSTEM_TABLES.items():
        own_tables: Mapping[str, Any] = {name: document[name] for name in names if name in document}
        if own_tables:
            section = importlib.import_module(f".{package}.section", __package__)
            operator_settings.sections[package] = section.read(own_tables, settings, faults, operator_settings.sections)
    faults.raise_any()
    return operator_settings
