"""Loads the configuration that the hosting platform gives a front: a JSON file, of which environment variables
override some values.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from . import interface as api
from .settings import ConnectionSettings, flatten, read_connection_settings, read_settings
from .upgrade import shared_folder

DEFAULT_SOCKETS, DEFAULT_MEMORY_MB = 1024, 192


class BadConfig(ValueError):
    """The configuration is not valid. Each argument describes one error."""

    def __str__(self) -> str:
        return "; ".join(map(str, self.args))


def split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    if not host or not port.isdigit() or not 0 <= int(port) < 65536:
        raise BadConfig(f"'{address}' is not host:port")
    return host.strip("[]"), int(port)


@dataclass(slots=True)
class Config:
    name: str
    listen: tuple[str, int]
    discovery: str
    settings: api.Settings
    links: ConnectionSettings
    known_servers: Any
    sockets: int
    memory: int  # bytes
    control: tuple[str, int] | None = None  # control address, for operators
    shared_dir: Path | None = None  # folder shared by the processes of this front


def load(environ: Mapping[str, str]) -> Config:
    """Loads the file that BALANCER_CONFIG names; other variables override values of it. Raises BadConfig with every
    error found."""
    path = environ.get("BALANCER_CONFIG")
    if not path:
        raise BadConfig("BALANCER_CONFIG is not set")
    try:
        document = json.loads(Path(path).read_text())
    except (OSError, ValueError) as error:
        raise BadConfig(f"{path}: {type(error).__name__}: {error}") from error
    reader = _Reader(path, document)
    listen = reader.address("listen", environ.get("BALANCER_LISTEN"))
    discovery = reader.text("discovery", environ.get("BALANCER_DISCOVERY"))
    reader.address("discovery", environ.get("BALANCER_DISCOVERY"))
    name = reader.text("name", environ.get("BALANCER_NAME"), "front")
    seed = reader.seed()
    sockets = reader.limit("sockets", DEFAULT_SOCKETS)
    memory = reader.limit("memory_mb", DEFAULT_MEMORY_MB) << 20
    control = reader.optional_address("control", environ.get("BALANCER_CONTROL"))
    settings, links = reader.settings(seed)
    if reader.faults or settings is None or links is None:
        raise BadConfig(*reader.faults)
    shared_dir = shared_folder(environ.get("TMPDIR"), name) if control else None
    known_servers = reader.document.get("known")
    return Config(name, listen, discovery, settings, links, known_servers, sockets, memory, control, shared_dir)


class _Reader:
    """Reads the file value by value and collects the errors."""

    def __init__(self, path: str, document: Any) -> None:
        self.path, self.faults = path, list[str]()
        if not isinstance(document, dict):
            raise BadConfig(f"{path}: found {type(document).__name__}; allowed: an object")
        self.document = document

    def fault(self, location: str, found: object, allowed: str) -> None:
        found = "nothing" if found is None else repr(found)
        self.faults.append(f"{self.path}: {location}: found {found}; allowed: {allowed}")

    def text(self, location: str, variable: str | None, default: str | None = None) -> str:
        value = variable or self.document.get(location, default)
        if not isinstance(value, str):
            if location != "discovery":  # reported when it is read as an address
                self.fault(location, value, "a string")
            return ""
        return value

    def address(self, location: str, variable: str | None) -> tuple[str, int]:
        value = variable or self.document.get(location)
        try:
            return split_address(value if isinstance(value, str) else "")
        except BadConfig:
            self.fault(location, value, "host:port")
            return "", 0

    def optional_address(self, location: str, variable: str | None) -> tuple[str, int] | None:
        return self.address(location, variable) if variable or self.document.get(location) is not None else None

    def seed(self) -> int:
        value = self.document.get("seed", "0")
        try:
            return int(str(value), 16)
        except ValueError:
            self.fault("seed", value, "hex digits")
            return 0

    def limit(self, name: str, default: int) -> int:
        limits = self.document.get("limits", {})
        value = limits.get(name, default) if isinstance(limits, dict) else limits
        if isinstance(value, bool) or not isinstance(value, int) or value < 1:
            self.fault(f"limits.{name}", value, "a whole number above 0")
            return 0
        return value

    def settings(self, seed: int) -> tuple[api.Settings | None, ConnectionSettings | None]:
        document = self.document.get("settings")
        if not isinstance(document, dict):
            self.fault("settings", document, "an object")
            return None, None
        try:
            fields = flatten(document)
            fields["InitSeed"] = str(seed)
            settings = read_settings(fields)
            if not settings.list_on_request:  # "pushed" lists reach only fronts that watch discovery, so watch it ...
                settings.list_on_request, settings.max_poll_interval = (
                    True,
                    0.0,
                )  # ... with changes known at once
            return settings, read_connection_settings(fields)
        except (LookupError, TypeError, ValueError, AttributeError) as error:
            self.faults.append(f"{self.path}: settings: {error}")
            return None, None


def reload(environ: Mapping[str, str], old: Config) -> tuple[Config, list[str]]:
    """Loads the file again; also returns the names of changed values that take effect only after a restart.

    The environment is still that of the start; therefore the file overrides the variable for discovery's address.
    """
    new = load({name: value for name, value in environ.items() if name != "BALANCER_DISCOVERY"})
    new.settings.seed = old.settings.seed  # valid for the whole run of the process
    restart_only = ("name", "listen", "control", "settings", "links", "sockets", "memory")
    return new, [name for name in restart_only if getattr(new, name) != getattr(old, name)]
