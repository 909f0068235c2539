"""The settings file of a process of the fleet: reading, checking, and reloading when it has changed."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Annotated, Any, NotRequired, TypedDict

import gevent
import yaml

from ochrespan.common.addresses import parse_address
from ochrespan.common.validation import (
    Finding,
    Findings,
    ValidationError,
    add_finding,
    flag,
    integer,
    list_of,
    map_of,
    number,
    optional,
    show,
    text,
    typed_dict,
)
from ochrespan.observability.logs import DEFAULT_LEVEL, LEVELS, set_level
from ochrespan.transport.tcp import secure_connections

from .early_listener import SETTINGS_VARIABLE

log = logging.getLogger(__name__)

RELOAD_INTERVAL_S = 1.0
DEFAULT_DECISION_RECORDS = 0.0  # part of the requests whose decisions a router records


def _address(value: Any, where: str, findings: Findings) -> None:
    try:
        parse_address(value if isinstance(value, str) else "")
    except ValueError:
        add_finding(findings, where, show(value), "IP:PORT")


def _port_range(value: Any, where: str, findings: Findings) -> None:
    ports = value if isinstance(value, list) else []
    if len(ports) != 2 or not all(type(port) is int and 0 < port < 65536 for port in ports) or ports[0] > ports[1]:
        add_finding(findings, where, show(value), "two rising port numbers")


def _log_level(value: Any, where: str, findings: Findings) -> None:
    if value not in LEVELS:
        add_finding(findings, where, show(value), ", ".join(LEVELS))


class Listen(TypedDict):
    """Addresses for what a process serves; which of them are given depends on its role."""

    front: NotRequired[Annotated[str, _address]]
    ready: NotRequired[Annotated[str, _address]]
    control: NotRequired[Annotated[str, _address]]


class Limits(TypedDict, total=False):
    """What the machine grants a process."""

    cpu_share: NotRequired[Annotated[float, number(above=True)]]
    cores: NotRequired[Annotated[int, integer(1)]]
    memory_mb: NotRequired[Annotated[float, number()]]
    max_fds: NotRequired[Annotated[int, integer()]]
    link_mbps: NotRequired[Annotated[float, number()]]
    disk_mb: NotRequired[Annotated[float, number()]]


class FaultTolerance(TypedDict, total=False):
    """What may be lost at once."""

    machines: NotRequired[Annotated[int, integer()]]
    zones: NotRequired[Annotated[int, integer()]]
    regions: NotRequired[Annotated[int, integer()]]


class PeerTls(TypedDict):
    """PEM files for connections between processes of the fleet."""

    certificate: Annotated[str, text()]
    key: Annotated[str, text()]
    authority: Annotated[str, text()]


class Settings(TypedDict):
    """The settings file; fields that are not named here are ignored."""

    node: Annotated[str, text()]
    ip: Annotated[str, text()]
    zone: Annotated[str, text()]
    port_range: Annotated[list[int], _port_range]
    seeds: Annotated[list[str], list_of(_address)]
    listen: Annotated[Listen, typed_dict(Listen)]
    role: NotRequired[Annotated[str, text()]]
    machine_class: NotRequired[Annotated[str, text()]]
    serves: NotRequired[Annotated[list[str], list_of(text())]]
    region: NotRequired[Annotated[str | None, optional(text(0))]]
    zones: NotRequired[Annotated[dict[str, str], map_of(text(0))]]
    bootstrap: NotRequired[Annotated[bool, flag]]
    counts_for_quorum: NotRequired[Annotated[bool, flag]]
    limits: NotRequired[Annotated[Limits, typed_dict(Limits)]]
    data_dir: NotRequired[Annotated[str | None, optional(text())]]
    heartbeat_ms: NotRequired[Annotated[float, number(above=True)]]
    contracts: NotRequired[Annotated[list[str], list_of(text())]]
    fault_tolerance: NotRequired[Annotated[FaultTolerance, typed_dict(FaultTolerance)]]
    bounds: NotRequired[dict[str, Any]]
    peer_tls: NotRequired[Annotated[PeerTls | None, optional(typed_dict(PeerTls))]]
    decision_records: NotRequired[Annotated[float, number(maximum=1.0)]]
    log_level: NotRequired[Annotated[str, _log_level]]


_check_settings = typed_dict(Settings)


def parse_settings(source: str, place: str) -> Settings:
    """The settings in YAML text; raises ValidationError with all findings."""
    try:
        document = yaml.load(source, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as error:
        raise ValidationError([Finding(place, " ".join(str(error).split()), "a YAML document")]) from error
    findings: Findings = []
    _check_settings(document, "", findings)
    if findings:
        raise ValidationError([Finding(f"{place}: {each.where}", each.found, each.allowed) for each in findings])
    return document


def settings_path(environment: Mapping[str, str] = os.environ) -> Path:
    """Where the settings file lies; raises ValidationError where nothing says so."""
    path = environment.get(SETTINGS_VARIABLE)
    if not path:
        raise ValidationError([Finding(SETTINGS_VARIABLE, "nothing", "the path of a settings file")])
    return Path(path)


def read_settings(path: Path) -> Settings:
    """The settings in the file at `path`; raises ValidationError."""
    try:
        return parse_settings(path.read_text(), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise ValidationError([Finding(str(path), str(error), "a readable text file")]) from error


def secure_peers(settings: Settings) -> None:
    """Turns TLS between the processes of the fleet on where the settings ask for it; raises ValidationError."""
    files = settings.get("peer_tls")
    if not files:
        return
    from ochrespan.transport.tls import CertificateFiles, MutualTls

    try:
        secure_connections(MutualTls(CertificateFiles(files["certificate"], files["key"], files["authority"])))
    except OSError as error:
        allowed = "PEM files of a certificate, its key and the authority"
        raise ValidationError([Finding("peer_tls", str(error), allowed)]) from error


def bound(settings: Settings, name: str, default: float) -> float:
    """A figure of the rules, or `default` where the settings do not give it as a number."""
    value = settings.get("bounds", {}).get(name)
    return value if type(value) in (int, float) else default


class SettingsFile:
    """Keeps the settings of a running process current: on `reload()` (SIGHUP) and when the file's time has changed.

    A file that cannot be read is reported in the log, and the settings in force stay.
    """

    def __init__(self, path: Path, on_change: Callable[[Settings], None] = lambda settings: None) -> None:
        self.on_change = on_change
        self._path = path
        self.current = read_settings(path)
        self._stamp = self._read_stamp()
        set_level(self.current.get("log_level", DEFAULT_LEVEL))

    def watch(self) -> None:
        """Looks for changes until the greenlet is killed."""
        while True:
            gevent.sleep(RELOAD_INTERVAL_S)
            self.poll()

    def poll(self) -> None:
        """Reloads the file if it has changed."""
        if self._read_stamp() != self._stamp:
            self.reload()

    def reload(self) -> None:
        """Reads the file again and tells of a difference."""
        self._stamp = self._read_stamp()
        try:
            fresh = read_settings(self._path)
        except ValidationError as error:
            log.error("settings kept findings=%r", str(error))
            return
        if fresh != self.current:
            self.current = fresh
            set_level(fresh.get("log_level", DEFAULT_LEVEL))
            log.info("settings changed path=%s", self._path)
            self.on_change(fresh)

    def _read_stamp(self) -> tuple[int, int, int] | None:
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
