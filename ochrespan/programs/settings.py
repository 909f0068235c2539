"""The settings file of a process of the fleet: reading, validation, and reloading when it has changed."""

from __future__ import annotations

import logging
import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Annotated, Any, Literal, NotRequired, TypedDict

import gevent
import yaml

from ochrespan.common.addresses import Address, parse_address
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
DEFAULT_DECISION_RECORDS = 0.0  # fraction of the requests whose decisions a router records
MAX_PORT = 65535
PORT_RANGE_LENGTH = 2  # the first and the last port

ListenName = Literal["front", "ready", "control"]


def _check_address(value: Any, where: str, findings: Findings) -> None:
    try:
        parse_address(value if isinstance(value, str) else "")
    except ValueError:
        add_finding(findings, where, show(value), "IP:PORT")


def _is_port(value: Any) -> bool:
    return type(value) is int and 0 < value <= MAX_PORT


def _check_port_range(value: Any, where: str, findings: Findings) -> None:
    ports = value if isinstance(value, list) else []
    if len(ports) != PORT_RANGE_LENGTH or not all(map(_is_port, ports)) or ports[0] > ports[1]:
        add_finding(findings, where, show(value), "two rising port numbers")


def _check_log_level(value: Any, where: str, findings: Findings) -> None:
    if value not in LEVELS:
        add_finding(findings, where, show(value), ", ".join(LEVELS))


class Listen(TypedDict):
    """Listening addresses (IP:PORT); which of them are required depends on the role.

    Attributes:
        front: a router's, for clients.
        ready: a router's, for the platform: readiness and metrics.
        control: a controller's, for operators, servers and the platform.
    """

    front: NotRequired[Annotated[str, _check_address]]
    ready: NotRequired[Annotated[str, _check_address]]
    control: NotRequired[Annotated[str, _check_address]]


class Limits(TypedDict, total=False):
    """Resources that the machine grants to the process.

    Attributes:
        cpu_share: processor time; not read by the programs of the fleet.
        cores: number of cores; not read by the programs of the fleet.
        memory_mb: memory in megabytes (10^6 bytes).
        max_fds: number of file descriptors.
        link_mbps: network bandwidth in megabits per second; not read by the programs of the fleet.
        disk_mb: space for a controller's replicas, in megabytes.
    """

    cpu_share: NotRequired[Annotated[float, number(above=True)]]
    cores: NotRequired[Annotated[int, integer(1)]]
    memory_mb: NotRequired[Annotated[float, number()]]
    max_fds: NotRequired[Annotated[int, integer()]]
    link_mbps: NotRequired[Annotated[float, number()]]
    disk_mb: NotRequired[Annotated[float, number()]]


class FaultTolerance(TypedDict, total=False):
    """How many simultaneous failures the control state has to survive.

    Attributes:
        machines: number of controllers.
        zones: number of zones; not read by the programs of the fleet.
        regions: number of regions; not read by the programs of the fleet.
    """

    machines: NotRequired[Annotated[int, integer()]]
    zones: NotRequired[Annotated[int, integer()]]
    regions: NotRequired[Annotated[int, integer()]]


class PeerTls(TypedDict):
    """Paths of the PEM files for mutual TLS between processes of the fleet.

    Attributes:
        certificate: this process's certificate.
        key: its private key.
        authority: certificate authority against which the certificates of other processes are verified.
    """

    certificate: Annotated[str, text()]
    key: Annotated[str, text()]
    authority: Annotated[str, text()]


class Settings(TypedDict):
    """The settings file. Fields that are not named here are ignored; the order here is that of the findings.

    Attributes:
        node: name of the process, unique in the fleet.
        ip: address at which the other processes reach this one.
        zone: failure domain of the process.
        port_range: first and last port that the process may use; other processes of the fleet connect to the first.
        seeds: control addresses (IP:PORT) of controllers to contact first.
        listen: listening addresses by their use.
        role: not read by the programs of the fleet.
        machine_class: not read by the programs of the fleet.
        serves: not read by the programs of the fleet.
        region: not read by the programs of the fleet.
        zones: not read by the programs of the fleet.
        bootstrap: whether this controller may take part in forming a new cluster.
        counts_for_quorum: not read by the programs of the fleet.
        limits: resources that the machine grants to the process.
        data_dir: folder of a controller's replicas.
        heartbeat_ms: milliseconds between two reports of an instance.
        contracts: not read by the programs of the fleet.
        fault_tolerance: failures that the control state has to survive.
        bounds: numeric parameters of the fleet's rules; each is read with `bound_value`, unknown names are ignored.
        peer_tls: mutual TLS between processes; plain TCP where absent.
        decision_records: fraction (0 to 1) of the requests whose decisions a router records.
        log_level: lowest level of the log lines that are written.
    """

    node: Annotated[str, text()]
    ip: Annotated[str, text()]
    zone: Annotated[str, text()]
    port_range: Annotated[list[int], _check_port_range]
    seeds: Annotated[list[str], list_of(_check_address)]
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
    log_level: NotRequired[Annotated[str, _check_log_level]]


_check_settings = typed_dict(Settings)


def parse_settings(source: str, name: str) -> Settings:
    """Parses and validates settings.

    Args:
        source: YAML text.
        name: the file's name, which every finding begins with.

    Raises:
        ValidationError: with all findings at once.
    """
    try:
        document: Settings = yaml.load(source, Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader))
    except yaml.YAMLError as error:
        raise ValidationError([Finding(name, " ".join(str(error).split()), "a YAML document")]) from error
    findings = Findings()
    _check_settings(document, "", findings)
    if findings:
        raise ValidationError([Finding(f"{name}: {each.where}", each.found, each.allowed) for each in findings])
    return document


def settings_path(environment: Mapping[str, str] = os.environ) -> Path:
    """The path of the settings file, from the environment; raises ValidationError where it is not set."""
    path = environment.get(SETTINGS_VARIABLE)
    if not path:
        raise ValidationError([Finding(SETTINGS_VARIABLE, "nothing", "the path of a settings file")])
    return Path(path)


def read_settings(path: Path) -> Settings:
    """Reads and validates a settings file; raises ValidationError."""
    try:
        return parse_settings(path.read_text(), str(path))
    except (OSError, UnicodeDecodeError) as error:
        raise ValidationError([Finding(str(path), str(error), "a readable text file")]) from error


def listen_address(settings: Settings, name: ListenName) -> Address:
    """A listening address that the role requires; raises ValidationError where it is missing."""
    if name not in settings["listen"]:
        raise ValidationError([Finding(f"listen.{name}", "nothing", "IP:PORT")])
    return parse_address(settings["listen"][name])


def secure_peers(settings: Settings) -> None:
    """Turns on mutual TLS between the processes of the fleet if the settings ask for it; raises ValidationError."""
    files = settings.get("peer_tls")
    if not files:
        return
    from ochrespan.transport.tls import CertificateFiles, MutualTls  # only where used: shortens a router's start

    try:
        secure_connections(MutualTls(CertificateFiles(files["certificate"], files["key"], files["authority"])))
    except OSError as error:
        allowed = "PEM files of a certificate, its key and the authority"
        raise ValidationError([Finding("peer_tls", str(error), allowed)]) from error


def bound_value(settings: Settings, name: str, default: float) -> float:
    """A number from the `bounds` section; `default` where it is missing, a boolean or not a number."""
    value = settings.get("bounds", {}).get(name)
    if type(value) is int or type(value) is float:
        return value
    return default


class SettingsFile:
    """The settings of a running process, reloaded on `reload()` (SIGHUP) and when the file has changed.

    A file that cannot be read or has findings is reported in the log, and the previous settings stay in force.

    Attributes:
        current: the settings in force.
        on_change: called with the new settings after each change.
    """

    def __init__(self, path: Path, on_change: Callable[[Settings], None] | None = None) -> None:
        self.on_change = on_change
        self._path = path
        self.current = read_settings(path)
        self._stamp = self._read_stamp()
        set_level(self.current.get("log_level", DEFAULT_LEVEL))

    def watch(self) -> None:
        """Polls the file for changes until the greenlet is killed."""
        while True:
            gevent.sleep(RELOAD_INTERVAL_S)
            try:
                self.poll()
            except Exception:  # noqa: BLE001 - whatever fails, without this loop no later change would be noticed
                log.exception("settings change failed, continuing")

    def poll(self) -> None:
        """Reloads the file if it has changed."""
        if self._read_stamp() != self._stamp:
            self.reload()

    def reload(self) -> None:
        """Reads the file, and calls `on_change` if the settings differ.

        The file's stamp is taken before its contents, so that the next poll notices a change made in between.
        """
        self._stamp = self._read_stamp()
        try:
            settings = read_settings(self._path)
        except ValidationError as error:
            log.error("settings not reloaded, the previous ones stay findings=%r", str(error))
            return
        if settings == self.current:
            return
        self.current = settings
        set_level(settings.get("log_level", DEFAULT_LEVEL))
        log.info("settings reloaded path=%s", self._path)
        if self.on_change is not None:
            self.on_change(settings)

    def _read_stamp(self) -> tuple[int, int, int] | None:
        """Modification time in nanoseconds, size and inode; None while there is no file."""
        try:
            status = self._path.stat()
        except OSError:
            return None
        return status.st_mtime_ns, status.st_size, status.st_ino
